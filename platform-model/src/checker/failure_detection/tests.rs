//! Time until a silent server is avoided, and until it is used again.

use super::super::test_log::{attempt, terms, EventLogBuilder};
use super::*;
use crate::micros_from_seconds;

fn failure_detection(event_log: &EventLog, terms: &CheckTerms) -> FailureDetection {
    super::failure_detection(event_log, terms, &super::super::series::series(event_log, terms).server_loads)
}

/// Server 0 is silent from 10 to 20 s; the other three servers receive ten attempts a second each.
fn builder(at_silent: &[(u32, f64)]) -> EventLogBuilder {
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
    builder.event_log.attempts.retain(|a| {
        a.receiver != Receiver::CacheServer(0)
            || !(micros_from_seconds(10.0)..micros_from_seconds(23.0)).contains(&a.received_at)
    });
    for (balancer, at) in at_silent {
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
fn last_send_of_each_balancer_counts_from_the_change() {
    let seen = failure_detection(&builder(&[(1, 10.2), (1, 10.5), (2, 12.0)]).event_log, &terms());
    assert_eq!((seen.spread_p50_ms, seen.spread_p99_ms, seen.lost_sends), (Some(500.0), Some(2000.0), 3));
    let mut cut = builder(&[]);
    cut.event_log.undelivered.push(attempt(0, Receiver::CacheServer(1), 12.0));
    assert_eq!(
        failure_detection(&cut.event_log, &terms()).lost_sends,
        1,
        "an attempt that a cut link did not deliver is lost, too"
    );
    let none = failure_detection(&builder(&[]).event_log, &terms());
    assert_eq!((none.spread_p50_ms, none.lost_sends), (None, 0));
}

#[test]
fn server_is_avoided_and_used_again_by_its_fair_part() {
    let seen = failure_detection(&builder(&[]).event_log, &terms());
    assert_eq!((seen.avoided_ms, seen.used_again_ms), (Some(0.0), Some(4000.0)));
    let sent: Vec<(u32, f64)> = (0..3).map(|n| (1, 12.3 + f64::from(n) / 10.0)).collect();
    assert_eq!(failure_detection(&builder(&sent).event_log, &terms()).avoided_ms, Some(3000.0));
    assert_eq!(failure_detection(&builder(&sent[..0]).event_log, &terms()).avoided_ms, Some(0.0));
}
