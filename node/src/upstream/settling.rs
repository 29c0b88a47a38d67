//! How long a connection stays silent after an answer before it carries the next attempt.
//!
//! A server may send an answer a second time, some time after the first. A copy that names its request is
//! recognized whenever it arrives. One that does not, such as the answer of an origin without request ids, would be
//! taken for the answer to the next request on the connection. After such an answer the connection therefore settles:
//! it carries no attempt until it has been silent for the settle time, and closes if anything arrives before the next
//! attempt.
//!
//! Guarantee: a copy that arrives within the settle time is never taken for an answer. The settle time of a server
//! grows with the delay of the copies that it is seen to send, and shrinks once many connections have settled in silence.

use std::cell::Cell;
use std::time::Duration;

use tokio::time::Instant;

/// The settle time of a server that has sent no late copies.
const MIN_SETTLE_TIME: Duration = Duration::from_millis(20);
/// The settle time of a server of which little is known, and the shortest of one that has sent a late copy.
const CAUTIOUS_SETTLE_TIME: Duration = Duration::from_millis(50);
/// How often connections to a server have to settle in silence before [`MIN_SETTLE_TIME`] is enough.
const SILENT_SETTLES_BEFORE_TRUST: u32 = 30;
/// The longest settle time.
const MAX_SETTLE_TIME: Duration = Duration::from_millis(500);
/// The settle time after a late copy, as a multiple of the copy's delay.
const SETTLE_TIME_PER_DELAY: u32 = 10;
/// How long a raised settle time holds after the last late copy.
const RETENTION: Duration = Duration::from_secs(60);

/// The adaptive settle time of one server.
#[derive(Debug, Default)]
pub(super) struct SettleTime {
    raised: Cell<Option<RaisedSettleTime>>,
    /// How often a connection has settled in silence since the last late bytes.
    silent_settles: Cell<u32>,
}

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
        match self.raised.get() {
            Some(raised) if raised.last_late_bytes.elapsed() < RETENTION => raised.settle_time,
            _ if self.silent_settles.get() < SILENT_SETTLES_BEFORE_TRUST => CAUTIOUS_SETTLE_TIME,
            _ => MIN_SETTLE_TIME,
        }
    }

    /// Records that a connection has settled in silence.
    pub(super) fn on_silent(&self) {
        self.silent_settles.set(self.silent_settles.get().saturating_add(1));
    }

    /// Raises the settle time, as bytes arrived this long after a complete answer.
    pub(super) fn on_late_bytes(&self, delay: Duration) {
        let settle_time = (delay * SETTLE_TIME_PER_DELAY).clamp(CAUTIOUS_SETTLE_TIME, MAX_SETTLE_TIME);
        let settle_time = settle_time.max(self.current());
        self.raised.set(Some(RaisedSettleTime { settle_time, last_late_bytes: Instant::now() }));
        self.silent_settles.set(0);
    }
}

#[cfg(test)]
mod tests;
