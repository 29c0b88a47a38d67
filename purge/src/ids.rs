//! Identifiers: replicas, members, positions in streams, purges and registration epochs.

use serde::{Deserialize, Serialize};

/// Identifies a replica by its index in the list of all replicas.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ReplicaId(pub u8);

impl ReplicaId {
    /// The index in the list of all replicas.
    pub fn index(self) -> usize {
        usize::from(self.0)
    }
}

/// Identifies a balancer or a cache server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MemberId(pub u32);

/// A position in the stream of one replica's purges, ordered by incarnation, then by sequence.
///
/// Sequence 1 of each incarnation is its start entry, which purges nothing; purges are numbered from 2.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Position {
    /// Incarnation of the publishing replica.
    pub incarnation: u64,
    /// Sequence number within that incarnation.
    pub sequence: u64,
}

impl Position {
    /// The position before every entry.
    pub const ZERO: Position = Position { incarnation: 0, sequence: 0 };

    /// The position of the start entry of an incarnation.
    pub fn start_of(incarnation: u64) -> Position {
        Position { incarnation, sequence: 1 }
    }

    /// The next position of the same incarnation.
    pub fn next(self) -> Position {
        Position { sequence: self.sequence.saturating_add(1), ..self }
    }

    /// Whether this is the start entry of its incarnation.
    pub fn is_start(self) -> bool {
        self.sequence == 1
    }
}

/// Identifies the part of a replica's stream of purges that one of its incarnations published.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StreamId {
    /// The publishing replica.
    pub replica: ReplicaId,
    /// Incarnation of that replica.
    pub incarnation: u64,
}

/// Identifies a published purge.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PurgeId {
    /// The part of a stream that contains the purge.
    pub stream: StreamId,
    /// Sequence number within the incarnation.
    pub sequence: u64,
}

impl PurgeId {
    /// The position in the publishing replica's stream.
    pub fn position(self) -> Position {
        Position { incarnation: self.stream.incarnation, sequence: self.sequence }
    }
}

/// Numbers the registrations of one member; each registration has a greater epoch than the one before.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Epoch {
    /// Incarnation of the member.
    pub incarnation: u64,
    /// Number of the registration within that incarnation.
    pub counter: u64,
}

impl Epoch {
    /// The next epoch of the same incarnation.
    pub fn next(self) -> Epoch {
        Epoch { counter: self.counter.saturating_add(1), ..self }
    }
}
