//! The processes of the program under test: their configuration, their starts and ends, what they leave in their logs.
//!
//! Whatever ends the rig, a panic included, ends its processes: each handle kills its process when it is dropped.

use std::cell::{Cell, RefCell};
use std::fs::{File, OpenOptions};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::rc::Rc;
use std::time::Duration;

use juniperladder_platform_model::checker::{CheckTerms, Idempotency};
use juniperladder_platform_model::event_log::{EventLog, Impairment};
use juniperladder_platform_model::experiment::Experiment;
use juniperladder_platform_model::group::zone_of;
use juniperladder_platform_model::rng::mix_bits;
use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use serde_json::{json, Value};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::process::{Child, Command};
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use crate::child_reaper::ChildReaper;
use crate::discovery::{kind_name, list, zone_name, Addresses};
use crate::doors::Door;
use crate::operator::Operator;
use crate::rig::Rig;
use crate::Problem;

/// How long a process may take until it is ready; hundreds start at once on a few cores.
const READY: Duration = Duration::from_secs(30);
/// The log lines that are shown of a process that died.
const LAST_LINES: usize = 5;

/// One process of the program, through its restarts.
struct Process {
    door: Door,
    /// Where operators call it; only where balancers talk.
    mgmt: Option<Door>,
    config: PathBuf,
    log: PathBuf,
    folder: PathBuf,
    /// Its number while it runs, 0 while it does not.
    pid: Cell<i32>,
    told: Cell<bool>,
    starts: Cell<u64>,
    /// How often it has ended.
    ended: watch::Sender<u64>,
}

impl Process {
    /// Its copy of the operators' file.
    fn operator(&self) -> PathBuf {
        self.folder.join("operator.toml")
    }
}

/// All processes of the program.
pub struct Processes {
    rig: Rc<Rig>,
    all: Vec<Rc<Process>>,
    program: PathBuf,
    operator: Option<Operator>,
    child_reaper: RefCell<Option<ChildReaper>>,
    /// Those that ended without being told to: who and how, with the last log lines.
    pub crashes: RefCell<Vec<String>>,
}

impl Processes {
    /// Prepares the processes: addresses, folders, configurations.
    pub fn prepare(
        rig: &Rc<Rig>,
        out: &Path,
        discovery: &[SocketAddr],
        addresses: &[Addresses],
        operator: Option<Operator>,
        child_reaper: Option<ChildReaper>,
    ) -> Result<Rc<Processes>, Problem> {
        let e = &rig.experiment;
        let broken = |what: &str, e: std::io::Error| Problem::NotAllowed(format!("{what}: {e}"));
        let program = std::path::absolute(&e.fleet.program).map_err(|e| broken("fleet.program", e))?;
        if !program.is_file() {
            let text = format!(
                "fleet.program: {} is not there; build it first (cargo build --release) or name another",
                e.fleet.program
            );
            return Err(Problem::NotAllowed(text));
        }
        let logs = out.join("logs");
        std::fs::create_dir_all(&logs).map_err(|e| broken("the logs' folder", e))?;
        let mut all = Vec::new();
        for number in 0..e.fleet.balancers {
            let door = Door::new().map_err(|e| broken("no free port", e))?;
            let mgmt =
                operator.is_some().then(Door::new).transpose().map_err(|e| broken("no free port", e))?;
            let folder = out.join("processes").join(format!("b{number}"));
            std::fs::create_dir_all(&folder).map_err(|e| broken("a process's folder", e))?;
            all.push(Rc::new(Process {
                door,
                mgmt,
                config: folder.join("config.json"),
                log: logs.join(format!("b{number}.log")),
                folder,
                pid: Cell::new(0),
                told: Cell::new(false),
                starts: Cell::new(0),
                ended: watch::channel(0).0,
            }));
        }
        let (rig, child_reaper) = (Rc::clone(rig), RefCell::new(child_reaper));
        let processes = Processes { rig, all, program, operator, child_reaper, crashes: RefCell::default() };
        for number in 0..processes.all.len() {
            processes.configure(number, discovery[number], &addresses[number])?;
        }
        Ok(Rc::new(processes))
    }

    fn configure(&self, number: usize, discovery: SocketAddr, addresses: &Addresses) -> Result<(), Problem> {
        let rig = &self.rig;
        let e = &rig.experiment;
        let process = &self.all[number];
        let first = (rig.servers.len() + 1) as u64;
        let known = rig.catalog.borrow().0.snapshot(first);
        let config = json!({
            "name": format!("b{number}"),
            "listen": process.door.address().to_string(),
            "discovery": discovery.to_string(),
            "mgmt": process.mgmt.as_ref().map(|door| door.address().to_string()),
            "seed": format!("{:016x}", mix_bits(mix_bits(e.seed) ^ number as u64)),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": list(rig, first, true, &known, addresses),
            "settings": settings(e, number),
        });
        let wrong = |e: std::io::Error| Problem::NotAllowed(format!("{}: {e}", process.folder.display()));
        if let Some(operator) = &self.operator {
            let copy = operator.copy(e, number).map_err(wrong)?;
            std::fs::write(process.operator(), copy).map_err(wrong)?;
        }
        std::fs::write(&process.config, config.to_string()).map_err(wrong)
    }

    /// Where the clients of each process connect.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.all.iter().map(|process| process.door.address()).collect()
    }

    /// Where operators call each process; none where balancers do not talk.
    pub fn operators(&self) -> Vec<SocketAddr> {
        self.all.iter().filter_map(|process| process.mgmt.as_ref()).map(Door::address).collect()
    }

    /// Starts all and waits until each is ready.
    pub async fn start_all(self: &Rc<Processes>, mut ready: impl FnMut(usize)) -> Result<(), Problem> {
        for number in 0..self.all.len() {
            self.start(number)?;
        }
        for (number, process) in self.all.iter().enumerate() {
            let waiting = timeout(READY, async {
                while !answers(process.door.address()).await {
                    if process.pid.get() == 0 {
                        return false;
                    }
                    sleep(Duration::from_millis(20)).await;
                }
                true
            });
            if !waiting.await.unwrap_or(false) {
                let text =
                    format!("balancer {number} did not come up; its log ends:\n{}", last_lines(&process.log));
                return Err(Problem::Broken(text));
            }
            ready(number + 1);
        }
        Ok(())
    }

    fn start(self: &Rc<Processes>, number: usize) -> Result<(), Problem> {
        let process = &self.all[number];
        let problem = |what: String| Problem::Broken(format!("balancer {number}: {what}"));
        let log = OpenOptions::new().create(true).append(true).open(&process.log);
        let log = log.map_err(|e| problem(format!("{}: {e}", process.log.display())))?;
        let mut command = Command::new(&self.program);
        command.env_clear().env("NODE_CONFIG", &process.config).env("TMPDIR", &process.folder);
        if self.operator.is_some() {
            command.env("NODE_OPERATOR", process.operator());
        }
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(log).kill_on_drop(true);
        let child = command.spawn().map_err(|e| problem(format!("{}: {e}", self.program.display())))?;
        process.pid.set(child.id().map_or(0, |pid| pid as i32));
        if let Some(reaper) = &mut *self.child_reaper.borrow_mut() {
            reaper.on_start(process.pid.get());
        }
        process.told.set(false);
        process.starts.set(process.starts.get() + 1);
        spawn_local(Rc::clone(self).wait(number, child));
        Ok(())
    }

    /// Waits for a process's end.
    async fn wait(self: Rc<Processes>, number: usize, mut child: Child) {
        let status = child.wait().await;
        let process = &self.all[number];
        process.pid.set(0);
        let now = self.rig.now();
        EventLog::begin_impairment(
            &mut self.rig.event_log.borrow_mut().process_impairments,
            number,
            Impairment::Dead,
            now,
        );
        if !process.told.get() {
            let how = status.map_or_else(|e| e.to_string(), |status| status.to_string());
            let what = format!(
                "balancer {number} ended by itself ({how}); its log ends:\n{}",
                last_lines(&process.log)
            );
            self.crashes.borrow_mut().push(what);
        }
        process.ended.send_modify(|count| *count += 1);
    }

    /// Sends a signal; one that ends the process is noted as told.
    pub fn signal(&self, numbers: &[usize], signal: Signal) {
        for number in numbers {
            let process = &self.all[*number];
            let pid = process.pid.get();
            if pid == 0 {
                continue;
            }
            let now = self.rig.now();
            let spans = &mut self.rig.event_log.borrow_mut().process_impairments;
            match signal {
                Signal::SIGSTOP => EventLog::begin_impairment(spans, *number, Impairment::Frozen, now),
                Signal::SIGCONT => EventLog::end_impairment(spans, *number, Impairment::Frozen, now),
                Signal::SIGKILL => {
                    process.told.set(true);
                    EventLog::begin_impairment(spans, *number, Impairment::Dead, now);
                }
                _ => process.told.set(true),
            }
            // One that has just ended is told by its wait.
            let _ = kill(Pid::from_raw(pid), signal);
        }
    }

    /// Starts these again, each as soon as it has ended.
    pub fn start_again(self: &Rc<Processes>, numbers: &[usize]) {
        for number in numbers.iter().copied() {
            let processes = Rc::clone(self);
            spawn_local(async move {
                let process = Rc::clone(&processes.all[number]);
                let mut ended = process.ended.subscribe();
                // A process that is told to end has its longest deadline and a little for that; then it is killed.
                let left =
                    timeout(Duration::from_secs(5), ended.wait_for(|_| process.pid.get() == 0)).await.is_ok();
                if !left {
                    processes.signal(&[number], Signal::SIGKILL);
                    let _ = ended.wait_for(|_| process.pid.get() == 0).await;
                }
                if processes.start(number).is_err() {
                    return;
                }
                while process.pid.get() != 0 && !answers(process.door.address()).await {
                    sleep(Duration::from_millis(10)).await;
                }
                let now = processes.rig.now();
                EventLog::end_impairment(
                    &mut processes.rig.event_log.borrow_mut().process_impairments,
                    number,
                    Impairment::Dead,
                    now,
                );
            });
        }
    }

    /// How many were started, restarts included.
    pub fn started(&self) -> u64 {
        self.all.iter().map(|process| process.starts.get()).sum()
    }

    /// Ends all and waits until they are gone.
    pub async fn end(&self) {
        for process in &self.all {
            process.told.set(true);
            let pid = process.pid.get();
            if pid != 0 {
                let _ = kill(Pid::from_raw(pid), Signal::SIGKILL);
            }
        }
        for process in &self.all {
            let mut ended = process.ended.subscribe();
            let gone = ended.wait_for(|_| process.pid.get() == 0);
            let _ = timeout(Duration::from_secs(5), gone).await;
        }
    }
}

/// Whether a balancer answers that it is ready.
async fn answers(address: SocketAddr) -> bool {
    let asked = async {
        let mut stream = TcpStream::connect(address).await.ok()?;
        stream.write_all(b"mn\r\n").await.ok()?;
        let mut answer = [0; 4];
        stream.read_exact(&mut answer).await.ok()?;
        Some(&answer == b"MN\r\n")
    };
    timeout(Duration::from_secs(1), asked).await.ok().flatten().unwrap_or(false)
}

/// The end of a log.
fn last_lines(log: &Path) -> String {
    use std::io::{Read, Seek, SeekFrom};
    let read = || -> std::io::Result<String> {
        let mut file = File::open(log)?;
        let length = file.metadata()?.len();
        file.seek(SeekFrom::Start(length.saturating_sub(8_192)))?;
        let mut bytes = Vec::new();
        file.read_to_end(&mut bytes)?;
        Ok(String::from_utf8_lossy(&bytes).into_owned())
    };
    let text = read().unwrap_or_else(|e| format!("{}: {e}", log.display()));
    let lines: Vec<&str> = text.lines().collect();
    lines[lines.len().saturating_sub(LAST_LINES)..].join("\n")
}

/// The settings object of a process, as the platform gives it.
fn settings(e: &Experiment, number: usize) -> Value {
    let terms = CheckTerms::of(e);
    let categories: Vec<Value> = terms
        .classes
        .iter()
        .map(|class| {
            let (effect, window) = match class.idempotency {
                Idempotency::Idempotent => ("pure", 5_000_000),
                Idempotency::WithIdempotencyKey(window) => ("token", window),
                Idempotency::NotIdempotent => ("side_effect", 0),
            };
            json!({"name": class.name, "aim": class.latency_objective, "give-up": class.deadline, "worth": class.priority_weight,
                "late-worth": 0.0, "effect": effect, "window": window, "group": "all", "stream": false})
        })
        .collect();
    let kinds = e.fleet.weights.len();
    let mut names: Vec<String> = (0..kinds).map(kind_name).collect();
    names.push("origin".into());
    json!({
        "az": zone_of(number, &e.fleet),
        "balancers": e.fleet.told.unwrap_or(e.fleet.balancers),
        "categories": categories,
        "clients": {"marks-retry": true},
        "domain-type": "cache",
        "extra": {"mode": "aside", "origin-kind": kinds, "origin-fall": 3_000_000,
            "origin-fall-multiple": e.origin.fall_times},
        "feedback": {"how": "answers", "names": ["served_ps", "pending"]},
        "kinds": names,
        "limits": {"cancel": true, "conn-idle": 5_000_000, "connect-timeout": 250_000, "max-attempts": terms.max_attempts,
            "max-retry-after": 2_000_000, "may-duplicate": true, "may-tell": false, "probes": false,
            "retry-after": true},
        "membership-mode": "subscribe",
        "orgs": [],
        "position": number,
        "rules": {"answer-slack": 20_000, "ask-within": 10_000_000, "cold-share": e.servers.cold_from,
            "drain-grace": terms.drain_grace, "fall": 1_000_000, "fall-multiple": e.servers.fall_times,
            "warm-up": (e.servers.cold_s * 1e6) as u64},
        "tick": 5_000,
        "weights": "rough",
        "zones": (0..e.fleet.zones).map(zone_name).collect::<Vec<_>>(),
    })
}
