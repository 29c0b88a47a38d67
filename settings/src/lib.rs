//! The settings object of a site. The simulator's first message and a balancer's configuration hold the same one, so that the
//! adapter and the daemon read it here, and the decisions get the same values from both.
//!
//! Each key is mapped to the code's term once, by serde. All times are whole microseconds. A key that is absent has the value
//! that permits least, and a word that is unknown the meaning that is safest; [`SiteSettings::check`] names the first key that a
//! real balancer cannot do without.

mod check;

use juniperladder::{
    CacheMode, Class, DeduplicationScope, Idempotency, Limits, Micros, Rules, Settings, Tenant,
};
use serde::{Deserialize, Deserializer};

pub use check::SettingsError;

/// The settings of a site as they are written.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub struct SiteSettings {
    /// The balancer's own zone, as a place in `zones`.
    #[serde(rename = "az")]
    zone: u32,
    /// How many balancers the site has.
    balancers: u32,
    /// The classes of requests, in the order of their numbers.
    #[serde(rename = "categories")]
    pub classes: Vec<ClassSettings>,
    #[serde(rename = "extra")]
    cache: CacheSettings,
    /// The names of the machine kinds, in the order of their numbers.
    pub kinds: Vec<String>,
    /// What the site permits.
    pub limits: SiteLimits,
    /// `subscribe`: discovery has to be polled for its changes. Otherwise it pushes its lists.
    #[serde(rename = "membership-mode")]
    membership_mode: String,
    /// The tenants, in the order of their numbers; a site may name none.
    #[serde(rename = "orgs")]
    pub tenants: Vec<TenantSettings>,
    /// This balancer's place among all, from 0.
    pub position: Option<u32>,
    rules: SiteRules,
    /// How often the decisions' clock ticks.
    #[serde(rename = "tick", deserialize_with = "micros")]
    tick_interval: Micros,
    /// `nominal` or `rough`: the weights in the endpoint list mean capacity. Otherwise they mean nothing.
    weights: String,
    /// The names of the zones, in the order of their numbers.
    pub zones: Vec<String>,
}

/// One class of requests.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub struct ClassSettings {
    /// Its name.
    pub name: String,
    #[serde(rename = "aim", deserialize_with = "micros")]
    latency_objective: Micros,
    /// What each unit of expected work adds to the objective, in microseconds.
    #[serde(rename = "aim-stretch")]
    latency_objective_per_work: f64,
    /// `pure`, `token` (with an idempotency key) or anything else: not idempotent.
    #[serde(rename = "effect")]
    idempotency: String,
    /// When a client gives up, counted from its request.
    #[serde(rename = "give-up", deserialize_with = "micros")]
    deadline: Micros,
    /// Where repeats are dropped: `zone`, `cell` or anything else: everywhere.
    #[serde(rename = "group")]
    deduplication_scope: String,
    #[serde(rename = "late-worth")]
    late_priority_weight: f64,
    #[serde(rename = "window", deserialize_with = "micros")]
    deduplication_window: Micros,
    #[serde(rename = "worth")]
    priority_weight: f64,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct CacheSettings {
    /// `aside`: the balancer fetches from the origin. Otherwise the cache servers do.
    mode: String,
    /// The origin's place among the kinds.
    #[serde(rename = "origin-kind")]
    origin_kind: Option<i64>,
}

/// What a site permits.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub struct SiteLimits {
    /// How long a server keeps an idle connection.
    #[serde(rename = "conn-idle", deserialize_with = "micros")]
    pub connection_idle_timeout: Micros,
    /// How long a connection may take to be established.
    #[serde(rename = "connect-timeout", deserialize_with = "micros")]
    pub connect_timeout: Micros,
    /// How many attempts a request may have, the first included.
    #[serde(rename = "max-attempts")]
    max_attempts: u32,
    #[serde(rename = "max-retry-after", deserialize_with = "micros")]
    max_retry_after: Micros,
    /// Whether a request may be at two servers at once.
    #[serde(rename = "may-duplicate")]
    may_duplicate: bool,
    /// Whether a rejection may have a Retry-After.
    #[serde(rename = "retry-after")]
    retry_after: bool,
}

/// A tenant.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub struct TenantSettings {
    /// Its name.
    pub name: String,
    /// The requests a second that it is entitled to.
    #[serde(rename = "allowance-per-s")]
    allowance_per_s: f64,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct SiteRules {
    #[serde(rename = "ask-within", deserialize_with = "micros")]
    discovery_poll_interval: Micros,
    /// The share of its capacity that a server has at its start.
    #[serde(rename = "cold-share")]
    slow_start_initial_share: f64,
    #[serde(rename = "warm-up", deserialize_with = "micros")]
    slow_start_duration: Micros,
    /// How long after a drain was notified something new may still go to the server.
    #[serde(rename = "drain-grace", deserialize_with = "micros")]
    drain_grace: Micros,
}

fn micros<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Micros, D::Error> {
    u64::deserialize(deserializer).map(Micros)
}

impl SiteSettings {
    /// The settings in the decisions' terms.
    pub fn to_decisions(&self) -> Settings {
        Settings {
            balancers: self.balancers,
            zone: self.zone,
            classes: self.classes.iter().map(ClassSettings::to_decisions).collect(),
            tenants: self.tenants.iter().map(TenantSettings::to_decisions).collect(),
            mode: self.cache.to_decisions(),
            subscribe: self.membership_mode == "subscribe",
            weighted: matches!(self.weights.as_str(), "nominal" | "rough"),
            tick: self.tick_interval,
            limits: self.limits.to_decisions(),
            rules: self.rules.to_decisions(),
        }
    }

    /// How long after a server's drain or end was notified something new may still go there.
    pub fn drain_grace(&self) -> Micros {
        self.rules.drain_grace
    }

    /// Checks what a real balancer cannot go by; a misspelt key must not become a zero.
    ///
    /// # Errors
    /// The first key that is missing or wrong, with what to do about it.
    pub fn check(&self) -> Result<(), SettingsError> {
        check::check(self)
    }
}

impl ClassSettings {
    fn to_decisions(&self) -> Class {
        Class {
            latency_objective: self.latency_objective,
            latency_objective_per_work: self.latency_objective_per_work,
            deadline: self.deadline,
            idempotency: match self.idempotency.as_str() {
                "pure" => Idempotency::Idempotent,
                "token" => Idempotency::WithIdempotencyKey,
                _ => Idempotency::NotIdempotent,
            },
            deduplication_scope: match self.deduplication_scope.as_str() {
                "zone" => DeduplicationScope::Zone,
                "cell" => DeduplicationScope::Cell,
                _ => DeduplicationScope::All,
            },
            deduplication_window: self.deduplication_window,
            priority_weight: self.priority_weight,
            late_priority_weight: self.late_priority_weight,
        }
    }
}

impl CacheSettings {
    fn is_cache_aside(&self) -> bool {
        self.mode == "aside"
    }

    fn to_decisions(&self) -> CacheMode {
        let origin_kind = self.origin_kind.and_then(|kind| u32::try_from(kind).ok());
        match origin_kind {
            Some(kind) if self.is_cache_aside() => CacheMode::Aside(kind),
            _ => CacheMode::ReadThrough,
        }
    }
}

impl SiteLimits {
    fn to_decisions(&self) -> Limits {
        Limits {
            max_attempts: self.max_attempts,
            max_retry_after: self.max_retry_after,
            retry_after: self.retry_after,
            may_duplicate: self.may_duplicate,
        }
    }
}

impl TenantSettings {
    fn to_decisions(&self) -> Tenant {
        Tenant { allowance_per_s: self.allowance_per_s }
    }
}

impl SiteRules {
    fn to_decisions(&self) -> Rules {
        Rules {
            discovery_poll_interval: self.discovery_poll_interval,
            slow_start_initial_share: self.slow_start_initial_share,
            slow_start_duration: self.slow_start_duration,
        }
    }
}

#[cfg(test)]
mod tests;
