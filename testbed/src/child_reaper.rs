//! The child reaper: a separate process that kills the processes of a testbed after the testbed itself was killed.
//!
//! A handle kills its process when it is dropped, which happens at every end of the testbed except SIGKILL. The reaper reads
//! the ids and start times of the testbed's processes from a pipe. When the pipe closes, it kills the processes that still
//! run; the start time distinguishes each from a later process with the same id.

#[cfg(test)]
mod tests;

use std::collections::HashMap;
use std::io::{BufRead, Write};
use std::path::Path;
use std::process::{Child, ChildStdin, Command, Stdio};

use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;

/// The testbed's side of the child reaper.
pub struct ChildReaper {
    pipe: Option<ChildStdin>,
    process: Child,
}

impl ChildReaper {
    /// Starts `program reap`, which has to call [`reap`].
    ///
    /// # Errors
    /// The error that prevented the reaper from starting.
    pub fn start(program: &Path) -> std::io::Result<ChildReaper> {
        let mut command = Command::new(program);
        let mut process = command.arg("reap").stdin(Stdio::piped()).stdout(Stdio::null()).spawn()?;
        Ok(ChildReaper { pipe: process.stdin.take(), process })
    }

    /// Registers a started process with the reaper.
    pub fn on_start(&mut self, pid: i32) {
        if let Some(pipe) = &mut self.pipe {
            // If the reaper has ended, the handles still kill their processes.
            let _ = writeln!(pipe, "{pid} {}", start_ticks(pid).unwrap_or(0));
        }
    }
}

impl Drop for ChildReaper {
    fn drop(&mut self) {
        drop(self.pipe.take());
        let _ = self.process.wait();
    }
}

/// Runs in the reaper process: reads process ids until the pipe closes, then kills the processes that still run.
pub fn reap(pipe: impl BufRead) {
    let mut start_ticks_by_pid: HashMap<i32, u64> = HashMap::new();
    for line in pipe.lines().map_while(Result::ok) {
        let mut words = line.split(' ').map(str::parse::<u64>);
        if let (Some(Ok(pid)), Some(Ok(ticks))) = (words.next(), words.next()) {
            start_ticks_by_pid.insert(pid as i32, ticks);
        }
    }
    for (pid, ticks) in start_ticks_by_pid {
        if start_ticks(pid) == Some(ticks) {
            let _ = kill(Pid::from_raw(pid), Signal::SIGKILL);
        }
    }
}

/// The start time of a process in clock ticks since boot; `None` if there is no such process.
fn start_ticks(pid: i32) -> Option<u64> {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    // The process name, in brackets, may itself contain spaces and brackets; the fields after it do not. The start time is
    // field 22 of the file.
    stat.rsplit_once(')')?.1.split_whitespace().nth(19)?.parse().ok()
}
