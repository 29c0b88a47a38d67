//! What a run needs of the machine, checked before anything is started: an exhausted limit in the middle would look
//! like a fault of the program.

use juniperladder_platform_model::experiment::Experiment;
use nix::sys::resource::{getrlimit, Resource};

use crate::Problem;

/// The ports that one run may take at the most, of those that the kernel deals out.
const PORTS: usize = 20_000;

/// Descriptors that the rig will hold at most, as far as that can be told ahead.
pub fn descriptors(e: &Experiment, sides: usize) -> usize {
    let balancers = e.fleet.balancers;
    let machines = e.fleet.servers + 1;
    // A connection to a server is kept for about five seconds; a balancer has one for each request of that time, and one
    // to each server at the most, twice in a storm of second copies.
    let busiest = e.load.uneven.map_or(1.0, |u| (u.share / u.at).max(1.0));
    let each = (e.load.rate / balancers as f64 * busiest * 1.5 * 5.0) as usize + 4;
    let average = (e.load.rate / balancers as f64 * 1.5 * 5.0) as usize + 8;
    let to_hosts = balancers * average.min(each).min(2 * machines);
    // Each door is two sockets; each process has a door, a watch, a log and a few clients' connections.
    2 * machines * sides + 2 * balancers + to_hosts + balancers * 8 + 100
}

/// Whether the machine has room for the run.
///
/// # Errors
/// One line that says which limit is in the way and what to do.
pub fn check(e: &Experiment, sides: usize) -> Result<(), Problem> {
    let needed = descriptors(e, sides);
    let (soft, _) = getrlimit(Resource::RLIMIT_NOFILE)
        .map_err(|e| Problem::NotAllowed(format!("the limit of open files cannot be read: {e}")))?;
    if needed as u64 > soft {
        return Err(Problem::NotAllowed(format!(
            "the run needs about {needed} open files and the limit is {soft}: raise it (ulimit -n {needed}) or take \
             fewer balancers or hosts"
        )));
    }
    let ports = (e.fleet.servers + 1) * sides + 2 * e.fleet.balancers;
    if ports > PORTS {
        return Err(Problem::NotAllowed(format!(
            "the run needs {ports} ports and {PORTS} are the most: take fewer hosts, or name fewer groups on links"
        )));
    }
    Ok(())
}
