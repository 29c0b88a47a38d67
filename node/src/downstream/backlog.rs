//! Accepts connections from the listener's queue and bounds how long each of them may have waited there.
//!
//! Guarantee: the reported wait is not shorter than the true one, as far as the process can know it. A
//! connection that was already queued arrived after the queue was last seen empty, so that the time since
//! then is an upper bound. How long a connection waited while the process had no CPU time cannot be known
//! here.

use std::future::poll_fn;
use std::io;
use std::task::{Context, Poll, Waker};

use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Duration, Instant};

/// Consecutive failed accepts that are attributed to single connections; after more the queue is taken to be
/// broken.
const MAX_FAILED_ACCEPTS: usize = 64;

/// A connection that was accepted.
pub(super) struct Accepted {
    pub(super) stream: TcpStream,
    /// The longest that the connection may have waited in the backlog.
    pub(super) backlog_wait: Duration,
}

/// The listener's queue of connections that the kernel has established and the process has not accepted yet.
pub(super) struct Backlog {
    listener: TcpListener,
    /// When the queue was last known to be empty.
    last_empty: Instant,
}

impl Backlog {
    /// Creates the backlog of a listener whose queue is taken to be empty now.
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

    /// Accepts a connection that is already queued; `None` if the queue is empty or broken. A connection that
    /// cannot be accepted, because its client has gone or for a transient reason, does not block those behind
    /// it.
    pub(super) fn accept_queued(&mut self) -> Option<Accepted> {
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

    /// The longest that a connection now in the queue may have waited.
    pub(super) fn longest_wait(&self) -> Duration {
        self.last_empty.elapsed()
    }
}

#[cfg(test)]
mod tests;
