//! The experiment file, in the format described in `docs/operate/testbed.md`. An unknown field is an error.
//!
//! [`read`](crate::reader::read) parses a file and checks it before anything is started. It returns errors as
//! [`FileProblem`]s, which name the line, the field and the valid values.

mod fault;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

pub use fault::{Direction, Fault, FaultKind};

/// An experiment.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// The experiment's name, shown in the report and the comparison.
    pub name: String,
    /// The seed from which the load, the targets of faults and the processes' seeds are derived.
    #[serde(default = "default_seed")]
    pub seed: u64,
    /// Duration of the load in seconds, without startup, warm-up and shutdown.
    pub seconds: f64,
    /// The processes and the servers.
    pub fleet: Fleet,
    /// The requests of the clients.
    pub load: Load,
    /// Deadlines of clients' requests.
    #[serde(default, skip_serializing_if = "DeadlineProfile::is_default")]
    pub deadlines: DeadlineProfile,
    /// How clients react to answers.
    #[serde(default)]
    pub clients: Clients,
    /// Capacity and behaviour of the cache servers.
    #[serde(default, rename = "hosts")]
    pub servers: CacheServers,
    /// The origin.
    #[serde(default)]
    pub origin: Origin,
    /// Discovery.
    #[serde(default)]
    pub discovery: Discovery,
    /// Network latency without faults.
    #[serde(default)]
    pub net: Net,
    /// The faults, with their times.
    #[serde(default)]
    pub fault: Vec<Fault>,
}

/// How long clients wait, and the grace period in which a balancer may still send to a draining server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum DeadlineProfile {
    /// 1.5 s for reads, 3 s for writes; a grace period of 0.5 s.
    #[default]
    Long,
    /// 0.3 s for reads, 1.2 s for writes; a grace period of 0.4 s.
    Short,
}

impl DeadlineProfile {
    /// Whether this is the default, which is not written out, so that files without a profile stay unchanged.
    fn is_default(&self) -> bool {
        *self == DeadlineProfile::default()
    }
}

/// The processes and the servers.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// Number of balancer processes.
    pub balancers: usize,
    /// Number of cache servers, without the origin.
    #[serde(rename = "hosts")]
    pub servers: usize,
    /// Number of zones; processes and servers are assigned to them round robin.
    #[serde(default = "default_zones")]
    pub zones: usize,
    /// The value of `balancers` in the settings, to set a wrong one; by default the real number.
    #[serde(default, rename = "told")]
    pub stated_balancers: Option<usize>,
    /// Cores of the servers, assigned to them round robin.
    #[serde(default = "default_weights")]
    pub weights: Vec<f64>,
    /// Path of the program, relative to the working directory of the testbed.
    #[serde(default = "default_program")]
    pub program: String,
    /// The operator file given to every process. Without it balancers do not exchange messages, as on the platform.
    #[serde(default)]
    pub operator: Option<String>,
}

/// The requests of the clients, drawn in advance and sent independently of the answers (open loop).
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// First requests a second of all clients together, retries excluded.
    pub rate: f64,
    /// Number of keys.
    pub keys: u64,
    /// The exponent of Zipf's law for the popularity of keys; with 0 all keys are equally popular.
    #[serde(default = "default_zipf")]
    pub zipf: f64,
    /// The share of requests that are writes.
    #[serde(default)]
    pub writes: f64,
    /// Sends a share of the load to a share of the balancers.
    #[serde(default)]
    pub uneven: Option<Uneven>,
    /// Additional keys that become hot, each at a time and with a share of all requests.
    #[serde(default)]
    pub hot: Vec<Hot>,
    /// Periods with a higher or lower rate.
    #[serde(default)]
    pub burst: Vec<Burst>,
    /// Ratio of the rate at the end to the rate at the beginning; the rate is linear in between.
    #[serde(default = "default_ramp")]
    pub ramp: f64,
    /// The share of the keys that swap popularity ranks each second.
    #[serde(default)]
    pub drift: f64,
    /// Seconds of load before the experiment's beginning, in which the caches fill. The origin has no capacity limit
    /// in this time, so that the cached keys result from the program's own placement. Only breaches of the rules
    /// count in this time.
    #[serde(rename = "warm", default = "default_warm_up_s")]
    pub warm_up_s: f64,
}

/// An uneven load: a share of the load goes to a share of the balancers.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Uneven {
    /// The share of the load.
    pub share: f64,
    /// The share of the balancers that receive it.
    pub at: f64,
}

/// A key that becomes hot.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Hot {
    /// Start time in seconds.
    pub at: f64,
    /// The key's share of all requests.
    pub share: f64,
}

/// A period with a different rate.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Burst {
    /// Start time in seconds.
    pub at: f64,
    /// Duration in seconds.
    #[serde(rename = "for")]
    pub duration_s: f64,
    /// Factor by which the rate is multiplied.
    #[serde(rename = "times")]
    pub rate_factor: f64,
}

/// How clients react to answers.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Clients {
    /// Maximum number of retries of a client.
    pub retries: u32,
    /// Backoff before the first retry in milliseconds; doubled with each retry.
    pub backoff_ms: f64,
    /// The share of clients that honour Retry-After.
    #[serde(rename = "honour")]
    pub retry_after_share: f64,
    /// The share of first requests whose client disconnects after a tenth of its deadline.
    #[serde(rename = "impatient")]
    pub impatient_share: f64,
}

impl Default for Clients {
    fn default() -> Clients {
        Clients { retries: 2, backoff_ms: 100.0, retry_after_share: 0.9, impatient_share: 0.0 }
    }
}

/// Capacity and behaviour of the cache servers.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
#[schemars(rename = "Hosts")]
pub struct CacheServers {
    /// Mean work of a hit on one core, in milliseconds.
    pub work_ms: f64,
    /// Ratio of a miss's work to a hit's.
    #[serde(rename = "miss")]
    pub miss_work_ratio: f64,
    /// Requests that a server admits for each core, in addition to `queue`.
    #[serde(rename = "slots")]
    pub slots_per_core: usize,
    /// Maximum number of requests that may wait for a core.
    #[serde(rename = "queue")]
    pub max_waiting: usize,
    /// Ratio of the keys that all servers together can cache to all keys.
    #[serde(rename = "keep")]
    pub cached_keys_ratio: f64,
    /// The share of its capacity with which a server begins its slow start.
    #[serde(rename = "cold_from")]
    pub slow_start_initial_share: f64,
    /// Duration of the slow start in seconds.
    #[serde(rename = "cold_s")]
    pub slow_start_s: f64,
    /// A server in slow start collapses when it is sent this multiple of its capacity for a second.
    #[serde(rename = "fall_times")]
    pub collapse_load_factor: f64,
    /// Maximum number of connections of a server.
    pub connections: usize,
    /// Interval between two load reports, in milliseconds.
    pub report_ms: f64,
    /// Maximum relative error of a load report.
    pub report_noise: f64,
}

impl Default for CacheServers {
    fn default() -> CacheServers {
        CacheServers {
            work_ms: 20.0,
            miss_work_ratio: 0.45,
            slots_per_core: 8,
            max_waiting: 200,
            cached_keys_ratio: 3.0,
            slow_start_initial_share: 0.35,
            slow_start_s: 6.0,
            collapse_load_factor: 4.0,
            connections: 2_000,
            report_ms: 300.0,
            report_noise: 0.1,
        }
    }
}

/// The origin.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Origin {
    /// Capacity in fetches a second.
    pub capacity: f64,
    /// Mean time of a fetch in milliseconds.
    pub work_ms: f64,
    /// Maximum time in seconds that a fetch may wait; a fetch that would wait longer is rejected.
    pub queue_s: f64,
    /// Slowdown of each fetch with a full queue, as a share added to its time.
    pub thrash: f64,
    /// The origin stops for three seconds when it is sent this multiple of its capacity for three seconds.
    #[serde(rename = "fall_times")]
    pub stop_load_factor: f64,
}

impl Default for Origin {
    fn default() -> Origin {
        Origin { capacity: 400.0, work_ms: 100.0, queue_s: 1.0, thrash: 0.0, stop_load_factor: 2.5 }
    }
}

/// Discovery.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Discovery {
    /// Calls a second that discovery can answer, one after the other.
    pub calls_per_s: f64,
    /// Maximum time in seconds that a call may wait; a call that would wait longer fails.
    pub timeout_s: f64,
    /// Seconds from a change to its notice.
    pub notice_s: f64,
}

impl Default for Discovery {
    fn default() -> Discovery {
        Discovery { calls_per_s: 500.0, timeout_s: 2.0, notice_s: 0.5 }
    }
}

/// One-way network latencies without faults, added to that of the loopback interface.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Net {
    /// Latency within a zone, in milliseconds.
    pub same_ms: f64,
    /// Latency between zones, in milliseconds.
    pub cross_ms: f64,
}

impl Default for Net {
    fn default() -> Net {
        Net { same_ms: 0.2, cross_ms: 5.0 }
    }
}

/// A problem in an experiment file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FileProblem {
    /// The line number, if known.
    pub line: Option<usize>,
    /// The field's path; empty for a problem of the whole file.
    pub field: String,
    /// What is wrong, and what would be valid.
    pub description: String,
}

impl FileProblem {
    /// A problem of the whole file, without a line or a field.
    pub fn of_file(description: impl std::fmt::Display) -> FileProblem {
        FileProblem { line: None, field: String::new(), description: description.to_string() }
    }
}

impl std::fmt::Display for FileProblem {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        if let Some(line) = self.line {
            write!(f, "line {line}: ")?;
        }
        if !self.field.is_empty() {
            write!(f, "{}: ", self.field)?;
        }
        f.write_str(&self.description)
    }
}

fn default_seed() -> u64 {
    1
}

fn default_zones() -> usize {
    1
}

fn default_weights() -> Vec<f64> {
    vec![1.0]
}

fn default_program() -> String {
    "target/release/juniperladder".into()
}

fn default_warm_up_s() -> f64 {
    8.0
}

fn default_zipf() -> f64 {
    0.9
}

fn default_ramp() -> f64 {
    1.0
}
