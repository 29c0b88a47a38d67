//! What a run leaves beside its report: `summary.json`, tables as CSV, one compact record a request.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;

use juniperladder_platform_model::checker::{CheckResult, CheckTerms};
use juniperladder_platform_model::event_log::{EventLog, Receiver};
use juniperladder_platform_model::experiment::Experiment;
use juniperladder_platform_model::MICROS_PER_SECOND;
use juniperladder_testbed::holders::SelfReport;
use serde::Serialize;

/// Writes all tables of a run into its folder.
///
/// # Errors
/// What kept a file from being written.
pub fn write(
    out: &Path,
    experiment: &Experiment,
    event_log: &EventLog,
    terms: &CheckTerms,
    verdict: &CheckResult,
    crashes: &[String],
) -> std::io::Result<()> {
    json(&out.join("summary.json"), &verdict.summary)?;
    json(&out.join("experiment.json"), experiment)?;
    json(&out.join("breaches.json"), &verdict.violations)?;
    json(&out.join("crashes.json"), &crashes)?;
    let mut seconds = csv::Writer::from_path(out.join("seconds.csv"))?;
    for second in &verdict.series.seconds {
        seconds.serialize(second)?;
    }
    seconds.flush()?;
    let mut servers = csv::Writer::from_path(out.join("hosts.csv"))?;
    servers.write_record(["host", "second", "load"])?;
    for (server, loads) in verdict.series.server_loads.iter().enumerate() {
        for (second, load) in loads.iter().enumerate() {
            servers.write_record([server.to_string(), second.to_string(), format!("{load:.3}")])?;
        }
    }
    servers.flush()?;
    commands(&out.join("commands.csv"), event_log, terms)?;
    attempts(&out.join("attempts.csv"), event_log, terms)
}

fn json<T: Serialize>(path: &Path, value: &T) -> std::io::Result<()> {
    let mut file = BufWriter::new(File::create(path)?);
    serde_json::to_writer_pretty(&mut file, value)?;
    file.write_all(b"\n")?;
    file.flush()
}

/// One line for what a process said it holds, once a second.
///
/// # Errors
/// What kept the file from being written.
pub fn holders(out: &Path, holders: &[SelfReport], terms: &CheckTerms) -> std::io::Result<()> {
    let mut table = csv::Writer::from_path(out.join("holders.csv"))?;
    table.write_record(["second", "balancer", "held", "used", "members", "passed_by"])?;
    for one in holders.iter().filter(|one| terms.is_measured(one.at)) {
        let second = (one.at - terms.measured_from) / MICROS_PER_SECOND;
        table.serialize((second, one.balancer, one.reserved, one.used, one.members, one.avoided_servers))?;
    }
    table.flush()
}

/// Milliseconds from the experiment's beginning.
fn ms(at: u64, terms: &CheckTerms) -> String {
    format!("{:.3}", (at as f64 - terms.measured_from as f64) / 1e3)
}

/// One line a request.
fn commands(path: &Path, event_log: &EventLog, terms: &CheckTerms) -> std::io::Result<()> {
    let mut table = csv::Writer::from_path(path)?;
    table.write_record([
        "id", "first", "balancer", "key", "write", "planned", "sent", "deadline", "ended", "end",
    ])?;
    for c in &event_log.requests {
        table.write_record([
            format!("{:x}", c.id),
            format!("{:x}", c.first_id),
            c.balancer.to_string(),
            c.key.to_string(),
            u8::from(c.write).to_string(),
            ms(c.planned_at, terms),
            ms(c.sent_at, terms),
            ms(c.deadline, terms),
            c.ended_at.map_or(String::new(), |at| ms(at, terms)),
            c.result.to_string(),
        ])?;
    }
    table.flush()
}

/// One line an attempt.
fn attempts(path: &Path, event_log: &EventLog, terms: &CheckTerms) -> std::io::Result<()> {
    let mut table = csv::Writer::from_path(path)?;
    table.write_record(["id", "balancer", "at", "begun", "answered", "became", "cold"])?;
    for a in &event_log.attempts {
        table.write_record([
            format!("{:x}", a.id),
            a.balancer.to_string(),
            match a.receiver {
                Receiver::CacheServer(server) => server.to_string(),
                Receiver::Origin => "origin".into(),
            },
            ms(a.received_at, terms),
            a.answered_at.map_or(String::new(), |at| ms(at, terms)),
            a.result.to_string(),
            u8::from(a.in_slow_start).to_string(),
        ])?;
    }
    table.flush()
}
