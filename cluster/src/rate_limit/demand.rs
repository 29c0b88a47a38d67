//! How many tokens a member lately needed.

use juniperladder::Micros;

/// The demand is averaged over about this time.
const AVERAGED_OVER: Micros = Micros::from_millis(1_500);
/// Tokens for each that is needed on average: demand varies about its average.
const HEADROOM_FACTOR: f64 = 1.05;
/// Added before a number of tokens is cut to a whole one, so that seven tenths of a token are one.
const ROUNDING_TOKENS: f64 = 0.3;

/// An average of the requests that needed a token, which falls exponentially with time.
#[derive(Debug)]
pub(super) struct DemandEstimate {
    /// Requests a microsecond, at `updated`.
    rate: f64,
    updated: Micros,
}

impl DemandEstimate {
    /// No demand so far.
    pub(super) fn new(now: Micros) -> DemandEstimate {
        DemandEstimate { rate: 0.0, updated: now }
    }

    /// A request needs a token.
    pub(super) fn add_request(&mut self, now: Micros) {
        self.decay(now);
        self.rate += 1.0 / AVERAGED_OVER.as_f64();
    }

    /// Brings the average to this time.
    pub(super) fn decay(&mut self, now: Micros) {
        let elapsed = now - self.updated;
        self.rate *= (-elapsed.as_f64() / AVERAGED_OVER.as_f64()).exp();
        self.updated = now;
    }

    /// The tokens that serve this demand, each being one request in this time.
    pub(super) fn tokens(&self, token_time: Micros) -> u32 {
        (self.rate * token_time.as_f64() * HEADROOM_FACTOR + ROUNDING_TOKENS) as u32
    }
}
