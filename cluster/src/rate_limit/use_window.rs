//! Requests that a member began within the last window.

use std::collections::VecDeque;

use juniperladder::Micros;

/// The start times of requests, oldest first.
#[derive(Debug)]
pub(super) struct UseWindow {
    window: Micros,
    uses: VecDeque<Micros>,
}

impl UseWindow {
    /// Creates an empty window.
    pub(super) fn new(window: Micros) -> UseWindow {
        UseWindow { window, uses: VecDeque::new() }
    }

    /// Adds a request that begins now.
    pub(super) fn add(&mut self, now: Micros) {
        self.uses.push_back(now);
    }

    /// The number of requests that began within the last window.
    pub(super) fn count(&mut self, now: Micros) -> usize {
        while self.uses.front().is_some_and(|begun| *begun + self.window <= now) {
            self.uses.pop_front();
        }
        self.uses.len()
    }

    /// The time until fewer than `tokens` of the counted requests are within the window, at least a microsecond. `tokens` must
    /// be from one to the number of counted requests.
    pub(super) fn time_until_below(&self, tokens: usize, now: Micros) -> Micros {
        let last_to_expire = self.uses[self.uses.len() - tokens];
        (last_to_expire + self.window - now).max(Micros(1))
    }
}
