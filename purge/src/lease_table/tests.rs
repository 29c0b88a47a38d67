//! Tests of leases.

use super::*;
use crate::config::SECOND;

const MEMBER: MemberId = MemberId(1);

fn epoch(counter: u64) -> Epoch {
    Epoch { incarnation: 1, counter }
}

#[test]
fn a_lease_expires_only_after_its_time_and_the_drift() {
    let settings = ReplicaSettings::default();
    let mut assigned_replica = LeaseTable::default();
    assigned_replica.register(MEMBER, epoch(1), 0);
    let granted = SECOND;
    assert!(assigned_replica.grant(MEMBER, epoch(1), &VersionVector::default(), granted));
    let drift = settings.lease / 1_000;
    assert_eq!(assigned_replica.take_expired(granted + settings.lease + drift, &settings), []);
    let expired = assigned_replica.take_expired(granted + settings.lease_with_drift() + 1, &settings);
    assert_eq!(expired, [(MEMBER, epoch(1))]);
    assert!(!assigned_replica.grant(MEMBER, epoch(1), &VersionVector::default(), granted + 3 * SECOND));
    assert!(assigned_replica.is_empty());
}

#[test]
fn a_late_pull_never_shortens_a_lease() {
    let settings = ReplicaSettings::default();
    let mut assigned_replica = LeaseTable::default();
    assigned_replica.register(MEMBER, epoch(1), 10 * SECOND);
    assert!(assigned_replica.grant(MEMBER, epoch(1), &VersionVector::default(), SECOND));
    assert_eq!(assigned_replica.take_expired(11 * SECOND, &settings), []);
}

#[test]
fn what_was_learned_from_others_gets_no_lease_and_expires_a_lease_after_the_start() {
    let settings = ReplicaSettings::default();
    let mut assigned_replica = LeaseTable::default();
    let started = 5 * SECOND;
    assigned_replica.learn(MEMBER, epoch(4), started, &settings);
    assert!(!assigned_replica.grant(MEMBER, epoch(4), &VersionVector::default(), started + 1));
    assert_eq!(assigned_replica.report(ReplicaId(0), Position::ZERO).floor, None, "it is not reported on");
    assert_eq!(assigned_replica.take_expired(started + settings.lease, &settings), []);
    assert_eq!(assigned_replica.take_expired(started + settings.lease_with_drift() + 1, &settings).len(), 1);
}

#[test]
fn a_report_has_the_least_position_and_names_some_of_the_laggards() {
    let origin = ReplicaId(4);
    let mut assigned_replica = LeaseTable::default();
    for member in 0..100 {
        assigned_replica.register(MemberId(member), epoch(1), 0);
        let mut applied = VersionVector::default();
        applied.raise(origin, Position { incarnation: 1, sequence: 10 + u64::from(member) });
        assert!(assigned_replica.grant(MemberId(member), epoch(1), &applied, 0));
    }
    let report = assigned_replica.report(origin, Position { incarnation: 1, sequence: 50 });
    assert_eq!(report.floor, Some(Position { incarnation: 1, sequence: 10 }));
    assert_eq!((report.laggards_total, report.laggards.len()), (40, MAX_NAMED_MEMBERS));
    assert_eq!(assigned_replica.len(), 100);
}
