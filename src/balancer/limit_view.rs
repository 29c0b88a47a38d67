//! The gap and the concurrency limit of each server. Slow start, unhealthy zones, reports of other balancers
//! and shared limits also make a server passed over; they are not shown here.

use super::endpoint_set::Server;
use super::Balancer;
use crate::endpoint::ServerId;
use crate::time::Micros;

/// A limit that holds attempts at a server back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BindingLimit {
    /// The gap between two sends.
    Gap,
    /// The attempts that may be in flight.
    Concurrency,
}

impl BindingLimit {
    /// The operators' word for it.
    pub fn label(self) -> &'static str {
        match self {
            BindingLimit::Gap => "gap",
            BindingLimit::Concurrency => "places",
        }
    }
}

/// The limits of one server, as they are now.
#[derive(Clone, Debug, PartialEq)]
pub struct LimitView {
    /// The server.
    pub server: ServerId,
    /// The gap that each source has to leave between two sends; `Micros::ZERO` is none.
    pub gap: Micros,
    /// When the gap ends if nothing renews it.
    pub gap_until: Micros,
    /// Own attempts in flight, and abandoned ones that the server may still work on.
    pub in_flight: f64,
    /// How many may be in flight.
    pub limit: f64,
    /// Latency while the server is not crowded; zero while unknown.
    pub baseline_latency: Micros,
    /// Mean latency of late; zero while unknown.
    pub recent_latency: Micros,
}

impl LimitView {
    /// The limit that holds attempts back right now, if one does.
    pub fn binding_limit(&self) -> Option<BindingLimit> {
        if self.gap > Micros::ZERO {
            return Some(BindingLimit::Gap);
        }
        // One attempt may always go out.
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
    /// The limits of every listed server, as they are now.
    pub fn limits(&self, now: Micros) -> LimitsView {
        let servers = self.endpoints.servers.iter();
        LimitsView {
            servers: servers.map(|server| self.limits_of(server, now)).collect(),
            waiting_for_origin: self.origin_queue.len(),
        }
    }

    /// The limits of one server, as they are now.
    fn limits_of(&self, server: &Server, now: Micros) -> LimitView {
        let Server { gap, concurrency, endpoint, .. } = server;
        LimitView {
            server: endpoint.server,
            gap: if gap.is_active(now) { self.cache_ladder.length(gap.rung) } else { Micros::ZERO },
            gap_until: gap.ends_at,
            in_flight: concurrency.in_flight(),
            limit: concurrency.limit,
            baseline_latency: Micros(concurrency.baseline_latency as u64),
            recent_latency: Micros(concurrency.recent_latency as u64),
        }
    }
}
