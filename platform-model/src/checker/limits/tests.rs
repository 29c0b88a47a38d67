//! Usage of the fleet-wide limits: what counts in a second, and relative to which limit.

use super::super::test_log::{attempt, check_config, served_read, stated, EventLogBuilder};
use super::super::StatedBounds;
use super::*;
use crate::event_log::ClientRequest;
use crate::micros_from_seconds;

/// An event log with this many evenly spaced fetches in the second from 10 s on; the first `served_of_them` are served.
fn fetches_in_one_second(fetches: usize, served_of_them: usize) -> EventLogBuilder {
    let mut builder = EventLogBuilder::default();
    for n in 0..fetches {
        let at = 10.0 + n as f64 / fetches as f64;
        let result = if n < served_of_them { RequestResult::Served } else { RequestResult::Failed };
        let id = builder.add_request(ClientRequest { result, ..served_read(at) });
        builder.event_log.attempts.push(attempt(id, Receiver::Origin, at));
    }
    builder
}

#[test]
fn peak_is_the_highest_number_of_fetches_in_any_second() {
    let mut builder = fetches_in_one_second(10, 10);
    let at_limit = origin_usage(&builder.event_log, &check_config());
    assert_eq!((at_limit.limit.peak, at_limit.limit.seconds_over, at_limit.limit.usage), (1.0, 0, None));
    // One more fetch near the end of the same second exceeds the limit.
    builder.event_log.attempts.push(attempt(99, Receiver::Origin, 10.95));
    let over_limit = origin_usage(&builder.event_log, &check_config());
    assert_eq!((over_limit.limit.peak, over_limit.limit.seconds_over), (1.1, 1));
    builder.event_log.attempts.last_mut().unwrap().received_at = 11_000_000;
    assert_eq!(origin_usage(&builder.event_log, &check_config()).limit.peak, 1.0);
}

#[test]
fn attempts_in_slow_start_count_relative_to_the_current_capacity() {
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
    let usage = slow_start_usage(&builder.event_log, &check_config());
    assert!((usage.peak - 0.8).abs() < 0.01 && usage.bound.is_none() && usage.limit == 50.0, "{usage:?}");
    let stated = StatedBounds { send_time_spread: 50_000, slow_start_per_s: Some(30.0), ..stated() };
    let limited = CheckConfig { stated: Some(stated), ..check_config() };
    let usage = slow_start_usage(&builder.event_log, &limited);
    assert!((usage.peak - 4.0 / 3.0).abs() < 0.02 && usage.seconds_over == 2, "{usage:?}");
    assert_eq!(usage.bound, Some(1.05));
    builder.event_log.server_impairments = vec![span(Impairment::Slow)];
    assert_eq!(
        slow_start_usage(&builder.event_log, &limited).peak,
        0.0,
        "counted the usage of a server that is not in slow start"
    );
}

#[test]
fn retries_count_relative_to_the_budget_except_after_a_miss() {
    let mut builder = EventLogBuilder::default();
    for n in 0..20 {
        let id = builder.add_request(served_read(10.0 + f64::from(n) / 20.0));
        builder.event_log.attempts.push(attempt(id, Receiver::CacheServer(0), 10.0 + f64::from(n) / 20.0));
        builder.event_log.attempts.push(attempt(id, Receiver::CacheServer(1), 10.1 + f64::from(n) / 20.0));
    }
    let stated =
        StatedBounds { retry_budget: Some(StatedRetryBudget { share: 0.5, saved: 10.0 }), ..stated() };
    let limited = CheckConfig { stated: Some(stated), ..check_config() };
    // Twenty retries in a second against a budget from twenty first attempts: 20 of 0.5 * 20 + 10.
    let usage = retry_usage(&builder.event_log, &limited);
    assert_eq!((usage.bound, usage.seconds_over), (Some(1.0), 0));
    assert!(usage.peak > 0.9 && usage.peak <= 1.0, "{usage:?}");
    let small_budget =
        StatedBounds { retry_budget: Some(StatedRetryBudget { share: 0.1, saved: 4.0 }), ..stated };
    let usage =
        retry_usage(&builder.event_log, &CheckConfig { stated: Some(small_budget), ..check_config() });
    assert!(usage.peak > 3.0 && usage.seconds_over > 0, "{usage:?}");
    builder.event_log.attempts.iter_mut().for_each(|attempt| attempt.result = AttemptResult::Miss);
    assert_eq!(
        retry_usage(&builder.event_log, &limited).peak,
        0.0,
        "counted attempts after a miss as retries"
    );
}

#[test]
fn usage_counts_only_while_demand_exceeds_the_limit() {
    let usage = origin_usage(&fetches_in_one_second(12, 6).event_log, &check_config());
    assert_eq!((usage.limit.usage, usage.figures.useful), (Some(1.2), Some(0.6)));
    let mut rejected = fetches_in_one_second(8, 8);
    for _ in 0..4 {
        rejected.add_request(ClientRequest { result: RequestResult::Rejected, ..served_read(10.5) });
    }
    let usage = origin_usage(&rejected.event_log, &check_config());
    assert_eq!(
        usage.limit.usage,
        Some(0.8),
        "expected rejected reads to count as demand, as all other reads go to the origin"
    );
    assert_eq!(
        origin_usage(&fetches_in_one_second(10, 10).event_log, &check_config()).limit.usage,
        None,
        "reported a usage although demand does not exceed the limit"
    );
}
