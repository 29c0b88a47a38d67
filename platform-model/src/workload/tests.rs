//! Arrivals drawn from an experiment.

use super::*;
use crate::reader::{read, tests::VALID_EXPERIMENT};

fn drawn(more: &str) -> Vec<Arrival> {
    draw_arrivals(&read(&format!("{VALID_EXPERIMENT}{more}"), &[]).unwrap())
}

#[test]
fn load_is_as_the_file_says_and_the_same_for_a_seed() {
    let all = drawn("writes = 0.1\nuneven = { share = 0.8, at = 0.2 }\nhot = [{ at = 20.0, share = 0.5 }]\n");
    let again =
        drawn("writes = 0.1\nuneven = { share = 0.8, at = 0.2 }\nhot = [{ at = 20.0, share = 0.5 }]\n");
    assert_eq!(all, again);
    let part = |of: &dyn Fn(&&Arrival) -> bool| all.iter().filter(of).count() as f64 / all.len() as f64;
    assert!((all.len() as f64 / 4800.0 - 1.0).abs() < 0.1, "{}", all.len());
    assert!((part(&|a| a.write) - 0.1).abs() < 0.03);
    assert!((part(&|a| a.balancer < 2) - 0.8).abs() < 0.03);
    let hot = all.iter().filter(|a| a.key == 200).count() as f64;
    let late = all.iter().filter(|a| a.at >= 28 * MICROS_PER_SECOND).count() as f64;
    assert!(
        (hot / late - 0.5).abs() < 0.05 && all.iter().all(|a| a.key != 200 || a.at >= 28 * MICROS_PER_SECOND)
    );
    let first = all.iter().filter(|a| a.key == 0).count();
    let tenth = all.iter().filter(|a| a.key == 9).count();
    assert!(first > 3 * tenth, "Zipf: {first} and {tenth}");
}

#[test]
fn bursts_and_ramps_change_the_rate_at_their_times() {
    let all = drawn("burst = [{ at = 10, for = 5, times = 3 }]\nramp = 2.0\n");
    let rate = |from: u64, to: u64| {
        let within = |a: &&Arrival| (from * MICROS_PER_SECOND..to * MICROS_PER_SECOND).contains(&a.at);
        all.iter().filter(within).count() as f64 / (to - from) as f64
    };
    assert!((rate(0, 8) / 100.0 - 1.0).abs() < 0.15, "no ramp during the warm-up");
    assert!((rate(18, 23) / (100.0 * 3.0 * 1.31) - 1.0).abs() < 0.15, "{}", rate(18, 23));
    assert!((rate(42, 48) / 192.0 - 1.0).abs() < 0.15);
}
