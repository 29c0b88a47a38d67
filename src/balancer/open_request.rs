//! Decides whether a request may be sent to a server, and whether it may be rejected.
//!
//! Inputs are the idempotency of the request's class, its attempts so far and its deadline. A request that is
//! not idempotent is never executed a second time, and a request that may have been executed is rejected only
//! if repeating it is harmless.

use crate::endpoint::{Endpoint, EndpointState, ServerId};
use crate::request::{AttemptResult, Request};
use crate::settings::{Class, DeduplicationScope, Idempotency, Limits};
use crate::time::Micros;

/// State of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AttemptState {
    /// The attempt has no result yet.
    InFlight,
    /// The attempt has completed, and the server did not execute the request.
    NotExecuted,
    /// The attempt has completed, and the server may have executed the request or may still execute it.
    MayHaveExecuted,
}

impl AttemptState {
    /// The state of an attempt that completed with this result.
    pub(super) fn after(result: AttemptResult) -> AttemptState {
        match result {
            AttemptResult::Rejected
            | AttemptResult::ConnectFailed
            | AttemptResult::NotSent
            | AttemptResult::Miss => AttemptState::NotExecuted,
            AttemptResult::Served
            | AttemptResult::Error
            | AttemptResult::Timeout
            | AttemptResult::Reset
            | AttemptResult::Cancelled => AttemptState::MayHaveExecuted,
        }
    }
}

/// One attempt of a request.
#[derive(Debug)]
pub(super) struct Attempt {
    /// The server, as listed at the time of the send.
    pub(super) endpoint: Endpoint,
    /// Time of the send.
    pub(super) sent: Micros,
    /// State of the attempt.
    pub(super) state: AttemptState,
}

/// State of a request with respect to the origin queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum QueueState {
    /// Not queued since the request's last attempt.
    NotQueued,
    /// Queued. A request that is routed again in this state has waited for its maximum time.
    Waiting,
    /// Removed from the queue in favour of requests of higher priority.
    Preempted,
    /// Removed from the queue because the origin has capacity for it.
    Admitted,
}

/// A request without a final answer.
#[derive(Debug)]
pub(super) struct OpenRequest {
    /// The request as received.
    pub(super) request: Request,
    /// Time until which a response is useful; no later than the deadline.
    pub(super) useful_until: Micros,
    /// Attempts of the request, in the order in which they were sent.
    pub(super) attempts: Vec<Attempt>,
    /// Whether a cache server has answered with a miss.
    pub(super) has_missed: bool,
    /// Whether a streamed response has begun.
    pub(super) has_response_started: bool,
    /// Token of the request's latest timer; 0 if none was set.
    pub(super) timer_token: u64,
    /// State with respect to the origin queue.
    pub(super) queue_state: QueueState,
}

impl OpenRequest {
    /// A new request without attempts.
    pub(super) fn new(request: Request, useful_until: Micros) -> OpenRequest {
        OpenRequest {
            request,
            useful_until,
            attempts: vec![],
            has_missed: false,
            has_response_started: false,
            timer_token: 0,
            queue_state: QueueState::NotQueued,
        }
    }

    /// Records an attempt at this server.
    pub(super) fn on_send(&mut self, now: Micros, to: &Endpoint) {
        self.queue_state = QueueState::NotQueued;
        self.attempts.push(Attempt { endpoint: to.clone(), sent: now, state: AttemptState::InFlight });
    }

    /// Records the result of the attempt with this number.
    pub(super) fn on_attempt_completed(&mut self, attempt: u32, result: AttemptResult) {
        if let Some(attempt) = self.attempts.get_mut(attempt as usize) {
            attempt.state = AttemptState::after(result);
        }
        self.has_missed |= result == AttemptResult::Miss;
        self.queue_state = QueueState::NotQueued;
    }

    /// The attempts without a result.
    pub(super) fn attempts_in_flight(&self) -> impl DoubleEndedIterator<Item = &Attempt> {
        self.attempts.iter().filter(|attempt| attempt.state == AttemptState::InFlight)
    }

    /// The latest attempt without a result.
    pub(super) fn attempt_in_flight(&self) -> Option<&Attempt> {
        self.attempts_in_flight().next_back()
    }

    /// Whether the next attempt is a retry or a hedged request. A fetch from the origin after a miss is
    /// neither.
    pub(super) fn uses_retry_budget(&self) -> bool {
        !self.attempts.is_empty() && !self.has_missed
    }

    /// Whether an attempt has gone to this server.
    pub(super) fn has_tried(&self, server: ServerId) -> bool {
        self.attempts.iter().any(|attempt| attempt.endpoint.server == server)
    }

    /// Number of attempts that the request may still have.
    pub(super) fn attempts_left(&self, limits: &Limits) -> u32 {
        limits.max_attempts.max(1).saturating_sub(self.attempts.len() as u32)
    }

    /// Attempts in flight, and completed ones that the server may have executed or may still execute.
    fn possibly_executed(&self) -> impl Iterator<Item = &Attempt> {
        self.attempts.iter().filter(|attempt| attempt.state != AttemptState::NotExecuted)
    }

    /// Whether the request may be sent to this server now.
    pub(super) fn may_send(&self, now: Micros, to: &Endpoint, class: &Class, limits: &Limits) -> bool {
        let may_overlap = class.idempotency == Idempotency::Idempotent && limits.may_duplicate;
        if self.attempt_in_flight().is_some() && !may_overlap {
            return false;
        }
        let is_open = !self.has_response_started && now < self.request.deadline;
        self.attempts_left(limits) > 0
            && is_open
            && to.state == EndpointState::Serving
            && self.may_execute_at(now, to, class)
    }

    /// Whether the request can be executed at this server without taking effect twice.
    fn may_execute_at(&self, now: Micros, to: &Endpoint, class: &Class) -> bool {
        match class.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::NotIdempotent => self.possibly_executed().next().is_none(),
            Idempotency::WithIdempotencyKey => {
                self.possibly_executed().all(|attempt| is_deduplicated(now, attempt, to, class))
            }
        }
    }

    /// Whether the request may be rejected: the client may then send it again, to any server.
    pub(super) fn may_reject(&self, class: &Class) -> bool {
        let is_deduplicated_everywhere = class.idempotency == Idempotency::WithIdempotencyKey
            && class.deduplication_scope == DeduplicationScope::All;
        class.idempotency == Idempotency::Idempotent
            || is_deduplicated_everywhere
            || self.possibly_executed().next().is_none()
    }
}

/// Whether this server recognizes a repeat of an earlier attempt and drops it, if it is sent now.
fn is_deduplicated(now: Micros, earlier: &Attempt, to: &Endpoint, class: &Class) -> bool {
    let is_in_scope = match class.deduplication_scope {
        DeduplicationScope::All => true,
        DeduplicationScope::Zone => earlier.endpoint.zone == to.zone,
        DeduplicationScope::Cell => earlier.endpoint.cell == to.cell,
    };
    is_in_scope && now - earlier.sent < class.deduplication_window
}
