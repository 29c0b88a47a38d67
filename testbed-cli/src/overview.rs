//! `overview`: a table of many runs by experiment and number of balancers, with the range over seeds, and a chart of
//! figures by number of balancers.

#[cfg(test)]
mod tests;

use std::collections::BTreeMap;
use std::path::Path;

use juniperladder_platform_model::experiment::Experiment;
use juniperladder_platform_model::summary::Summary;

use crate::charts::{size_charts, SizeFigure, SizeLine};
use crate::compare::find_summaries;
use crate::exit::ExitStatus;

/// A function that reads a figure from a summary.
type FigureReader = fn(&Summary) -> Option<f64>;
/// A column: its name, its number of decimals, and its figure.
type Column = (&'static str, usize, FigureReader);

const FIGURE_COLUMNS: [Column; 12] = [
    ("service", 3, |s| Some(s.service)),
    ("served %", 1, |s| Some(100.0 * s.served as f64 / s.requests.max(1) as f64)),
    ("attempts", 2, |s| Some(s.attempts_per_request)),
    ("peak", 2, |s| Some(s.spread.peak)),
    ("fair peak", 2, |s| Some(s.spread.fair_peak)),
    ("least", 2, |s| Some(s.spread.least)),
    ("fair least", 2, |s| Some(s.spread.fair_least)),
    ("herd / fair", 2, |s| (s.spread.fair_herd > 0.0).then(|| s.spread.herd / s.spread.fair_herd)),
    ("origin peak", 2, |s| Some(s.limits.get("origin").map_or(s.origin.peak, |limit| limit.peak))),
    ("origin use", 3, |s| s.limits.get("origin").and_then(|limit| limit.usage)),
    ("lost sends", 0, |s| {
        (s.failure_detection.lost_sends > 0).then_some(s.failure_detection.lost_sends as f64)
    }),
    ("packets", 1, |s| (s.peers.packets_per_s > 0.0).then_some(s.peers.packets_per_s)),
];

/// Lower bound of the fair peak that a peak is divided by, against division by zero.
const MIN_FAIR_PEAK: f64 = 1e-9;

/// Summaries of runs by experiment and number of balancers.
type RunsBySize = BTreeMap<String, BTreeMap<usize, Vec<Summary>>>;

/// Prints a Markdown table of all runs below a folder; writes the chart if a file for it is given. The status is
/// [`ExitStatus::FAILED`] if a run violated a rule.
pub fn overview(folder: &Path, chart: Option<&Path>) -> ExitStatus {
    let runs = read_runs(folder);
    if runs.is_empty() {
        eprintln!("no runs found below {}", folder.display());
        return ExitStatus::CANNOT_RUN;
    }
    let violations = print_table(&runs);
    if let Some(path) = chart {
        if let Err(error) = write_chart(path, &runs) {
            eprintln!("cannot write the chart {}: {error}", path.display());
            return ExitStatus::CANNOT_RUN;
        }
    }
    if violations > 0 {
        ExitStatus::FAILED
    } else {
        ExitStatus::PASSED
    }
}

fn read_runs(folder: &Path) -> RunsBySize {
    let mut runs = RunsBySize::new();
    for (path, summary) in find_summaries(folder) {
        let text = std::fs::read_to_string(path.join("experiment.json")).unwrap_or_default();
        let Ok(experiment) = serde_json::from_str::<Experiment>(&text) else { continue };
        let sizes = runs.entry(summary.name.clone()).or_default();
        sizes.entry(experiment.fleet.balancers).or_default().push(summary);
    }
    runs
}

/// Prints a row for each experiment and number of balancers; returns the total of rule violations.
fn print_table(runs: &RunsBySize) -> u64 {
    let names: Vec<&str> = FIGURE_COLUMNS.iter().map(|(name, ..)| *name).collect();
    println!("| experiment | balancers | runs | rules broken | {} |", names.join(" | "));
    println!("|{}", " --- |".repeat(names.len() + 4));
    let mut total_violations = 0;
    for (name, sizes) in runs {
        for (size, summaries) in sizes {
            let violations: u64 = summaries.iter().map(|summary| summary.rules.total()).sum();
            total_violations += violations;
            let cells: Vec<String> =
                FIGURE_COLUMNS.iter().map(|column| format_cell(column, summaries)).collect();
            println!("| {name} | {size} | {} | {violations} | {} |", summaries.len(), cells.join(" | "));
        }
    }
    total_violations
}

fn write_chart(path: &Path, runs: &RunsBySize) -> Result<(), Box<dyn std::error::Error>> {
    let figures = [
        SizeFigure { title: "Service", lines: mean_lines(runs, |s| Some(s.service)) },
        SizeFigure {
            title: "Spread: peak as a ratio to that of fair draws",
            lines: mean_lines(runs, |s| Some(s.spread.peak / s.spread.fair_peak.max(MIN_FAIR_PEAK))),
        },
    ];
    std::fs::write(path, size_charts(&figures)?)?;
    Ok(())
}

/// Makes a line for each experiment, with the mean of a figure at each number of balancers.
fn mean_lines(runs: &RunsBySize, value_of: FigureReader) -> Vec<SizeLine> {
    let mean = |summaries: &[Summary]| {
        let values: Vec<f64> = summaries.iter().filter_map(value_of).collect();
        values.iter().sum::<f64>() / values.len().max(1) as f64
    };
    let line = |(name, sizes): (&String, &BTreeMap<usize, Vec<Summary>>)| SizeLine {
        name: name.clone(),
        points: sizes.iter().map(|(size, summaries)| (*size, mean(summaries))).collect(),
    };
    runs.iter().map(line).collect()
}

/// Formats the mean of a figure, with its minimum and maximum if they differ.
fn format_cell((_, decimals, value_of): &Column, runs: &[Summary]) -> String {
    let values: Vec<f64> = runs.iter().filter_map(value_of).collect();
    if values.is_empty() {
        return "-".into();
    }
    let format_value = |value: f64| format!("{value:.decimals$}");
    let mean = format_value(values.iter().sum::<f64>() / values.len() as f64);
    let min = format_value(values.iter().copied().fold(f64::INFINITY, f64::min));
    let max = format_value(values.iter().copied().fold(f64::NEG_INFINITY, f64::max));
    if min == max {
        mean
    } else {
        format!("{mean} ({min} to {max})")
    }
}
