//! How long a connection to a server may stand idle before it is closed here.
//!
//! A write must never cross the server's close of an idle connection. Servers, and what stands between, may close
//! sooner than the settings say, and show it only at the next write: that is learnt from connections that broke when they
//! were used again, and slowly forgotten.

use std::cell::Cell;
use std::time::Duration;

/// The share of the configured idle time for which a connection is used: the server's close comes by its clock and
/// after the way there. Kept close to 1, since in a large fleet a balancer may return to a server only
/// after seconds.
const CONFIGURED_SHARE: f64 = 0.95;
/// The same of an idle time after which a connection broke.
const LEARNT_SHARE: f64 = 0.7;
/// The shortest idle time that is learnt.
const MIN_IDLE_TIMEOUT: Duration = Duration::from_millis(25);
/// By what the idle time grows with each connection that was used again after more than half of it.
const GROWTH_FACTOR: f64 = 1.02;

/// The idle time in force.
#[derive(Debug)]
pub(super) struct IdleTimeout {
    longest: Duration,
    current: Cell<Duration>,
}

impl IdleTimeout {
    /// The idle time where servers close connections after this configured one.
    pub(super) fn new(configured: Duration) -> IdleTimeout {
        let longest = configured.mul_f64(CONFIGURED_SHARE);
        IdleTimeout { longest, current: Cell::new(longest) }
    }

    /// How long a connection may now stand idle.
    pub(super) fn current(&self) -> Duration {
        self.current.get()
    }

    /// A connection was used again after it had been idle for so long.
    pub(super) fn on_reused(&self, idle: Duration) {
        if idle * 2 > self.current() {
            self.current.set(self.current().mul_f64(GROWTH_FACTOR).min(self.longest));
        }
    }

    /// A connection broke when it was used after it had been idle for so long.
    pub(super) fn on_broken(&self, idle: Duration) {
        if idle >= MIN_IDLE_TIMEOUT {
            self.current.set(self.current().min(idle.mul_f64(LEARNT_SHARE)).max(MIN_IDLE_TIMEOUT));
        }
    }
}
