//! Keeps stale fills out of the cache when a purge is applied during the fill.
//!
//! On a miss, a cache server asks the origin and stores the response. If a purge of the key is applied in between, the
//! response may be the value that the purge was meant to remove: the server returns it to the waiting requests, but
//! doesn't store it.
//!
//! # Guarantee
//!
//! A value that was read at the origin before a purge of its key was applied here is never stored after the purge,
//! provided that [`FillGuard::begin_fill`] is called before the origin is asked, and that no purge is applied between
//! [`FillGuard::finish_fill`] and storing the value.

use std::collections::{HashMap, HashSet};

use crate::member::PurgeEvent;

/// Identifies a fill in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct FillToken(u64);

/// What to do with the origin's response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FillOutcome {
    /// The response may be stored.
    Keep,
    /// The response must not be stored.
    Discard,
}

/// Tracks the fills in flight at one cache server.
#[derive(Clone, Debug)]
pub struct FillGuard {
    capacity: usize,
    next_token: u64,
    /// Key of each fill in flight whose response may still be stored; other fills are discarded.
    valid: HashMap<FillToken, Vec<u8>>,
    /// Tokens of the fills in `valid`, by key.
    by_key: HashMap<Vec<u8>, HashSet<FillToken>>,
}

impl FillGuard {
    /// Creates a guard that tracks at most `capacity` fills at a time; fills beyond that are discarded.
    pub fn new(capacity: usize) -> FillGuard {
        FillGuard { capacity, next_token: 0, valid: HashMap::new(), by_key: HashMap::new() }
    }

    /// Starts a fill of this key; to be called before the origin is asked.
    pub fn begin_fill(&mut self, key: &[u8]) -> FillToken {
        let token = FillToken(self.next_token);
        self.next_token += 1;
        if self.valid.len() < self.capacity {
            self.valid.insert(token, key.to_vec());
            self.by_key.entry(key.to_vec()).or_default().insert(token);
        }
        token
    }

    /// Applies a purge: the responses of fills of its key in flight will be discarded.
    pub fn purge(&mut self, key: &[u8]) {
        for token in self.by_key.remove(key).into_iter().flatten() {
            self.valid.remove(&token);
        }
    }

    /// Voids the cache: the responses of all fills in flight will be discarded.
    pub fn void_all(&mut self) {
        self.valid.clear();
        self.by_key.clear();
    }

    /// Applies an event drained from a member.
    pub fn apply(&mut self, event: &PurgeEvent) {
        match event {
            PurgeEvent::Key(key) => self.purge(key),
            PurgeEvent::DiscardAll => self.void_all(),
        }
    }

    /// Ends a fill, successful or not.
    pub fn finish_fill(&mut self, token: FillToken) -> FillOutcome {
        let Some(key) = self.valid.remove(&token) else { return FillOutcome::Discard };
        if let Some(tokens) = self.by_key.get_mut(&key) {
            tokens.remove(&token);
            if tokens.is_empty() {
                self.by_key.remove(&key);
            }
        }
        FillOutcome::Keep
    }

    /// The number of fills in flight whose responses may still be stored.
    pub fn len(&self) -> usize {
        self.valid.len()
    }

    /// Whether there are no fills in flight whose responses may still be stored.
    pub fn is_empty(&self) -> bool {
        self.valid.is_empty()
    }
}

#[cfg(test)]
mod tests;
