//! What operators see of a limit at one member.

use juniperladder::Micros;

/// What operators see of a limit at one member. Tokens are counted now, times and requests since the process started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RateLimitMetrics {
    /// All tokens, of all members.
    pub total_tokens: u32,
    /// Tokens that this member owns.
    pub owned_tokens: u32,
    /// Tokens that it may use.
    pub usable_tokens: u32,
    /// Tokens that it has used in the last window.
    pub used_tokens: u32,
    /// Tokens that it has leased out or that are locked after that.
    pub leased_out_tokens: u32,
    /// Tokens that it has leased from others.
    pub borrowed_tokens: u32,
    /// Tokens that its demand lately needed.
    pub demanded_tokens: u32,
    /// Time since the last message of an owner or borrower; `None` if there was none.
    pub since_contact: Option<Micros>,
    /// Time spent with fewer tokens than were wanted.
    pub short_time: Micros,
    /// Requests that were rejected for want of a token.
    pub rejected: u64,
}

impl RateLimitMetrics {
    /// These and those of another limit in one: sums, and the latest contact.
    pub fn combined_with(&self, other: &RateLimitMetrics) -> RateLimitMetrics {
        RateLimitMetrics {
            total_tokens: self.total_tokens + other.total_tokens,
            owned_tokens: self.owned_tokens + other.owned_tokens,
            usable_tokens: self.usable_tokens + other.usable_tokens,
            used_tokens: self.used_tokens + other.used_tokens,
            leased_out_tokens: self.leased_out_tokens + other.leased_out_tokens,
            borrowed_tokens: self.borrowed_tokens + other.borrowed_tokens,
            demanded_tokens: self.demanded_tokens + other.demanded_tokens,
            since_contact: self.since_contact.into_iter().chain(other.since_contact).min(),
            short_time: self.short_time + other.short_time,
            rejected: self.rejected + other.rejected,
        }
    }
}
