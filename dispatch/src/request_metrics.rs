//! Request outcomes by class, and the number of streamed values in transit to clients.
//!
//! Guarantee: each answered request is counted once. A request with a streamed value is counted when its client has
//! the complete value or the value broke off.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

/// Number of [`RequestOutcome`]s.
const OUTCOME_COUNT: usize = 3;

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// Answered with a value or a receipt.
    Served,
    /// Answered with a rejection.
    Rejected,
    /// Answered as failed, or the streamed value broke off.
    Failed,
}

/// Counts of request outcomes and of streamed values in transit.
#[derive(Debug)]
pub struct RequestMetrics {
    /// For each class, one count per [`RequestOutcome`], in the order of its variants.
    outcomes: RefCell<Vec<[u64; OUTCOME_COUNT]>>,
    downloads_in_progress: Cell<usize>,
}

impl RequestMetrics {
    /// Creates metrics for this many classes, all zero.
    pub fn new(classes: usize) -> Rc<RequestMetrics> {
        let outcomes = RefCell::new(vec![[0; OUTCOME_COUNT]; classes.max(1)]);
        Rc::new(RequestMetrics { outcomes, downloads_in_progress: Cell::new(0) })
    }

    /// Counts a request of this class. A class that is not in the settings counts as the last one.
    pub fn record(&self, class: u32, outcome: RequestOutcome) {
        let mut outcomes = self.outcomes.borrow_mut();
        let last_class = outcomes.len() - 1;
        outcomes[(class as usize).min(last_class)][outcome as usize] += 1;
    }

    /// The number of requests with this outcome, by class.
    pub fn counts_by_class(&self, outcome: RequestOutcome) -> Vec<u64> {
        self.outcomes.borrow().iter().map(|counts| counts[outcome as usize]).collect()
    }

    /// The number of streamed values in transit to clients.
    pub fn downloads_in_progress(&self) -> usize {
        self.downloads_in_progress.get()
    }
}

/// A streamed value in transit to its client. When dropped, counts the request as served if the client has the complete
/// value, and as failed otherwise.
#[derive(Debug)]
pub(crate) struct DownloadInProgress {
    metrics: Rc<RequestMetrics>,
    class: u32,
    is_complete: Cell<bool>,
}

impl DownloadInProgress {
    /// Counts a streamed value for a request of this class as in transit.
    pub(crate) fn begin(metrics: &Rc<RequestMetrics>, class: u32) -> DownloadInProgress {
        metrics.downloads_in_progress.set(metrics.downloads_in_progress.get() + 1);
        DownloadInProgress { metrics: Rc::clone(metrics), class, is_complete: Cell::new(false) }
    }

    /// Records that the client has received the complete value.
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
