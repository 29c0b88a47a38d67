//! Conversions between clocks and time units: the decision core uses Unix time in microseconds.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use juniperladder::Micros;
use tokio::time::Instant;

/// Unix time, read once at process start and then advanced by the monotonic clock, so that a step of the system
/// clock moves no deadline.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    /// Unix time at `start`.
    unix_start: Micros,
    /// Creation of the clock, on the monotonic clock.
    start: Instant,
}

impl Clock {
    /// Creates a clock set to the current system time.
    pub fn start() -> Clock {
        let unix_start = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { unix_start: micros(unix_start), start: Instant::now() }
    }

    /// The current time.
    pub fn now(&self) -> Micros {
        self.unix_start.saturating_add(micros(self.start.elapsed()))
    }

    /// The instant of the runtime's clock that corresponds to this time.
    pub fn instant(&self, at: Micros) -> Instant {
        self.start + duration(at.saturating_sub(self.unix_start))
    }
}

/// Converts a duration to microseconds.
pub fn micros(duration: Duration) -> Micros {
    Micros(u64::try_from(duration.as_micros()).unwrap_or(u64::MAX))
}

/// Converts microseconds to a duration.
pub fn duration(micros: Micros) -> Duration {
    Duration::from_micros(micros.0)
}

/// Converts milliseconds, as configurations and discovery use them, to microseconds.
pub fn from_ms(ms: u64) -> Micros {
    Micros(ms.saturating_mul(1000))
}

/// Converts to whole milliseconds for the wire, rounded up so that no wait is written as shorter than it is.
pub fn to_ms(micros: Micros) -> u64 {
    micros.0.div_ceil(1000)
}
