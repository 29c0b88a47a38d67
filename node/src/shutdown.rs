//! The planned end: go on while clients still come, answer all that was taken, then close.

use std::cell::Cell;

use tokio::sync::Notify;
use tokio::time::{sleep_until, timeout_at, Duration, Instant};

/// After the signal the front goes on dealing out connections for a moment. Only when none has come for
/// this long are the clients' connections closed, since those whose are closed open new ones.
const QUIET: Duration = Duration::from_millis(450);

/// The closing begins no later than this, whoever still connects.
const MOST: Duration = Duration::from_millis(600);

/// How long after the signal a process may be there at least: the longest deadline, taken as no longer than this, and
/// so much more (protocol, figures of a planned restart).
const LONGEST: Duration = Duration::from_secs(3);
const MORE: Duration = Duration::from_millis(700);
/// What is kept of that for the last answers: how long after them the process goes on, and what is left then.
pub const WAY_OUT: Duration = Duration::from_millis(50);
const SPARE: Duration = Duration::from_millis(100);

/// How long after the signal the last request has to be answered.
pub fn last_answer(longest: Duration) -> Duration {
    longest.min(LONGEST) + MORE - SPARE
}

/// How far the end has come.
#[derive(Debug, Default)]
pub struct Shutdown {
    last: Cell<Option<Instant>>,
    closing: Cell<bool>,
    over: Cell<bool>,
    stopping: Cell<bool>,
    open: Cell<usize>,
    changed: Notify,
}

impl Shutdown {
    /// Whether the end has begun.
    pub fn stopping(&self) -> bool {
        self.stopping.get()
    }

    /// A connection was accepted.
    pub fn accepted(&self) {
        self.last.set(Some(Instant::now()));
    }

    /// So many connections are open.
    pub fn connections(&self, open: usize) {
        self.open.set(open);
        self.changed.notify_waiters();
    }

    /// Waits until connections should close between requests.
    pub async fn closing(&self) {
        while !self.closing.get() {
            self.changed.notified().await;
        }
    }

    /// Waits until no more requests are read: the last answers are on their way.
    pub async fn last(&self) {
        while !self.over.get() {
            self.changed.notified().await;
        }
    }

    /// From now on connections close between requests.
    pub fn close(&self) {
        self.closing.set(true);
        self.changed.notify_waiters();
    }

    /// Runs the end from the signal on: until every connection is closed, and not longer than this, as a connection may
    /// stand still in the middle of a request. By then whoever runs it has had every request answered.
    pub async fn run(&self, signal: Instant, most: Duration) {
        self.stopping.set(true);
        loop {
            let quiet = self.last.get().unwrap_or(signal).max(signal) + QUIET;
            let quiet = quiet.min(signal + MOST);
            if Instant::now() >= quiet {
                break;
            }
            sleep_until(quiet).await;
        }
        self.close();
        let closed = async {
            while self.open.get() > 0 {
                self.changed.notified().await;
            }
        };
        tokio::pin!(closed);
        if timeout_at(signal + most.saturating_sub(WAY_OUT), &mut closed).await.is_err() {
            // All that was read has its answer now; who goes on sending is told so by the end of the connection.
            self.over.set(true);
            self.changed.notify_waiters();
            // What is cut off then owes nothing.
            let _ = timeout_at(signal + most, closed).await;
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::testing;

    /// The front deals out connections for up to 0.4 s after the signal; to close those that are open
    /// meanwhile would only bring more.
    #[test]
    fn connections_close_only_when_no_new_ones_come() {
        testing::run(async {
            let shutdown = Shutdown::default();
            let start = Instant::now();
            let clients = async {
                shutdown.connections(1);
                sleep_until(start + QUIET - Duration::from_millis(50)).await;
                shutdown.accepted();
                shutdown.connections(2);
                shutdown.closing().await;
                assert_eq!(start.elapsed(), MOST);
                shutdown.connections(0);
            };
            tokio::join!(shutdown.run(start, Duration::from_secs(3)), clients);
        });
    }
    /// What the protocol leaves a process after the signal covers its last answer and the way out of it.
    #[test]
    fn the_last_answer_comes_before_the_end_of_the_time() {
        for (longest, there) in [(600, 1300), (1200, 1900), (3000, 3700), (9000, 3700)] {
            let end = last_answer(Duration::from_millis(longest)) + WAY_OUT;
            let there = Duration::from_millis(there);
            assert!(end < there && end + WAY_OUT * 2 > there, "{end:?}");
        }
    }

    /// A client that stops in the middle of a request must not keep the program for ever.
    #[test]
    fn the_end_comes_though_a_connection_stands_still() {
        testing::run(async {
            let shutdown = Shutdown::default();
            shutdown.connections(1);
            let start = Instant::now();
            shutdown.run(start, Duration::from_secs(3)).await;
            assert_eq!(start.elapsed(), Duration::from_secs(3));
        });
    }
}
