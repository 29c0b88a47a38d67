//! Handles completed attempts.
//!
//! Inputs are the attempt's result and latency, and its request. First, the state of the server and of its
//! zone is updated. Then the request is closed, waits for another attempt, or is routed again. Last, requests
//! in the origin queue may be sent. Retries are charged to the retry budget that balancers share, if they
//! share one.

use super::concurrency_limit::ConcurrencyLimit;
use super::gap_ladder::SendOutcome;
use super::open_request::OpenRequest;
use super::Balancer;
use crate::action::Action;
use crate::coordination::{LoadEvidence, SharedLimit};
use crate::request::{AttemptResult, CompletedAttempt};
use crate::time::Micros;

/// The next step of a request after a completed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum NextStep {
    /// The request has its final answer.
    Close,
    /// Another attempt is in flight, or a response has begun.
    Wait,
    /// The request is routed again, by which it is sent, queued or rejected.
    RouteAgain,
}

impl Balancer {
    /// Whether a request may have one more attempt. A retry must also be within the shared retry budget.
    pub(super) fn may_attempt(&mut self, now: Micros, open: &OpenRequest) -> bool {
        if open.attempts_left(&self.settings.limits) == 0 {
            return false;
        }
        let budget_wait = if open.uses_retry_budget() {
            self.coordination.wait_time(SharedLimit::RetryBudget, now)
        } else {
            Micros::ZERO
        };
        budget_wait == Micros::ZERO
    }

    /// Handles a completed attempt.
    pub(super) fn on_attempt_completed(
        &mut self,
        now: Micros,
        completed: &CompletedAttempt,
        actions: &mut Vec<Action>,
    ) {
        let open = self.open_requests.take(&completed.id);
        let is_write = open.as_ref().is_some_and(|open| open.request.is_write);
        self.update_server(now, completed, is_write);
        if let Some(open) = open {
            self.continue_request(now, open, completed, actions);
        }
        self.admit_waiting(now, actions);
    }

    /// Updates the gap, the concurrency limit and the zone of the server that an attempt went to.
    fn update_server(&mut self, now: Micros, completed: &CompletedAttempt, is_write: bool) {
        let CompletedAttempt { result, latency, .. } = *completed;
        let Some(server) = self.endpoints.server_mut(completed.server) else { return };
        let is_origin = self.settings.is_origin(&server.endpoint);
        let attempt_outcome = AttemptOutcome {
            result,
            latency,
            is_write,
            is_origin,
            is_conclusive_timeout: result == AttemptResult::Timeout
                && server.concurrency.is_timeout_conclusive(latency),
        };
        attempt_outcome.apply_to(&mut server.concurrency, now);

        let evidence = attempt_outcome.evidence();
        if let Some(is_rejected) = evidence.is_rejected() {
            let outcome = SendOutcome { sent: now - latency, completed: now, is_rejected };
            let ladder = if is_origin { &self.origin_ladder } else { &self.cache_ladder };
            server.gap.on_outcome(outcome, ladder, self.rng.f64());
        }
        if is_origin {
            return;
        }
        self.coordination.on_attempt_completed(now, &server.endpoint, result, evidence);
        if matches!(result, AttemptResult::Served | AttemptResult::Miss) {
            server.last_response = now;
            self.response_rate.on_event(now);
        }
        if let Some(is_rejected) = evidence.is_rejected() {
            self.zones.on_attempt_completed(server.endpoint.zone, is_rejected);
        }
    }

    /// Closes a request after its completed attempt, keeps it open or routes it again.
    fn continue_request(
        &mut self,
        now: Micros,
        mut open: OpenRequest,
        completed: &CompletedAttempt,
        actions: &mut Vec<Action>,
    ) {
        open.on_attempt_completed(completed.attempt, completed.result);
        match next_step(&open, completed) {
            NextStep::Close => self.on_request_closed(&open),
            NextStep::Wait => self.open_requests.insert(open),
            NextStep::RouteAgain => self.route(now, open, actions),
        }
    }
}

/// The next step of a request that has recorded the attempt's result.
fn next_step(open: &OpenRequest, completed: &CompletedAttempt) -> NextStep {
    if completed.is_request_closed {
        NextStep::Close
    } else if open.attempt_in_flight().is_some() || open.has_response_started {
        NextStep::Wait
    } else {
        NextStep::RouteAgain
    }
}

/// The outcome of an attempt, as far as the state of its server depends on it.
#[derive(Clone, Copy, Debug)]
struct AttemptOutcome {
    result: AttemptResult,
    /// Time since the send.
    latency: Micros,
    is_write: bool,
    /// Whether the attempt went to the origin.
    is_origin: bool,
    /// Whether the attempt timed out after a time that is evidence about the server.
    is_conclusive_timeout: bool,
}

impl AttemptOutcome {
    /// Updates the concurrency limit of the attempt's server.
    fn apply_to(self, concurrency: &mut ConcurrencyLimit, now: Micros) {
        // The origin drops abandoned work. A cache server continues it, probably for as long again.
        let continues_work = self.result == AttemptResult::Timeout && !self.is_origin;
        concurrency.release(now, self.is_write, continues_work.then_some(self.latency));
        if self.is_conclusive_timeout {
            let drops_abandoned = self.is_origin;
            concurrency.on_timeout(now, self.latency, drops_abandoned);
        }
        if self.result == AttemptResult::Served {
            concurrency.on_response(now, self.latency);
        }
    }

    /// The evidence that the attempt gives about the load of its server.
    fn evidence(self) -> LoadEvidence {
        match self.result {
            AttemptResult::Rejected | AttemptResult::ConnectFailed => LoadEvidence::Rejected,
            // A broken connection is no sign of overload; if the server is gone, the next connection fails.
            AttemptResult::Served | AttemptResult::Miss | AttemptResult::Error | AttemptResult::Reset => {
                LoadEvidence::Accepted
            }
            // A timeout at the origin is no rejection: a slow origin still refills caches, and its
            // concurrency limit bounds the attempts that wait there.
            AttemptResult::Timeout if self.is_conclusive_timeout && !self.is_origin => LoadEvidence::Rejected,
            AttemptResult::Timeout | AttemptResult::Cancelled | AttemptResult::NotSent => {
                LoadEvidence::Inconclusive
            }
        }
    }
}
