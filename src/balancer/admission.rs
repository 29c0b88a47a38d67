//! Until when a request is worth serving, whether it is shed, and with which reason and Retry-After.
//!
//! Inputs are its class's latency objective and deadline, its own deadline, and how long its client has tried
//! before.

use super::open_request::OpenRequest;
use super::Balancer;
use crate::action::{Action, RejectReason};
use crate::request::Request;
use crate::settings::Settings;
use crate::time::Micros;

/// Time over which the retries of clients that are rejected together are spread.
pub(super) const RETRY_AFTER_SPREAD: Micros = Micros::from_millis(250);
/// Ticks by which a client retry must have less time left than first attempts for this to be conclusive.
const TIME_LEFT_TOLERANCE_IN_TICKS: f64 = 2.0;
/// Share of the apparent time since the first attempt that counts where it is not conclusive.
const UNCERTAIN_ELAPSED_SHARE: f64 = 0.5;

/// How long clients wait, as their first attempts have shown.
#[derive(Debug)]
pub(super) struct Admission {
    /// The longest time that a first attempt had left when it came in, by class.
    longest_initial_time_left: Vec<Micros>,
}

impl Admission {
    /// The state of a balancer that has seen no request, with this number of classes.
    pub(super) fn new(classes: usize) -> Admission {
        Admission { longest_initial_time_left: vec![Micros::ZERO; classes] }
    }

    /// A request has come in that is not a client's retry.
    fn on_new_request(&mut self, now: Micros, request: &Request, settings: &Settings) {
        let time_left = request.deadline - now;
        let longest = &mut self.longest_initial_time_left[settings.class_index(request.class)];
        *longest = time_left.max(*longest);
    }

    /// Until when an answer is useful: within the latency objective, or within the deadline where later
    /// answers have a priority weight too.
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

    /// The time since the client's first attempt. Over all its attempts a client waits for the deadline of
    /// its class, so the time that a retry has left shows how much has passed, if it is less than first
    /// attempts have.
    fn elapsed_before_arrival(&self, now: Micros, request: &Request, settings: &Settings) -> Micros {
        if !request.is_client_retry {
            return Micros::ZERO;
        }
        let time_left = request.deadline - now;
        let elapsed = settings.class(request.class).deadline - time_left;
        let longest_time_left = self.longest_initial_time_left[settings.class_index(request.class)];
        let tolerance = settings.tick.mul_f64(TIME_LEFT_TOLERANCE_IN_TICKS);
        let is_certain = time_left + tolerance < longest_time_left;
        elapsed.mul_f64(if is_certain { 1.0 } else { UNCERTAIN_ELAPSED_SHARE })
    }
}

impl Balancer {
    /// A request has come in.
    pub(super) fn on_request(&mut self, now: Micros, mut request: Request, actions: &mut Vec<Action>) {
        // Tenants that the settings do not name share one source at the gaps.
        request.tenant = request.tenant.min(self.settings.tenants.len() as u32);
        if !request.is_client_retry {
            self.admission.on_new_request(now, &request, &self.settings);
            self.coordination.on_new_request(now);
            self.hedge_budget.on_new_request(&self.cache_ladder);
        }
        let useful_until = self.admission.useful_until(now, &request, &self.settings);
        let read_key = request.key.filter(|_| !request.is_write);
        if let Some(key) = read_key {
            self.placement.on_read(key);
        }
        self.route(now, OpenRequest::new(request, useful_until), actions);
    }

    /// Why a request is shed whatever the servers can do; `None` if it is worth another attempt.
    pub(super) fn shed_reason(&mut self, now: Micros, open: &OpenRequest) -> Option<RejectReason> {
        if !self.may_attempt(now, open) {
            return Some(RejectReason::AttemptsExhausted);
        }
        let is_too_late = now >= open.useful_until;
        is_too_late.then_some(RejectReason::ObjectiveMissed)
    }

    /// Answers a request that is not served: rejects it where repeating it is harmless, and fails it
    /// otherwise. The client may come back after `wait` and a drawn time.
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
        let longest = if limits.retry_after { limits.max_retry_after } else { Micros::ZERO };
        let spread = RETRY_AFTER_SPREAD.mul_f64(self.rng.f64());
        actions.push(Action::Reject { id, retry_after: (wait + spread).min(longest), reason });
    }
}
