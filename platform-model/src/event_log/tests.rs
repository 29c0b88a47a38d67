//! Names written to files, and opening and closing of impairment spans.

use super::*;

#[test]
fn results_and_receivers_are_written_by_their_stored_names() {
    let requests = [
        RequestResult::Served,
        RequestResult::WrongValue,
        RequestResult::Rejected,
        RequestResult::Failed,
        RequestResult::NotAccepted,
        RequestResult::ClientLeft,
        RequestResult::NoAnswer,
        RequestResult::ConnectionClosed,
        RequestResult::ConnectionRejected,
    ];
    let names = ["Served", "Wrong", "Refused", "Failed", "Untaken", "Left", "Silent", "Closed", "Shut"];
    assert_eq!(requests.map(|result| result.to_string()), names);
    let attempts = [
        AttemptResult::Served,
        AttemptResult::Miss,
        AttemptResult::Rejected,
        AttemptResult::Failed,
        AttemptResult::NoAnswer,
    ];
    assert_eq!(attempts.map(|result| result.to_string()), ["Served", "Miss", "Busy", "Failed", "Nothing"]);
    assert_eq!([Receiver::CacheServer(3), Receiver::Origin].map(|at| at.to_string()), ["Host(3)", "Origin"]);
}

#[test]
fn open_impairment_is_not_opened_again_and_ends_once() {
    let mut spans = Vec::new();
    EventLog::begin_impairment(&mut spans, 1, Impairment::Silent, 10);
    EventLog::begin_impairment(&mut spans, 1, Impairment::Silent, 20);
    EventLog::begin_impairment(&mut spans, 1, Impairment::Slow, 20);
    EventLog::end_impairment(&mut spans, 1, Impairment::Silent, 30);
    EventLog::end_impairment(&mut spans, 1, Impairment::Silent, 40);
    let span = |impairment, from, to| ImpairedSpan { number: 1, impairment, from, to };
    assert_eq!(spans, [span(Impairment::Silent, 10, Some(30)), span(Impairment::Slow, 20, None)]);
    assert!(spans[0].overlaps(30, 50) && !spans[0].overlaps(31, 50) && spans[1].overlaps(99, 99));
}
