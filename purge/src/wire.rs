//! Datagrams: a head of four bytes (magic and version), then one message as `postcard` encodes it.
//!
//! A datagram that is too long, truncated, of another version or malformed is an error of [`decode`], and nothing else.

use serde::{Deserialize, Serialize};

use crate::config::CatchUp;
use crate::ids::{Epoch, MemberId, Position, ReplicaId};
use crate::limits::{MAX_DATAGRAM_BYTES, MAX_KEY_BYTES, MAX_NAMED_MEMBERS, MAX_REPLICAS};
use crate::log::Run;
use crate::registration::TableChunk;
use crate::version_vector::VersionVector;

/// The first bytes of every datagram: whose, and of which version.
const MAGIC_AND_VERSION: [u8; 4] = [b'J', b'P', b'C', 1];

/// A datagram's content, by who sends it to whom.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// A member to a replica.
    ToReplica(MemberMessage),
    /// A replica to a member.
    ToMember(ReplicaMessage),
    /// A replica to another.
    BetweenReplicas(PeerMessage),
}

/// A member to a replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberMessage {
    /// Asks for entries, and for a lease if it names an epoch.
    Pull {
        /// Who asks.
        member: MemberId,
        /// Its registration; none before it registers.
        epoch: Option<Epoch>,
        /// Names this question in its answer.
        number: u32,
        /// How it catches up.
        catch_up: CatchUp,
        /// What it has applied.
        applied: VersionVector,
    },
    /// First phase of a registration, to all replicas.
    Register {
        /// Who registers.
        member: MemberId,
        /// The new epoch.
        epoch: Epoch,
        /// Which replica grants it leases from now on.
        assigned_replica: ReplicaId,
    },
    /// Second phase, after a majority has answered the first.
    Confirm {
        /// Who registers.
        member: MemberId,
        /// The epoch.
        epoch: Epoch,
    },
    /// A planned end: the member doesn't serve any more.
    Deregister {
        /// Who ends.
        member: MemberId,
        /// The last epoch of this incarnation.
        epoch: Epoch,
    },
    /// Asks whether a replica is there.
    Probe {
        /// Names this question in its answer.
        number: u32,
    },
}

/// A replica to a member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReplicaMessage {
    /// Answers a pull.
    Entries {
        /// The pull's number.
        number: u32,
        /// The epoch for which a lease is granted.
        epoch: Option<Epoch>,
        /// Entries after what the member has applied.
        runs: Vec<Run>,
        /// There are more.
        more: bool,
    },
    /// Answers a pull of a member that can't be given what it lacks: it voids all and has then applied the vector.
    Void {
        /// The pull's number.
        number: u32,
        /// The epoch for which a lease is granted.
        epoch: Option<Epoch>,
        /// What voiding amounts to.
        vector: VersionVector,
    },
    /// No lease is granted for this epoch, now or later.
    ReRegister {
        /// The epoch.
        epoch: Epoch,
    },
    /// Answers the first phase of a registration.
    Registered {
        /// The epoch.
        epoch: Epoch,
        /// Of the replica.
        incarnation: u64,
    },
    /// Answers the second phase of a registration.
    Confirmed {
        /// The epoch.
        epoch: Epoch,
        /// Of the replica.
        incarnation: u64,
        /// What the replica knows of.
        vector: VersionVector,
    },
    /// A greater epoch of this member is known.
    Superseded {
        /// The epoch asked for.
        epoch: Epoch,
        /// The one that is known.
        known: Epoch,
    },
    /// Answers a probe.
    ProbeReply {
        /// The probe's number.
        number: u32,
    },
}

/// A replica to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Begins a round.
    StatusRequest {
        /// Of the one that asks.
        incarnation: u64,
        /// The round.
        round: u64,
        /// What it knows of.
        vector: VersionVector,
    },
    /// Answers it. Never sent by a replica that is recovering.
    StatusReply(StatusReply),
    /// Asks for entries after this vector.
    Fetch {
        /// What the asking replica knows of.
        vector: VersionVector,
    },
    /// Entries.
    Push {
        /// The entries.
        runs: Vec<Run>,
        /// This is the last datagram that answers a fetch, and there is more.
        more: bool,
    },
    /// Asks for the changes of a registration table.
    TableRequest {
        /// Of the replica asked.
        incarnation: u64,
        /// The last change that the asking one has.
        after: u64,
    },
    /// Some changes of a registration table, in the order of their numbers.
    TableChunk(TableChunk),
}

/// What a replica that isn't recovering says of itself in a round.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusReply {
    /// The incarnation that asked.
    pub asked_by: u64,
    /// The round.
    pub round: u64,
    /// Of the one that replies.
    pub incarnation: u64,
    /// What it knows of.
    pub vector: VersionVector,
    /// The last change of its registration table.
    pub change: u64,
    /// What its members have applied of the purges of the one that asks.
    pub report: MemberReport,
}

/// What the members of one assigned replica have applied of the purges of one replica.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberReport {
    /// The least position over all active registrations of this assigned replica; none if there are none.
    pub floor: Option<Position>,
    /// Some of those that are below what the assigned replica knows of.
    pub laggards: Vec<MemberId>,
    /// How many are.
    pub laggards_total: u32,
}

/// Why a datagram was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DecodeError {
    /// Longer than any that is sent.
    TooLong,
    /// Another program's, or another version's.
    Version,
    /// Truncated, or no message.
    Malformed,
}

/// Reads a datagram.
///
/// # Errors
/// Why it is dropped.
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

/// Writes a datagram; none if it would be too long, which no message of this crate is.
pub fn encode(message: &Message) -> Option<Vec<u8>> {
    let bytes = postcard::to_extend(message, MAGIC_AND_VERSION.to_vec()).ok()?;
    (bytes.len() <= MAX_DATAGRAM_BYTES).then_some(bytes)
}

fn is_within_bounds(message: &Message) -> bool {
    match message {
        Message::ToReplica(MemberMessage::Pull { applied, .. }) => is_vector_bounded(applied),
        Message::ToMember(ReplicaMessage::Void { vector, .. } | ReplicaMessage::Confirmed { vector, .. }) => {
            is_vector_bounded(vector)
        }
        Message::ToMember(ReplicaMessage::Entries { runs, .. }) => are_runs_bounded(runs),
        Message::BetweenReplicas(message) => match message {
            PeerMessage::StatusRequest { vector, .. } | PeerMessage::Fetch { vector } => {
                is_vector_bounded(vector)
            }
            PeerMessage::StatusReply(reply) => {
                is_vector_bounded(&reply.vector) && reply.report.laggards.len() <= MAX_NAMED_MEMBERS
            }
            PeerMessage::Push { runs, .. } => are_runs_bounded(runs),
            PeerMessage::TableRequest { .. } | PeerMessage::TableChunk(_) => true,
        },
        _ => true,
    }
}

fn is_vector_bounded(vector: &VersionVector) -> bool {
    vector.iter().all(|(replica, _)| replica.index() < MAX_REPLICAS)
}

fn are_runs_bounded(runs: &[Run]) -> bool {
    runs.iter().all(|run| {
        run.replica.index() < MAX_REPLICAS && run.keys.iter().all(|key| key.len() <= MAX_KEY_BYTES)
    })
}

#[cfg(test)]
mod tests;
