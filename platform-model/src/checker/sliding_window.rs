//! Counts events in a window of fixed length that ends with the newest event.

use std::collections::VecDeque;

use crate::Micros;

/// The events of the last `length` microseconds; the start of the window is exclusive.
pub struct SlidingWindow {
    length: Micros,
    events: VecDeque<Micros>,
}

impl SlidingWindow {
    /// An empty window.
    pub fn new(length: Micros) -> SlidingWindow {
        SlidingWindow { length, events: VecDeque::new() }
    }

    /// Adds an event, no earlier than the previous one, and returns the number of events in the window that ends with it.
    pub fn push(&mut self, at: Micros) -> usize {
        self.events.push_back(at);
        while self.events.front().is_some_and(|first| first + self.length <= at) {
            self.events.pop_front();
        }
        self.events.len()
    }
}
