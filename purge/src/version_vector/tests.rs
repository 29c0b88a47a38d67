//! Tests of version vectors.

use super::*;

fn at(incarnation: u64, sequence: u64) -> Position {
    Position { incarnation, sequence }
}

#[test]
fn a_position_is_never_lowered_and_an_incarnation_outranks_sequences() {
    let mut vector = VersionVector::default();
    assert!(vector.is_empty());
    vector.raise(ReplicaId(1), at(1, 100));
    vector.raise(ReplicaId(1), at(1, 5));
    assert_eq!(vector.get(ReplicaId(1)), at(1, 100));
    vector.raise(ReplicaId(1), at(2, 1));
    assert_eq!(vector.get(ReplicaId(1)), at(2, 1));
    assert_eq!(vector.get(ReplicaId(2)), Position::ZERO);
}

#[test]
fn covering_is_by_every_replica() {
    let mut one = VersionVector::default();
    let mut two = VersionVector::default();
    one.raise(ReplicaId(0), at(1, 4));
    two.raise(ReplicaId(1), at(1, 1));
    assert!(!one.covers(&two) && !two.covers(&one));
    two.merge(&one);
    assert!(two.covers(&one) && !one.covers(&two));
    assert_eq!(two.len(), 2);
    assert!(one.covers(&VersionVector::default()));
}
