//! Checks the guarantee from outside the state machines. The checker records which purges were published, which were
//! reported as done, and which each member's driver has drained; of a member's own state it uses only `may_serve`.
//! Purges are identified by their index in order of publication. Times are in microseconds.

use std::collections::HashSet;

use juniperladder_purge::{PurgeEvent, PurgeId};

/// A purge that a replica has accepted.
#[derive(Clone, Debug)]
pub struct Published {
    pub id: PurgeId,
    pub at: u64,
    pub done_at: Option<u64>,
}

/// What the driver of one incarnation of a member has applied. Each incarnation starts with an empty cache.
#[derive(Clone, Debug, Default)]
pub struct Applied {
    /// Purges applied by key.
    keys: HashSet<usize>,
    /// Purges with a smaller index were covered by voiding the cache.
    voided_before: usize,
    /// Number of done purges, in order of completion, that are known to be applied.
    checked: usize,
}

impl Applied {
    fn has(&self, purge: usize) -> bool {
        purge < self.voided_before || self.keys.contains(&purge)
    }
}

/// A breach of the guarantee: a member served without a purge that was reported as done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Breach {
    pub at: u64,
    pub member: usize,
    pub purge: PurgeId,
    /// When the purge was published.
    pub published: u64,
    /// When the purge was reported as done.
    pub done: u64,
}

/// Records all purges and checks the guarantee.
#[derive(Clone, Debug, Default)]
pub struct Checker {
    pub published: Vec<Published>,
    /// Done purges, in order of completion.
    done: Vec<usize>,
}

impl Checker {
    /// The key of the next purge. The key starts with the purge's index, which identifies the purge in members' events.
    pub fn next_key(&self, length: usize) -> Vec<u8> {
        let mut key = (self.published.len() as u64).to_le_bytes().to_vec();
        key.resize(length.max(8), b'k');
        key
    }

    /// Records a published purge; returns its index.
    pub fn on_published(&mut self, id: PurgeId, at: u64) -> usize {
        self.published.push(Published { id, at, done_at: None });
        self.published.len() - 1
    }

    pub fn on_done(&mut self, purge: usize, now: u64) {
        if self.published[purge].done_at.is_none() {
            self.published[purge].done_at = Some(now);
            self.done.push(purge);
        }
    }

    pub fn done(&self) -> usize {
        self.done.len()
    }

    /// Records the events that a member's driver has drained; returns the indices of the purges among them.
    pub fn on_events(&self, applied: &mut Applied, events: &[PurgeEvent]) -> Vec<usize> {
        let mut purges = Vec::new();
        for event in events {
            match event {
                PurgeEvent::DiscardAll => applied.voided_before = self.published.len(),
                PurgeEvent::Key(key) => {
                    let index: [u8; 8] =
                        key[..8].try_into().expect("a key starts with the index of its purge");
                    let purge = u64::from_le_bytes(index) as usize;
                    assert!(
                        purge < self.published.len(),
                        "a member drained a purge that was never published"
                    );
                    applied.keys.insert(purge);
                    purges.push(purge);
                }
            }
        }
        purges
    }

    /// Checks that a member that may serve at this moment has applied every purge reported as done so far.
    pub fn check(&self, now: u64, member: usize, applied: &mut Applied) -> Result<(), Breach> {
        while let Some(purge) = self.done.get(applied.checked) {
            if !applied.has(*purge) {
                let Published { id, at, done_at } = &self.published[*purge];
                return Err(Breach {
                    at: now,
                    member,
                    purge: *id,
                    published: *at,
                    done: done_at.unwrap_or_default(),
                });
            }
            applied.checked += 1;
        }
        Ok(())
    }
}
