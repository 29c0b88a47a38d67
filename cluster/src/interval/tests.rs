//! Intervals between rounds, fixed and with backoff.

use super::*;

#[test]
fn a_round_is_due_an_interval_after_the_one_before() {
    let mut interval = Interval::default();
    assert!(interval.is_due(Micros(1_000), Micros(100)));
    assert!(!interval.is_due(Micros(1_099), Micros(100)));
    assert!(interval.is_due(Micros(1_100), Micros(100)));
}

#[test]
fn backoff_doubles_up_to_the_longest_interval_and_resets() {
    let mut backoff = Backoff::new(Micros(100), Micros(300));
    assert!(backoff.is_due(Micros(1_000)));
    backoff.lengthen();
    assert!(!backoff.is_due(Micros(1_199)) && backoff.is_due(Micros(1_200)));
    for _ in 0..3 {
        backoff.lengthen();
    }
    assert!(!backoff.is_due(Micros(1_499)) && backoff.is_due(Micros(1_500)));
    backoff.reset();
    assert!(!backoff.is_due(Micros(1_599)) && backoff.is_due(Micros(1_600)));
}
