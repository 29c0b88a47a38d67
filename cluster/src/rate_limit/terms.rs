//! The terms of a limit, from which its tokens and the times of its leases follow.

use juniperladder::Micros;

/// Added before a number of tokens is cut to a whole one, so that rounding of the product does not cost a token.
const ROUNDING_TOLERANCE: f64 = 1e-9;

/// A limit's terms. They have to be the same at every member; members whose terms differ share nothing.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateLimitTerms {
    /// Requests a second, of all members together.
    pub requests_per_s: u32,
    /// The largest difference between two requests' travel times to the server that counts them.
    pub arrival_spread: Micros,
    /// Among how many positions the tokens are divided.
    pub owners: u32,
    /// How long a lease lasts after it was last requested.
    pub lease_duration: Micros,
    /// By which ratio clocks may run faster or slower than each other.
    pub clock_drift: f64,
}

impl RateLimitTerms {
    /// The tokens that a rate of so many requests a second is divided into.
    pub fn tokens_for_rate(&self, requests_per_s: f64) -> u32 {
        let window = Micros::SECOND + self.arrival_spread;
        (requests_per_s * window.as_f64() / Micros::SECOND.as_f64() + ROUNDING_TOLERANCE) as u32
    }

    /// All tokens.
    pub fn total_tokens(&self) -> u32 {
        self.tokens_for_rate(f64::from(self.requests_per_s))
    }

    /// The tokens that a position owns: over all positions they sum up to the total; a position beyond the owners has none.
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

    /// The window of a token: a second and the spread, by whichever member's clock.
    pub fn window(&self) -> Micros {
        self.lengthened_by_drift(Micros::SECOND + self.arrival_spread)
    }

    /// How long an owner locks tokens that it has leased out, from the receipt of the last request for them.
    pub fn lock_time(&self) -> Micros {
        self.lengthened_by_drift(self.lease_duration) + self.lengthened_by_drift(self.window())
    }

    /// A time after which a span is over by every clock once it began by one.
    fn lengthened_by_drift(&self, span: Micros) -> Micros {
        let lengthened = span.as_f64() * (1.0 + 2.0 * self.clock_drift);
        Micros(lengthened.ceil() as u64)
    }
}
