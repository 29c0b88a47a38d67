//! Tests of `judge`.

use super::hand::{served, terms, Hand};
use super::*;

#[test]
fn commands_count_by_how_their_clients_saw_them_end() {
    let mut hand = Hand::default();
    use Ended::{Closed, Failed, Refused, Served, Shut, Silent, Untaken};
    for end in [Served, Refused, Failed, Untaken, Silent, Closed, Shut] {
        hand.request(ClientRequest { end, ..served(10.0) });
    }
    let deadline = served(10.0).deadline;
    hand.request(ClientRequest { ended: Some(deadline + 50_000), ..served(10.0) });
    hand.request(ClientRequest { ended: Some(deadline + 50_001), ..served(10.0) });
    hand.request(ClientRequest { planned: 0, ..served(10.0) });
    let summary = judge(&hand.ledger, &terms()).summary;
    let counts = (summary.requests, summary.served, summary.refused, summary.failed, summary.lost);
    assert_eq!(counts, (9, 2, 2, 2, 3), "one that came while the caches filled does not count");
}

#[test]
fn a_retry_serves_its_first_try_while_the_aim_lasts() {
    let mut hand = Hand::default();
    let first = hand.request(ClientRequest { end: Ended::Refused, ..served(10.0) });
    let sent = served(10.0).sent;
    let again = ClientRequest { first, sent: sent + 300_000, ended: Some(sent + 800_000), ..served(10.3) };
    hand.retry(again.clone());
    assert_eq!(judge(&hand.ledger, &terms()).summary.service, 1.0);
    hand.ledger.requests[1].ended = Some(sent + 800_001);
    assert_eq!(judge(&hand.ledger, &terms()).summary.service, 0.0);
}

#[test]
fn lag_is_that_of_the_sends_behind_their_plan() {
    let mut hand = Hand::default();
    for n in 0..100 {
        let one = served(10.0);
        let late = if n < 2 { 30_000 } else { 1_000 };
        hand.request(ClientRequest { planned: one.sent - late, ..one });
    }
    assert_eq!(judge(&hand.ledger, &terms()).summary.lag_p99_ms, 30.0);
    hand.ledger.requests[0].planned += 29_000;
    assert_eq!(judge(&hand.ledger, &terms()).summary.lag_p99_ms, 1.0);
}
