//! Real processes of the balancer, started with the command of the deploy file.

use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

use super::client::Connection;
use super::process::{self, Process};
use super::record::Record;

/// An entry of discovery's list.
pub fn list_entry(id: &str, address: &str, kind: &str, lifecycle: &str) -> String {
    format!(
        r#"{{"instanceId":"{id}","hostPort":"{address}","zone":"north","machineType":"{kind}","cell":0,"lifecycle":"{lifecycle}","weight":1.0,"startedAtMs":0}}"#
    )
}

/// A class of requests. Times are in milliseconds.
pub struct Class {
    pub name: &'static str,
    /// `pure`, `token` or `side_effect`.
    pub effect: &'static str,
    pub aim_ms: u64,
    pub give_up_ms: u64,
    pub window_ms: u64,
}

/// The settings of a small deployment.
pub struct Deployment<'a> {
    pub classes: &'a [Class],
    pub memory_mb: u64,
    pub sockets: u64,
    pub max_attempts: u32,
    pub entries: Vec<String>,
    pub discovery: String,
}

impl Deployment<'_> {
    fn settings(&self) -> String {
        let classes: Vec<String> = self
            .classes
            .iter()
            .map(|class| {
                format!(
                    r#"{{"aim":{},"effect":"{}","give-up":{},"group":"all","late-worth":0.0,"name":"{}","stream":false,"window":{},"worth":1.0}}"#,
                    class.aim_ms * 1000,
                    class.effect,
                    class.give_up_ms * 1000,
                    class.name,
                    class.window_ms * 1000
                )
            })
            .collect();
        format!(
            r#"{{"az":0,"balancers":1,"position":0,"categories":[{}],"clients":{{"marks-retry":true}},"domain-type":"cache",
            "extra":{{"mode":"aside","origin-kind":1,"origin-fall":3000000,"origin-fall-multiple":2.5}},
            "feedback":{{"how":"none","names":[]}},"kinds":["node","origin"],
            "limits":{{"cancel":true,"conn-idle":5000000,"connect-timeout":250000,"cpu-us-per-request":0.0,"cpu-us-per-s":500000,
              "max-attempts":{},"max-open":20000,"max-retry-after":2000000,"may-duplicate":true,"may-tell":false,
              "multiplex":100,"probes":false,"retry-after":true}},
            "membership-mode":"subscribe","orgs":[],
            "rules":{{"answer-slack":20000,"ask-within":10000000,"cold-share":0.32,"drain-grace":500000,"fall":1000000,
              "fall-multiple":4.0,"warm-up":9000000}},
            "tick":5000,"tier":0,"tiers":["nodes"],"weights":"none","worth-by":"request","zones":["north"]}}"#,
            classes.join(","),
            self.max_attempts
        )
    }

    fn config(&self, name: &str, listen: &str) -> String {
        format!(
            r#"{{"name":"{name}","listen":"{listen}","discovery":"{}","seed":"8c1f30d27a5be964",
            "limits":{{"cores":1.0,"memory_mb":{},"sockets":{}}},
            "known":{{"generation":1,"reset":true,"instances":[{}]}},
            "settings":{}}}"#,
            self.discovery,
            self.memory_mb,
            self.sockets,
            self.entries.join(","),
            self.settings()
        )
    }
}

/// A running balancer.
pub struct Balancer {
    pub process: Process,
    pub address: String,
}

impl Balancer {
    /// Starts a balancer on a free port, and waits until it is ready.
    pub fn start(name: &str, deployment: &Deployment<'_>, record: &Record) -> Result<Balancer, String> {
        let address = process::free_address()?;
        let scratch = process::scratch();
        let config = scratch.join(format!("{name}.json"));
        std::fs::write(&config, deployment.config(name, &address)).map_err(|error| error.to_string())?;
        let temporary = scratch.join(format!("tmp-{name}"));
        std::fs::create_dir_all(&temporary).map_err(|error| error.to_string())?;
        let log = scratch.join(format!("{name}.log"));
        let run = deploy_command("run")?;
        let mut command = Command::new("/bin/sh");
        command
            .arg("-c")
            .arg(&run)
            .current_dir(process::root())
            .env("NODE_CONFIG", &config)
            .env("NODE_NAME", name);
        command
            .env("NODE_LISTEN", &address)
            .env("NODE_DISCOVERY", &deployment.discovery)
            .env("TMPDIR", &temporary);
        command.env_remove("NODE_MGMT").env_remove("NODE_OPERATOR");
        command.stdin(Stdio::null()).stdout(process::output_file(&log)?).stderr(process::output_file(&log)?);
        let process = Process::spawn(name, &mut command)?;
        record.line(&format!("{name} started at {address}: {run}"));
        let mut balancer = Balancer { process, address };
        balancer.wait_until_ready()?;
        record.line(&format!("{name} is ready"));
        Ok(balancer)
    }

    fn wait_until_ready(&mut self) -> Result<(), String> {
        let deadline = Instant::now() + Duration::from_secs(10);
        while Instant::now() < deadline {
            if let Some(status) = self.process.ended() {
                return Err(format!("{} ended at its start: {status}", self.process.name));
            }
            if let Ok(mut connection) = Connection::open(&self.address) {
                let sent = connection.send(b"mn\r\n");
                let answer = connection.read_answer(Instant::now() + Duration::from_secs(1));
                if sent.is_ok() && answer.is_ok_and(|answer| answer.line == "MN") {
                    return Ok(());
                }
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        Err(format!("{} is not ready", self.process.name))
    }
}

/// A command of the deploy file.
fn deploy_command(name: &str) -> Result<String, String> {
    let text =
        std::fs::read_to_string(process::root().join("deploy/balancer.toml")).map_err(|e| e.to_string())?;
    let prefix = format!("{name} = \"");
    let line = text.lines().find(|line| line.starts_with(&prefix)).ok_or(format!("no command {name}"))?;
    line[prefix.len()..].split('"').next().map(str::to_owned).ok_or(format!("no command {name}"))
}
