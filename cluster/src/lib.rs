//! What balancers that may talk agree on: who is there ([`membership`]), who may use which part of a limit that holds for all
//! of them together ([`rate_limit`]; [`slow_start_limit`] for each server that warms up; [`retry_budget`] for second tries), and what they saw of servers
//! ([`failure_detector`]). All are state machines without I/O and without a clock: they are fed packets and times and drained of
//! packets; `node/` carries those by UDP.
//!
//! What each guarantees stands on its page; the argument is in `docs/design/cluster.md`.

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

pub use cluster::{Cluster, Figures, Plan};
pub use juniperladder::{Micros, ServerId, ServingServer};
pub use server_incarnation::ServerIncarnation;

/// The longest packet, out and in.
pub const LONGEST: usize = 1_200;

/// The most members of a fleet. What a table of them takes is there only once they are.
pub const MOST_MEMBERS: usize = 4_096;

/// The most starts of servers of which something is held at once: all servers of a fleet, and as many that they replace.
pub const MAX_SERVERS: usize = 8_192;
