//! What balancers that may talk agree on: who is there ([`membership`]), who may use which part of a limit that holds for all
//! of them together ([`rate_limit`]; [`cold`] for each server that warms up; [`budget`] for second tries), and what they saw of servers
//! ([`verdicts`]). All are state machines without I/O and without a clock: they are fed packets and times and drained of
//! packets; `node/` carries those by UDP.
//!
//! What each guarantees stands on its page; the argument is in `docs/design/cluster.md`.

pub mod budget;
pub mod cluster;
pub mod cold;
mod injected_defect;
mod interval;
pub mod membership;
mod open_requests;
pub mod packet;
pub mod rate_limit;
pub mod verdicts;
#[cfg(test)]
mod virtual_network;
mod wire_micros;

pub use cluster::{Cluster, Figures, Plan};
pub use juniperladder::Micros;

/// The longest packet, out and in.
pub const LONGEST: usize = 1_200;

/// The most members of a fleet. What a table of them takes is there only once they are.
pub const MOST_MEMBERS: usize = 4_096;

/// The most starts of servers of which something is held at once: all servers of a fleet, and as many that they replace.
pub const MAX_SERVERS: usize = 8_192;
