//! Whether a request may go to the origin now, waits for it, or is preempted.
//!
//! Inputs are the origin's gap and concurrency limit, the limit that balancers share, and the queue before
//! the origin. No other server can stand in for it, so a request that may not go there yet waits, but only
//! for as long as an answer can still be in time.

use super::open_request::{OpenRequest, QueueState};
use super::origin_queue::OriginCapacity;
use super::routing::Route;
use super::{Balancer, ORIGIN_QUEUE_TIMER};
use crate::action::{Action, RejectReason};
use crate::coordination::SharedLimit;
use crate::request::RequestId;
use crate::time::Micros;

/// Share of the useful time left that a read waits for the origin at most.
const READ_MAX_WAIT_SHARE: f64 = 0.3;
/// Share of the useful time left that a write waits for the origin at most.
const WRITE_MAX_WAIT_SHARE: f64 = 0.8;
/// The queue holds no more requests than the origin can complete within this time, plus the allowance below.
const MAX_QUEUE_TIME: Micros = Micros::from_millis(400);
/// Requests that may wait beyond that, however slow the origin is.
const QUEUE_LENGTH_ALLOWANCE: usize = 2;
/// The tenant whose gap at the origin holds back the whole queue: the first one of the settings.
const QUEUE_TENANT: u32 = 0;

impl Balancer {
    /// Decides on a request that only the origin can serve. One that has waited is sent or rejected; one that
    /// comes in is sent, queued or rejected.
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
            QueueState::CapacityReserved => Route::Forward { server },
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

    /// Whether requests wait already that this one must not overtake: a read overtakes none.
    fn must_queue_behind_others(&self, open: &OpenRequest) -> bool {
        !open.request.is_write && !self.origin_queue.is_empty()
    }

    /// How long the origin's gap, or the limit on its requests that balancers share, holds back the next send
    /// of this source; `Micros::ZERO` if it may go now.
    pub(super) fn origin_wait(&mut self, now: Micros, source: u32) -> Micros {
        let shared_wait = self.coordination.wait_time(SharedLimit::OriginRate, now);
        let Some(origin) = self.endpoints.origin_mut() else { return shared_wait };
        origin.gap.wait(now, source, &self.origin_ladder).max(shared_wait)
    }

    /// Queues a request before the origin. If the queue is too long then, its lowest priority is preempted
    /// and rejected at once, so that its client need not wait for a timeout.
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
            if let Some(id) = self.origin_queue.take_lowest() {
                self.resume(now, id, QueueState::Preempted, actions);
            }
        }
    }

    /// The number of requests that may wait for the origin now.
    fn max_queue_length(&mut self) -> usize {
        let origin = self.endpoints.origin_mut();
        let completions = origin.map_or(0, |origin| origin.concurrency.completions_within(MAX_QUEUE_TIME));
        completions + QUEUE_LENGTH_ALLOWANCE
    }

    /// Sends what waits for the origin, by priority, for as long as there is capacity for it.
    pub(super) fn admit_waiting(&mut self, now: Micros, actions: &mut Vec<Action>) {
        while let Some(id) = self.take_admissible(now) {
            self.resume(now, id, QueueState::CapacityReserved, actions);
        }
        self.schedule_drain(now, actions);
    }

    /// Takes the request out of the queue that may go to the origin now.
    fn take_admissible(&mut self, now: Micros) -> Option<RequestId> {
        // With nobody waiting the shared limit is not asked: it would count that as need.
        if self.origin_queue.is_empty() || self.origin_wait(now, QUEUE_TENANT) > Micros::ZERO {
            return None;
        }
        let origin = self.endpoints.origin_mut()?;
        let capacity = OriginCapacity {
            has_for_reads: origin.concurrency.has_capacity(now, false),
            has_for_writes: origin.concurrency.has_capacity(now, true),
        };
        self.origin_queue.take_highest(capacity)
    }

    /// Routes a request again that was taken out of the queue.
    fn resume(&mut self, now: Micros, id: RequestId, queue_state: QueueState, actions: &mut Vec<Action>) {
        if let Some(mut open) = self.open_requests.take(&id) {
            open.queue_state = queue_state;
            self.route(now, open, actions);
        }
    }

    /// Sets the timer at which the queue is looked through again, unless it is set or nothing but capacity is
    /// missing: the end of an attempt gives that.
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

    /// The timer is due that [`Balancer::schedule_drain`] has set.
    pub(super) fn on_drain_timer(&mut self, now: Micros, actions: &mut Vec<Action>) {
        self.origin_queue.is_drain_timer_set = false;
        self.admit_waiting(now, actions);
    }
}

/// For how long a request that has this time left waits for the origin at most.
fn max_queue_wait(open: &OpenRequest, time_left: Micros) -> Micros {
    let share = if open.request.is_write { WRITE_MAX_WAIT_SHARE } else { READ_MAX_WAIT_SHARE };
    time_left.mul_f64(share)
}
