//! What a balancer is configured with once, at its start.

use crate::endpoint::Endpoint;
use crate::time::Micros;

/// What a repeated request of a class may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Repeating it is harmless.
    Idempotent,
    /// It carries an idempotency key: servers of a [`DeduplicationScope`] drop repeats for a while.
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
    /// An answer within this time earns the full priority weight.
    pub latency_objective: Micros,
    /// Factor: latency objective that is added per unit of expected work.
    pub latency_objective_per_work: f64,
    /// How long a client waits in all, its own retries included.
    pub deadline: Micros,
    /// Whether it may be repeated.
    pub idempotency: Idempotency,
    /// For requests with an idempotency key: who drops repeats.
    pub deduplication_scope: DeduplicationScope,
    /// For requests with an idempotency key: how long repeats are dropped, from the first attempt on.
    pub deduplication_window: Micros,
    /// What an answer within the latency objective is worth.
    pub priority_weight: f64,
    /// What an answer after the latency objective, within the deadline, is worth.
    pub late_priority_weight: f64,
}

impl Default for Class {
    /// A class of which nothing is known: never repeated, and answered within a second.
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
    /// Requests per second within its quota, over all balancers. Not enforced: only the number of tenants is
    /// used.
    pub allowance_per_s: f64,
}

/// How cache misses are served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CacheMode {
    /// Read-through: cache servers fetch for themselves.
    ReadThrough,
    /// Cache-aside: the balancer forwards misses and writes to the origin, the endpoint of this kind.
    Aside(u32),
}

impl CacheMode {
    /// The kind of endpoint that is the origin; `None` where cache servers fetch for themselves.
    pub fn origin_kind(self) -> Option<u32> {
        match self {
            CacheMode::Aside(kind) => Some(kind),
            CacheMode::ReadThrough => None,
        }
    }
}

/// What a site permits.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Attempts a request may have in all.
    pub max_attempts: u32,
    /// The longest Retry-After that a client follows.
    pub max_retry_after: Micros,
    /// Whether a Retry-After reaches clients.
    pub retry_after: bool,
    /// Whether two attempts of one request may be in flight together.
    pub may_duplicate: bool,
}

/// The site's terms for discovery and for servers that warm up.
#[derive(Clone, Debug)]
pub struct Rules {
    /// The longest time between two polls of discovery, where the endpoint list must be asked for.
    pub discovery_poll_interval: Micros,
    /// The share of its capacity that a server has when it starts.
    pub slow_start_initial_share: f64,
    /// The time after its start at which a server has its whole capacity.
    pub slow_start_duration: Micros,
}

/// What a balancer is configured with at its start.
#[derive(Clone, Debug)]
pub struct Settings {
    /// How many balancers there are.
    pub balancers: u32,
    /// This balancer's zone.
    pub zone: u32,
    /// The classes, in the order in which requests name them.
    pub classes: Vec<Class>,
    /// The tenants, in the order in which requests name them.
    pub tenants: Vec<Tenant>,
    /// How cache misses are served.
    pub mode: CacheMode,
    /// Whether changes of the endpoint list must be watched for, and are not pushed.
    pub subscribe: bool,
    /// Whether the weights in the endpoint list compare the servers' sizes.
    pub weighted: bool,
    /// The shortest time between two batches of events.
    pub tick: Micros,
    /// What the site permits.
    pub limits: Limits,
    /// The site's terms for discovery and for servers that warm up.
    pub rules: Rules,
}

impl Settings {
    /// The class of this index; an index beyond the settings means the last class. There is at least one: see
    /// [`Settings::sanitized`].
    pub fn class(&self, index: u32) -> &Class {
        &self.classes[self.class_index(index)]
    }

    /// The place of the class that [`Settings::class`] gives.
    pub(crate) fn class_index(&self, index: u32) -> usize {
        (index as usize).min(self.classes.len() - 1)
    }

    /// Whether this is the origin.
    pub fn is_origin(&self, endpoint: &Endpoint) -> bool {
        self.mode == CacheMode::Aside(endpoint.kind)
    }

    /// These settings with unusable values replaced by the least harmful ones: at least one class and one
    /// balancer, and a finite initial share of slow start.
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
