//! The terms of a rate limit, and the token counts and lease times derived from them.

use juniperladder::Micros;

/// Added to a number of tokens before it is rounded down, so that a rounding error of the product does not lose a token.
const ROUNDING_TOLERANCE: f64 = 1e-9;

/// The terms of a rate limit. They have to be the same at every member; members whose terms differ do not lease tokens to each
/// other.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateLimitTerms {
    /// The maximum number of requests a second by all members together.
    pub requests_per_s: u32,
    /// The largest difference between two requests' travel times to the server that counts them.
    pub arrival_spread: Micros,
    /// The number of positions among which the tokens are divided.
    pub owners: u32,
    /// The duration of a lease, counted from its last request.
    pub lease_duration: Micros,
    /// The maximum ratio by which the clock rates of members differ.
    pub clock_drift: f64,
}

impl RateLimitTerms {
    /// The number of tokens for a rate in requests a second.
    pub fn tokens_for_rate(&self, requests_per_s: f64) -> u32 {
        let window = Micros::SECOND + self.arrival_spread;
        (requests_per_s * window.as_f64() / Micros::SECOND.as_f64() + ROUNDING_TOLERANCE) as u32
    }

    /// The total number of tokens.
    pub fn total_tokens(&self) -> u32 {
        self.tokens_for_rate(f64::from(self.requests_per_s))
    }

    /// The number of tokens that a position owns. The sum over all positions is the total; a position beyond the owners has
    /// none.
    pub fn owned_tokens(&self, position: u32) -> u32 {
        let total = u64::from(self.total_tokens());
        let owners = u64::from(self.owners.max(1));
        let position = u64::from(position);
        if position >= owners {
            return 0;
        }
        let owned_up_to = |position: u64| total * position / owners;
        (owned_up_to(position + 1) - owned_up_to(position)) as u32
    }

    /// The window of a token: a second plus the arrival spread, lengthened to hold by any member's clock.
    pub fn window(&self) -> Micros {
        self.lengthened_by_drift(Micros::SECOND + self.arrival_spread)
    }

    /// How long an owner locks leased tokens, counted from the receipt of the last request for them.
    pub fn lock_time(&self) -> Micros {
        self.lengthened_by_drift(self.lease_duration) + self.lengthened_by_drift(self.window())
    }

    /// The duration by one clock after which `span` has passed by every clock.
    fn lengthened_by_drift(&self, span: Micros) -> Micros {
        let lengthened = span.as_f64() * (1.0 + 2.0 * self.clock_drift);
        Micros(lengthened.ceil() as u64)
    }
}
