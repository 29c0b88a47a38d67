//! Settings of a balancer, fixed at its start.

use crate::endpoint::Endpoint;
use crate::time::Micros;

/// Whether a request of a class may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Repeating the request is harmless.
    Idempotent,
    /// The request carries an idempotency key, by which the servers of a [`DeduplicationScope`] drop repeats
    /// during [`Class::deduplication_window`].
    WithIdempotencyKey,
    /// A repeat may take effect a second time.
    NotIdempotent,
}

/// The servers that recognize a repeat by its idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// Every server.
    All,
    /// The servers in one zone.
    Zone,
    /// The servers in one cell.
    Cell,
}

/// A class of requests.
#[derive(Clone, Debug)]
pub struct Class {
    /// Time within which a response has the full priority weight.
    pub latency_objective: Micros,
    /// Addition to the latency objective, as a factor on the expected work.
    pub latency_objective_per_work: f64,
    /// Total time that a client waits, including its own retries.
    pub deadline: Micros,
    /// Whether requests of the class may be repeated.
    pub idempotency: Idempotency,
    /// For requests with an idempotency key: the servers that drop repeats.
    pub deduplication_scope: DeduplicationScope,
    /// For requests with an idempotency key: the time during which repeats are dropped, from the first
    /// attempt on.
    pub deduplication_window: Micros,
    /// Value of a response within the latency objective.
    pub priority_weight: f64,
    /// Value of a response after the latency objective and within the deadline.
    pub late_priority_weight: f64,
}

impl Default for Class {
    /// The class of all requests if the settings have none: not idempotent, with a latency objective and a
    /// deadline of one second.
    fn default() -> Class {
        Class {
            latency_objective: Micros(1_000_000),
            latency_objective_per_work: 0.0,
            deadline: Micros(1_000_000),
            idempotency: Idempotency::NotIdempotent,
            deduplication_scope: DeduplicationScope::All,
            deduplication_window: Micros(0),
            priority_weight: 1.0,
            late_priority_weight: 0.0,
        }
    }
}

/// A tenant of the service.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Quota in requests per second, over all balancers. Not enforced: only the number of tenants is used.
    pub allowance_per_s: f64,
}

/// How cache misses are served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CacheMode {
    /// Read-through: cache servers fetch missing objects themselves.
    ReadThrough,
    /// Cache-aside: the balancer forwards misses and writes to the origin, the endpoint of this kind.
    CacheAside(u32),
}

impl CacheMode {
    /// The kind of the origin's endpoint; `None` if cache servers fetch missing objects themselves.
    pub fn origin_kind(self) -> Option<u32> {
        match self {
            CacheMode::CacheAside(kind) => Some(kind),
            CacheMode::ReadThrough => None,
        }
    }
}

/// Limits that the site sets.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Maximum number of attempts of a request.
    pub max_attempts: u32,
    /// Longest Retry-After that a client follows.
    pub max_retry_after: Micros,
    /// Whether clients receive a Retry-After.
    pub sends_retry_after: bool,
    /// Whether two attempts of one request may be in flight at the same time.
    pub may_duplicate: bool,
}

/// The site's parameters for discovery and slow start.
#[derive(Clone, Debug)]
pub struct Rules {
    /// Longest time between two polls of discovery, if the endpoint list must be polled.
    pub discovery_poll_interval: Micros,
    /// Share of its capacity that a server has when it starts.
    pub slow_start_initial_share: f64,
    /// Time from its start after which a server has its full capacity.
    pub slow_start_duration: Micros,
}

/// Settings of a balancer.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Number of balancers.
    pub balancers: u32,
    /// This balancer's zone.
    pub zone: u32,
    /// Request classes; requests refer to them by index.
    pub classes: Vec<Class>,
    /// Tenants; requests refer to them by index.
    pub tenants: Vec<Tenant>,
    /// How cache misses are served.
    pub mode: CacheMode,
    /// Whether discovery must be watched for changes of the endpoint list, because they are not pushed.
    pub watches_discovery: bool,
    /// Whether the weights in the endpoint list are comparable capacities of the servers.
    pub has_comparable_weights: bool,
    /// Shortest time between two batches of events.
    pub min_batch_interval: Micros,
    /// Limits that the site sets.
    pub limits: Limits,
    /// The site's parameters for discovery and slow start.
    pub rules: Rules,
}

impl Settings {
    /// The class with this index; an index out of range selects the last class. Panics if there is no class,
    /// which [`Settings::sanitized`] prevents.
    pub fn class(&self, index: u32) -> &Class {
        &self.classes[self.class_index(index)]
    }

    /// Index of the class that [`Settings::class`] returns.
    pub(crate) fn class_index(&self, index: u32) -> usize {
        (index as usize).min(self.classes.len() - 1)
    }

    /// Whether the endpoint is the origin.
    pub fn is_origin(&self, endpoint: &Endpoint) -> bool {
        self.mode == CacheMode::CacheAside(endpoint.kind)
    }

    /// Replaces unusable values by the least harmful ones: at least one class and one balancer, and a finite
    /// initial share of slow start.
    pub fn sanitized(mut self) -> Settings {
        if self.classes.is_empty() {
            self.classes.push(Class::default());
        }
        self.balancers = self.balancers.max(1);
        if !self.rules.slow_start_initial_share.is_finite() {
            self.rules.slow_start_initial_share = 0.0;
        }
        self
    }
}
