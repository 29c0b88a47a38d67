//! Tests of leases.

use super::*;

const MEMBER: MemberId = MemberId(1);

fn epoch(counter: u64) -> Epoch {
    Epoch { incarnation: 1, counter }
}

#[test]
fn a_lease_expires_only_after_its_duration_and_the_clock_drift() {
    let settings = ReplicaSettings::default();
    let mut leases = LeaseTable::default();
    leases.register(MEMBER, epoch(1), Micros::ZERO);
    let granted = Micros::SECOND;
    assert!(leases.grant(MEMBER, epoch(1), &VersionVector::default(), granted));
    let drift = settings.lease / 1_000;
    assert_eq!(leases.take_expired(granted + settings.lease + drift, &settings), []);
    let expired = leases.take_expired(granted + settings.lease_with_drift() + Micros(1), &settings);
    assert_eq!(expired, [(MEMBER, epoch(1))]);
    assert!(!leases.grant(MEMBER, epoch(1), &VersionVector::default(), granted + Micros::from_secs(3)));
    assert!(leases.is_empty());
}

#[test]
fn a_pull_with_an_earlier_time_never_shortens_a_lease() {
    let settings = ReplicaSettings::default();
    let mut leases = LeaseTable::default();
    leases.register(MEMBER, epoch(1), Micros::from_secs(10));
    assert!(leases.grant(MEMBER, epoch(1), &VersionVector::default(), Micros::SECOND));
    assert_eq!(leases.take_expired(Micros::from_secs(11), &settings), []);
}

#[test]
fn a_learned_registration_gets_no_lease_and_expires_one_lease_duration_later() {
    let settings = ReplicaSettings::default();
    let mut leases = LeaseTable::default();
    let started = Micros::from_secs(5);
    leases.add_learned(MEMBER, epoch(4), started, &settings);
    assert!(!leases.grant(MEMBER, epoch(4), &VersionVector::default(), started + Micros(1)));
    assert_eq!(
        leases.report(ReplicaId(0), Position::ZERO).floor,
        None,
        "the report includes a learned registration"
    );
    assert_eq!(leases.take_expired(started + settings.lease, &settings), []);
    assert_eq!(leases.take_expired(started + settings.lease_with_drift() + Micros(1), &settings).len(), 1);
}

#[test]
fn a_report_has_the_least_applied_position_and_names_a_bounded_number_of_laggards() {
    let publisher = ReplicaId(4);
    let mut leases = LeaseTable::default();
    for member in 0..100 {
        leases.register(MemberId(member), epoch(1), Micros::ZERO);
        let mut applied = VersionVector::default();
        applied.raise(publisher, Position { incarnation: 1, sequence: 10 + u64::from(member) });
        assert!(leases.grant(MemberId(member), epoch(1), &applied, Micros::ZERO));
    }
    let report = leases.report(publisher, Position { incarnation: 1, sequence: 50 });
    assert_eq!(report.floor, Some(Position { incarnation: 1, sequence: 10 }));
    assert_eq!((report.laggards_total, report.laggards.len()), (40, MAX_NAMED_MEMBERS));
    assert_eq!(leases.len(), 100);
}
