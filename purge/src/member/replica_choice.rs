//! Choice of a member's assigned replica: the first in preference order that answers, with hysteresis on the return to
//! the preferred one.

use crate::config::MemberTiming;
use crate::ids::ReplicaId;
use crate::Micros;

/// An unanswered probe.
#[derive(Clone, Copy, Debug)]
struct Probe {
    number: u32,
    to: ReplicaId,
}

/// The choice of an assigned replica.
#[derive(Clone, Debug)]
pub(super) struct ReplicaChoice {
    /// All replicas, the preferred ones first.
    order: Vec<ReplicaId>,
    current: ReplicaId,
    /// Replica that was probed last because the assigned one was silent; the assigned one if there was none.
    candidate: ReplicaId,
    probe: Option<Probe>,
    next_number: u32,
    next_probe_at: Micros,
    /// Consecutive probe replies of the preferred replica.
    consecutive_replies: u32,
    changed_at: Micros,
}

impl ReplicaChoice {
    pub(super) fn new(
        preferred: &[ReplicaId],
        replicas: usize,
        first_number: u32,
        now: Micros,
    ) -> ReplicaChoice {
        let mut order: Vec<ReplicaId> = Vec::new();
        let all = (0..replicas).map(|index| ReplicaId(index as u8));
        for replica in preferred.iter().copied().chain(all) {
            if replica.index() < replicas && !order.contains(&replica) {
                order.push(replica);
            }
        }
        let first = order.first().copied().unwrap_or_default();
        ReplicaChoice {
            order,
            current: first,
            candidate: first,
            probe: None,
            next_number: first_number,
            next_probe_at: now,
            consecutive_replies: 0,
            changed_at: now,
        }
    }

    pub(super) fn current(&self) -> ReplicaId {
        self.current
    }

    pub(super) fn set_current(&mut self, now: Micros, assigned_replica: ReplicaId) {
        self.current = assigned_replica;
        self.candidate = assigned_replica;
        self.probe = None;
        self.consecutive_replies = 0;
        self.changed_at = now;
    }

    /// The replica that follows the assigned one in preference order.
    pub(super) fn replica_after_current(&self) -> ReplicaId {
        self.next_in_order(self.current)
    }

    fn next_in_order(&self, replica: ReplicaId) -> ReplicaId {
        let index = self.order.iter().position(|other| *other == replica).unwrap_or(0);
        self.order.get((index + 1) % self.order.len().max(1)).copied().unwrap_or(replica)
    }

    /// The replica to probe now and the probe's number, if a probe is due. While the assigned replica is silent, the
    /// other replicas are probed in turn; otherwise a settled member that may return probes its preferred replica.
    pub(super) fn next_probe(
        &mut self,
        now: Micros,
        is_settled: bool,
        is_silent: bool,
        timing: &MemberTiming,
    ) -> Option<(ReplicaId, u32)> {
        if now < self.next_probe_at {
            return None;
        }
        let preferred = self.order.first().copied()?;
        if is_silent {
            self.candidate = self.next_in_order(self.candidate);
            if self.candidate == self.current {
                self.candidate = self.next_in_order(self.candidate);
            }
            self.next_probe_at = now + timing.resend_after / 2;
            return self.send(self.candidate);
        }
        let may_return = now.saturating_sub(self.changed_at) >= timing.return_delay;
        if !is_settled || self.current == preferred || !may_return {
            return None;
        }
        if self.probe.is_some() {
            self.consecutive_replies = 0;
        }
        self.next_probe_at = now + timing.return_probe_interval;
        self.send(preferred)
    }

    fn send(&mut self, to: ReplicaId) -> Option<(ReplicaId, u32)> {
        let number = self.next_number;
        self.next_number = self.next_number.wrapping_add(1);
        self.probe = Some(Probe { number, to });
        Some((to, number))
    }

    /// Handles the reply to a probe; returns the replica to change to, if the member should change now.
    pub(super) fn on_probe_reply(
        &mut self,
        from: ReplicaId,
        number: u32,
        timing: &MemberTiming,
    ) -> Option<ReplicaId> {
        let probe = self.probe.filter(|probe| probe.number == number && probe.to == from)?;
        self.probe = None;
        if Some(&probe.to) != self.order.first() || probe.to == self.candidate {
            return Some(probe.to);
        }
        self.consecutive_replies += 1;
        (self.consecutive_replies >= timing.return_probe_replies).then_some(probe.to)
    }
}
