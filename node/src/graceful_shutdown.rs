//! The graceful shutdown: the process goes on while clients still connect, answers all that it took, and then ends.
//!
//! It has three phases, counted from the signal:
//!
//! 1. **Draining.** New connections are still accepted and served, until none has come for [`QUIET_PERIOD`] or
//!    [`MAX_DRAIN_TIME`] has passed.
//! 2. **Closing.** Each connection closes as soon as its client is owed nothing.
//! 3. **Last answers.** [`EXIT_DELAY`] before the time is up nothing more is read: a connection that never rests is answered
//!    and ended.

use std::cell::Cell;

use tokio::sync::Notify;
use tokio::time::{sleep_until, timeout_at, Duration, Instant};

/// After the signal the platform goes on dealing out connections for a moment. Only when none has come for
/// this long are the clients' connections closed, since clients whose connections are closed open new ones.
const QUIET_PERIOD: Duration = Duration::from_millis(450);
/// The closing begins no later than this after the signal, whoever still connects.
const MAX_DRAIN_TIME: Duration = Duration::from_millis(600);

/// The protocol lets a process stay after the signal for its longest deadline, taken as no longer than this,
/// and for [`TIME_AFTER_LONGEST_DEADLINE`].
const MAX_COUNTED_DEADLINE: Duration = Duration::from_secs(3);
const TIME_AFTER_LONGEST_DEADLINE: Duration = Duration::from_millis(700);
/// What is left of that time after the last answer.
const TIME_AFTER_LAST_ANSWER: Duration = Duration::from_millis(100);
/// How long after the last answer the process goes on, so that the answer gets out.
pub const EXIT_DELAY: Duration = Duration::from_millis(50);

/// How long after the signal the last request has to be answered.
pub fn time_for_answers(longest_deadline: Duration) -> Duration {
    longest_deadline.min(MAX_COUNTED_DEADLINE) + TIME_AFTER_LONGEST_DEADLINE - TIME_AFTER_LAST_ANSWER
}

/// How far the shutdown has come. The connections wait for its phases, and report how many they are.
#[derive(Debug, Default)]
pub struct GracefulShutdown {
    is_stopping: Cell<bool>,
    is_closing: Cell<bool>,
    has_final_phase_begun: Cell<bool>,
    last_accept: Cell<Option<Instant>>,
    open_connections: Cell<usize>,
    /// Every idle connection waits for it, so that it is notified only when a phase begins.
    phase_changed: Notify,
    all_closed: Notify,
}

impl GracefulShutdown {
    /// Whether the shutdown has begun.
    pub fn is_stopping(&self) -> bool {
        self.is_stopping.get()
    }

    /// A connection was accepted.
    pub fn on_connection_accepted(&self) {
        self.last_accept.set(Some(Instant::now()));
    }

    /// Sets how many connections are open.
    pub fn set_open_connections(&self, open: usize) {
        self.open_connections.set(open);
        if open == 0 {
            self.all_closed.notify_waiters();
        }
    }

    /// Waits until connections are to close between requests.
    pub async fn wait_for_closing(&self) {
        while !self.is_closing.get() {
            self.phase_changed.notified().await;
        }
    }

    /// Waits until no more requests are to be read: the last answers are on their way.
    pub async fn wait_for_final_phase(&self) {
        while !self.has_final_phase_begun.get() {
            self.phase_changed.notified().await;
        }
    }

    /// From now on connections close between requests.
    pub fn begin_closing(&self) {
        self.is_closing.set(true);
        self.phase_changed.notify_waiters();
    }

    /// Runs all phases. Returns when every connection is closed, or at the time limit, since a client may never finish sending
    /// a request. The caller must see to it that every request is answered by then.
    pub async fn run(&self, signalled_at: Instant, time_limit: Duration) {
        self.is_stopping.set(true);
        self.drain(signalled_at).await;
        self.begin_closing();
        let reading_ends = signalled_at + time_limit.saturating_sub(EXIT_DELAY);
        if timeout_at(reading_ends, self.wait_until_all_closed()).await.is_err() {
            self.begin_final_phase();
            // A connection that is cut off then is owed nothing.
            let _ = timeout_at(signalled_at + time_limit, self.wait_until_all_closed()).await;
        }
    }

    /// Waits until no connection has come for a while.
    async fn drain(&self, signalled_at: Instant) {
        loop {
            let last_accept = self.last_accept.get().unwrap_or(signalled_at).max(signalled_at);
            let drained_at = (last_accept + QUIET_PERIOD).min(signalled_at + MAX_DRAIN_TIME);
            if Instant::now() >= drained_at {
                return;
            }
            sleep_until(drained_at).await;
        }
    }

    async fn wait_until_all_closed(&self) {
        while self.open_connections.get() > 0 {
            self.all_closed.notified().await;
        }
    }

    /// All that was read has its answer now; who goes on sending sees the end of the connection.
    fn begin_final_phase(&self) {
        self.has_final_phase_begun.set(true);
        self.phase_changed.notify_waiters();
    }
}

#[cfg(test)]
mod tests;
