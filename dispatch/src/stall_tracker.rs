//! Notes when this process last stood still, as far as its events show: it was stopped, or had no processor time.
//!
//! What is noticed after a stall may have happened at any time of it. Guarantee: the bound that is given is not later than the true time, for
//! stalls of up to [`MAX_STALL`]. A process without events cannot be told from one that stands still, and counts as one.

use std::cell::{Cell, RefCell};

use juniperladder::Micros;

/// The longest stall that is reckoned with.
pub const MAX_STALL: Micros = Micros(300_000);
/// A shorter time without events is no stall.
const MIN_STALL: Micros = Micros(10_000);
/// How long after the end of a stall something may still be noticed that happened in it.
const NOTICE_TIME: Micros = Micros(50_000);

/// A time without events.
#[derive(Clone, Copy, Debug)]
struct Stall {
    from: Micros,
    to: Micros,
}

/// The times of the process's events.
#[derive(Debug)]
pub struct StallTracker {
    last_event: Cell<Micros>,
    /// Those that ended within [`NOTICE_TIME`] before the last of them.
    recent: RefCell<Vec<Stall>>,
}

impl StallTracker {
    /// A tracker of a process that starts now.
    pub fn new(now: Micros) -> StallTracker {
        StallTracker { last_event: Cell::new(now), recent: RefCell::default() }
    }

    /// Something was handled.
    pub fn on_event(&self, now: Micros) {
        let from = self.last_event.replace(now);
        if now.saturating_sub(from) >= MIN_STALL {
            let mut recent = self.recent.borrow_mut();
            recent.retain(|stall| now.saturating_sub(stall.to) <= NOTICE_TIME);
            recent.push(Stall { from, to: now });
        }
    }

    /// The earliest time at which something may have happened that is noticed now.
    pub fn earliest_time(&self, now: Micros) -> Micros {
        self.on_event(now);
        let recent = self.recent.borrow();
        let unnoticed = recent.iter().filter(|stall| now.saturating_sub(stall.to) <= NOTICE_TIME);
        let earliest = unnoticed.map(|stall| stall.from).min().unwrap_or(now);
        earliest.max(now.saturating_sub(MAX_STALL))
    }
}

#[cfg(test)]
mod tests;
