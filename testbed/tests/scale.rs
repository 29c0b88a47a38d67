//! Small scale tests: 200 members in simulated time, with bounds on their traffic and on the propagation of changes, and
//! with injected defects that must violate these bounds.

use juniperladder_testbed::scale::{run_scale_test, Event, Flaw, Mechanism, ScaleConfig, Summary};

const MEMBERS: usize = 200;
/// Maximum bytes per second that a member sends on average: the current 1.3 KB plus a margin of a quarter.
const BYTES_PER_S_MAX: f64 = 1_700.0;
/// Maximum packets per second that a member sends on average.
const PACKETS_PER_S_MAX: f64 = 16.0;
/// Minimum number of members that each member knows at the end. A restarted member takes tens of seconds to learn of the
/// last few.
const KNOWN_LEAST: usize = 190;

fn config(mechanism: Mechanism) -> ScaleConfig {
    ScaleConfig {
        mechanism,
        members: MEMBERS,
        warm_up_s: 8.0,
        seconds: 18.0,
        event: Event::MemberLost,
        virtual_time: true,
        ..ScaleConfig::default()
    }
}

fn summary(config: ScaleConfig) -> Summary {
    run_scale_test(config).expect("a run of 200 members must succeed").summary
}

/// The violated bounds of a run, one line each.
fn breaches(summary: &Summary) -> Vec<String> {
    let mut breaches = Vec::new();
    for phase in [&summary.ordinary, &summary.after_event] {
        if phase.sent.bytes_per_s > BYTES_PER_S_MAX {
            breaches.push(format!("{:.0} bytes per second per member", phase.sent.bytes_per_s));
        }
        if phase.sent.packets_per_s > PACKETS_PER_S_MAX {
            breaches.push(format!("{:.1} packets per second per member", phase.sent.packets_per_s));
        }
    }
    if summary.known.median < MEMBERS || summary.known.least < KNOWN_LEAST {
        breaches.push(format!("members know {:?} of {MEMBERS} members", summary.known));
    }
    let back = summary.changes.iter().filter(|change| change.name != "member-gone");
    breaches.extend(back.filter(|change| change.never > 0).map(|change| format!("{change:?}")));
    breaches
}

#[test]
fn two_hundred_members_stay_within_their_bytes_and_know_of_changes() {
    let summary = summary(config(Mechanism::Cluster));
    assert_eq!(breaches(&summary), Vec::<String>::new());
    assert!(
        summary.ordinary.kinds.contains_key("membership") && summary.ordinary.kinds.contains_key("limits")
    );
    assert!(!summary.ordinary.kinds.contains_key("unknown"));
    assert_eq!(summary.unroutable, 0);
    let names: Vec<&str> = summary.changes.iter().map(|change| change.name.as_str()).collect();
    assert_eq!(names, ["member-gone", "member-back", "host-silent"]);
}

/// The restarted member learns of all others more slowly than the short run can show.
#[test]
fn a_minute_after_a_loss_each_member_knows_all() {
    let summary = summary(ScaleConfig { seconds: 60.0, ..config(Mechanism::Cluster) });
    assert_eq!(summary.known.least, MEMBERS, "{:?}", summary.known);
    let never: usize = summary.changes.iter().map(|change| change.never).sum();
    assert_eq!(never, 0, "{:?}", summary.changes);
}

#[test]
fn a_mechanism_that_talks_to_all_members_is_found() {
    let flawed = ScaleConfig { flaw: Some(Flaw::TalksToAll), seconds: 4.0, ..config(Mechanism::Membership) };
    let breaches = breaches(&summary(flawed));
    assert!(breaches.iter().any(|breach| breach.contains("packets per second")), "{breaches:?}");
}

#[test]
fn simulated_time_gives_the_same_for_the_same_seed() {
    let run = |seed| {
        let config =
            ScaleConfig { members: 40, seed, event: Event::RegionCut, ..config(Mechanism::Membership) };
        let summary = summary(config);
        (summary.ordinary.kinds, summary.after_event.kinds, summary.changes, summary.known)
    };
    assert_eq!(run(1), run(1));
    assert_ne!(run(1), run(2));
}

/// A purge run of 200 members and 11 control machines, with enough purges to detect the loss of one in a thousand.
fn purges(event: Event) -> ScaleConfig {
    ScaleConfig { publishes_per_s: 70.0, seconds: 24.0, event, ..config(Mechanism::Purge) }
}

/// The violated bounds of a purge run, one line each.
fn purge_breaches(summary: &Summary) -> Vec<String> {
    let purge = summary.purge.expect("a purge run has a purge summary");
    let mut breaches = Vec::new();
    let mut check = |kept: bool, line: String| breaches.extend((!kept).then_some(line));
    check(purge.done_missing == 0, format!("{} times served without a completed purge", purge.done_missing));
    for phase in [&purge.ordinary, &purge.after_event] {
        check(phase.never == 0, format!("{} never applied", phase.never));
        check(phase.not_done == 0, format!("{} not completed", phase.not_done));
        check(phase.acted.count == 0 || phase.accepted > 50, format!("only {} accepted", phase.accepted));
    }
    check(purge.serving == MEMBERS, format!("{} of {MEMBERS} members serve", purge.serving));
    breaches
}

#[test]
fn purges_reach_all_members_in_the_ordinary_state_and_under_faults() {
    for event in [Event::None, Event::Loss, Event::ControlLoss, Event::RestartWave] {
        let summary = summary(purges(event));
        assert_eq!(purge_breaches(&summary), Vec::<String>::new(), "{event:?}");
        assert!(summary.purge.unwrap().ordinary.acted.count > 50 * MEMBERS);
    }
}

#[test]
fn a_member_that_loses_one_purge_in_a_thousand_is_found() {
    let flawed = ScaleConfig { flaw: Some(Flaw::DropsChanges), ..purges(Event::None) };
    let breaches = purge_breaches(&summary(flawed));
    assert!(
        breaches.iter().any(|breach| breach.contains("served without a completed purge")),
        "{breaches:?}"
    );
    assert!(breaches.iter().any(|breach| breach.contains("never applied")), "{breaches:?}");
}
