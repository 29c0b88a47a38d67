//! The platform model on loopback sockets, round real processes of the program.
//!
//! One thread holds the cache servers, the origin, discovery and the clients; the program under test runs as processes of
//! its own and is met through its sockets alone. Nothing here decides anything: machines, faults and the checker are the
//! platform model's. [`run_experiment`] runs one experiment and gives its event log.

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
