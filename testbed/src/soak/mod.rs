//! The soak test of graceful shutdown: many short runs of a small fleet, each drawn from its seed, in which processes get
//! SIGTERM and later SIGKILL. Clients send on every open connection until the kill, which comes as early as the protocol
//! allows.
//!
//! [`plan`] draws a run, [`run`] executes it, [`check`] finds violations in its record.

pub mod check;
mod clients;
mod crowd;
pub mod plan;
pub mod run;
