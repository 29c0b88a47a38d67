//! Usage of the fleet-wide limits: what counts in a second, and relative to which limit.

use super::super::test_log::{attempt, served, stated, terms, EventLogBuilder};
use super::super::StatedBounds;
use super::*;
use crate::event_log::ClientRequest;
use crate::micros_from_seconds;

/// An event log with this many evenly spaced fetches in the second from 10 s on; the first `served_of_them` are served.
fn builder(fetches: usize, served_of_them: usize) -> EventLogBuilder {
    let mut builder = EventLogBuilder::default();
    for n in 0..fetches {
        let at = 10.0 + n as f64 / fetches as f64;
        let end = if n < served_of_them { RequestResult::Served } else { RequestResult::Failed };
        let id = builder.request(ClientRequest { result: end, ..served(at) });
        builder.event_log.attempts.push(attempt(id, Receiver::Origin, at));
    }
    builder
}

#[test]
fn peak_is_the_most_fetches_in_any_second() {
    let mut builder = builder(10, 10);
    let at_it = origin(&builder.event_log, &terms());
    assert_eq!((at_it.limit.peak, at_it.limit.seconds_over, at_it.limit.usage), (1.0, 0, None));
    // One more fetch near the end of the same second exceeds the limit.
    builder.event_log.attempts.push(attempt(99, Receiver::Origin, 10.95));
    let over = origin(&builder.event_log, &terms());
    assert_eq!((over.limit.peak, over.limit.seconds_over), (1.1, 1));
    builder.event_log.attempts.last_mut().unwrap().received_at = 11_000_000;
    assert_eq!(origin(&builder.event_log, &terms()).limit.peak, 1.0);
}

#[test]
fn sends_in_slow_start_count_against_what_the_server_bears_then() {
    let mut builder = EventLogBuilder::default();
    let span = |impairment| ImpairedSpan {
        number: 1,
        impairment,
        from: micros_from_seconds(10.0),
        to: Some(micros_from_seconds(20.0)),
    };
    builder.event_log.server_impairments = vec![span(Impairment::SlowStart)];
    // A warm server serves 50 requests a second. It starts with 35% and reaches 100% after 6 s: after 3 s it has 67.5%.
    for n in 0..27 {
        builder.event_log.attempts.push(attempt(n, Receiver::CacheServer(1), 12.5 + n as f64 / 52.0));
        builder.event_log.attempts.push(attempt(n, Receiver::CacheServer(2), 12.5 + n as f64 / 52.0));
    }
    let seen = slow_start(&builder.event_log, &terms());
    assert!((seen.peak - 0.8).abs() < 0.01 && seen.bound.is_none() && seen.limit == 50.0, "{seen:?}");
    let stated = StatedBounds { send_time_spread: 50_000, slow_start_per_s: Some(30.0), ..stated() };
    let limited = CheckTerms { stated: Some(stated), ..terms() };
    let seen = slow_start(&builder.event_log, &limited);
    assert!((seen.peak - 4.0 / 3.0).abs() < 0.02 && seen.seconds_over == 2, "{seen:?}");
    assert_eq!(seen.bound, Some(1.05));
    builder.event_log.server_impairments = vec![span(Impairment::Slow)];
    assert_eq!(slow_start(&builder.event_log, &limited).peak, 0.0, "the server is not in slow start");
}

#[test]
fn retries_count_against_first_requests_unless_a_miss_led_to_them() {
    let mut builder = EventLogBuilder::default();
    for n in 0..20 {
        let id = builder.request(served(10.0 + f64::from(n) / 20.0));
        builder.event_log.attempts.push(attempt(id, Receiver::CacheServer(0), 10.0 + f64::from(n) / 20.0));
        builder.event_log.attempts.push(attempt(id, Receiver::CacheServer(1), 10.1 + f64::from(n) / 20.0));
    }
    let stated =
        StatedBounds { retry_budget: Some(StatedRetryBudget { share: 0.5, saved: 10.0 }), ..stated() };
    let limited = CheckTerms { stated: Some(stated), ..terms() };
    // Twenty retries in a second against a budget from twenty first attempts: 20 of 0.5 * 20 + 10.
    let seen = retries(&builder.event_log, &limited);
    assert_eq!((seen.bound, seen.seconds_over), (Some(1.0), 0));
    assert!(seen.peak > 0.9 && seen.peak <= 1.0, "{seen:?}");
    let once = StatedBounds { retry_budget: Some(StatedRetryBudget { share: 0.1, saved: 4.0 }), ..stated };
    let seen = retries(&builder.event_log, &CheckTerms { stated: Some(once), ..terms() });
    assert!(seen.peak > 3.0 && seen.seconds_over > 0, "{seen:?}");
    builder.event_log.attempts.iter_mut().for_each(|a| a.result = AttemptResult::Miss);
    assert_eq!(retries(&builder.event_log, &limited).peak, 0.0, "attempts after a miss are no retries");
}

#[test]
fn use_counts_only_while_demand_is_over_the_limit() {
    let seen = origin(&builder(12, 6).event_log, &terms());
    assert_eq!((seen.limit.usage, seen.figures.useful), (Some(1.2), Some(0.6)));
    let mut refused = builder(8, 8);
    for _ in 0..4 {
        refused.request(ClientRequest { result: RequestResult::Rejected, ..served(10.5) });
    }
    let seen = origin(&refused.event_log, &terms());
    assert_eq!(
        seen.limit.usage,
        Some(0.8),
        "all reads go to the origin here, so the rejected ones count as demand"
    );
    assert_eq!(
        origin(&builder(10, 10).event_log, &terms()).limit.usage,
        None,
        "demand does not exceed the limit"
    );
}
