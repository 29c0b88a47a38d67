//! The queue of requests that wait for capacity at the origin, by priority.
//!
//! Writes come before reads. Among the writes, and among the reads, popular keys come first, because one
//! refilled copy serves many requests.

use crate::request::RequestId;

/// Added to the priority of a write, to place it above every read.
const WRITE_PRIORITY: f64 = 1.0;

/// A waiting request.
#[derive(Clone, Copy, Debug)]
struct QueuedRequest {
    id: RequestId,
    is_write: bool,
    /// Requests of higher priority are sent first.
    priority: f64,
}

/// Whether the origin has capacity for reads and for writes.
#[derive(Clone, Copy, Debug)]
pub(super) struct OriginCapacity {
    /// Whether one more read may be sent.
    pub(super) accepts_reads: bool,
    /// Whether one more write may be sent.
    pub(super) accepts_writes: bool,
}

impl OriginCapacity {
    /// Whether there is capacity for this request.
    fn has_capacity_for(self, request: &QueuedRequest) -> bool {
        if request.is_write {
            self.accepts_writes
        } else {
            self.accepts_reads
        }
    }
}

/// The origin queue.
#[derive(Debug, Default)]
pub(super) struct OriginQueue {
    waiting: Vec<QueuedRequest>,
    /// Whether the timer that drains the queue is set.
    pub(super) is_drain_timer_set: bool,
}

impl OriginQueue {
    /// Whether no request waits.
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

    /// Removes a request, if it is queued.
    pub(super) fn remove(&mut self, id: &RequestId) {
        self.waiting.retain(|request| request.id != *id);
    }

    /// Removes the request of the lowest priority.
    pub(super) fn remove_lowest_priority(&mut self) -> Option<RequestId> {
        let indices = 0..self.waiting.len();
        let lowest = indices.min_by(|a, b| self.priority(*a).total_cmp(&self.priority(*b)))?;
        Some(self.waiting.swap_remove(lowest).id)
    }

    /// Removes the request of the highest priority for which there is capacity.
    pub(super) fn remove_highest_priority(&mut self, capacity: OriginCapacity) -> Option<RequestId> {
        let admissible =
            (0..self.waiting.len()).filter(|index| capacity.has_capacity_for(&self.waiting[*index]));
        let highest = admissible.max_by(|a, b| self.priority(*a).total_cmp(&self.priority(*b)))?;
        Some(self.waiting.swap_remove(highest).id)
    }

    /// The priority of the request at this index.
    fn priority(&self, index: usize) -> f64 {
        self.waiting[index].priority
    }
}
