//! How requests ended, by class, and how many streamed values are on their way to clients.
//!
//! Guarantee: each request that was answered is counted once. One with a streamed value is counted when its client has the
//! complete value or it broke off.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

/// How many outcomes there are.
const OUTCOME_COUNT: usize = 3;

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// With a value or a receipt.
    Served,
    /// With a rejection.
    Rejected,
    /// With neither.
    Failed,
}

/// Counts of how requests ended, and of the streamed values on their way.
#[derive(Debug)]
pub struct RequestMetrics {
    /// For each class, a count for each [`RequestOutcome`] in its order.
    outcomes: RefCell<Vec<[u64; OUTCOME_COUNT]>>,
    downloads_in_progress: Cell<usize>,
}

impl RequestMetrics {
    /// Metrics of this many classes, in which nothing has ended yet.
    pub fn new(classes: usize) -> Rc<RequestMetrics> {
        let outcomes = RefCell::new(vec![[0; OUTCOME_COUNT]; classes.max(1)]);
        Rc::new(RequestMetrics { outcomes, downloads_in_progress: Cell::new(0) })
    }

    /// Counts a request of this class; a class that the settings lack counts as the last.
    pub fn record(&self, class: u32, outcome: RequestOutcome) {
        let mut outcomes = self.outcomes.borrow_mut();
        let last_class = outcomes.len() - 1;
        outcomes[(class as usize).min(last_class)][outcome as usize] += 1;
    }

    /// How many requests ended so, for each class.
    pub fn count_by_class(&self, outcome: RequestOutcome) -> Vec<u64> {
        self.outcomes.borrow().iter().map(|counts| counts[outcome as usize]).collect()
    }

    /// Streamed values on their way to their clients.
    pub fn downloads_in_progress(&self) -> usize {
        self.downloads_in_progress.get()
    }
}

/// A streamed value on its way to its client. Dropped, it counts as served if the client has the complete value, and as
/// failed if it broke off.
#[derive(Debug)]
pub(crate) struct DownloadInProgress {
    metrics: Rc<RequestMetrics>,
    class: u32,
    is_complete: Cell<bool>,
}

impl DownloadInProgress {
    /// One more is on its way, for a request of this class.
    pub(crate) fn begin(metrics: &Rc<RequestMetrics>, class: u32) -> DownloadInProgress {
        metrics.downloads_in_progress.set(metrics.downloads_in_progress.get() + 1);
        DownloadInProgress { metrics: Rc::clone(metrics), class, is_complete: Cell::new(false) }
    }

    /// The client has the complete value.
    pub(crate) fn on_complete(&self) {
        self.is_complete.set(true);
    }
}

impl Drop for DownloadInProgress {
    fn drop(&mut self) {
        self.metrics.downloads_in_progress.set(self.metrics.downloads_in_progress.get() - 1);
        let is_complete = self.is_complete.get();
        let outcome = if is_complete { RequestOutcome::Served } else { RequestOutcome::Failed };
        self.metrics.record(self.class, outcome);
    }
}

#[cfg(test)]
mod tests;
