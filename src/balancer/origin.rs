//! Decides whether a request is sent to the origin now, waits in the origin queue, or is rejected.
//!
//! Inputs are the origin's gap and concurrency limit, the rate limit that balancers share, and the origin
//! queue. No other server can take the origin's requests, so a request that may not be sent yet waits, but
//! only while a response can still be in time.

use super::open_request::{OpenRequest, QueueState};
use super::origin_queue::OriginCapacity;
use super::routing::Route;
use super::{Balancer, ORIGIN_QUEUE_TIMER};
use crate::action::{Action, RejectReason};
use crate::coordination::SharedLimit;
use crate::request::RequestId;
use crate::time::Micros;

/// Longest wait of a read for the origin, as a share of the remaining useful time.
const READ_MAX_WAIT_SHARE: f64 = 0.3;
/// Longest wait of a write for the origin, as a share of the remaining useful time.
const WRITE_MAX_WAIT_SHARE: f64 = 0.8;
/// Bounds the length of the queue: it holds at most the requests that the origin can complete within this
/// time, plus [`QUEUE_LENGTH_ALLOWANCE`].
const MAX_QUEUE_TIME: Micros = Micros::from_millis(400);
/// Requests that may wait in addition, however slow the origin is.
const QUEUE_LENGTH_ALLOWANCE: usize = 2;
/// Tenant whose gap at the origin delays the whole queue: the first tenant of the settings.
const QUEUE_TENANT: u32 = 0;

impl Balancer {
    /// Chooses the route of a request that only the origin can serve. A request that has waited in the queue
    /// is sent or rejected; any other request is sent, queued or rejected.
    pub(super) fn choose_origin(&mut self, now: Micros, open: &OpenRequest) -> Route {
        let wait = self.origin_wait(now, open.request.tenant);
        let no_server = Route::Reject { wait: Micros::ZERO, reason: RejectReason::NoEligibleServer };
        let Some(server) = self.endpoints.origin_index else { return no_server };
        let origin = &mut self.endpoints.servers[server];
        let class = self.settings.class(open.request.class);
        if !open.may_send(now, &origin.endpoint, class, &self.settings.limits) {
            return no_server;
        }
        let must_wait = wait > Micros::ZERO || !origin.concurrency.has_capacity(now, open.request.is_write);
        match open.queue_state {
            QueueState::Admitted => Route::Forward { server },
            QueueState::Preempted => Route::Reject { wait, reason: RejectReason::Preempted },
            QueueState::Waiting => Route::Reject { wait, reason: RejectReason::QueueTimeout },
            QueueState::NotQueued => {
                let time_left = open.useful_until - now;
                if !origin.concurrency.is_worth_sending_within(time_left) {
                    return Route::Reject { wait, reason: RejectReason::DeadlineUnreachable };
                }
                if must_wait || self.must_queue_behind_others(open) {
                    return Route::Enqueue { max_wait: max_queue_wait(open, time_left) };
                }
                Route::Forward { server }
            }
        }
    }

    /// Whether the request must queue behind requests that wait already. Writes may overtake them; reads may
    /// not.
    fn must_queue_behind_others(&self, open: &OpenRequest) -> bool {
        !open.request.is_write && !self.origin_queue.is_empty()
    }

    /// Time until this source may send to the origin, by the origin's gap and the rate limit that balancers
    /// share; `Micros::ZERO` if it may send now.
    pub(super) fn origin_wait(&mut self, now: Micros, source: u32) -> Micros {
        let shared_wait = self.coordination.wait_time(SharedLimit::OriginRate, now);
        let Some(origin) = self.endpoints.origin_mut() else { return shared_wait };
        origin.gap.wait(now, source, &self.origin_ladder).max(shared_wait)
    }

    /// Puts a request into the origin queue. If the queue is then too long, the request of the lowest
    /// priority is preempted and rejected at once, so that its client need not wait for a timeout.
    pub(super) fn enqueue(
        &mut self,
        now: Micros,
        max_wait: Micros,
        mut open: OpenRequest,
        actions: &mut Vec<Action>,
    ) {
        open.queue_state = QueueState::Waiting;
        let popularity = open.request.key.map_or(0.0, |key| self.placement.popularity(key));
        self.origin_queue.push(open.request.id, open.request.is_write, popularity);
        self.park(now, max_wait, open, actions);
        self.schedule_drain(now, actions);
        if self.origin_queue.len() > self.max_queue_length() {
            if let Some(id) = self.origin_queue.remove_lowest_priority() {
                self.resume(now, id, QueueState::Preempted, actions);
            }
        }
    }

    /// The current bound on the length of the queue.
    fn max_queue_length(&mut self) -> usize {
        let origin = self.endpoints.origin_mut();
        let completions = origin.map_or(0, |origin| origin.concurrency.completions_within(MAX_QUEUE_TIME));
        completions + QUEUE_LENGTH_ALLOWANCE
    }

    /// Sends queued requests to the origin, by priority, while it has capacity for them.
    pub(super) fn admit_waiting(&mut self, now: Micros, actions: &mut Vec<Action>) {
        while let Some(id) = self.take_admissible(now) {
            self.resume(now, id, QueueState::Admitted, actions);
        }
        self.schedule_drain(now, actions);
    }

    /// Removes from the queue the next request that may be sent to the origin.
    fn take_admissible(&mut self, now: Micros) -> Option<RequestId> {
        // While no request waits, the shared limit is not queried, because a query counts as demand.
        if self.origin_queue.is_empty() || self.origin_wait(now, QUEUE_TENANT) > Micros::ZERO {
            return None;
        }
        let origin = self.endpoints.origin_mut()?;
        let capacity = OriginCapacity {
            accepts_reads: origin.concurrency.has_capacity(now, false),
            accepts_writes: origin.concurrency.has_capacity(now, true),
        };
        self.origin_queue.remove_highest_priority(capacity)
    }

    /// Routes a request again after its removal from the queue.
    fn resume(&mut self, now: Micros, id: RequestId, queue_state: QueueState, actions: &mut Vec<Action>) {
        if let Some(mut open) = self.open_requests.take(&id) {
            open.queue_state = queue_state;
            self.route(now, open, actions);
        }
    }

    /// Sets the timer that drains the queue, unless it is already set. No timer is needed if only capacity is
    /// missing: the completion of an attempt frees capacity and drains the queue.
    fn schedule_drain(&mut self, now: Micros, actions: &mut Vec<Action>) {
        if self.origin_queue.is_empty() {
            return;
        }
        let wait = self.origin_wait(now, QUEUE_TENANT);
        if !self.origin_queue.is_drain_timer_set && wait > Micros::ZERO {
            self.origin_queue.is_drain_timer_set = true;
            actions.push(Action::Timer { at: now + wait, token: ORIGIN_QUEUE_TIMER });
        }
    }

    /// Handles the timer that [`Balancer::schedule_drain`] has set.
    pub(super) fn on_drain_timer(&mut self, now: Micros, actions: &mut Vec<Action>) {
        self.origin_queue.is_drain_timer_set = false;
        self.admit_waiting(now, actions);
    }
}

/// Longest time that a request with this remaining useful time waits in the origin queue.
fn max_queue_wait(open: &OpenRequest, time_left: Micros) -> Micros {
    let share = if open.request.is_write { WRITE_MAX_WAIT_SHARE } else { READ_MAX_WAIT_SHARE };
    time_left.mul_f64(share)
}
