//! Which cache servers a key belongs to: weighted rendezvous hashing, alike at every balancer.
//!
//! Inputs are the key, the servers of the endpoint list and how popular the key is at this balancer. A
//! popular key has several owners. Placement knows nothing of load: routing passes over servers that cannot
//! take a request now.

use rustc_hash::FxHashMap;

use super::endpoint_set::Server;
use super::slow_start::slow_start_weight;
use crate::endpoint::{Endpoint, EndpointState, ServerId};
use crate::hash::mix_bits;
use crate::request::Key;
use crate::settings::Settings;
use crate::time::Micros;

/// Reads counted before all counts are halved: this bounds the table and lets old popularity fade.
pub(super) const MAX_COUNTED_READS: f64 = 2048.0;
/// Reads added to the total, so that the first few reads make no key popular.
const PRIOR_READS: f64 = 8.0;
/// Share of one average server's requests that one key may bring before it gets one more owner.
pub(super) const OWNER_REQUEST_SHARE: f64 = 0.25;
/// Attempts at cache servers before a request goes to the origin outright; as many candidates are ranked
/// behind the owners.
pub(super) const MAX_CACHE_ATTEMPTS: usize = 3;

/// A server in the order of preference for a key.
#[derive(Clone, Copy, Debug)]
pub(super) struct Candidate {
    /// Rendezvous score; the lowest comes first.
    score: f64,
    /// The server's index in the endpoint list.
    pub(super) server: usize,
}

/// Counts how popular keys are, and ranks the servers for one key.
#[derive(Debug, Default)]
pub(super) struct Placement {
    /// Reads of each key, halved with the total.
    pub(super) read_counts: FxHashMap<Key, f64>,
    /// All reads counted.
    pub(super) total_reads: f64,
    /// The servers for the key that was ranked last, best first.
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

    /// Halves all counts, and forgets keys that were hardly read.
    fn halve_counts(&mut self) {
        for count in self.read_counts.values_mut() {
            *count /= 2.0;
        }
        self.read_counts.retain(|_, count| *count >= 1.0);
        self.total_reads /= 2.0;
    }

    /// The key's share of this balancer's reads, from 0 to 1, less what chance alone would show.
    pub(super) fn popularity(&self, key: Key) -> f64 {
        let count = self.read_counts.get(&key).copied().unwrap_or(0.0);
        (count - 1.0).max(0.0) / (self.total_reads + PRIOR_READS)
    }

    /// Fills `candidates` with servers for the key, best first; returns how many of them own it.
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

    /// Inserts a server by its score, if it is among the best.
    fn insert_candidate(&mut self, server: usize, uniform: f64, weight: f64, max_candidates: usize) {
        // The logarithm costs most, so it is taken only of those that may come in: -ln u > 1 - u.
        let lowest_possible_score = (1.0 - uniform) / weight;
        let worst = self.candidates.get(max_candidates - 1);
        let may_come_in = worst.is_none_or(|worst| lowest_possible_score < worst.score);
        if !may_come_in {
            return;
        }
        let score = -uniform.ln() / weight;
        let rank = self.candidates.partition_point(|other| other.score < score);
        self.candidates.insert(rank, Candidate { score, server });
        self.candidates.truncate(max_candidates);
    }

    /// Moves the first owner in the own zone to the front: the way there is short.
    fn prefer_own_zone(&mut self, owners: usize, servers: &[Server], own_zone: u32) {
        let owning = &self.candidates[..owners];
        let nearest = owning.iter().position(|owner| servers[owner.server].endpoint.zone == own_zone);
        if let Some(nearest) = nearest {
            self.candidates[..=nearest].rotate_right(1);
        }
    }
}

/// Whether a server may take requests for a key of this popularity. A popular key by itself would be more
/// than a server in slow start may get.
fn is_eligible(
    endpoint: &Endpoint,
    slow_start: f64,
    popularity_per_server: f64,
    settings: &Settings,
) -> bool {
    let is_too_popular = slow_start < 1.0 && popularity_per_server > slow_start;
    endpoint.state == EndpointState::Serving && !settings.is_origin(endpoint) && !is_too_popular
}

/// The server's relative size; one where the list does not compare sizes.
fn capacity_weight(endpoint: &Endpoint, settings: &Settings) -> f64 {
    let is_usable = settings.weighted && endpoint.weight.is_finite() && endpoint.weight > 0.0;
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
