//! `summary.json`: the figures of a run. The names of the file stay whatever the fields are called here.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// The summary of a run.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Summary {
    /// The experiment's name.
    pub name: String,
    /// Its seed.
    pub seed: u64,
    /// The processes.
    pub processes: Processes,
    /// Requests of clients, retries included.
    #[serde(rename = "commands")]
    pub requests: u64,
    /// Of those, served before their deadline.
    pub served: u64,
    /// Of those, rejected.
    #[serde(rename = "refused")]
    pub rejected: u64,
    /// Of those, failed, never accepted, or left by their client.
    pub failed: u64,
    /// Of those, accepted and never finally answered, or after the deadline.
    pub lost: u64,
    /// Priority weight served within the latency objective over that asked for, a client's requests counted as one.
    pub service: f64,
    /// Attempts that servers and the origin received, over requests.
    #[serde(rename = "attempts_per_command")]
    pub attempts_per_request: f64,
    /// Latencies of those served, in milliseconds.
    pub latency_ms: Latency,
    /// Violations of the rules.
    pub rules: RuleViolations,
    /// The testbed's sends behind their plan, in milliseconds; over 20 the run is late.
    pub lag_p99_ms: f64,
    /// What it cost.
    pub cpu: Cpu,
    /// The origin.
    pub origin: OriginFigures,
    /// How evenly servers were used.
    pub spread: Spread,
    /// Limits of the whole fleet, by name.
    pub limits: BTreeMap<String, LimitUsage>,
    /// How soon the fleet acted on changes at servers.
    #[serde(rename = "verdicts")]
    pub failure_detection: FailureDetection,
    /// Traffic between balancers.
    pub peers: PeerTraffic,
}

/// The processes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Processes {
    /// Started, restarts included.
    pub started: u64,
    /// Ended by themselves.
    pub crashed: u64,
}

/// Latencies of the requests served, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Latency {
    /// Median.
    pub p50: f64,
    /// 99th percentile.
    pub p99: f64,
    /// 99.9th percentile.
    pub p999: f64,
}

/// Violations of the four rules.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RuleViolations {
    /// One final answer before the deadline.
    pub answers: u64,
    /// Attempts.
    pub attempts: u64,
    /// Drains.
    pub drains: u64,
    /// Servers in slow start.
    pub cold: u64,
}

impl RuleViolations {
    /// All of them.
    pub fn total(&self) -> u64 {
        self.answers + self.attempts + self.drains + self.cold
    }
}

/// What a run cost.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Cpu {
    /// Processor time of all balancers over all requests, in milliseconds.
    #[serde(rename = "balancer_ms_per_command")]
    pub balancer_ms_per_request: f64,
    /// Processor time of the testbed, in seconds.
    #[serde(rename = "rig_s")]
    pub testbed_s: f64,
}

/// The origin.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct OriginFigures {
    /// Most fetches in any second over the capacity.
    pub peak: f64,
    /// Answers in time over the capacity while demand was above it; none where it never was.
    pub useful: Option<f64>,
    /// Fetches in all.
    pub fetches: u64,
}

/// How evenly servers were used.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Spread {
    /// The 95th percentile over windows of the greatest load.
    pub peak: f64,
    /// The 5th percentile of the smallest.
    pub least: f64,
    /// Server-windows without an attempt where 5 or more were due.
    pub idle: u64,
    /// The most attempts at one server in any 100 ms over what is due in 100 ms.
    pub herd: f64,
    /// The same as `peak` for fair draws.
    pub fair_peak: f64,
    /// The same as `least` for fair draws.
    pub fair_least: f64,
    /// The same as `herd` for fair draws.
    pub fair_herd: f64,
    /// Windows that counted.
    pub windows: u64,
}

/// What a limit of the whole fleet was used for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LimitUsage {
    /// The limit, in what it counts a second.
    #[serde(rename = "whole")]
    pub limit: f64,
    /// What the program states, as a multiple of the limit; none where balancers do not talk.
    pub bound: Option<f64>,
    /// The most used in any second over the limit.
    pub peak: f64,
    /// Used over the limit while demand was above it; none where it never was.
    #[serde(rename = "use")]
    pub usage: Option<f64>,
    /// Seconds in which more than the limit was used.
    pub seconds_over: u64,
}

/// How soon the fleet acted on changes at servers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct FailureDetection {
    /// The reaction time that the program states; none where balancers do not talk.
    pub bound_ms: Option<f64>,
    /// From a change to the last send of a balancer that it should have stopped, median.
    pub spread_p50_ms: Option<f64>,
    /// The 99th percentile.
    pub spread_p99_ms: Option<f64>,
    /// The stated age up to which a report acts.
    pub stale_bound_ms: Option<f64>,
    /// The oldest that acted.
    pub stale_max_ms: Option<f64>,
    /// Healthy servers avoided on others' reports.
    #[serde(rename = "wrong")]
    pub wrongly_avoided: u64,
    /// Attempts at silent servers.
    pub lost_sends: u64,
    /// From a server's silence until it gets under a tenth of its part for good, the longest.
    pub avoided_ms: Option<f64>,
    /// From its return until it gets half of its part, the longest.
    pub used_again_ms: Option<f64>,
}

/// Traffic between balancers, a member.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PeerTraffic {
    /// Packets sent.
    pub packets_per_s: f64,
    /// Bytes sent.
    pub bytes_per_s: f64,
    /// The longest time in which a connected member's view was wrong.
    pub members_max_wrong_s: Option<f64>,
}
