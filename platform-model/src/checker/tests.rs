//! Tests of `checker`.

use super::test_log::{served, terms, Hand};
use super::*;

#[test]
fn commands_count_by_how_their_clients_saw_them_end() {
    let mut hand = Hand::default();
    use RequestResult::{
        ConnectionClosed, ConnectionRejected, Failed, NoAnswer, NotAccepted, Rejected, Served,
    };
    for end in [Served, Rejected, Failed, NotAccepted, NoAnswer, ConnectionClosed, ConnectionRejected] {
        hand.request(ClientRequest { result: end, ..served(10.0) });
    }
    let deadline = served(10.0).deadline;
    hand.request(ClientRequest { ended_at: Some(deadline + 50_000), ..served(10.0) });
    hand.request(ClientRequest { ended_at: Some(deadline + 50_001), ..served(10.0) });
    hand.request(ClientRequest { planned_at: 0, ..served(10.0) });
    let summary = check_run(&hand.event_log, &terms()).summary;
    let counts = (summary.requests, summary.served, summary.refused, summary.failed, summary.lost);
    assert_eq!(counts, (9, 2, 2, 2, 3), "one that came while the caches filled does not count");
}

#[test]
fn a_retry_serves_its_first_try_while_the_aim_lasts() {
    let mut hand = Hand::default();
    let first = hand.request(ClientRequest { result: RequestResult::Rejected, ..served(10.0) });
    let sent = served(10.0).sent_at;
    let again = ClientRequest {
        first_id: first,
        sent_at: sent + 300_000,
        ended_at: Some(sent + 800_000),
        ..served(10.3)
    };
    hand.retry(again.clone());
    assert_eq!(check_run(&hand.event_log, &terms()).summary.service, 1.0);
    hand.event_log.requests[1].ended_at = Some(sent + 800_001);
    assert_eq!(check_run(&hand.event_log, &terms()).summary.service, 0.0);
}

#[test]
fn lag_is_that_of_the_sends_behind_their_plan() {
    let mut hand = Hand::default();
    for n in 0..100 {
        let one = served(10.0);
        let late = if n < 2 { 30_000 } else { 1_000 };
        hand.request(ClientRequest { planned_at: one.sent_at - late, ..one });
    }
    assert_eq!(check_run(&hand.event_log, &terms()).summary.lag_p99_ms, 30.0);
    hand.event_log.requests[0].planned_at += 29_000;
    assert_eq!(check_run(&hand.event_log, &terms()).summary.lag_p99_ms, 1.0);
}
