//! Datagrams: a header of four bytes (magic and version), followed by one message in `postcard` encoding.
//!
//! [`decode`] returns an error for a datagram that is too long, truncated, of another version or malformed, and never
//! panics.

use serde::{Deserialize, Serialize};

use crate::config::CatchUp;
use crate::ids::{Epoch, MemberId, Position, ReplicaId};
use crate::limits::{MAX_DATAGRAM_BYTES, MAX_KEY_BYTES, MAX_NAMED_MEMBERS, MAX_REPLICAS};
use crate::log::Run;
use crate::registration::TableChunk;
use crate::version_vector::VersionVector;

/// Header of every datagram: the protocol's magic and its version.
const MAGIC_AND_VERSION: [u8; 4] = [b'J', b'P', b'C', 1];

/// The message in a datagram, by sender and recipient.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// From a member to a replica.
    ToReplica(MemberMessage),
    /// From a replica to a member.
    ToMember(ReplicaMessage),
    /// From a replica to another.
    BetweenReplicas(PeerMessage),
}

/// A message from a member to a replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberMessage {
    /// Requests entries, and a lease if an epoch is given.
    Pull {
        /// The sender.
        member: MemberId,
        /// Epoch of the sender's registration; none before it registers.
        epoch: Option<Epoch>,
        /// Number of the pull, repeated in the answer.
        number: u32,
        /// How the member catches up when it is far behind.
        catch_up: CatchUp,
        /// Positions that the member has applied.
        applied: VersionVector,
    },
    /// First phase of a registration, sent to all replicas.
    Register {
        /// The sender.
        member: MemberId,
        /// Epoch of the new registration.
        epoch: Epoch,
        /// The replica that is to grant the member its leases.
        assigned_replica: ReplicaId,
    },
    /// Second phase of a registration, sent when a majority has answered the first.
    Confirm {
        /// The sender.
        member: MemberId,
        /// Epoch of the registration.
        epoch: Epoch,
    },
    /// Ends a registration in a graceful shutdown: the member has stopped serving.
    Deregister {
        /// The sender.
        member: MemberId,
        /// The last epoch of the member's incarnation.
        epoch: Epoch,
    },
    /// Asks whether a replica is reachable.
    Probe {
        /// Number of the probe, repeated in the reply.
        number: u32,
    },
}

/// A message from a replica to a member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReplicaMessage {
    /// Answers a pull with entries.
    Entries {
        /// Number of the pull.
        number: u32,
        /// Epoch for which a lease is granted.
        epoch: Option<Epoch>,
        /// Entries after the positions that the member has applied.
        runs: Vec<Run>,
        /// Whether there are more entries.
        more: bool,
    },
    /// Answers a pull of a member that is too far behind: the member must void its cache and has then applied `vector`.
    Void {
        /// Number of the pull.
        number: u32,
        /// Epoch for which a lease is granted.
        epoch: Option<Epoch>,
        /// Positions that count as applied once the cache is voided.
        vector: VersionVector,
    },
    /// Rejects an epoch: no lease is granted for it, now or later.
    ReRegister {
        /// The rejected epoch.
        epoch: Epoch,
    },
    /// Answers the first phase of a registration.
    Registered {
        /// Epoch of the registration.
        epoch: Epoch,
        /// Incarnation of the replica.
        incarnation: u64,
    },
    /// Answers the second phase of a registration.
    Confirmed {
        /// Epoch of the registration.
        epoch: Epoch,
        /// Incarnation of the replica.
        incarnation: u64,
        /// Position of the last entry of each stream in the replica's log.
        vector: VersionVector,
    },
    /// Rejects a registration because the replica knows a greater epoch of the member.
    Superseded {
        /// The rejected epoch.
        epoch: Epoch,
        /// The greater epoch that the replica knows.
        known: Epoch,
    },
    /// Answers a probe.
    ProbeReply {
        /// Number of the probe.
        number: u32,
    },
}

/// A message from a replica to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Requests the recipient's status. The sender sends it to all other replicas in each round.
    StatusRequest {
        /// Incarnation of the sender.
        incarnation: u64,
        /// Number of the round.
        round: u64,
        /// Position of the last entry of each stream in the sender's log.
        vector: VersionVector,
    },
    /// Answers a status request. Never sent by a recovering replica.
    StatusReply(StatusReply),
    /// Requests the entries that the sender lacks: those after its positions in `vector`.
    Fetch {
        /// Position of the last entry of each stream in the sender's log.
        vector: VersionVector,
    },
    /// Sends entries, in answer to a fetch or without a request.
    Push {
        /// The entries.
        runs: Vec<Run>,
        /// Whether there are more entries that the sender doesn't send now, because it has reached its limit of
        /// datagrams. Set only in the last datagram.
        more: bool,
    },
    /// Requests changes of the recipient's registration table.
    TableRequest {
        /// Incarnation of the recipient, as far as the sender knows.
        incarnation: u64,
        /// Number of the last change of this incarnation in the sender's copy; 0 if there is none.
        after: u64,
    },
    /// Some changes of a registration table, in the order of their numbers.
    TableChunk(TableChunk),
}

/// The reply of a replica to a status request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusReply {
    /// Incarnation of the replica that sent the request.
    #[serde(rename = "asked_by")]
    pub requester_incarnation: u64,
    /// Number of the round.
    pub round: u64,
    /// Incarnation of the replying replica.
    pub incarnation: u64,
    /// Position of the last entry of each stream in the replying replica's log.
    pub vector: VersionVector,
    /// Number of the last change of the replying replica's registration table.
    pub change: u64,
    /// How far the members assigned to the replying replica have applied the requesting replica's purges.
    pub report: MemberReport,
}

/// How far the members assigned to one replica have applied the purges that another replica published.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberReport {
    /// The least position applied by any member with an active registration; none if there are no such members.
    pub floor: Option<Position>,
    /// Up to [`MAX_NAMED_MEMBERS`] of the members with an active registration that have not applied all purges of the
    /// publishing replica that the assigned replica's log has.
    pub laggards: Vec<MemberId>,
    /// Number of all members that have not applied them, including those that `laggards` omits.
    pub laggards_total: u32,
}

/// Why a datagram could not be decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DecodeError {
    /// The datagram is longer than [`MAX_DATAGRAM_BYTES`].
    TooLong,
    /// The datagram is of another program or protocol version.
    Version,
    /// The datagram is truncated, has trailing bytes, or contains no valid message.
    Malformed,
}

/// Decodes a datagram.
///
/// # Errors
/// If the datagram is too long, of another version, or malformed.
pub fn decode(bytes: &[u8]) -> Result<Message, DecodeError> {
    if bytes.len() > MAX_DATAGRAM_BYTES {
        return Err(DecodeError::TooLong);
    }
    let body = bytes.strip_prefix(&MAGIC_AND_VERSION).ok_or(DecodeError::Version)?;
    let (message, rest) = postcard::take_from_bytes(body).map_err(|_| DecodeError::Malformed)?;
    if rest.is_empty() && is_within_bounds(&message) {
        Ok(message)
    } else {
        Err(DecodeError::Malformed)
    }
}

/// Encodes a message as a datagram. Returns `None` if it would be too long; messages created by this crate always fit.
pub fn encode(message: &Message) -> Option<Vec<u8>> {
    let bytes = postcard::to_extend(message, MAGIC_AND_VERSION.to_vec()).ok()?;
    (bytes.len() <= MAX_DATAGRAM_BYTES).then_some(bytes)
}

fn is_within_bounds(message: &Message) -> bool {
    match message {
        Message::ToReplica(MemberMessage::Pull { applied, .. }) => has_valid_replicas(applied),
        Message::ToMember(ReplicaMessage::Void { vector, .. } | ReplicaMessage::Confirmed { vector, .. }) => {
            has_valid_replicas(vector)
        }
        Message::ToMember(ReplicaMessage::Entries { runs, .. }) => are_runs_valid(runs),
        Message::BetweenReplicas(message) => match message {
            PeerMessage::StatusRequest { vector, .. } | PeerMessage::Fetch { vector } => {
                has_valid_replicas(vector)
            }
            PeerMessage::StatusReply(reply) => {
                has_valid_replicas(&reply.vector) && reply.report.laggards.len() <= MAX_NAMED_MEMBERS
            }
            PeerMessage::Push { runs, .. } => are_runs_valid(runs),
            PeerMessage::TableRequest { .. } | PeerMessage::TableChunk(_) => true,
        },
        _ => true,
    }
}

fn has_valid_replicas(vector: &VersionVector) -> bool {
    vector.iter().all(|(replica, _)| replica.index() < MAX_REPLICAS)
}

fn are_runs_valid(runs: &[Run]) -> bool {
    runs.iter().all(|run| {
        run.replica.index() < MAX_REPLICAS && run.keys.iter().all(|key| key.len() <= MAX_KEY_BYTES)
    })
}

#[cfg(test)]
mod tests;
