//! A member: a balancer or a cache server that applies purges, and serves only while its lease is valid.
//!
//! After its start a member pulls from its assigned replica until it has caught up, registers with a majority of the
//! replicas in two phases, and pulls until it has applied the target that the majority named. Then it serves, and the
//! answers to its pulls renew its lease. When the lease expires, the member starts over with a greater epoch.

mod enrollment;
mod pulls;
mod replica_choice;

use std::net::SocketAddr;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::config::{CatchUp, MemberConfig};
use crate::ids::{Epoch, ReplicaId};
use crate::injected_defect::InjectedDefect;
use crate::limits::{MAX_REPLICAS, MAX_UNDRAINED_EVENTS};
use crate::log::Run;
use crate::metrics::{Dropped, MemberMetrics, Traffic};
use crate::outbox::Outbox;
use crate::version_vector::VersionVector;
use crate::wire::{decode, MemberMessage, Message, ReplicaMessage};
use crate::Micros;
use enrollment::Enrollment;
use pulls::Pulls;
use replica_choice::ReplicaChoice;

/// A change that a member's driver has to apply, in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PurgeEvent {
    /// Purge this key.
    Key(Vec<u8>),
    /// Discard everything that is cached.
    DiscardAll,
}

/// A member's progress towards serving.
#[derive(Clone, Debug)]
enum Phase {
    /// Pulls without a registration.
    CatchingUp {
        /// Whether the last answer of the assigned replica said that there are no more entries.
        caught_up: bool,
    },
    /// Registers with a majority of the replicas.
    Enrolling(Enrollment),
    /// Registered; pulls until the target is applied.
    ApplyingTarget {
        /// Positions that must be applied before the member may serve.
        target: VersionVector,
    },
    /// Serves while its lease is valid.
    Serving,
    /// Has left; never serves again.
    Stopped,
}

/// The state machine of a member.
#[derive(Debug)]
pub struct Member {
    config: MemberConfig,
    rng: ChaCha8Rng,
    replica_choice: ReplicaChoice,
    epoch: Epoch,
    phase: Phase,
    /// When the current phase last made progress.
    last_progress: Micros,
    pulls: Pulls,
    /// End of the lease that the assigned replica has granted for the current epoch.
    granted_until: Micros,
    /// End of the time in which this member may serve, from leases of confirmed epochs.
    lease_until: Micros,
    /// Positions received; they count as applied once the driver has drained the events.
    received: VersionVector,
    applied: VersionVector,
    events: Vec<PurgeEvent>,
    outbox: Outbox,
    metrics: MemberMetrics,
    dropped: Dropped,
    traffic_in: Traffic,
}

impl Member {
    /// Creates a member that starts now with an empty cache.
    pub fn new(mut config: MemberConfig, now: Micros) -> Member {
        config.replicas.truncate(MAX_REPLICAS);
        let mut rng = ChaCha8Rng::seed_from_u64(config.seed);
        let first_pull = now + Micros(rng.random_range(0..=config.timing.resend_after.0));
        let first_number = rng.random::<u32>() / 2;
        Member {
            replica_choice: ReplicaChoice::new(&config.preferred, config.replicas.len(), first_number, now),
            epoch: Epoch { incarnation: config.incarnation, counter: 0 },
            phase: Phase::CatchingUp { caught_up: false },
            last_progress: now,
            pulls: Pulls::new(first_number, first_pull, now),
            granted_until: Micros::ZERO,
            lease_until: Micros::ZERO,
            received: VersionVector::default(),
            applied: VersionVector::default(),
            events: Vec::new(),
            outbox: Outbox::default(),
            metrics: MemberMetrics::default(),
            dropped: Dropped::default(),
            traffic_in: Traffic::default(),
            rng,
            config,
        }
    }

    /// Whether the member may serve at this moment.
    pub fn may_serve(&self, now: Micros) -> bool {
        now < self.lease_until && !matches!(self.phase, Phase::Stopped)
    }

    /// Drains the events that the driver has to apply. They count as applied from now on, so the driver must apply them
    /// before it makes any other call on this member.
    pub fn drain_events(&mut self) -> Vec<PurgeEvent> {
        if self.applied != self.received {
            self.applied = self.received.clone();
        }
        std::mem::take(&mut self.events)
    }

    /// Drains the datagrams to be sent now.
    pub fn drain(&mut self) -> Vec<(SocketAddr, Vec<u8>)> {
        self.outbox.drain()
    }

    /// Stops serving and deregisters, so that replicas need not wait for the lease to expire.
    pub fn leave(&mut self) {
        self.phase = Phase::Stopped;
        self.lease_until = Micros::ZERO;
        let deregister = MemberMessage::Deregister { member: self.config.member, epoch: self.epoch };
        self.outbox.send(self.config.replicas.iter().copied(), &Message::ToReplica(deregister));
    }

    /// The member's metrics.
    pub fn metrics(&self) -> MemberMetrics {
        MemberMetrics {
            assigned_replica: self.replica_choice.current().0,
            sent: self.outbox.sent,
            received: self.traffic_in,
            dropped: Dropped { outbox_full: self.outbox.dropped, ..self.dropped },
            ..self.metrics
        }
    }

    /// Handles a received datagram.
    pub fn on_datagram(&mut self, now: Micros, from: SocketAddr, bytes: &[u8]) {
        self.traffic_in.record(bytes.len());
        let Some(from) = self.config.replicas.iter().position(|replica| *replica == from) else {
            self.dropped.unknown_sender += 1;
            return;
        };
        self.end_lapsed_lease(now);
        match decode(bytes) {
            Ok(Message::ToMember(message)) => self.on_replica_message(now, ReplicaId(from as u8), message),
            Ok(_) => self.dropped.unknown_sender += 1,
            Err(error) => self.dropped.record(error),
        }
    }

    fn on_replica_message(&mut self, now: Micros, from: ReplicaId, message: ReplicaMessage) {
        match message {
            ReplicaMessage::Entries { number, epoch, runs, more } => {
                if self.events.len() >= MAX_UNDRAINED_EVENTS {
                    self.dropped.undrained += 1;
                    return;
                }
                self.receive_runs(runs);
                self.on_pull_answer(now, number, epoch, more);
            }
            ReplicaMessage::Void { number, epoch, vector } => {
                self.receive_void(&vector);
                self.on_pull_answer(now, number, epoch, false);
            }
            ReplicaMessage::ReRegister { epoch } if epoch == self.epoch => self.reregister(now),
            ReplicaMessage::Registered { epoch, incarnation } if epoch == self.epoch => {
                self.on_registered(now, from, incarnation);
            }
            ReplicaMessage::Confirmed { epoch, incarnation, vector } if epoch == self.epoch => {
                self.on_confirmed(now, from, incarnation, &vector);
            }
            ReplicaMessage::Superseded { epoch, known } if epoch == self.epoch && known > epoch => {
                self.epoch = known;
                self.reregister(now);
            }
            ReplicaMessage::ProbeReply { number } => {
                if let Some(assigned_replica) =
                    self.replica_choice.on_probe_reply(from, number, &self.config.timing)
                {
                    self.change_assigned_replica(now, assigned_replica);
                }
            }
            _ => self.dropped.stale += 1,
        }
    }

    /// Accepts entries that follow those received without a gap. Skips duplicates, and entries after a gap, which
    /// will be sent again.
    fn receive_runs(&mut self, runs: Vec<Run>) {
        for run in runs {
            let replica = run.replica;
            if run.rebase && self.config.timing.injected_defects.has(InjectedDefect::VoidForgotten) {
                self.received.raise(replica, run.previous);
            }
            for entry in run.entries() {
                let position = self.received.get(replica);
                if position < entry.previous || position >= entry.position {
                    continue;
                }
                self.received.raise(replica, entry.position);
                if !entry.position.is_start() {
                    self.metrics.purged += 1;
                    self.events.push(PurgeEvent::Key(entry.key));
                }
            }
        }
    }

    /// Voids the cache, which amounts to applying every purge up to the vector.
    fn receive_void(&mut self, vector: &VersionVector) {
        self.metrics.voided += 1;
        self.events.clear();
        self.events.push(PurgeEvent::DiscardAll);
        self.received.merge(vector);
    }

    fn on_pull_answer(&mut self, now: Micros, number: u32, epoch: Option<Epoch>, more: bool) {
        let Some(sent) = self.pulls.on_answer(now, number) else { return };
        let timing = &self.config.timing;
        let jitter = timing.pull_interval / 10;
        let mut next = sent + timing.pull_interval - jitter + Micros(self.rng.random_range(0..=2 * jitter.0));
        if more || !matches!(self.phase, Phase::Serving) {
            next = now + self.continuation_delay();
        }
        self.pulls.schedule(next);
        // While the target is not applied, an answer that announces no more entries is no progress, so that the member
        // leaves an assigned replica that keeps answering but lacks entries of the target.
        if more || !matches!(self.phase, Phase::ApplyingTarget { .. }) {
            self.last_progress = now;
        }
        if epoch == Some(self.epoch) {
            let lease_start = if self.config.timing.injected_defects.has(InjectedDefect::LeaseFromReceipt) {
                now
            } else {
                sent
            };
            self.granted_until = self.granted_until.max(lease_start + self.config.timing.lease);
        }
        match &mut self.phase {
            Phase::CatchingUp { caught_up } => *caught_up = !more,
            Phase::Serving => self.lease_until = self.lease_until.max(self.granted_until),
            _ => {}
        }
    }

    fn continuation_delay(&self) -> Micros {
        match self.config.catch_up {
            CatchUp::Void => self.config.timing.continuation_delay_void,
            CatchUp::Replay => self.config.timing.continuation_delay_replay,
        }
    }

    /// Does the work that is due; to be called every 20 to 50 ms.
    pub fn on_tick(&mut self, now: Micros) {
        self.end_lapsed_lease(now);
        self.advance(now);
        self.change_silent_replica(now);
        self.pull(now);
        self.resend_enrollment(now);
        self.probe(now);
    }

    /// Starts over when the lease has expired; the epoch of an expired lease is never used again.
    fn end_lapsed_lease(&mut self, now: Micros) {
        if matches!(self.phase, Phase::Serving) && now >= self.lease_until {
            self.metrics.lapses += 1;
            self.catch_up(now);
        }
    }

    /// Enters the next phase if its condition is met.
    fn advance(&mut self, now: Micros) {
        match &self.phase {
            Phase::CatchingUp { caught_up: true } if self.applied == self.received => self.enroll(now),
            Phase::ApplyingTarget { target } if now < self.granted_until => {
                let is_reached = self.applied.covers(target);
                if is_reached || self.config.timing.injected_defects.has(InjectedDefect::TargetIgnored) {
                    self.phase = Phase::Serving;
                    self.lease_until = self.lease_until.max(self.granted_until);
                }
            }
            _ => {}
        }
    }

    /// Starts to pull without a registration, until there are no more entries.
    fn catch_up(&mut self, now: Micros) {
        self.phase = Phase::CatchingUp { caught_up: false };
        self.last_progress = now;
        self.pulls.restart(now);
    }

    fn pull(&mut self, now: Micros) {
        let epoch = match self.phase {
            Phase::CatchingUp { .. } => None,
            Phase::ApplyingTarget { .. } | Phase::Serving => Some(self.epoch),
            Phase::Enrolling(_) | Phase::Stopped => return,
        };
        if !self.pulls.is_due(now) {
            return;
        }
        let number = self.pulls.send(now, self.config.timing.resend_after);
        let message = MemberMessage::Pull {
            member: self.config.member,
            epoch,
            number,
            catch_up: self.config.catch_up,
            applied: self.applied.clone(),
        };
        self.send(self.replica_choice.current(), message);
    }

    fn send(&mut self, to: ReplicaId, message: MemberMessage) {
        let address = self.config.replicas.get(to.index()).copied();
        self.outbox.send(address, &Message::ToReplica(message));
    }

    /// Changes the assigned replica if it doesn't answer, or if the member makes no progress with it. A serving member
    /// changes only once another replica has answered a probe ([`Member::probe`]).
    fn change_silent_replica(&mut self, now: Micros) {
        let is_silent = self.pulls.is_silent(now, &self.config.timing);
        let is_timed_out = now.saturating_sub(self.last_progress) >= self.config.timing.registration_timeout;
        match self.phase {
            Phase::CatchingUp { .. } if is_silent => {
                self.change_assigned_replica(now, self.replica_choice.replica_after_current())
            }
            Phase::Enrolling(_) | Phase::ApplyingTarget { .. } if is_timed_out => {
                self.change_assigned_replica(now, self.replica_choice.replica_after_current());
            }
            _ => {}
        }
    }

    /// Probes other replicas if the assigned replica is silent or is not the preferred one.
    fn probe(&mut self, now: Micros) {
        let is_settled = matches!(self.phase, Phase::Serving);
        let is_silent = is_settled && self.pulls.is_silent(now, &self.config.timing);
        if let Some((to, number)) =
            self.replica_choice.next_probe(now, is_settled, is_silent, &self.config.timing)
        {
            self.send(to, MemberMessage::Probe { number });
        }
    }

    fn change_assigned_replica(&mut self, now: Micros, assigned_replica: ReplicaId) {
        self.metrics.reassignments += u64::from(assigned_replica != self.replica_choice.current());
        self.replica_choice.set_current(now, assigned_replica);
        self.reregister(now);
    }

    /// Registers with a greater epoch. If the lease has expired, the member catches up first.
    fn reregister(&mut self, now: Micros) {
        if matches!(self.phase, Phase::Stopped) {
            return;
        }
        if now < self.lease_until {
            self.enroll(now);
        } else {
            self.catch_up(now);
        }
    }
}
