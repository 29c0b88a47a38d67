//! The memory of this process, as the kernel counts it.

use std::fs;

/// The memory of a process, with the program's text and libraries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessMemory {
    /// What is in memory now, in kilobytes.
    pub resident_kb: u64,
    /// The most that was in memory at any moment, in kilobytes.
    pub peak_kb: u64,
}

impl ProcessMemory {
    /// Reads the memory of this process; `None` if the kernel does not report it.
    pub fn read() -> Option<ProcessMemory> {
        ProcessMemory::parse(&fs::read_to_string("/proc/self/status").ok()?)
    }

    /// Parses the kernel's report on a process.
    fn parse(status: &str) -> Option<ProcessMemory> {
        let field = |name: &str| {
            let value = status.lines().find_map(|line| line.strip_prefix(name))?;
            value.trim().strip_suffix(" kB")?.parse().ok()
        };
        Some(ProcessMemory { resident_kb: field("VmRSS:")?, peak_kb: field("VmHWM:")? })
    }
}

#[cfg(test)]
mod tests;
