//! How long a connection stays silent after an answer before it carries the next attempt.
//!
//! A server may send an answer a second time, some time after the first. A copy that names its request is
//! recognized whenever it arrives. One that does not, such as the answer of an origin without request ids, would be
//! taken for the answer to the next request on the connection. After such an answer the connection therefore settles:
//! it carries no attempt until it has been silent for the settle time, and closes if anything arrives before the next
//! attempt.
//!
//! Guarantee: a copy that arrives within the settle time is never taken for an answer. The settle time of a server
//! grows with the delay of the copies that it is seen to send.

use std::cell::Cell;
use std::time::Duration;

use tokio::time::Instant;

/// The settle time of a server that has sent no late copies.
const MIN_SETTLE_TIME: Duration = Duration::from_millis(20);
/// The shortest settle time of a server that has sent a late copy, and the longest.
const MIN_RAISED_SETTLE_TIME: Duration = Duration::from_millis(50);
const MAX_SETTLE_TIME: Duration = Duration::from_millis(500);
/// The settle time after a late copy, as a multiple of the copy's delay.
const SETTLE_TIME_PER_DELAY: u32 = 10;
/// How long a raised settle time holds after the last late copy.
const RETENTION: Duration = Duration::from_secs(60);
/// The adaptive settle time of one server.
#[derive(Debug, Default)]
pub(super) struct SettleTime(Cell<Option<RaisedSettleTime>>);

/// A settle time that late bytes raised above the minimum.
#[derive(Clone, Copy, Debug)]
struct RaisedSettleTime {
    settle_time: Duration,
    /// When late bytes were last received.
    last_late_bytes: Instant,
}

impl SettleTime {
    /// How long a connection has to be silent now.
    pub(super) fn current(&self) -> Duration {
        match self.0.get() {
            Some(raised) if raised.last_late_bytes.elapsed() < RETENTION => raised.settle_time,
            _ => MIN_SETTLE_TIME,
        }
    }

    /// Raises the settle time, as bytes arrived this long after a complete answer.
    pub(super) fn on_late_bytes(&self, delay: Duration) {
        let settle_time = (delay * SETTLE_TIME_PER_DELAY).clamp(MIN_RAISED_SETTLE_TIME, MAX_SETTLE_TIME);
        let settle_time = settle_time.max(self.current());
        self.0.set(Some(RaisedSettleTime { settle_time, last_late_bytes: Instant::now() }));
    }
}

#[cfg(test)]
mod tests;
