//! Scripted races that the protocol's two phases, incarnations and majorities guard against. Each test runs its race
//! twice: the guarantee holds with the full protocol, and is breached when the step that guards against the race is
//! disabled.

mod support;

use juniperladder_purge::injected_defect::InjectedDefect;
use juniperladder_purge::{PurgeId, PurgeStatus};
use support::scripted::Plane;

const KEY: &[u8] = b"the key";
/// Replicas of the scenarios with five: the one that publishes the purge, two that receive it, and two that don't.
const PUBLISHER: usize = 0;
const FIRST: usize = 1;
const SECOND: usize = 2;
const CUT_OFF: [usize; 2] = [3, 4];
/// The member of those scenarios.
const MEMBER: usize = 5;

/// The first replica confirms that it holds the purge, then loses it in a restart before the second one receives it.
fn first_loses_purge_before_second_receives_it(injected_defect: Option<InjectedDefect>) -> (Plane, PurgeId) {
    let mut plane = Plane::new(5, 1, injected_defect);
    plane.cut(&[PUBLISHER], &CUT_OFF);
    plane.cut(&[FIRST], &[SECOND, 3, 4]);
    plane.hold(PUBLISHER, SECOND);
    let purge = plane.publish(PUBLISHER, KEY);
    // The current round gets no majority; in the next one the first replica reports that it holds the purge.
    plane.run(3_500);
    plane.cut(&[PUBLISHER], &[FIRST]);
    plane.hold(PUBLISHER, FIRST);
    plane.restart_replica(FIRST);
    plane.join(&[FIRST], &[SECOND, 3, 4]);
    plane.run(600);
    assert!(
        plane.has_recovered(FIRST),
        "recovered from the second and the others, none of which holds the purge"
    );
    plane.cut(&[SECOND], &[FIRST, 3, 4]);
    plane.join(&[PUBLISHER], &[SECOND]);
    plane.run(100);
    (plane, purge)
}

/// A member registers with all but the origin and the second replica.
fn register_member_without_publisher_and_second(plane: &mut Plane) {
    plane.cut(&[PUBLISHER, SECOND], &[FIRST, 3, 4, MEMBER]);
    plane.start_member(MEMBER, &[FIRST]);
    plane.run(2_000);
    assert!(plane.may_serve(MEMBER), "the member reaches a majority");
    assert!(!plane.has_purged(MEMBER, KEY));
}

/// Asserts that after all partitions heal the purge is done and the member has applied it.
fn assert_settles(plane: &mut Plane, publisher: usize, replicas: usize, purge: PurgeId, member: usize) {
    let all: Vec<usize> = (0..=member.max(replicas - 1)).collect();
    plane.join(&all, &all);
    plane.run(10_000);
    assert_eq!(plane.status(publisher, purge), PurgeStatus::Done);
    assert!(plane.may_serve(member) && plane.has_purged(member, KEY));
}

#[test]
fn a_replica_that_loses_a_purge_within_a_round_is_not_counted_as_a_holder() {
    let (mut plane, purge) = first_loses_purge_before_second_receives_it(None);
    assert!(matches!(plane.status(PUBLISHER, purge), PurgeStatus::Pending { .. }));
    register_member_without_publisher_and_second(&mut plane);
    assert!(!plane.is_breached(PUBLISHER, purge, KEY, MEMBER));
    assert_settles(&mut plane, PUBLISHER, 5, purge, MEMBER);

    let (mut plane, purge) =
        first_loses_purge_before_second_receives_it(Some(InjectedDefect::SecondRoundSkipped));
    register_member_without_publisher_and_second(&mut plane);
    assert!(plane.is_breached(PUBLISHER, purge, KEY, MEMBER), "one round is not enough");
}

/// Both replicas lose the purge after the first round: the second replica restarts after it has confirmed the purge.
/// The first receives the purge again in a duplicate datagram, confirms it in its new incarnation, and restarts.
fn both_lose_purge_in_the_second_round(injected_defect: Option<InjectedDefect>) -> (Plane, PurgeId) {
    let (mut plane, purge) = first_loses_purge_before_second_receives_it(injected_defect);
    plane.cut(&[PUBLISHER], &[SECOND]);
    plane.restart_replica(SECOND);
    plane.join(&[SECOND], &[FIRST, 3, 4]);
    plane.run(600);
    assert!(
        plane.has_recovered(SECOND),
        "recovered from the first and the others, none of which holds the purge"
    );
    plane.cut(&[FIRST], &[SECOND, 3, 4]);
    plane.hold(FIRST, PUBLISHER);
    plane.open(PUBLISHER, FIRST);
    plane.run(50);
    plane.repeat(PUBLISHER, FIRST);
    plane.run(50);
    plane.hold(PUBLISHER, FIRST);
    plane.restart_replica(FIRST);
    plane.join(&[FIRST], &[SECOND, 3, 4]);
    plane.run(600);
    assert!(plane.has_recovered(FIRST), "recovered from replicas that don't hold the purge");
    plane.open(FIRST, PUBLISHER);
    plane.run(50);
    (plane, purge)
}

#[test]
fn a_replica_that_receives_a_purge_again_in_a_new_incarnation_does_not_confirm_it() {
    let (mut plane, purge) = both_lose_purge_in_the_second_round(None);
    assert!(matches!(plane.status(PUBLISHER, purge), PurgeStatus::Pending { .. }));
    register_member_without_publisher_and_second(&mut plane);
    assert!(!plane.is_breached(PUBLISHER, purge, KEY, MEMBER));
    assert_settles(&mut plane, PUBLISHER, 5, purge, MEMBER);

    let (mut plane, purge) = both_lose_purge_in_the_second_round(Some(InjectedDefect::IncarnationIgnored));
    register_member_without_publisher_and_second(&mut plane);
    assert!(
        plane.is_breached(PUBLISHER, purge, KEY, MEMBER),
        "a confirmation in a new incarnation is not enough"
    );
}

/// The first replica stores and acknowledges a registration, then loses it in a restart before the other replicas have
/// stored it.
fn registration_is_lost_before_the_second_phase(injected_defect: Option<InjectedDefect>) -> (Plane, PurgeId) {
    let mut plane = Plane::new(5, 1, injected_defect);
    let assigned_replica = CUT_OFF[0];
    plane.cut(&[MEMBER], &[PUBLISHER, SECOND, CUT_OFF[1]]);
    plane.start_member(MEMBER, &[assigned_replica]);
    while plane.member(MEMBER).metrics().sent.datagrams == 0 {
        plane.step();
    }
    // The member's first pull reaches the assigned replica; later datagrams to it are held.
    plane.step();
    plane.hold(MEMBER, assigned_replica);
    plane.run(60);
    plane.cut(&[MEMBER], &[FIRST]);
    plane.restart_replica(FIRST);
    plane.run(400);
    assert!(plane.has_recovered(FIRST), "recovered from replicas that don't have the registration");
    plane.cut(&[PUBLISHER, FIRST, SECOND], &CUT_OFF);
    let purge = plane.publish(PUBLISHER, KEY);
    plane.run(700);
    plane.join(&[MEMBER], &CUT_OFF);
    plane.run(1_300);
    assert_eq!(plane.status(PUBLISHER, purge), PurgeStatus::Done, "no member serves without the purge");
    (plane, purge)
}

#[test]
fn a_registration_that_a_replica_loses_before_the_second_phase_does_not_count() {
    let (mut plane, purge) = registration_is_lost_before_the_second_phase(None);
    assert!(!plane.may_serve(MEMBER), "only two of five replicas have the registration");
    assert_settles(&mut plane, PUBLISHER, 5, purge, MEMBER);

    let (plane, purge) =
        registration_is_lost_before_the_second_phase(Some(InjectedDefect::OnePhaseRegistration));
    assert!(plane.is_breached(PUBLISHER, purge, KEY, MEMBER), "one phase is not enough");
}

/// A member has registered with the second and the third of three replicas; the second restarts while it reaches only
/// the first.
fn recovery_reaches_only_one_replica(injected_defect: Option<InjectedDefect>) -> (Plane, PurgeId) {
    let mut plane = Plane::new(3, 1, injected_defect);
    plane.cut(&[3], &[0]);
    plane.start_member(3, &[2]);
    plane.run(1_500);
    assert!(plane.may_serve(3));
    plane.cut(&[2, 3], &[0, 1]);
    plane.restart_replica(1);
    // The current round gets no majority and times out.
    plane.run(3_500);
    let purge = plane.publish(0, KEY);
    plane.run(1_500);
    (plane, purge)
}

#[test]
fn a_replica_that_reaches_no_majority_of_others_does_not_recover() {
    let (mut plane, purge) = recovery_reaches_only_one_replica(None);
    assert!(!plane.has_recovered(1));
    assert!(plane.may_serve(3), "its assigned replica still answers its pulls");
    let PurgeStatus::Pending { replicas, .. } = plane.status(0, purge) else {
        panic!("not Pending although a member lacks the purge")
    };
    assert!(replicas.len() <= 2, "{replicas:?}");
    assert_settles(&mut plane, 0, 3, purge, 3);

    let (plane, purge) = recovery_reaches_only_one_replica(Some(InjectedDefect::RecoveryFromOne));
    assert!(plane.is_breached(0, purge, KEY, 3), "a recovery from one replica is not enough");
}

/// A purge becomes done while the third replica is cut off from the others; then a member that prefers the third
/// replica starts.
fn assigned_replica_lacks_a_done_purge(injected_defect: Option<InjectedDefect>) -> (Plane, PurgeId) {
    let mut plane = Plane::new(3, 1, injected_defect);
    plane.cut(&[2], &[0, 1]);
    let purge = plane.publish(0, KEY);
    plane.run(4_500);
    assert_eq!(plane.status(0, purge), PurgeStatus::Done, "no member serves");
    plane.start_member(3, &[2]);
    plane.run(1_500);
    (plane, purge)
}

#[test]
fn a_member_does_not_serve_before_its_target_even_if_its_assigned_replica_lacks_it() {
    let (mut plane, _) = assigned_replica_lacks_a_done_purge(None);
    assert!(!plane.may_serve(3), "its assigned replica lacks an entry of the target");
    plane.run(10_000);
    assert!(plane.may_serve(3) && plane.has_purged(3, KEY), "it has changed to another replica");

    let (plane, purge) = assigned_replica_lacks_a_done_purge(Some(InjectedDefect::TargetIgnored));
    assert!(plane.is_breached(0, purge, KEY, 3), "serving without the target breaches the guarantee");
}
