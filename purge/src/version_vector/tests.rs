//! Tests of version vectors.

use super::*;

fn at(incarnation: u64, sequence: u64) -> Position {
    Position { incarnation, sequence }
}

#[test]
fn positions_are_never_lowered_and_order_by_incarnation_before_sequence() {
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
fn a_vector_covers_another_only_if_it_does_for_every_replica() {
    let mut first = VersionVector::default();
    let mut second = VersionVector::default();
    first.raise(ReplicaId(0), at(1, 4));
    second.raise(ReplicaId(1), at(1, 1));
    assert!(!first.covers(&second) && !second.covers(&first));
    second.merge(&first);
    assert!(second.covers(&first) && !first.covers(&second));
    assert_eq!(second.len(), 2);
    assert!(first.covers(&VersionVector::default()));
}
