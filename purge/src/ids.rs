//! Identifiers: replicas, members, positions in streams, purges and registration epochs.

use serde::{Deserialize, Serialize};

/// A control machine, by its index in the list of all replicas.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ReplicaId(pub u8);

impl ReplicaId {
    /// The index in the list of all replicas.
    pub fn index(self) -> usize {
        usize::from(self.0)
    }
}

/// A balancer or a cache server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MemberId(pub u32);

/// A position in the purges of one replica: ordered by incarnation, then by sequence.
///
/// Sequence 1 of each incarnation is its start entry, which purges nothing; purges follow from 2.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Position {
    /// The incarnation that published.
    pub incarnation: u64,
    /// The place in that incarnation's stream.
    pub sequence: u64,
}

impl Position {
    /// Before every entry.
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

/// The purges of one incarnation of a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StreamId {
    /// Where they are published.
    pub replica: ReplicaId,
    /// In which start of that replica.
    pub incarnation: u64,
}

/// A purge that was published.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PurgeId {
    /// The stream that holds it.
    pub stream: StreamId,
    /// Its place there.
    pub sequence: u64,
}

impl PurgeId {
    /// Its position in the purges of its replica.
    pub fn position(self) -> Position {
        Position { incarnation: self.stream.incarnation, sequence: self.sequence }
    }
}

/// Numbers the registrations of one member; a later one is greater.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Epoch {
    /// The start of the member's process.
    pub incarnation: u64,
    /// Counts registrations within that incarnation.
    pub counter: u64,
}

impl Epoch {
    /// The next epoch of the same incarnation.
    pub fn next(self) -> Epoch {
        Epoch { counter: self.counter.saturating_add(1), ..self }
    }
}
