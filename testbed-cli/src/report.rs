//! `report.html`: a self-contained page about a run, generated from the files of the run.

mod page;

use std::fs::File;
use std::io::BufReader;
use std::path::{Path, PathBuf};

use juniperladder_platform_model::checker::rules::Violation;
use juniperladder_platform_model::checker::series::Second;
use juniperladder_platform_model::experiment::Experiment;
use juniperladder_platform_model::summary::Summary;
use serde::de::DeserializeOwned;

use crate::charts;
use crate::exit::ExitStatus;

type Error = Box<dyn std::error::Error>;

/// A failure to read a file of a run.
#[derive(Debug, thiserror::Error)]
enum RunFileError {
    /// The file cannot be opened.
    #[error("cannot open {}: {source}", path.display())]
    Open { path: PathBuf, source: std::io::Error },
    /// The content of the file is malformed.
    #[error("malformed JSON in {}: {source}", path.display())]
    Malformed { path: PathBuf, source: serde_json::Error },
}

/// The contents of a run's files that the page shows.
struct RunFiles {
    summary: Summary,
    experiment: Experiment,
    violations: Vec<Violation>,
    /// Descriptions of the processes that ended unexpectedly.
    crashes: Vec<String>,
    seconds: Vec<Second>,
    /// Load of each cache server in each second, as a ratio to its fair share.
    server_loads: Vec<Vec<f64>>,
}

impl RunFiles {
    fn read(folder: &Path) -> Result<RunFiles, Error> {
        Ok(RunFiles {
            summary: read_json(&folder.join("summary.json"))?,
            experiment: read_json(&folder.join("experiment.json"))?,
            violations: read_json(&folder.join("breaches.json"))?,
            crashes: read_json(&folder.join("crashes.json"))?,
            seconds: read_seconds(&folder.join("seconds.csv"))?,
            server_loads: read_server_loads(&folder.join("hosts.csv"))?,
        })
    }
}

fn read_json<T: DeserializeOwned>(path: &Path) -> Result<T, RunFileError> {
    let open_error = |source| RunFileError::Open { path: path.to_path_buf(), source };
    let malformed_error = |source| RunFileError::Malformed { path: path.to_path_buf(), source };
    let file = File::open(path).map_err(open_error)?;
    serde_json::from_reader(BufReader::new(file)).map_err(malformed_error)
}

fn read_seconds(path: &Path) -> Result<Vec<Second>, Error> {
    Ok(csv::Reader::from_path(path)?.deserialize().collect::<Result<_, _>>()?)
}

fn read_server_loads(path: &Path) -> Result<Vec<Vec<f64>>, Error> {
    let mut loads: Vec<Vec<f64>> = Vec::new();
    for row in csv::Reader::from_path(path)?.deserialize() {
        let (server, _, load): (usize, usize, f64) = row?;
        loads.resize_with(loads.len().max(server + 1), Vec::new);
        loads[server].push(load);
    }
    Ok(loads)
}

/// Writes the report of a run from the files in its folder.
///
/// # Errors
/// If a file cannot be read or written, or a chart cannot be drawn.
pub fn write_report(folder: &Path) -> Result<(), Error> {
    let files = RunFiles::read(folder)?;
    let mut charts = vec![
        charts::results_chart(&files.experiment, &files.seconds)?,
        charts::latency_chart(&files.experiment, &files.seconds)?,
        charts::origin_chart(&files.experiment, &files.seconds)?,
        charts::heat_map("Load of each host as a ratio to its fair share", "host", &files.server_loads)?,
    ];
    charts.extend(limit_charts(folder, &files)?);
    std::fs::write(folder.join("report.html"), page::render_page(&files, &charts)?)?;
    Ok(())
}

/// Charts of the tokens of the origin limit that the balancers report as reserved and used. None if the balancers do not
/// coordinate or `holders.csv` cannot be opened.
fn limit_charts(folder: &Path, files: &RunFiles) -> Result<Vec<String>, Error> {
    let usage = files.summary.limits.get("origin").filter(|usage| usage.bound.is_some());
    let (Some(usage), Ok(table)) = (usage, csv::Reader::from_path(folder.join("holders.csv"))) else {
        return Ok(Vec::new());
    };
    let limit = usage.limit;
    let seconds = files.seconds.len();
    let balancers = files.experiment.fleet.balancers;
    let mut reserved_by_all = vec![0.0; seconds];
    let mut used_by_all = vec![0.0; seconds];
    let mut reserved_ratios = vec![vec![0.0; seconds]; balancers];
    for row in table.into_deserialize() {
        let (second, balancer, reserved, used, ..): (usize, usize, f64, f64, f64, f64) = row?;
        if second < seconds && balancer < balancers {
            reserved_ratios[balancer][second] = reserved / (limit / balancers as f64);
            reserved_by_all[second] += reserved;
            used_by_all[second] += used;
        }
    }
    let lines = [
        charts::Line { name: "whole", colour: charts::GREY, values: vec![limit; seconds] },
        charts::Line { name: "held", colour: charts::ORANGE, values: reserved_by_all },
        charts::Line { name: "used", colour: charts::BLUE, values: used_by_all },
    ];
    let title = "Units of the origin's limit held and used by all balancers, as reported";
    let heat_title = "Units held by each balancer over its part by count";
    Ok(vec![
        charts::line_chart(&files.experiment, title, &lines)?,
        charts::heat_map(heat_title, "balancer", &reserved_ratios)?,
    ])
}

/// Regenerates the report of a run and prints its path.
pub fn rewrite_report(folder: &Path) -> ExitStatus {
    match write_report(folder) {
        Ok(()) => {
            println!("{}", folder.join("report.html").display());
            ExitStatus::PASSED
        }
        Err(error) => {
            eprintln!(
                "cannot write the report of the run in {}: {error}; check that this is the folder of a run",
                folder.display()
            );
            ExitStatus::CANNOT_RUN
        }
    }
}
