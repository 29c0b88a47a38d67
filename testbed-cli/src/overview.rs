//! `overview`: a table over many runs, by experiment and by the number of balancers, with the spread over seeds, and a
//! chart of how figures change with that number.

#[cfg(test)]
mod tests;

use std::collections::BTreeMap;
use std::path::Path;

use juniperladder_platform_model::experiment::Experiment;
use juniperladder_platform_model::summary::Summary;

use crate::charts::by_size;
use crate::compare::summaries;
use crate::exit::{BROKEN, KEPT, NOT_ALLOWED};

/// A column: its name, how many decimals, and the figure.
type Column = (&'static str, usize, fn(&Summary) -> Option<f64>);

const COLUMNS: [Column; 12] = [
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

/// Runs by experiment and number of balancers.
type Groups = BTreeMap<String, BTreeMap<usize, Vec<Summary>>>;

/// Prints the table of all runs below a folder, in Markdown; draws the chart where a file for it is named.
pub fn overview(folder: &Path, chart: Option<&Path>) -> u8 {
    let mut groups: Groups = BTreeMap::new();
    for (path, summary) in summaries(folder) {
        let text = std::fs::read_to_string(path.join("experiment.json")).unwrap_or_default();
        let Ok(experiment) = serde_json::from_str::<Experiment>(&text) else { continue };
        let sizes = groups.entry(summary.name.clone()).or_default();
        sizes.entry(experiment.fleet.balancers).or_default().push(summary);
    }
    if groups.is_empty() {
        eprintln!("{}: no runs below it", folder.display());
        return NOT_ALLOWED;
    }
    let names: Vec<&str> = COLUMNS.iter().map(|(name, ..)| *name).collect();
    println!("| experiment | balancers | runs | rules broken | {} |", names.join(" | "));
    println!("|{}", " --- |".repeat(names.len() + 4));
    let mut broken = 0;
    for (name, sizes) in &groups {
        for (size, runs) in sizes {
            let rules: u64 = runs.iter().map(|s| s.rules.total()).sum();
            broken += rules;
            let cells: Vec<String> = COLUMNS.iter().map(|column| cell(column, runs)).collect();
            println!("| {name} | {size} | {} | {rules} | {} |", runs.len(), cells.join(" | "));
        }
    }
    if let Some(path) = chart {
        let mean = |pick: fn(&Summary) -> Option<f64>| {
            let of = |sizes: &BTreeMap<usize, Vec<Summary>>| {
                let mean = |runs: &Vec<Summary>| {
                    let values: Vec<f64> = runs.iter().filter_map(pick).collect();
                    values.iter().sum::<f64>() / values.len().max(1) as f64
                };
                sizes.iter().map(|(size, runs)| (*size, mean(runs))).collect::<Vec<_>>()
            };
            groups.iter().map(|(name, sizes)| (name.clone(), of(sizes))).collect::<Vec<_>>()
        };
        let drawn = by_size(&[
            ("Service", mean(|s| Some(s.service))),
            (
                "Spread: peak over that of fair draws",
                mean(|s| Some(s.spread.peak / s.spread.fair_peak.max(1e-9))),
            ),
        ]);
        let written = drawn.and_then(|text| Ok(std::fs::write(path, text)?));
        if let Err(e) = written {
            eprintln!("{}: {e}", path.display());
            return NOT_ALLOWED;
        }
    }
    if broken > 0 {
        BROKEN
    } else {
        KEPT
    }
}

/// The mean of a figure, with its least and greatest where they differ.
fn cell((_, decimals, pick): &Column, runs: &[Summary]) -> String {
    let values: Vec<f64> = runs.iter().filter_map(pick).collect();
    if values.is_empty() {
        return "-".into();
    }
    let round = |value: f64| format!("{value:.decimals$}");
    let mean = round(values.iter().sum::<f64>() / values.len() as f64);
    let least = round(values.iter().copied().fold(f64::INFINITY, f64::min));
    let most = round(values.iter().copied().fold(f64::NEG_INFINITY, f64::max));
    if least == most {
        mean
    } else {
        format!("{mean} ({least} to {most})")
    }
}
