//! A client connection split into its halves, and the detection of a disconnect while nothing is read.

use std::future::Future;
use std::io;
use std::pin::pin;
use std::task::{Context, Poll, Waker};

use bytes::BytesMut;
use tokio::io::{AsyncRead, AsyncWrite, Interest};
use tokio::time::{sleep, Duration};

use crate::socket::{Socket, SocketReader, SocketWriter};

/// How often a connection that must not be read is checked for a disconnect. No new attempt may begin 100 ms
/// after the client has left.
pub const DISCONNECT_CHECK_INTERVAL: Duration = Duration::from_millis(25);

/// A client connection.
pub trait ClientStream: 'static {
    /// The read half.
    type Reader: ClientReader;
    /// The write half.
    type Writer: AsyncWrite + Unpin;

    /// Splits the connection into its halves.
    fn halves(self) -> (Self::Reader, Self::Writer);
}

/// The read half of a client connection.
pub trait ClientReader: AsyncRead + Unpin {
    /// Whether the connection has been closed or has broken, even if unread bytes precede that.
    fn has_disconnected(&self) -> bool;

    /// The number of received bytes that have not been read; none if that is not known.
    fn unread_bytes(&self) -> Option<usize>;

    /// Whether the system holds written bytes that it has not sent to the client.
    fn has_unsent_output(&self) -> bool;

    /// Reads what has already arrived, even if the runtime has not polled for it yet. Pending if there is
    /// nothing.
    fn read_arrived(&mut self, input: &mut BytesMut) -> Poll<io::Result<usize>>;
}

impl ClientStream for Socket {
    type Reader = SocketReader;
    type Writer = SocketWriter;

    fn halves(self) -> (SocketReader, SocketWriter) {
        self.into_split()
    }
}

impl ClientReader for SocketReader {
    fn has_disconnected(&self) -> bool {
        // Polled once without waiting, for the readiness that the runtime already knows.
        let mut context = Context::from_waker(Waker::noop());
        let readiness = pin!(self.0.ready(Interest::READABLE)).poll(&mut context);
        matches!(readiness, Poll::Ready(Ok(ready)) if ready.is_read_closed())
    }

    fn unread_bytes(&self) -> Option<usize> {
        Socket::unread_bytes(self)
    }

    fn has_unsent_output(&self) -> bool {
        self.has_unsent_bytes()
    }

    fn read_arrived(&mut self, input: &mut BytesMut) -> Poll<io::Result<usize>> {
        self.read_available(input)
    }
}

/// Waits until the client has disconnected, without reading.
pub async fn wait_for_disconnect(reader: &impl ClientReader) {
    while !reader.has_disconnected() {
        sleep(DISCONNECT_CHECK_INTERVAL).await;
    }
}
