//! Validates a site's settings for a real balancer. Keys are named as in the written settings.
//!
//! Only the first problem, in the order of the checks below, is reported, and no value is corrected.

use std::collections::HashSet;

use juniperladder::Micros;
use thiserror::Error;

use super::{SiteLimits, SiteRules, SiteSettings};

const TIME_REMEDY: &str = "give a time in microseconds, greater than 0";

/// A key that is missing or has an invalid value.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("settings: {key} is missing or wrong; {remedy}")]
pub struct SettingsError {
    /// The path of the key.
    pub key: &'static str,
    /// How to fix the value.
    pub remedy: &'static str,
}

type CheckResult = Result<(), SettingsError>;

pub(crate) fn check(settings: &SiteSettings) -> CheckResult {
    check_classes(settings)?;
    check_tenants(settings)?;
    require("kinds", !settings.kinds.is_empty(), "name at least one server kind")?;
    require("zones", !settings.zones.is_empty(), "name at least one zone")?;
    check_origin(settings)?;
    require_time("tick", settings.min_batch_interval)?;
    check_limits(&settings.limits)?;
    check_rules(&settings.rules)
}

fn check_classes(settings: &SiteSettings) -> CheckResult {
    let classes = &settings.classes;
    require("categories", !classes.is_empty(), "name at least one request class")?;
    let names = classes.iter().map(|class| class.name.as_str());
    require("categories[].name", are_nonempty_and_unique(names), "give each class a unique, non-empty name")?;
    for class in classes {
        require_time("categories[].aim", class.latency_objective)?;
    }
    for class in classes {
        require_time("categories[].give-up", class.deadline)?;
    }
    Ok(())
}

/// Checks that tenants have unique, non-empty names. An empty name would match requests that name no tenant.
fn check_tenants(settings: &SiteSettings) -> CheckResult {
    let names = settings.tenants.iter().map(|tenant| tenant.name.as_str());
    require("orgs[].name", are_nonempty_and_unique(names), "give each tenant a unique, non-empty name")
}

fn check_origin(settings: &SiteSettings) -> CheckResult {
    if !settings.cache.is_cache_aside() {
        return Ok(());
    }
    let origin_kind = settings.cache.origin_kind.and_then(|kind| usize::try_from(kind).ok());
    let is_known = origin_kind.is_some_and(|kind| kind < settings.kinds.len());
    require("extra.origin-kind", is_known, "with mode aside, give the origin's index in kinds, from 0")
}

fn check_limits(limits: &SiteLimits) -> CheckResult {
    require_time("limits.conn-idle", limits.connection_idle_timeout)?;
    require_time("limits.connect-timeout", limits.connect_timeout)?;
    require("limits.max-attempts", limits.max_attempts > 0, "allow one attempt at least")
}

fn check_rules(rules: &SiteRules) -> CheckResult {
    require_time("rules.ask-within", rules.discovery_poll_interval)?;
    let is_share = (0.0..=1.0).contains(&rules.slow_start_initial_share);
    require("rules.cold-share", is_share, "give a share from 0 to 1")?;
    require_time("rules.warm-up", rules.slow_start_duration)
}

fn require(key: &'static str, is_valid: bool, remedy: &'static str) -> CheckResult {
    if is_valid {
        Ok(())
    } else {
        Err(SettingsError { key, remedy })
    }
}

fn require_time(key: &'static str, time: Micros) -> CheckResult {
    require(key, time > Micros::ZERO, TIME_REMEDY)
}

/// Whether all names are non-empty and unique.
fn are_nonempty_and_unique<'a>(mut names: impl Iterator<Item = &'a str>) -> bool {
    let mut seen = HashSet::new();
    names.all(|name| !name.is_empty() && seen.insert(name))
}
