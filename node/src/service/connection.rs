//! A client's connection in two halves, and whether its client has left, which a half that is not read does not tell by itself.

use std::future::Future;
use std::pin::pin;
use std::task::{Context, Poll, Waker};

use tokio::io::{AsyncRead, AsyncWrite, Interest};
use tokio::time::{sleep, Duration};

use crate::socket::{Socket, SocketReader, SocketWriter};

/// How often a connection that must not be read is looked at. A client that has left gets no new attempt 100 ms later.
pub const LOOK: Duration = Duration::from_millis(25);

/// A client's connection.
pub trait Connection: 'static {
    /// What it brings.
    type Reader: Reader;
    /// What it takes.
    type Writer: AsyncWrite + Unpin;

    /// Its halves.
    fn halves(self) -> (Self::Reader, Self::Writer);
}

/// What a client's connection brings.
pub trait Reader: AsyncRead + Unpin {
    /// Whether its end has come, or it broke, behind whatever stands unread before that.
    fn has_left(&self) -> bool;
}

impl Connection for Socket {
    type Reader = SocketReader;
    type Writer = SocketWriter;

    fn halves(self) -> (SocketReader, SocketWriter) {
        self.into_split()
    }
}

impl Reader for SocketReader {
    fn has_left(&self) -> bool {
        // Not waited for: only what the runtime has heard of it already.
        let heard = pin!(self.0.ready(Interest::READABLE)).poll(&mut Context::from_waker(Waker::noop()));
        matches!(heard, Poll::Ready(Ok(ready)) if ready.is_read_closed())
    }
}

/// Waits until the client has left though nothing is read.
pub async fn left(reader: &impl Reader) {
    while !reader.has_left() {
        sleep(LOOK).await;
    }
}
