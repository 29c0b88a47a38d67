//! Decides until when a response is useful, whether a request is shed, and with which reason and Retry-After
//! a request is rejected.
//!
//! Inputs are the latency objective and deadline of the request's class, the deadline of the request, and the
//! time since the client's first attempt.

use super::open_request::OpenRequest;
use super::Balancer;
use crate::action::{Action, RejectReason};
use crate::request::Request;
use crate::settings::Settings;
use crate::time::Micros;

/// Time over which the retries of clients that are rejected together are spread.
pub(super) const RETRY_AFTER_SPREAD: Micros = Micros::from_millis(250);
/// The estimate of the elapsed time counts as certain if the remaining time of a client retry is below the
/// longest remaining time of first attempts by more than this multiple of the minimum batch interval.
const TIME_LEFT_TOLERANCE_IN_BATCH_INTERVALS: f64 = 2.0;
/// Share of the estimated time since the first attempt that counts if the estimate is uncertain.
const UNCERTAIN_ELAPSED_SHARE: f64 = 0.5;

/// Estimates how long a client has already waited, from the remaining times of first attempts seen so far.
#[derive(Debug)]
pub(super) struct ClientWaitEstimator {
    /// Longest remaining time of a first attempt on arrival, by class.
    longest_initial_time_left: Vec<Micros>,
}

impl ClientWaitEstimator {
    /// Creates the state without observations, for this number of classes.
    pub(super) fn new(classes: usize) -> ClientWaitEstimator {
        ClientWaitEstimator { longest_initial_time_left: vec![Micros::ZERO; classes] }
    }

    /// Records the remaining time of a request that is not a client's retry.
    fn on_new_request(&mut self, now: Micros, request: &Request, settings: &Settings) {
        let time_left = request.deadline - now;
        let longest_time_left = &mut self.longest_initial_time_left[settings.class_index(request.class)];
        *longest_time_left = time_left.max(*longest_time_left);
    }

    /// Time until which a response is useful: the end of the latency objective, counted from the client's
    /// first attempt, or the deadline if late responses have a priority weight too.
    fn useful_until(&self, now: Micros, request: &Request, settings: &Settings) -> Micros {
        let class = settings.class(request.class);
        if class.late_priority_weight > 0.0 {
            return request.deadline;
        }
        let work = request.expected_work.unwrap_or(Micros::ZERO);
        let objective = class.latency_objective + work.mul_f64(class.latency_objective_per_work);
        let objective = objective.min(class.deadline.max(class.latency_objective));
        let objective_left = objective - self.elapsed_before_arrival(now, request, settings);
        (now + objective_left).min(request.deadline)
    }

    /// Estimates the time since the client's first attempt. A client waits for the deadline of its class over
    /// all its attempts, so the remaining time of a retry shows how much time has passed. The estimate is
    /// certain only if the remaining time is clearly below the longest one of first attempts.
    fn elapsed_before_arrival(&self, now: Micros, request: &Request, settings: &Settings) -> Micros {
        if !request.is_client_retry {
            return Micros::ZERO;
        }
        let time_left = request.deadline - now;
        let elapsed = settings.class(request.class).deadline - time_left;
        let longest_time_left = self.longest_initial_time_left[settings.class_index(request.class)];
        let tolerance = settings.min_batch_interval.mul_f64(TIME_LEFT_TOLERANCE_IN_BATCH_INTERVALS);
        let is_certain = time_left + tolerance < longest_time_left;
        elapsed.mul_f64(if is_certain { 1.0 } else { UNCERTAIN_ELAPSED_SHARE })
    }
}

impl Balancer {
    /// Handles a new request.
    pub(super) fn on_request(&mut self, now: Micros, mut request: Request, actions: &mut Vec<Action>) {
        // Tenants that the settings do not list get one common number: the gap of a server counts them as a
        // single source.
        request.tenant = request.tenant.min(self.settings.tenants.len() as u32);
        if !request.is_client_retry {
            self.client_wait.on_new_request(now, &request, &self.settings);
            self.coordination.on_new_request(now);
            self.hedge_budget.on_new_request(&self.cache_ladder);
        }
        let useful_until = self.client_wait.useful_until(now, &request, &self.settings);
        let read_key = request.key.filter(|_| !request.is_write);
        if let Some(key) = read_key {
            self.placement.on_read(key);
        }
        self.route(now, OpenRequest::new(request, useful_until), actions);
    }

    /// Why a request is shed regardless of the state of the servers; `None` if another attempt is worthwhile.
    pub(super) fn shed_reason(&mut self, now: Micros, open: &OpenRequest) -> Option<RejectReason> {
        if !self.may_attempt(now, open) {
            return Some(RejectReason::AttemptsExhausted);
        }
        let is_too_late = now >= open.useful_until;
        is_too_late.then_some(RejectReason::ObjectiveMissed)
    }

    /// Answers a request that is not served: rejects it if repeating it is harmless, and fails it otherwise.
    /// Retry-After is `wait` plus a random spread, limited to the configured maximum, or zero if the settings
    /// disable it.
    pub(super) fn reject_or_fail(
        &mut self,
        now: Micros,
        open: &OpenRequest,
        wait: Micros,
        reason: RejectReason,
        actions: &mut Vec<Action>,
    ) {
        let id = open.request.id;
        self.coordination.on_rejected(now, reason);
        if !open.may_reject(self.settings.class(open.request.class)) {
            actions.push(Action::Fail { id });
            return;
        }
        let limits = &self.settings.limits;
        let max_retry_after = if limits.sends_retry_after { limits.max_retry_after } else { Micros::ZERO };
        let spread = RETRY_AFTER_SPREAD.mul_f64(self.rng.f64());
        actions.push(Action::Reject { id, retry_after: (wait + spread).min(max_retry_after), reason });
    }
}
