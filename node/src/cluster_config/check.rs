//! Checks the values of the operators' file (`ClusterConfigFile`). Only the first invalid value is reported, in the
//! order of the checks.

use std::fmt::Display;
use std::ops::RangeInclusive;

use juniperladder_cluster::MAX_MEMBERS;

use super::{
    ClusterConfigFile, FailureDetectorConfig, LimitsConfig, PeerConfig, RateConfig, RetryBudgetConfig,
};

const LEASE_MS: RangeInclusive<u64> = 500..=60_000;
const CLOCK_DRIFT: RangeInclusive<f64> = 0.0..=0.05;
const MAX_ARRIVAL_SPREAD_MS: u64 = 1_000;
const REQUESTS_PER_S: RangeInclusive<u32> = 1..=1_000_000;
const RETRIES_PER_FIRST_ATTEMPT: RangeInclusive<f64> = 0.0..=3.0;
const MAX_SAVED_CREDITS_RANGE: RangeInclusive<f64> = 1.0..=1_000.0;
/// At least 2, because the report of a single balancer is not trusted.
const MIN_REPORTERS_RANGE: RangeInclusive<usize> = 2..=16;
const REPORT_LIFETIME_MS: RangeInclusive<u64> = 2_000..=30_000;
const MAX_SUSPECTED_SHARE_RANGE: RangeInclusive<f64> = 0.0..=0.5;
const TRIALS_PER_S: RangeInclusive<f64> = 0.1..=20.0;

/// An invalid value in the operators' file.
pub(super) struct InvalidValue {
    /// The dotted key in the file, preceded by the tables that contain it, such as `limits.origin.per_s`.
    pub(super) key: &'static str,
    /// Describes the valid values, for the error message.
    pub(super) expected: String,
}

type CheckResult = Result<(), InvalidValue>;

pub(super) fn check(config: &ClusterConfigFile) -> CheckResult {
    check_peers(&config.peers)?;
    check_limits(&config.limits)?;
    if let Some(failure_detector) = &config.failure_detector {
        check_failure_detector(failure_detector)?;
    }
    Ok(())
}

fn check_peers(peers: &PeerConfig) -> CheckResult {
    require(!peers.seeds.is_empty(), "peers.seeds", "list at least one member to contact first")?;
    let advertised = peers.advertised_address.unwrap_or(peers.listen_address);
    require(
        !advertised.ip().is_unspecified(),
        "peers.address",
        "other balancers cannot reach 0.0.0.0 or ::; set the address at which they reach this balancer",
    )
}

fn check_limits(limits: &LimitsConfig) -> CheckResult {
    require(
        LEASE_MS.contains(&limits.lease_ms),
        "limits.lease_ms",
        &format!("a lease lasts {} ms", format_range(&LEASE_MS)),
    )?;
    require(
        CLOCK_DRIFT.contains(&limits.clock_drift),
        "limits.drift",
        &format!("a relative difference in clock speed, {}", format_range(&CLOCK_DRIFT)),
    )?;
    let is_in_range = limits.arrival_spread_ms <= MAX_ARRIVAL_SPREAD_MS;
    require(is_in_range, "limits.spread_ms", &format!("at most {MAX_ARRIVAL_SPREAD_MS} ms"))?;
    let is_in_range = limits.owners.is_none_or(|owners| owners > 0 && owners as usize <= MAX_MEMBERS);
    require(is_in_range, "limits.holders", &format!("from 1 to {MAX_MEMBERS}"))?;
    check_rate("limits.origin.per_s", limits.origin_rate.as_ref())?;
    check_rate("limits.cold.per_s", limits.slow_start_rate.as_ref())?;
    limits.retry_budget.as_ref().map_or(Ok(()), check_retry_budget)
}

fn check_rate(key: &'static str, rate: Option<&RateConfig>) -> CheckResult {
    let is_in_range = rate.is_none_or(|rate| REQUESTS_PER_S.contains(&rate.requests_per_s));
    require(is_in_range, key, &format!("{} per second", format_range(&REQUESTS_PER_S)))
}

fn check_retry_budget(budget: &RetryBudgetConfig) -> CheckResult {
    require(
        RETRIES_PER_FIRST_ATTEMPT.contains(&budget.retries_per_first_attempt),
        "limits.second.share",
        &format!("retries per first attempt, {}", format_range(&RETRIES_PER_FIRST_ATTEMPT)),
    )?;
    require(
        MAX_SAVED_CREDITS_RANGE.contains(&budget.max_saved_credits),
        "limits.second.saved",
        &format!("retry credits per balancer, {}", format_range(&MAX_SAVED_CREDITS_RANGE)),
    )
}

fn check_failure_detector(failure_detector: &FailureDetectorConfig) -> CheckResult {
    require(
        MIN_REPORTERS_RANGE.contains(&failure_detector.min_reporters),
        "verdicts.witnesses",
        &format!("{}; a single report is not trusted", format_range(&MIN_REPORTERS_RANGE)),
    )?;
    require(
        REPORT_LIFETIME_MS.contains(&failure_detector.report_lifetime_ms),
        "verdicts.expiry_ms",
        &format!("{} ms", format_range(&REPORT_LIFETIME_MS)),
    )?;
    require(
        MAX_SUSPECTED_SHARE_RANGE.contains(&failure_detector.max_suspected_share),
        "verdicts.most",
        &format!("a share of the servers, {}", format_range(&MAX_SUSPECTED_SHARE_RANGE)),
    )?;
    require(
        TRIALS_PER_S.contains(&failure_detector.trials_per_s),
        "verdicts.tries_per_s",
        &format!("{} per second", format_range(&TRIALS_PER_S)),
    )
}

/// Formats the bounds of a range for an error.
fn format_range<T: Display>(range: &RangeInclusive<T>) -> String {
    format!("from {} to {}", range.start(), range.end())
}

fn require(is_valid: bool, key: &'static str, expected: &str) -> CheckResult {
    if is_valid {
        Ok(())
    } else {
        Err(InvalidValue { key, expected: expected.to_owned() })
    }
}
