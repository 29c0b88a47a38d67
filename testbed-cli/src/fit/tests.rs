//! Guards against wrong laws: growth found in noise, laws mistaken for each other, and wrong predictions.

use super::*;

const SIZES: [f64; 5] = [125.0, 250.0, 500.0, 1_000.0, 2_000.0];

fn points(cost: impl Fn(f64) -> f64) -> Vec<(f64, f64)> {
    SIZES.iter().map(|size| (*size, cost(*size))).collect()
}

#[test]
fn each_law_is_found_from_its_own_points() {
    for law in Law::ALL {
        let expected = Fit { law, a: 3.0, b: 0.02, residual: 0.0 };
        let fits = fit(&points(|size| expected.cost_at(size))).unwrap();
        assert_eq!(fits[0].law, law);
        assert!((fits[0].a - 3.0).abs() < 1e-6 && fits[0].residual < 1e-6, "{:?}", fits[0]);
        assert!(law == Law::Constant || (fits[0].b - 0.02).abs() < 1e-9);
    }
}

#[test]
fn fit_of_noise_around_a_constant_barely_grows() {
    let mut rng = linear_congruential_rng(7);
    for _ in 0..20 {
        let noise: Vec<f64> = SIZES.iter().map(|_| rng()).collect();
        let points: Vec<_> =
            SIZES.iter().copied().zip(noise.iter().map(|deviation| 100.0 + deviation)).collect();
        let best = fit(&points).unwrap()[0];
        let growth = best.cost_at(2_000.0) - best.cost_at(125.0);
        assert!(growth.abs() < 3.0, "{best:?}");
    }
}

/// Pseudorandom numbers from -1 to 1 of a linear congruential generator.
fn linear_congruential_rng(mut state: u64) -> impl FnMut() -> f64 {
    move || {
        state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (state >> 33) as f64 / (1u64 << 30) as f64 - 1.0
    }
}

#[test]
fn largest_size_is_predicted_from_the_smaller_ones() {
    let linear = predict_largest(&points(|size| 5.0 + 0.1 * size)).unwrap();
    assert_eq!((linear.size, linear.fit.law), (2_000.0, Law::Linear));
    assert!(linear.error().abs() < 1e-6);
    // A cost that jumps at the largest size differs from its prediction.
    let jump = predict_largest(&points(|size| if size < 2_000.0 { size } else { 3.0 * size })).unwrap();
    assert!((jump.error() + 2.0 / 3.0).abs() < 1e-6, "{}", jump.error());
}

#[test]
fn too_few_sizes_and_invalid_numbers_are_rejected() {
    assert_eq!(fit(&[(1.0, 1.0), (2.0, 2.0), (2.0, 3.0)]), Err(FitError::TooFewSizes));
    assert_eq!(fit(&[(1.0, 1.0), (2.0, f64::NAN), (3.0, 3.0)]), Err(FitError::InvalidPoint));
    assert_eq!(fit(&[(0.0, 1.0), (2.0, 2.0), (3.0, 3.0)]), Err(FitError::InvalidPoint));
    assert_eq!(predict_largest(&points(|size| size)[2..]), Err(FitError::TooFewSizes));
}
