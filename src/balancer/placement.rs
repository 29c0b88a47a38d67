//! Maps keys to cache servers by weighted rendezvous hashing, with the same scores at every balancer.
//!
//! Inputs are the key, the servers of the endpoint list and the popularity of the key at this balancer. A
//! popular key has several owners, of which one in the balancer's own zone, if there is one, comes first.
//! Placement ignores load: routing skips servers that cannot take a request now.

use rustc_hash::FxHashMap;

use super::endpoint_set::Server;
use super::slow_start::slow_start_weight;
use crate::endpoint::{Endpoint, EndpointState, ServerId};
use crate::hash::mix_bits;
use crate::request::Key;
use crate::settings::Settings;
use crate::time::Micros;

/// Total of counted reads at which all counts are halved, to bound the table and to let old popularity decay.
pub(super) const MAX_COUNTED_READS: f64 = 2048.0;
/// Reads added to the total, so that the first few reads make no key popular.
const PRIOR_READS: f64 = 8.0;
/// Requests for a key per owner, as a share of an average server's requests: a key that exceeds it gets one
/// more owner.
pub(super) const OWNER_REQUEST_SHARE: f64 = 0.25;
/// Attempts at cache servers after which, with cache-aside, a request goes directly to the origin. The same
/// number of candidates is ranked after the owners.
pub(super) const MAX_CACHE_ATTEMPTS: usize = 3;

/// A server that is ranked for a key.
#[derive(Clone, Copy, Debug)]
pub(super) struct Candidate {
    /// Rendezvous score; the lowest comes first.
    score: f64,
    /// Index of the server in the endpoint list.
    pub(super) server: usize,
}

/// Counts how popular keys are, and ranks the servers for one key.
#[derive(Debug, Default)]
pub(super) struct Placement {
    /// Reads by key, halved together with the total.
    pub(super) read_counts: FxHashMap<Key, f64>,
    /// Total of the counted reads.
    pub(super) total_reads: f64,
    /// Candidates for the key that was ranked last, best first.
    pub(super) candidates: Vec<Candidate>,
}

impl Placement {
    /// Counts a read of this key.
    pub(super) fn on_read(&mut self, key: Key) {
        *self.read_counts.entry(key).or_insert(0.0) += 1.0;
        self.total_reads += 1.0;
        if self.total_reads >= MAX_COUNTED_READS {
            self.halve_counts();
        }
    }

    /// Halves all counts and drops keys whose count falls below one.
    fn halve_counts(&mut self) {
        for count in self.read_counts.values_mut() {
            *count /= 2.0;
        }
        self.read_counts.retain(|_, count| *count >= 1.0);
        self.total_reads /= 2.0;
    }

    /// The key's share of this balancer's reads, from 0 to 1. The first read does not count, since a single
    /// read may be chance.
    pub(super) fn popularity(&self, key: Key) -> f64 {
        let count = self.read_counts.get(&key).copied().unwrap_or(0.0);
        (count - 1.0).max(0.0) / (self.total_reads + PRIOR_READS)
    }

    /// Ranks the servers for the key into `candidates`, best first; returns the number of owners among them.
    pub(super) fn rank(&mut self, key: Key, now: Micros, servers: &[Server], settings: &Settings) -> usize {
        self.candidates.clear();
        let popularity_per_server = self.popularity(key) * servers.len() as f64;
        let owners = (popularity_per_server / OWNER_REQUEST_SHARE) as usize + 1;
        let max_candidates = owners + MAX_CACHE_ATTEMPTS;
        for (index, server) in servers.iter().enumerate() {
            let slow_start = slow_start_weight(&server.endpoint, now, &settings.rules);
            if is_eligible(&server.endpoint, slow_start, popularity_per_server, settings) {
                let weight = capacity_weight(&server.endpoint, settings) * slow_start;
                let uniform = rendezvous_hash(key, server.endpoint.server);
                self.insert_candidate(index, uniform, weight, max_candidates);
            }
        }
        let owners = owners.min(self.candidates.len());
        self.prefer_own_zone(owners, servers, settings.zone);
        owners
    }

    /// Inserts a server with this rendezvous hash (`uniform`) if it ranks among the best `max_candidates`.
    fn insert_candidate(&mut self, server: usize, uniform: f64, weight: f64, max_candidates: usize) {
        // The logarithm dominates the cost, so it is computed only for servers that may rank: -ln u > 1 - u.
        let lowest_possible_score = (1.0 - uniform) / weight;
        let worst = self.candidates.get(max_candidates - 1);
        let may_rank = worst.is_none_or(|worst| lowest_possible_score < worst.score);
        if !may_rank {
            return;
        }
        let score = -uniform.ln() / weight;
        let rank = self.candidates.partition_point(|other| other.score < score);
        self.candidates.insert(rank, Candidate { score, server });
        self.candidates.truncate(max_candidates);
    }

    /// Moves the best owner in this balancer's zone to the front, because the network path to it is short.
    fn prefer_own_zone(&mut self, owners: usize, servers: &[Server], own_zone: u32) {
        let owner_candidates = &self.candidates[..owners];
        let own_zone_rank =
            owner_candidates.iter().position(|owner| servers[owner.server].endpoint.zone == own_zone);
        if let Some(own_zone_rank) = own_zone_rank {
            self.candidates[..=own_zone_rank].rotate_right(1);
        }
    }
}

/// Whether a server with this slow-start weight may take requests for a key of this popularity. The requests
/// for a popular key alone may exceed the load that a server in slow start may get.
fn is_eligible(
    endpoint: &Endpoint,
    slow_start: f64,
    popularity_per_server: f64,
    settings: &Settings,
) -> bool {
    let is_too_popular = slow_start < 1.0 && popularity_per_server > slow_start;
    endpoint.state == EndpointState::Serving && !settings.is_origin(endpoint) && !is_too_popular
}

/// The server's relative capacity; 1 if the weights in the endpoint list are not comparable.
fn capacity_weight(endpoint: &Endpoint, settings: &Settings) -> f64 {
    let is_usable = settings.has_comparable_weights && endpoint.weight.is_finite() && endpoint.weight > 0.0;
    if is_usable {
        endpoint.weight
    } else {
        1.0
    }
}

/// A pseudorandom number for a key at a server, between 0 and 1 (both excluded); the same at every balancer.
fn rendezvous_hash(key: Key, server: ServerId) -> f64 {
    let hash = mix_bits(mix_bits(key.0).wrapping_add(server.0));
    ((hash >> 11) as f64 + 0.5) / (1u64 << 53) as f64
}
