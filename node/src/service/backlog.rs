//! Accepts connections from the listener's queue and bounds how long each of them may have waited there.
//!
//! Guarantee: the wait that is told is not shorter than the true one, as far as the process can know it: a connection that was
//! there when the next one was asked for came after the last time at which the queue was empty. For how long one waited while
//! the process had no processor time cannot be known here.

use std::future::poll_fn;
use std::io;
use std::task::{Context, Poll, Waker};

use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Duration, Instant};

/// How many failures in a row are taken for those of single connections.
const MOST_FAILURES: usize = 64;

/// A connection that was accepted.
pub(super) struct Accepted {
    pub(super) stream: TcpStream,
    /// The longest that it may have waited unaccepted.
    pub(super) waited: Duration,
}

/// The queue of connections that the system has taken up and nobody has accepted yet.
pub(super) struct Backlog {
    listener: TcpListener,
    /// When the queue was last known to be empty.
    empty: Instant,
}

impl Backlog {
    pub(super) fn new(listener: TcpListener) -> Backlog {
        Backlog { listener, empty: Instant::now() }
    }

    /// Accepts the next connection.
    pub(super) async fn accept(&mut self) -> io::Result<Accepted> {
        let mut awaited = false;
        let (stream, _) = poll_fn(|cx| {
            let accepted = self.listener.poll_accept(cx);
            awaited |= accepted.is_pending();
            accepted
        })
        .await?;
        if awaited {
            self.empty = Instant::now();
        }
        Ok(Accepted { stream, waited: self.waited() })
    }

    /// Accepts a connection that waits already; none if the queue is empty or broken. One that cannot be accepted, as its
    /// client has gone or for a moment, keeps nobody behind it out.
    pub(super) fn accept_waiting(&mut self) -> Option<Accepted> {
        let mut cx = Context::from_waker(Waker::noop());
        for _ in 0..MOST_FAILURES {
            match self.listener.poll_accept(&mut cx) {
                Poll::Ready(Ok((stream, _))) => return Some(Accepted { stream, waited: self.waited() }),
                Poll::Ready(Err(_)) => {}
                Poll::Pending => return None,
            }
        }
        None
    }

    /// The longest that a connection which waits in the queue now may have waited.
    pub(super) fn waited(&self) -> Duration {
        self.empty.elapsed()
    }
}

#[cfg(test)]
mod tests;
