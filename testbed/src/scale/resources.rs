//! The memory and file descriptors that a scale test needs, checked before it starts, and the memory that it uses.

use nix::sys::resource::{getrlimit, Resource};

use super::config::ScaleConfig;
use crate::SetupError;

/// Maximum memory of a run in bytes: half the memory of the machine that the tests are designed for.
pub const MAX_MEMORY_BYTES: u64 = 12 * 1024 * 1024 * 1024;
/// Maximum number of processes that a run may start.
pub const MAX_PROCESSES: usize = 300;
/// Memory of a run without its members, in bytes.
const BASE_MEMORY_BYTES: u64 = 64 * 1024 * 1024;
/// Maximum memory of a member in bytes: more than any mechanism uses. With the balancer's own bound of 64 MB, 2,000 members
/// would not fit.
const MAX_MEMORY_PER_MEMBER_BYTES: u64 = 4 * 1024 * 1024;
/// File descriptors of a run in addition to those of members and workers.
const DESCRIPTORS_BASE: u64 = 64;
/// File descriptors per worker thread, in addition to the members' sockets.
const DESCRIPTORS_PER_WORKER: u64 = 8;
/// Size of a memory page, the unit of `/proc/self/statm`.
const PAGE_BYTES: u64 = 4_096;

/// The maximum memory that a run needs, in bytes.
pub fn required_memory_bytes(config: &ScaleConfig) -> u64 {
    BASE_MEMORY_BYTES + config.endpoint_count() as u64 * MAX_MEMORY_PER_MEMBER_BYTES
}

/// The number of file descriptors that a run needs.
pub fn required_descriptors(config: &ScaleConfig) -> u64 {
    let sockets = if config.virtual_time { 0 } else { config.endpoint_count() as u64 };
    DESCRIPTORS_BASE + DESCRIPTORS_PER_WORKER * config.workers as u64 + sockets
}

/// Checks that the machine has enough memory and file descriptors for a run.
///
/// # Errors
/// A resource is too scarce, or the limit of open files cannot be read. The message is one line that names a remedy.
pub fn check_resources(config: &ScaleConfig) -> Result<(), SetupError> {
    let setup_error = |message: String| Err(SetupError::ScaleTest(message));
    let needed_bytes = required_memory_bytes(config);
    let available_bytes = available_bytes().unwrap_or(MAX_MEMORY_BYTES);
    if needed_bytes > MAX_MEMORY_BYTES || needed_bytes > available_bytes {
        let limit = MAX_MEMORY_BYTES.min(available_bytes) / 1_048_576;
        let needed = needed_bytes / 1_048_576;
        return setup_error(format!(
            "the run may need {needed} MiB of memory, but at most {limit} MiB may be used: reduce the number of members"
        ));
    }
    let needed = required_descriptors(config);
    let (limit, _) = getrlimit(Resource::RLIMIT_NOFILE).map_err(SetupError::OpenFileLimit)?;
    if needed > limit {
        return setup_error(format!(
            "the run needs {needed} open files, but the limit is {limit}: raise it (ulimit -n {needed}) or reduce the \
             number of members"
        ));
    }
    Ok(())
}

/// Resident memory of this process in bytes; 0 if the system does not provide it.
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
