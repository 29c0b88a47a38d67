//! The faults of an experiment file: kinds, times and targets. Times are in seconds.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// The kind of a fault. The variants are named as in the file, because messages and reports print them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
#[schemars(rename = "What")]
pub enum FaultKind {
    /// Links drop everything.
    Cut,
    /// Connections over links are reset, new ones included.
    Reset,
    /// Links lose a share of their traffic; on TCP the loss becomes a delay by the retransmission.
    Lose,
    /// Links delay their traffic.
    Delay,
    /// Links duplicate a share of the packets.
    Repeat,
    /// Links reorder a share of the packets.
    Reorder,
    /// Links corrupt a share of their traffic.
    Spoil,
    /// Processes receive SIGKILL.
    Kill,
    /// Processes receive SIGTERM.
    Term,
    /// Processes receive SIGSTOP, and SIGCONT at the end of the fault.
    Freeze,
    /// Processes are stopped with SIGTERM and started again, a share at a time (rolling restart).
    Roll,
    /// Servers do not answer.
    Silent,
    /// Servers need longer for each request.
    Slow,
    /// Servers fail a share of their requests.
    Failing,
    /// Servers drain, and start again at the end of the fault.
    Drain,
    /// Servers terminate, and start again at the end of the fault.
    Gone,
    /// Servers restart at once.
    Restart,
    /// Servers are replaced by others at the same addresses.
    Replace,
    /// Servers alternate between not answering and being healthy.
    Flap,
    /// The origin needs longer for each request.
    OriginSlow,
    /// Discovery rejects calls and ends its watches.
    DiscoveryDown,
    /// Discovery notifies each balancer with a random delay of its own.
    ListLate,
}

/// The direction of a link fault.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum Direction {
    /// Both directions.
    #[default]
    Both,
    /// From the first group to the second.
    OneWay,
}

/// One fault.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// Start time in seconds.
    pub at: f64,
    /// Duration in seconds; without it the fault lasts to the end of the run.
    #[serde(rename = "for", default, skip_serializing_if = "Option::is_none")]
    pub duration_s: Option<f64>,
    /// The kind of the fault.
    #[serde(rename = "what")]
    pub kind: FaultKind,
    /// For link faults: the two groups.
    #[serde(rename = "between", default, skip_serializing_if = "Option::is_none")]
    pub link_ends: Option<[String; 2]>,
    /// For link faults: the direction.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub direction: Option<Direction>,
    /// For faults of processes and servers: the group.
    #[serde(rename = "who", default, skip_serializing_if = "Option::is_none")]
    pub targets: Option<String>,
    /// The share that is lost, repeated, reordered, corrupted or failed; for a roll, the share restarted at a time.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub share: Option<f64>,
    /// For a delay: the added delay in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ms: Option<f64>,
    /// For a delay: the maximum deviation from `ms` in either direction, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub jitter: Option<f64>,
    /// Factor by which the work of servers or the origin takes longer.
    #[serde(rename = "times", default, skip_serializing_if = "Option::is_none")]
    pub slowdown_factor: Option<f64>,
    /// For a killed or terminated process: seconds until it is started again; without it the process stays down.
    #[serde(rename = "back", default, skip_serializing_if = "Option::is_none")]
    pub restart_after_s: Option<f64>,
    /// For a roll or a flapping server: seconds from one step to the next.
    #[serde(rename = "every", default, skip_serializing_if = "Option::is_none")]
    pub step_s: Option<f64>,
    /// For late lists: the maximum delay in seconds.
    #[serde(rename = "seconds", default, skip_serializing_if = "Option::is_none")]
    pub max_notice_delay_s: Option<f64>,
}
