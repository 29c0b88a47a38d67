//! Outcomes, service and sending delay of a run.

use super::test_log::{served, terms, EventLogBuilder};
use super::*;

#[test]
fn requests_count_by_how_their_clients_saw_them_end() {
    let mut builder = EventLogBuilder::default();
    use RequestResult::{
        ConnectionClosed, ConnectionRejected, Failed, NoAnswer, NotAccepted, Rejected, Served,
    };
    for end in [Served, Rejected, Failed, NotAccepted, NoAnswer, ConnectionClosed, ConnectionRejected] {
        builder.request(ClientRequest { result: end, ..served(10.0) });
    }
    let deadline = served(10.0).deadline;
    builder.request(ClientRequest { ended_at: Some(deadline + 50_000), ..served(10.0) });
    builder.request(ClientRequest { ended_at: Some(deadline + 50_001), ..served(10.0) });
    builder.request(ClientRequest { planned_at: 0, ..served(10.0) });
    let summary = check_run(&builder.event_log, &terms()).summary;
    let counts = (summary.requests, summary.served, summary.rejected, summary.failed, summary.lost);
    assert_eq!(counts, (9, 2, 2, 2, 3), "a request planned while the caches fill does not count");
}

#[test]
fn retry_serves_its_first_request_within_the_latency_objective() {
    let mut builder = EventLogBuilder::default();
    let first = builder.request(ClientRequest { result: RequestResult::Rejected, ..served(10.0) });
    let sent = served(10.0).sent_at;
    let again = ClientRequest {
        first_id: first,
        sent_at: sent + 300_000,
        ended_at: Some(sent + 800_000),
        ..served(10.3)
    };
    builder.retry(again.clone());
    assert_eq!(check_run(&builder.event_log, &terms()).summary.service, 1.0);
    builder.event_log.requests[1].ended_at = Some(sent + 800_001);
    assert_eq!(check_run(&builder.event_log, &terms()).summary.service, 0.0);
}

#[test]
fn lag_is_how_far_sends_are_behind_their_plan() {
    let mut builder = EventLogBuilder::default();
    for n in 0..100 {
        let one = served(10.0);
        let late = if n < 2 { 30_000 } else { 1_000 };
        builder.request(ClientRequest { planned_at: one.sent_at - late, ..one });
    }
    assert_eq!(check_run(&builder.event_log, &terms()).summary.lag_p99_ms, 30.0);
    builder.event_log.requests[0].planned_at += 29_000;
    assert_eq!(check_run(&builder.event_log, &terms()).summary.lag_p99_ms, 1.0);
}
