//! What a real balancer cannot go by in a site's settings. The keys are named as the site writes them.
//!
//! The first problem in the order of the keys below is reported, and nothing is mended.

use std::collections::HashSet;

use juniperladder::Micros;
use thiserror::Error;

use super::{SiteLimits, SiteRules, SiteSettings};

const TIME_REMEDY: &str = "give it as a time in microseconds, over 0";

/// A key that is missing or wrong.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("settings: {key} is missing or wrong; {remedy}")]
pub struct SettingsError {
    /// The key, with those that it stands in.
    pub key: &'static str,
    /// What to do about it.
    pub remedy: &'static str,
}

type Checked = Result<(), SettingsError>;

pub(crate) fn check(settings: &SiteSettings) -> Checked {
    check_classes(settings)?;
    check_tenants(settings)?;
    require("kinds", !settings.kinds.is_empty(), "name the kinds of machine")?;
    require("zones", !settings.zones.is_empty(), "name one zone at least")?;
    check_origin(settings)?;
    require_time("tick", settings.tick_interval)?;
    check_limits(&settings.limits)?;
    check_rules(&settings.rules)
}

fn check_classes(settings: &SiteSettings) -> Checked {
    let classes = &settings.classes;
    require("categories", !classes.is_empty(), "name one class of requests at least")?;
    let names = classes.iter().map(|class| class.name.as_str());
    require("categories[].name", are_nonempty_and_unique(names), "give each class a name of its own")?;
    for class in classes {
        require_time("categories[].aim", class.latency_objective)?;
    }
    for class in classes {
        require_time("categories[].give-up", class.deadline)?;
    }
    Ok(())
}

/// A tenant with an empty name would match requests that name no tenant.
fn check_tenants(settings: &SiteSettings) -> Checked {
    let names = settings.tenants.iter().map(|tenant| tenant.name.as_str());
    require("orgs[].name", are_nonempty_and_unique(names), "give each tenant a name of its own")
}

fn check_origin(settings: &SiteSettings) -> Checked {
    if !settings.cache.is_cache_aside() {
        return Ok(());
    }
    let origin_kind = settings.cache.origin_kind.and_then(|kind| usize::try_from(kind).ok());
    let is_known = origin_kind.is_some_and(|kind| kind < settings.kinds.len());
    require("extra.origin-kind", is_known, "with mode aside, give the origin's place among the kinds, from 0")
}

fn check_limits(limits: &SiteLimits) -> Checked {
    require_time("limits.conn-idle", limits.connection_idle_timeout)?;
    require_time("limits.connect-timeout", limits.connect_timeout)?;
    require("limits.max-attempts", limits.max_attempts > 0, "allow one attempt at least")
}

fn check_rules(rules: &SiteRules) -> Checked {
    require_time("rules.ask-within", rules.discovery_poll_interval)?;
    let is_share = (0.0..=1.0).contains(&rules.slow_start_initial_share);
    require("rules.cold-share", is_share, "give a part from 0 to 1")?;
    require_time("rules.warm-up", rules.slow_start_duration)
}

fn require(key: &'static str, holds: bool, remedy: &'static str) -> Checked {
    if holds {
        Ok(())
    } else {
        Err(SettingsError { key, remedy })
    }
}

fn require_time(key: &'static str, time: Micros) -> Checked {
    require(key, time > Micros::ZERO, TIME_REMEDY)
}

/// Whether none of the names is empty, and none stands twice.
fn are_nonempty_and_unique<'a>(mut names: impl Iterator<Item = &'a str>) -> bool {
    let mut seen = HashSet::new();
    names.all(|name| !name.is_empty() && seen.insert(name))
}
