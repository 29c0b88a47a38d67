//! Messages between replicas: rounds of status requests, entries, and changes of registration tables.

use std::net::SocketAddr;

use super::Replica;
use crate::ids::{Position, ReplicaId};
use crate::limits::MAX_ENTRIES_BYTES;
use crate::log::Run;
use crate::registration::{Registration, RegistrationState, TableChunk};
use crate::version_vector::VersionVector;
use crate::wire::{Message, PeerMessage, StatusReply};
use crate::Micros;

/// Maximum number of datagrams in the answer to one request for entries.
const MAX_FETCH_DATAGRAMS: usize = 32;
/// Maximum number of datagrams of entries pushed at once to a replica that lacks them.
const MAX_PUSH_DATAGRAMS: usize = 4;
/// Maximum number of chunks in the answer to one request for a table.
const MAX_TABLE_CHUNKS: usize = 8;

/// What is known of another replica's table, besides the copy of the table.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct PeerTable {
    /// Incarnation of the replica, as of its last reply.
    incarnation: u64,
    /// Number of the last change of its table, as of its last reply.
    change: u64,
    /// When the outstanding request for changes was sent.
    requested_at: Option<Micros>,
}

/// An outstanding request for entries.
#[derive(Clone, Debug)]
pub(super) struct PendingFetch {
    peer: ReplicaId,
    pub(super) sent_at: Micros,
    /// Positions that the answer should reach.
    target: VersionVector,
}

impl Replica {
    fn address(&self, replica: ReplicaId) -> Option<SocketAddr> {
        self.config.replicas.get(replica.index()).copied()
    }

    fn send_to_peer(&mut self, peer: ReplicaId, message: PeerMessage) {
        let address = self.address(peer);
        self.outbox.send(address, &Message::BetweenReplicas(message));
    }

    fn send_to_peers(&mut self, message: PeerMessage) {
        let own_index = self.config.replica.index();
        let others = self.config.replicas.iter().enumerate().filter(|(index, _)| *index != own_index);
        let others = others.map(|(_, address)| *address);
        self.outbox.send(others, &Message::BetweenReplicas(message));
    }

    /// Begins a round of status requests.
    pub(super) fn begin_round(&mut self, now: Micros) {
        let incarnation = self.config.incarnation;
        let held = self.log.head(self.config.replica);
        let round = self.completion.begin_round(incarnation, held, self.table.change());
        self.round_started = now;
        self.next_round = self.round_after(now);
        self.needs_evaluation = true;
        self.send_to_peers(PeerMessage::StatusRequest { incarnation, round, vector: self.log.vector() });
    }

    pub(super) fn on_peer_message(&mut self, now: Micros, from: ReplicaId, message: PeerMessage) {
        match message {
            PeerMessage::StatusRequest { incarnation, round, vector } => {
                self.on_status_request(now, from, incarnation, round, &vector);
            }
            PeerMessage::StatusReply(reply) => self.on_status_reply(now, from, &reply),
            PeerMessage::Fetch { vector } => self.on_fetch(from, &vector),
            PeerMessage::Push { runs, more } => self.on_push(now, from, runs, more),
            PeerMessage::TableRequest { incarnation, after } => {
                self.on_table_request(from, incarnation, after);
            }
            PeerMessage::TableChunk(chunk) => self.on_table_chunk(now, from, &chunk),
        }
    }

    fn on_status_request(
        &mut self,
        now: Micros,
        from: ReplicaId,
        requester_incarnation: u64,
        round: u64,
        vector: &VersionVector,
    ) {
        if self.recovery.is_none() {
            let reply = StatusReply {
                requester_incarnation,
                round,
                incarnation: self.config.incarnation,
                vector: self.log.vector(),
                change: self.table.change(),
                report: self.leases.report(from, self.log.head(from)),
            };
            self.send_to_peer(from, PeerMessage::StatusReply(reply));
        }
        self.fetch_missing(now, from, vector);
    }

    fn on_status_reply(&mut self, now: Micros, from: ReplicaId, reply: &StatusReply) {
        let peer = self.peers.entry(from).or_default();
        if reply.requester_incarnation != self.config.incarnation || reply.incarnation < peer.incarnation {
            self.dropped.stale += 1;
            return;
        }
        if (reply.incarnation, reply.change) > (peer.incarnation, peer.change) {
            let requested_at = peer.requested_at.filter(|_| reply.incarnation == peer.incarnation);
            *peer = PeerTable { incarnation: reply.incarnation, change: reply.change, requested_at };
        }
        match &mut self.recovery {
            Some(recovery) => recovery.on_reply(from, reply),
            None => self.completion.on_reply(from, reply),
        }
        self.needs_evaluation = true;
        self.request_tables(now);
        self.fetch_missing(now, from, &reply.vector);
        self.push_missing(from, &reply.vector);
    }

    /// Requests entries from a replica if it has some that are missing here and no other request is outstanding.
    fn fetch_missing(&mut self, now: Micros, from: ReplicaId, vector: &VersionVector) {
        let own = self.log.vector();
        if self.pending_fetch.is_none() && !own.covers(vector) {
            self.pending_fetch = Some(PendingFetch { peer: from, sent_at: now, target: vector.clone() });
            self.send_to_peer(from, PeerMessage::Fetch { vector: own });
        }
    }

    fn on_fetch(&mut self, from: ReplicaId, vector: &VersionVector) {
        if self.recovery.is_none() {
            self.send_entries(from, vector.clone(), MAX_FETCH_DATAGRAMS);
        }
    }

    /// Sends a replica the entries that it lacks at these positions, in at most `datagrams` datagrams.
    fn send_entries(&mut self, to: ReplicaId, mut vector: VersionVector, datagrams: usize) {
        for sent in 1..=datagrams {
            let (runs, has_more) = self.log.runs_after(&vector, MAX_ENTRIES_BYTES);
            if runs.is_empty() {
                return;
            }
            for run in &runs {
                vector.raise(run.replica, run.last_position());
            }
            self.send_to_peer(to, PeerMessage::Push { runs, more: has_more && sent == datagrams });
            if !has_more {
                return;
            }
        }
    }

    /// Sends a replica the purges published here that it lacks because their first push was lost.
    fn push_missing(&mut self, to: ReplicaId, vector: &VersionVector) {
        let own_id = self.config.replica;
        let position = vector.get(own_id);
        if self.recovery.is_none() && position >= self.log.base(own_id) && position < self.log.head(own_id) {
            let start = self.vector_with_own_at(position);
            self.send_entries(to, start, MAX_PUSH_DATAGRAMS);
        }
    }

    /// The vector of a reader that has all entries of other replicas, and this replica's entries up to a position.
    fn vector_with_own_at(&self, position: Position) -> VersionVector {
        let own_id = self.config.replica;
        let mut vector = VersionVector::default();
        for (replica, head) in self.log.vector().iter().filter(|(replica, _)| *replica != own_id) {
            vector.raise(replica, head);
        }
        vector.raise(own_id, position);
        vector
    }

    /// Pushes the purges published here since the last push to all other replicas.
    pub(super) fn push_published(&mut self) {
        let own_id = self.config.replica;
        let head = self.log.head(own_id);
        if self.recovery.is_some() || self.last_pushed >= head {
            return;
        }
        let start = self.vector_with_own_at(self.last_pushed);
        self.last_pushed = head;
        let all = (0..self.config.replicas.len()).map(|index| ReplicaId(index as u8));
        for peer in all.filter(|peer| *peer != own_id) {
            self.send_entries(peer, start.clone(), MAX_PUSH_DATAGRAMS);
        }
    }

    fn on_push(&mut self, now: Micros, from: ReplicaId, runs: Vec<Run>, more: bool) {
        for run in runs.into_iter().filter(|run| run.replica.index() < self.config.replicas.len()) {
            self.needs_evaluation |= self.log.append_run(run);
        }
        let vector = self.log.vector();
        match &mut self.pending_fetch {
            Some(fetch) if vector.covers(&fetch.target) => self.pending_fetch = None,
            Some(fetch) if more && fetch.peer == from => {
                fetch.sent_at = now;
                self.send_to_peer(from, PeerMessage::Fetch { vector });
            }
            _ => {}
        }
    }

    /// Requests changes of the tables whose copies are incomplete.
    pub(super) fn request_tables(&mut self, now: Micros) {
        let timeout = self.config.settings.request_timeout;
        let mut requests = Vec::new();
        for (replica, peer) in &mut self.peers {
            let copy = self.copies.entry(*replica).or_default();
            let is_waiting = peer.requested_at.is_some_and(|since| now.saturating_sub(since) < timeout);
            if peer.incarnation > 0 && !is_waiting && !copy.is_complete(peer.incarnation, peer.change) {
                peer.requested_at = Some(now);
                requests.push((*replica, peer.incarnation, copy.through(peer.incarnation)));
            }
        }
        for (replica, incarnation, after) in requests {
            self.send_to_peer(replica, PeerMessage::TableRequest { incarnation, after });
        }
    }

    fn on_table_request(&mut self, from: ReplicaId, incarnation: u64, after: u64) {
        if self.recovery.is_some() {
            return;
        }
        let own = self.config.incarnation;
        let mut after = if incarnation == own { after } else { 0 };
        for sent in 1..=MAX_TABLE_CHUNKS {
            let chunk = self.table.changes_after(own, after);
            after = chunk.through;
            let has_more = after < self.table.change();
            let more = has_more && sent == MAX_TABLE_CHUNKS;
            self.send_to_peer(from, PeerMessage::TableChunk(TableChunk { more, ..chunk }));
            if !has_more {
                return;
            }
        }
    }

    fn on_table_chunk(&mut self, now: Micros, from: ReplicaId, chunk: &TableChunk) {
        if !self.copies.entry(from).or_default().apply(chunk) {
            self.dropped.stale += 1;
            return;
        }
        if self.recovery.is_none() {
            for registration in &chunk.registrations {
                self.adopt_registration(now, registration);
            }
        }
        self.needs_evaluation = true;
        let Some(peer) = self.peers.get_mut(&from) else { return };
        let is_complete = self.copies[&from].is_complete(peer.incarnation, peer.change);
        if is_complete || chunk.more {
            peer.requested_at = None;
        }
        self.request_tables(now);
    }

    /// Adopts a registration from another replica's table: a release if the own table has the registration; otherwise,
    /// a registration that is assigned to this replica and newer than that of the member in the own table.
    fn adopt_registration(&mut self, now: Micros, registration: &Registration) {
        let (member, epoch) = (registration.member, registration.epoch);
        if registration.state == RegistrationState::Released {
            if self.table.set_state(member, epoch, RegistrationState::Released) {
                self.leases.remove(member);
            }
            return;
        }
        if registration.assigned_replica != self.config.replica {
            return;
        }
        if self.table.get(member).is_none_or(|known| known.epoch < epoch) {
            self.table.store(member, epoch, registration.assigned_replica, RegistrationState::Known);
            if self.table.get(member).is_some_and(|known| known.epoch == epoch) {
                self.leases.add_learned(member, epoch, now, &self.config.settings);
            }
        }
    }
}
