//! Notes when this process last stood still: it was stopped, or had no processor time.
//!
//! What is noticed after a stall may have happened at any time of it. A tick that comes late tells a stall from a time in which there was
//! nothing to do. Guarantee: the bound that is given is later than the true time by [`TICK_INTERVAL`] and [`MIN_LATENESS`] at the most, for stalls of
//! up to [`MAX_STALL`].

use std::cell::Cell;

use juniperladder::Micros;

/// Between two ticks.
pub const TICK_INTERVAL: Micros = Micros(50_000);
/// The longest stall that is reckoned with.
pub const MAX_STALL: Micros = Micros(300_000);
/// A tick that is late by less shows no stall.
const MIN_LATENESS: Micros = Micros(10_000);
/// How long after the end of a stall something may still be noticed that happened in it.
const NOTICE_TIME: Micros = Micros(50_000);

/// A time in which the process stood still.
#[derive(Clone, Copy, Debug, Default)]
struct Stall {
    from: Micros,
    to: Micros,
}

/// When the process was last seen to run, and its last stall.
#[derive(Debug)]
pub struct StallTracker {
    last_seen: Cell<Micros>,
    /// When the next tick is due; none before the first.
    next_tick: Cell<Option<Micros>>,
    last_stall: Cell<Stall>,
}

impl StallTracker {
    /// A tracker of a process that starts now.
    pub fn new(now: Micros) -> StallTracker {
        StallTracker { last_seen: Cell::new(now), next_tick: Cell::new(None), last_stall: Cell::default() }
    }

    /// A tick has come, or the ticks begin. Gives when the next one is due.
    pub fn on_tick(&self, now: Micros) -> Micros {
        self.on_event(now);
        let next = now.saturating_add(TICK_INTERVAL);
        self.next_tick.set(Some(next));
        next
    }

    /// The process runs.
    pub fn on_event(&self, now: Micros) {
        let last_seen = self.last_seen.replace(now);
        let is_late = self.next_tick.get().is_some_and(|due| now >= due.saturating_add(MIN_LATENESS));
        if is_late {
            self.on_stall(last_seen, now);
        }
    }

    /// The process has stood still since `last_seen`. Stalls that follow each other within what may be one turn count as one.
    fn on_stall(&self, last_seen: Micros, now: Micros) {
        let before = self.last_stall.get();
        let is_same = last_seen.saturating_sub(before.to) <= NOTICE_TIME;
        self.last_stall.set(Stall { from: if is_same { before.from } else { last_seen }, to: now });
        self.next_tick.set(Some(now));
    }

    /// The earliest time at which something may have happened that is noticed now.
    pub fn earliest_time(&self, now: Micros) -> Micros {
        self.on_event(now);
        let stall = self.last_stall.get();
        if now.saturating_sub(stall.to) > NOTICE_TIME {
            return now;
        }
        stall.from.max(now.saturating_sub(MAX_STALL))
    }
}

#[cfg(test)]
mod tests;
