//! One log line a cause and second: peers can bring things about as fast as they like.

use std::cell::Cell;
use std::time::Duration;

use tokio::time::Instant;

/// How far apart the lines of one cause are.
const APART: Duration = Duration::from_secs(1);

/// Tells when a line of one cause may go to the log.
#[derive(Debug, Default)]
pub struct Telling {
    last: Cell<Option<Instant>>,
}

impl Telling {
    /// Whether a line may be written now. It is taken to be.
    pub fn due(&self) -> bool {
        let now = Instant::now();
        let due = self.last.get().is_none_or(|last| now.duration_since(last) >= APART);
        if due {
            self.last.set(Some(now));
        }
        due
    }
}

#[cfg(test)]
mod tests;
