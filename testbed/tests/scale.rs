//! Scale tests in small: 200 members in simulated time, with bounds on what they send and on who comes to know of what; and the
//! same with a mechanism that is broken on purpose, which the bounds have to find.

use juniperladder_testbed::scale::{run_scale_test, Event, Flaw, Mechanism, ScaleConfig, Summary};

const MEMBERS: usize = 200;
/// Bytes a second that a member sends on average: today's 1.3 KB with a quarter of room.
const BYTES_PER_S_MAX: f64 = 1_700.0;
/// Packets a second that a member sends on average.
const PACKETS_PER_S_MAX: f64 = 16.0;
/// Members that each one knows at the end; the one that has just started again learns of the last few over tens of seconds.
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
    run_scale_test(config).expect("the machine allows 200 members").summary
}

/// What is wrong with a run, a line each.
fn breaches(summary: &Summary) -> Vec<String> {
    let mut breaches = Vec::new();
    for phase in [&summary.ordinary, &summary.after_event] {
        if phase.sent.bytes_per_s > BYTES_PER_S_MAX {
            breaches.push(format!("{:.0} bytes a second a member", phase.sent.bytes_per_s));
        }
        if phase.sent.packets_per_s > PACKETS_PER_S_MAX {
            breaches.push(format!("{:.1} packets a second a member", phase.sent.packets_per_s));
        }
    }
    if summary.known.median < MEMBERS || summary.known.least < KNOWN_LEAST {
        breaches.push(format!("members know {:?} of {MEMBERS}", summary.known));
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

/// Later even the member that has started again knows all others.
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
    assert!(breaches.iter().any(|breach| breach.contains("packets a second")), "{breaches:?}");
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

/// Two hundred members and eleven control machines, so many purges that a loss of one in a thousand shows.
fn purges(event: Event) -> ScaleConfig {
    ScaleConfig { publishes_per_s: 70.0, seconds: 24.0, event, ..config(Mechanism::Purge) }
}

/// What is wrong with a run of purges, a line each.
fn purge_breaches(summary: &Summary) -> Vec<String> {
    let purge = summary.purge.expect("it was a run of purges");
    let mut breaches = Vec::new();
    let mut check = |kept: bool, line: String| breaches.extend((!kept).then_some(line));
    check(purge.done_missing == 0, format!("{} done but missing", purge.done_missing));
    for phase in [&purge.ordinary, &purge.after_event] {
        check(phase.never == 0, format!("{} never acted on", phase.never));
        check(phase.not_done == 0, format!("{} not done", phase.not_done));
        check(phase.acted.count == 0 || phase.accepted > 50, format!("{} accepted", phase.accepted));
    }
    check(purge.serving == MEMBERS, format!("{} of {MEMBERS} serve", purge.serving));
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
    assert!(breaches.iter().any(|breach| breach.contains("done but missing")), "{breaches:?}");
    assert!(breaches.iter().any(|breach| breach.contains("never acted on")), "{breaches:?}");
}
