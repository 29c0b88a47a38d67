//! Executed and rejected requests, and stops of the origin.

use super::*;
use crate::rng::{seeded_rng, RngStream};

fn run_requests(rate: u64, seconds: u64, slowdown: f64) -> (Origin, Vec<Outcome>) {
    let mut origin = Origin::new(OriginModel { capacity: 100.0, ..OriginModel::default() });
    let mut rng = seeded_rng(1, RngStream::ServiceTimes);
    origin.set_slowdown(slowdown);
    let outcomes = (0..rate * seconds)
        .map(|n| {
            let now = n * MICROS_PER_SECOND / rate;
            let request = OriginRequest {
                idempotency_key: None,
                in_slow_start: n % 4 == 0,
                deadline: now + MICROS_PER_SECOND,
            };
            origin.on_request(now, request, &mut rng)
        })
        .collect();
    (origin, outcomes)
}

fn count_executed(outcomes: &[Outcome]) -> usize {
    outcomes.iter().filter(|outcome| matches!(outcome, Outcome::Runs { .. })).count()
}

#[test]
fn requests_beyond_the_capacity_are_rejected() {
    assert_eq!(count_executed(&run_requests(60, 10, 1.0).1), 600);
    let (origin, outcomes) = run_requests(200, 10, 1.0);
    assert!((900..1_200).contains(&count_executed(&outcomes)), "{}", count_executed(&outcomes));
    assert!(origin.stops.is_empty() && outcomes.contains(&Outcome::Rejected));
    assert!(
        count_executed(&run_requests(200, 10, 4.0).1) < 350,
        "expected a slowed origin to run fewer requests"
    );
}

#[test]
fn overload_stops_the_origin_and_records_the_slow_start_share() {
    let (origin, outcomes) = run_requests(300, 4, 1.0);
    assert_eq!(origin.stops.len(), 1);
    assert!((origin.stops[0].1 - 0.25).abs() < 0.01 && outcomes.contains(&Outcome::Stopped));
}

#[test]
fn repeated_write_with_an_idempotency_key_is_executed_once() {
    let (mut origin, _) = run_requests(1, 1, 1.0);
    let mut rng = seeded_rng(1, RngStream::ServiceTimes);
    let mut write = |now| {
        let request = OriginRequest {
            idempotency_key: Some(7),
            in_slow_start: false,
            deadline: now + MICROS_PER_SECOND,
        };
        match origin.on_request(now, request, &mut rng) {
            Outcome::Runs { repeat, .. } => repeat,
            other => panic!("{other:?}"),
        }
    };
    assert_eq!([write(0), write(MICROS_PER_SECOND), write(7 * MICROS_PER_SECOND)], [false, true, false]);
}
