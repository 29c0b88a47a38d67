//! The daemon as a library: runs the balancer's decision core on real sockets.
//!
//! The client side ([`downstream`]) and the server side ([`upstream`]) communicate only through the [`dispatcher`];
//! [`daemon`] builds and starts all components.

pub mod admin;
pub mod buffer_pool;
pub mod cluster_config;
pub mod config;
pub mod connect;
mod coordination;
pub mod daemon;
pub mod discovery;
pub mod downstream;
pub mod endpoint_list;
pub mod error;
pub mod graceful_shutdown;
pub mod listener;
mod logging;
mod override_store;
pub mod peers;
pub mod process_memory;
mod reload;
pub mod resource_limits;
mod signals;
pub mod socket;
pub mod transient_errors;
pub mod upstream;

#[cfg(test)]
mod simulation;
#[cfg(test)]
mod testing;

pub use juniperladder_dispatch::{clock, counters, dispatcher};
pub use juniperladder_protocols::{http, memcache};

use std::ffi::OsString;

use tokio::runtime;
use tokio::task::LocalSet;

use config::Config;
use error::StartError;
use transient_errors::retry_transient_blocking;

/// Runs a balancer with the configuration that the environment names, until a signal ends it. `cluster_config_path`
/// is the operators' file given on the command line, if any.
///
/// # Errors
/// The configuration is invalid, or a component of the daemon cannot be started.
pub fn run_from_environment(cluster_config_path: Option<OsString>) -> Result<(), StartError> {
    let config = Config::from_environment(cluster_config_path);
    serve(config.map_err(|error| StartError::Configuration(error.into()))?)
}

/// Runs a balancer with this configuration, until a signal ends it.
///
/// # Errors
/// A component of the daemon cannot be started.
pub fn serve(config: Config) -> Result<(), StartError> {
    let runtime = retry_transient_blocking(|| runtime::Builder::new_current_thread().enable_all().build());
    let runtime = runtime.map_err(StartError::Runtime)?;
    let log = logging::logger(config.log_level, &config.name);
    LocalSet::new().block_on(&runtime, daemon::run(config, log))
}
