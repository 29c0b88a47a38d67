//! Detects stalls of this process: times in which it was stopped or had no processor time.
//!
//! An event that is noticed after a stall may have happened at any time during the stall. A late tick distinguishes a
//! stall from an idle time. Guarantee: for stalls of up to [`MAX_STALL_DURATION`] the earliest time that the tracker
//! gives for an event is later than the true time by at most the sum of [`TICK_INTERVAL`] and [`MIN_TICK_DELAY`].

use std::cell::Cell;

use juniperladder::Micros;

/// Time between two ticks.
pub const TICK_INTERVAL: Micros = Micros(50_000);
/// Longest stall that is taken into account.
pub const MAX_STALL_DURATION: Micros = Micros(300_000);
/// Smallest delay of a tick that counts as a stall.
const MIN_TICK_DELAY: Micros = Micros(10_000);
/// How long after the end of a stall an event that happened during it may still be noticed.
const NOTICE_WINDOW: Micros = Micros(50_000);

/// A time in which the process was stalled.
#[derive(Clone, Copy, Debug, Default)]
struct Stall {
    start: Micros,
    end: Micros,
}

/// Tracks when the process last ran, and its last stall.
#[derive(Debug)]
pub struct StallTracker {
    /// When the process last handled an event.
    last_running: Cell<Micros>,
    /// When the next tick is due; none before the first.
    next_tick: Cell<Option<Micros>>,
    last_stall: Cell<Stall>,
}

impl StallTracker {
    /// Creates a tracker of a process that starts now.
    pub fn new(now: Micros) -> StallTracker {
        StallTracker { last_running: Cell::new(now), next_tick: Cell::new(None), last_stall: Cell::default() }
    }

    /// Handles a tick, the first one included. Returns when the next tick is due.
    pub fn on_tick(&self, now: Micros) -> Micros {
        self.on_event(now);
        let next = now.saturating_add(TICK_INTERVAL);
        self.next_tick.set(Some(next));
        next
    }

    /// Handles any event, which shows that the process is running.
    pub fn on_event(&self, now: Micros) {
        let last_running = self.last_running.replace(now);
        let is_late = self.next_tick.get().is_some_and(|due| now >= due.saturating_add(MIN_TICK_DELAY));
        if is_late {
            self.on_stall(last_running, now);
        }
    }

    /// Records a stall that began at `last_running`. Stalls that follow each other within [`NOTICE_WINDOW`] are
    /// merged, as they may belong to one turn of the event loop.
    fn on_stall(&self, last_running: Micros, now: Micros) {
        let previous = self.last_stall.get();
        let is_continuation = last_running.saturating_sub(previous.end) <= NOTICE_WINDOW;
        self.last_stall
            .set(Stall { start: if is_continuation { previous.start } else { last_running }, end: now });
        self.next_tick.set(Some(now));
    }

    /// The earliest time at which an event that is noticed now may have happened.
    pub fn earliest_event_time(&self, now: Micros) -> Micros {
        self.on_event(now);
        let stall = self.last_stall.get();
        if now.saturating_sub(stall.end) > NOTICE_WINDOW {
            return now;
        }
        stall.start.max(now.saturating_sub(MAX_STALL_DURATION))
    }
}

#[cfg(test)]
mod tests;
