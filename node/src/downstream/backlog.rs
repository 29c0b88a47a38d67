//! Accepts connections from the listener's queue and bounds how long each of them may have waited there.
//!
//! Guarantee: the wait that is reported is not shorter than the true one, as far as the process can know it. A connection that was
//! already queued arrived after the last time at which the queue was seen empty, so that the time since then is an upper bound.
//! For how long one waited while the process had no processor time cannot be known here.

use std::future::poll_fn;
use std::io;
use std::task::{Context, Poll, Waker};

use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Duration, Instant};

/// How many failures in a row are taken to be of single connections.
const MAX_FAILED_ACCEPTS: usize = 64;

/// A connection that was accepted.
pub(super) struct Accepted {
    pub(super) stream: TcpStream,
    /// The longest that it may have waited unaccepted.
    pub(super) backlog_wait: Duration,
}

/// The queue of connections that the system has taken up and that nobody has accepted yet.
pub(super) struct Backlog {
    listener: TcpListener,
    /// When the queue was last known to be empty.
    last_empty: Instant,
}

impl Backlog {
    /// The queue of this listener, taken to be empty now.
    pub(super) fn new(listener: TcpListener) -> Backlog {
        Backlog { listener, last_empty: Instant::now() }
    }

    /// Accepts the next connection.
    pub(super) async fn accept(&mut self) -> io::Result<Accepted> {
        let mut was_empty = false;
        let (stream, _) = poll_fn(|context| {
            let accepted = self.listener.poll_accept(context);
            was_empty |= accepted.is_pending();
            accepted
        })
        .await?;
        if was_empty {
            self.last_empty = Instant::now();
        }
        Ok(Accepted { stream, backlog_wait: self.longest_wait() })
    }

    /// Accepts a connection that waits already; none if the queue is empty or broken. One that cannot be accepted, as its
    /// client has gone or for a moment, keeps nobody behind it out.
    pub(super) fn accept_waiting(&mut self) -> Option<Accepted> {
        let mut context = Context::from_waker(Waker::noop());
        for _ in 0..MAX_FAILED_ACCEPTS {
            match self.listener.poll_accept(&mut context) {
                Poll::Ready(Ok((stream, _))) => {
                    return Some(Accepted { stream, backlog_wait: self.longest_wait() })
                }
                Poll::Ready(Err(_)) => {}
                Poll::Pending => return None,
            }
        }
        None
    }

    /// The longest that a connection which waits in the queue now may have waited.
    pub(super) fn longest_wait(&self) -> Duration {
        self.last_empty.elapsed()
    }
}

#[cfg(test)]
mod tests;
