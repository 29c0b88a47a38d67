//! The faults of an experiment's file: what goes wrong, when, and for whom. Times are in seconds.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// What goes wrong. The variants have the file's words, which messages and reports repeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
#[schemars(rename = "What")]
pub enum FaultKind {
    /// A link carries nothing.
    Cut,
    /// A link's connections are reset, and new ones too.
    Reset,
    /// A share of what a link carries is lost; on TCP it comes late by the resend.
    Lose,
    /// What a link carries comes late.
    Delay,
    /// A share of the packets comes twice.
    Repeat,
    /// A share of the packets comes after later ones.
    Reorder,
    /// A share of what a link carries has wrong bytes.
    Spoil,
    /// Processes get SIGKILL.
    Kill,
    /// Processes get SIGTERM.
    Term,
    /// Processes get SIGSTOP, and SIGCONT at the end.
    Freeze,
    /// Processes are killed and started again, a share at a time.
    Roll,
    /// Servers do not answer.
    Silent,
    /// Servers take longer.
    Slow,
    /// Servers fail a share of their requests.
    Failing,
    /// Servers drain, and are back at the end.
    Drain,
    /// Servers end, and are back at the end.
    Gone,
    /// Servers start anew at once.
    Restart,
    /// Servers are replaced by others at the same addresses.
    Replace,
    /// Servers do not answer and are healthy in turn.
    Flap,
    /// The origin takes longer.
    OriginSlow,
    /// Discovery refuses calls, and its watches end.
    DiscoveryDown,
    /// Discovery notifies each balancer later, by a time of its own.
    ListLate,
}

/// Which way a link's fault goes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum Direction {
    /// Both.
    #[default]
    Both,
    /// From the first group to the second.
    OneWay,
}

/// One fault.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// From when on, in seconds.
    pub at: f64,
    /// For how long, in seconds; left out, to the end.
    #[serde(rename = "for", default, skip_serializing_if = "Option::is_none")]
    pub lasts: Option<f64>,
    /// What it is.
    pub what: FaultKind,
    /// On links: the two groups.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub between: Option<[String; 2]>,
    /// On links: which way.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub direction: Option<Direction>,
    /// On processes and servers: the group.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub who: Option<String>,
    /// The share lost, repeated, reordered, corrupted or failed; of a roll, the share at a time.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub share: Option<f64>,
    /// Of a delay: how much later.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ms: Option<f64>,
    /// Of a delay: how much that varies, either way.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub jitter: Option<f64>,
    /// How many times as long.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub times: Option<f64>,
    /// Of a killed process: after how many seconds it is started again; left out, never.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub back: Option<f64>,
    /// Of a roll or a flapping server: seconds from one step to the next.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub every: Option<f64>,
    /// Of late lists: the latest.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub seconds: Option<f64>,
}
