//! Bounds on all state that peers or publishers can make grow, and the token bucket that limits publishers.

use crate::Micros;

/// Maximum size of a datagram, sent or received.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;
/// Maximum length of a key, as in the protocol that the keys come from.
pub const MAX_KEY_BYTES: usize = 250;
/// Maximum number of replicas; a version vector with that many positions fits into a datagram.
pub const MAX_REPLICAS: usize = 16;
/// Maximum number of registered members.
pub const MAX_MEMBERS: usize = 4_096;
/// Default capacity of the log.
pub const DEFAULT_LOG_ENTRIES: usize = 65_536;
/// Maximum number of outstanding members that are named; the others are only counted.
pub const MAX_NAMED_MEMBERS: usize = 16;
/// Maximum number of datagrams queued for sending.
pub const MAX_OUTBOX_DATAGRAMS: usize = 8_192;
/// Number of undrained purge events at which a member drops further entries.
pub const MAX_UNDRAINED_EVENTS: usize = 4_096;
/// Space for entries in a datagram; the rest is for the header and the other fields.
pub const MAX_ENTRIES_BYTES: usize = MAX_DATAGRAM_BYTES - 100;

/// Micro-tokens (millionths of a token) per token. A rate of one token per second refills one millionth per microsecond.
const MICRO_TOKENS_PER_TOKEN: u64 = 1_000_000;

/// Token bucket that admits a rate per second and a burst.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    /// Available tokens, in millionths.
    micro_tokens: u64,
    rate_per_second: u64,
    burst: u64,
    last_refill: Micros,
}

impl TokenBucket {
    /// Creates a full bucket.
    pub fn new(rate_per_second: u32, burst: u32, now: Micros) -> TokenBucket {
        let (rate_per_second, burst) = (u64::from(rate_per_second.max(1)), u64::from(burst.max(1)));
        TokenBucket { micro_tokens: burst * MICRO_TOKENS_PER_TOKEN, rate_per_second, burst, last_refill: now }
    }

    /// Takes a token.
    ///
    /// # Errors
    /// If no token is available: the time until one is.
    pub fn try_take(&mut self, now: Micros) -> Result<(), Micros> {
        let elapsed = now.saturating_sub(self.last_refill);
        self.last_refill = self.last_refill.max(now);
        let refill = elapsed.0.saturating_mul(self.rate_per_second);
        self.micro_tokens = self.micro_tokens.saturating_add(refill).min(self.burst * MICRO_TOKENS_PER_TOKEN);
        match self.micro_tokens.checked_sub(MICRO_TOKENS_PER_TOKEN) {
            Some(rest) => {
                self.micro_tokens = rest;
                Ok(())
            }
            None => Err(Micros((MICRO_TOKENS_PER_TOKEN - self.micro_tokens).div_ceil(self.rate_per_second))),
        }
    }
}

#[cfg(test)]
mod tests;
