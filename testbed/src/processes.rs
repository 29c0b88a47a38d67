//! Manages the processes of the program under test: folders, configurations, starts, signals and exit statuses. Each handle
//! kills its process when it is dropped, so that no process outlives the testbed.

use std::cell::{Cell, RefCell};
use std::fs::{File, OpenOptions};
use std::io::{self, Read, Seek, SeekFrom};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{ExitStatus, Stdio};
use std::rc::Rc;
use std::time::Duration;

use juniperladder_platform_model::event_log::{EventLog, Impairment, ProcessStall, ProcessStart};
use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::process::{Child, Command};
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use crate::child_reaper::ChildReaper;
use crate::discovery::ServerAddresses;
use crate::listeners::ReservedAddress;
use crate::operator_file::OperatorFile;
use crate::peer_relay::PeerRelay;
use crate::process_config::{process_config, ProcessAddresses};
use crate::testbed::Testbed;
use crate::{RunError, SetupError};

/// Time limit for a process to become ready; hundreds start at once on a few cores.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval at which a process is polled for readiness at the start of the run.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Interval at which a restarted process is polled for readiness, which ends its impairment in the event log.
const RESTART_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Timeout of one readiness poll.
const READY_ANSWER_TIMEOUT: Duration = Duration::from_secs(1);
/// Time limit for a graceful shutdown, a little more than the longest deadline; then the process is killed.
const END_TIMEOUT: Duration = Duration::from_secs(5);
/// Number of log lines that are shown of a crashed process.
const SHOWN_LOG_LINES: usize = 5;
/// Number of bytes read from the end of a log to find the shown lines.
const LOG_END_LENGTH: u64 = 8_192;

/// Setup of processes whose balancers communicate as peers.
pub struct PeerSetup {
    /// The operators' file, of which each process gets a copy.
    pub operator_file: OperatorFile,
    /// Relay between the peers.
    pub relay: Rc<PeerRelay>,
}

/// One process of the program, across restarts.
struct Process {
    /// Address for clients.
    listen: ReservedAddress,
    /// Address for operators; only where balancers communicate as peers.
    admin: Option<ReservedAddress>,
    folder: PathBuf,
    log: PathBuf,
    /// The process id, or 0 while the process is not running.
    pid: Cell<i32>,
    /// Whether the testbed has signalled the process to end.
    end_requested: Cell<bool>,
    /// Number of times the process was started.
    starts: Cell<u64>,
    /// Number of times the process has ended.
    ends: watch::Sender<u64>,
}

impl Process {
    fn new(out: &Path, number: usize, has_admin: bool) -> Result<Process, SetupError> {
        let listen = ReservedAddress::new().map_err(SetupError::NoFreePort)?;
        let admin = has_admin.then(ReservedAddress::new).transpose().map_err(SetupError::NoFreePort)?;
        let folder = out.join("processes").join(format!("b{number}"));
        create_folder(&folder, "the folder of a process")?;
        Ok(Process {
            listen,
            admin,
            log: out.join("logs").join(format!("b{number}.log")),
            folder,
            pid: Cell::new(0),
            end_requested: Cell::new(false),
            starts: Cell::new(0),
            ends: watch::channel(0).0,
        })
    }

    fn config_file(&self) -> PathBuf {
        self.folder.join("config.json")
    }

    /// Path of the process's copy of the operators' file.
    fn operator_file(&self) -> PathBuf {
        self.folder.join("operator.toml")
    }

    fn is_running(&self) -> bool {
        self.pid.get() != 0
    }

    fn send_signal(&self, signal: Signal) {
        if self.is_running() {
            // A failure means that the process has just ended, which `wait_for_end` logs.
            let _ = kill(Pid::from_raw(self.pid.get()), signal);
        }
    }

    /// Waits until the process is ready; returns false if it ends first.
    async fn wait_until_ready(&self, poll_interval: Duration) -> bool {
        while !answers_ready(self.listen.address()).await {
            if !self.is_running() {
                return false;
            }
            sleep(poll_interval).await;
        }
        true
    }

    async fn wait_until_ended(&self) {
        let _ = self.ends.subscribe().wait_for(|_| !self.is_running()).await;
    }
}

/// All processes of the program.
pub struct Processes {
    testbed: Rc<Testbed>,
    all: Vec<Rc<Process>>,
    program: PathBuf,
    peers: Option<PeerSetup>,
    child_reaper: RefCell<Option<ChildReaper>>,
    /// Descriptions of unexpected exits, each with the last log lines.
    pub crashes: RefCell<Vec<String>>,
    /// Exits of processes that had been signalled to end.
    pub planned_ends: RefCell<Vec<PlannedEnd>>,
}

/// The exit of a process that had been signalled to end.
#[derive(Clone, Debug)]
pub struct PlannedEnd {
    /// Number of the balancer.
    pub balancer: usize,
    /// Exit code; `None` if a signal ended the process.
    pub exit_code: Option<i32>,
    /// Last lines of the process's log.
    pub log_end: String,
}

impl Processes {
    /// Prepares the addresses, folders and configurations of the processes. `discovery` and `servers` are the addresses
    /// at which each process reaches discovery and the servers.
    pub fn prepare(
        testbed: &Rc<Testbed>,
        out: &Path,
        discovery: &[SocketAddr],
        servers: &[ServerAddresses],
        peers: Option<PeerSetup>,
        child_reaper: Option<ChildReaper>,
    ) -> Result<Rc<Processes>, SetupError> {
        let fleet = &testbed.experiment.fleet;
        let program = std::path::absolute(&fleet.program).map_err(SetupError::ProgramPath)?;
        if !program.is_file() {
            return Err(SetupError::NoProgram(fleet.program.clone()));
        }
        create_folder(&out.join("logs"), "the folder for logs")?;
        let process = |number| Process::new(out, number, peers.is_some()).map(Rc::new);
        let all = (0..fleet.balancers).map(process).collect::<Result<_, _>>()?;
        let processes = Processes {
            testbed: Rc::clone(testbed),
            all,
            program,
            peers,
            child_reaper: RefCell::new(child_reaper),
            crashes: RefCell::default(),
            planned_ends: RefCell::default(),
        };
        for number in 0..processes.all.len() {
            processes.write_files(number, discovery[number], &servers[number])?;
        }
        Ok(Rc::new(processes))
    }

    /// Writes the configuration and the copy of the operators' file of one process.
    fn write_files(
        &self,
        number: usize,
        discovery: SocketAddr,
        servers: &ServerAddresses,
    ) -> Result<(), SetupError> {
        let process = &self.all[number];
        let error = |source| SetupError::ProcessFile { folder: process.folder.clone(), source };
        let addresses = ProcessAddresses {
            listen: process.listen.address(),
            admin: process.admin.as_ref().map(ReservedAddress::address),
            discovery,
            servers,
        };
        let config = process_config(&self.testbed, number, &addresses);
        if let Some(PeerSetup { operator_file, relay }) = &self.peers {
            let copy = operator_file.copy_for(&self.testbed.experiment, relay, number).map_err(error)?;
            std::fs::write(process.operator_file(), copy).map_err(error)?;
        }
        std::fs::write(process.config_file(), config.to_string()).map_err(error)
    }

    /// The address of each process for clients.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.all.iter().map(|process| process.listen.address()).collect()
    }

    /// The address of each process for operators; empty where balancers do not communicate as peers.
    pub fn admin_addresses(&self) -> Vec<SocketAddr> {
        self.all.iter().filter_map(|process| process.admin.as_ref()).map(ReservedAddress::address).collect()
    }

    /// Starts all processes and waits until each is ready; `on_ready` gets the number of ready processes.
    pub async fn start_all(self: &Rc<Processes>, mut on_ready: impl FnMut(usize)) -> Result<(), RunError> {
        for number in 0..self.all.len() {
            self.start(number)?;
        }
        for (number, process) in self.all.iter().enumerate() {
            let is_ready = timeout(READY_TIMEOUT, process.wait_until_ready(READY_POLL_INTERVAL)).await;
            if !is_ready.unwrap_or(false) {
                let log_end = log_end(&process.log);
                return Err(RunError::ProcessNotReady { balancer: number, log_end });
            }
            on_ready(number + 1);
        }
        Ok(())
    }

    fn start(self: &Rc<Processes>, number: usize) -> Result<(), RunError> {
        let process = &self.all[number];
        let error = |path: &Path, source| {
            let path = path.to_path_buf();
            RunError::ProcessStart { balancer: number, path, source }
        };
        let log = OpenOptions::new().create(true).append(true).open(&process.log);
        let log = log.map_err(|source| error(&process.log, source))?;
        let started_at = self.testbed.now();
        let child = self.command(process, log).spawn().map_err(|source| error(&self.program, source))?;
        process.pid.set(child.id().map_or(0, |pid| pid as i32));
        if let Some(reaper) = &mut *self.child_reaper.borrow_mut() {
            reaper.on_start(process.pid.get());
        }
        process.end_requested.set(false);
        process.starts.set(process.starts.get() + 1);
        let start = ProcessStart { balancer: number as u32, at: started_at };
        self.testbed.event_log.borrow_mut().process_starts.push(start);
        spawn_local(Rc::clone(self).wait_for_end(number, child));
        Ok(())
    }

    fn command(&self, process: &Process, log: File) -> Command {
        let mut command = Command::new(&self.program);
        command.env_clear();
        command.env("NODE_CONFIG", process.config_file());
        command.env("TMPDIR", &process.folder);
        if self.peers.is_some() {
            command.env("NODE_OPERATOR", process.operator_file());
        }
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(log).kill_on_drop(true);
        command
    }

    async fn wait_for_end(self: Rc<Processes>, number: usize, mut child: Child) {
        let status = child.wait().await;
        let process = &self.all[number];
        process.pid.set(0);
        let exit_code = status.as_ref().ok().and_then(ExitStatus::code);
        let is_graceful_exit = process.end_requested.get() && exit_code == Some(0);
        self.begin_impairment(
            number,
            if is_graceful_exit { Impairment::ShutDown } else { Impairment::NotRunning },
        );
        if process.end_requested.get() {
            let log_end = log_end(&process.log);
            self.planned_ends.borrow_mut().push(PlannedEnd { balancer: number, exit_code, log_end });
        } else {
            self.on_crash(number, status);
        }
        process.ends.send_modify(|count| *count += 1);
    }

    fn on_crash(&self, number: usize, status: io::Result<ExitStatus>) {
        let status_text = status.map_or_else(|error| error.to_string(), |status| status.to_string());
        let log_end = log_end(&self.all[number].log);
        // This text is stored in `crashes.json`; its wording therefore stays the same.
        let crash = format!("balancer {number} ended by itself ({status_text}); its log ends:\n{log_end}");
        self.crashes.borrow_mut().push(crash);
    }

    /// Sends a signal to the processes with these numbers that are running; the exit after a signal that ends a process counts
    /// as requested.
    pub fn signal(&self, numbers: &[usize], signal: Signal) {
        for number in numbers.iter().copied() {
            let process = &self.all[number];
            if !process.is_running() {
                continue;
            }
            match signal {
                Signal::SIGSTOP => self.begin_impairment(number, Impairment::Frozen),
                Signal::SIGCONT => self.end_impairment(number, Impairment::Frozen),
                Signal::SIGKILL => {
                    process.end_requested.set(true);
                    self.begin_impairment(number, Impairment::NotRunning);
                }
                Signal::SIGHUP | Signal::SIGUSR1 => {}
                _ => process.end_requested.set(true),
            }
            process.send_signal(signal);
        }
    }

    /// Stalls a process for this time; the deadlines of its requests are not extended.
    pub async fn stall(&self, number: usize, duration: Duration) {
        let process = &self.all[number];
        let from = self.testbed.now();
        process.send_signal(Signal::SIGSTOP);
        sleep(duration).await;
        process.send_signal(Signal::SIGCONT);
        let stall = ProcessStall { balancer: number as u32, from, to: self.testbed.now() };
        self.testbed.event_log.borrow_mut().process_stalls.push(stall);
    }

    /// Replaces a process's configuration file and returns its previous text.
    pub fn replace_config(&self, number: usize, text: &str) -> io::Result<String> {
        let file = self.all[number].config_file();
        let before = std::fs::read_to_string(&file)?;
        std::fs::write(&file, text)?;
        Ok(before)
    }

    fn begin_impairment(&self, number: usize, impairment: Impairment) {
        let now = self.testbed.now();
        let spans = &mut self.testbed.event_log.borrow_mut().process_impairments;
        EventLog::begin_impairment(spans, number, impairment, now);
    }

    fn end_impairment(&self, number: usize, impairment: Impairment) {
        let now = self.testbed.now();
        let spans = &mut self.testbed.event_log.borrow_mut().process_impairments;
        EventLog::end_impairment(spans, number, impairment, now);
    }

    /// Restarts the processes with these numbers, each as soon as it has ended.
    pub fn restart(self: &Rc<Processes>, numbers: &[usize]) {
        for number in numbers {
            spawn_local(Rc::clone(self).restart_one(*number));
        }
    }

    async fn restart_one(self: Rc<Processes>, number: usize) {
        let process = Rc::clone(&self.all[number]);
        if timeout(END_TIMEOUT, process.wait_until_ended()).await.is_err() {
            self.signal(&[number], Signal::SIGKILL);
            process.wait_until_ended().await;
        }
        if self.start(number).is_err() {
            return;
        }
        process.wait_until_ready(RESTART_POLL_INTERVAL).await;
        self.end_impairment(number, Impairment::NotRunning);
        self.end_impairment(number, Impairment::ShutDown);
    }

    /// Number of process starts, restarts included.
    pub fn start_count(&self) -> u64 {
        self.all.iter().map(|process| process.starts.get()).sum()
    }

    /// Kills all processes and waits until they have ended.
    pub async fn end_all(&self) {
        for process in &self.all {
            process.end_requested.set(true);
            process.send_signal(Signal::SIGKILL);
        }
        for process in &self.all {
            let _ = timeout(END_TIMEOUT, process.wait_until_ended()).await;
        }
    }
}

fn create_folder(path: &Path, folder: &'static str) -> Result<(), SetupError> {
    std::fs::create_dir_all(path).map_err(|source| SetupError::Folder { folder, source })
}

/// Asks a balancer whether it is ready.
async fn answers_ready(address: SocketAddr) -> bool {
    let ask = async {
        let mut stream = TcpStream::connect(address).await.ok()?;
        stream.write_all(b"mn\r\n").await.ok()?;
        let mut answer = [0; 4];
        stream.read_exact(&mut answer).await.ok()?;
        Some(&answer == b"MN\r\n")
    };
    timeout(READY_ANSWER_TIMEOUT, ask).await.ok().flatten().unwrap_or(false)
}

/// The last lines of a log, or the error if it cannot be read.
fn log_end(log: &Path) -> String {
    let text = read_end(log).unwrap_or_else(|error| format!("cannot read {}: {error}", log.display()));
    let lines: Vec<&str> = text.lines().collect();
    lines[lines.len().saturating_sub(SHOWN_LOG_LINES)..].join("\n")
}

fn read_end(path: &Path) -> io::Result<String> {
    let mut file = File::open(path)?;
    let length = file.metadata()?.len();
    file.seek(SeekFrom::Start(length.saturating_sub(LOG_END_LENGTH)))?;
    let mut bytes = Vec::new();
    file.read_to_end(&mut bytes)?;
    Ok(String::from_utf8_lossy(&bytes).into_owned())
}
