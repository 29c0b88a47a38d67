//! Chooses the server for a request's next attempt.
//!
//! Inputs are the candidates that placement ranks for the request's key, and the state of each. The request
//! goes to the first candidate without a [`SkipReason`]. With cache-aside, writes, and reads that no cache
//! server can take, go to the origin; see `origin.rs`.

use super::open_request::OpenRequest;
use super::placement::MAX_CACHE_ATTEMPTS;
use super::Balancer;
use crate::action::{Action, RejectReason};
use crate::request::Key;
use crate::settings::CacheMode;
use crate::time::Micros;

/// The next step of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Route {
    /// Send the request to a server.
    Forward {
        /// Index of the server in the endpoint list.
        server: usize,
    },
    /// Put the request into the origin queue.
    Enqueue {
        /// Longest time in the queue.
        max_wait: Micros,
    },
    /// Answer the request without another attempt.
    Reject {
        /// Time until the blocking limit allows another attempt; `Micros::ZERO` if unknown.
        wait: Micros,
        /// Why the request is not served.
        reason: RejectReason,
    },
}

/// Why a candidate is skipped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SkipReason {
    /// The candidate's zone is unhealthy, and this attempt does not probe whether the zone has recovered.
    ZoneUnhealthy,
    /// An attempt of the request has already gone to the candidate.
    AlreadyTried,
    /// The candidate's gap delays the next send by this time.
    Gapped(Micros),
    /// The concurrency limit of the candidate is reached.
    NoCapacity,
    /// The candidate is in slow start and has used up its attempts.
    SlowStart,
    /// Other balancers report that the candidate does not respond.
    Suspected,
    /// `OpenRequest::may_send` forbids the attempt, for example because the request might take effect twice.
    NotPermitted,
}

impl Balancer {
    /// Chooses the next step of a request and carries it out.
    pub(super) fn route(&mut self, now: Micros, open: OpenRequest, actions: &mut Vec<Action>) {
        match self.choose_route(now, &open) {
            Route::Forward { server } => self.forward(now, server, open, actions),
            Route::Enqueue { max_wait } => self.enqueue(now, max_wait, open, actions),
            Route::Reject { wait, reason } => self.reject_or_fail(now, &open, wait, reason, actions),
        }
    }

    /// Chooses the next step of a request.
    pub(super) fn choose_route(&mut self, now: Micros, open: &OpenRequest) -> Route {
        if let Some(reason) = self.shed_reason(now, open) {
            return Route::Reject { wait: Micros::ZERO, reason };
        }
        let to_cache = if self.may_go_to_cache(open) { self.choose_cache_server(now, open) } else { None };
        to_cache.unwrap_or_else(|| self.choose_origin(now, open))
    }

    /// Whether the request may go to a cache server. With cache-aside, writes, misses, hedged requests, last
    /// attempts and those after [`MAX_CACHE_ATTEMPTS`] go to the origin.
    fn may_go_to_cache(&self, open: &OpenRequest) -> bool {
        if self.settings.mode == CacheMode::ReadThrough {
            return true;
        }
        let is_last_attempt = open.attempts_left(&self.settings.limits) == 1;
        let is_cache_exhausted = open.has_missed
            || open.attempt_in_flight().is_some()
            || open.attempts.len() >= MAX_CACHE_ATTEMPTS;
        !open.request.is_write && !is_cache_exhausted && !is_last_attempt
    }

    /// The first candidate that is not skipped. If all are skipped, a read-through request is rejected if at
    /// least one candidate is gapped; otherwise the result is `None`.
    fn choose_cache_server(&mut self, now: Micros, open: &OpenRequest) -> Option<Route> {
        // The random key is drawn even if the request has a key, so that the random sequence does not depend
        // on the presence of a key.
        let random_key = Key(self.rng.u64(..));
        let key = open.request.key.unwrap_or(random_key);
        let owners = self.placement.rank(key, now, &self.endpoints.servers, &self.settings);
        let servers = self.endpoints.servers.len().max(1) as f64;
        let responses_per_second = self.response_rate.per_second(now) / servers;
        let is_read_through = self.settings.mode == CacheMode::ReadThrough;

        let mut shortest_wait: Option<Micros> = None;
        for rank in 0..self.placement.candidates.len() {
            let server = self.placement.candidates[rank].server;
            let skip_reason = self.skip_reason(now, open, server, responses_per_second);
            let Some(reason) = skip_reason else { return Some(Route::Forward { server }) };
            if let SkipReason::Gapped(wait) = reason {
                shortest_wait = Some(shortest_wait.unwrap_or(wait).min(wait));
            }
            // With cache-aside, the origin can serve the request, so a lack of capacity at the owners is no
            // reason to try servers that do not own the key.
            let has_owner_left = rank + 1 < owners;
            if reason == SkipReason::NoCapacity && !has_owner_left && !is_read_through {
                break;
            }
        }
        let wait = shortest_wait.filter(|_| is_read_through)?;
        Some(Route::Reject { wait, reason: RejectReason::AllServersGapped })
    }

    /// Why this server cannot take the request now; `None` if it can.
    fn skip_reason(
        &mut self,
        now: Micros,
        open: &OpenRequest,
        server: usize,
        responses_per_second: f64,
    ) -> Option<SkipReason> {
        let server = &mut self.endpoints.servers[server];
        let avoided_share = self.zones.avoided_share(server.endpoint.zone);
        if avoided_share > 0.0 && self.rng.f64() < avoided_share {
            return Some(SkipReason::ZoneUnhealthy);
        }
        if open.has_tried(server.endpoint.server) {
            return Some(SkipReason::AlreadyTried);
        }
        let gap = server.gap.wait(now, open.request.tenant, &self.cache_ladder);
        if gap > Micros::ZERO {
            return Some(SkipReason::Gapped(gap));
        }
        // Reads are checked like writes, because no share of the limit is reserved for reads at a cache
        // server.
        if server.concurrency.is_paced(now) || !server.concurrency.has_capacity(now, true) {
            return Some(SkipReason::NoCapacity);
        }
        if !server.has_slow_start_credit(now, responses_per_second, &self.settings.rules, &mut self.rng) {
            return Some(SkipReason::SlowStart);
        }
        let last_response = server.last_response;
        if self.coordination.should_avoid(now, &server.endpoint, last_response, responses_per_second) {
            return Some(SkipReason::Suspected);
        }
        if !self.coordination.allows_slow_start(now, &server.endpoint) {
            return Some(SkipReason::SlowStart);
        }
        let class = self.settings.class(open.request.class);
        let is_permitted = open.may_send(now, &server.endpoint, class, &self.settings.limits);
        (!is_permitted).then_some(SkipReason::NotPermitted)
    }
}
