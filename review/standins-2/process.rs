//! Processes that a case starts, and that end with it.

use std::fs::File;
use std::io::{BufRead, BufReader, Write};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

use super::record::Record;

/// The processes that still have to be ended.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Sends a signal, named as for `kill`.
pub fn signal(pid: u32, name: &str) {
    let _ = Command::new("kill").arg(format!("-{name}")).arg(pid.to_string()).stderr(Stdio::null()).status();
}

/// Ends all processes that were started and are not known to have ended.
pub fn end_all() {
    let running: Vec<u32> = std::mem::take(&mut *RUNNING.lock().unwrap());
    for pid in running {
        signal(pid, "KILL");
    }
}

/// The repository's root, in which the deploy file's commands run.
pub fn root() -> PathBuf {
    PathBuf::from(std::env::var("ROOT").unwrap_or_else(|_| ".".into()))
}

/// The folder for temporary files.
pub fn scratch() -> PathBuf {
    PathBuf::from(std::env::var("SCRATCH").expect("SCRATCH names the temporary folder"))
}

/// A process that is killed when dropped.
pub struct Process {
    pub name: String,
    child: Child,
}

impl Process {
    pub fn spawn(name: &str, command: &mut Command) -> Result<Process, String> {
        let child = command.spawn().map_err(|error| format!("cannot start {name}: {error}"))?;
        RUNNING.lock().unwrap().push(child.id());
        // For the script, if this program is ended itself.
        let pids = File::options().create(true).append(true).open(scratch().join("pids"));
        let _ = pids.and_then(|mut pids| writeln!(pids, "{}", child.id()));
        Ok(Process { name: name.to_owned(), child })
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    pub fn signal(&self, name: &str, record: &Record) {
        record.line(&format!("SIG{name} to {}", self.name));
        signal(self.pid(), name);
    }

    /// The exit status, if the process has ended.
    pub fn ended(&mut self) -> Option<std::process::ExitStatus> {
        let status = self.child.try_wait().ok().flatten();
        if status.is_some() {
            let pid = self.pid();
            RUNNING.lock().unwrap().retain(|running| *running != pid);
        }
        status
    }

    /// Waits until the process ends.
    pub fn wait_until(&mut self, deadline: Instant) -> Option<std::process::ExitStatus> {
        loop {
            let status = self.ended();
            if status.is_some() || Instant::now() >= deadline {
                return status;
            }
            thread::sleep(Duration::from_millis(5));
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if self.ended().is_none() {
            let _ = self.child.kill();
            let _ = self.child.wait();
            let _ = self.ended();
        }
    }
}

/// A stand-in in a process of its own. It prints its address in its first line, and after that what it did.
pub struct StandIn {
    pub process: Process,
    pub address: String,
}

impl StandIn {
    pub fn start(name: &str, arguments: &[&str], record: &Record) -> Result<StandIn, String> {
        let program = std::env::current_exe().map_err(|error| error.to_string())?;
        let mut command = Command::new(program);
        // The stand-in ends when its standard input does.
        command.args(arguments).stdin(Stdio::piped()).stdout(Stdio::piped());
        let mut process = Process::spawn(name, &mut command)?;
        let mut lines = BufReader::new(process.child.stdout.take().ok_or("no output")?).lines();
        let address = lines.next().and_then(Result::ok).ok_or(format!("{name} has no address"))?;
        let (record, name) = (record.clone(), name.to_owned());
        record.line(&format!("{name} at {address}: {}", arguments.join(" ")));
        thread::spawn(move || {
            for line in lines.map_while(Result::ok) {
                record.line(&format!("{name}: {line}"));
            }
        });
        Ok(StandIn { process, address })
    }
}

/// A file for the output of a process.
pub fn output_file(path: &Path) -> Result<File, String> {
    File::options()
        .create(true)
        .append(true)
        .open(path)
        .map_err(|error| format!("{}: {error}", path.display()))
}

/// A port of the loopback address that is free now.
pub fn free_address() -> Result<String, String> {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").map_err(|error| error.to_string())?;
    listener.local_addr().map(|address| address.to_string()).map_err(|error| error.to_string())
}
