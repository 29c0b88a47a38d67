//! Tests of the plans of many seeds.

use super::*;

/// Guards against a kill that comes earlier than the protocol allows, and against a soak that never draws one of its faults.
#[test]
fn kill_comes_at_the_earliest_time_of_the_protocol_and_every_fault_is_drawn() {
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
            let has_action =
                |matches: fn(&SoakAction) -> bool| plan.steps.iter().any(|step| matches(&step.action));
            let drawn_in_plan = [
                has_action(|action| matches!(action, SoakAction::Stall(..))),
                has_action(|action| matches!(action, SoakAction::BreakConfig(..))),
                has_action(|action| matches!(action, SoakAction::Change(_))),
                has_action(|action| {
                    matches!(action, SoakAction::Signal(_, Signal::SIGHUP | Signal::SIGUSR1))
                }),
                plan.crowd.is_some(),
                plan.experiment.discovery.calls_per_s < 10.0,
            ];
            drawn.iter_mut().zip(drawn_in_plan).for_each(|(in_any_plan, in_plan)| *in_any_plan |= in_plan);
        }
    }
    assert_eq!(drawn, [true; 6]);
}

/// Guards against a plan that depends on more than its seed, so that a failed run could not be repeated.
#[test]
fn same_seed_draws_the_same_plan() {
    let plan_text = |seed| SoakPlan::draw(seed, DeadlineProfile::Long, "program").to_string();
    assert_eq!(plan_text(7), plan_text(7));
    assert_ne!(plan_text(7), plan_text(8));
}
