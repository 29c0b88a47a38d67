//! Keeps a fill that was overtaken by a purge out of the cache.
//!
//! A cache server that misses asks the origin, and keeps the answer. If a purge of the key is applied in between, the answer
//! may be what the purge was to remove: it is served to whoever waits for it, but not kept.
//!
//! # Guarantee
//!
//! A value that was read at the origin before a purge of its key was applied here is never kept after it, provided that
//! [`FillGuard::begin_fill`] is called before the origin is asked, and keeping follows [`FillGuard::finish_fill`] with
//! nothing between.

use std::collections::{HashMap, HashSet};

use crate::member::PurgeEvent;

/// Names a fill under way.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct FillToken(u64);

/// What to do with the answer of the origin.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FillOutcome {
    /// It may be kept.
    Keep,
    /// It must not be.
    Discard,
}

/// The fills under way at one cache server.
#[derive(Clone, Debug)]
pub struct FillGuard {
    capacity: usize,
    next_token: u64,
    /// The key of each fill that may still be kept. One that is not here is discarded.
    valid: HashMap<FillToken, Vec<u8>>,
    by_key: HashMap<Vec<u8>, HashSet<FillToken>>,
}

impl FillGuard {
    /// For at most so many fills at a time; what is beyond isn't kept.
    pub fn new(capacity: usize) -> FillGuard {
        FillGuard { capacity, next_token: 0, valid: HashMap::new(), by_key: HashMap::new() }
    }

    /// A fill of this key begins: to be called before the origin is asked.
    pub fn begin_fill(&mut self, key: &[u8]) -> FillToken {
        let token = FillToken(self.next_token);
        self.next_token += 1;
        if self.valid.len() < self.capacity {
            self.valid.insert(token, key.to_vec());
            self.by_key.entry(key.to_vec()).or_default().insert(token);
        }
        token
    }

    /// A purge is applied: fills of its key that are under way won't be kept.
    pub fn purge(&mut self, key: &[u8]) {
        for token in self.by_key.remove(key).into_iter().flatten() {
            self.valid.remove(&token);
        }
    }

    /// All is voided: no fill that is under way will be kept.
    pub fn void_all(&mut self) {
        self.valid.clear();
        self.by_key.clear();
    }

    /// Applies what a member hands out.
    pub fn apply(&mut self, event: &PurgeEvent) {
        match event {
            PurgeEvent::Key(key) => self.purge(key),
            PurgeEvent::VoidAll => self.void_all(),
        }
    }

    /// The fill has ended, with an answer or without.
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

    /// Fills under way that may still be kept.
    pub fn len(&self) -> usize {
        self.valid.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.valid.is_empty()
    }
}

#[cfg(test)]
mod tests;
