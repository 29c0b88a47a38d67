//! The settings object of a site. The simulator's first message and a balancer's configuration hold the same
//! one, so the adapter and the real balancer read it here, and the module is told the same by both.
//!
//! Keys that are absent have the value that makes least of them; [`Env::check`] tells which of those a real
//! balancer cannot do without.

use juniperladder::{
    CacheMode, Class, DeduplicationScope, Idempotency, Limits, Micros, Rules, Settings, Tenant,
};
use serde::Deserialize;

/// The settings as they are written; times are in microseconds.
#[derive(Debug, Default, Deserialize)]
#[serde(rename_all = "kebab-case", default)]
pub struct Env {
    az: u32,
    balancers: u32,
    /// The classes of command.
    pub categories: Vec<Category>,
    extra: Extra,
    /// The names of the machine kinds.
    pub kinds: Vec<String>,
    /// What the site permits.
    pub limits: EnvLimits,
    membership_mode: String,
    /// The tenants; a site may name none.
    pub orgs: Vec<Org>,
    /// This instance's place among all, from 0.
    pub position: Option<u32>,
    rules: EnvRules,
    tick: u64,
    weights: String,
    /// The names of the zones.
    pub zones: Vec<String>,
}

/// One class of command.
#[derive(Debug, Default, Deserialize)]
#[serde(rename_all = "kebab-case", default)]
pub struct Category {
    /// Its name.
    pub name: String,
    aim: u64,
    aim_stretch: f64,
    effect: String,
    give_up: u64,
    group: String,
    late_worth: f64,
    window: u64,
    worth: f64,
}

#[derive(Debug, Default, Deserialize)]
#[serde(rename_all = "kebab-case", default)]
struct Extra {
    mode: String,
    origin_kind: Option<i64>,
}

/// What a site permits.
#[derive(Debug, Default, Deserialize)]
#[serde(rename_all = "kebab-case", default)]
pub struct EnvLimits {
    /// How long a host keeps an idle connection.
    pub conn_idle: u64,
    /// How long a connection may take to come up.
    pub connect_timeout: u64,
    max_attempts: u32,
    max_retry_after: u64,
    may_duplicate: bool,
    retry_after: bool,
}

/// A tenant.
#[derive(Debug, Default, Deserialize)]
#[serde(rename_all = "kebab-case", default)]
pub struct Org {
    /// Its name.
    pub name: String,
    allowance_per_s: f64,
}

#[derive(Debug, Default, Deserialize)]
#[serde(rename_all = "kebab-case", default)]
struct EnvRules {
    ask_within: u64,
    cold_share: f64,
    warm_up: u64,
    drain_grace: u64,
}

impl Env {
    /// What the module is told.
    pub fn settings(&self) -> Settings {
        let origin = self.extra.origin_kind.and_then(|kind| u32::try_from(kind).ok());
        Settings {
            balancers: self.balancers,
            zone: self.az,
            classes: self.categories.iter().map(Category::class).collect(),
            tenants: self.orgs.iter().map(|org| Tenant { allowance_per_s: org.allowance_per_s }).collect(),
            mode: match origin {
                Some(kind) if self.extra.mode == "aside" => CacheMode::Aside(kind),
                _ => CacheMode::ReadThrough,
            },
            subscribe: self.membership_mode == "subscribe",
            weighted: matches!(self.weights.as_str(), "nominal" | "rough"),
            tick: Micros(self.tick),
            limits: Limits {
                max_attempts: self.limits.max_attempts,
                max_retry_after: Micros(self.limits.max_retry_after),
                retry_after: self.limits.retry_after,
                may_duplicate: self.limits.may_duplicate,
            },
            rules: Rules {
                discovery_poll_interval: Micros(self.rules.ask_within),
                slow_start_initial_share: self.rules.cold_share,
                slow_start_duration: Micros(self.rules.warm_up),
            },
        }
    }

    /// How long after a host's drain or end was told something new may still go there.
    pub fn drain_grace(&self) -> Micros {
        Micros(self.rules.drain_grace)
    }

    /// Names the first thing that a real balancer cannot go by, and what to do about it: a misspelt key must not become a zero.
    pub fn check(&self) -> Result<(), String> {
        let time = "give it as a time in microseconds, over 0";
        let names = |names: Vec<&str>| {
            let mut own: Vec<&str> = names.iter().copied().filter(|name| !name.is_empty()).collect();
            own.sort_unstable();
            own.dedup();
            own.len() == names.len()
        };
        let (classes, tenants) = (&self.categories, &self.orgs);
        let aside = self.extra.mode == "aside";
        let origin = self.extra.origin_kind.and_then(|kind| usize::try_from(kind).ok());
        let needed = [
            ("categories", !classes.is_empty(), "name one class of requests at least"),
            (
                "categories[].name",
                names(classes.iter().map(|class| class.name.as_str()).collect()),
                "give each class a name of its own",
            ),
            ("categories[].aim", classes.iter().all(|class| class.aim > 0), time),
            ("categories[].give-up", classes.iter().all(|class| class.give_up > 0), time),
            (
                "orgs[].name",
                names(tenants.iter().map(|tenant| tenant.name.as_str()).collect()),
                "give each tenant a name of its own",
            ),
            ("kinds", !self.kinds.is_empty(), "name the kinds of machine"),
            ("zones", !self.zones.is_empty(), "name one zone at least"),
            (
                "extra.origin-kind",
                !aside || origin.is_some_and(|kind| kind < self.kinds.len()),
                "with mode aside, give the origin's place among the kinds, from 0",
            ),
            ("tick", self.tick > 0, time),
            ("limits.conn-idle", self.limits.conn_idle > 0, time),
            ("limits.connect-timeout", self.limits.connect_timeout > 0, time),
            ("limits.max-attempts", self.limits.max_attempts > 0, "allow one attempt at least"),
            ("rules.ask-within", self.rules.ask_within > 0, time),
            ("rules.cold-share", (0.0..=1.0).contains(&self.rules.cold_share), "give a part from 0 to 1"),
            ("rules.warm-up", self.rules.warm_up > 0, time),
        ];
        match needed.iter().find(|(_, there, _)| !there) {
            Some((name, _, remedy)) => Err(format!("settings: {name} is missing or wrong; {remedy}")),
            None => Ok(()),
        }
    }
}

impl Category {
    fn class(&self) -> Class {
        Class {
            latency_objective: Micros(self.aim),
            latency_objective_per_work: self.aim_stretch,
            deadline: Micros(self.give_up),
            idempotency: match self.effect.as_str() {
                "pure" => Idempotency::Idempotent,
                "token" => Idempotency::WithIdempotencyKey,
                _ => Idempotency::NotIdempotent,
            },
            deduplication_scope: match self.group.as_str() {
                "zone" => DeduplicationScope::Zone,
                "cell" => DeduplicationScope::Cell,
                _ => DeduplicationScope::All,
            },
            deduplication_window: Micros(self.window),
            priority_weight: self.worth,
            late_priority_weight: self.late_worth,
        }
    }
}

#[cfg(test)]
mod tests;
