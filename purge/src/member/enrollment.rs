//! The two phases of a registration.
//!
//! First the member registers with all replicas. Once a majority that includes its assigned replica has stored the
//! registration, the member asks these replicas to confirm it. Replicas whose incarnation has not changed by then all
//! held the registration at one moment, between the phases. The purges that they know of when they confirm are the
//! member's target.

use std::collections::{BTreeMap, BTreeSet};

use super::{Member, Phase};
use crate::ids::ReplicaId;
use crate::injected_defect::InjectedDefect;
use crate::version_vector::VersionVector;
use crate::wire::MemberMessage;
use crate::Micros;

/// Maximum time from the start of the first phase to wait for all replicas once a majority has answered.
const MAX_WAIT_FOR_ALL_REPLICAS: Micros = Micros::from_millis(100);
/// Number of the resend from which the interval between resends is longer.
const RARE_RESENDS_FROM: u32 = 4;
/// Factor by which the interval between resends is longer from [`RARE_RESENDS_FROM`] on.
const RARE_RESEND_FACTOR: u64 = 4;

/// A registration in progress.
#[derive(Clone, Debug)]
pub(super) struct Enrollment {
    started_at: Micros,
    /// Incarnation of each replica that answered the first phase.
    registered: BTreeMap<ReplicaId, u64>,
    /// Whether the second phase has begun.
    is_confirming: bool,
    /// Replicas that answered the second phase.
    confirmed: BTreeSet<ReplicaId>,
    /// Greatest position in those answers, by publishing replica.
    target: VersionVector,
    resends: u32,
    resend_at: Micros,
}

impl Enrollment {
    fn new(now: Micros, resend_after: Micros) -> Enrollment {
        Enrollment {
            started_at: now,
            registered: BTreeMap::new(),
            is_confirming: false,
            confirmed: BTreeSet::new(),
            target: VersionVector::default(),
            resends: 0,
            resend_at: now + resend_after,
        }
    }

    /// The replicas that have not answered the current phase.
    fn unanswered(&self, replicas: usize) -> Vec<ReplicaId> {
        let all = (0..replicas).map(|index| ReplicaId(index as u8));
        all.filter(|replica| match self.is_confirming {
            true => self.registered.contains_key(replica) && !self.confirmed.contains(replica),
            false => !self.registered.contains_key(replica),
        })
        .collect()
    }

    fn may_confirm(&self, now: Micros, assigned_replica: ReplicaId, replicas: usize) -> bool {
        let answered = self.registered.len();
        let has_quorum = answered > replicas / 2 && self.registered.contains_key(&assigned_replica);
        let has_waited = now.saturating_sub(self.started_at) >= MAX_WAIT_FOR_ALL_REPLICAS;
        !self.is_confirming && has_quorum && (answered == replicas || has_waited)
    }
}

impl Member {
    /// Starts a registration with the next epoch.
    pub(super) fn enroll(&mut self, now: Micros) {
        self.epoch = self.epoch.next();
        self.granted_until = Micros::ZERO;
        self.last_progress = now;
        self.metrics.registrations += 1;
        self.pulls.restart(now);
        self.phase = Phase::Enrolling(Enrollment::new(now, self.config.timing.resend_after));
        self.send_enrollment();
    }

    /// Sends the message of the current phase to the replicas that have not answered it.
    fn send_enrollment(&mut self) {
        let Phase::Enrolling(enrollment) = &self.phase else { return };
        let (member, epoch) = (self.config.member, self.epoch);
        let message = match enrollment.is_confirming {
            true => MemberMessage::Confirm { member, epoch },
            false => {
                MemberMessage::Register { member, epoch, assigned_replica: self.replica_choice.current() }
            }
        };
        for replica in enrollment.unanswered(self.config.replicas.len()) {
            self.send(replica, message.clone());
        }
    }

    /// Begins the second phase if the first is over, and sends the current phase's message again if a resend is due.
    pub(super) fn resend_enrollment(&mut self, now: Micros) {
        self.begin_confirmation(now);
        let Phase::Enrolling(enrollment) = &mut self.phase else { return };
        if now < enrollment.resend_at {
            return;
        }
        enrollment.resends += 1;
        let interval_factor = if enrollment.resends < RARE_RESENDS_FROM { 1 } else { RARE_RESEND_FACTOR };
        enrollment.resend_at = now + self.config.timing.resend_after * interval_factor;
        self.send_enrollment();
    }

    pub(super) fn on_registered(&mut self, now: Micros, from: ReplicaId, incarnation: u64) {
        let skips_second_phase =
            self.config.timing.injected_defects.has(InjectedDefect::OnePhaseRegistration);
        let (member, epoch) = (self.config.member, self.epoch);
        let Phase::Enrolling(enrollment) = &mut self.phase else { return };
        if skips_second_phase {
            enrollment.registered.insert(from, incarnation);
            self.send(from, MemberMessage::Confirm { member, epoch });
            return;
        }
        // A replica that answers later did not hold the registration at the moment between the phases.
        if !enrollment.is_confirming {
            enrollment.registered.insert(from, incarnation);
            self.begin_confirmation(now);
        }
    }

    fn begin_confirmation(&mut self, now: Micros) {
        let (assigned_replica, replicas) = (self.replica_choice.current(), self.config.replicas.len());
        let Phase::Enrolling(enrollment) = &mut self.phase else { return };
        if enrollment.may_confirm(now, assigned_replica, replicas) {
            enrollment.is_confirming = true;
            enrollment.resends = 0;
            enrollment.resend_at = now + self.config.timing.resend_after;
            self.send_enrollment();
        }
    }

    pub(super) fn on_confirmed(
        &mut self,
        now: Micros,
        from: ReplicaId,
        incarnation: u64,
        vector: &VersionVector,
    ) {
        let majority = self.config.replicas.len() / 2 + 1;
        let Phase::Enrolling(enrollment) = &mut self.phase else { return };
        if enrollment.registered.get(&from) != Some(&incarnation) {
            return;
        }
        enrollment.confirmed.insert(from);
        enrollment.target.merge(vector);
        if enrollment.confirmed.len() >= majority {
            let target = std::mem::take(&mut enrollment.target);
            self.phase = Phase::ApplyingTarget { target };
            self.last_progress = now;
            self.pulls.restart(now);
        }
    }
}
