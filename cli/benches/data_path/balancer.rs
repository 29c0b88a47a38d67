//! The daemon process, and its resource usage as reported by the kernel.

use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use tempfile::TempDir;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use crate::fake_servers::FakeServers;

/// Time between two readiness checks after a start.
const READY_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum number of readiness checks after a start.
const READY_ATTEMPTS: usize = 500;

/// A running daemon, killed on drop.
pub struct Balancer {
    child: Child,
    address: SocketAddr,
    /// The folder of the configuration file, deleted on drop.
    _folder: TempDir,
}

/// The resource usage of a process.
#[derive(Clone, Copy, Debug)]
pub struct Usage {
    /// Processor time of all threads, in seconds.
    pub cpu_s: f64,
    /// Resident memory, in kilobytes.
    pub rss_kb: u64,
    /// The number of open descriptors.
    pub descriptors: usize,
}

impl Usage {
    /// This usage, with the processor time counted since `before`.
    pub fn since(&self, before: &Usage) -> Usage {
        Usage { cpu_s: self.cpu_s - before.cpu_s, ..*self }
    }
}

impl Balancer {
    /// Starts a daemon with this number of listed servers and this limit of descriptors, and waits until it is ready.
    pub async fn start(
        fake_servers: &FakeServers,
        servers: usize,
        descriptors: usize,
        seed: u64,
    ) -> Balancer {
        let address = free_address().await;
        let folder = tempfile::tempdir().expect("cannot create a temporary folder");
        let path = folder.path().join("config.json");
        fs::write(&path, configuration(address, fake_servers, servers, descriptors, seed))
            .expect("cannot write the configuration");
        let child = Command::new(env!("CARGO_BIN_EXE_juniperladder"))
            .env_clear()
            .env("NODE_CONFIG", &path)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .expect("cannot start the daemon");
        let balancer = Balancer { child, address, _folder: folder };
        let mut attempts = 0;
        while !is_ready(address).await {
            attempts += 1;
            assert!(attempts < READY_ATTEMPTS, "the daemon is not ready after {attempts} checks");
            tokio::time::sleep(READY_INTERVAL).await;
        }
        tokio::time::sleep(Duration::from_millis(300)).await;
        balancer
    }

    /// The address for clients.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The current resource usage, with the processor time since the start of the process.
    pub fn usage(&self) -> Usage {
        let folder = PathBuf::from(format!("/proc/{}", self.child.id()));
        let status = fs::read_to_string(folder.join("status")).expect("cannot read the process status");
        let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let rss_kb = resident
            .and_then(|text| text.split_whitespace().next()?.parse().ok())
            .expect("the process status has no valid VmRSS");
        let threads = fs::read_dir(folder.join("task")).expect("cannot list the threads").flatten();
        let nanoseconds = |thread: fs::DirEntry| -> Option<u64> {
            let text = fs::read_to_string(thread.path().join("schedstat")).ok()?;
            text.split_whitespace().next()?.parse().ok()
        };
        let cpu_s = threads.filter_map(nanoseconds).sum::<u64>() as f64 / 1e9;
        let descriptors = fs::read_dir(folder.join("fd")).expect("cannot list the descriptors").count();
        Usage { cpu_s, rss_kb, descriptors }
    }

    /// Measures the processor time used during the next `time`, in seconds.
    pub async fn cpu_time_over(&self, time: Duration) -> f64 {
        let before = self.usage();
        tokio::time::sleep(time).await;
        self.usage().since(&before).cpu_s
    }
}

impl Drop for Balancer {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

async fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("cannot listen on loopback");
    listener.local_addr().expect("the listener has no address")
}

async fn is_ready(address: SocketAddr) -> bool {
    let check = async {
        let mut stream = TcpStream::connect(address).await.ok()?;
        stream.write_all(b"mn\r\n").await.ok()?;
        let mut answer = [0; 4];
        stream.read_exact(&mut answer).await.ok()
    };
    check.await.is_some()
}

fn configuration(
    address: SocketAddr,
    fake_servers: &FakeServers,
    servers: usize,
    descriptors: usize,
    seed: u64,
) -> String {
    format!(
        r#"{{"name":"b0","listen":"{address}","discovery":"{discovery}","seed":"{seed:016x}",
        "limits":{{"cores":1.0,"memory_mb":192,"sockets":{descriptors}}},
        "known":{known},
        "settings":{{"az":0,"balancers":2000,"categories":[{{"aim":4000000,"effect":"pure","give-up":5000000,
          "name":"read","worth":1.0}},
          {{"aim":4000000,"effect":"side_effect","give-up":5000000,"name":"put","worth":1.0}}],"kinds":["cache"],"zones":["x"],"tick":5000,"membership-mode":"subscribe",
        "limits":{{"conn-idle":5000000,"connect-timeout":1000000,"max-attempts":3,"retry-after":true}},
        "rules":{{"ask-within":1000000,"cold-share":0.32,"warm-up":9000000}}}}}}"#,
        discovery = fake_servers.discovery(),
        known = fake_servers.list(servers, true, 1),
    )
}
