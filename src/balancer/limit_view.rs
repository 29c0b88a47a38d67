//! View of the gap and the concurrency limit of each server. Slow start, unhealthy zones, reports of other
//! balancers and shared limits can also exclude a server; the view does not contain them.

use super::endpoint_set::Server;
use super::Balancer;
use crate::endpoint::ServerId;
use crate::time::Micros;

/// A limit that restricts attempts at a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BindingLimit {
    /// The minimum time between two sends of one source.
    Gap,
    /// The limit on attempts in flight.
    Concurrency,
}

impl BindingLimit {
    /// The name of the limit in operators' views.
    pub fn label(self) -> &'static str {
        match self {
            BindingLimit::Gap => "gap",
            BindingLimit::Concurrency => "places",
        }
    }
}

/// The current limits of one server.
#[derive(Clone, Debug, PartialEq)]
pub struct LimitView {
    /// The server.
    pub server: ServerId,
    /// Minimum time between two sends of one source; `Micros::ZERO` if there is no gap.
    pub gap: Micros,
    /// Time at which the gap expires unless an outcome renews it; `Micros::ZERO` before the first gap.
    pub gap_ends_at: Micros,
    /// This balancer's attempts in flight, including abandoned ones that the server may still work on.
    pub in_flight: f64,
    /// Limit on the attempts in flight.
    pub limit: f64,
    /// Latency of the server without queueing; zero while unknown.
    pub baseline_latency: Micros,
    /// Moving average of the latency; zero while unknown.
    pub recent_latency: Micros,
}

impl LimitView {
    /// The limit that currently restricts attempts: the gap, if there is one, or else the limit on attempts
    /// in flight, if it is reached.
    pub fn binding_limit(&self) -> Option<BindingLimit> {
        if self.gap > Micros::ZERO {
            return Some(BindingLimit::Gap);
        }
        // One attempt is always allowed, however low the limit is.
        let is_full = self.in_flight + 1.0 > self.limit.max(1.0);
        is_full.then_some(BindingLimit::Concurrency)
    }
}

/// The limits of every listed server.
#[derive(Clone, Debug, PartialEq)]
pub struct LimitsView {
    /// The servers, sorted by id.
    pub servers: Vec<LimitView>,
    /// The number of requests that wait for capacity at the origin.
    pub waiting_for_origin: usize,
}

impl Balancer {
    /// The current limits of every listed server.
    pub fn limits(&self, now: Micros) -> LimitsView {
        let servers = self.endpoints.servers.iter();
        LimitsView {
            servers: servers.map(|server| self.limits_of(server, now)).collect(),
            waiting_for_origin: self.origin_queue.len(),
        }
    }

    /// The current limits of one server.
    fn limits_of(&self, server: &Server, now: Micros) -> LimitView {
        let Server { gap, concurrency, endpoint, .. } = server;
        LimitView {
            server: endpoint.server,
            gap: if gap.is_active(now) { self.cache_ladder.length(gap.rung) } else { Micros::ZERO },
            gap_ends_at: gap.ends_at,
            in_flight: concurrency.in_flight(),
            limit: concurrency.limit,
            baseline_latency: Micros(concurrency.baseline_latency as u64),
            recent_latency: Micros(concurrency.recent_latency as u64),
        }
    }
}
