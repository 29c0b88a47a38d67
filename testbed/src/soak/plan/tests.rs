//! The plans of many seeds.

use super::*;

/// Guards against a kill that comes before the protocol's earliest, and against a soak that draws only some of its faults.
#[test]
fn kill_comes_at_the_protocols_earliest_and_every_fault_is_drawn() {
    let mut drawn = [false; 6];
    for seed in 0..200 {
        for (deadlines, earliest) in [(DeadlineProfile::Long, 3_700_000), (DeadlineProfile::Short, 1_900_000)]
        {
            let plan = SoakPlan::draw(seed, deadlines, "program");
            assert!(plan.terminations.len() < plan.experiment.fleet.balancers, "{plan}");
            assert!(plan.steps.is_sorted_by_key(|step| step.at), "{plan}");
            for termination in &plan.terminations {
                assert_eq!(termination.kill_at - termination.at, earliest, "{plan}");
            }
            let has = |found: fn(&SoakAction) -> bool| plan.steps.iter().any(|step| found(&step.action));
            let now = [
                has(|action| matches!(action, SoakAction::Stall(..))),
                has(|action| matches!(action, SoakAction::BreakConfig(..))),
                has(|action| matches!(action, SoakAction::Change(_))),
                has(|action| matches!(action, SoakAction::Signal(_, Signal::SIGHUP | Signal::SIGUSR1))),
                plan.crowd.is_some(),
                plan.experiment.discovery.calls_per_s < 10.0,
            ];
            drawn.iter_mut().zip(now).for_each(|(any, now)| *any |= now);
        }
    }
    assert_eq!(drawn, [true; 6]);
}

/// A seed that failed is run again as it was.
#[test]
fn same_seed_draws_the_same_plan() {
    let text = |seed| SoakPlan::draw(seed, DeadlineProfile::Long, "program").to_string();
    assert_eq!(text(7), text(7));
    assert_ne!(text(7), text(8));
}
