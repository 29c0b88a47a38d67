//! Metrics of one member's part of a rate limit.

use juniperladder::Micros;

/// Metrics of one member's part of a rate limit. Numbers of tokens are current; the shortage time and the rejections
/// accumulate since the process started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RateLimitMetrics {
    /// The total number of tokens of all members.
    pub total_tokens: u32,
    /// The number of tokens that this member owns.
    pub owned_tokens: u32,
    /// The number of tokens that this member may use.
    pub usable_tokens: u32,
    /// The number of tokens used in the last window.
    pub used_tokens: u32,
    /// The number of own tokens that are leased out, or locked after a lease.
    pub leased_out_tokens: u32,
    /// The number of usable tokens leased from other members.
    pub borrowed_tokens: u32,
    /// The number of tokens that the recent demand needs.
    pub demanded_tokens: u32,
    /// The time since the last message from an owner or borrower; `None` if there was none.
    pub since_contact: Option<Micros>,
    /// The total time with fewer usable tokens than wanted.
    pub shortage_time: Micros,
    /// The number of requests rejected because no token was free.
    pub rejected: u64,
}

impl RateLimitMetrics {
    /// Combines the metrics of two limits: sums, and the time since the latest contact.
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
            shortage_time: self.shortage_time + other.shortage_time,
            rejected: self.rejected + other.rejected,
        }
    }
}
