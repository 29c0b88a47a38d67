//! Configuration of replicas and members, fixed at their start.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::ids::{MemberId, ReplicaId};
use crate::injected_defect::InjectedDefects;
use crate::limits::DEFAULT_LOG_ENTRIES;
use crate::Micros;

/// Default lease duration. Replicas and members must be configured with the same duration.
pub const DEFAULT_LEASE: Micros = Micros::from_secs(2);

/// Configuration of a replica.
#[derive(Clone, Debug)]
pub struct ReplicaConfig {
    /// Identifier of this replica.
    pub replica: ReplicaId,
    /// Incarnation of this replica. Must increase with every start, for ever; the time of day in microseconds is
    /// suitable.
    pub incarnation: u64,
    /// The addresses of all replicas, in the order of their identifiers. At most
    /// [`MAX_REPLICAS`](crate::limits::MAX_REPLICAS).
    pub replicas: Vec<SocketAddr>,
    /// Skips recovery. Only for the first start of the whole control plane, when there is nothing to recover.
    pub bootstrap: bool,
    /// Seed of the random number generator.
    pub seed: u64,
    /// Timing and bounds.
    pub settings: ReplicaSettings,
}

/// Timing and bounds of a replica.
#[derive(Clone, Debug)]
pub struct ReplicaSettings {
    /// Duration of a member's lease.
    pub lease: Micros,
    /// Maximum difference between the rates of two clocks, in parts per million.
    pub drift_ppm: u32,
    /// Interval between the starts of two rounds of status requests.
    pub round_interval: Micros,
    /// Time that a round waits for a majority before the next round may begin.
    pub round_timeout: Micros,
    /// Time after which an unanswered request for entries or for a table is sent again.
    pub request_timeout: Micros,
    /// Maximum number of entries in the log, over all streams.
    pub log_entries: usize,
    /// Purges that may be published at this replica per second.
    pub publish_rate: u32,
    /// Purges that may be published at this replica at once.
    pub publish_burst: u32,
    /// Maximum number of purges published at this replica that are not done.
    pub max_pending: u64,
    /// Number of entries that a [`CatchUp::Void`] member may be behind before the replica tells it to void its cache.
    pub void_threshold_entries: usize,
    /// Defect under test.
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
            void_threshold_entries: 64,
            injected_defects: InjectedDefects::default(),
        }
    }
}

impl ReplicaSettings {
    /// Upper bound, on this replica's clock, of the time that a lease may last after its last grant.
    pub(crate) fn lease_with_drift(&self) -> Micros {
        let drift = self.lease * (2 * u64::from(self.drift_ppm)) / 1_000_000;
        self.lease + drift + Micros(1)
    }
}

/// How a member that is far behind catches up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CatchUp {
    /// Voids the cache: for members that can refill it cheaply.
    Void,
    /// Replays entries as far back as the log reaches.
    Replay,
}

/// Configuration of a member.
#[derive(Clone, Debug)]
pub struct MemberConfig {
    /// Identifier of this member. No two processes may run as the same member at one time.
    pub member: MemberId,
    /// Incarnation of this member. Must increase with every start.
    pub incarnation: u64,
    /// The addresses of all replicas, in the order of their identifiers.
    pub replicas: Vec<SocketAddr>,
    /// Preference order for the assigned replica; replicas that are not listed follow those that are.
    pub preferred: Vec<ReplicaId>,
    /// How the member catches up when it is far behind.
    pub catch_up: CatchUp,
    /// Seed of the random number generator.
    pub seed: u64,
    /// Timing.
    pub timing: MemberTiming,
}

/// Timing of a member.
#[derive(Clone, Debug)]
pub struct MemberTiming {
    /// Duration of the member's lease.
    pub lease: Micros,
    /// Interval between pulls while the member serves.
    pub pull_interval: Micros,
    /// Time after which an unanswered pull is sent again.
    pub resend_after: Micros,
    /// Delay before a [`CatchUp::Void`] member pulls again after an answer that says there are more entries, or while
    /// the member doesn't serve yet.
    pub continuation_delay_void: Micros,
    /// The same delay for a [`CatchUp::Replay`] member.
    pub continuation_delay_replay: Micros,
    /// Number of unanswered pulls after which the member looks for another assigned replica, provided that
    /// `silence_before_reassignment` has passed too.
    pub unanswered_before_reassignment: u32,
    /// Time without an answer from the assigned replica after which the member may look for another.
    pub silence_before_reassignment: Micros,
    /// Time without progress of a registration after which the member tries another assigned replica.
    pub registration_timeout: Micros,
    /// Interval at which a member probes its preferred replica while another one is assigned.
    pub return_probe_interval: Micros,
    /// Number of consecutive probe replies after which the member returns to its preferred replica.
    pub return_probe_replies: u32,
    /// Minimum time that the member stays with an assigned replica before it returns to the preferred one.
    pub return_delay: Micros,
    /// Defect under test.
    #[doc(hidden)]
    pub injected_defects: InjectedDefects,
}

impl Default for MemberTiming {
    fn default() -> MemberTiming {
        MemberTiming {
            lease: DEFAULT_LEASE,
            pull_interval: Micros::from_millis(500),
            resend_after: Micros::from_millis(250),
            continuation_delay_void: Micros::from_millis(100),
            continuation_delay_replay: Micros::from_millis(20),
            unanswered_before_reassignment: 3,
            silence_before_reassignment: Micros::from_millis(900),
            registration_timeout: Micros::from_secs(3),
            return_probe_interval: Micros::from_secs(5),
            return_probe_replies: 3,
            return_delay: Micros::from_secs(30),
            injected_defects: InjectedDefects::default(),
        }
    }
}
