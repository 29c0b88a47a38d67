//! Tests of `compare`.

use super::*;

#[test]
fn a_difference_is_told_only_where_it_is_none_of_chance() {
    let of = |pairs: &[(f64, f64)]| Paired::of(pairs).unwrap();
    assert_eq!(of(&[(1.0, 2.0), (1.1, 2.0), (0.9, 2.1), (1.0, 2.2)]).verdict(), "more");
    assert_eq!(of(&[(2.0, 1.0), (2.0, 1.1), (2.1, 0.9)]).verdict(), "less");
    assert_eq!(of(&[(1.0, 1.3), (1.0, 0.8), (1.0, 1.1), (1.0, 0.9)]).verdict(), "noise");
    assert_eq!(of(&[(1.0, 1.0), (2.0, 2.0), (3.0, 3.0)]).verdict(), "the same");
    assert_eq!(of(&[(1.0, 9.0), (1.0, 9.0)]).verdict(), "too few pairs to tell");
    assert_eq!(Paired::of(&[]), None);
}
