//! Fits a cost to fleet sizes by least squares: finds the growth law that describes the cost best, and predicts the cost of a
//! size that was left out of the fit. Does no I/O.

#[cfg(test)]
mod tests;

/// How a cost grows with the number of members `n`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Law {
    /// `a`: no growth.
    Constant,
    /// `a + b log2 n`.
    Logarithmic,
    /// `a + b n`.
    Linear,
    /// `a + b n log2 n`.
    Linearithmic,
    /// `a + b n²`.
    Quadratic,
}

impl Law {
    /// All laws, slowest growth first.
    pub const ALL: [Law; 5] =
        [Law::Constant, Law::Logarithmic, Law::Linear, Law::Linearithmic, Law::Quadratic];

    /// The formula of the law, as printed.
    pub fn name(self) -> &'static str {
        match self {
            Law::Constant => "a",
            Law::Logarithmic => "a + b log2 n",
            Law::Linear => "a + b n",
            Law::Linearithmic => "a + b n log2 n",
            Law::Quadratic => "a + b n^2",
        }
    }

    /// The term that `b` is multiplied by, at this size.
    fn term(self, size: f64) -> f64 {
        match self {
            Law::Constant => 0.0,
            Law::Logarithmic => size.log2(),
            Law::Linear => size,
            Law::Linearithmic => size * size.log2(),
            Law::Quadratic => size * size,
        }
    }
}

/// A law fitted to points.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fit {
    /// The law.
    pub law: Law,
    /// The constant part.
    pub a: f64,
    /// The factor of the growing term.
    pub b: f64,
    /// The root mean square difference from the points.
    pub residual: f64,
}

impl Fit {
    /// The fitted cost at a size.
    pub fn cost_at(&self, size: f64) -> f64 {
        self.a + self.b * self.law.term(size)
    }
}

/// A prediction of the cost of the largest size from the smaller sizes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Prediction {
    /// The best fit of the smaller sizes.
    pub fit: Fit,
    /// The largest size.
    pub size: f64,
    /// The cost of the largest size by that fit.
    pub predicted: f64,
    /// The measured cost of the largest size.
    pub measured: f64,
}

impl Prediction {
    /// The error of the prediction, relative to the measured cost.
    pub fn error(&self) -> f64 {
        (self.predicted - self.measured) / self.measured.abs().max(f64::MIN_POSITIVE)
    }
}

/// Why no law can be fitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FitError {
    /// Fewer than three different sizes: a law with two coefficients fits any two points exactly.
    #[error("cannot fit: at least three different sizes are needed")]
    TooFewSizes,
    /// A size below 1, or a size or cost that is not finite.
    #[error("cannot fit: sizes must be at least 1, and sizes and costs finite numbers")]
    InvalidPoint,
}

/// Share of the constant's residual below which the residual of a growing law must be for the cost to count as growing.
const GROWTH_RESIDUAL_RATIO: f64 = 0.5;
/// Share of the largest cost below which a residual is a rounding error.
const ROUNDING_SHARE: f64 = 1e-9;

/// Fits one law to (size, cost) points.
pub fn fit_law(law: Law, points: &[(f64, f64)]) -> Fit {
    let count = points.len().max(1) as f64;
    let mean_x = points.iter().map(|(size, _)| law.term(*size)).sum::<f64>() / count;
    let mean_y = points.iter().map(|(_, cost)| cost).sum::<f64>() / count;
    let covariance: f64 =
        points.iter().map(|(size, cost)| (law.term(*size) - mean_x) * (cost - mean_y)).sum();
    let variance: f64 = points.iter().map(|(size, _)| (law.term(*size) - mean_x).powi(2)).sum();
    let b = if variance > 0.0 { covariance / variance } else { 0.0 };
    let mut fit = Fit { law, a: mean_y - b * mean_x, b, residual: 0.0 };
    let squares: f64 = points.iter().map(|(size, cost)| (fit.cost_at(*size) - cost).powi(2)).sum();
    fit.residual = (squares / count).sqrt();
    fit
}

/// Fits all laws and orders them by residual, best first. The constant ranks first unless the residual of a growing law is
/// less than half of the constant's.
///
/// # Errors
/// If there are fewer than three sizes, or invalid sizes or costs.
pub fn fit(points: &[(f64, f64)]) -> Result<Vec<Fit>, FitError> {
    if points.iter().any(|(size, cost)| !size.is_finite() || *size < 1.0 || !cost.is_finite()) {
        return Err(FitError::InvalidPoint);
    }
    let mut sizes: Vec<f64> = points.iter().map(|(size, _)| *size).collect();
    sizes.sort_by(f64::total_cmp);
    sizes.dedup();
    if sizes.len() < 3 {
        return Err(FitError::TooFewSizes);
    }
    // Residuals that are mere rounding errors rank as equal, and the stable sort keeps the slower growth first.
    let rounding_residual = points.iter().map(|(_, cost)| cost.abs()).fold(0.0, f64::max) * ROUNDING_SHARE;
    let rank = |fit: &Fit| match fit.law {
        Law::Constant => (fit.residual * GROWTH_RESIDUAL_RATIO).max(rounding_residual),
        _ => fit.residual.max(rounding_residual),
    };
    let mut fits: Vec<Fit> = Law::ALL.iter().map(|law| fit_law(*law, points)).collect();
    fits.sort_by(|first, second| rank(first).total_cmp(&rank(second)));
    Ok(fits)
}

/// Fits the smaller sizes, and predicts the cost of the largest size to compare it with the measured cost.
///
/// # Errors
/// If the smaller sizes are too few for a fit, or one of their sizes or costs is invalid.
pub fn predict_largest(points: &[(f64, f64)]) -> Result<Prediction, FitError> {
    let size = points.iter().map(|(size, _)| *size).fold(f64::NEG_INFINITY, f64::max);
    let (largest, smaller): (Vec<_>, Vec<_>) =
        points.iter().copied().partition(|(point_size, _)| *point_size == size);
    let best = fit(&smaller)?[0];
    let measured = largest.iter().map(|(_, cost)| cost).sum::<f64>() / largest.len().max(1) as f64;
    Ok(Prediction { fit: best, size, predicted: best.cost_at(size), measured })
}
