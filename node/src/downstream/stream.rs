//! A client's connection in two halves, and whether its client has left, which a half that is not read does not show by itself.

use std::future::Future;
use std::io;
use std::pin::pin;
use std::task::{Context, Poll, Waker};

use bytes::BytesMut;
use tokio::io::{AsyncRead, AsyncWrite, Interest};
use tokio::time::{sleep, Duration};

use crate::socket::{Socket, SocketReader, SocketWriter};

/// How often a connection that must not be read is checked. A client that has left gets no new attempt 100 ms later.
pub const DISCONNECT_CHECK_INTERVAL: Duration = Duration::from_millis(25);

/// A client's connection.
pub trait ClientStream: 'static {
    /// The half that is read.
    type Reader: ClientReader;
    /// The half that is written.
    type Writer: AsyncWrite + Unpin;

    /// Its halves.
    fn halves(self) -> (Self::Reader, Self::Writer);
}

/// The half of a client's connection that is read.
pub trait ClientReader: AsyncRead + Unpin {
    /// Whether the connection has ended or broken behind whatever stands unread before that.
    fn has_disconnected(&self) -> bool;

    /// Reads what has arrived, even if the runtime has had no turn to notice it since. Pending if there is nothing.
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
        // Polled once and not waited for: only what the runtime knows already.
        let mut context = Context::from_waker(Waker::noop());
        let readiness = pin!(self.0.ready(Interest::READABLE)).poll(&mut context);
        matches!(readiness, Poll::Ready(Ok(ready)) if ready.is_read_closed())
    }

    fn read_arrived(&mut self, input: &mut BytesMut) -> Poll<io::Result<usize>> {
        self.read_now(input)
    }
}

/// Waits until the client has left though nothing is read.
pub async fn wait_for_disconnect(reader: &impl ClientReader) {
    while !reader.has_disconnected() {
        sleep(DISCONNECT_CHECK_INTERVAL).await;
    }
}
