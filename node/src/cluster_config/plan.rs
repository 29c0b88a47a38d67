//! From the operators' file and the settings to the cluster's own configuration of one member.

use std::net::SocketAddr;

use juniperladder::{Micros, Rules, Settings};
use juniperladder_cluster::rate_limit::RateLimitTerms;
use juniperladder_cluster::{budget, cold, verdicts, Plan};
use thiserror::Error;

use super::{ClusterConfig, FailureDetectorConfig, LimitsConfig, RateConfig, RetryBudgetConfig};

/// The name of the origin's limit, on the wire and in the figures.
pub const ORIGIN_LIMIT: &str = "origin";
/// The share of its capacity that a server has at its start where the settings do not say.
const DEFAULT_SLOW_START_INITIAL_SHARE: f64 = 0.05;

/// Neither the file nor the settings give this balancer's position.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("peers.position: the settings name no position; give one here")]
pub struct MissingPosition;

impl ClusterConfig {
    /// The plan for this member. `bound` is the address at which it listens; the position and the number of owners come from
    /// the settings where the file leaves them out. A later `incarnation` has a greater number.
    ///
    /// # Errors
    /// Neither the file nor the settings give the position.
    pub fn plan(
        &self,
        bound: SocketAddr,
        position: Option<u32>,
        settings: &Settings,
        incarnation: u64,
        seed: u64,
    ) -> Result<Plan, MissingPosition> {
        let limits = &self.limits;
        let owners = limits.owners.unwrap_or(settings.balancers).max(1);
        let origin_limit = limits.origin_rate.as_ref().map(|rate| limits.rate_limit(rate, owners));
        let slow_start = limits.slow_start_rate.as_ref();
        let retry_budget = limits.retry_budget.as_ref();
        let failure_detector = self.failure_detector.as_ref();
        Ok(Plan {
            address: self.peers.advertised_address.unwrap_or(bound),
            life: incarnation,
            position: self.peers.position.or(position).ok_or(MissingPosition)?,
            zone: settings.zone,
            seeds: self.peers.seeds.clone(),
            limits: origin_limit.into_iter().map(|terms| (ORIGIN_LIMIT.to_owned(), terms)).collect(),
            cold: slow_start.map(|rate| limits.slow_start(rate, owners, &settings.rules)),
            second: retry_budget.map(|budget| budget.terms(owners)),
            verdicts: failure_detector.map(|config| config.terms(limits.clock_drift)),
            seed,
        })
    }

    /// What is stated for each limit: the most in any second, as a multiple of the rate.
    pub fn stated_bound(&self) -> f64 {
        1.0 + self.limits.arrival_spread_ms as f64 / 1e3
    }
}

impl LimitsConfig {
    fn rate_limit(&self, rate: &RateConfig, owners: u32) -> RateLimitTerms {
        RateLimitTerms {
            requests_per_s: rate.requests_per_s,
            arrival_spread: Micros::from_millis(self.arrival_spread_ms),
            owners,
            lease: Micros::from_millis(self.lease_ms),
            clock_drift: self.clock_drift,
        }
    }

    fn slow_start(&self, rate: &RateConfig, owners: u32, rules: &Rules) -> cold::Terms {
        cold::Terms {
            rate_limit: self.rate_limit(rate, owners),
            share: slow_start_initial_share(rules),
            warm_up: rules.slow_start_duration,
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
    fn terms(&self, owners: u32) -> budget::Terms {
        budget::Terms {
            share: self.retries_per_request,
            saved: self.max_saved_retries * f64::from(owners),
            holders: owners,
        }
    }
}

impl FailureDetectorConfig {
    fn terms(&self, clock_drift: f64) -> verdicts::Terms {
        verdicts::Terms {
            witnesses: self.required_reporters,
            expiry: Micros::from_millis(self.report_expiry_ms),
            most: self.max_suspected_share,
            tries: self.health_checks_per_s,
            drift: clock_drift,
        }
    }
}
