//! What operators see of a balancer's side of the cluster.

use crate::failure_detector::FailureDetectorMetrics;
use crate::membership::MemberCounts;
use crate::rate_limit::RateLimitMetrics;
use crate::retry_budget::RetryBudgetMetrics;
use crate::slow_start_limit::SlowStartMetrics;

/// Packets and their bytes since the process started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PacketCounts {
    /// How many packets.
    pub packets: u64,
    /// How many bytes in all of them.
    pub bytes: u64,
}

impl PacketCounts {
    pub(super) fn add(&mut self, packet: &[u8]) {
        self.packets += 1;
        self.bytes += packet.len() as u64;
    }
}

/// The metrics of a rate limit and its name.
#[derive(Clone, Debug, PartialEq)]
pub struct NamedRateLimitMetrics {
    /// The name.
    pub name: String,
    /// The metrics.
    pub metrics: RateLimitMetrics,
}

/// What operators see of a balancer's side of the cluster.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ClusterMetrics {
    /// Members by state.
    pub members: MemberCounts,
    /// The rate limits, in the order of the configuration.
    pub rate_limits: Vec<NamedRateLimitMetrics>,
    /// The limits of servers in slow start.
    pub slow_start: Option<SlowStartMetrics>,
    /// The retry budget.
    pub retry_budget: Option<RetryBudgetMetrics>,
    /// The failure detector.
    pub failure_detector: Option<FailureDetectorMetrics>,
    /// Packets out.
    pub sent: PacketCounts,
    /// Packets in.
    pub received: PacketCounts,
    /// Packets in that were malformed, of another version, or from no member.
    pub dropped_packets: u64,
    /// Messages in whose sender has other terms: another configuration is in force there.
    pub terms_mismatches: u64,
}
