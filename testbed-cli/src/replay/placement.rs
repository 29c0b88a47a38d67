//! Placements of keys on servers, with which the placement of a run is compared.

use std::collections::{HashMap, VecDeque};

use juniperladder_platform_model::rng::mix_bits;

use super::ServerSend;

/// Greatest ratio of a server's load to the mean load in bounded-load placement.
const MAX_LOAD_TO_MEAN_RATIO: f64 = 1.25;
/// Time that a send counts as load, in milliseconds.
const LOAD_WINDOW_MS: f64 = 1_000.0;

/// Rendezvous hashing of keys on servers.
pub struct RendezvousHashing {
    /// Number of servers.
    servers: usize,
}

impl RendezvousHashing {
    /// Rendezvous hashing on this number of servers.
    pub fn new(servers: usize) -> RendezvousHashing {
        RendezvousHashing { servers }
    }

    /// The servers of a key, best first.
    pub fn ranked(&self, key: u64) -> impl Iterator<Item = usize> {
        let mut order: Vec<usize> = (0..self.servers).collect();
        order.sort_unstable_by_key(|server| mix_bits(mix_bits(key) ^ *server as u64));
        order.into_iter()
    }

    /// The best server of a key.
    pub fn first(&self, key: u64) -> Option<usize> {
        self.ranked(key).next()
    }
}

/// Rendezvous hashing with bounded load, with exact knowledge of all sends of the last second.
pub struct BoundedLoad {
    rendezvous: RendezvousHashing,
    /// Number of servers.
    servers: usize,
    /// Number of sends in the last second, by server.
    counts: HashMap<usize, f64>,
    /// Time in milliseconds and server of each send in the last second, oldest first.
    recent: VecDeque<(f64, usize)>,
}

impl BoundedLoad {
    /// A placement on this number of servers, without sends.
    pub fn new(servers: usize) -> BoundedLoad {
        let rendezvous = RendezvousHashing::new(servers);
        BoundedLoad { rendezvous, servers, counts: HashMap::new(), recent: VecDeque::new() }
    }

    /// Places a send on the best server of its key that stays within the bound.
    pub fn place(&mut self, send: &ServerSend) -> Option<usize> {
        self.remove_expired_sends(send.at_ms);
        let bound = MAX_LOAD_TO_MEAN_RATIO * (self.recent.len() + 1) as f64 / self.servers as f64 + 1.0;
        let is_within_bound = |server: &usize| self.counts.get(server).copied().unwrap_or(0.0) + 1.0 <= bound;
        let server = self.rendezvous.ranked(send.key).find(is_within_bound)?;
        *self.counts.entry(server).or_default() += 1.0;
        self.recent.push_back((send.at_ms, server));
        Some(server)
    }

    fn remove_expired_sends(&mut self, now_ms: f64) {
        while self.recent.front().is_some_and(|(at_ms, _)| at_ms + LOAD_WINDOW_MS <= now_ms) {
            if let Some((_, server)) = self.recent.pop_front() {
                *self.counts.entry(server).or_default() -= 1.0;
            }
        }
    }
}
