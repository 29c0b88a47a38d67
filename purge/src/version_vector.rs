//! Version vectors: how far each replica's purges have been applied, without gaps.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::ids::{Position, ReplicaId};

/// The greatest position applied, by replica; a replica that is not in the vector is at [`Position::ZERO`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionVector(BTreeMap<ReplicaId, Position>);

impl VersionVector {
    /// The position applied of this replica's purges.
    pub fn get(&self, replica: ReplicaId) -> Position {
        self.0.get(&replica).copied().unwrap_or(Position::ZERO)
    }

    /// Raises the position of one replica; never lowers it.
    pub fn raise(&mut self, replica: ReplicaId, position: Position) {
        if position > self.get(replica) {
            self.0.insert(replica, position);
        }
    }

    /// Raises every position to that of the other vector, where that is greater.
    pub fn merge(&mut self, other: &VersionVector) {
        for (replica, position) in other.iter() {
            self.raise(replica, position);
        }
    }

    /// Whether no position of the other vector is beyond that of this one.
    pub fn covers(&self, other: &VersionVector) -> bool {
        other.iter().all(|(replica, position)| self.get(replica) >= position)
    }

    /// Replicas and positions, in order.
    pub fn iter(&self) -> impl Iterator<Item = (ReplicaId, Position)> + '_ {
        self.0.iter().map(|(replica, position)| (*replica, *position))
    }

    /// The number of replicas in the vector.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether nothing has been applied.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

#[cfg(test)]
mod tests;
