//! Compares the runs of two versions, paired by experiment and seed, with bootstrap intervals, and says plainly when a
//! difference is noise.

#[cfg(test)]
mod tests;

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

use juniperladder_platform_model::rng::{seeded_rng, RngStream};
use juniperladder_platform_model::summary::Summary;
use rand::Rng;

use crate::exit::{BROKEN, KEPT, NOT_ALLOWED};

/// Resamples of an interval.
const RESAMPLES: usize = 10_000;
/// With fewer pairs nothing is said of a difference.
const FEWEST: usize = 3;
/// How deep runs are looked for below a folder.
const DEPTH: usize = 3;

/// A figure that is compared, and how it is read from a summary.
type Figure = (&'static str, fn(&Summary) -> Option<f64>);

const FIGURES: [Figure; 17] = [
    ("service", |s| Some(s.service)),
    ("served", |s| Some(s.served as f64 / s.requests.max(1) as f64)),
    ("refused", |s| Some(s.rejected as f64 / s.requests.max(1) as f64)),
    ("lost", |s| Some(s.lost as f64)),
    ("attempts a command", |s| Some(s.attempts_per_request)),
    ("p50 ms", |s| Some(s.latency_ms.p50)),
    ("p99 ms", |s| Some(s.latency_ms.p99)),
    ("spread.peak / fair", |s| ratio(s.spread.peak, s.spread.fair_peak)),
    ("spread.least / fair", |s| ratio(s.spread.least, s.spread.fair_least)),
    ("spread.herd / fair", |s| ratio(s.spread.herd, s.spread.fair_herd)),
    ("spread.idle", |s| Some(s.spread.idle as f64)),
    ("origin.peak", |s| Some(s.origin.peak)),
    ("origin.useful", |s| s.origin.useful),
    ("origin use", |s| s.limits.get("origin").and_then(|limit| limit.usage)),
    ("lost sends", |s| Some(s.failure_detection.lost_sends as f64)),
    ("verdicts.spread_p99_ms", |s| s.failure_detection.spread_p99_ms),
    ("balancer cpu ms", |s| Some(s.cpu.balancer_ms_per_request)),
];

fn ratio(value: f64, fair: f64) -> Option<f64> {
    (fair > 0.0).then(|| value / fair)
}

/// Paired values of a figure.
#[derive(Clone, Debug, PartialEq)]
pub struct Paired {
    /// The mean before.
    pub before: f64,
    /// The mean after.
    pub after: f64,
    /// The 95% interval of the mean difference; none with too few pairs.
    pub interval: Option<(f64, f64)>,
}

impl Paired {
    /// Pairs of values, one of each version.
    pub fn of(pairs: &[(f64, f64)]) -> Option<Paired> {
        let count = pairs.len();
        let mean = |pick: fn(&(f64, f64)) -> f64| pairs.iter().map(pick).sum::<f64>() / count as f64;
        if count == 0 {
            return None;
        }
        let differences: Vec<f64> = pairs.iter().map(|(before, after)| after - before).collect();
        let interval = (count >= FEWEST).then(|| {
            let mut rng = seeded_rng(0, RngStream::Fair);
            let mut means: Vec<f64> = (0..RESAMPLES)
                .map(|_| {
                    (0..count).map(|_| differences[rng.random_range(0..count)]).sum::<f64>() / count as f64
                })
                .collect();
            means.sort_unstable_by(f64::total_cmp);
            (means[RESAMPLES / 40], means[RESAMPLES - 1 - RESAMPLES / 40])
        });
        Some(Paired { before: mean(|p| p.0), after: mean(|p| p.1), interval })
    }

    /// What is to be said of the difference.
    pub fn verdict(&self) -> &'static str {
        match self.interval {
            None => "too few pairs to tell",
            Some((0.0, 0.0)) => "the same",
            Some((low, high)) if low <= 0.0 && high >= 0.0 => "noise",
            Some((low, _)) if low > 0.0 => "more",
            Some(_) => "less",
        }
    }
}

/// Prints the comparison of two folders of runs.
pub fn compare(before: &Path, after: &Path) -> u8 {
    let (old, new) = (runs(before), runs(after));
    let mut names: BTreeMap<&str, Vec<(&Summary, &Summary)>> = BTreeMap::new();
    for (key, summary) in &old {
        if let Some(other) = new.get(key) {
            names.entry(&key.0).or_default().push((summary, other));
        }
    }
    if names.is_empty() {
        eprintln!(
            "no runs to pair: {} has {}, {} has {}, and none share an experiment and a seed",
            before.display(),
            old.len(),
            after.display(),
            new.len()
        );
        return NOT_ALLOWED;
    }
    let mut broken = 0;
    for (name, pairs) in names {
        println!("{name}, {} pairs", pairs.len());
        println!("  {:24} {:>10} {:>10} {:>11}  95% interval", "", "before", "after", "difference");
        for (figure, pick) in FIGURES {
            let values: Vec<(f64, f64)> =
                pairs.iter().filter_map(|(a, b)| Some((pick(a)?, pick(b)?))).collect();
            let Some(p) = Paired::of(&values) else { continue };
            let interval =
                p.interval.map_or(String::new(), |(low, high)| format!("[{low:+.4}, {high:+.4}] "));
            println!(
                "  {figure:24} {:10.4} {:10.4} {:+11.4}  {interval}{}",
                p.before,
                p.after,
                p.after - p.before,
                p.verdict()
            );
        }
        let breaches = |pick: fn(&(&Summary, &Summary)) -> u64| pairs.iter().map(pick).sum::<u64>();
        let (was, is) = (breaches(|p| p.0.rules.total()), breaches(|p| p.1.rules.total()));
        println!("  rules broken: {was} before, {is} after");
        broken += is;
    }
    if broken > 0 {
        BROKEN
    } else {
        KEPT
    }
}

/// The summaries below a folder, by experiment and seed.
fn runs(folder: &Path) -> BTreeMap<(String, u64), Summary> {
    summaries(folder)
        .into_iter()
        .map(|(_, summary)| ((summary.name.clone(), summary.seed), summary))
        .collect()
}

/// The runs below a folder: where each is, and its summary.
pub fn summaries(folder: &Path) -> Vec<(PathBuf, Summary)> {
    let mut found = Vec::new();
    let mut folders = vec![(folder.to_path_buf(), 0)];
    while let Some((folder, depth)) = folders.pop() {
        let summary = std::fs::read_to_string(folder.join("summary.json")).ok();
        if let Some(summary) = summary.and_then(|text| serde_json::from_str::<Summary>(&text).ok()) {
            found.push((folder, summary));
        } else if depth < DEPTH {
            let entries =
                std::fs::read_dir(&folder).into_iter().flatten().flatten().map(|entry| entry.path());
            folders.extend(entries.filter(|path| path.is_dir()).map(|path| (path, depth + 1)));
        }
    }
    found
}
