//! The files of a run besides its report: the summary, the experiment, the violations and the crashes as JSON, and CSV tables
//! with one compact record per request, attempt, second or self-report. The names and formats of the files and their columns
//! are stable.

use std::fs::File;
use std::io::{self, BufWriter, Write};
use std::path::Path;

use juniperladder_platform_model::checker::self_reports::SelfReport;
use juniperladder_platform_model::checker::series::Series;
use juniperladder_platform_model::checker::{CheckConfig, CheckResult};
use juniperladder_platform_model::event_log::{Attempt, ClientRequest, Receiver};
use juniperladder_platform_model::experiment::Experiment;
use juniperladder_platform_model::{Micros, MICROS_PER_SECOND};
use juniperladder_testbed::RunRecord;
use serde::Serialize;

/// The columns of `commands.csv`, with one row per request.
const REQUEST_COLUMNS: [&str; 10] =
    ["id", "first", "balancer", "key", "write", "planned", "sent", "deadline", "ended", "end"];
/// The columns of `attempts.csv`, with one row per attempt.
const ATTEMPT_COLUMNS: [&str; 7] = ["id", "balancer", "at", "begun", "answered", "became", "cold"];
/// The columns of `hosts.csv`, with one row per cache server and second; a load is the ratio to the server's fair share.
const SERVER_COLUMNS: [&str; 3] = ["host", "second", "load"];
/// The columns of `holders.csv`, with one row per self-report of a process.
const SELF_REPORT_COLUMNS: [&str; 6] = ["second", "balancer", "held", "used", "members", "passed_by"];

/// Writes all files of a run besides its report to its folder.
///
/// # Errors
/// If a file cannot be written.
pub fn write_tables(
    out: &Path,
    experiment: &Experiment,
    run: &RunRecord,
    check_config: &CheckConfig,
    checked: &CheckResult,
) -> io::Result<()> {
    write_json(&out.join("summary.json"), &checked.summary)?;
    write_json(&out.join("experiment.json"), experiment)?;
    write_json(&out.join("breaches.json"), &checked.violations)?;
    write_json(&out.join("crashes.json"), &run.crashes)?;
    write_series(out, &checked.series)?;
    write_requests(&out.join("commands.csv"), &run.event_log.requests, check_config)?;
    write_attempts(&out.join("attempts.csv"), &run.event_log.attempts, check_config)?;
    write_self_reports(&out.join("holders.csv"), &run.self_reports, check_config)
}

fn write_json<T: Serialize>(path: &Path, value: &T) -> io::Result<()> {
    let mut file = BufWriter::new(File::create(path)?);
    serde_json::to_writer_pretty(&mut file, value)?;
    file.write_all(b"\n")?;
    file.flush()
}

fn write_series(out: &Path, series: &Series) -> io::Result<()> {
    let mut seconds = csv::Writer::from_path(out.join("seconds.csv"))?;
    for second in &series.seconds {
        seconds.serialize(second)?;
    }
    seconds.flush()?;
    let mut servers = csv::Writer::from_path(out.join("hosts.csv"))?;
    servers.write_record(SERVER_COLUMNS)?;
    for (server, loads) in series.server_loads.iter().enumerate() {
        for (second, load) in loads.iter().enumerate() {
            servers.write_record([server.to_string(), second.to_string(), format!("{load:.3}")])?;
        }
    }
    servers.flush()
}

fn write_self_reports(path: &Path, reports: &[SelfReport], check_config: &CheckConfig) -> io::Result<()> {
    let mut table = csv::Writer::from_path(path)?;
    table.write_record(SELF_REPORT_COLUMNS)?;
    for report in reports.iter().filter(|report| check_config.is_measured(report.at)) {
        let second = (report.at - check_config.measured_from) / MICROS_PER_SECOND;
        let SelfReport {
            balancer, usable_origin_tokens, used_origin_tokens, members, avoided_servers, ..
        } = *report;
        table.serialize((
            second,
            balancer,
            usable_origin_tokens,
            used_origin_tokens,
            members,
            avoided_servers,
        ))?;
    }
    table.flush()
}

fn write_requests(path: &Path, requests: &[ClientRequest], check_config: &CheckConfig) -> io::Result<()> {
    let mut table = csv::Writer::from_path(path)?;
    table.write_record(REQUEST_COLUMNS)?;
    for request in requests {
        table.write_record([
            format!("{:x}", request.id),
            format!("{:x}", request.first_id),
            request.balancer.to_string(),
            request.key.to_string(),
            u8::from(request.write).to_string(),
            format_ms(request.planned_at, check_config),
            format_ms(request.sent_at, check_config),
            format_ms(request.deadline, check_config),
            request.ended_at.map_or(String::new(), |at| format_ms(at, check_config)),
            request.result.to_string(),
        ])?;
    }
    table.flush()
}

fn write_attempts(path: &Path, attempts: &[Attempt], check_config: &CheckConfig) -> io::Result<()> {
    let mut table = csv::Writer::from_path(path)?;
    table.write_record(ATTEMPT_COLUMNS)?;
    for attempt in attempts {
        table.write_record([
            format!("{:x}", attempt.id),
            attempt.balancer.to_string(),
            match attempt.receiver {
                Receiver::CacheServer(server) => server.to_string(),
                Receiver::Origin => "origin".into(),
            },
            format_ms(attempt.received_at, check_config),
            attempt.answered_at.map_or(String::new(), |at| format_ms(at, check_config)),
            attempt.result.to_string(),
            u8::from(attempt.in_slow_start).to_string(),
        ])?;
    }
    table.flush()
}

/// Formats a time as milliseconds since the start of the measured time; negative during the warm-up.
fn format_ms(at: Micros, check_config: &CheckConfig) -> String {
    format!("{:.3}", (at as f64 - check_config.measured_from as f64) / 1e3)
}
