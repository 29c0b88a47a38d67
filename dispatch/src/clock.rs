//! The one place where clocks and units meet: the decisions count Unix microseconds.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use juniperladder::Micros;
use tokio::time::Instant;

/// Unix time, read once at the start and then carried on by the monotonic clock, so that a step of the
/// system's clock moves no deadline.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    /// Unix time at the start.
    unix_start: Micros,
    /// The start by the monotonic clock.
    start: Instant,
}

impl Clock {
    /// A clock that agrees with the system's clock now.
    pub fn start() -> Clock {
        let unix_start = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { unix_start: micros(unix_start), start: Instant::now() }
    }

    /// The time now.
    pub fn now(&self) -> Micros {
        self.unix_start.saturating_add(micros(self.start.elapsed()))
    }

    /// When the runtime's clock shows this time.
    pub fn instant(&self, at: Micros) -> Instant {
        self.start + duration(at.saturating_sub(self.unix_start))
    }
}

/// A duration in the decisions' unit.
pub fn micros(duration: Duration) -> Micros {
    Micros(u64::try_from(duration.as_micros()).unwrap_or(u64::MAX))
}

/// A duration of the decisions' in the standard library's form.
pub fn duration(micros: Micros) -> Duration {
    Duration::from_micros(micros.0)
}

/// Milliseconds, as configurations and discovery have them, in the decisions' unit.
pub fn from_ms(ms: u64) -> Micros {
    Micros(ms.saturating_mul(1000))
}

/// Whole milliseconds for the wire, rounded up: a wait is never written as shorter than it is.
pub fn to_ms(micros: Micros) -> u64 {
    micros.0.div_ceil(1000)
}
