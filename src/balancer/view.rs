//! What an operator may see of the limits that hold: which server, which limit, and why; and what they are
//! told to keep to. Nothing here decides anything.

use super::Balancer;
use crate::{Coordination, Micros, ServerId};

/// The limits of one server, as they are now.
#[derive(Clone, Debug, PartialEq)]
pub struct LimitView {
    /// The server.
    pub server: ServerId,
    /// The gap that each source has to leave between two sends; zero is none.
    pub gap: Micros,
    /// When the gap ends if nothing renews it.
    pub until: Micros,
    /// Own sends that are out, and given-up ones that the server may still be at.
    pub out: f64,
    /// How many may be out.
    pub most: f64,
    /// Mean latency while places were free; zero while nothing is known.
    pub usual: Micros,
    /// Mean latency of late.
    pub lately: Micros,
}

impl LimitView {
    /// Whether a limit holds sends back right now, and which: `gap`, `concurrency`, or none.
    pub fn holds(&self) -> Option<&'static str> {
        if self.gap.0 > 0 {
            Some("gap")
        } else {
            (self.out + 1.0 > self.most).then_some("places")
        }
    }
}

impl Balancer {
    /// From now on this balancer keeps to the limits that it shares with others, and hears what they tell.
    pub fn join(&mut self, fleet: Box<dyn Coordination>) {
        self.coordination.0 = Some(fleet);
    }

    /// The origin that requests go to now, if one serves.
    pub fn origin(&self) -> Option<ServerId> {
        self.endpoints.origin.map(|at| self.endpoints.servers[at].endpoint.server)
    }

    /// The limits of every listed server, and how many requests wait for a place at the origin.
    pub fn limits(&self, now: Micros) -> (Vec<LimitView>, usize) {
        let view = |server: &super::endpoint_set::Server| LimitView {
            server: server.endpoint.server,
            gap: if server.gap.is_active(now) { self.ladder.length(server.gap.rung) } else { Micros(0) },
            until: server.gap.until,
            out: server.concurrency.in_flight(),
            most: server.concurrency.limit,
            usual: Micros(server.concurrency.baseline_latency as u64),
            lately: Micros(server.concurrency.recent_latency as u64),
        };
        (self.endpoints.servers.iter().map(view).collect(), self.queue.len())
    }
}
