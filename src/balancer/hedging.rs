//! Decides when an attempt without a response is hedged or times out, and which budget a hedged request is
//! charged to.
//!
//! Inputs are the remaining time in which a response is useful, and the time since the server's last
//! response: the longer this time, the less is known about the server, and the sooner the request is hedged.
//! Every hedged request is charged to this balancer's own budget, which first attempts refill; the own budget
//! limits hedged requests only if the balancers share no retry budget.

use super::endpoint_set::Server;
use super::gap_ladder::{GapLadder, SendOutcome, EVIDENCE_LIFETIME_IN_WINDOWS};
use super::open_request::OpenRequest;
use super::routing::Route;
use super::Balancer;
use crate::action::Action;
use crate::coordination::LoadEvidence;
use crate::request::AttemptResult;
use crate::settings::Idempotency;
use crate::time::Micros;

/// Share of the remaining useful time after which an attempt without a response is hedged or times out.
const HEDGE_AFTER_SHARE: f64 = 0.65;
/// Largest reduction of [`HEDGE_AFTER_SHARE`], for a server without a response for a whole evidence lifetime.
const MAX_HEDGE_SHARE_REDUCTION: f64 = 0.22;
/// Hedged requests that each first attempt adds to the budget if one outcome completes a first window;
/// divided by the number of outcomes if more are needed.
const HEDGES_PER_FIRST_ATTEMPT: f64 = 0.4;
/// Upper bound on the budget, in hedged requests.
const MAX_SAVED_HEDGES: f64 = 10.0;

/// This balancer's own budget for hedged requests.
#[derive(Debug)]
pub(super) struct HedgeBudget {
    /// Hedged requests available; negative if a shared budget allowed more.
    hedges: f64,
}

impl HedgeBudget {
    /// A full budget.
    pub(super) fn new() -> HedgeBudget {
        HedgeBudget { hedges: MAX_SAVED_HEDGES }
    }

    /// Refills the budget for a request that is not a client's retry.
    pub(super) fn on_new_request(&mut self, ladder: &GapLadder) {
        let earned = HEDGES_PER_FIRST_ATTEMPT / ladder.window_outcomes;
        self.hedges = (self.hedges + earned).min(MAX_SAVED_HEDGES);
    }

    /// Charges one hedged request to the budget.
    fn spend(&mut self) {
        self.hedges -= 1.0;
    }
}

/// Policy for an attempt that gets no response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum NoResponsePolicy {
    /// Wait until the request's deadline.
    KeepWaiting,
    /// Hedge the request after this time, and keep the attempt in flight.
    HedgeAfter(Micros),
    /// Time the attempt out after this time.
    TimeOutAfter(Micros),
}

impl Balancer {
    /// The policy for an attempt at this server. Only idempotent requests may be sent a second time, and no
    /// other server can take the requests of the origin.
    pub(super) fn no_response_policy(
        &self,
        now: Micros,
        open: &OpenRequest,
        server: &Server,
    ) -> NoResponsePolicy {
        let class = self.settings.class(open.request.class);
        let is_origin = self.settings.is_origin(&server.endpoint);
        if class.idempotency != Idempotency::Idempotent || is_origin {
            return NoResponsePolicy::KeepWaiting;
        }
        let evidence_lifetime = EVIDENCE_LIFETIME_IN_WINDOWS * self.cache_ladder.window.as_f64();
        let no_response_share = ((now - server.last_response).as_f64() / evidence_lifetime).min(1.0);
        let share = HEDGE_AFTER_SHARE - MAX_HEDGE_SHARE_REDUCTION * no_response_share;
        let delay = (open.useful_until - now).mul_f64(share).max(Micros(1));
        if self.settings.limits.may_duplicate {
            NoResponsePolicy::HedgeAfter(delay)
        } else {
            NoResponsePolicy::TimeOutAfter(delay)
        }
    }

    /// Counts the missing response of an attempt against its server, and sends a hedged request if another
    /// server can take the request and the budget allows it.
    pub(super) fn hedge(&mut self, now: Micros, open: OpenRequest, actions: &mut Vec<Action>) {
        self.count_missing_response(now, &open);
        if let Route::Forward { server } = self.choose_route(now, &open) {
            if self.may_hedge(now) {
                self.hedge_budget.spend();
                self.forward(now, server, open, actions);
                return;
            }
        }
        self.open_requests.insert(open);
    }

    /// Whether a hedged request may be sent: no request waits for the origin, and the budget allows it.
    /// `choose_route` queries the shared budget too, except after a miss.
    fn may_hedge(&mut self, now: Micros) -> bool {
        self.origin_queue.is_empty() && self.coordination.allows_hedge(now, self.hedge_budget.hedges)
    }

    /// Counts the attempt in flight, which has no response yet, as rejected by its server if one outcome
    /// completes a first window: a balancer that sends to the server once in several seconds cannot wait for
    /// the attempt to complete.
    fn count_missing_response(&mut self, now: Micros, open: &OpenRequest) {
        if !self.cache_ladder.is_one_outcome_sufficient() {
            return;
        }
        let Some(attempt) = open.attempt_in_flight() else { return };
        let Some(server) = self.endpoints.server_mut(attempt.endpoint.server) else { return };
        if !server.concurrency.is_timeout_conclusive(now - attempt.sent) {
            return;
        }
        let outcome = SendOutcome { sent: attempt.sent, completed: now, is_rejected: true };
        server.gap.on_outcome(outcome, &self.cache_ladder, self.rng.f64());
        self.zones.on_attempt_completed(attempt.endpoint.zone, true);
        self.coordination.on_attempt_completed(
            now,
            &attempt.endpoint,
            AttemptResult::Timeout,
            LoadEvidence::Rejected,
        );
    }
}
