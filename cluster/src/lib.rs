//! Coordination among balancers that exchange packets: the list of live members ([`membership`]), rate limits on all balancers
//! together ([`rate_limit`]; [`slow_start_limit`] for each server in slow start; [`retry_budget`] for retries), and the
//! detection of silent servers ([`failure_detector`]). [`cluster`] combines one balancer's part of all of them.
//!
//! All modules are state machines without I/O and without a clock: the caller passes in packets and times and drains the
//! outgoing packets; `node/` exchanges them over UDP. The documentation of each module states its guarantee; the reasoning is
//! in `docs/design/cluster.md` and `docs/design/verdicts.md`.

pub mod cluster;
pub mod failure_detector;
mod injected_defect;
mod interval;
pub mod membership;
mod open_requests;
pub mod packet;
pub mod rate_limit;
pub mod retry_budget;
pub mod server_incarnation;
pub mod slow_start_limit;
#[cfg(test)]
mod virtual_network;
mod wire;

pub use cluster::{Cluster, ClusterConfig, ClusterMetrics, NamedRateLimit};
pub use juniperladder::{Micros, ServerId, ServingServer};
pub use server_incarnation::ServerIncarnation;

/// The maximum length of a packet, sent or received, in bytes; it fits into an Ethernet frame with room to spare.
pub const MAX_PACKET_BYTES: usize = 1_200;

/// The maximum number of members of a fleet. Memory is allocated only for members that exist.
pub const MAX_MEMBERS: usize = 4_096;

/// The maximum number of server incarnations with stored state: enough for all servers of a fleet and as many replaced ones.
pub const MAX_SERVER_INCARNATIONS: usize = 8_192;
