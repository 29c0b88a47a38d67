//! Percentiles by the nearest-rank method.

use crate::Micros;

/// The value at this share of the sorted values; 0 without values.
pub fn percentile(values: &mut [Micros], share: f64) -> Micros {
    values.sort_unstable();
    at_share(values, share)
}

/// The value at this share of the sorted values, for fractional numbers; 0 without values.
pub fn quantile(values: &mut [f64], share: f64) -> f64 {
    values.sort_unstable_by(f64::total_cmp);
    at_share(values, share)
}

fn at_share<T: Copy + Default>(sorted: &[T], share: f64) -> T {
    let rank = ((sorted.len() as f64 * share).ceil() as usize).clamp(1, sorted.len().max(1));
    sorted.get(rank - 1).copied().unwrap_or_default()
}
