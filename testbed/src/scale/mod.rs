//! Scale tests: the control code of many members in one process, over real UDP sockets on loopback or in simulated time.
//!
//! Each member runs the real control code with synthetic traffic in place of client connections. Packets between members
//! pass a modelled network, whose delays by zone and region, packet loss and partitions follow from the seed. The testbed
//! measures the members' traffic and processor time itself and does not rely on their own counters.
//! `docs/design/scale.md` describes what a scale test can show and what it cannot.

mod calibration;
mod cluster_endpoint;
pub mod config;
pub mod endpoint;
mod meter;
mod network;
mod purge_check;
mod purge_endpoint;
pub mod resources;
pub mod results;
mod run;
mod schedule;
mod shard;
mod sockets;
mod topology;
mod virtual_time;
mod workload;

#[cfg(test)]
mod tests;

use std::sync::Arc;

pub use calibration::CalibrationTraffic;
pub use config::{FaultScenario, InjectedDefect, Mechanism, ScaleConfig};
pub use purge_check::{DurationDistribution, PurgePhase, PurgeSummary};
pub use results::{Outcome, Summary};

use crate::{RunError, SetupError, TestbedError};
use meter::Lateness;
use run::Run;

/// A time on the run's clock, or a duration, in microseconds.
pub type Micros = u64;

/// The minimum number of members of a run.
const MIN_MEMBERS: usize = 2;
/// The maximum number of members of a run: the longest list of balancers that the project has to support.
const MAX_MEMBERS: usize = 4_096;

/// Runs a scale test.
///
/// # Errors
/// The configuration is invalid, the machine lacks resources for the run, or a socket failed. The message is one line.
pub fn run_scale_test(config: ScaleConfig) -> Result<Outcome, TestbedError> {
    let config = config.without_unused_replicas();
    validate(&config)?;
    if config.virtual_time {
        return Ok(run_virtual(config));
    }
    let (sockets, addresses) = sockets::bind_sockets(config.endpoint_count()).map_err(RunError::ScaleTest)?;
    let run = Arc::new(Run::new(config, addresses));
    let result = sockets::run_on_sockets(&run, sockets).map_err(RunError::ScaleTest)?;
    Ok(Outcome::from_socket_run(&run, result))
}

fn run_virtual(config: ScaleConfig) -> Outcome {
    let addresses = (0..config.endpoint_count()).map(virtual_time::member_address).collect();
    let run = Arc::new(Run::new(config, addresses));
    let memory_before = resources::resident_bytes();
    let (observed, memory) = virtual_time::run_in_virtual_time(&run);
    Outcome::from_observations(&run, observed, &Lateness::default(), memory.saturating_sub(memory_before))
}

fn validate(config: &ScaleConfig) -> Result<(), SetupError> {
    if !(MIN_MEMBERS..=MAX_MEMBERS).contains(&config.members) {
        let message = format!(
            "the number of members must be from {MIN_MEMBERS} to {MAX_MEMBERS}, not {}",
            config.members
        );
        return Err(SetupError::ScaleTest(message));
    }
    if !(config.seconds > 0.0 && config.warm_up_s >= 0.0) {
        return Err(SetupError::ScaleTest(
            "the duration of a run must exceed 0 s and its warm-up must not be negative".to_owned(),
        ));
    }
    resources::check_resources(config)
}
