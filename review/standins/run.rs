//! One run of a case: its record, its temporary folder, and the processes of the project that it starts.

use std::fs::{self, File};
use std::io::{BufRead, BufReader, BufWriter, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// How a case ended, as the exit code of its script.
#[derive(Clone, Copy, PartialEq)]
pub enum Verdict {
    Held = 0,
    Broken = 1,
    CouldNotRun = 2,
}

/// The processes that are running, for the watchdog.
static PROCESSES: Mutex<Vec<u32>> = Mutex::new(Vec::new());

pub struct Run {
    record: Mutex<BufWriter<File>>,
    started: Instant,
    /// Whether the disruption happens; false with `TROUBLE=0`.
    pub trouble: bool,
    pub folder: PathBuf,
}

impl Run {
    /// Opens `record.txt` in the case's folder. The run is ended by force after `limit`.
    pub fn begin(case_folder: &str, limit: Duration) -> std::io::Result<Arc<Run>> {
        let folder = std::env::temp_dir().join(format!("juniperladder-review-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let record = BufWriter::new(File::create(PathBuf::from(case_folder).join("record.txt"))?);
        let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
        let run = Arc::new(Run { record: Mutex::new(record), started: Instant::now(), trouble, folder });
        let watched = Arc::clone(&run);
        thread::spawn(move || {
            thread::sleep(limit);
            watched.note("the run took too long and is ended");
            for process in PROCESSES.lock().unwrap().iter() {
                let _ = Command::new("kill").args(["-KILL", &process.to_string()]).status();
            }
            watched.finish();
            std::process::exit(Verdict::CouldNotRun as i32);
        });
        run.note(&format!("disruption: {}", if run.trouble { "yes" } else { "no (TROUBLE=0)" }));
        Ok(run)
    }

    /// Milliseconds since the run began.
    pub fn ms(&self) -> f64 {
        self.started.elapsed().as_secs_f64() * 1e3
    }

    /// Writes a line with the time to the record.
    pub fn note(&self, text: &str) {
        let mut record = self.record.lock().unwrap();
        let _ = writeln!(record, "{:10.1} ms  {text}", self.ms());
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, text: &str) {
        self.note(text);
        println!("{text}");
    }

    /// Writes the record out and removes the temporary folder.
    pub fn finish(&self) {
        let _ = self.record.lock().unwrap().flush();
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// A port of the loopback address that is free now.
pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").and_then(|listener| listener.local_addr()).expect("a free port")
}

/// A process of the balancer, started by the `run` command of the deploy file; killed when dropped.
pub struct Balancer {
    child: Child,
    log: PathBuf,
    run: Arc<Run>,
}

impl Balancer {
    /// Starts the balancer with this configuration and waits until it answers `mn` with `MN`.
    pub fn start(run: &Arc<Run>, address: SocketAddr, config: &str) -> Result<Balancer, String> {
        let deploy = fs::read_to_string("deploy/balancer.toml").map_err(|error| error.to_string())?;
        let command = deploy.lines().find_map(|line| line.strip_prefix("run = \"")?.split('"').next());
        let command = command.ok_or("deploy/balancer.toml has no run command")?;
        let config_path = run.folder.join("config.json");
        let private = run.folder.join("tmp");
        fs::create_dir_all(&private).map_err(|error| error.to_string())?;
        fs::write(&config_path, config).map_err(|error| error.to_string())?;
        let log = run.folder.join("balancer.log");
        let log_file = File::create(&log).map_err(|error| error.to_string())?;
        let child = Command::new("/bin/sh")
            .args(["-c", command])
            .env("NODE_CONFIG", &config_path)
            .env("TMPDIR", &private)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log_file)
            .spawn()
            .map_err(|error| error.to_string())?;
        PROCESSES.lock().unwrap().push(child.id());
        run.note(&format!("balancer started: process {} listens on {address}", child.id()));
        let mut balancer = Balancer { child, log, run: Arc::clone(run) };
        let until = Instant::now() + Duration::from_secs(10);
        while Instant::now() < until {
            if is_ready(address) {
                run.note("balancer is ready: mn is answered with MN");
                return Ok(balancer);
            }
            if let Ok(Some(status)) = balancer.child.try_wait() {
                return Err(format!("the balancer ended at its start: {status}"));
            }
            thread::sleep(Duration::from_millis(50));
        }
        Err("the balancer was not ready within 10 s".into())
    }
}

impl Balancer {
    /// The memory of the process that is its own (RssAnon), without the program's text and shared libraries; none if the
    /// process has ended.
    pub fn own_memory_kb(&self) -> Option<u64> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id())).ok()?;
        let line = status.lines().find_map(|line| line.strip_prefix("RssAnon:"))?;
        line.split_whitespace().next()?.parse().ok()
    }

    /// How many files and connections the process has open.
    pub fn files(&self) -> usize {
        fs::read_dir(format!("/proc/{}/fd", self.child.id())).map_or(0, Iterator::count)
    }

    /// Kills the process, as the platform does.
    pub fn kill(&mut self) {
        self.run.note("the platform kills the balancer");
        let _ = self.child.kill();
    }
}

impl Drop for Balancer {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        PROCESSES.lock().unwrap().retain(|process| *process != self.child.id());
        if let Ok(log) = File::open(&self.log) {
            for line in BufReader::new(log).lines().map_while(Result::ok) {
                self.run.note(&format!("balancer's log: {line}"));
            }
        }
    }
}

fn is_ready(address: SocketAddr) -> bool {
    let Ok(mut stream) = TcpStream::connect(address) else { return false };
    let _ = stream.set_read_timeout(Some(Duration::from_millis(500)));
    let mut answer = [0; 4];
    stream.write_all(b"mn\r\n").is_ok() && stream.read_exact(&mut answer).is_ok() && &answer == b"MN\r\n"
}
