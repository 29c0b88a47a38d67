//! Tests of `origin`.

use super::*;
use crate::rng::{seeded_rng, RngStream};

fn played(rate: u64, seconds: u64, slow: f64) -> (Origin, Vec<Outcome>) {
    let mut origin = Origin::new(Figures { capacity: 100.0, ..Figures::default() });
    let mut rng = seeded_rng(1, RngStream::Machines);
    origin.slow(slow);
    let all = (0..rate * seconds)
        .map(|n| {
            let now = n * MICROS_PER_SECOND / rate;
            origin.begin(now, None, n % 4 == 0, now + MICROS_PER_SECOND, &mut rng)
        })
        .collect();
    (origin, all)
}

fn runs(all: &[Outcome]) -> usize {
    all.iter().filter(|o| matches!(o, Outcome::Runs { .. })).count()
}

#[test]
fn it_runs_what_it_can_and_turns_the_rest_away() {
    assert_eq!(runs(&played(60, 10, 1.0).1), 600);
    let (origin, all) = played(200, 10, 1.0);
    assert!((900..1_200).contains(&runs(&all)), "{}", runs(&all));
    assert!(origin.stops.is_empty() && all.contains(&Outcome::Busy));
    assert!(runs(&played(200, 10, 4.0).1) < 350, "slower, it runs less");
}

#[test]
fn far_too_much_stops_it_and_the_cold_share_is_told() {
    let (origin, all) = played(300, 4, 1.0);
    assert_eq!(origin.stops.len(), 1);
    assert!((origin.stops[0].1 - 0.25).abs() < 0.01 && all.contains(&Outcome::Stopped));
}

#[test]
fn a_repeat_of_a_keyed_write_runs_once() {
    let (mut origin, _) = played(1, 1, 1.0);
    let mut rng = seeded_rng(1, RngStream::Machines);
    let mut write = |now| match origin.begin(now, Some(7), false, now + MICROS_PER_SECOND, &mut rng) {
        Outcome::Runs { repeat, .. } => repeat,
        other => panic!("{other:?}"),
    };
    assert_eq!([write(0), write(MICROS_PER_SECOND), write(7 * MICROS_PER_SECOND)], [false, true, false]);
}
