//! The child reaper: a process that outlives a rig that is killed outright, and ends what the rig had started.
//!
//! Handles that end their processes when they are dropped do so at every end of the rig but SIGKILL. The reaper reads
//! the numbers of the rig's processes from a pipe; when the pipe closes it ends those that still run, told apart from
//! later processes of the same number by the time at which they started.

#[cfg(test)]
mod tests;

use std::collections::HashMap;
use std::io::{BufRead, Write};
use std::path::Path;
use std::process::{Child, ChildStdin, Command, Stdio};

use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;

/// The rig's side of the child reaper.
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
            let _ = writeln!(pipe, "{pid} {}", started(pid).unwrap_or(0));
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
    let mut born: HashMap<i32, u64> = HashMap::new();
    for line in pipe.lines().map_while(Result::ok) {
        let mut words = line.split(' ').map(str::parse::<u64>);
        if let (Some(Ok(pid)), Some(Ok(started))) = (words.next(), words.next()) {
            born.insert(pid as i32, started);
        }
    }
    for (pid, since) in born {
        if started(pid) == Some(since) {
            let _ = kill(Pid::from_raw(pid), Signal::SIGKILL);
        }
    }
}

/// When a process started, in the kernel's ticks; none where there is none.
fn started(pid: i32) -> Option<u64> {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    // The name may hold spaces and brackets; the fields after it do not. The start is the 22nd of all.
    stat.rsplit_once(')')?.1.split_whitespace().nth(19)?.parse().ok()
}
