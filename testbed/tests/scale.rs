//! Small scale tests: 200 members in simulated time, with bounds on their traffic and on the propagation of changes, and
//! with injected defects that must violate these bounds.

use juniperladder_testbed::scale::{
    run_scale_test, FaultScenario, InjectedDefect, Mechanism, ScaleConfig, Summary,
};

const MEMBERS: usize = 200;
/// Maximum bytes per second that a member sends on average: the current 1.3 KB plus a margin of a quarter.
const MAX_BYTES_PER_S: f64 = 1_700.0;
/// Maximum packets per second that a member sends on average.
const MAX_PACKETS_PER_S: f64 = 16.0;
/// Minimum number of members that each member knows at the end. A restarted member takes tens of seconds to learn of the
/// last few.
const MIN_KNOWN_MEMBERS: usize = 190;

fn config(mechanism: Mechanism) -> ScaleConfig {
    ScaleConfig {
        mechanism,
        members: MEMBERS,
        warm_up_s: 8.0,
        seconds: 18.0,
        fault_scenario: FaultScenario::MemberLost,
        virtual_time: true,
        ..ScaleConfig::default()
    }
}

fn summary(config: ScaleConfig) -> Summary {
    run_scale_test(config).expect("a run of 200 members must succeed").summary
}

/// The violated bounds of a run, one line each.
fn violations(summary: &Summary) -> Vec<String> {
    let mut violations = Vec::new();
    for phase in [&summary.steady_state, &summary.after_event] {
        if phase.sent.bytes_per_s > MAX_BYTES_PER_S {
            violations.push(format!("{:.0} bytes per second per member", phase.sent.bytes_per_s));
        }
        if phase.sent.packets_per_s > MAX_PACKETS_PER_S {
            violations.push(format!("{:.1} packets per second per member", phase.sent.packets_per_s));
        }
    }
    if summary.known.median < MEMBERS || summary.known.min < MIN_KNOWN_MEMBERS {
        violations.push(format!("members know {:?} of {MEMBERS} members", summary.known));
    }
    let must_reach_all = summary.changes.iter().filter(|change| change.name != "member-gone");
    violations
        .extend(must_reach_all.filter(|change| change.not_reached > 0).map(|change| format!("{change:?}")));
    violations
}

#[test]
fn traffic_stays_within_bounds_and_members_learn_of_changes() {
    let summary = summary(config(Mechanism::Cluster));
    assert_eq!(violations(&summary), Vec::<String>::new());
    assert!(
        summary.steady_state.kinds.contains_key("membership")
            && summary.steady_state.kinds.contains_key("limits")
    );
    assert!(!summary.steady_state.kinds.contains_key("unknown"));
    assert_eq!(summary.unroutable, 0);
    let names: Vec<&str> = summary.changes.iter().map(|change| change.name.as_str()).collect();
    assert_eq!(names, ["member-gone", "member-back", "host-silent"]);
}

/// The restarted member learns of all others more slowly than the short run can show.
#[test]
fn every_member_knows_all_members_at_the_end_of_a_long_run() {
    let summary = summary(ScaleConfig { seconds: 60.0, ..config(Mechanism::Cluster) });
    assert_eq!(summary.known.min, MEMBERS, "{:?}", summary.known);
    let not_reached: usize = summary.changes.iter().map(|change| change.not_reached).sum();
    assert_eq!(not_reached, 0, "{:?}", summary.changes);
}

#[test]
fn mechanism_that_broadcasts_to_all_members_violates_the_packet_bound() {
    let defective = ScaleConfig {
        defect: Some(InjectedDefect::BroadcastsToAll),
        seconds: 4.0,
        ..config(Mechanism::Membership)
    };
    let violations = violations(&summary(defective));
    assert!(violations.iter().any(|violation| violation.contains("packets per second")), "{violations:?}");
}

#[test]
fn same_seed_gives_the_same_results_in_simulated_time() {
    let run = |seed| {
        let config = ScaleConfig {
            members: 40,
            seed,
            fault_scenario: FaultScenario::RegionCut,
            ..config(Mechanism::Membership)
        };
        let summary = summary(config);
        (summary.steady_state.kinds, summary.after_event.kinds, summary.changes, summary.known)
    };
    assert_eq!(run(1), run(1));
    assert_ne!(run(1), run(2));
}

/// A purge run of 200 members and 11 purge replicas, with enough purges to detect the loss of one in a thousand.
fn purge_config(fault_scenario: FaultScenario) -> ScaleConfig {
    ScaleConfig { publishes_per_s: 70.0, seconds: 24.0, fault_scenario, ..config(Mechanism::Purge) }
}

/// The violated bounds of a purge run, one line each.
fn purge_violations(summary: &Summary) -> Vec<String> {
    let purge = summary.purge.expect("a purge run has a purge summary");
    let mut violations = Vec::new();
    let mut check = |holds: bool, description: String| violations.extend((!holds).then_some(description));
    check(
        purge.missed_completed_purges == 0,
        format!("{} times served without a completed purge", purge.missed_completed_purges),
    );
    for phase in [&purge.steady_state, &purge.after_event] {
        check(phase.never_applied == 0, format!("{} never applied", phase.never_applied));
        check(phase.not_completed == 0, format!("{} not completed", phase.not_completed));
        check(
            phase.time_to_apply.count == 0 || phase.accepted > 50,
            format!("only {} accepted", phase.accepted),
        );
    }
    check(purge.serving == MEMBERS, format!("{} of {MEMBERS} members serve", purge.serving));
    violations
}

#[test]
fn purges_reach_all_members_with_and_without_faults() {
    for fault_scenario in
        [FaultScenario::None, FaultScenario::Loss, FaultScenario::ControlLoss, FaultScenario::RestartWave]
    {
        let summary = summary(purge_config(fault_scenario));
        assert_eq!(purge_violations(&summary), Vec::<String>::new(), "{fault_scenario:?}");
        assert!(summary.purge.unwrap().steady_state.time_to_apply.count > 50 * MEMBERS);
    }
}

#[test]
fn member_that_drops_one_purge_in_a_thousand_is_detected() {
    let defective =
        ScaleConfig { defect: Some(InjectedDefect::DropsPurges), ..purge_config(FaultScenario::None) };
    let violations = purge_violations(&summary(defective));
    assert!(
        violations.iter().any(|violation| violation.contains("served without a completed purge")),
        "{violations:?}"
    );
    assert!(violations.iter().any(|violation| violation.contains("never applied")), "{violations:?}");
}
