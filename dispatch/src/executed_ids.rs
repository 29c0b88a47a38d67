//! The ids of recent requests that may have been executed and must not be executed again.
//!
//! A client may send a request once more whose connection ended without an answer. If it was sent to a server, the second
//! request with its id must not be. Only a hash of each id is kept, and a bounded number for a bounded time.

use std::collections::hash_map::RandomState;
use std::collections::{HashSet, VecDeque};
use std::hash::BuildHasher;

use juniperladder::Micros;

/// How long an id is kept.
const RETENTION: Micros = Micros(60_000_000);
/// The number of ids that are kept at most.
const MAX_IDS: usize = 4096;

/// Recent ids, by the hash of each.
#[derive(Debug, Default)]
pub(crate) struct ExecutedIds {
    hasher: RandomState,
    hashes: HashSet<u64>,
    by_age: VecDeque<(Micros, u64)>,
}

impl ExecutedIds {
    /// Keeps this id. The oldest is dropped if there are too many.
    pub(crate) fn insert(&mut self, now: Micros, id: &[u8]) {
        self.expire(now);
        if self.by_age.len() >= MAX_IDS {
            self.drop_oldest();
        }
        let hash = self.hasher.hash_one(id);
        if self.hashes.insert(hash) {
            self.by_age.push_back((now, hash));
        }
    }

    /// Whether this id is kept.
    pub(crate) fn contains(&mut self, now: Micros, id: &[u8]) -> bool {
        self.expire(now);
        !self.hashes.is_empty() && self.hashes.contains(&self.hasher.hash_one(id))
    }

    fn expire(&mut self, now: Micros) {
        while self.by_age.front().is_some_and(|(at, _)| at.saturating_add(RETENTION) <= now) {
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        if let Some((_, hash)) = self.by_age.pop_front() {
            self.hashes.remove(&hash);
        }
    }
}

#[cfg(test)]
mod tests;
