//! What a run needs of the machine, checked before anything is started: an exhausted limit in the middle would look
//! like a fault of the program.

use juniperladder_platform_model::experiment::Experiment;
use nix::sys::resource::{getrlimit, Resource};

use crate::SetupError;

/// The ports that one run may take at the most, of those that the kernel deals out.
const MAX_PORTS: usize = 20_000;
/// How long a balancer keeps a connection to a server, in seconds.
const CONNECTION_KEPT_S: f64 = 5.0;
/// Attempts for each request, in a time of hedged requests.
const ATTEMPTS_PER_REQUEST: f64 = 1.5;
/// Descriptors of a process: an address, a watch, a log and a few clients' connections.
const FILES_PER_PROCESS: usize = 8;
/// Descriptors of the testbed itself.
const FILES_OF_TESTBED: usize = 100;

/// Descriptors that the testbed will hold at most, as far as that is known ahead.
pub fn needed_open_files(experiment: &Experiment, sides: usize) -> usize {
    let balancers = experiment.fleet.balancers;
    let machines = experiment.fleet.servers + 1;
    // A balancer has a connection for each request of the time for which it is kept, and one to each server at the most,
    // twice in a time of many hedged requests.
    let busiest = experiment.load.uneven.map_or(1.0, |uneven| (uneven.share / uneven.at).max(1.0));
    let rate = experiment.load.rate / balancers as f64;
    let of_busiest = (rate * busiest * ATTEMPTS_PER_REQUEST * CONNECTION_KEPT_S) as usize + 4;
    let of_average = (rate * ATTEMPTS_PER_REQUEST * CONNECTION_KEPT_S) as usize + 8;
    let to_servers = balancers * of_average.min(of_busiest).min(2 * machines);
    // Each reserved address is two sockets.
    2 * machines * sides + 2 * balancers + to_servers + balancers * FILES_PER_PROCESS + FILES_OF_TESTBED
}

/// Checks that the machine has the resources for the run.
///
/// # Errors
/// Which limit is in the way, and what to do.
pub fn check_resources(experiment: &Experiment, sides: usize) -> Result<(), SetupError> {
    let needed = needed_open_files(experiment, sides);
    let (limit, _) = getrlimit(Resource::RLIMIT_NOFILE).map_err(SetupError::OpenFileLimit)?;
    if needed as u64 > limit {
        return Err(SetupError::TooFewOpenFiles { needed, limit });
    }
    let ports = (experiment.fleet.servers + 1) * sides + 2 * experiment.fleet.balancers;
    if ports > MAX_PORTS {
        return Err(SetupError::TooManyPorts { needed: ports, limit: MAX_PORTS });
    }
    Ok(())
}
