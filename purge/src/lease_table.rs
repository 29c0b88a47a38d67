//! Leases that an assigned replica grants to its members, and the positions that those members have applied.
//!
//! # Guarantee
//!
//! A registration is reported as expired only when none of its leases can still be valid at its member: the assigned
//! replica counts the lease from the receipt of the last pull that it answered, the member from the sending of that
//! pull, and the assigned replica adds the drift of two clocks. A registration that the assigned replica learned from
//! another replica is never granted a lease. Leases of an earlier incarnation of the assigned replica may still be
//! valid, so the registration expires only one lease duration, with the drift added, after it was learned; it is never
//! learned before the assigned replica's start.

use std::collections::BTreeMap;

use crate::config::ReplicaSettings;
use crate::ids::{Epoch, MemberId, Position, ReplicaId};
use crate::injected_defect::InjectedDefect;
use crate::limits::MAX_NAMED_MEMBERS;
use crate::version_vector::VersionVector;
use crate::wire::MemberReport;
use crate::Micros;

/// The lease of one registration.
#[derive(Clone, Debug)]
struct Lease {
    epoch: Epoch,
    /// Whether the member itself registered with this incarnation of the assigned replica.
    grantable: bool,
    /// When the last lease was granted, or the registration was added.
    granted_at: Micros,
    /// Positions that the member has applied, as of its last pull.
    applied: VersionVector,
}

/// The leases of the members assigned to one replica.
#[derive(Clone, Debug, Default)]
pub struct LeaseTable {
    leases: BTreeMap<MemberId, Lease>,
}

impl LeaseTable {
    /// Adds a registration received from the member itself.
    pub fn register(&mut self, member: MemberId, epoch: Epoch, now: Micros) {
        let lease = Lease { epoch, grantable: true, granted_at: now, applied: VersionVector::default() };
        self.leases.insert(member, lease);
    }

    /// Adds a registration learned from another replica; leases of this epoch or of an earlier one may have been
    /// granted up to `learned_at`.
    pub fn add_learned(
        &mut self,
        member: MemberId,
        epoch: Epoch,
        learned_at: Micros,
        settings: &ReplicaSettings,
    ) {
        let granted_at = if settings.injected_defects.has(InjectedDefect::EarlyRelease) {
            Micros::ZERO
        } else {
            learned_at
        };
        self.leases
            .insert(member, Lease { epoch, grantable: false, granted_at, applied: VersionVector::default() });
    }

    /// Whether the member itself has registered here with this epoch.
    pub fn is_active(&self, member: MemberId, epoch: Epoch) -> bool {
        self.leases.get(&member).is_some_and(|lease| lease.grantable && lease.epoch == epoch)
    }

    /// Removes a member's registration and its lease.
    pub fn remove(&mut self, member: MemberId) {
        self.leases.remove(&member);
    }

    /// Records a pull and grants a lease; returns false if the member has no registration of this epoch that may be
    /// granted one.
    pub fn grant(&mut self, member: MemberId, epoch: Epoch, applied: &VersionVector, now: Micros) -> bool {
        match self.leases.get_mut(&member) {
            Some(lease) if lease.grantable && lease.epoch == epoch => {
                lease.granted_at = lease.granted_at.max(now);
                lease.applied.merge(applied);
                true
            }
            _ => false,
        }
    }

    /// Removes and returns the registrations whose leases have all expired.
    pub fn take_expired(&mut self, now: Micros, settings: &ReplicaSettings) -> Vec<(MemberId, Epoch)> {
        let mut lease_time = settings.lease_with_drift();
        if settings.injected_defects.has(InjectedDefect::LeaseCutShort) {
            lease_time = settings.lease / 2;
        }
        let is_expired = |lease: &Lease| lease.granted_at.saturating_add(lease_time) < now;
        let expired = self.leases.iter().filter(|(_, lease)| is_expired(lease));
        let expired: Vec<_> = expired.map(|(member, lease)| (*member, lease.epoch)).collect();
        for (member, _) in &expired {
            self.leases.remove(member);
        }
        expired
    }

    /// Reports how far the members with an active registration have applied the purges of `replica`. Members whose
    /// applied position is before `head` are laggards.
    pub fn report(&self, replica: ReplicaId, head: Position) -> MemberReport {
        let mut report = MemberReport::default();
        for (member, lease) in self.leases.iter().filter(|(_, lease)| lease.grantable) {
            let applied = lease.applied.get(replica);
            report.floor = Some(report.floor.map_or(applied, |floor| floor.min(applied)));
            if applied < head {
                report.laggards_total += 1;
                if report.laggards.len() < MAX_NAMED_MEMBERS {
                    report.laggards.push(*member);
                }
            }
        }
        report
    }

    /// The number of registrations in the table.
    pub fn len(&self) -> usize {
        self.leases.len()
    }

    /// Whether the table has no registrations.
    pub fn is_empty(&self) -> bool {
        self.leases.is_empty()
    }
}

#[cfg(test)]
mod tests;
