//! TCP connections that are read and written until a call would block.
//!
//! Tokio takes a short read or write to mean that the socket is exhausted, and waits for an event before it tries again.
//! With edge-triggered epoll, Linux raises an event only for a later change, but a call may be short for other reasons than
//! an empty or full socket, so data could be left unread. Here a connection counts as exhausted only when a call returns
//! `EWOULDBLOCK`, and an interrupted call is repeated. This costs one more system call per readiness event.

mod system_queues;

use std::io::{self, ErrorKind, IoSlice, Read, Write};
use std::pin::Pin;
use std::task::{ready, Context, Poll};

use bytes::BytesMut;
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::TcpStream;

/// The buffer size of a read that bypasses the runtime.
const DIRECT_READ_BYTES: usize = 2048;

/// A connection or one half of it.
#[derive(Debug)]
pub struct Socket<S = TcpStream>(pub S);

/// The read half of a connection.
pub type SocketReader = Socket<OwnedReadHalf>;

/// The write half of a connection.
pub type SocketWriter = Socket<OwnedWriteHalf>;

/// Access to the TCP stream of a connection or of one half of it.
pub trait AsTcpStream {
    /// The TCP stream.
    fn as_tcp_stream(&self) -> &TcpStream;
}

impl AsTcpStream for TcpStream {
    fn as_tcp_stream(&self) -> &TcpStream {
        self
    }
}

impl AsTcpStream for OwnedReadHalf {
    fn as_tcp_stream(&self) -> &TcpStream {
        self.as_ref()
    }
}

impl AsTcpStream for OwnedWriteHalf {
    fn as_tcp_stream(&self) -> &TcpStream {
        self.as_ref()
    }
}

impl Socket {
    /// Splits the connection into its two halves.
    pub fn into_split(self) -> (SocketReader, SocketWriter) {
        let (reader, writer) = self.0.into_split();
        (Socket(reader), Socket(writer))
    }
}

impl<S: AsTcpStream> Socket<S> {
    /// Whether the system holds written bytes that it has not sent to the peer, as the peer reads slowly.
    pub fn has_unsent_bytes(&self) -> bool {
        system_queues::has_unsent_bytes(self.0.as_tcp_stream())
    }

    /// The number of received bytes that have not been read; none if the system does not tell.
    pub fn unread_bytes(&self) -> Option<usize> {
        system_queues::unread_bytes(self.0.as_tcp_stream())
    }

    /// Reads available data directly from the socket, because the runtime only knows of data that arrived before it last
    /// polled for events. Returns `Pending` if no data is available, and zero at the end of the stream.
    pub fn read_available(&self, input: &mut BytesMut) -> Poll<io::Result<usize>> {
        let socket = SockRef::from(self.0.as_tcp_stream());
        let mut buffer = [0; DIRECT_READ_BYTES];
        // Never more than the input's buffer has room for, which would have to grow.
        let room = Some(input.capacity() - input.len()).filter(|room| *room > 0);
        let buffer = &mut buffer[..room.map_or(DIRECT_READ_BYTES, |room| room.min(DIRECT_READ_BYTES))];
        loop {
            match (&*socket).read(buffer) {
                Ok(length) => {
                    input.extend_from_slice(&buffer[..length]);
                    return Poll::Ready(Ok(length));
                }
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => return Poll::Pending,
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
    }
}

impl<S: AsTcpStream + Unpin> AsyncRead for Socket<S> {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        poll_read(self.0.as_tcp_stream(), context, buffer)
    }
}

impl<S: AsTcpStream + AsyncWrite + Unpin> AsyncWrite for Socket<S> {
    fn poll_write(self: Pin<&mut Self>, context: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        poll_write(self.0.as_tcp_stream(), context, bytes)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        match parts {
            [part] => poll_write(self.0.as_tcp_stream(), context, part),
            parts => poll_write_vectored(self.0.as_tcp_stream(), context, parts),
        }
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_shutdown(context)
    }
}

fn poll_read(
    stream: &TcpStream,
    context: &mut Context<'_>,
    buffer: &mut ReadBuf<'_>,
) -> Poll<io::Result<()>> {
    loop {
        ready!(stream.poll_read_ready(context))?;
        let unfilled = buffer.initialize_unfilled();
        match stream.try_io(Interest::READABLE, || (&*SockRef::from(stream)).read(unfilled)) {
            Ok(length) => {
                buffer.advance(length);
                return Poll::Ready(Ok(()));
            }
            Err(error) if is_retryable(&error) => {}
            Err(error) => return Poll::Ready(Err(error)),
        }
    }
}

fn poll_write(stream: &TcpStream, context: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
    loop {
        ready!(stream.poll_write_ready(context))?;
        match stream.try_io(Interest::WRITABLE, || (&*SockRef::from(stream)).write(bytes)) {
            Ok(length) => return Poll::Ready(Ok(length)),
            Err(error) if is_retryable(&error) => {}
            Err(error) => return Poll::Ready(Err(error)),
        }
    }
}

fn poll_write_vectored(
    stream: &TcpStream,
    context: &mut Context<'_>,
    parts: &[IoSlice<'_>],
) -> Poll<io::Result<usize>> {
    loop {
        ready!(stream.poll_write_ready(context))?;
        match stream.try_write_vectored(parts) {
            Ok(length) => return Poll::Ready(Ok(length)),
            Err(error) if is_retryable(&error) => {}
            Err(error) => return Poll::Ready(Err(error)),
        }
    }
}

/// Whether the caller's loop continues after this error: a call that would block has cleared the readiness, so that the
/// next iteration waits; an interrupted call had no effect.
fn is_retryable(error: &io::Error) -> bool {
    matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted)
}
