//! The daemon as a process with limits, and its memory as the kernel counts it.

use std::fs;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};

use crate::servers::Servers;

/// The text and libraries of a release build that are in memory.
const RELEASE_PROGRAM_KB: usize = 5 << 10;

/// A running daemon, killed on drop.
pub struct Daemon {
    child: Child,
    address: SocketAddr,
    _folder: tempfile::TempDir,
}

impl Daemon {
    /// Starts a daemon with these limits and servers, and waits until it listens.
    pub fn start(memory_mb: usize, descriptors: usize, servers: &Servers) -> Daemon {
        let folder = tempfile::tempdir().unwrap();
        let path = folder.path().join("config.json");
        fs::write(&path, config(memory_mb, descriptors, servers)).unwrap();
        let program = std::env::var("MEMORY_TEST_PROGRAM");
        let program = program.as_deref().unwrap_or(env!("CARGO_BIN_EXE_juniperladder"));
        let mut child = Command::new("/bin/sh")
            .args(["-c", &format!("ulimit -n {descriptors}; exec \"$0\""), program])
            .env("NODE_CONFIG", &path)
            .env("TMPDIR", folder.path())
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let mut log = BufReader::new(child.stderr.take().unwrap());
        let mut line = String::new();
        while !line.contains("listening") {
            line.clear();
            assert!(log.read_line(&mut line).unwrap() > 0, "the daemon has ended at its start");
        }
        let address = line.split("address: ").nth(1).and_then(|rest| rest.split(',').next()).unwrap();
        let address = address.trim().parse().unwrap();
        // The log is read on, as a full pipe would make the daemon drop lines.
        std::thread::spawn(move || {
            log.lines().map_while(Result::ok).for_each(|line| {
                if std::env::var("MEMORY_TEST_LOG").is_ok() {
                    eprintln!("{line}");
                }
            })
        });
        Daemon { child, address, _folder: folder }
    }

    /// Where clients connect.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The most memory that the process has had at any moment, with the text and libraries of a release build in place of
    /// those of this one.
    pub fn peak_memory_kb(&self) -> usize {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let field = |name: &str| -> usize {
            let text = status.lines().find_map(|line| line.strip_prefix(name)).expect("the daemon has ended");
            text.split_whitespace().next().unwrap().parse().unwrap()
        };
        field("VmHWM:") - field("RssFile:") + RELEASE_PROGRAM_KB
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn config(memory_mb: usize, descriptors: usize, servers: &Servers) -> String {
    let entry = |number: usize, address: SocketAddr, kind: &str| {
        format!(
            r#"{{"instanceId":"s-{number:08x}","hostPort":"{address}","zone":"x","machineType":"{kind}","cell":0,"lifecycle":"in_service","weight":1.0,"startedAtMs":0}}"#
        )
    };
    let mut entries: Vec<String> = servers
        .caches
        .iter()
        .enumerate()
        .map(|(number, address)| entry(number + 1, *address, "cache"))
        .collect();
    entries.push(entry(99, servers.origin, "origin"));
    format!(
        r#"{{"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"8c1f30d27a5be964",
        "limits":{{"cores":1.0,"memory_mb":{memory_mb},"sockets":{descriptors}}},
        "known":{{"generation":41,"reset":true,"instances":[{}]}},
        "settings":{{"az":0,"balancers":1,"categories":[
            {{"aim":800000,"effect":"pure","give-up":4000000,"name":"read","worth":1.0}},
            {{"aim":800000,"effect":"token","give-up":4000000,"name":"put","window":2000000,"worth":1.0}}],
        "extra":{{"mode":"aside","origin-kind":1}},"kinds":["cache","origin"],"zones":["x"],"tick":5000,
        "membership-mode":"subscribe",
        "limits":{{"conn-idle":5000000,"connect-timeout":250000,"max-attempts":3,"may-duplicate":true,"retry-after":true}},
        "rules":{{"ask-within":10000000,"cold-share":0.32,"warm-up":9000000}}}}}}"#,
        entries.join(",")
    )
}
