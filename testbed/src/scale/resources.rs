//! What a scale test needs of the machine, checked before anything is started, and the memory that it takes.

use nix::sys::resource::{getrlimit, Resource};

use super::config::ScaleConfig;
use crate::SetupError;

/// The most memory that a run may take: half of the machine that it is made for.
pub const MEMORY_MAX: u64 = 12 * 1024 * 1024 * 1024;
/// The most processes that a run may start.
pub const PROCESSES_MAX: usize = 300;
/// Memory that a run takes by itself, and for each member at the most: the balancer's bound of 64 MB would not leave room for
/// 2,000, so this is what the mechanisms take with room to spare.
const MEMORY_BASE: u64 = 64 * 1024 * 1024;
const MEMORY_PER_MEMBER: u64 = 4 * 1024 * 1024;
/// Descriptors that a run takes beside the members' sockets, and for each worker.
const DESCRIPTORS_BASE: u64 = 64;
const DESCRIPTORS_PER_WORKER: u64 = 8;
/// A page of memory, in which the system counts.
const PAGE_BYTES: u64 = 4_096;

/// Memory that a run may take at the most, in bytes.
pub fn memory_needed(config: &ScaleConfig) -> u64 {
    MEMORY_BASE + config.endpoints() as u64 * MEMORY_PER_MEMBER
}

/// Descriptors that a run takes.
pub fn descriptors_needed(config: &ScaleConfig) -> u64 {
    let sockets = if config.virtual_time { 0 } else { config.endpoints() as u64 };
    DESCRIPTORS_BASE + DESCRIPTORS_PER_WORKER * config.workers as u64 + sockets
}

/// Whether the machine has room for a run.
///
/// # Errors
/// One line that says which limit is in the way and what to do.
pub fn check(config: &ScaleConfig) -> Result<(), SetupError> {
    let problem = |line: String| Err(SetupError::ScaleTest(line));
    let needed = memory_needed(config);
    let available = available_bytes().unwrap_or(MEMORY_MAX);
    if needed > MEMORY_MAX || needed > available {
        let most = MEMORY_MAX.min(available) / 1_048_576;
        let needed = needed / 1_048_576;
        return problem(format!(
            "the run may need {needed} MiB of memory and {most} MiB are the most: take fewer members"
        ));
    }
    let needed = descriptors_needed(config);
    let (limit, _) = getrlimit(Resource::RLIMIT_NOFILE).map_err(SetupError::OpenFileLimit)?;
    if needed > limit {
        return problem(format!(
            "the run needs {needed} open files and the limit is {limit}: raise it (ulimit -n {needed}) or take fewer members"
        ));
    }
    Ok(())
}

/// Resident memory of this process in bytes; 0 where the system does not tell.
pub fn resident_bytes() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1).and_then(|word| word.parse::<u64>().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}

fn available_bytes() -> Option<u64> {
    let text = std::fs::read_to_string("/proc/meminfo").ok()?;
    let line = text.lines().find_map(|line| line.strip_prefix("MemAvailable:"))?;
    let kibibytes: u64 = line.split_whitespace().next()?.parse().ok()?;
    Some(kibibytes * 1_024)
}
