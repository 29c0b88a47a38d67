//! Runs the platform model on loopback sockets around real processes of the program.
//!
//! One thread runs the cache servers, the origin, discovery and the clients. The program under test runs in separate
//! processes and is reached only through its sockets. The behaviour of machines, the faults and the checker are those of
//! the platform model. [`run_experiment`] runs one experiment and returns its event log.

mod cache_servers;
pub mod child_reaper;
mod client_protocol;
mod clients;
mod discovery;
mod error;
mod experiment_run;
mod listeners;
mod operator_file;
mod origin;
mod peer_relay;
mod process_config;
mod processes;
mod resource_check;
pub mod scale;
mod self_reports;
pub mod soak;
mod testbed;

pub use error::{RunError, SetupError, TestbedError};
pub use experiment_run::{run_experiment, PeerTrafficRates, Progress, RunOptions, RunRecord};
