//! Checks before a run that the machine has the resources for it. A limit exhausted in the middle of a run would look like a
//! fault of the program.

use juniperladder_platform_model::experiment::Experiment;
use nix::sys::resource::{getrlimit, Resource};

use crate::SetupError;

/// Maximum number of the kernel's ephemeral ports that one run may use.
const MAX_PORTS: usize = 20_000;
/// Time for which a balancer keeps a connection to a server, in seconds.
const CONNECTION_IDLE_TIMEOUT_S: f64 = 5.0;
/// Attempts per request while requests are hedged.
const ATTEMPTS_PER_REQUEST: f64 = 1.5;
/// File descriptors that the testbed holds for each process: an address, a watch, a log and a few clients' connections.
const DESCRIPTORS_PER_PROCESS: usize = 8;
/// File descriptors of the testbed itself.
const DESCRIPTORS_OF_TESTBED: usize = 100;

/// Estimates the maximum number of file descriptors that the testbed will hold.
pub fn needed_open_files(experiment: &Experiment, listener_group_count: usize) -> usize {
    let balancers = experiment.fleet.balancers;
    let machines = experiment.fleet.servers + 1;
    // A balancer has at most one connection for each attempt within the time for which a connection is kept. It also has
    // at most one connection to each server, or two while many requests are hedged.
    let busiest_factor = experiment.load.uneven.map_or(1.0, |uneven| (uneven.share / uneven.at).max(1.0));
    let rate = experiment.load.rate / balancers as f64;
    let connections_of_busiest =
        (rate * busiest_factor * ATTEMPTS_PER_REQUEST * CONNECTION_IDLE_TIMEOUT_S) as usize + 4;
    let connections_of_average = (rate * ATTEMPTS_PER_REQUEST * CONNECTION_IDLE_TIMEOUT_S) as usize + 8;
    let server_connections = balancers * connections_of_average.min(connections_of_busiest).min(2 * machines);
    // Each reserved address uses two sockets.
    2 * machines * listener_group_count
        + 2 * balancers
        + server_connections
        + balancers * DESCRIPTORS_PER_PROCESS
        + DESCRIPTORS_OF_TESTBED
}

/// Checks that the machine has the resources for the run.
///
/// # Errors
/// The limit that is too low, with advice.
pub fn check_resources(experiment: &Experiment, listener_group_count: usize) -> Result<(), SetupError> {
    let needed = needed_open_files(experiment, listener_group_count);
    let (limit, _) = getrlimit(Resource::RLIMIT_NOFILE).map_err(SetupError::OpenFileLimit)?;
    if needed as u64 > limit {
        return Err(SetupError::TooFewOpenFiles { needed, limit });
    }
    let ports = (experiment.fleet.servers + 1) * listener_group_count + 2 * experiment.fleet.balancers;
    if ports > MAX_PORTS {
        return Err(SetupError::TooManyPorts { needed: ports, limit: MAX_PORTS });
    }
    Ok(())
}
