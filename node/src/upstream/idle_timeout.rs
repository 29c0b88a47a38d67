//! How long a connection to a server may be idle before the balancer closes it.
//!
//! The balancer should not write to a connection that its server is closing as idle, as the request may then
//! fail. Servers, and middleboxes on the path, may close earlier than the settings say, and show it only at the
//! next write. The timeout is therefore
//! shortened when a reused connection breaks, and slowly grows back.

use std::cell::Cell;
use std::time::Duration;

/// The maximum idle timeout, as a share of the servers' configured one. Below 1, since a server measures its
/// timeout by its own clock and its close takes time to arrive; only slightly below, since in a large fleet a
/// balancer may return to a server only after seconds.
const SHARE_OF_CONFIGURED_TIMEOUT: f64 = 0.95;
/// The idle timeout after a reused connection broke, as a share of the time for which that connection was idle.
const SHARE_OF_IDLE_TIME_AT_BREAK: f64 = 0.7;
/// The shortest idle timeout. A connection that breaks after a shorter idle time does not count.
const MIN_IDLE_TIMEOUT: Duration = Duration::from_millis(25);
/// The factor by which the timeout grows with each connection that is reused after more than half of it.
const GROWTH_FACTOR: f64 = 1.02;

/// The adaptive idle timeout.
#[derive(Debug)]
pub(super) struct IdleTimeout {
    maximum: Duration,
    current: Cell<Duration>,
}

impl IdleTimeout {
    /// Creates the timeout for servers that close connections after this configured idle time.
    pub(super) fn new(configured: Duration) -> IdleTimeout {
        let maximum = configured.mul_f64(SHARE_OF_CONFIGURED_TIMEOUT);
        IdleTimeout { maximum, current: Cell::new(maximum) }
    }

    /// How long a connection may be idle now.
    pub(super) fn current(&self) -> Duration {
        self.current.get()
    }

    /// Raises the timeout if a connection was reused after being idle for more than half of it.
    pub(super) fn on_reused(&self, idle: Duration) {
        if idle * 2 > self.current() {
            self.current.set(self.current().mul_f64(GROWTH_FACTOR).min(self.maximum));
        }
    }

    /// Lowers the timeout, as a connection broke when it was reused after this idle time.
    pub(super) fn on_broken(&self, idle: Duration) {
        if idle >= MIN_IDLE_TIMEOUT {
            self.current
                .set(self.current().min(idle.mul_f64(SHARE_OF_IDLE_TIME_AT_BREAK)).max(MIN_IDLE_TIMEOUT));
        }
    }
}
