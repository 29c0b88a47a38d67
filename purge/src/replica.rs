//! A control machine: publishes purges, holds the log and the registrations, is the assigned replica of some members, and knows
//! which of the purges published here are done.
//!
//! A replica keeps nothing on disk. One that starts is *recovering* until it has taken registrations and entries from a
//! majority of the others ([`recovery`]); until then it only asks, and answers nobody.

mod members;
mod peers;
mod recovery;

use std::collections::BTreeMap;
use std::net::SocketAddr;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::completion::{Completion, Tables};
use crate::config::ReplicaConfig;
use crate::ids::{MemberId, Position, PurgeId, ReplicaId, StreamId};
use crate::lease_table::LeaseTable;
use crate::limits::{TokenBucket, MAX_KEY_BYTES, MAX_REPLICAS};
use crate::log::{Entry, Log};
use crate::metrics::{Dropped, ReplicaMetrics, Traffic};
use crate::outbox::Outbox;
use crate::registration::{RegistrationState, RegistrationTable, TableCopy};
use crate::wire::{decode, Message};
use crate::Micros;
use peers::{Fetch, Peer};
use recovery::Recovery;

/// How far a purge has come.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PurgeStatus {
    /// It has been applied at every member that serves, now and for ever.
    Done,
    /// It has not, as far as is known.
    Pending {
        /// Some of the members that are outstanding, in so far as they are known.
        members: Vec<MemberId>,
        /// How many are.
        members_total: u32,
        /// Replicas that did not answer, if those that did are no majority.
        replicas: Vec<ReplicaId>,
    },
    /// It was not published at this start of this replica. It may be published again: purges may be repeated.
    Unknown,
}

/// Why a purge was not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PublishRejectReason {
    /// The key is longer than any key.
    KeyTooLong,
    /// The replica is recovering.
    Recovering,
    /// More a second than are admitted.
    RateLimited,
    /// Too many are not done.
    TooManyPending,
}

/// A purge was not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PublishRejected {
    /// Why.
    pub reason: PublishRejectReason,
    /// The time after which to come again.
    pub retry_after: Micros,
}

/// A control machine.
#[derive(Debug)]
pub struct Replica {
    config: ReplicaConfig,
    rng: ChaCha8Rng,
    /// Until it has recovered.
    recovery: Option<Recovery>,
    log: Log,
    table: RegistrationTable,
    copies: BTreeMap<ReplicaId, TableCopy>,
    peers: BTreeMap<ReplicaId, Peer>,
    leases: LeaseTable,
    completion: Completion,
    /// Something has changed since the completion was last evaluated.
    needs_evaluation: bool,
    next_round: Micros,
    round_started: Micros,
    /// The request for entries that is under way.
    fetching: Option<Fetch>,
    /// The last position published here that was pushed.
    last_pushed: Position,
    bucket: TokenBucket,
    outbox: Outbox,
    received: Traffic,
    dropped: Dropped,
}

impl Replica {
    /// A replica that starts now.
    pub fn new(mut config: ReplicaConfig, now: Micros) -> Replica {
        config.replicas.truncate(MAX_REPLICAS);
        let settings = &config.settings;
        let (me, count) = (config.replica, config.replicas.len());
        let recovery = (!config.bootstrap).then(|| Recovery::new(count, settings.injected_defects));
        let mut replica = Replica {
            rng: ChaCha8Rng::seed_from_u64(config.seed),
            recovery,
            log: Log::new(settings.log_entries),
            table: RegistrationTable::default(),
            copies: BTreeMap::new(),
            peers: BTreeMap::new(),
            leases: LeaseTable::default(),
            completion: Completion::new(me, count, 0, settings.injected_defects),
            needs_evaluation: false,
            next_round: now,
            round_started: now,
            fetching: None,
            last_pushed: Position::ZERO,
            bucket: TokenBucket::new(settings.publish_rate, settings.publish_burst, now),
            outbox: Outbox::default(),
            received: Traffic::default(),
            dropped: Dropped::default(),
            config,
        };
        if replica.config.bootstrap {
            // Nothing before this start can be replayed: whoever has applied less than its base must void.
            let base = Position { incarnation: replica.config.incarnation, sequence: 0 };
            replica.log.rebase(me, base);
            replica.start_stream();
        }
        replica
    }

    /// Appends the start entry of this incarnation: from now on this replica takes purges and answers.
    fn start_stream(&mut self) {
        let me = self.config.replica;
        let position = Position::start_of(self.config.incarnation);
        let previous = self.log.head(me);
        self.log.append(me, Entry { position, previous, key: Vec::new() });
        self.last_pushed = previous;
    }

    /// A datagram has come.
    pub fn on_datagram(&mut self, now: Micros, from: SocketAddr, bytes: &[u8]) {
        self.received.add(bytes.len());
        match decode(bytes) {
            Ok(Message::ToReplica(message)) => self.on_member_message(now, from, message),
            Ok(Message::BetweenReplicas(message)) => match self.peer_at(from) {
                Some(peer) => self.on_peer_message(now, peer, message),
                None => self.dropped.unknown_sender += 1,
            },
            Ok(Message::ToMember(_)) => self.dropped.unknown_sender += 1,
            Err(error) => self.dropped.add(error),
        }
    }

    /// The replica at this address, if it is another one.
    fn peer_at(&self, address: SocketAddr) -> Option<ReplicaId> {
        let index = self.config.replicas.iter().position(|replica| *replica == address)?;
        let replica = ReplicaId(index as u8);
        (replica != self.config.replica).then_some(replica)
    }

    /// Does what is due; to be called every 20 to 50 ms.
    pub fn on_tick(&mut self, now: Micros) {
        self.finish_recovery(now);
        self.release_expired(now);
        let timed_out = |since: Micros| now.saturating_sub(since) >= self.config.settings.request_timeout;
        if self.fetching.as_ref().is_some_and(|fetch| timed_out(fetch.since)) {
            self.fetching = None;
        }
        self.request_tables(now);
        // Before the next round clears the replies of the current one.
        self.evaluate();
        if self.is_round_due(now) {
            self.begin_round(now);
        }
    }

    /// Marks what can have no lease any more, for ever.
    fn release_expired(&mut self, now: Micros) {
        for (member, epoch) in self.leases.take_expired(now, &self.config.settings) {
            self.table.set_state(member, epoch, RegistrationState::Released);
            self.needs_evaluation = true;
        }
    }

    fn is_round_due(&self, now: Micros) -> bool {
        let is_over = self.completion.has_majority()
            || now.saturating_sub(self.round_started) >= self.config.settings.round_timeout;
        now >= self.next_round && (is_over || self.completion.round() == 0)
    }

    /// Draws the conclusions of what has come since the last time.
    fn evaluate(&mut self) {
        let me = self.config.replica;
        if !self.needs_evaluation || self.recovery.is_some() {
            return;
        }
        self.needs_evaluation = false;
        let head = self.log.head(me);
        if self.completion.done_through() >= head {
            return;
        }
        let own_report = self.leases.report(me, head);
        let tables = Tables { me, own: &self.table, copies: &self.copies };
        self.completion.evaluate(tables, &own_report);
    }

    /// The datagrams to be sent now.
    pub fn drain(&mut self) -> Vec<(SocketAddr, Vec<u8>)> {
        self.push_published();
        self.outbox.drain()
    }

    /// Publishes a purge of a key here.
    ///
    /// # Errors
    /// It was not taken, and when to come again.
    pub fn publish(&mut self, now: Micros, key: &[u8]) -> Result<PurgeId, PublishRejected> {
        let settings = &self.config.settings;
        let reject = |reason, retry_after| Err(PublishRejected { reason, retry_after });
        if key.len() > MAX_KEY_BYTES {
            return reject(PublishRejectReason::KeyTooLong, Micros::ZERO);
        }
        if self.recovery.is_some() {
            return reject(PublishRejectReason::Recovering, settings.round_timeout);
        }
        let me = self.config.replica;
        let previous = self.log.head(me);
        if previous.sequence.saturating_sub(self.done_sequence()) >= settings.max_pending {
            return reject(PublishRejectReason::TooManyPending, settings.round_timeout);
        }
        if let Err(retry_after) = self.bucket.try_take(now) {
            return reject(PublishRejectReason::RateLimited, retry_after);
        }
        let position = previous.next();
        self.log.append(me, Entry { position, previous, key: key.to_vec() });
        self.needs_evaluation = true;
        let stream = StreamId { replica: me, incarnation: self.config.incarnation };
        Ok(PurgeId { stream, sequence: position.sequence })
    }

    /// Up to which sequence of this incarnation the purges are done; the start entry is from the beginning.
    fn done_sequence(&self) -> u64 {
        let done = self.completion.done_through();
        if done.incarnation == self.config.incarnation {
            done.sequence.max(1)
        } else {
            1
        }
    }

    /// How far a purge has come. Only the replica and the incarnation that published it know.
    pub fn status(&self, id: PurgeId) -> PurgeStatus {
        let me = self.config.replica;
        let is_mine = id.stream == StreamId { replica: me, incarnation: self.config.incarnation };
        if !is_mine || id.sequence < 2 || id.position() > self.log.head(me) {
            return PurgeStatus::Unknown;
        }
        if id.position() <= self.completion.done_through() {
            return PurgeStatus::Done;
        }
        let outstanding = self.completion.outstanding();
        PurgeStatus::Pending {
            members: outstanding.members.clone(),
            members_total: outstanding.members_total,
            replicas: outstanding.replicas.clone(),
        }
    }

    /// What operators see.
    pub fn metrics(&self) -> ReplicaMetrics {
        let head = self.log.head(self.config.replica);
        let is_started = self.recovery.is_none() && head.incarnation == self.config.incarnation;
        ReplicaMetrics {
            recovering: self.recovery.is_some(),
            published: if is_started { head.sequence.saturating_sub(1) } else { 0 },
            done: if is_started { self.done_sequence() - 1 } else { 0 },
            log_entries: self.log.len(),
            log_trimmed: self.log.trimmed(),
            registrations: self.table.registrations().len(),
            assigned_members: self.leases.len(),
            rounds: self.completion.round(),
            missing_replicas: self.completion.outstanding().replicas.len(),
            sent: self.outbox.sent,
            received: self.received,
            dropped: Dropped { outbox_full: self.outbox.dropped, ..self.dropped },
        }
    }

    /// When a round that begins now is to be followed by the next.
    fn round_after(&mut self, now: Micros) -> Micros {
        let interval = self.config.settings.round_interval;
        // A little earlier or later, so that replicas that started together don't ask together for ever.
        now + interval - interval / 20 + Micros(self.rng.random_range(0..=interval.0 / 10))
    }
}
