//! Recovery of a replica that has started without state.
//!
//! The replica has recovered when it holds the entries and the registration tables of a majority of *other* replicas
//! that are not recovering themselves. For each of these replicas, the first reply of its incarnation to a request that
//! was sent after the start of the recovering replica determines the positions and the table changes that the latter
//! needs.

use std::collections::BTreeMap;

use super::Replica;
use crate::completion::Completion;
use crate::ids::ReplicaId;
use crate::injected_defect::{InjectedDefect, InjectedDefects};
use crate::log::Log;
use crate::registration::{RegistrationState, TableCopy};
use crate::version_vector::VersionVector;
use crate::wire::StatusReply;
use crate::Micros;

/// The state that a replica reported in the first reply of its incarnation to the recovering replica.
#[derive(Clone, Debug)]
struct Snapshot {
    incarnation: u64,
    vector: VersionVector,
    change: u64,
}

/// The progress of a recovering replica.
#[derive(Clone, Debug)]
pub(super) struct Recovery {
    required_snapshots: usize,
    snapshots: BTreeMap<ReplicaId, Snapshot>,
}

impl Recovery {
    /// Starts a recovery, without any replies.
    pub(super) fn new(replicas: usize, injected_defects: InjectedDefects) -> Recovery {
        let majority = replicas / 2 + 1;
        let required_snapshots =
            if injected_defects.has(InjectedDefect::RecoveryFromOne) { 1 } else { majority };
        Recovery { required_snapshots, snapshots: BTreeMap::new() }
    }

    /// Handles a reply to a request of this incarnation. The first reply of each incarnation of a replica sets the
    /// state to be reached; later ones are ignored.
    pub(super) fn on_reply(&mut self, from: ReplicaId, reply: &StatusReply) {
        let known = self.snapshots.get(&from).map(|snapshot| snapshot.incarnation);
        if known < Some(reply.incarnation) {
            let vector = reply.vector.clone();
            let snapshot = Snapshot { incarnation: reply.incarnation, vector, change: reply.change };
            self.snapshots.insert(from, snapshot);
        }
    }

    /// Whether the log and the table copies have reached the snapshots of a majority.
    fn is_complete(&self, log: &Log, copies: &BTreeMap<ReplicaId, TableCopy>) -> bool {
        let vector = log.vector();
        let is_reached = |replica: &ReplicaId, snapshot: &Snapshot| {
            let copy = copies.get(replica);
            copy.is_some_and(|copy| copy.is_complete(snapshot.incarnation, snapshot.change))
                && vector.covers(&snapshot.vector)
        };
        let reached = self.snapshots.iter().filter(|(replica, snapshot)| is_reached(replica, snapshot));
        reached.count() >= self.required_snapshots
    }
}

impl Replica {
    /// Ends the recovery if it is complete.
    pub(super) fn finish_recovery(&mut self, now: Micros) {
        match &self.recovery {
            Some(recovery) if recovery.is_complete(&self.log, &self.copies) => {}
            _ => return,
        }
        self.recovery = None;
        self.import_registrations(now);
        self.start_stream();
        let (own_id, count) = (self.config.replica, self.config.replicas.len());
        let round = self.completion.round();
        self.completion = Completion::new(own_id, count, round, self.config.settings.injected_defects);
        self.begin_round(now);
    }

    /// Stores the registrations of all copies in the own table, and adds leases for those assigned to this replica.
    /// Such a registration may have leases of earlier incarnations of this replica, granted until its start, or of
    /// earlier epochs at other assigned replicas, granted until the member registered anew. The member may have
    /// registered anew later than the start, but not later than now.
    fn import_registrations(&mut self, now: Micros) {
        let own_id = self.config.replica;
        for registration in self.copies.values().flat_map(|copy| copy.registrations().values()) {
            let state = match registration.state {
                RegistrationState::Released => RegistrationState::Released,
                _ => RegistrationState::Known,
            };
            let (member, epoch) = (registration.member, registration.epoch);
            self.table.store(member, epoch, registration.assigned_replica, state);
            if state == RegistrationState::Released {
                self.table.set_state(member, epoch, state);
            }
        }
        for registration in self.table.registrations().values() {
            if registration.assigned_replica == own_id && registration.state != RegistrationState::Released {
                let (member, epoch) = (registration.member, registration.epoch);
                self.leases.add_learned(member, epoch, now, &self.config.settings);
            }
        }
    }
}
