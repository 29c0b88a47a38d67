//! The requests that wait for capacity at the origin, by priority.
//!
//! Writes come before reads; within each, popular keys come first, since a refilled copy of one serves many
//! requests.

use crate::request::RequestId;

/// What a write's priority is above that of a read.
const WRITE_PRIORITY: f64 = 1.0;

/// A request that waits.
#[derive(Clone, Copy, Debug)]
struct QueuedRequest {
    id: RequestId,
    is_write: bool,
    /// The higher, the sooner it goes.
    priority: f64,
}

/// Which requests the origin has capacity for.
#[derive(Clone, Copy, Debug)]
pub(super) struct OriginCapacity {
    /// Whether one more read may go there.
    pub(super) has_for_reads: bool,
    /// Whether one more write may go there.
    pub(super) has_for_writes: bool,
}

impl OriginCapacity {
    fn fits(self, request: &QueuedRequest) -> bool {
        if request.is_write {
            self.has_for_writes
        } else {
            self.has_for_reads
        }
    }
}

/// The queue before the origin.
#[derive(Debug, Default)]
pub(super) struct OriginQueue {
    waiting: Vec<QueuedRequest>,
    /// Whether a timer is set at which the queue is looked through again.
    pub(super) is_drain_timer_set: bool,
}

impl OriginQueue {
    /// Whether nothing waits.
    pub(super) fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// The number of requests that wait.
    pub(super) fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Queues a request for a key of this popularity, from 0 to 1.
    pub(super) fn push(&mut self, id: RequestId, is_write: bool, popularity: f64) {
        let priority = popularity + if is_write { WRITE_PRIORITY } else { 0.0 };
        self.waiting.push(QueuedRequest { id, is_write, priority });
    }

    /// Forgets a request, if it waits here.
    pub(super) fn remove(&mut self, id: &RequestId) {
        self.waiting.retain(|request| request.id != *id);
    }

    /// Takes the request of the lowest priority out.
    pub(super) fn take_lowest(&mut self) -> Option<RequestId> {
        let indices = 0..self.waiting.len();
        let lowest = indices.min_by(|a, b| self.priority(*a).total_cmp(&self.priority(*b)))?;
        Some(self.waiting.swap_remove(lowest).id)
    }

    /// Takes the request of the highest priority out that there is capacity for.
    pub(super) fn take_highest(&mut self, capacity: OriginCapacity) -> Option<RequestId> {
        let fitting = (0..self.waiting.len()).filter(|index| capacity.fits(&self.waiting[*index]));
        let highest = fitting.max_by(|a, b| self.priority(*a).total_cmp(&self.priority(*b)))?;
        Some(self.waiting.swap_remove(highest).id)
    }

    fn priority(&self, index: usize) -> f64 {
        self.waiting[index].priority
    }
}
