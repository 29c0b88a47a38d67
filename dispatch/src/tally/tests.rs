//! What counts as passed.

use super::*;
use crate::long::long;

#[test]
fn a_value_counts_when_it_has_passed_or_broken_off() {
    let tally = Tally::new(2);
    let [one, two] = [0, 9].map(|class| long(5).0.counted(&tally, class));
    assert_eq!((tally.passing(), tally.ended(Ended::Passed)), (2, vec![0, 0]));
    one.whole();
    drop(one.clone());
    assert_eq!(tally.passing(), 2, "another holds it yet");
    drop((one, two));
    assert_eq!((tally.passing(), tally.ended(Ended::Passed)), (0, vec![1, 0]));
    assert_eq!(tally.ended(Ended::Failed), [0, 1]);
}
