//! TCP connections that are read and written until the system says that there is no more.
//!
//! The runtime takes a read or write that was shorter than it could have been for the last one, and waits for an event before
//! it tries again. Linux raises one only for what comes after that, and a call may be short for other reasons than an empty
//! or full socket. Here a connection counts as exhausted only once a call would have blocked, and an interrupted call is made
//! again. It costs one more system call for what comes.

use std::io::{self, ErrorKind, Read, Write};
use std::pin::Pin;
use std::task::{ready, Context, Poll};

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::TcpStream;

/// A whole connection.
#[derive(Debug)]
pub struct Socket(pub TcpStream);

/// The side of a connection that is read.
#[derive(Debug)]
pub struct SocketReader(pub OwnedReadHalf);

/// The side of a connection that is written.
#[derive(Debug)]
pub struct SocketWriter(pub OwnedWriteHalf);

impl Socket {
    /// Its two sides.
    pub fn into_split(self) -> (SocketReader, SocketWriter) {
        let (reader, writer) = self.0.into_split();
        (SocketReader(reader), SocketWriter(writer))
    }
}

fn poll_read(stream: &TcpStream, cx: &mut Context<'_>, buffer: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
    loop {
        ready!(stream.poll_read_ready(cx))?;
        let room = buffer.initialize_unfilled();
        match stream.try_io(Interest::READABLE, || (&*SockRef::from(stream)).read(room)) {
            Ok(length) => {
                buffer.advance(length);
                return Poll::Ready(Ok(()));
            }
            Err(problem) if is_to_be_tried_again(&problem) => {}
            Err(problem) => return Poll::Ready(Err(problem)),
        }
    }
}

fn poll_write(stream: &TcpStream, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
    loop {
        ready!(stream.poll_write_ready(cx))?;
        match stream.try_io(Interest::WRITABLE, || (&*SockRef::from(stream)).write(bytes)) {
            Ok(length) => return Poll::Ready(Ok(length)),
            Err(problem) if is_to_be_tried_again(&problem) => {}
            Err(problem) => return Poll::Ready(Err(problem)),
        }
    }
}

/// A call that would block has cleared the readiness, so that the next turn waits; one that was interrupted has done nothing.
fn is_to_be_tried_again(problem: &io::Error) -> bool {
    matches!(problem.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted)
}

impl AsyncRead for Socket {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        poll_read(&self.0, cx, buffer)
    }
}

impl AsyncRead for SocketReader {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        poll_read(self.0.as_ref(), cx, buffer)
    }
}

impl AsyncWrite for Socket {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        poll_write(&self.0, cx, bytes)
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_shutdown(cx)
    }
}

impl AsyncWrite for SocketWriter {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        poll_write(self.0.as_ref(), cx, bytes)
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_shutdown(cx)
    }
}
