//! Registration tables: the epoch and the assigned replica of each registered member.
//!
//! Every replica has its own table and copies of the tables of all other replicas. Changes are numbered, so that a copy
//! is updated incrementally ([`RegistrationTable::changes_after`]); a copy starts empty when its replica's incarnation
//! changes.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::ids::{Epoch, MemberId, ReplicaId};
use crate::limits::MAX_MEMBERS;

/// Maximum number of registrations in a chunk; that many always fit into a datagram.
const MAX_CHUNK_REGISTRATIONS: usize = 24;

/// State of a registration as one replica knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum RegistrationState {
    /// The member was registered; this replica can't grant it leases.
    Known,
    /// The member itself registered with this replica, its assigned replica, which may grant it leases.
    Active,
    /// The registration has ended and none of its leases is valid, now or later. This state is final.
    Released,
}

/// A member's registration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Registration {
    /// The registered member.
    pub member: MemberId,
    /// Epoch of the registration.
    pub epoch: Epoch,
    /// The replica that grants the member its leases.
    pub assigned_replica: ReplicaId,
    /// State of the registration.
    pub state: RegistrationState,
    /// Number of the last change of this registration in its table.
    pub change: u64,
}

/// Changes of a registration table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableChunk {
    /// Incarnation of the replica that owns the table.
    pub incarnation: u64,
    /// Number of the change before the first one covered.
    pub after: u64,
    /// Number of the last change covered.
    pub through: u64,
    /// The changed registrations.
    pub registrations: Vec<Registration>,
    /// Whether there are more changes that the sender doesn't send now, because it has reached its limit of chunks. Set
    /// only in the last chunk.
    pub more: bool,
}

/// Result of storing a registration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreOutcome {
    /// The registration was stored.
    Stored,
    /// The table already has the registration, which is not released.
    Present,
    /// The table already has the registration, which is released.
    Released,
    /// The table has a registration with this greater epoch.
    Superseded(Epoch),
    /// The table is full of registrations that are not released.
    Full,
}

/// A replica's own registration table.
#[derive(Clone, Debug, Default)]
pub struct RegistrationTable {
    registrations: BTreeMap<MemberId, Registration>,
    /// The member of each registration, by the number of the registration's last change.
    by_change: BTreeMap<u64, MemberId>,
    /// Number of the last change.
    change: u64,
}

impl RegistrationTable {
    /// All registrations, by member.
    pub fn registrations(&self) -> &BTreeMap<MemberId, Registration> {
        &self.registrations
    }

    /// The registration of one member.
    pub fn get(&self, member: MemberId) -> Option<&Registration> {
        self.registrations.get(&member)
    }

    /// The number of the last change.
    pub fn change(&self) -> u64 {
        self.change
    }

    /// Stores a registration unless the table has one of the member with the same or a greater epoch.
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

    /// Sets the state of the registration of this epoch; returns whether the state changed.
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

    /// Evicts the released registration that changed longest ago; returns false if none is released. If the evicted
    /// registration is stored again from another replica's table, its assigned replica releases it again.
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

    /// The changes after change number `after`, as many as fit into a datagram.
    pub fn changes_after(&self, incarnation: u64, after: u64) -> TableChunk {
        let changed = self.by_change.range(after.saturating_add(1)..).take(MAX_CHUNK_REGISTRATIONS);
        let registrations: Vec<Registration> =
            changed.filter_map(|(_, member)| self.registrations.get(member).copied()).collect();
        let through = match registrations.last() {
            Some(last) if registrations.len() == MAX_CHUNK_REGISTRATIONS => last.change,
            _ => self.change.max(after),
        };
        TableChunk { incarnation, after, through, registrations, more: false }
    }
}

/// A copy of another replica's table.
#[derive(Clone, Debug, Default)]
pub struct TableCopy {
    /// Incarnation of the replica that owns the original table.
    incarnation: u64,
    /// Number of the last change in the copy.
    through: u64,
    registrations: BTreeMap<MemberId, Registration>,
}

impl TableCopy {
    /// Whether the copy has all changes of this incarnation up to `change`.
    pub fn is_complete(&self, incarnation: u64, change: u64) -> bool {
        self.incarnation == incarnation && self.through >= change
    }

    /// The number of the last change that the copy has of this incarnation; 0 if the copy is of another incarnation.
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

    /// Applies a chunk; the first chunk of a newer incarnation replaces the copy. Ignores a chunk of an older
    /// incarnation or one that would leave a gap. Returns false if the chunk was ignored, or if the copy was emptied
    /// because it had too many registrations.
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
            // The copy has too many registrations that were evicted from the original table: it is rebuilt.
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
