//! The server list in hand, and what a server that has started lately may be sent (rule 4).

use rustc_hash::FxHashMap;

use super::{concurrency_limit::ConcurrencyLimit, gap_ladder::Gap};
use crate::*;

/// Span in microseconds of the own rate of answers: some requests even at a quiet balancer.
const RATE_SPAN: f64 = 8e6;
/// Sends to a cold server over what its warmth allows: above one, as chance bunches few sends.
pub(super) const COLD_SHARE: f64 = 1.25;

/// What one end weighs in a zone's share of rejected sends.
const ZONE: f64 = 0.25;

#[derive(Debug, Default)]
pub(super) struct Rate {
    pub(super) count: f64,
    pub(super) first: Micros,
    pub(super) last: Micros,
}

impl Rate {
    pub(super) fn per_s(&mut self, now: Micros) -> f64 {
        self.count *= (-(now.saturating_sub(self.last).0 as f64) / RATE_SPAN).exp();
        self.last = now;
        let age = (now.saturating_sub(self.first).0 as f64).max(1e6);
        self.count / (RATE_SPAN * (1.0 - (-age / RATE_SPAN).exp())) * 1e6
    }

    pub(super) fn add(&mut self, now: Micros) {
        self.first = if self.first.0 == 0 { now } else { self.first };
        self.per_s(now);
        self.count += 1.0;
    }
}

#[derive(Debug)]
pub(super) struct Server {
    pub(super) entry: Endpoint,
    pub(super) gap: Gap,
    pub(super) concurrency: ConcurrencyLimit,
    pub(super) heard: Micros,
    /// Once it was cold: sends that it may still get from here, and when that was counted.
    pub(super) budget: Option<(f64, Micros)>,
}

impl Server {
    pub(super) fn new(entry: Endpoint, balancers: u32) -> Server {
        Server {
            entry,
            gap: Gap::default(),
            concurrency: ConcurrencyLimit::new(balancers),
            heard: Micros(0),
            budget: None,
        }
    }

    /// Whether a cold server can take one more send: as warm ones answer, cut by its warmth (rule 4).
    pub(super) fn spare(&mut self, now: Micros, per_s: f64, rules: &Rules, rng: &mut fastrand::Rng) -> bool {
        let warm = warmth(&self.entry, now, rules);
        if warm >= 1.0 {
            return true;
        }
        let (left, counted) = self.budget.unwrap_or_else(|| (rng.f64(), now));
        let left = (left + now.saturating_sub(counted).0 as f64 / 1e6 * per_s * warm * COLD_SHARE).min(1.0);
        self.budget = Some((left, now));
        left >= 1.0
    }
}

/// The server list in hand, sorted by id, with what this balancer saw of each; where the origin stands.
#[derive(Debug, Default)]
pub(super) struct Members {
    pub(super) balancers: u32,
    pub(super) origin: Option<usize>,
    pub(super) servers: Vec<Server>,
    /// The share of sends to a zone that were rejected of late: a zone is lost as a whole.
    pub(super) lost: FxHashMap<u32, f64>,
    /// Calls to discovery that failed since its last list, when the last one was due, and how many more
    /// calls of a start come at its pace.
    pub(super) failures: usize,
    pub(super) call: Micros,
    pub(super) start_calls: usize,
}

impl Members {
    pub(super) fn told(&mut self, zone: u32, rejected: bool) {
        let lost = self.lost.entry(zone).or_default();
        *lost += (f64::from(rejected) - *lost) * ZONE;
    }

    /// How much more of what is sent to this zone is lost than of what is sent to the best.
    pub(super) fn astray(&self, zone: u32) -> f64 {
        let lost = self.lost.get(&zone).copied().unwrap_or(0.0);
        lost - self.lost.values().fold(lost, |a, b| b.min(a))
    }

    pub(super) fn find(&mut self, id: ServerId) -> Option<&mut Server> {
        self.servers.binary_search_by_key(&id, |s| s.entry.server).ok().map(|at| &mut self.servers[at])
    }

    pub(super) fn origin(&mut self) -> Option<&mut Server> {
        self.origin.map(|at| &mut self.servers[at])
    }

    pub(super) fn follow(&mut self, kind: EndpointUpdate, list: &[Endpoint], settings: &Settings) {
        if kind.is_complete() {
            let mut named: Vec<ServerId> = list.iter().map(|e| e.server).collect();
            named.sort_unstable();
            self.servers.retain(|s| named.binary_search(&s.entry.server).is_ok());
        }
        for entry in list {
            let place = self.servers.binary_search_by_key(&entry.server, |s| s.entry.server);
            match (place, entry.state) {
                (Ok(at), EndpointState::Deleted) => drop(self.servers.remove(at)),
                (Err(_), EndpointState::Deleted) => {}
                // A new start is another process: nothing known of the old one holds.
                (Ok(at), _) if entry.started > self.servers[at].entry.started => {
                    self.servers[at] = Server::new(entry.clone(), self.balancers);
                }
                (Ok(at), _) => self.servers[at].entry = entry.clone(),
                (Err(at), _) => self.servers.insert(at, Server::new(entry.clone(), self.balancers)),
            }
        }
        let origin = |s: &Server| s.entry.state == EndpointState::Serving && settings.is_origin(&s.entry);
        self.origin = self.servers.iter().position(origin);
    }
}

/// The part of its capacity that a server may be taken to have, by its age alone, so that every
/// router ramps it alike and rule 4 holds without talk.
pub(super) fn warmth(entry: &Endpoint, now: Micros, rules: &Rules) -> f64 {
    let (age, whole) = (now.saturating_sub(entry.started).0 as f64, rules.slow_start_duration.0 as f64);
    let part = if entry.started.0 == 0 { 1.0 } else { (age / whole).min(1.0) };
    let cold =
        if rules.slow_start_initial_share > 0.0 { rules.slow_start_initial_share.min(1.0) } else { 0.05 };
    1.0 - (1.0 - cold) * (1.0 - part)
}
