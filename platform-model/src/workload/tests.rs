//! Arrivals drawn from an experiment.

use super::*;
use crate::reader::{read, tests::VALID_EXPERIMENT};

fn draw_with(appended: &str) -> Vec<Arrival> {
    draw_arrivals(&read(&format!("{VALID_EXPERIMENT}{appended}"), &[]).unwrap())
}

#[test]
fn arrivals_follow_the_file_and_repeat_for_the_same_seed() {
    let arrivals =
        draw_with("writes = 0.1\nuneven = { share = 0.8, at = 0.2 }\nhot = [{ at = 20.0, share = 0.5 }]\n");
    let repeated =
        draw_with("writes = 0.1\nuneven = { share = 0.8, at = 0.2 }\nhot = [{ at = 20.0, share = 0.5 }]\n");
    assert_eq!(arrivals, repeated);
    let share = |condition: &dyn Fn(&&Arrival) -> bool| {
        arrivals.iter().filter(condition).count() as f64 / arrivals.len() as f64
    };
    assert!((arrivals.len() as f64 / 4800.0 - 1.0).abs() < 0.1, "{}", arrivals.len());
    assert!((share(&|arrival| arrival.write) - 0.1).abs() < 0.03);
    assert!((share(&|arrival| arrival.balancer < 2) - 0.8).abs() < 0.03);
    let hot_arrivals = arrivals.iter().filter(|arrival| arrival.key == 200).count() as f64;
    let after_hot_start =
        arrivals.iter().filter(|arrival| arrival.at >= 28 * MICROS_PER_SECOND).count() as f64;
    assert!(
        (hot_arrivals / after_hot_start - 0.5).abs() < 0.05
            && arrivals.iter().all(|arrival| arrival.key != 200 || arrival.at >= 28 * MICROS_PER_SECOND)
    );
    let most_popular = arrivals.iter().filter(|arrival| arrival.key == 0).count();
    let tenth_most_popular = arrivals.iter().filter(|arrival| arrival.key == 9).count();
    assert!(most_popular > 3 * tenth_most_popular, "Zipf: {most_popular} and {tenth_most_popular}");
}

#[test]
fn bursts_and_ramps_change_the_rate_at_the_given_times() {
    let arrivals = draw_with("burst = [{ at = 10, for = 5, times = 3 }]\nramp = 2.0\n");
    let rate = |from: u64, to: u64| {
        let within =
            |arrival: &&Arrival| (from * MICROS_PER_SECOND..to * MICROS_PER_SECOND).contains(&arrival.at);
        arrivals.iter().filter(within).count() as f64 / (to - from) as f64
    };
    assert!((rate(0, 8) / 100.0 - 1.0).abs() < 0.15, "the rate rises during the warm-up");
    assert!((rate(18, 23) / (100.0 * 3.0 * 1.31) - 1.0).abs() < 0.15, "{}", rate(18, 23));
    assert!((rate(42, 48) / 192.0 - 1.0).abs() < 0.15);
}
