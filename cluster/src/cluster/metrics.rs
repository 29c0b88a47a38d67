//! Metrics of one balancer's part of the coordination.

use crate::failure_detector::FailureDetectorMetrics;
use crate::membership::MemberCounts;
use crate::rate_limit::RateLimitMetrics;
use crate::retry_budget::RetryBudgetMetrics;
use crate::slow_start_limit::SlowStartMetrics;

/// Packets and their bytes since the process started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PacketCounts {
    /// The number of packets.
    pub packets: u64,
    /// The total number of bytes in them.
    pub bytes: u64,
}

impl PacketCounts {
    pub(super) fn add(&mut self, packet: &[u8]) {
        self.packets += 1;
        self.bytes += packet.len() as u64;
    }
}

/// The metrics of a rate limit, and its name.
#[derive(Clone, Debug, PartialEq)]
pub struct NamedRateLimitMetrics {
    /// The name in the configuration.
    pub name: String,
    /// The metrics of this member's part of the limit.
    pub metrics: RateLimitMetrics,
}

/// Metrics of one balancer's part of the coordination.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ClusterMetrics {
    /// Numbers of members by state.
    pub members: MemberCounts,
    /// Metrics of the rate limits, in the order of the configuration.
    pub rate_limits: Vec<NamedRateLimitMetrics>,
    /// Metrics of the limits on servers in slow start.
    pub slow_start: Option<SlowStartMetrics>,
    /// Metrics of the retry budget.
    pub retry_budget: Option<RetryBudgetMetrics>,
    /// Metrics of the failure detector.
    pub failure_detector: Option<FailureDetectorMetrics>,
    /// Packets sent.
    pub sent: PacketCounts,
    /// Packets received.
    pub received: PacketCounts,
    /// Received packets that were malformed, of another version, or from an address that is not a member's, and membership
    /// packets that the protocol rejected or could not send.
    pub dropped_packets: u64,
    /// Received messages whose sender has different terms, that is, another configuration.
    pub terms_mismatches: u64,
}
