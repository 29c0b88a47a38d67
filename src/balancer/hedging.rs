//! When an attempt without a response is hedged or times out, and which budget pays for a hedged request.
//!
//! Inputs are the time for which an answer is still useful, and how long ago the server last responded: the
//! longer ago, the less is known of it, and the sooner the request is hedged. Every hedged request is taken
//! off this balancer's own budget, which first attempts refill; that budget decides only where no retry
//! budget is shared.

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

/// Share of the useful time left after which an attempt without a response is hedged or times out.
const HEDGE_AFTER_SHARE: f64 = 0.65;
/// What is taken off that share for a server that has not responded for as long as evidence lasts.
const MAX_HEDGE_SHARE_REDUCTION: f64 = 0.22;
/// Hedged requests that a first attempt pays for, where one outcome is a window; fewer in proportion where
/// more are.
const HEDGES_PER_FIRST_ATTEMPT: f64 = 0.4;
/// Most hedged requests that may be saved up.
const MAX_SAVED_HEDGES: f64 = 10.0;

/// Hedged requests that this balancer may still send by itself.
#[derive(Debug)]
pub(super) struct HedgeBudget {
    /// Hedged requests saved up; below zero where a shared budget allowed more.
    hedges: f64,
}

impl HedgeBudget {
    /// A full budget.
    pub(super) fn new() -> HedgeBudget {
        HedgeBudget { hedges: MAX_SAVED_HEDGES }
    }

    /// A request has come in that is not a client's retry.
    pub(super) fn on_new_request(&mut self, ladder: &GapLadder) {
        let earned = HEDGES_PER_FIRST_ATTEMPT / ladder.window_outcomes;
        self.hedges = (self.hedges + earned).min(MAX_SAVED_HEDGES);
    }

    /// A hedged request goes out.
    fn spend(&mut self) {
        self.hedges -= 1.0;
    }
}

/// What happens to an attempt that stays without a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SilencePolicy {
    /// It may take until the request's deadline.
    KeepWaiting,
    /// The request is hedged after this time, while the attempt goes on.
    HedgeAfter(Micros),
    /// It times out after this time.
    TimeOutAfter(Micros),
}

impl Balancer {
    /// What to do about an attempt at this server that stays without a response. Only what is idempotent can
    /// be sent a second time, and no other server stands in for the origin.
    pub(super) fn silence_policy(&self, now: Micros, open: &OpenRequest, server: &Server) -> SilencePolicy {
        let class = self.settings.class(open.request.class);
        let is_origin = self.settings.is_origin(&server.endpoint);
        if class.idempotency != Idempotency::Idempotent || is_origin {
            return SilencePolicy::KeepWaiting;
        }
        let evidence_lifetime = EVIDENCE_LIFETIME_IN_WINDOWS * self.cache_ladder.window.as_f64();
        let silent_share = ((now - server.last_response).as_f64() / evidence_lifetime).min(1.0);
        let share = HEDGE_AFTER_SHARE - MAX_HEDGE_SHARE_REDUCTION * silent_share;
        let delay = (open.useful_until - now).mul_f64(share).max(Micros(1));
        if self.settings.limits.may_duplicate {
            SilencePolicy::HedgeAfter(delay)
        } else {
            SilencePolicy::TimeOutAfter(delay)
        }
    }

    /// Sends a request whose attempt has no response yet to another server as well, if one can take it and
    /// the budget allows it.
    pub(super) fn hedge(&mut self, now: Micros, open: OpenRequest, actions: &mut Vec<Action>) {
        self.count_silence(now, &open);
        if let Route::Forward { server } = self.choose_route(now, &open) {
            if self.may_hedge(now) {
                self.hedge_budget.spend();
                self.forward(now, server, open, actions);
                return;
            }
        }
        self.open_requests.insert(open);
    }

    /// Whether a hedged request may go out: nothing waits for the origin, and the budget allows it.
    /// `choose_route` has asked the shared budget already.
    fn may_hedge(&mut self, now: Micros) -> bool {
        self.origin_queue.is_empty() && self.coordination.allows_hedge(now, self.hedge_budget.hedges)
    }

    /// Counts the silence of the attempt in flight as a rejection by its server, where one outcome is a
    /// window: a balancer that sends there once in seconds cannot wait for the end of the attempt.
    fn count_silence(&mut self, now: Micros, open: &OpenRequest) {
        if !self.cache_ladder.is_one_outcome_enough() {
            return;
        }
        let Some(attempt) = open.attempt_in_flight() else { return };
        let Some(server) = self.endpoints.server_mut(attempt.endpoint.server) else { return };
        if !server.concurrency.is_timeout_meaningful(now - attempt.sent) {
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
