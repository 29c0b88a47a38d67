//! Checks the guarantee from outside: it knows what was published, what was answered as done, and what each member's
//! driver was handed, and asks no state machine for more than whether it may serve.

use std::collections::HashSet;

use juniperladder_purge::{PurgeEvent, PurgeId};

/// A purge that some replica has taken.
#[derive(Clone, Debug)]
pub struct Published {
    pub id: PurgeId,
    pub at: u64,
    pub done_at: Option<u64>,
}

/// What the driver of one incarnation of a member has applied. It begins with nothing, whatever earlier incarnations had.
#[derive(Clone, Debug, Default)]
pub struct Applied {
    keys: HashSet<usize>,
    /// All purges published before this one were covered by voiding all.
    voided_before: usize,
    /// So many of the done purges are known to be applied.
    checked: usize,
}

impl Applied {
    fn has(&self, purge: usize) -> bool {
        purge < self.voided_before || self.keys.contains(&purge)
    }
}

/// A purge that was answered as done, and a member that served without it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Breach {
    pub at: u64,
    pub member: usize,
    pub purge: PurgeId,
    pub published: u64,
    pub done: u64,
}

/// All purges.
#[derive(Clone, Debug, Default)]
pub struct Checker {
    pub published: Vec<Published>,
    done: Vec<usize>,
}

impl Checker {
    /// The key of the next purge: it names its number, so that what a member is handed says which purge it is.
    pub fn next_key(&self, length: usize) -> Vec<u8> {
        let mut key = (self.published.len() as u64).to_le_bytes().to_vec();
        key.resize(length.max(8), b'k');
        key
    }

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

    /// What a member's driver was handed.
    pub fn on_events(&self, applied: &mut Applied, events: &[PurgeEvent]) -> Vec<usize> {
        let mut purges = Vec::new();
        for event in events {
            match event {
                PurgeEvent::VoidAll => applied.voided_before = self.published.len(),
                PurgeEvent::Key(key) => {
                    let number: [u8; 8] = key[..8].try_into().expect("a key names its purge");
                    let purge = u64::from_le_bytes(number) as usize;
                    assert!(purge < self.published.len(), "a purge that nobody published");
                    applied.keys.insert(purge);
                    purges.push(purge);
                }
            }
        }
        purges
    }

    /// A member may serve at this moment: everything that was ever answered as done must be applied.
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
