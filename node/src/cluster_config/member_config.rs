//! Derives the configuration of a cluster member from the operators' file and the settings.

use std::net::SocketAddr;

use juniperladder::{Micros, Rules, Settings};
use juniperladder_cluster::failure_detector::FailureDetectorTerms;
use juniperladder_cluster::rate_limit::RateLimitTerms;
use juniperladder_cluster::retry_budget::RetryBudgetTerms;
use juniperladder_cluster::slow_start_limit::SlowStartTerms;
use juniperladder_cluster::{ClusterConfig, NamedRateLimit};
use thiserror::Error;

use super::{ClusterConfigFile, FailureDetectorConfig, LimitsConfig, RateConfig, RetryBudgetConfig};

/// The name of the origin's rate limit, on the wire and in the metrics.
pub const ORIGIN_LIMIT: &str = "origin";
/// The initial share of a server's capacity in slow start, if the settings do not set one.
const DEFAULT_SLOW_START_INITIAL_SHARE: f64 = 0.05;

/// Neither the operators' file nor the settings set this balancer's position.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("peers.position: missing, and the settings have no position; set it in either")]
pub struct MissingPosition;

impl ClusterConfigFile {
    /// The configuration of this member. `bound_address` is the address on which it listens; the position and the number of
    /// owners are taken from the settings if the file does not set them. `incarnation` is greater at each later start.
    ///
    /// # Errors
    /// Neither the file nor the settings set the position.
    pub fn member_config(
        &self,
        bound_address: SocketAddr,
        position: Option<u32>,
        settings: &Settings,
        incarnation: u64,
        seed: u64,
    ) -> Result<ClusterConfig, MissingPosition> {
        let limits = &self.limits;
        let owners = limits.owners.unwrap_or(settings.balancers).max(1);
        let origin_limit = limits.origin_rate.as_ref().map(|rate| NamedRateLimit {
            name: ORIGIN_LIMIT.to_owned(),
            terms: limits.rate_limit(rate, owners),
        });
        let slow_start = limits.slow_start_rate.as_ref();
        let retry_budget = limits.retry_budget.as_ref();
        let failure_detector = self.failure_detector.as_ref();
        Ok(ClusterConfig {
            address: self.peers.advertised_address.unwrap_or(bound_address),
            incarnation,
            position: self.peers.position.or(position).ok_or(MissingPosition)?,
            zone: settings.zone,
            seeds: self.peers.seeds.clone(),
            rate_limits: origin_limit.into_iter().collect(),
            slow_start: slow_start.map(|rate| limits.slow_start(rate, owners, &settings.rules)),
            retry_budget: retry_budget.map(|budget| budget.terms(owners)),
            failure_detector: failure_detector.map(|config| config.terms(limits.clock_drift)),
            random_seed: seed,
        })
    }

    /// The bound that every rate limit guarantees: the maximum number of requests in any second, as a multiple of the
    /// limit's rate.
    pub fn guaranteed_rate_ratio(&self) -> f64 {
        1.0 + self.limits.arrival_spread_ms as f64 / 1e3
    }
}

impl LimitsConfig {
    fn rate_limit(&self, rate: &RateConfig, owners: u32) -> RateLimitTerms {
        RateLimitTerms {
            requests_per_s: rate.requests_per_s,
            arrival_spread: Micros::from_millis(self.arrival_spread_ms),
            owners,
            lease_duration: Micros::from_millis(self.lease_ms),
            clock_drift: self.clock_drift,
        }
    }

    fn slow_start(&self, rate: &RateConfig, owners: u32, rules: &Rules) -> SlowStartTerms {
        SlowStartTerms {
            rate_limit: self.rate_limit(rate, owners),
            initial_share: slow_start_initial_share(rules),
            duration: rules.slow_start_duration,
        }
    }
}

fn slow_start_initial_share(rules: &Rules) -> f64 {
    if rules.slow_start_initial_share > 0.0 {
        rules.slow_start_initial_share.min(1.0)
    } else {
        DEFAULT_SLOW_START_INITIAL_SHARE
    }
}

impl RetryBudgetConfig {
    fn terms(&self, owners: u32) -> RetryBudgetTerms {
        RetryBudgetTerms {
            retries_per_first_attempt: self.retries_per_first_attempt,
            max_saved_credits: self.max_saved_credits * f64::from(owners),
            holders: owners,
        }
    }
}

impl FailureDetectorConfig {
    fn terms(&self, clock_drift: f64) -> FailureDetectorTerms {
        FailureDetectorTerms {
            min_reporters: self.min_reporters,
            report_lifetime: Micros::from_millis(self.report_lifetime_ms),
            max_suspected_share: self.max_suspected_share,
            trials_per_s: self.trials_per_s,
            clock_drift,
        }
    }
}
