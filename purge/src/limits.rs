//! Bounds of everything that a peer or a publisher can make grow, and the token bucket of publishers.

use crate::Micros;

/// The longest datagram, out and in.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;
/// The longest key: the limit of the protocol that the keys come from.
pub const MAX_KEY_BYTES: usize = 250;
/// Replicas at the most; a version vector of so many fits into a datagram.
pub const MAX_REPLICAS: usize = 16;
/// Members at the most.
pub const MAX_MEMBERS: usize = 4_096;
/// Entries that a log holds unless configured otherwise.
pub const DEFAULT_LOG_ENTRIES: usize = 65_536;
/// Outstanding members that are named; the others are counted.
pub const MAX_NAMED_MEMBERS: usize = 16;
/// Datagrams that wait to be drained.
pub const MAX_OUTBOX: usize = 8_192;
/// Purge events that a member's driver may leave undrained.
pub const MAX_UNDRAINED_EVENTS: usize = 4_096;
/// Room for entries in a datagram: the rest is for the head and the fields beside them.
pub const ENTRIES_BUDGET_BYTES: usize = MAX_DATAGRAM_BYTES - 100;

/// The millionths of a token: what a rate of one a second refills in a microsecond.
const MICRO_TOKENS: u64 = 1_000_000;

/// Admits so many a second, and a burst.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    /// Tokens in millionths.
    micro_tokens: u64,
    rate_per_second: u64,
    burst: u64,
    refilled: Micros,
}

impl TokenBucket {
    /// A full bucket.
    pub fn new(rate_per_second: u32, burst: u32, now: Micros) -> TokenBucket {
        let (rate_per_second, burst) = (u64::from(rate_per_second.max(1)), u64::from(burst.max(1)));
        TokenBucket { micro_tokens: burst * MICRO_TOKENS, rate_per_second, burst, refilled: now }
    }

    /// Takes a token.
    ///
    /// # Errors
    /// The time after which there is one.
    pub fn try_take(&mut self, now: Micros) -> Result<(), Micros> {
        let elapsed = now.saturating_sub(self.refilled);
        self.refilled = self.refilled.max(now);
        let refill = elapsed.0.saturating_mul(self.rate_per_second);
        self.micro_tokens = self.micro_tokens.saturating_add(refill).min(self.burst * MICRO_TOKENS);
        match self.micro_tokens.checked_sub(MICRO_TOKENS) {
            Some(rest) => {
                self.micro_tokens = rest;
                Ok(())
            }
            None => Err(Micros((MICRO_TOKENS - self.micro_tokens).div_ceil(self.rate_per_second))),
        }
    }
}

#[cfg(test)]
mod tests;
