//! Time until a silent server is avoided, and until it is used again.

use super::super::test_log::{attempt, check_config, EventLogBuilder};
use super::*;
use crate::micros_from_seconds;

fn failure_detection(event_log: &EventLog, config: &CheckConfig) -> FailureDetection {
    super::failure_detection(event_log, config, &super::super::series::series(event_log, config).server_loads)
}

/// An event log in which each of four servers receives ten attempts a second from 5 to 35 s. Server 0 is silent from 10
/// to 20 s. From 10 to 23 s it receives only the given attempts, each a balancer and a time in seconds.
fn silent_server_log(attempts_at_silent_server: &[(u32, f64)]) -> EventLogBuilder {
    let mut builder = EventLogBuilder::default();
    builder.event_log.server_impairments.push(ImpairedSpan {
        number: 0,
        impairment: Impairment::Silent,
        from: micros_from_seconds(10.0),
        to: Some(micros_from_seconds(20.0)),
    });
    for n in 0..1200 {
        builder.event_log.attempts.push(attempt(
            n,
            Receiver::CacheServer(n as u32 % 4),
            5.0 + n as f64 / 40.0,
        ));
    }
    builder.event_log.attempts.retain(|attempt| {
        attempt.receiver != Receiver::CacheServer(0)
            || !(micros_from_seconds(10.0)..micros_from_seconds(23.0)).contains(&attempt.received_at)
    });
    for (balancer, at) in attempts_at_silent_server {
        let result = AttemptResult::NoAnswer;
        builder.event_log.attempts.push(Attempt {
            balancer: *balancer,
            result,
            ..attempt(0, Receiver::CacheServer(0), *at)
        });
    }
    builder
}

#[test]
fn last_attempt_of_each_balancer_is_timed_from_the_silence() {
    let figures =
        failure_detection(&silent_server_log(&[(1, 10.2), (1, 10.5), (2, 12.0)]).event_log, &check_config());
    assert_eq!(
        (figures.spread_p50_ms, figures.spread_p99_ms, figures.lost_sends),
        (Some(500.0), Some(2000.0), 3)
    );
    let mut with_cut_link = silent_server_log(&[]);
    with_cut_link.event_log.undelivered.push(attempt(0, Receiver::CacheServer(1), 12.0));
    assert_eq!(
        failure_detection(&with_cut_link.event_log, &check_config()).lost_sends,
        1,
        "expected an attempt that a cut link did not deliver to count as lost"
    );
    let without_attempts = failure_detection(&silent_server_log(&[]).event_log, &check_config());
    assert_eq!((without_attempts.spread_p50_ms, without_attempts.lost_sends), (None, 0));
}

#[test]
fn avoided_and_used_again_times_follow_from_the_ratio_to_the_fair_share() {
    let figures = failure_detection(&silent_server_log(&[]).event_log, &check_config());
    assert_eq!((figures.avoided_ms, figures.used_again_ms), (Some(0.0), Some(4000.0)));
    let attempts: Vec<(u32, f64)> = (0..3).map(|n| (1, 12.3 + f64::from(n) / 10.0)).collect();
    assert_eq!(
        failure_detection(&silent_server_log(&attempts).event_log, &check_config()).avoided_ms,
        Some(3000.0)
    );
    assert_eq!(
        failure_detection(&silent_server_log(&attempts[..0]).event_log, &check_config()).avoided_ms,
        Some(0.0)
    );
}
