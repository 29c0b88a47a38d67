//! What follows a completed attempt.
//!
//! Inputs are the attempt's result and latency, and its request. First the server's gap, concurrency limit
//! and zone learn from it; then the request is answered, waits for another attempt, or is routed anew; last
//! what waits for the origin may go. Retries are paid from the retry budget that balancers share, if they
//! share one.

use super::concurrency_limit::ConcurrencyLimit;
use super::gap_ladder::SendOutcome;
use super::open_request::OpenRequest;
use super::Balancer;
use crate::coordination::Evidence;
use crate::*;

/// What follows a completed attempt for its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum NextStep {
    /// It has its final answer.
    Close,
    /// Another attempt is in flight, or a response has begun.
    Wait,
    /// It is routed anew: to another server, into the queue or to its end.
    RouteAnew,
}

impl Balancer {
    /// Whether a request may have one more attempt, and the retry budget pays for it if it is a retry.
    pub(super) fn may_attempt_again(&mut self, now: Micros, open: &OpenRequest) -> bool {
        if open.attempts_left(&self.settings.limits) == 0 {
            return false;
        }
        let budget_wait = if open.is_retry() {
            self.coordination.wait_time(SharedLimit::RetryBudget, now)
        } else {
            Micros::ZERO
        };
        budget_wait == Micros::ZERO
    }

    /// An attempt has ended.
    pub(super) fn on_attempt_completed(
        &mut self,
        now: Micros,
        completed: &CompletedAttempt,
        actions: &mut Vec<Action>,
    ) {
        let open = self.open_requests.take(&completed.id);
        let is_write = open.as_ref().is_some_and(|open| open.request.is_write);
        self.learn(now, completed, is_write);
        if let Some(open) = open {
            self.continue_request(now, open, completed, actions);
        }
        self.admit_waiting(now, actions);
    }

    /// Updates what is known of the server that an attempt went to.
    fn learn(&mut self, now: Micros, completed: &CompletedAttempt, is_write: bool) {
        let CompletedAttempt { result, latency, .. } = *completed;
        let Some(server) = self.endpoints.server_mut(completed.server) else { return };
        let is_origin = self.settings.is_origin(&server.endpoint);
        let ending = AttemptEnding {
            result,
            latency,
            is_write,
            is_origin,
            is_meaningful_timeout: result == AttemptResult::Timeout
                && server.concurrency.is_timeout_meaningful(latency),
        };
        ending.update(now, &mut server.concurrency);

        let evidence = ending.evidence();
        if evidence != Evidence::Inconclusive {
            let is_rejected = evidence == Evidence::Rejected;
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
        if evidence != Evidence::Inconclusive {
            let is_rejected = evidence == Evidence::Rejected;
            self.zones.on_attempt_completed(server.endpoint.zone, is_rejected);
        }
    }

    /// Does with a request what follows its completed attempt.
    fn continue_request(
        &mut self,
        now: Micros,
        mut open: OpenRequest,
        completed: &CompletedAttempt,
        actions: &mut Vec<Action>,
    ) {
        open.on_attempt_completed(completed.attempt, completed.result);
        match next_step(&open, completed) {
            NextStep::Close => {}
            NextStep::Wait => self.open_requests.insert(open),
            NextStep::RouteAnew => self.route(now, open, actions),
        }
    }
}

/// What follows for a request, once the attempt's result stands in it.
fn next_step(open: &OpenRequest, completed: &CompletedAttempt) -> NextStep {
    if completed.request_closed {
        NextStep::Close
    } else if open.attempt_in_flight().is_some() || open.has_response_started {
        NextStep::Wait
    } else {
        NextStep::RouteAnew
    }
}

/// How an attempt ended, as far as its server's state follows from it.
#[derive(Clone, Copy, Debug)]
struct AttemptEnding {
    result: AttemptResult,
    /// Time since it was sent.
    latency: Micros,
    is_write: bool,
    is_origin: bool,
    /// Whether it timed out after a time that tells of the server.
    is_meaningful_timeout: bool,
}

impl AttemptEnding {
    /// Updates the concurrency limit of the attempt's server.
    fn update(self, now: Micros, concurrency: &mut ConcurrencyLimit) {
        // The origin drops what nobody waits for; a cache server goes on with it, for as long again as it has
        // had.
        let goes_on = self.result == AttemptResult::Timeout && !self.is_origin;
        concurrency.release(now, self.is_write, goes_on.then_some(self.latency));
        if self.is_meaningful_timeout {
            let drops_abandoned = self.is_origin;
            concurrency.on_timeout(now, self.latency, drops_abandoned);
        }
        if self.result == AttemptResult::Served {
            concurrency.on_response(now, self.latency);
        }
    }

    /// What the attempt shows of its server's load.
    fn evidence(self) -> Evidence {
        match self.result {
            AttemptResult::Rejected | AttemptResult::ConnectFailed => Evidence::Rejected,
            // A connection that breaks tells of itself; a server that is gone, by the next one.
            AttemptResult::Served | AttemptResult::Miss | AttemptResult::Error | AttemptResult::Reset => {
                Evidence::Accepted
            }
            // A slow origin still refills caches, and its concurrency limit bounds what waits there.
            AttemptResult::Timeout if self.is_meaningful_timeout && !self.is_origin => Evidence::Rejected,
            AttemptResult::Timeout | AttemptResult::Cancelled | AttemptResult::NotSent => {
                Evidence::Inconclusive
            }
        }
    }
}
