//! Guards against noise that is reported as a difference, and differences reported as noise.

use super::*;

#[test]
fn judgement_follows_the_interval_and_needs_three_pairs() {
    let paired_figure = |pairs: &[(f64, f64)]| PairedFigure::of_pairs(pairs).unwrap();
    assert_eq!(paired_figure(&[(1.0, 2.0), (1.1, 2.0), (0.9, 2.1), (1.0, 2.2)]).judgement(), Judgement::More);
    assert_eq!(paired_figure(&[(2.0, 1.0), (2.0, 1.1), (2.1, 0.9)]).judgement(), Judgement::Less);
    assert_eq!(
        paired_figure(&[(1.0, 1.3), (1.0, 0.8), (1.0, 1.1), (1.0, 0.9)]).judgement(),
        Judgement::Noise
    );
    assert_eq!(paired_figure(&[(1.0, 1.0), (2.0, 2.0), (3.0, 3.0)]).judgement(), Judgement::Same);
    assert_eq!(paired_figure(&[(1.0, 9.0), (1.0, 9.0)]).judgement(), Judgement::TooFewPairs);
    assert_eq!(PairedFigure::of_pairs(&[]), None);
}
