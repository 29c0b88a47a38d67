//! Limits the log to one line per cause and second, as peers can trigger log lines at any rate.

use std::cell::Cell;
use std::time::Duration;

use tokio::time::Instant;

/// Minimum time between two lines of one cause.
const LINE_INTERVAL: Duration = Duration::from_secs(1);

/// Limits the lines of one cause.
#[derive(Debug, Default)]
pub struct LogThrottle {
    last_line: Cell<Option<Instant>>,
}

impl LogThrottle {
    /// Whether a line may be written now. If so, it is counted as written.
    pub fn try_acquire(&self) -> bool {
        let now = Instant::now();
        let is_allowed = self.last_line.get().is_none_or(|last| now.duration_since(last) >= LINE_INTERVAL);
        if is_allowed {
            self.last_line.set(Some(now));
        }
        is_allowed
    }
}

#[cfg(test)]
mod tests;
