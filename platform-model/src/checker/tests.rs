//! Outcomes, service and sending delay of a run.

use super::test_log::{check_config, served_read, EventLogBuilder};
use super::*;

#[test]
fn requests_are_counted_by_the_result_their_clients_saw() {
    let mut builder = EventLogBuilder::default();
    use RequestResult::{
        ConnectionClosed, ConnectionRejected, Failed, NoAnswer, NotAccepted, Rejected, Served,
    };
    for result in [Served, Rejected, Failed, NotAccepted, NoAnswer, ConnectionClosed, ConnectionRejected] {
        builder.add_request(ClientRequest { result, ..served_read(10.0) });
    }
    let deadline = served_read(10.0).deadline;
    builder.add_request(ClientRequest { ended_at: Some(deadline + 50_000), ..served_read(10.0) });
    builder.add_request(ClientRequest { ended_at: Some(deadline + 50_001), ..served_read(10.0) });
    builder.add_request(ClientRequest { planned_at: 0, ..served_read(10.0) });
    let summary = check_run(&builder.event_log, &check_config()).summary;
    let counts = (summary.requests, summary.served, summary.rejected, summary.failed, summary.lost);
    assert_eq!(counts, (9, 2, 2, 2, 3), "expected a request planned during the warm-up not to count");
}

#[test]
fn retry_served_within_the_latency_objective_of_the_first_request_counts_as_service() {
    let mut builder = EventLogBuilder::default();
    let first = builder.add_request(ClientRequest { result: RequestResult::Rejected, ..served_read(10.0) });
    let sent_at = served_read(10.0).sent_at;
    let retry = ClientRequest {
        first_id: first,
        sent_at: sent_at + 300_000,
        ended_at: Some(sent_at + 800_000),
        ..served_read(10.3)
    };
    builder.add_retry(retry.clone());
    assert_eq!(check_run(&builder.event_log, &check_config()).summary.service, 1.0);
    builder.event_log.requests[1].ended_at = Some(sent_at + 800_001);
    assert_eq!(check_run(&builder.event_log, &check_config()).summary.service, 0.0);
}

#[test]
fn lag_is_the_delay_of_requests_after_their_planned_time() {
    let mut builder = EventLogBuilder::default();
    for n in 0..100 {
        let request = served_read(10.0);
        let delay = if n < 2 { 30_000 } else { 1_000 };
        builder.add_request(ClientRequest { planned_at: request.sent_at - delay, ..request });
    }
    assert_eq!(check_run(&builder.event_log, &check_config()).summary.lag_p99_ms, 30.0);
    builder.event_log.requests[0].planned_at += 29_000;
    assert_eq!(check_run(&builder.event_log, &check_config()).summary.lag_p99_ms, 1.0);
}
