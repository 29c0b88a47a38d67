//! The configuration of one balancer's part of the coordination.

use std::net::SocketAddr;

use crate::failure_detector::FailureDetectorTerms;
use crate::rate_limit::RateLimitTerms;
use crate::retry_budget::RetryBudgetTerms;
use crate::slow_start_limit::SlowStartTerms;

/// The terms of a rate limit and its name.
#[derive(Clone, Debug, PartialEq)]
pub struct NamedRateLimit {
    /// The name by which the limit is looked up.
    pub name: String,
    /// The terms, the same at every member.
    pub terms: RateLimitTerms,
}

/// The configuration of one balancer's part of the coordination.
#[derive(Clone, Debug)]
pub struct ClusterConfig {
    /// The address at which other members reach this balancer.
    pub address: SocketAddr,
    /// Identifies the process at that address; a later process has a greater number.
    pub incarnation: u64,
    /// The balancer's position in the fleet, from 0; no two running processes may have the same one.
    pub position: u32,
    /// The balancer's zone.
    pub zone: u32,
    /// Addresses of members to which the balancer announces itself at its start and periodically.
    pub seeds: Vec<SocketAddr>,
    /// The rate limits; their order has to be the same at every member.
    pub rate_limits: Vec<NamedRateLimit>,
    /// The limit on requests to each server in slow start; `None` for no limit.
    pub slow_start: Option<SlowStartTerms>,
    /// The retry budget; `None` for no limit on retries.
    pub retry_budget: Option<RetryBudgetTerms>,
    /// The failure detector; `None` if each balancer relies on its own observations.
    pub failure_detector: Option<FailureDetectorTerms>,
    /// The seed of the balancer's random numbers.
    pub random_seed: u64,
}
