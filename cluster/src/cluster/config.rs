//! What a balancer's side of the cluster is given at its start.

use std::net::SocketAddr;

use crate::failure_detector::FailureDetectorTerms;
use crate::rate_limit::RateLimitTerms;
use crate::retry_budget::RetryBudgetTerms;
use crate::slow_start_limit::SlowStartTerms;

/// A rate limit and the name by which it is used.
#[derive(Clone, Debug, PartialEq)]
pub struct NamedRateLimit {
    /// The name.
    pub name: String,
    /// The terms.
    pub terms: RateLimitTerms,
}

/// What a balancer's side of the cluster is given at its start.
#[derive(Clone, Debug)]
pub struct ClusterConfig {
    /// The address that others know this balancer by.
    pub address: SocketAddr,
    /// Which process at that address this is; a later one has a greater number.
    pub incarnation: u64,
    /// Its position in the fleet, from 0; no two processes may have the same.
    pub position: u32,
    /// Its zone.
    pub zone: u32,
    /// Members that are called first.
    pub seeds: Vec<SocketAddr>,
    /// The rate limits; their order has to be the same at every member.
    pub rate_limits: Vec<NamedRateLimit>,
    /// The limit on requests to each server in slow start; `None` if they are not limited here.
    pub slow_start: Option<SlowStartTerms>,
    /// The retry budget; none, retries are not limited here.
    pub retry_budget: Option<RetryBudgetTerms>,
    /// The failure detector; none, each balancer goes by its own observations.
    pub failure_detector: Option<FailureDetectorTerms>,
    /// The seed of its random numbers.
    pub random_seed: u64,
}
