//! Estimate of the tokens that a member needs, from its recent requests.

use juniperladder::Micros;

/// The time constant of the exponential average of the demand.
const AVERAGING_TIME: Micros = Micros::from_millis(1_500);
/// The ratio of wanted tokens to the average demand; the demand varies around its average.
const HEADROOM_FACTOR: f64 = 1.05;
/// Added to a number of tokens before it is rounded down, so that 0.7 of a token counts as one.
const ROUNDING_TOKENS: f64 = 0.3;

/// An exponentially decaying average of the rate of requests that needed a token.
#[derive(Debug)]
pub(super) struct DemandEstimate {
    /// The rate in requests per microsecond, at `updated`.
    rate: f64,
    updated: Micros,
}

impl DemandEstimate {
    /// Creates an estimate without demand.
    pub(super) fn new(now: Micros) -> DemandEstimate {
        DemandEstimate { rate: 0.0, updated: now }
    }

    /// Adds a request that needs a token.
    pub(super) fn add_request(&mut self, now: Micros) {
        self.decay(now);
        self.rate += 1.0 / AVERAGING_TIME.as_f64();
    }

    /// Decays the average to this time.
    pub(super) fn decay(&mut self, now: Micros) {
        let elapsed = now - self.updated;
        self.rate *= (-elapsed.as_f64() / AVERAGING_TIME.as_f64()).exp();
        self.updated = now;
    }

    /// The number of tokens for this demand, where a token permits one request in each `token_time`.
    pub(super) fn tokens(&self, token_time: Micros) -> u32 {
        (self.rate * token_time.as_f64() * HEADROOM_FACTOR + ROUNDING_TOKENS) as u32
    }
}
