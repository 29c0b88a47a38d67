//! Each of the four rules, in cases that keep it and cases that violate it.

use super::super::test_log::{attempt, check_config, served_read, EventLogBuilder};
use super::*;
use crate::event_log::{AttemptResult, ImpairedSpan, Impairment, ProcessStall, ProcessStart, Receiver};
use crate::micros_from_seconds;

fn violated_rules(builder: &EventLogBuilder) -> Vec<Rule> {
    find_violations(&builder.event_log, &check_config()).iter().map(|violation| violation.rule).collect()
}

#[test]
fn request_needs_exactly_one_answer_of_its_own_in_time() {
    let valid = served_read(10.0);
    let latest = valid.deadline + 50_000;
    let cases = [
        (ClientRequest { ended_at: Some(latest), ..valid.clone() }, false),
        (ClientRequest { ended_at: Some(latest + 1), ..valid.clone() }, true),
        (
            ClientRequest { ended_at: Some(latest + 1), result: RequestResult::Rejected, ..valid.clone() },
            true,
        ),
        (ClientRequest { result: RequestResult::NoAnswer, ended_at: None, ..valid.clone() }, true),
        (ClientRequest { result: RequestResult::ConnectionClosed, ..valid.clone() }, true),
        (ClientRequest { result: RequestResult::WrongValue, ..valid.clone() }, true),
        (ClientRequest { extra_lines: 1, ..valid.clone() }, true),
        (ClientRequest { result: RequestResult::NotAccepted, ..valid.clone() }, false),
        (ClientRequest { result: RequestResult::ClientLeft, ..valid.clone() }, false),
    ];
    for (request, is_violation) in cases {
        let mut builder = EventLogBuilder::default();
        builder.add_request(request.clone());
        assert_eq!(violated_rules(&builder), vec![Rule::Answers; usize::from(is_violation)], "{request:?}");
    }
}

#[test]
fn value_that_a_link_corrupted_violates_no_rule() {
    let mut builder = EventLogBuilder::default();
    let id = builder.add_request(ClientRequest { result: RequestResult::WrongValue, ..served_read(10.0) });
    builder
        .event_log
        .attempts
        .push(Attempt { corrupted: true, ..attempt(id, Receiver::CacheServer(0), 10.0) });
    assert_eq!(violated_rules(&builder), []);
    builder.event_log.attempts[0].corrupted = false;
    assert_eq!(violated_rules(&builder), [Rule::Answers]);
}

#[test]
fn connection_of_one_request_in_two_hundred_may_be_rejected() {
    let mut builder = EventLogBuilder::default();
    for _ in 0..398 {
        builder.add_request(served_read(10.0));
    }
    builder.add_request(ClientRequest { result: RequestResult::ConnectionRejected, ..served_read(10.0) });
    builder.add_request(ClientRequest { result: RequestResult::ConnectionRejected, ..served_read(10.0) });
    assert_eq!(violated_rules(&builder), []);
    builder.event_log.requests.pop();
    assert_eq!(violated_rules(&builder), [], "one of 399");
    builder.add_request(ClientRequest { result: RequestResult::ConnectionRejected, ..served_read(10.0) });
    builder.add_request(ClientRequest { result: RequestResult::ConnectionRejected, ..served_read(10.0) });
    assert_eq!(violated_rules(&builder), [Rule::Answers], "three of 401");
}

#[test]
fn stopped_process_excuses_a_missing_answer_and_testbed_delay_a_late_one() {
    let mut builder = EventLogBuilder::default();
    builder.add_request(ClientRequest {
        result: RequestResult::NoAnswer,
        ended_at: None,
        ..served_read(10.0)
    });
    let not_running = |number, from, to| ImpairedSpan {
        number,
        impairment: Impairment::NotRunning,
        from: micros_from_seconds(from),
        to: Some(micros_from_seconds(to)),
    };
    for (span, violation_count) in [
        (not_running(0, 10.9, 12.0), 0),
        (not_running(0, 11.1, 12.0), 1),
        (not_running(1, 10.0, 12.0), 1),
        (not_running(0, 5.0, 9.9), 1),
    ] {
        builder.event_log.process_impairments = vec![span];
        assert_eq!(
            violated_rules(&builder).len(),
            violation_count,
            "{:?}",
            builder.event_log.process_impairments
        );
    }
    let mut builder = EventLogBuilder::default();
    builder.add_request(ClientRequest { ended_at: Some(micros_from_seconds(11.1)), ..served_read(10.0) });
    assert_eq!(violated_rules(&builder), [Rule::Answers]);
    builder.event_log.testbed_stalls = vec![(micros_from_seconds(11.0), 49_000)];
    assert_eq!(violated_rules(&builder), [Rule::Answers]);
    builder.event_log.testbed_stalls = vec![(micros_from_seconds(11.0), 50_000)];
    assert_eq!(violated_rules(&builder), []);
}

#[test]
fn three_attempts_are_allowed_and_retries_only_as_the_class_allows() {
    let count_violations = |idempotency, write, attempts: &[(f64, AttemptResult)]| {
        let mut builder = EventLogBuilder::default();
        let id = builder.add_request(ClientRequest { write, ..served_read(10.0) });
        for (at, result) in attempts {
            builder
                .event_log
                .attempts
                .push(Attempt { result: *result, ..attempt(id, Receiver::CacheServer(0), *at) });
        }
        let mut config = check_config();
        config.classes[1].idempotency = idempotency;
        find_violations(&builder.event_log, &config).len()
    };
    use AttemptResult::{Failed, Miss, Rejected, Served};
    let (idempotent, with_idempotency_key) =
        (Idempotency::Idempotent, Idempotency::WithIdempotencyKey(6 * MICROS_PER_SECOND));
    assert_eq!(count_violations(idempotent, false, &[(10.0, Failed), (10.1, Miss), (10.2, Served)]), 0);
    assert_eq!(
        count_violations(
            idempotent,
            false,
            &[(10.0, Rejected), (10.1, Miss), (10.2, Rejected), (10.3, Served)]
        ),
        1
    );
    assert_eq!(count_violations(with_idempotency_key, true, &[(10.0, Failed), (16.05, Served)]), 0);
    assert_eq!(count_violations(with_idempotency_key, true, &[(10.0, Failed), (16.06, Served)]), 1);
    assert_eq!(
        count_violations(with_idempotency_key, true, &[(10.0, Rejected), (16.06, Served)]),
        0,
        "counted a rejected attempt as executed"
    );
    assert_eq!(count_violations(Idempotency::NotIdempotent, true, &[(10.0, Rejected), (10.1, Served)]), 0);
    assert_eq!(
        count_violations(
            Idempotency::NotIdempotent,
            true,
            &[(10.0, AttemptResult::NoAnswer), (10.1, Served)]
        ),
        1
    );
}

#[test]
fn drain_applies_from_the_end_of_its_grace_period_until_the_notice_that_the_server_is_back() {
    let mut builder = EventLogBuilder::default();
    let notice =
        |at, in_service| EndpointNotice { balancer: 0, server: 2, in_service, at: micros_from_seconds(at) };
    builder.event_log.endpoint_notices = vec![notice(10.0, false), notice(10.4, false), notice(20.0, true)];
    for (at, server, violation_count) in
        [(10.55, 2, 0), (10.56, 2, 1), (10.56, 1, 0), (19.99, 2, 1), (20.0, 2, 0), (9.0, 2, 0)]
    {
        builder.event_log.attempts = vec![attempt(1, Receiver::CacheServer(server), at)];
        assert_eq!(violated_rules(&builder), vec![Rule::Drains; violation_count], "{at} {server}");
    }
    // The process was restarted at 12 s and has not been notified of the drain.
    builder.event_log.attempts = vec![attempt(1, Receiver::CacheServer(2), 13.0)];
    builder.event_log.process_impairments = vec![ImpairedSpan {
        number: 0,
        impairment: Impairment::NotRunning,
        from: micros_from_seconds(11.0),
        to: Some(micros_from_seconds(12.0)),
    }];
    builder.event_log.process_starts = vec![ProcessStart { balancer: 0, at: micros_from_seconds(12.0) }];
    assert_eq!(violated_rules(&builder), []);
}

/// An event log with a drain notified at this second, and a process started at 12 s and found ready at 12.5 s.
fn drain_and_restart(notified_at: f64) -> EventLogBuilder {
    let mut builder = EventLogBuilder::default();
    let at = micros_from_seconds(notified_at);
    builder.event_log.endpoint_notices =
        vec![EndpointNotice { balancer: 0, server: 2, in_service: false, at }];
    builder.event_log.process_starts = vec![ProcessStart { balancer: 0, at: micros_from_seconds(12.0) }];
    builder.event_log.process_impairments = vec![ImpairedSpan {
        number: 0,
        impairment: Impairment::NotRunning,
        from: micros_from_seconds(11.0),
        to: Some(micros_from_seconds(12.5)),
    }];
    builder
}

/// Guards against holding a restarted process, which may serve before it is found ready, to the notices that only the
/// previous process received.
#[test]
fn notices_before_a_restart_do_not_apply_after_it() {
    let mut builder = drain_and_restart(10.0);
    builder.event_log.attempts = vec![attempt(1, Receiver::CacheServer(2), 12.2)];
    assert_eq!(violated_rules(&builder), []);
}

/// Guards against ignoring notices to a restarted process that arrive before it is found ready.
#[test]
fn drain_notified_before_the_process_is_found_ready_applies() {
    let mut builder = drain_and_restart(12.01);
    for (at, violation_count) in [(12.2, 0), (12.57, 1), (12.7, 1)] {
        builder.event_log.attempts = vec![attempt(1, Receiver::CacheServer(2), at)];
        assert_eq!(violated_rules(&builder), vec![Rule::Drains; violation_count], "{at}");
    }
}

/// Guards against a violation with the trace of a later request that reuses the id.
#[test]
fn drain_violation_has_the_trace_of_the_last_request_sent_before_the_attempt() {
    let mut builder = drain_and_restart(12.01);
    let id = builder.add_request(ClientRequest { key: 7, ..served_read(12.6) });
    builder.event_log.requests.push(ClientRequest { id, key: 8, ..served_read(14.0) });
    builder.event_log.attempts = vec![attempt(id, Receiver::CacheServer(2), 12.7)];
    let violations = find_violations(&builder.event_log, &check_config());
    assert!(violations[0].request_trace.iter().any(|line| line.contains("of key 7 ")), "{violations:?}");
}

#[test]
fn server_collapse_in_slow_start_and_origin_stop_due_to_slow_start_misses_violate_the_slow_start_rule() {
    let mut builder = EventLogBuilder::default();
    builder.event_log.origin_stops = vec![(micros_from_seconds(9.0), 0.49)];
    assert_eq!(violated_rules(&builder), []);
    builder.event_log.origin_stops = vec![(micros_from_seconds(9.0), 0.5)];
    builder.event_log.server_collapses = vec![(3, micros_from_seconds(9.0))];
    assert_eq!(violated_rules(&builder), [Rule::Cold, Rule::Cold]);
}

#[test]
fn violation_has_the_complete_request_trace_in_order() {
    let mut builder = EventLogBuilder::default();
    let id = builder.add_request(ClientRequest {
        result: RequestResult::NoAnswer,
        ended_at: None,
        ..served_read(10.0)
    });
    builder
        .event_log
        .attempts
        .push(Attempt { result: AttemptResult::Miss, ..attempt(id, Receiver::CacheServer(3), 10.1) });
    let request_trace = &find_violations(&builder.event_log, &check_config())[0].request_trace;
    let parts = [
        "5.000 s  0000000000000001: read",
        "5.100 s  received by Host(3)",
        "answers: Miss",
        "6.000 s  its deadline",
    ];
    assert_eq!(request_trace.len(), 4, "{request_trace:?}");
    assert!(request_trace.iter().zip(parts).all(|(line, part)| line.contains(part)), "{request_trace:?}");
}

/// Guards against excusing requests that a process accepted and did not answer before a graceful shutdown.
#[test]
fn graceful_shutdown_does_not_excuse_a_missing_answer() {
    let unanswered = ClientRequest { result: RequestResult::ConnectionClosed, ..served_read(10.0) };
    for (impairment, expected) in
        [(Impairment::NotRunning, &[][..]), (Impairment::ShutDown, &[Rule::Answers][..])]
    {
        let mut builder = EventLogBuilder::default();
        builder.add_request(unanswered.clone());
        builder.event_log.process_impairments =
            vec![ImpairedSpan { number: 0, impairment, from: micros_from_seconds(10.1), to: None }];
        assert_eq!(violated_rules(&builder), expected, "{impairment:?}");
    }
}

/// Guards against excusing a stalled process beyond the duration of its stall, or from answering at all.
#[test]
fn stalled_process_may_answer_later_by_its_stall() {
    let request = served_read(10.0);
    let latest = request.deadline + 50_000;
    let stall = |balancer| ProcessStall { balancer, from: request.sent_at, to: request.sent_at + 200_000 };
    let late = ClientRequest { ended_at: Some(latest + 200_000), ..request.clone() };
    let too_late = ClientRequest { ended_at: Some(latest + 200_001), ..request.clone() };
    let unanswered = ClientRequest { result: RequestResult::NoAnswer, ended_at: None, ..request.clone() };
    for (request, stalled_balancer, violation_count) in
        [(&late, 0, 0), (&late, 1, 1), (&too_late, 0, 1), (&unanswered, 0, 1)]
    {
        let mut builder = EventLogBuilder::default();
        builder.add_request(request.clone());
        builder.event_log.process_stalls = vec![stall(stalled_balancer)];
        assert_eq!(violated_rules(&builder), vec![Rule::Answers; violation_count], "{request:?}");
    }
}
