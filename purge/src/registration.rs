//! Tables of registrations: which member is registered in which epoch, and which replica is its assigned replica.
//!
//! Every replica has a table of its own and copies of those of all others. Changes are numbered, so that a copy follows
//! by what changed since ([`RegistrationTable::changes_after`]); a copy of another incarnation begins anew.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::ids::{Epoch, MemberId, ReplicaId};
use crate::limits::MAX_MEMBERS;

/// Registrations in one chunk: that many always fit into a datagram.
const CHUNK_REGISTRATIONS: usize = 24;

/// What a replica knows of a registration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum RegistrationState {
    /// It was registered.
    Known,
    /// This replica is its assigned replica, has it from the member itself, and may grant it leases.
    Active,
    /// Its assigned replica has ended it: no lease of it runs, now or later. True for ever.
    Released,
}

/// One registration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Registration {
    /// Who is registered.
    pub member: MemberId,
    /// In which epoch.
    pub epoch: Epoch,
    /// Who grants it leases.
    pub assigned_replica: ReplicaId,
    /// What is known of it.
    pub state: RegistrationState,
    /// The number of its last change in its table.
    pub change: u64,
}

/// Changes of a registration table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableChunk {
    /// Of the replica whose table it is.
    pub incarnation: u64,
    /// The changes begin after this one.
    pub after: u64,
    /// They reach to this one.
    pub through: u64,
    /// What changed.
    pub registrations: Vec<Registration>,
    /// This is the last chunk that answers a request, and there are more changes.
    pub more: bool,
}

/// What came of storing a registration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreOutcome {
    /// It is stored.
    Stored,
    /// It was there already.
    Present,
    /// It was released.
    Released,
    /// A greater epoch is known.
    Superseded(Epoch),
    /// The table is full.
    Full,
}

/// A replica's own table.
#[derive(Clone, Debug, Default)]
pub struct RegistrationTable {
    registrations: BTreeMap<MemberId, Registration>,
    by_change: BTreeMap<u64, MemberId>,
    change: u64,
}

impl RegistrationTable {
    /// All registrations, by member.
    pub fn registrations(&self) -> &BTreeMap<MemberId, Registration> {
        &self.registrations
    }

    /// That of one member.
    pub fn get(&self, member: MemberId) -> Option<&Registration> {
        self.registrations.get(&member)
    }

    /// The number of the last change.
    pub fn change(&self) -> u64 {
        self.change
    }

    /// Stores a registration if its epoch is greater than the one known.
    pub fn store(
        &mut self,
        member: MemberId,
        epoch: Epoch,
        assigned_replica: ReplicaId,
        state: RegistrationState,
    ) -> StoreOutcome {
        match self.registrations.get(&member) {
            Some(known) if known.epoch > epoch => return StoreOutcome::Superseded(known.epoch),
            Some(known) if known.epoch == epoch => {
                return match known.state {
                    RegistrationState::Released => StoreOutcome::Released,
                    _ => StoreOutcome::Present,
                }
            }
            Some(_) => {}
            None => {
                if self.registrations.len() >= MAX_MEMBERS && !self.evict_released() {
                    return StoreOutcome::Full;
                }
            }
        }
        self.put(Registration { member, epoch, assigned_replica, state, change: 0 });
        StoreOutcome::Stored
    }

    /// Moves the registration of this epoch to a state; tells whether it was there in another.
    pub fn set_state(&mut self, member: MemberId, epoch: Epoch, state: RegistrationState) -> bool {
        match self.registrations.get(&member) {
            Some(known) if known.epoch == epoch && known.state != state => {
                let changed = Registration { state, ..*known };
                self.put(changed);
                true
            }
            _ => false,
        }
    }

    fn put(&mut self, registration: Registration) {
        self.change += 1;
        let registration = Registration { change: self.change, ..registration };
        if let Some(before) = self.registrations.insert(registration.member, registration) {
            self.by_change.remove(&before.change);
        }
        self.by_change.insert(self.change, registration.member);
    }

    /// Makes room by forgetting the released registration that changed longest ago. If it comes back from another
    /// table its assigned replica releases it again.
    fn evict_released(&mut self) -> bool {
        let is_released = |member: &MemberId| {
            self.registrations
                .get(member)
                .is_some_and(|registration| registration.state == RegistrationState::Released)
        };
        let evicted = self.by_change.iter().find(|(_, member)| is_released(member));
        let Some((change, member)) = evicted.map(|(change, member)| (*change, *member)) else { return false };
        self.by_change.remove(&change);
        self.registrations.remove(&member);
        true
    }

    /// The changes after this one, as many as fit into a datagram.
    pub fn changes_after(&self, incarnation: u64, after: u64) -> TableChunk {
        let changed = self.by_change.range(after.saturating_add(1)..).take(CHUNK_REGISTRATIONS);
        let registrations: Vec<Registration> =
            changed.filter_map(|(_, member)| self.registrations.get(member).copied()).collect();
        let through = match registrations.last() {
            Some(last) if registrations.len() == CHUNK_REGISTRATIONS => last.change,
            _ => self.change.max(after),
        };
        TableChunk { incarnation, after, through, registrations, more: false }
    }
}

/// A copy of another replica's table.
#[derive(Clone, Debug, Default)]
pub struct TableCopy {
    incarnation: u64,
    through: u64,
    registrations: BTreeMap<MemberId, Registration>,
}

impl TableCopy {
    /// Whether it holds all changes up to this one of this incarnation.
    pub fn is_complete(&self, incarnation: u64, change: u64) -> bool {
        self.incarnation == incarnation && self.through >= change
    }

    /// The last change that it holds of this incarnation; 0 if it is of another.
    pub fn through(&self, incarnation: u64) -> u64 {
        if self.incarnation == incarnation {
            self.through
        } else {
            0
        }
    }

    /// All registrations, by member.
    pub fn registrations(&self) -> &BTreeMap<MemberId, Registration> {
        &self.registrations
    }

    /// Applies a chunk; one that is of an older incarnation, or that leaves changes out, is ignored.
    pub fn apply(&mut self, chunk: &TableChunk) -> bool {
        if chunk.incarnation > self.incarnation && chunk.after == 0 {
            *self = TableCopy { incarnation: chunk.incarnation, ..TableCopy::default() };
        }
        if chunk.incarnation != self.incarnation || chunk.after > self.through {
            return false;
        }
        for registration in &chunk.registrations {
            self.put(*registration);
        }
        self.through = self.through.max(chunk.through);
        if self.registrations.len() > 2 * MAX_MEMBERS {
            // Too much is here that was evicted there: the copy begins anew.
            *self = TableCopy { incarnation: self.incarnation, ..TableCopy::default() };
            return false;
        }
        true
    }

    fn put(&mut self, registration: Registration) {
        let known = self.registrations.get(&registration.member);
        if known.is_none_or(|known| known.change < registration.change) {
            self.registrations.insert(registration.member, registration);
        }
    }
}

#[cfg(test)]
mod tests;
