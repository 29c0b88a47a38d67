//! A replica: publishes purges, holds the log and the registrations, grants leases to the members assigned to it, and
//! tracks which of the purges published here are done.
//!
//! A replica keeps nothing on disk. After a start it is *recovering* until it has received registrations and entries
//! from a majority of the others ([`recovery`]); a recovering replica sends requests but answers none.

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
use peers::{PeerTable, PendingFetch};
use recovery::Recovery;

/// Status of a purge.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PurgeStatus {
    /// Every member that serves, now or later, has applied the purge.
    Done,
    /// The purge is not known to be done.
    Pending {
        /// Some of the outstanding members, as far as they are known.
        members: Vec<MemberId>,
        /// Number of outstanding members.
        members_total: u32,
        /// Replicas that did not answer in the previous round, if no majority answered.
        replicas: Vec<ReplicaId>,
    },
    /// The purge was not published by this incarnation of this replica. It may be published again: purges are
    /// idempotent.
    Unknown,
}

/// Why a purge was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PublishRejectReason {
    /// The key is longer than [`MAX_KEY_BYTES`].
    KeyTooLong,
    /// The replica is recovering.
    Recovering,
    /// The publish rate and burst are exhausted.
    RateLimited,
    /// Too many purges published at this replica are not done.
    TooManyPending,
}

/// A rejected purge.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PublishRejected {
    /// Why the purge was rejected.
    pub reason: PublishRejectReason,
    /// Delay after which the publisher may retry.
    pub retry_after: Micros,
}

/// The state machine of a replica.
#[derive(Debug)]
pub struct Replica {
    config: ReplicaConfig,
    rng: ChaCha8Rng,
    /// Present until the replica has recovered.
    recovery: Option<Recovery>,
    log: Log,
    /// This replica's own registration table.
    table: RegistrationTable,
    /// Copies of the other replicas' registration tables.
    copies: BTreeMap<ReplicaId, TableCopy>,
    peers: BTreeMap<ReplicaId, PeerTable>,
    leases: LeaseTable,
    completion: Completion,
    /// Whether the inputs of the completion have changed since its last evaluation.
    needs_evaluation: bool,
    /// Earliest start of the next round.
    next_round: Micros,
    /// Start of the current round.
    round_started: Micros,
    /// The outstanding request for entries.
    pending_fetch: Option<PendingFetch>,
    /// The last position published here that was pushed to the other replicas.
    last_pushed: Position,
    publish_bucket: TokenBucket,
    outbox: Outbox,
    received: Traffic,
    dropped: Dropped,
}

impl Replica {
    /// Creates a replica that starts now.
    pub fn new(mut config: ReplicaConfig, now: Micros) -> Replica {
        config.replicas.truncate(MAX_REPLICAS);
        let settings = &config.settings;
        let (own_id, count) = (config.replica, config.replicas.len());
        let recovery = (!config.bootstrap).then(|| Recovery::new(count, settings.injected_defects));
        let mut replica = Replica {
            rng: ChaCha8Rng::seed_from_u64(config.seed),
            recovery,
            log: Log::new(settings.log_entries),
            table: RegistrationTable::default(),
            copies: BTreeMap::new(),
            peers: BTreeMap::new(),
            leases: LeaseTable::default(),
            completion: Completion::new(own_id, count, 0, settings.injected_defects),
            needs_evaluation: false,
            next_round: now,
            round_started: now,
            pending_fetch: None,
            last_pushed: Position::ZERO,
            publish_bucket: TokenBucket::new(settings.publish_rate, settings.publish_burst, now),
            outbox: Outbox::default(),
            received: Traffic::default(),
            dropped: Dropped::default(),
            config,
        };
        if replica.config.bootstrap {
            // Nothing from before this start can be replayed: members below this base must void their cache.
            let base = Position { incarnation: replica.config.incarnation, sequence: 0 };
            replica.log.rebase(own_id, base);
            replica.start_stream();
        }
        replica
    }

    /// Appends the start entry of this incarnation: from now on the replica accepts purges and answers requests.
    fn start_stream(&mut self) {
        let own_id = self.config.replica;
        let position = Position::start_of(self.config.incarnation);
        let previous = self.log.head(own_id);
        self.log.append(own_id, Entry { position, previous, key: Vec::new() });
        self.last_pushed = previous;
    }

    /// Handles a received datagram.
    pub fn on_datagram(&mut self, now: Micros, from: SocketAddr, bytes: &[u8]) {
        self.received.record(bytes.len());
        match decode(bytes) {
            Ok(Message::ToReplica(message)) => self.on_member_message(now, from, message),
            Ok(Message::BetweenReplicas(message)) => match self.peer_at(from) {
                Some(peer) => self.on_peer_message(now, peer, message),
                None => self.dropped.unknown_sender += 1,
            },
            Ok(Message::ToMember(_)) => self.dropped.unknown_sender += 1,
            Err(error) => self.dropped.record(error),
        }
    }

    /// The other replica that has this address, if any.
    fn peer_at(&self, address: SocketAddr) -> Option<ReplicaId> {
        let index = self.config.replicas.iter().position(|replica| *replica == address)?;
        let replica = ReplicaId(index as u8);
        (replica != self.config.replica).then_some(replica)
    }

    /// Does the work that is due; to be called every 20 to 50 ms.
    pub fn on_tick(&mut self, now: Micros) {
        self.finish_recovery(now);
        self.release_expired(now);
        let is_timed_out = |since: Micros| now.saturating_sub(since) >= self.config.settings.request_timeout;
        if self.pending_fetch.as_ref().is_some_and(|fetch| is_timed_out(fetch.sent_at)) {
            self.pending_fetch = None;
        }
        self.request_tables(now);
        // Must precede `begin_round`, which clears the replies of the current round.
        self.evaluate();
        if self.is_round_due(now) {
            self.begin_round(now);
        }
    }

    /// Marks registrations as released once none of their leases can be valid.
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

    /// Evaluates the completion if its inputs have changed since the last evaluation.
    fn evaluate(&mut self) {
        let own_id = self.config.replica;
        if !self.needs_evaluation || self.recovery.is_some() {
            return;
        }
        self.needs_evaluation = false;
        let head = self.log.head(own_id);
        if self.completion.done_through() >= head {
            return;
        }
        let own_report = self.leases.report(own_id, head);
        let tables = Tables { own_id, own: &self.table, copies: &self.copies };
        self.completion.evaluate(tables, &own_report);
    }

    /// Drains the datagrams to be sent now.
    pub fn drain(&mut self) -> Vec<(SocketAddr, Vec<u8>)> {
        self.push_published();
        self.outbox.drain()
    }

    /// Publishes a purge of a key here.
    ///
    /// # Errors
    /// If the purge was rejected: the reason, and when to retry.
    pub fn publish(&mut self, now: Micros, key: &[u8]) -> Result<PurgeId, PublishRejected> {
        let settings = &self.config.settings;
        let reject = |reason, retry_after| Err(PublishRejected { reason, retry_after });
        if key.len() > MAX_KEY_BYTES {
            return reject(PublishRejectReason::KeyTooLong, Micros::ZERO);
        }
        if self.recovery.is_some() {
            return reject(PublishRejectReason::Recovering, settings.round_timeout);
        }
        let own_id = self.config.replica;
        let previous = self.log.head(own_id);
        if previous.sequence.saturating_sub(self.done_sequence()) >= settings.max_pending {
            return reject(PublishRejectReason::TooManyPending, settings.round_timeout);
        }
        if let Err(retry_after) = self.publish_bucket.try_take(now) {
            return reject(PublishRejectReason::RateLimited, retry_after);
        }
        let position = previous.next();
        self.log.append(own_id, Entry { position, previous, key: key.to_vec() });
        self.needs_evaluation = true;
        let stream = StreamId { replica: own_id, incarnation: self.config.incarnation };
        Ok(PurgeId { stream, sequence: position.sequence })
    }

    /// The sequence of this incarnation up to which purges are done; the start entry always counts as done.
    fn done_sequence(&self) -> u64 {
        let done = self.completion.done_through();
        if done.incarnation == self.config.incarnation {
            done.sequence.max(1)
        } else {
            1
        }
    }

    /// The status of a purge. Only the replica incarnation that published a purge knows its status.
    pub fn status(&self, id: PurgeId) -> PurgeStatus {
        let own_id = self.config.replica;
        let is_own_stream = id.stream == StreamId { replica: own_id, incarnation: self.config.incarnation };
        if !is_own_stream || id.sequence < 2 || id.position() > self.log.head(own_id) {
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

    /// The replica's metrics.
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

    /// The time of the next round if a round begins now.
    fn round_after(&mut self, now: Micros) -> Micros {
        let interval = self.config.settings.round_interval;
        // Jitter of 5 % keeps replicas that started together from sending their requests in step.
        now + interval - interval / 20 + Micros(self.rng.random_range(0..=interval.0 / 10))
    }
}
