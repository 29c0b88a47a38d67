//! The child reaper: a process that outlives a testbed that is killed outright, and ends the processes that it started.
//!
//! Handles that end their processes when they are dropped do so at every end of the testbed but SIGKILL. The reaper reads
//! the numbers of the testbed's processes from a pipe; when the pipe closes it ends those that still run, told apart from
//! later processes of the same number by the time at which they started.

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
    /// What kept it from starting.
    pub fn start(program: &Path) -> std::io::Result<ChildReaper> {
        let mut command = Command::new(program);
        let mut process = command.arg("reap").stdin(Stdio::piped()).stdout(Stdio::null()).spawn()?;
        Ok(ChildReaper { pipe: process.stdin.take(), process })
    }

    /// A process has been started.
    pub fn on_start(&mut self, pid: i32) {
        if let Some(pipe) = &mut self.pipe {
            // A reaper that is gone ends nothing; the handles still do.
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

/// The reaper's own side: reads until the pipe closes, then ends what still runs.
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

/// When a process started, in the kernel's ticks; none where there is none.
fn start_ticks(pid: i32) -> Option<u64> {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    // The name may hold spaces and brackets; the fields after it do not. The start is the 22nd of all.
    stat.rsplit_once(')')?.1.split_whitespace().nth(19)?.parse().ok()
}
