//! Guards against noise that is reported as a difference, and differences reported as noise.

use super::*;

#[test]
fn difference_is_judged_noise_unless_its_interval_leaves_out_zero() {
    let paired_figure = |pairs: &[(f64, f64)]| PairedFigure::of_pairs(pairs).unwrap();
    assert_eq!(paired_figure(&[(1.0, 2.0), (1.1, 2.0), (0.9, 2.1), (1.0, 2.2)]).judgement(), Judgement::More);
    assert_eq!(paired_figure(&[(2.0, 1.0), (2.0, 1.1), (2.1, 0.9)]).judgement(), Judgement::Less);
    assert_eq!(paired_figure(&[(1.0, 1.3), (1.0, 0.8), (1.0, 1.1), (1.0, 0.9)]).judgement(), Judgement::Noise);
    assert_eq!(paired_figure(&[(1.0, 1.0), (2.0, 2.0), (3.0, 3.0)]).judgement(), Judgement::Same);
    assert_eq!(paired_figure(&[(1.0, 9.0), (1.0, 9.0)]).judgement(), Judgement::TooFewPairs);
    assert_eq!(PairedFigure::of_pairs(&[]), None);
}
