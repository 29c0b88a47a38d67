//! Intervals between rounds, fixed and with backoff.

use super::*;

#[test]
fn round_begins_only_when_an_interval_has_passed_since_the_previous_one() {
    let mut interval = Interval::default();
    assert!(interval.begin_if_due(Micros(1_000), Micros(100)));
    assert!(!interval.begin_if_due(Micros(1_099), Micros(100)));
    assert!(interval.begin_if_due(Micros(1_100), Micros(100)));
}

#[test]
fn backoff_doubles_up_to_the_longest_interval_and_resets() {
    let mut backoff = Backoff::new(Micros(100), Micros(300));
    assert!(backoff.begin_if_due(Micros(1_000)));
    backoff.lengthen();
    assert!(!backoff.begin_if_due(Micros(1_199)) && backoff.begin_if_due(Micros(1_200)));
    for _ in 0..3 {
        backoff.lengthen();
    }
    assert!(!backoff.begin_if_due(Micros(1_499)) && backoff.begin_if_due(Micros(1_500)));
    backoff.reset();
    assert!(!backoff.begin_if_due(Micros(1_599)) && backoff.begin_if_due(Micros(1_600)));
}
