//! The two phases of a registration.
//!
//! First the member registers with all replicas; once a majority, and its home among them, has stored the registration,
//! it asks those to confirm it. Those that still have the same incarnation held it all at the same moment, between the
//! phases. What they know of by then is the member's target.

use std::collections::{BTreeMap, BTreeSet};

use super::{Member, Phase};
use crate::config::MILLISECOND;
use crate::flaw::Flaw;
use crate::ids::ReplicaId;
use crate::version_vector::VersionVector;
use crate::wire::MemberMessage;
use crate::Micros;

/// How long the first phase waits for others after a majority.
const WAIT_FOR_ALL: Micros = 100 * MILLISECOND;
/// Resends before they become rarer.
const FREQUENT_RESENDS: u32 = 4;
/// By how much rarer.
const RARE_RESEND_FACTOR: u64 = 4;

/// A registration under way.
#[derive(Clone, Debug)]
pub(super) struct Enrolment {
    begun: Micros,
    /// Who answered the first phase, in which incarnation.
    registered: BTreeMap<ReplicaId, u64>,
    is_confirming: bool,
    confirmed: BTreeSet<ReplicaId>,
    target: VersionVector,
    resends: u32,
    resend_at: Micros,
}

impl Enrolment {
    fn new(now: Micros, resend_after: Micros) -> Enrolment {
        Enrolment {
            begun: now,
            registered: BTreeMap::new(),
            is_confirming: false,
            confirmed: BTreeSet::new(),
            target: VersionVector::default(),
            resends: 0,
            resend_at: now + resend_after,
        }
    }

    /// Who has not answered the phase that is under way.
    fn unanswered(&self, replicas: usize) -> Vec<ReplicaId> {
        let all = (0..replicas).map(|index| ReplicaId(index as u8));
        all.filter(|replica| match self.is_confirming {
            true => self.registered.contains_key(replica) && !self.confirmed.contains(replica),
            false => !self.registered.contains_key(replica),
        })
        .collect()
    }

    fn may_confirm(&self, now: Micros, home: ReplicaId, replicas: usize) -> bool {
        let answered = self.registered.len();
        let is_enough = answered > replicas / 2 && self.registered.contains_key(&home);
        let has_waited = now.saturating_sub(self.begun) >= WAIT_FOR_ALL;
        !self.is_confirming && is_enough && (answered == replicas || has_waited)
    }
}

impl Member {
    /// Begins a registration with the next epoch.
    pub(super) fn enrol(&mut self, now: Micros) {
        self.epoch = self.epoch.next();
        self.granted_until = 0;
        self.progress = now;
        self.figures.registrations += 1;
        self.pulls.restart(now);
        self.phase = Phase::Enrolling(Enrolment::new(now, self.config.timing.resend_after));
        self.send_enrolment();
    }

    /// Sends the message of the current phase to those that have not answered it.
    fn send_enrolment(&mut self) {
        let Phase::Enrolling(enrolment) = &self.phase else { return };
        let (member, epoch) = (self.config.member, self.epoch);
        let message = match enrolment.is_confirming {
            true => MemberMessage::Confirm { member, epoch },
            false => MemberMessage::Register { member, epoch, home: self.homes.current() },
        };
        for replica in enrolment.unanswered(self.config.replicas.len()) {
            self.send(replica, message.clone());
        }
    }

    pub(super) fn resend_enrolment(&mut self, now: Micros) {
        self.begin_confirmation(now);
        let Phase::Enrolling(enrolment) = &mut self.phase else { return };
        if now < enrolment.resend_at {
            return;
        }
        enrolment.resends += 1;
        let rarer = if enrolment.resends < FREQUENT_RESENDS { 1 } else { RARE_RESEND_FACTOR };
        enrolment.resend_at = now + self.config.timing.resend_after * rarer;
        self.send_enrolment();
    }

    pub(super) fn on_registered(&mut self, now: Micros, from: ReplicaId, incarnation: u64) {
        let one_phase = self.config.timing.flaws.has(Flaw::OnePhaseRegistration);
        let (member, epoch) = (self.config.member, self.epoch);
        let Phase::Enrolling(enrolment) = &mut self.phase else { return };
        if one_phase {
            enrolment.registered.insert(from, incarnation);
            self.send(from, MemberMessage::Confirm { member, epoch });
            return;
        }
        // Whoever answers later was not there at the moment between the phases.
        if !enrolment.is_confirming {
            enrolment.registered.insert(from, incarnation);
            self.begin_confirmation(now);
        }
    }

    fn begin_confirmation(&mut self, now: Micros) {
        let (home, replicas) = (self.homes.current(), self.config.replicas.len());
        let Phase::Enrolling(enrolment) = &mut self.phase else { return };
        if enrolment.may_confirm(now, home, replicas) {
            enrolment.is_confirming = true;
            enrolment.resends = 0;
            enrolment.resend_at = now + self.config.timing.resend_after;
            self.send_enrolment();
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
        let Phase::Enrolling(enrolment) = &mut self.phase else { return };
        if enrolment.registered.get(&from) != Some(&incarnation) {
            return;
        }
        enrolment.confirmed.insert(from);
        enrolment.target.merge(vector);
        if enrolment.confirmed.len() >= majority {
            let target = std::mem::take(&mut enrolment.target);
            self.phase = Phase::Reaching { target };
            self.progress = now;
            self.pulls.restart(now);
        }
    }
}
