//! What balancers that may talk to each other coordinate: who is there ([`membership`]), who may use which part of a limit that
//! holds for all of them together ([`rate_limit`]; [`slow_start_limit`] for each server that warms up; [`retry_budget`] for
//! retries), and which servers are silent ([`failure_detector`]). [`cluster`] holds one balancer's side of all of them.
//!
//! All are state machines without I/O and without a clock: they are given packets and times and drained of packets; `node/`
//! carries those by UDP. What each guarantees stands at the top of its module; the argument is in `docs/design/cluster.md` and
//! `docs/design/verdicts.md`.

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

/// The longest packet in bytes, out and in: what fits into an Ethernet frame with room to spare.
pub const MAX_PACKET_BYTES: usize = 1_200;

/// The most members of a fleet. Memory for them is taken only once they are there.
pub const MAX_MEMBERS: usize = 4_096;

/// The most incarnations of servers of which something is stored at once: all servers of a fleet, and as many that they replace.
pub const MAX_SERVER_INCARNATIONS: usize = 8_192;
