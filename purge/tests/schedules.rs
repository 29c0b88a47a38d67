//! Random fault schedules of whole control planes in virtual time; see `support/`.
//!
//! `CONTROL_SCHEDULES=10000 cargo test --release -p juniperladder-purge --test schedules` runs more schedules;
//! `CONTROL_FIRST_SEED` sets the first seed.

mod support;

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;

use juniperladder_purge::injected_defect::InjectedDefect;
use support::schedule::Schedule;
use support::simulation::{Report, Simulation, Verdict};

/// Default number of schedules per test.
const SCHEDULES: u64 = 500;
/// Number of threads that run schedules.
const THREADS: usize = 3;

fn env_number(variable: &str, default: u64) -> u64 {
    std::env::var(variable).ok().and_then(|value| value.parse().ok()).unwrap_or(default)
}

/// Runs the schedules of `count` seeds; stops early when one breaches the guarantee.
fn run_schedules(first_seed: u64, count: u64, injected_defect: Option<InjectedDefect>) -> Vec<(u64, Report)> {
    let next_seed = AtomicU64::new(first_seed);
    let reports = Mutex::new(Vec::new());
    let work = || loop {
        let seed = next_seed.fetch_add(1, Ordering::Relaxed);
        if seed >= first_seed + count {
            return;
        }
        let report = Simulation::new(Schedule::draw(seed), injected_defect).run();
        if matches!(report.verdict, Verdict::Breached(_)) {
            next_seed.store(first_seed + count, Ordering::Relaxed);
        }
        reports.lock().expect("no thread panics while it holds the lock").push((seed, report));
    };
    std::thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(work);
        }
    });
    let mut reports = reports.into_inner().expect("no thread panics while it holds the lock");
    reports.sort_by_key(|(seed, _)| *seed);
    reports
}

#[test]
fn no_member_serves_without_a_done_purge_and_the_control_plane_settles_after_faults() {
    let first_seed = env_number("CONTROL_FIRST_SEED", 0);
    let reports = run_schedules(first_seed, env_number("CONTROL_SCHEDULES", SCHEDULES), None);
    let sum = |value: fn(&Report) -> u64| reports.iter().map(|(_, report)| value(report)).sum::<u64>();
    println!(
        "{} schedules from seed {first_seed}: {} steps, {} purges published, {} done, {} rejected, {} voids, {} lapses, \
         {} entries trimmed, settled within {} ms",
        reports.len(),
        sum(|report| report.steps),
        sum(|report| report.published as u64),
        sum(|report| report.done as u64),
        sum(|report| report.rejected as u64),
        sum(|report| report.voided),
        sum(|report| report.lapses),
        sum(|report| report.log_trimmed),
        reports.iter().map(|(_, report)| report.settled_after).max().unwrap_or(0) / 1_000,
    );
    for (seed, report) in &reports {
        assert_eq!(report.verdict, Verdict::Held, "seed {seed}, {:?}", Schedule::draw(*seed).profile);
    }
    assert!(sum(|report| report.done as u64) * 2 > sum(|report| report.published as u64));
    assert!(sum(|report| report.log_trimmed) > 0 && sum(|report| report.rejected as u64) > 0);
}

/// Guards against schedules too weak to detect a broken protocol: an ordinary run must detect each of these injected
/// defects. The races of the other defects are too rare for random schedules and are scripted in `quorums.rs`.
#[test]
fn random_schedules_detect_injected_defects() {
    let injected_defects = [
        InjectedDefect::LeaseFromReceipt,
        InjectedDefect::EarlyRelease,
        InjectedDefect::LeaseCutShort,
        InjectedDefect::VoidForgotten,
        InjectedDefect::OwnTableOnly,
    ];
    let mut undetected = Vec::new();
    for injected_defect in injected_defects {
        let reports = run_schedules(0, env_number("CONTROL_SCHEDULES", SCHEDULES), Some(injected_defect));
        let breach = reports.iter().find(|(_, report)| matches!(report.verdict, Verdict::Breached(_)));
        let count =
            reports.iter().filter(|(_, report)| matches!(report.verdict, Verdict::Breached(_))).count();
        match breach {
            Some((seed, report)) => {
                println!(
                    "{injected_defect:?}: detected by {count} schedules, first by seed {seed}: {:?}",
                    report.verdict
                )
            }
            None => undetected.push((injected_defect, reports.len())),
        }
    }
    assert_eq!(undetected, []);
}
