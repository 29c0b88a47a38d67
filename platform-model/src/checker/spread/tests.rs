//! Loads by weight, idle servers and herds.

use super::super::test_log::{attempt, check_config, EventLogBuilder};
use super::*;
use crate::event_log::{ImpairedSpan, Impairment};
use crate::micros_from_seconds;

/// Each window has 100 attempts, distributed by weight (20, 20, 20, 40), except that `moved` attempts go to server 1
/// instead of server 0.
fn log_with_moved_attempts(moved: usize) -> EventLogBuilder {
    let mut builder = EventLogBuilder::default();
    for n in 0..600 {
        let position = n % 100;
        let server = match position % 5 {
            0 if position / 5 < moved => 1,
            3 | 4 => 3,
            other => other as u32,
        };
        builder.event_log.attempts.push(attempt(
            n as u64,
            Receiver::CacheServer(server),
            5.0 + n as f64 * 0.05,
        ));
    }
    builder
}

#[test]
fn loads_are_relative_to_weights() {
    let even = spread(&log_with_moved_attempts(0).event_log, &check_config());
    assert_eq!((even.peak, even.least, even.idle, even.windows), (1.0, 1.0, 0, 6));
    let moved_attempt = spread(&log_with_moved_attempts(1).event_log, &check_config());
    assert_eq!(
        (moved_attempt.peak, moved_attempt.least),
        (1.05, 0.95),
        "one of 20 expected attempts moved from server 0 to server 1"
    );
    assert!(even.fair_peak > 1.1 && even.fair_least < 0.9 && even.fair_peak < 1.6, "{even:?}");
}

#[test]
fn server_without_attempts_is_idle_if_five_were_expected() {
    assert_eq!(spread(&log_with_moved_attempts(20).event_log, &check_config()).idle, 6);
    let mut fewer_attempts = log_with_moved_attempts(20);
    fewer_attempts.event_log.attempts.retain(|attempt| attempt.id % 20 < 5);
    assert_eq!(
        spread(&fewer_attempts.event_log, &check_config()).idle,
        6,
        "five of 25 attempts were expected at server 0"
    );
    fewer_attempts.event_log.attempts.retain(|attempt| attempt.id % 100 != 4);
    assert_eq!(
        spread(&fewer_attempts.event_log, &check_config()).idle,
        0,
        "4.8 of 24 attempts were expected at server 0"
    );
}

#[test]
fn servers_do_not_count_in_windows_in_which_they_are_impaired() {
    let mut builder = log_with_moved_attempts(20);
    builder.event_log.server_impairments.push(ImpairedSpan {
        number: 0,
        impairment: Impairment::SlowStart,
        from: micros_from_seconds(5.0),
        to: Some(micros_from_seconds(34.9)),
    });
    let figures = spread(&builder.event_log, &check_config());
    assert_eq!(figures.idle, 0);
    assert!(
        (figures.peak - 1.6).abs() < 1e-9,
        "server 1, with a weight of 1 of 4, received 40 of 100 attempts: {figures:?}"
    );
    builder.event_log.server_impairments[0].to = Some(micros_from_seconds(29.9));
    assert_eq!(
        spread(&builder.event_log, &check_config()).idle,
        1,
        "server 0 is not impaired in the last window"
    );
}

/// Attempts at one server in the same instant count as a herd; the same number spread over a second does not.
#[test]
fn attempts_at_one_server_in_the_same_instant_are_a_herd() {
    let mut builder = log_with_moved_attempts(0);
    let even = spread(&builder.event_log, &check_config());
    assert!(
        (even.herd - 2.5).abs() < 1e-9,
        "one attempt in 100 ms with 0.4 expected, or two with 0.8: {even:?}"
    );
    for attempt in builder
        .event_log
        .attempts
        .iter_mut()
        .filter(|attempt| attempt.receiver == Receiver::CacheServer(2) && attempt.id < 50)
    {
        attempt.received_at = micros_from_seconds(6.0);
    }
    let herd = spread(&builder.event_log, &check_config());
    assert!((herd.herd - 25.0).abs() < 1e-9, "ten attempts at once with 0.4 expected: {herd:?}");
    assert!(
        herd.herd > 2.0 * herd.fair_herd,
        "fair draws of the same attempts form a herd of half the size or more: {herd:?}"
    );
}
