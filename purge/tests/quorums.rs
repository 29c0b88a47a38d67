//! Scripted races that the protocol's two phases, incarnations and majorities guard against. Each test runs its race
//! twice: the guarantee holds with the full protocol, and is breached when the step that guards against the race is
//! disabled.

mod support;

use juniperladder_purge::injected_defect::InjectedDefect;
use juniperladder_purge::{PurgeId, PurgeStatus};
use support::scripted::ControlPlane;

const KEY: &[u8] = b"the key";
/// Replicas of the scenarios with five replicas: the one that publishes the purge, two that receive it, and two that
/// don't.
const PUBLISHER: usize = 0;
const FIRST: usize = 1;
const SECOND: usize = 2;
const CUT_OFF: [usize; 2] = [3, 4];
/// The member of the scenarios with five replicas.
const MEMBER: usize = 5;

/// The first replica confirms that it holds the purge, then loses it in a restart before the second one receives it.
fn first_loses_purge_before_second_receives_it(
    injected_defect: Option<InjectedDefect>,
) -> (ControlPlane, PurgeId) {
    let mut control_plane = ControlPlane::new(5, 1, injected_defect);
    control_plane.cut(&[PUBLISHER], &CUT_OFF);
    control_plane.cut(&[FIRST], &[SECOND, 3, 4]);
    control_plane.hold_link(PUBLISHER, SECOND);
    let purge = control_plane.publish(PUBLISHER, KEY);
    // The current round gets no majority; in the next one the first replica reports that it holds the purge.
    control_plane.run(3_500);
    control_plane.cut(&[PUBLISHER], &[FIRST]);
    control_plane.hold_link(PUBLISHER, FIRST);
    control_plane.restart_replica(FIRST);
    control_plane.heal(&[FIRST], &[SECOND, 3, 4]);
    control_plane.run(600);
    assert!(
        control_plane.has_recovered(FIRST),
        "the first replica did not recover from the second and the others, none of which holds the purge"
    );
    control_plane.cut(&[SECOND], &[FIRST, 3, 4]);
    control_plane.heal(&[PUBLISHER], &[SECOND]);
    control_plane.run(100);
    (control_plane, purge)
}

/// Starts a member that reaches all replicas except the publisher and the second one.
fn register_member_without_publisher_and_second(control_plane: &mut ControlPlane) {
    control_plane.cut(&[PUBLISHER, SECOND], &[FIRST, 3, 4, MEMBER]);
    control_plane.start_member(MEMBER, &[FIRST]);
    control_plane.run(2_000);
    assert!(control_plane.may_serve(MEMBER), "the member does not serve although it reaches a majority");
    assert!(!control_plane.has_purged(MEMBER, KEY));
}

/// Asserts that after all partitions heal the purge is done and the member has applied it.
fn assert_settles(
    control_plane: &mut ControlPlane,
    publisher: usize,
    replicas: usize,
    purge: PurgeId,
    member: usize,
) {
    let all: Vec<usize> = (0..=member.max(replicas - 1)).collect();
    control_plane.heal(&all, &all);
    control_plane.run(10_000);
    assert_eq!(control_plane.status(publisher, purge), PurgeStatus::Done);
    assert!(control_plane.may_serve(member) && control_plane.has_purged(member, KEY));
}

#[test]
fn a_replica_that_loses_a_purge_within_a_round_is_not_counted_as_a_holder() {
    let (mut control_plane, purge) = first_loses_purge_before_second_receives_it(None);
    assert!(matches!(control_plane.status(PUBLISHER, purge), PurgeStatus::Pending { .. }));
    register_member_without_publisher_and_second(&mut control_plane);
    assert!(!control_plane.is_breached(PUBLISHER, purge, KEY, MEMBER));
    assert_settles(&mut control_plane, PUBLISHER, 5, purge, MEMBER);

    let (mut control_plane, purge) =
        first_loses_purge_before_second_receives_it(Some(InjectedDefect::SecondRoundSkipped));
    register_member_without_publisher_and_second(&mut control_plane);
    assert!(
        control_plane.is_breached(PUBLISHER, purge, KEY, MEMBER),
        "no breach although the second round is skipped"
    );
}

/// Both replicas lose the purge after the first round: the second replica restarts after it has confirmed the purge.
/// The first receives the purge again in a duplicate datagram, confirms it in its new incarnation, and restarts.
fn both_lose_purge_in_the_second_round(injected_defect: Option<InjectedDefect>) -> (ControlPlane, PurgeId) {
    let (mut control_plane, purge) = first_loses_purge_before_second_receives_it(injected_defect);
    control_plane.cut(&[PUBLISHER], &[SECOND]);
    control_plane.restart_replica(SECOND);
    control_plane.heal(&[SECOND], &[FIRST, 3, 4]);
    control_plane.run(600);
    assert!(
        control_plane.has_recovered(SECOND),
        "the second replica did not recover from the first and the others, none of which holds the purge"
    );
    control_plane.cut(&[FIRST], &[SECOND, 3, 4]);
    control_plane.hold_link(FIRST, PUBLISHER);
    control_plane.open_link(PUBLISHER, FIRST);
    control_plane.run(50);
    control_plane.redeliver(PUBLISHER, FIRST);
    control_plane.run(50);
    control_plane.hold_link(PUBLISHER, FIRST);
    control_plane.restart_replica(FIRST);
    control_plane.heal(&[FIRST], &[SECOND, 3, 4]);
    control_plane.run(600);
    assert!(
        control_plane.has_recovered(FIRST),
        "the first replica did not recover from replicas that don't hold the purge"
    );
    control_plane.open_link(FIRST, PUBLISHER);
    control_plane.run(50);
    (control_plane, purge)
}

#[test]
fn a_replica_that_receives_a_purge_again_in_a_new_incarnation_does_not_confirm_it() {
    let (mut control_plane, purge) = both_lose_purge_in_the_second_round(None);
    assert!(matches!(control_plane.status(PUBLISHER, purge), PurgeStatus::Pending { .. }));
    register_member_without_publisher_and_second(&mut control_plane);
    assert!(!control_plane.is_breached(PUBLISHER, purge, KEY, MEMBER));
    assert_settles(&mut control_plane, PUBLISHER, 5, purge, MEMBER);

    let (mut control_plane, purge) =
        both_lose_purge_in_the_second_round(Some(InjectedDefect::IncarnationIgnored));
    register_member_without_publisher_and_second(&mut control_plane);
    assert!(
        control_plane.is_breached(PUBLISHER, purge, KEY, MEMBER),
        "no breach although a confirmation in a new incarnation counts"
    );
}

/// The first replica stores and acknowledges a registration, then loses it in a restart before the other replicas have
/// stored it.
fn registration_is_lost_before_the_second_phase(
    injected_defect: Option<InjectedDefect>,
) -> (ControlPlane, PurgeId) {
    let mut control_plane = ControlPlane::new(5, 1, injected_defect);
    let assigned_replica = CUT_OFF[0];
    control_plane.cut(&[MEMBER], &[PUBLISHER, SECOND, CUT_OFF[1]]);
    control_plane.start_member(MEMBER, &[assigned_replica]);
    while control_plane.member(MEMBER).metrics().sent.datagrams == 0 {
        control_plane.step();
    }
    // The member's first pull reaches the assigned replica; later datagrams to it are held.
    control_plane.step();
    control_plane.hold_link(MEMBER, assigned_replica);
    control_plane.run(60);
    control_plane.cut(&[MEMBER], &[FIRST]);
    control_plane.restart_replica(FIRST);
    control_plane.run(400);
    assert!(
        control_plane.has_recovered(FIRST),
        "the first replica did not recover from replicas that don't have the registration"
    );
    control_plane.cut(&[PUBLISHER, FIRST, SECOND], &CUT_OFF);
    let purge = control_plane.publish(PUBLISHER, KEY);
    control_plane.run(700);
    control_plane.heal(&[MEMBER], &CUT_OFF);
    control_plane.run(1_300);
    assert_eq!(
        control_plane.status(PUBLISHER, purge),
        PurgeStatus::Done,
        "not Done although no member serves without the purge"
    );
    (control_plane, purge)
}

#[test]
fn a_registration_that_a_replica_loses_before_the_second_phase_does_not_count() {
    let (mut control_plane, purge) = registration_is_lost_before_the_second_phase(None);
    assert!(
        !control_plane.may_serve(MEMBER),
        "the member serves although only two of five replicas have its registration"
    );
    assert_settles(&mut control_plane, PUBLISHER, 5, purge, MEMBER);

    let (control_plane, purge) =
        registration_is_lost_before_the_second_phase(Some(InjectedDefect::OnePhaseRegistration));
    assert!(
        control_plane.is_breached(PUBLISHER, purge, KEY, MEMBER),
        "no breach although the second phase is skipped"
    );
}

/// A member has registered with the second and the third of three replicas; the second restarts while it reaches only
/// the first.
fn recovery_reaches_only_one_replica(injected_defect: Option<InjectedDefect>) -> (ControlPlane, PurgeId) {
    let mut control_plane = ControlPlane::new(3, 1, injected_defect);
    control_plane.cut(&[3], &[0]);
    control_plane.start_member(3, &[2]);
    control_plane.run(1_500);
    assert!(control_plane.may_serve(3));
    control_plane.cut(&[2, 3], &[0, 1]);
    control_plane.restart_replica(1);
    // The current round gets no majority and times out.
    control_plane.run(3_500);
    let purge = control_plane.publish(0, KEY);
    control_plane.run(1_500);
    (control_plane, purge)
}

#[test]
fn a_replica_that_reaches_no_majority_of_others_does_not_recover() {
    let (mut control_plane, purge) = recovery_reaches_only_one_replica(None);
    assert!(!control_plane.has_recovered(1));
    assert!(
        control_plane.may_serve(3),
        "the member does not serve although its assigned replica answers its pulls"
    );
    let PurgeStatus::Pending { replicas, .. } = control_plane.status(0, purge) else {
        panic!("not Pending although a member lacks the purge")
    };
    assert!(replicas.len() <= 2, "{replicas:?}");
    assert_settles(&mut control_plane, 0, 3, purge, 3);

    let (control_plane, purge) = recovery_reaches_only_one_replica(Some(InjectedDefect::RecoveryFromOne));
    assert!(
        control_plane.is_breached(0, purge, KEY, 3),
        "no breach although a replica recovers from one other"
    );
}

/// A purge becomes done while the third replica is cut off from the others; then a member that prefers the third
/// replica starts.
fn assigned_replica_lacks_a_done_purge(injected_defect: Option<InjectedDefect>) -> (ControlPlane, PurgeId) {
    let mut control_plane = ControlPlane::new(3, 1, injected_defect);
    control_plane.cut(&[2], &[0, 1]);
    let purge = control_plane.publish(0, KEY);
    control_plane.run(4_500);
    assert_eq!(control_plane.status(0, purge), PurgeStatus::Done, "not Done although no member serves");
    control_plane.start_member(3, &[2]);
    control_plane.run(1_500);
    (control_plane, purge)
}

#[test]
fn a_member_whose_assigned_replica_lacks_its_target_serves_only_after_changing_replicas() {
    let (mut control_plane, _) = assigned_replica_lacks_a_done_purge(None);
    assert!(
        !control_plane.may_serve(3),
        "the member serves although its assigned replica lacks an entry of the target"
    );
    control_plane.run(10_000);
    assert!(
        control_plane.may_serve(3) && control_plane.has_purged(3, KEY),
        "the member did not catch up at another replica"
    );

    let (control_plane, purge) = assigned_replica_lacks_a_done_purge(Some(InjectedDefect::TargetIgnored));
    assert!(control_plane.is_breached(0, purge, KEY, 3), "no breach although the member ignores its target");
}
