//! Tests of `replay`.

use super::*;

#[test]
fn unevenness_is_that_of_the_windows() {
    let begin = |ms, server| Begin { ms, server, key: 1 };
    let begins: Vec<Begin> = (0..40).map(|n| begin(f64::from(n) * 250.0, usize::from(n % 4 == 0))).collect();
    let windows = windows(&begins, 10.0);
    assert_eq!(windows.iter().map(Vec::len).collect::<Vec<_>>(), [20, 20]);
    assert_eq!(unevenness(&windows, 2, |begin| Some(begin.server)), (1.5, 0.5));
    let mut bounded = Bounded::default();
    let homes = Homes::new(4);
    let (peak, _) = unevenness(&windows, 4, |begin| bounded.deal(begin, 4, &homes));
    assert!(peak <= 2.0, "one key has to leave its home, which alone would have four times the mean: {peak}");
}
