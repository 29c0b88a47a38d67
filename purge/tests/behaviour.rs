//! Scripted scenarios that operators rely on: partitions, changes of assigned replica, shutdowns and crashes, publisher
//! floods, and drop counters.

mod support;

use juniperladder_purge::{MemberId, Micros, PublishRejectReason, PurgeStatus, ReplicaId};
use support::schedule::{MILLISECOND, SECOND};
use support::scripted::ControlPlane;

const KEY: &[u8] = b"the key";

/// Three replicas, each assigned to one serving member: member `3 + n` to replica `n`.
fn three_replica_control_plane() -> ControlPlane {
    let mut control_plane = ControlPlane::new(3, 3, None);
    for replica in 0..3 {
        control_plane.start_member(3 + replica, &[replica]);
    }
    control_plane.run(1_500);
    assert!((3..6).all(|member| control_plane.may_serve(member)));
    control_plane
}

#[test]
fn a_partitioned_region_keeps_serving_and_is_reported_as_outstanding() {
    let mut control_plane = three_replica_control_plane();
    control_plane.cut(&[2, 5], &[0, 1, 3, 4]);
    control_plane.run(5_000);
    let outside = control_plane.publish(0, KEY);
    let inside = control_plane.publish(2, b"inside");
    control_plane.run(5_000);
    assert!(
        control_plane.may_serve(5)
            && control_plane.has_purged(5, b"inside")
            && !control_plane.has_purged(5, KEY)
    );
    assert!(control_plane.has_purged(3, KEY) && control_plane.has_purged(4, KEY));
    let PurgeStatus::Pending { members, members_total, replicas } = control_plane.status(0, outside) else {
        panic!("not Pending although a member lacks the purge")
    };
    assert_eq!((members, members_total, replicas), (vec![MemberId(5)], 1, vec![]));
    let PurgeStatus::Pending { replicas, .. } = control_plane.status(2, inside) else {
        panic!("not Pending although no majority answers")
    };
    assert_eq!(replicas, [ReplicaId(0), ReplicaId(1)]);
    control_plane.heal(&[2, 5], &[0, 1, 3, 4]);
    control_plane.run(5_000);
    assert_eq!(control_plane.status(0, outside), PurgeStatus::Done);
    assert_eq!(control_plane.status(2, inside), PurgeStatus::Done);
    assert!((3..6)
        .all(|member| control_plane.has_purged(member, KEY) && control_plane.has_purged(member, b"inside")));
}

#[test]
fn a_member_changes_its_assigned_replica_without_a_lapse_and_returns() {
    let mut control_plane = three_replica_control_plane();
    control_plane.kill(2);
    for _ in 0..40 {
        control_plane.run(100);
        assert!(control_plane.may_serve(5), "the member's lease lapsed during the change of replica");
    }
    assert_ne!(control_plane.member(5).metrics().assigned_replica, 2);
    control_plane.restart_replica(2);
    control_plane.run(60_000);
    assert!(control_plane.has_recovered(2) && control_plane.may_serve(5));
    assert_eq!(
        (control_plane.member(5).metrics().assigned_replica, control_plane.member(5).metrics().lapses),
        (2, 0)
    );
}

#[test]
fn a_leaving_member_delays_no_purge_and_a_crashed_one_only_until_its_lease_expires() {
    let mut control_plane = three_replica_control_plane();
    control_plane.member(5).leave();
    control_plane.run(50);
    assert!(!control_plane.may_serve(5));
    control_plane.kill(5);
    let purge = control_plane.publish(0, KEY);
    control_plane.run(1_500);
    assert_eq!(
        control_plane.status(0, purge),
        PurgeStatus::Done,
        "the purge waits for a member that has left"
    );
    control_plane.kill(4);
    let purge = control_plane.publish(0, b"another");
    control_plane.run(1_500);
    assert!(
        matches!(control_plane.status(0, purge), PurgeStatus::Pending { .. }),
        "done while the crashed member's lease may still be valid"
    );
    control_plane.run(1_500);
    assert_eq!(control_plane.status(0, purge), PurgeStatus::Done);
}

#[test]
fn a_flooding_publisher_is_rejected_with_a_retry_time() {
    let mut control_plane = three_replica_control_plane();
    let now = control_plane.now;
    let replica = control_plane.replica(0);
    let admitted = (0..10_000).take_while(|_| replica.publish(now, KEY).is_ok()).count();
    assert_eq!(admitted, 200, "expected exactly the burst to be admitted");
    let rejected = replica.publish(now, KEY).expect_err("the burst is exhausted");
    assert_eq!(rejected.reason, PublishRejectReason::RateLimited);
    assert!(replica.publish(now + rejected.retry_after - Micros(1), KEY).is_err());
    assert!(replica.publish(now + rejected.retry_after, KEY).is_ok());
    let rejected = replica.publish(now, &[b'k'; 251]).expect_err("the key is too long");
    assert_eq!(rejected.reason, PublishRejectReason::KeyTooLong);
    control_plane.cut(&[0], &[1, 2]);
    let mut last = None;
    for _ in 0..100 {
        control_plane.run(1_000);
        let now = control_plane.now;
        last = (0..200).find_map(|_| control_plane.replica(0).publish(now, KEY).err());
    }
    assert_eq!(last.map(|rejected| rejected.reason), Some(PublishRejectReason::TooManyPending));
    control_plane.restart_replica(1);
    let now = control_plane.now;
    let rejected =
        control_plane.replica(1).publish(now, KEY).expect_err("a recovering replica rejects purges");
    assert_eq!(rejected.reason, PublishRejectReason::Recovering);
}

#[test]
fn malformed_and_unauthorized_datagrams_are_counted_by_cause() {
    let mut control_plane = three_replica_control_plane();
    let now = control_plane.now;
    let (unknown_address, replica_address) = (([127, 0, 0, 1], 9).into(), ([127, 0, 0, 1], 1_001).into());
    let status_request = [b'J', b'P', b'C', 1, 2, 0, 1, 1, 0];
    let replica = control_plane.replica(0);
    let before = replica.metrics().dropped;
    replica.on_datagram(now, replica_address, &[0; 1_201]);
    replica.on_datagram(now, replica_address, b"JPC\x02");
    replica.on_datagram(now, replica_address, b"JPC\x01\xff");
    replica.on_datagram(now, unknown_address, &status_request);
    let dropped = replica.metrics().dropped;
    assert_eq!((dropped.too_long, dropped.version), (before.too_long + 1, before.version + 1));
    assert_eq!(
        (dropped.malformed, dropped.unknown_sender),
        (before.malformed + 1, before.unknown_sender + 1)
    );
    let member = control_plane.member(3);
    member.on_datagram(now, unknown_address, &status_request);
    member.on_datagram(now, replica_address, &status_request);
    assert_eq!(member.metrics().dropped.unknown_sender, 2);
}

/// Guards against a member that serves after a partition without the purges that were done meanwhile. The case in which
/// the log no longer reaches back to the member's position is covered by the schedules (`schedules.rs`).
#[test]
fn a_partitioned_member_does_not_serve_until_it_has_caught_up() {
    let mut control_plane = three_replica_control_plane();
    control_plane.cut(&[5], &[0, 1, 2]);
    control_plane.run(2 * SECOND / MILLISECOND + 100);
    assert!(!control_plane.may_serve(5));
    let purge = control_plane.publish(0, KEY);
    control_plane.run(2_000);
    assert_eq!(control_plane.status(0, purge), PurgeStatus::Done);
    control_plane.heal(&[5], &[0, 1, 2]);
    for _ in 0..500 {
        control_plane.step();
        assert!(!control_plane.may_serve(5) || control_plane.has_purged(5, KEY));
    }
    assert!(control_plane.may_serve(5));
}
