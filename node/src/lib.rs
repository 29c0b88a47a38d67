//! The daemon as a library: juniperladder's decisions on real sockets.
//!
//! The client side ([`downstream`]) and the server side ([`upstream`]) meet only in the [`dispatcher`]; [`daemon`]
//! builds and starts all parts.

pub mod admin;
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

/// Runs a balancer as the environment describes it, until a signal ends it; `cluster_config_path` is the path
/// of the operators' file where the command line names one.
///
/// # Errors
/// The configuration cannot be used, or a part of the daemon cannot be started.
pub fn run_from_environment(cluster_config_path: Option<OsString>) -> Result<(), StartError> {
    let config = Config::from_environment(cluster_config_path);
    serve(config.map_err(|error| StartError::Configuration(error.into()))?)
}

/// Runs a balancer as this configuration describes it, until a signal ends it.
///
/// # Errors
/// A part of the daemon cannot be started.
pub fn serve(config: Config) -> Result<(), StartError> {
    let runtime = retry_transient_blocking(|| runtime::Builder::new_current_thread().enable_all().build());
    let runtime = runtime.map_err(StartError::Runtime)?;
    let log = logging::logger(config.log_level, &config.name);
    LocalSet::new().block_on(&runtime, daemon::run(config, log))
}
