//! The experiment's file: what is run, in the form that `docs/operate/testbed.md` states. An unknown field is an error.
//!
//! [`read`](crate::reader::read) parses a file and checks it; what is wrong comes back as [`FileProblem`]s that name the
//! line, the field and what would be right. Nothing is started before that.

mod fault;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

pub use fault::{Direction, Fault, FaultKind};

/// One experiment.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// Its name, which the report and the comparison show.
    pub name: String,
    /// From it follow the load, the targets of faults and the processes' seeds.
    #[serde(default = "default_seed")]
    pub seed: u64,
    /// Seconds of load; starting and ending come on top.
    pub seconds: f64,
    /// The processes and the servers.
    pub fleet: Fleet,
    /// What clients ask for.
    pub load: Load,
    /// How long clients wait.
    #[serde(default, skip_serializing_if = "DeadlineProfile::is_default")]
    pub deadlines: DeadlineProfile,
    /// What clients do after an answer.
    #[serde(default)]
    pub clients: Clients,
    /// What a cache server can do.
    #[serde(default, rename = "hosts")]
    pub servers: CacheServers,
    /// The origin.
    #[serde(default)]
    pub origin: Origin,
    /// Discovery.
    #[serde(default)]
    pub discovery: Discovery,
    /// The network when nothing is wrong with it.
    #[serde(default)]
    pub net: Net,
    /// What goes wrong, and when.
    #[serde(default)]
    pub fault: Vec<Fault>,
}

/// How long clients wait, and how long a balancer may send to a server that drains.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum DeadlineProfile {
    /// 1.5 s for reads, 3 s for writes; a grace of 0.5 s.
    #[default]
    Long,
    /// 0.3 s for reads, 1.2 s for writes; a grace of 0.4 s.
    Short,
}

impl DeadlineProfile {
    /// Whether it is the one of files that name none, which stay as they were.
    fn is_default(&self) -> bool {
        *self == DeadlineProfile::default()
    }
}

/// The processes and the servers.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// Processes of the program.
    pub balancers: usize,
    /// Cache servers; the origin comes on top.
    #[serde(rename = "hosts")]
    pub servers: usize,
    /// Zones; processes and servers are dealt out to them in turn.
    #[serde(default = "default_zones")]
    pub zones: usize,
    /// `balancers` in the settings, if it is to be wrong; by default the real number.
    #[serde(default, rename = "told")]
    pub stated_balancers: Option<usize>,
    /// Cores of the servers' kinds, in turn.
    #[serde(default = "default_weights")]
    pub weights: Vec<f64>,
    /// The program, from the folder that the testbed is run in.
    #[serde(default = "default_program")]
    pub program: String,
    /// The operators' file given to every process; left out, as on the platform, balancers do not talk.
    #[serde(default)]
    pub operator: Option<String>,
}

/// What clients ask for, drawn ahead and sent whatever the answers (open loop).
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// Requests a second, first requests of all clients together.
    pub rate: f64,
    /// How many keys there are.
    pub keys: u64,
    /// The exponent of Zipf's law for the keys' popularity; 0 makes all alike.
    #[serde(default = "default_zipf")]
    pub zipf: f64,
    /// The share of the requests that write.
    #[serde(default)]
    pub writes: f64,
    /// A share of the load at a share of the balancers.
    #[serde(default)]
    pub uneven: Option<Uneven>,
    /// From each moment on one more key has this share.
    #[serde(default)]
    pub hot: Vec<Hot>,
    /// Times of a higher or lower rate.
    #[serde(default)]
    pub burst: Vec<Burst>,
    /// The rate at the end over the rate at the beginning, linear in between.
    #[serde(default = "default_ramp")]
    pub ramp: f64,
    /// The share of the keys that change places in popularity each second.
    #[serde(default)]
    pub drift: f64,
    /// Seconds of load before the experiment's beginning, in which the caches fill. The origin bears all of it then, so
    /// that what servers keep is what the program's own placement made of the load. Nothing of them counts but breaches.
    #[serde(default = "default_warm_s")]
    pub warm: f64,
}

/// A share of the load at a share of the balancers.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Uneven {
    /// The share of the load.
    pub share: f64,
    /// The share of the balancers that it comes to.
    pub at: f64,
}

/// A key that grows hot.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Hot {
    /// From when on, in seconds.
    pub at: f64,
    /// Its share of all requests.
    pub share: f64,
}

/// A time of another rate.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Burst {
    /// From when on, in seconds.
    pub at: f64,
    /// For how long, in seconds.
    #[serde(rename = "for")]
    pub lasts: f64,
    /// Times the rate.
    pub times: f64,
}

/// What clients do after an answer.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Clients {
    /// How often a client retries at the most.
    pub retries: u32,
    /// The wait before the first retry; doubled with each.
    pub backoff_ms: f64,
    /// The share of clients that honour a Retry-After.
    pub honour: f64,
    /// The share of first requests whose client leaves after a tenth of its time.
    pub impatient: f64,
}

impl Default for Clients {
    fn default() -> Clients {
        Clients { retries: 2, backoff_ms: 100.0, honour: 0.9, impatient: 0.0 }
    }
}

/// What a cache server can do.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
#[schemars(rename = "Hosts")]
pub struct CacheServers {
    /// The mean work of a hit on one core.
    pub work_ms: f64,
    /// A miss's work over a hit's.
    pub miss: f64,
    /// What runs at once on a core before it waits.
    pub slots: usize,
    /// What may wait for a core.
    pub queue: usize,
    /// The keys that all servers together keep, over all keys.
    pub keep: f64,
    /// The part of its capacity that a server starts with.
    pub cold_from: f64,
    /// Seconds until it is warm.
    pub cold_s: f64,
    /// Sent so many times what it can do for a second, a cold server falls over.
    pub fall_times: f64,
    /// The connections that one holds.
    pub connections: usize,
    /// The longest time between two load reports, and their noise.
    pub report_ms: f64,
    /// The share by which a report is off.
    pub report_noise: f64,
}

impl Default for CacheServers {
    fn default() -> CacheServers {
        CacheServers {
            work_ms: 20.0,
            miss: 0.45,
            slots: 8,
            queue: 200,
            keep: 3.0,
            cold_from: 0.35,
            cold_s: 6.0,
            fall_times: 4.0,
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
    /// Fetches a second.
    pub capacity: f64,
    /// The mean time of a fetch.
    pub work_ms: f64,
    /// How long a fetch may wait at the most; beyond it is rejected.
    pub queue_s: f64,
    /// How much slower each fetch is when all the queue is full.
    pub thrash: f64,
    /// Sent so many times its capacity for three seconds, it stops for three seconds.
    pub fall_times: f64,
}

impl Default for Origin {
    fn default() -> Origin {
        Origin { capacity: 400.0, work_ms: 100.0, queue_s: 1.0, thrash: 0.0, fall_times: 2.5 }
    }
}

/// Discovery.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Discovery {
    /// Calls a second that it can answer, in turn.
    pub calls_per_s: f64,
    /// A call that would wait longer fails.
    pub timeout_s: f64,
    /// Seconds from a change to the notice of it.
    pub notice_s: f64,
}

impl Default for Discovery {
    fn default() -> Discovery {
        Discovery { calls_per_s: 500.0, timeout_s: 2.0, notice_s: 0.5 }
    }
}

/// The network when nothing is wrong with it: one way, added to what loopback takes.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Net {
    /// Within a zone.
    pub same_ms: f64,
    /// Between zones.
    pub cross_ms: f64,
}

impl Default for Net {
    fn default() -> Net {
        Net { same_ms: 0.2, cross_ms: 5.0 }
    }
}

/// One thing wrong with a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FileProblem {
    /// The line, where it is known.
    pub line: Option<usize>,
    /// The field.
    pub field: String,
    /// What is wrong and what would be right.
    pub description: String,
}

impl FileProblem {
    /// A problem of the file that has no line and no field.
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

fn default_warm_s() -> f64 {
    8.0
}

fn default_zipf() -> f64 {
    0.9
}

fn default_ramp() -> f64 {
    1.0
}
