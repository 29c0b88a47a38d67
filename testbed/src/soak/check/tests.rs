//! Tests of the violations of a soak run, on both sides of each bound.

use juniperladder_platform_model::checker::rules::Rule;
use juniperladder_platform_model::event_log::{Attempt, AttemptResult, ClientRequest, Receiver};
use juniperladder_platform_model::experiment::DeadlineProfile;

use super::*;
use crate::processes::PlannedEnd;

const SENT_AT: Micros = 2_000_000;

/// A request that was unanswered when its connection ended, at the time `ended_after` from its sending.
fn unanswered(result: RequestResult, ended_after: Micros) -> ClientRequest {
    ClientRequest {
        id: 1,
        first_id: 1,
        balancer: 0,
        key: 1,
        write: false,
        planned_at: SENT_AT,
        sent_at: SENT_AT,
        deadline: SENT_AT + 1_500_000,
        ended_at: Some(SENT_AT + ended_after),
        result,
        extra_lines: 0,
    }
}

fn attempt() -> Attempt {
    Attempt {
        id: 1,
        balancer: 0,
        receiver: Receiver::CacheServer(0),
        first_byte_at: SENT_AT,
        received_at: SENT_AT,
        answered_at: None,
        result: AttemptResult::NoAnswer,
        in_slow_start: false,
        corrupted: false,
    }
}

/// A plan with a crowd at balancer 0, or without one.
fn plan(is_crowded: bool) -> SoakPlan {
    let plan = |seed| SoakPlan::draw(seed, DeadlineProfile::Long, "program");
    let mut plans = (0..).map(plan);
    plans.find(|plan| plan.crowd.is_some_and(|crowd| crowd.balancer == 0) == is_crowded).unwrap()
}

/// The rules violated by a run with this request and these attempts.
fn violated_rules(plan: &SoakPlan, request: ClientRequest, attempts: Vec<Attempt>) -> Vec<Rule> {
    let event_log = EventLog { requests: vec![request], attempts, ..EventLog::default() };
    let record = SoakRecord { event_log, planned_ends: vec![], crashes: vec![] };
    let rule = |finding| match finding {
        SoakFinding::Rule(violation) => violation.rule,
        other => panic!("{other}"),
    };
    check_soak(plan, &record).findings.into_iter().map(rule).collect()
}

/// Guards against a lost request that is taken for one that crossed a close, although it was forwarded or was unanswered for
/// longer than the tolerance.
#[test]
fn unanswered_request_is_lost_unless_it_crossed_the_close_unread() {
    let closed = RequestResult::ConnectionClosed;
    let plan = plan(false);
    assert_eq!(violated_rules(&plan, unanswered(closed, 50_000), vec![]), []);
    assert_eq!(violated_rules(&plan, unanswered(closed, 50_001), vec![]), [Rule::Answers]);
    assert_eq!(violated_rules(&plan, unanswered(closed, 10), vec![attempt()]), [Rule::Answers]);
    assert_eq!(violated_rules(&plan, unanswered(RequestResult::NoAnswer, 10), vec![]), [Rule::Answers]);
}

/// Guards against a lost request that is excused by a crowd: a new connection may be closed unread only where a crowd fills
/// its balancer's slots, and never after its request was forwarded.
#[test]
fn new_connection_may_be_closed_unread_only_by_a_crowded_balancer() {
    let rejected = RequestResult::ConnectionRejected;
    for (is_crowded, expected) in [(true, &[][..]), (false, &[Rule::Answers][..])] {
        let plan = plan(is_crowded);
        assert_eq!(violated_rules(&plan, unanswered(rejected, 500_000), vec![]), expected);
        assert_eq!(violated_rules(&plan, unanswered(rejected, 500_000), vec![attempt()]), [Rule::Answers]);
    }
}

/// Guards against a process that fails or has to be killed after SIGTERM and is not reported.
#[test]
fn exit_after_sigterm_with_another_code_than_zero_is_reported() {
    for (exit_code, is_reported) in [(Some(0), false), (Some(1), true), (None, true)] {
        let end = PlannedEnd { balancer: 0, exit_code, log_end: String::new() };
        let record = SoakRecord { event_log: EventLog::default(), planned_ends: vec![end], crashes: vec![] };
        assert_eq!(!check_soak(&plan(false), &record).findings.is_empty(), is_reported, "{exit_code:?}");
    }
}
