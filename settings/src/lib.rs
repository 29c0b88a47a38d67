//! The settings of a site. The simulator's first message and a balancer's configuration contain the same object. Both
//! the adapter and the daemon parse it here, so that the decision core gets the same values from both.
//!
//! Each key is mapped to the code's term once, by serde. All times are whole microseconds. A missing key defaults to the
//! most restrictive value, and an unknown word to the safest meaning; [`SiteSettings::check`] reports the first key that
//! is missing or invalid for a real balancer.

mod check;

use juniperladder::{
    CacheMode, Class, DeduplicationScope, Idempotency, Limits, Micros, Rules, Settings, Tenant,
};
use serde::{Deserialize, Deserializer};

pub use check::SettingsError;

/// The settings of a site in their written form.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub struct SiteSettings {
    /// The balancer's own zone, as an index into `zones`.
    #[serde(rename = "az")]
    zone: u32,
    /// Number of balancers of the site.
    balancers: u32,
    /// The request classes, in the order of their numbers.
    #[serde(rename = "categories")]
    pub classes: Vec<ClassSettings>,
    #[serde(rename = "extra")]
    cache: CacheSettings,
    /// The names of the server kinds, in the order of their numbers.
    pub kinds: Vec<String>,
    /// Limits of the site.
    pub limits: SiteLimits,
    /// Discovery mode: with `subscribe` the balancer has to poll for changes, otherwise discovery pushes its lists.
    #[serde(rename = "membership-mode")]
    membership_mode: String,
    /// The tenants, in the order of their numbers; may be empty.
    #[serde(rename = "orgs")]
    pub tenants: Vec<TenantSettings>,
    /// This balancer's index among all balancers, from 0.
    pub position: Option<u32>,
    rules: SiteRules,
    /// Shortest time between two batches of events of the decision core.
    #[serde(rename = "tick", deserialize_with = "micros")]
    min_batch_interval: Micros,
    /// The meaning of the weights in the endpoint list: capacity if `nominal` or `rough`, otherwise they are ignored.
    weights: String,
    /// The names of the zones, in the order of their numbers.
    pub zones: Vec<String>,
}

/// A class of requests.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub struct ClassSettings {
    /// The class's name.
    pub name: String,
    #[serde(rename = "aim", deserialize_with = "micros")]
    latency_objective: Micros,
    /// Addition to the latency objective, as a factor on the expected work.
    #[serde(rename = "aim-stretch")]
    latency_objective_per_work: f64,
    /// `pure` (idempotent), `token` (idempotent with an idempotency key) or anything else (not idempotent).
    #[serde(rename = "effect")]
    idempotency: String,
    /// Total time that a client waits, from its first request on and including its own retries.
    #[serde(rename = "give-up", deserialize_with = "micros")]
    deadline: Micros,
    /// Scope in which servers drop duplicates: `zone`, `cell` or anything else for all servers.
    #[serde(rename = "group")]
    deduplication_scope: String,
    /// Value of a response after the latency objective and within the deadline.
    #[serde(rename = "late-worth")]
    late_priority_weight: f64,
    /// Time during which servers drop duplicates.
    #[serde(rename = "window", deserialize_with = "micros")]
    deduplication_window: Micros,
    /// Value of a response within the latency objective.
    #[serde(rename = "worth")]
    priority_weight: f64,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct CacheSettings {
    /// Cache mode: with `aside` the balancer fetches from the origin, otherwise the cache servers do.
    mode: String,
    /// The origin's kind, as an index into `kinds`.
    #[serde(rename = "origin-kind")]
    origin_kind: Option<i64>,
}

/// Limits of a site.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub struct SiteLimits {
    /// Time after which a server closes an idle connection.
    #[serde(rename = "conn-idle", deserialize_with = "micros")]
    pub connection_idle_timeout: Micros,
    /// Longest time to establish a connection.
    #[serde(rename = "connect-timeout", deserialize_with = "micros")]
    pub connect_timeout: Micros,
    /// Maximum number of attempts per request, including the first.
    #[serde(rename = "max-attempts")]
    max_attempts: u32,
    /// Longest Retry-After delay that a client follows.
    #[serde(rename = "max-retry-after", deserialize_with = "micros")]
    max_retry_after: Micros,
    /// Whether a request may be in flight at two servers at once.
    #[serde(rename = "may-duplicate")]
    may_duplicate: bool,
    /// Whether a rejection may carry a Retry-After delay.
    #[serde(rename = "retry-after")]
    sends_retry_after: bool,
}

/// A tenant.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub struct TenantSettings {
    /// The tenant's name.
    pub name: String,
    /// The tenant's quota in requests per second.
    #[serde(rename = "allowance-per-s")]
    allowance_per_s: f64,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct SiteRules {
    /// Longest time between two polls of discovery.
    #[serde(rename = "ask-within", deserialize_with = "micros")]
    discovery_poll_interval: Micros,
    /// Share of its capacity that a server has at the beginning of slow start.
    #[serde(rename = "cold-share")]
    slow_start_initial_share: f64,
    /// Time from its start after which a server has its full capacity.
    #[serde(rename = "warm-up", deserialize_with = "micros")]
    slow_start_duration: Micros,
    /// How long after the notification of a server's drain or removal new attempts may still be sent to the server.
    #[serde(rename = "drain-grace", deserialize_with = "micros")]
    drain_grace: Micros,
}

fn micros<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Micros, D::Error> {
    u64::deserialize(deserializer).map(Micros)
}

impl SiteSettings {
    /// Converts the settings for the decision core.
    pub fn to_balancer_settings(&self) -> Settings {
        Settings {
            balancers: self.balancers,
            zone: self.zone,
            classes: self.classes.iter().map(ClassSettings::to_balancer_settings).collect(),
            tenants: self.tenants.iter().map(TenantSettings::to_balancer_settings).collect(),
            mode: self.cache.to_balancer_settings(),
            watches_discovery: self.membership_mode == "subscribe",
            has_comparable_weights: matches!(self.weights.as_str(), "nominal" | "rough"),
            min_batch_interval: self.min_batch_interval,
            limits: self.limits.to_balancer_settings(),
            rules: self.rules.to_balancer_settings(),
        }
    }

    /// How long after the notification of a server's drain or removal new attempts may still be sent to the server.
    pub fn drain_grace(&self) -> Micros {
        self.rules.drain_grace
    }

    /// Checks that a real balancer can run with these settings; a misspelt key must not silently become zero.
    ///
    /// # Errors
    /// The first key that is missing or invalid, with a remedy.
    pub fn check(&self) -> Result<(), SettingsError> {
        check::check(self)
    }
}

impl ClassSettings {
    fn to_balancer_settings(&self) -> Class {
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

    fn to_balancer_settings(&self) -> CacheMode {
        let origin_kind = self.origin_kind.and_then(|kind| u32::try_from(kind).ok());
        match origin_kind {
            Some(kind) if self.is_cache_aside() => CacheMode::CacheAside(kind),
            _ => CacheMode::ReadThrough,
        }
    }
}

impl SiteLimits {
    fn to_balancer_settings(&self) -> Limits {
        Limits {
            max_attempts: self.max_attempts,
            max_retry_after: self.max_retry_after,
            sends_retry_after: self.sends_retry_after,
            may_duplicate: self.may_duplicate,
        }
    }
}

impl TenantSettings {
    fn to_balancer_settings(&self) -> Tenant {
        Tenant { allowance_per_s: self.allowance_per_s }
    }
}

impl SiteRules {
    fn to_balancer_settings(&self) -> Rules {
        Rules {
            discovery_poll_interval: self.discovery_poll_interval,
            slow_start_initial_share: self.slow_start_initial_share,
            slow_start_duration: self.slow_start_duration,
        }
    }
}

#[cfg(test)]
mod tests;
