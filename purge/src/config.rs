//! What replicas and members are told once, at their start.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::ids::{MemberId, ReplicaId};
use crate::injected_defect::InjectedDefects;
use crate::limits::DEFAULT_LOG_ENTRIES;
use crate::Micros;

/// How long a lease runs. Replicas and members must have the same.
pub const DEFAULT_LEASE: Micros = Micros::from_secs(2);

/// What one control machine is told.
#[derive(Clone, Debug)]
pub struct ReplicaConfig {
    /// Which it is.
    pub replica: ReplicaId,
    /// Which start of it: later starts are greater, for ever. The time of day in microseconds will do.
    pub incarnation: u64,
    /// The addresses of all replicas, in the order of their identifiers. At most
    /// [`MAX_REPLICAS`](crate::limits::MAX_REPLICAS).
    pub replicas: Vec<SocketAddr>,
    /// Only at the first start of the whole control plane: there is nothing to recover.
    pub bootstrap: bool,
    /// For random numbers.
    pub seed: u64,
    /// Times and bounds.
    pub settings: ReplicaSettings,
}

/// Times and bounds of a replica.
#[derive(Clone, Debug)]
pub struct ReplicaSettings {
    /// How long a member's lease runs.
    pub lease: Micros,
    /// By how much two clocks may differ in rate, in parts per million.
    pub drift_ppm: u32,
    /// How often a round of status requests begins.
    pub round_interval: Micros,
    /// How long a round waits for a majority before the next begins.
    pub round_timeout: Micros,
    /// After which a request for entries or for a table is sent again.
    pub request_timeout: Micros,
    /// Entries in the log, over all streams.
    pub log_entries: usize,
    /// Purges that may be published here a second, and at once.
    pub publish_rate: u32,
    /// The burst above that rate.
    pub publish_burst: u32,
    /// Purges published here that are not done.
    pub max_pending: u64,
    /// Entries that a [`CatchUp::Void`] member may be behind before it is told to void.
    pub void_behind: usize,
    /// Tests only.
    #[doc(hidden)]
    pub injected_defects: InjectedDefects,
}

impl Default for ReplicaSettings {
    fn default() -> ReplicaSettings {
        ReplicaSettings {
            lease: DEFAULT_LEASE,
            drift_ppm: 1_000,
            round_interval: Micros::from_millis(250),
            round_timeout: Micros::SECOND,
            request_timeout: Micros::from_millis(200),
            log_entries: DEFAULT_LOG_ENTRIES,
            publish_rate: 50,
            publish_burst: 200,
            max_pending: 4_096,
            void_behind: 64,
            injected_defects: InjectedDefects::default(),
        }
    }
}

impl ReplicaSettings {
    /// How long after the last grant a lease may run, on any clock.
    pub(crate) fn lease_with_drift(&self) -> Micros {
        let drift = self.lease * (2 * u64::from(self.drift_ppm)) / 1_000_000;
        self.lease + drift + Micros(1)
    }
}

/// How a member catches up when it is far behind.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CatchUp {
    /// By voiding all that it holds: for members to whom that costs little.
    Void,
    /// By replaying entries as far as the log reaches back.
    Replay,
}

/// What one member is told.
#[derive(Clone, Debug)]
pub struct MemberConfig {
    /// Which it is. No two processes at one time may be the same member.
    pub member: MemberId,
    /// Which start of it: later starts are greater.
    pub incarnation: u64,
    /// The addresses of all replicas, in the order of their identifiers.
    pub replicas: Vec<SocketAddr>,
    /// Replicas in the order in which they are to be its assigned replica; those not named come after these.
    pub preferred: Vec<ReplicaId>,
    /// What it does when it is far behind.
    pub catch_up: CatchUp,
    /// For random numbers.
    pub seed: u64,
    /// Times.
    pub timing: MemberTiming,
}

/// Times of a member.
#[derive(Clone, Debug)]
pub struct MemberTiming {
    /// How long its lease runs.
    pub lease: Micros,
    /// How often it pulls.
    pub pull_interval: Micros,
    /// After which an unanswered pull is sent again.
    pub resend_after: Micros,
    /// How long after an answer that there is more a [`CatchUp::Void`] member pulls again.
    pub more_pace_void: Micros,
    /// The same of a [`CatchUp::Replay`] member.
    pub more_pace_replay: Micros,
    /// Unanswered pulls after which it looks for another assigned replica.
    pub losses_before_move: u32,
    /// How long the assigned replica must have been silent for that.
    pub silence_before_move: Micros,
    /// How long a registration may take before another assigned replica is tried.
    pub registration_timeout: Micros,
    /// How often it asks whether its preferred assigned replica is there, while it has another.
    pub return_probe_interval: Micros,
    /// How many answers in a row bring it back.
    pub return_probes: u32,
    /// How long it stays with an assigned replica before it goes back.
    pub return_after: Micros,
    /// Tests only.
    #[doc(hidden)]
    pub injected_defects: InjectedDefects,
}

impl Default for MemberTiming {
    fn default() -> MemberTiming {
        MemberTiming {
            lease: DEFAULT_LEASE,
            pull_interval: Micros::from_millis(500),
            resend_after: Micros::from_millis(250),
            more_pace_void: Micros::from_millis(100),
            more_pace_replay: Micros::from_millis(20),
            losses_before_move: 3,
            silence_before_move: Micros::from_millis(900),
            registration_timeout: Micros::from_secs(3),
            return_probe_interval: Micros::from_secs(5),
            return_probes: 3,
            return_after: Micros::from_secs(30),
            injected_defects: InjectedDefects::default(),
        }
    }
}
