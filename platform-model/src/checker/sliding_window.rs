//! Counts events in a window of fixed length that ends with the newest of them.

use std::collections::VecDeque;

use crate::Micros;

/// The events of the last `length` microseconds; the earlier end does not belong to the window.
pub struct SlidingWindow {
    length: Micros,
    events: VecDeque<Micros>,
}

impl SlidingWindow {
    /// An empty window.
    pub fn new(length: Micros) -> SlidingWindow {
        SlidingWindow { length, events: VecDeque::new() }
    }

    /// Takes an event, no earlier than those before, and gives how many the window that ends with it holds.
    pub fn push(&mut self, at: Micros) -> usize {
        self.events.push_back(at);
        while self.events.front().is_some_and(|first| first + self.length <= at) {
            self.events.pop_front();
        }
        self.events.len()
    }
}
