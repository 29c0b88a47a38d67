//! Graceful shutdown: the process keeps serving while clients still connect, answers every request that it
//! accepted, and then exits.
//!
//! It has three phases, counted from the signal:
//!
//! 1. **Draining.** New connections are still accepted and served, until none has arrived for [`QUIET_PERIOD`] or
//!    [`MAX_DRAIN_TIME`] has passed.
//! 2. **Closing.** Each connection closes as soon as its client waits for no answer.
//! 3. **Last answers.** [`EXIT_DELAY`] before the time limit nothing more is read: a connection that is never
//!    idle gets its answers and is closed.
//!
//! After that the process keeps running while values are still being received by clients, for up to
//! [`MAX_DELIVERY_TIME`].

use std::cell::Cell;

use tokio::sync::Notify;
use tokio::time::{sleep_until, timeout_at, Duration, Instant};

/// The platform still routes new connections to this process for a moment after the signal. Client connections
/// are closed only when no new one has arrived for this long, since clients whose connections are closed open
/// new ones.
const QUIET_PERIOD: Duration = Duration::from_millis(450);
/// The closing phase begins no later than this after the signal, even if clients still connect.
const MAX_DRAIN_TIME: Duration = Duration::from_millis(600);

/// The maximum longest deadline that the protocol counts: it lets a process run after the signal for its longest
/// deadline, at most for this time, and for [`TIME_AFTER_LONGEST_DEADLINE`] after that.
const MAX_COUNTED_DEADLINE: Duration = Duration::from_secs(3);
const TIME_AFTER_LONGEST_DEADLINE: Duration = Duration::from_millis(700);
/// How much of the time that the protocol allows is left after the last answer.
const TIME_AFTER_LAST_ANSWER: Duration = Duration::from_millis(100);
/// How long the process keeps running after its time for answers, while clients still receive values.
pub const MAX_DELIVERY_TIME: Duration = Duration::from_secs(30);
/// How long the process keeps running after the last answer, so that the answer is transmitted.
pub const EXIT_DELAY: Duration = Duration::from_millis(50);

/// The time after the signal within which the last request has to be answered.
pub fn time_for_answers(longest_deadline: Duration) -> Duration {
    longest_deadline.min(MAX_COUNTED_DEADLINE) + TIME_AFTER_LONGEST_DEADLINE - TIME_AFTER_LAST_ANSWER
}

/// The state of the shutdown: its phase, for which connections wait, and the number of open connections.
#[derive(Debug, Default)]
pub struct GracefulShutdown {
    is_stopping: Cell<bool>,
    is_closing: Cell<bool>,
    has_final_phase_begun: Cell<bool>,
    last_accept: Cell<Option<Instant>>,
    open_connections: Cell<usize>,
    /// Notified only when a phase begins, since every idle connection waits for it.
    phase_changed: Notify,
    all_closed: Notify,
}

impl GracefulShutdown {
    /// Whether the shutdown has begun.
    pub fn is_stopping(&self) -> bool {
        self.is_stopping.get()
    }

    /// Records that a connection was accepted.
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

    /// Waits until connections have to close between requests.
    pub async fn wait_for_closing(&self) {
        while !self.is_closing.get() {
            self.phase_changed.notified().await;
        }
    }

    /// Waits until no more requests may be read, as the last answers are being written.
    pub async fn wait_for_final_phase(&self) {
        while !self.has_final_phase_begun.get() {
            self.phase_changed.notified().await;
        }
    }

    /// Begins the closing phase: from now on connections close between requests.
    pub fn begin_closing(&self) {
        self.is_closing.set(true);
        self.phase_changed.notify_waiters();
    }

    /// Runs all phases. Returns when every connection is closed, or at the time limit, since a client may
    /// never finish sending a request. The caller has to ensure that every request is answered by then.
    pub async fn run(&self, signalled_at: Instant, time_limit: Duration) {
        self.is_stopping.set(true);
        self.drain(signalled_at).await;
        self.begin_closing();
        let reading_ends = signalled_at + time_limit.saturating_sub(EXIT_DELAY);
        if timeout_at(reading_ends, self.wait_until_all_closed()).await.is_err() {
            self.begin_final_phase();
            // Connections that are still open after this are cut off; their clients wait for no answer.
            let _ = timeout_at(signalled_at + time_limit, self.wait_until_all_closed()).await;
        }
    }

    /// Waits until no connection has arrived for [`QUIET_PERIOD`], at most until [`MAX_DRAIN_TIME`] after the
    /// signal.
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

    /// Begins the final phase: nothing more is read, and connections whose clients keep sending are closed. All
    /// requests that were read have their answers by now.
    fn begin_final_phase(&self) {
        self.has_final_phase_begun.set(true);
        self.phase_changed.notify_waiters();
    }
}

#[cfg(test)]
mod tests;
