//! `compare`: compares the runs of two versions, before and after a change, paired by experiment and seed. Bootstrap
//! confidence intervals tell differences from noise.

#[cfg(test)]
mod tests;

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

use juniperladder_platform_model::rng::{seeded_rng, RngStream};
use juniperladder_platform_model::summary::Summary;
use rand::Rng;

use crate::exit::ExitStatus;

/// Number of bootstrap resamples of an interval.
const RESAMPLE_COUNT: usize = 10_000;
/// Smallest number of pairs for which an interval is computed.
const MIN_PAIRS: usize = 3;
/// Greatest depth of the subfolders that are searched for runs.
const MAX_FOLDER_DEPTH: usize = 3;

/// A compared figure: its name, and the function that reads it from a summary.
type Figure = (&'static str, fn(&Summary) -> Option<f64>);

const COMPARED_FIGURES: [Figure; 17] = [
    ("service", |s| Some(s.service)),
    ("served", |s| Some(s.served as f64 / s.requests.max(1) as f64)),
    ("refused", |s| Some(s.rejected as f64 / s.requests.max(1) as f64)),
    ("lost", |s| Some(s.lost as f64)),
    ("attempts a command", |s| Some(s.attempts_per_request)),
    ("p50 ms", |s| Some(s.latency_ms.p50)),
    ("p99 ms", |s| Some(s.latency_ms.p99)),
    ("spread.peak / fair", |s| ratio_to_fair(s.spread.peak, s.spread.fair_peak)),
    ("spread.least / fair", |s| ratio_to_fair(s.spread.least, s.spread.fair_least)),
    ("spread.herd / fair", |s| ratio_to_fair(s.spread.herd, s.spread.fair_herd)),
    ("spread.idle", |s| Some(s.spread.idle as f64)),
    ("origin.peak", |s| Some(s.origin.peak)),
    ("origin.useful", |s| s.origin.useful),
    ("origin use", |s| s.limits.get("origin").and_then(|limit| limit.usage)),
    ("lost sends", |s| Some(s.failure_detection.lost_sends as f64)),
    ("verdicts.spread_p99_ms", |s| s.failure_detection.spread_p99_ms),
    ("balancer cpu ms", |s| Some(s.cpu.balancer_ms_per_request)),
];

/// The ratio of a value to its value under fair draws; none if the latter is 0.
fn ratio_to_fair(value: f64, fair: f64) -> Option<f64> {
    (fair > 0.0).then(|| value / fair)
}

/// The significance and direction of a difference.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Judgement {
    /// Too few pairs for an interval.
    TooFewPairs,
    /// No difference in any pair.
    Same,
    /// The interval contains zero.
    Noise,
    /// The figure is greater after the change.
    More,
    /// The figure is smaller after the change.
    Less,
}

impl std::fmt::Display for Judgement {
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        out.write_str(match self {
            Judgement::TooFewPairs => "too few pairs to tell",
            Judgement::Same => "the same",
            Judgement::Noise => "noise",
            Judgement::More => "more",
            Judgement::Less => "less",
        })
    }
}

/// The comparison of a figure over pairs of runs.
#[derive(Clone, Debug, PartialEq)]
pub struct PairedFigure {
    /// Mean of the runs before the change.
    pub before: f64,
    /// Mean of the runs after the change.
    pub after: f64,
    /// 95% confidence interval of the mean difference; none with too few pairs.
    pub interval: Option<(f64, f64)>,
}

impl PairedFigure {
    /// Compares pairs of a value before and after the change; none without pairs.
    pub fn of_pairs(pairs: &[(f64, f64)]) -> Option<PairedFigure> {
        if pairs.is_empty() {
            return None;
        }
        let differences: Vec<f64> = pairs.iter().map(|(before, after)| after - before).collect();
        Some(PairedFigure {
            before: mean(pairs.iter().map(|(before, _)| *before)),
            after: mean(pairs.iter().map(|(_, after)| *after)),
            interval: (pairs.len() >= MIN_PAIRS).then(|| bootstrap_interval(&differences)),
        })
    }

    /// Judges the difference by its interval.
    pub fn judgement(&self) -> Judgement {
        match self.interval {
            None => Judgement::TooFewPairs,
            Some((0.0, 0.0)) => Judgement::Same,
            Some((low, high)) if low <= 0.0 && high >= 0.0 => Judgement::Noise,
            Some((low, _)) if low > 0.0 => Judgement::More,
            Some(_) => Judgement::Less,
        }
    }
}

fn mean(values: impl ExactSizeIterator<Item = f64>) -> f64 {
    let count = values.len() as f64;
    values.sum::<f64>() / count
}

/// The 95% confidence interval of the mean, by bootstrap with a fixed seed: equal differences give equal intervals.
fn bootstrap_interval(differences: &[f64]) -> (f64, f64) {
    let mut rng = seeded_rng(0, RngStream::FairDraws);
    let count = differences.len();
    let mut means: Vec<f64> = (0..RESAMPLE_COUNT)
        .map(|_| mean((0..count).map(|_| differences[rng.random_range(0..count)])))
        .collect();
    means.sort_unstable_by(f64::total_cmp);
    (means[RESAMPLE_COUNT / 40], means[RESAMPLE_COUNT - 1 - RESAMPLE_COUNT / 40])
}

/// The summaries of both versions for one experiment and seed.
struct SummaryPair<'a> {
    before: &'a Summary,
    after: &'a Summary,
}

/// Prints the comparison of two folders of runs, before and after a change. The status is [`ExitStatus::FAILED`] if a run
/// after the change violated a rule.
pub fn compare(before: &Path, after: &Path) -> ExitStatus {
    let (runs_before, runs_after) = (summaries_by_run(before), summaries_by_run(after));
    let mut pairs_by_name: BTreeMap<&str, Vec<SummaryPair<'_>>> = BTreeMap::new();
    for (key, before) in &runs_before {
        if let Some(after) = runs_after.get(key) {
            pairs_by_name.entry(&key.0).or_default().push(SummaryPair { before, after });
        }
    }
    if pairs_by_name.is_empty() {
        eprintln!(
            "no runs to compare: none of the {1} runs in {0} has the experiment and seed of one of the {3} runs in {2}",
            before.display(),
            runs_before.len(),
            after.display(),
            runs_after.len()
        );
        return ExitStatus::CANNOT_RUN;
    }
    let mut violations_after = 0;
    for (name, pairs) in pairs_by_name {
        println!("{name}, {} pairs", pairs.len());
        print_figures(&pairs);
        violations_after += print_violations(&pairs);
    }
    if violations_after > 0 {
        ExitStatus::FAILED
    } else {
        ExitStatus::PASSED
    }
}

fn print_figures(pairs: &[SummaryPair<'_>]) {
    println!("  {:24} {:>10} {:>10} {:>11}  95% interval", "", "before", "after", "difference");
    for (name, value_of) in COMPARED_FIGURES {
        let values = pairs.iter().filter_map(|pair| Some((value_of(pair.before)?, value_of(pair.after)?)));
        let Some(figure) = PairedFigure::of_pairs(&values.collect::<Vec<_>>()) else { continue };
        let interval = figure.interval.map(|(low, high)| format!("[{low:+.4}, {high:+.4}] "));
        println!(
            "  {name:24} {:10.4} {:10.4} {:+11.4}  {}{}",
            figure.before,
            figure.after,
            figure.after - figure.before,
            interval.unwrap_or_default(),
            figure.judgement()
        );
    }
}

/// Prints the numbers of rule violations before and after the change; returns the latter.
fn print_violations(pairs: &[SummaryPair<'_>]) -> u64 {
    let before: u64 = pairs.iter().map(|pair| pair.before.rules.total()).sum();
    let after: u64 = pairs.iter().map(|pair| pair.after.rules.total()).sum();
    println!("  rules broken: {before} before, {after} after");
    after
}

/// The summaries of the runs below a folder, by name of the experiment and seed.
fn summaries_by_run(folder: &Path) -> BTreeMap<(String, u64), Summary> {
    let summaries = find_summaries(folder).into_iter();
    summaries.map(|(_, summary)| ((summary.name.clone(), summary.seed), summary)).collect()
}

/// The folder and the summary of each run below a folder.
pub fn find_summaries(folder: &Path) -> Vec<(PathBuf, Summary)> {
    let mut found = Vec::new();
    let mut folders = vec![(folder.to_path_buf(), 0)];
    while let Some((folder, depth)) = folders.pop() {
        let summary = std::fs::read_to_string(folder.join("summary.json")).ok();
        if let Some(summary) = summary.and_then(|text| serde_json::from_str::<Summary>(&text).ok()) {
            found.push((folder, summary));
        } else if depth < MAX_FOLDER_DEPTH {
            let entries =
                std::fs::read_dir(&folder).into_iter().flatten().flatten().map(|entry| entry.path());
            folders.extend(entries.filter(|path| path.is_dir()).map(|path| (path, depth + 1)));
        }
    }
    found
}
