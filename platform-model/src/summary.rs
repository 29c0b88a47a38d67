//! `summary.json`: the figures of a run. Names in the file stay the same when a field is renamed here.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// The summary of a run.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Summary {
    /// The experiment's name.
    pub name: String,
    /// The experiment's seed.
    pub seed: u64,
    /// Starts and crashes of balancer processes.
    pub processes: Processes,
    /// Number of requests of clients, retries included.
    #[serde(rename = "commands")]
    pub requests: u64,
    /// Of those, served before their deadline.
    pub served: u64,
    /// Of those, rejected.
    #[serde(rename = "refused")]
    pub rejected: u64,
    /// Of those, failed, never accepted, or abandoned by their client.
    pub failed: u64,
    /// Of those, accepted, but without a correct final answer before the deadline.
    pub lost: u64,
    /// Ratio of the priority weight served within the latency objective to the requested weight. A client's first
    /// request and its retries count as one request.
    pub service: f64,
    /// Attempts received by servers and the origin, divided by the requests.
    #[serde(rename = "attempts_per_command")]
    pub attempts_per_request: f64,
    /// Latencies of the served requests, in milliseconds.
    pub latency_ms: Latency,
    /// Violations of the four rules.
    pub rules: RuleViolations,
    /// 99th percentile of the delay between the planned and the actual sending time of requests, in milliseconds. If it
    /// is more than 20, the testbed itself was late.
    pub lag_p99_ms: f64,
    /// Processor time of the run.
    pub cpu: Cpu,
    /// Usage of the origin.
    pub origin: OriginFigures,
    /// How evenly servers were used.
    pub spread: Spread,
    /// Usage of the fleet-wide limits, by name.
    pub limits: BTreeMap<String, LimitUsage>,
    /// How soon the fleet reacted to failures and returns of servers.
    #[serde(rename = "verdicts")]
    pub failure_detection: FailureDetection,
    /// Traffic between balancers.
    pub peers: PeerTraffic,
}

/// Starts and crashes of balancer processes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Processes {
    /// Number of starts, restarts included.
    pub started: u64,
    /// Number of processes that exited although the testbed did not stop them.
    pub crashed: u64,
}

/// Latencies of the served requests, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Latency {
    /// Median.
    pub p50: f64,
    /// 99th percentile.
    pub p99: f64,
    /// 99.9th percentile.
    pub p999: f64,
}

/// Number of violations of each of the four rules.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RuleViolations {
    /// Violations of the rule on one final answer before the deadline.
    pub answers: u64,
    /// Violations of the rule on attempts.
    pub attempts: u64,
    /// Violations of the rule on drains.
    pub drains: u64,
    /// Violations of the rule on servers in slow start.
    pub cold: u64,
}

impl RuleViolations {
    /// Number of all violations.
    pub fn total(&self) -> u64 {
        self.answers + self.attempts + self.drains + self.cold
    }
}

/// Processor time of a run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Cpu {
    /// Processor time of all balancers divided by all requests, in milliseconds.
    #[serde(rename = "balancer_ms_per_command")]
    pub balancer_ms_per_request: f64,
    /// Processor time of the testbed, in seconds.
    #[serde(rename = "rig_s")]
    pub testbed_s: f64,
}

/// Usage of the origin.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct OriginFigures {
    /// Highest number of fetches in any second, divided by the limit that the program states, or by the capacity if it
    /// states none.
    pub peak: f64,
    /// Fetches whose request was served in time, divided by the same limit, in the seconds in which demand exceeded the
    /// limit; `None` without such a second.
    pub useful: Option<f64>,
    /// Total number of fetches.
    pub fetches: u64,
}

/// How evenly servers were used.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Spread {
    /// 95th percentile of the windows' highest loads.
    pub peak: f64,
    /// 5th percentile of the windows' lowest loads.
    pub least: f64,
    /// Number of servers without an attempt in a window in which 5 or more were expected, summed over the windows.
    pub idle: u64,
    /// Highest number of attempts at one server in any 100 ms, divided by the number expected in 100 ms.
    pub herd: f64,
    /// `peak` for fair draws.
    pub fair_peak: f64,
    /// `least` for fair draws.
    pub fair_least: f64,
    /// `herd` for fair draws.
    pub fair_herd: f64,
    /// Number of windows evaluated.
    pub windows: u64,
}

/// Usage of a fleet-wide limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LimitUsage {
    /// The limit per second.
    #[serde(rename = "whole")]
    pub limit: f64,
    /// Upper bound of the usage that the program states, as a multiple of the limit; `None` if balancers do not
    /// exchange messages.
    pub bound: Option<f64>,
    /// Highest usage in any second, divided by the limit.
    pub peak: f64,
    /// Usage divided by the limit, in the seconds in which demand exceeded the limit; `None` without such a second.
    #[serde(rename = "use")]
    pub usage: Option<f64>,
    /// Number of seconds in which usage exceeded the limit; for servers in slow start, the stated bound, if any.
    pub seconds_over: u64,
}

/// How soon the fleet reacted to failures and returns of servers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct FailureDetection {
    /// Reaction time that the program states, in milliseconds; `None` if balancers do not exchange messages.
    pub bound_ms: Option<f64>,
    /// Median of the times from the start of a server's silence to each balancer's last attempt at the server, in
    /// milliseconds.
    pub spread_p50_ms: Option<f64>,
    /// 99th percentile of the same times, in milliseconds.
    pub spread_p99_ms: Option<f64>,
    /// Stated age up to which a report is effective, in milliseconds.
    pub stale_bound_ms: Option<f64>,
    /// Age of the oldest report that was acted on, in milliseconds.
    pub stale_max_ms: Option<f64>,
    /// Number of healthy servers avoided because of other balancers' reports, summed over the processes' self-reports.
    #[serde(rename = "wrong")]
    pub wrongly_avoided: u64,
    /// Number of attempts that a server did not answer or a cut link did not deliver.
    pub lost_sends: u64,
    /// Longest time from the start of a server's silence until the server receives less than a tenth of its fair share
    /// for the rest of the silence, in milliseconds.
    pub avoided_ms: Option<f64>,
    /// Longest time from the end of a server's silence until the server receives half of its fair share, in
    /// milliseconds.
    pub used_again_ms: Option<f64>,
}

/// Traffic between balancers, for each member.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PeerTraffic {
    /// Packets sent a second.
    pub packets_per_s: f64,
    /// Bytes sent a second.
    pub bytes_per_s: f64,
    /// Longest time for which a connected member's view of the members was wrong, in seconds.
    pub members_max_wrong_s: Option<f64>,
}
