//! Prints the result of a run, with the verdict on the last line, and determines the exit status.

use juniperladder_platform_model::checker::CheckResult;
use juniperladder_platform_model::summary::{LimitUsage, Summary};
use juniperladder_testbed::RunRecord;

use crate::exit::ExitStatus;

/// Greatest lag of the testbed in milliseconds, at the 99th percentile, with which a run counts.
const MAX_LAG_P99_MS: f64 = 20.0;
/// Greatest number of crashes, and of violations, that are printed.
const MAX_PRINTED_FINDINGS: usize = 3;

/// Prints the result of a run; returns its exit status.
pub fn print_outcome(checked: &CheckResult, run: &RunRecord) -> ExitStatus {
    let summary = &checked.summary;
    print_requests(summary);
    print_spread(summary);
    print_origin_and_limits(summary);
    print_costs(summary);
    print_crashes_and_violations(checked, run);
    if run.stopped {
        println!("stopped early: the files cover the run up to then");
    }
    if !run.crashes.is_empty() {
        println!("BROKEN: {} processes ended unexpectedly", run.crashes.len());
        return ExitStatus::FAILED;
    }
    if !print_failure_detection(summary) || !print_rules_and_bounds(summary) {
        return ExitStatus::FAILED;
    }
    if summary.lag_p99_ms > MAX_LAG_P99_MS {
        println!(
            "LATE: the testbed sent its requests {:.1} ms late at the 99th percentile, over {MAX_LAG_P99_MS} ms: the run does not count",
            summary.lag_p99_ms
        );
        return ExitStatus::TESTBED_LATE;
    }
    println!("kept: every rule and every stated bound");
    ExitStatus::PASSED
}

fn print_requests(summary: &Summary) {
    let percent = |count: u64| 100.0 * count as f64 / summary.requests.max(1) as f64;
    println!(
        "{} seed {}: {} commands, served {:.1}%, refused {:.1}%, failed {:.1}%, lost {}; service {:.3}",
        summary.name,
        summary.seed,
        summary.requests,
        percent(summary.served),
        percent(summary.rejected),
        percent(summary.failed),
        summary.lost,
        summary.service
    );
}

fn print_spread(summary: &Summary) {
    let spread = &summary.spread;
    println!(
        "spread: peak {:.2} (fair {:.2}), least {:.2} ({:.2}), idle {}, herd {:.1} ({:.1}); {:.2} attempts a command",
        spread.peak,
        spread.fair_peak,
        spread.least,
        spread.fair_least,
        spread.idle,
        spread.herd,
        spread.fair_herd,
        summary.attempts_per_request
    );
}

fn print_origin_and_limits(summary: &Summary) {
    println!(
        "origin: peak {:.2} of its capacity, {} fetches; lost sends {}; p50 {:.0} ms, p99 {:.0} ms",
        summary.origin.peak,
        summary.origin.fetches,
        summary.failure_detection.lost_sends,
        summary.latency_ms.p50,
        summary.latency_ms.p99
    );
    for (name, limit) in &summary.limits {
        if let Some(bound) = limit.bound {
            print_limit(summary, name, limit, bound);
        }
    }
}

fn print_limit(summary: &Summary, name: &str, limit: &LimitUsage, bound: f64) {
    println!(
        "limit {name}: whole {:.0}, bound {bound:.2}, peak {:.3}, use {}; talk {:.1} packets, {:.0} bytes a second a member",
        limit.limit,
        limit.peak,
        limit.usage.map_or("-".into(), |share| format!("{share:.3}")),
        summary.peers.packets_per_s,
        summary.peers.bytes_per_s
    );
}

fn print_costs(summary: &Summary) {
    println!(
        "testbed: lag p99 {:.1} ms, {:.1} s of processor time; balancers {:.2} ms a command; {} processes started",
        summary.lag_p99_ms,
        summary.cpu.testbed_s,
        summary.cpu.balancer_ms_per_request,
        summary.processes.started
    );
}

fn print_crashes_and_violations(checked: &CheckResult, run: &RunRecord) {
    for crash in run.crashes.iter().take(MAX_PRINTED_FINDINGS) {
        println!("{crash}");
    }
    for violation in checked.violations.iter().take(MAX_PRINTED_FINDINGS) {
        println!("{:?}: {}", violation.rule, violation.description);
        for line in &violation.request_trace {
            println!("    {line}");
        }
    }
}

/// Prints the figures of failure detection, and returns whether no report was acted on after its stated expiry. Prints
/// nothing and returns true if the balancers state no expiry.
fn print_failure_detection(summary: &Summary) -> bool {
    let detection = &summary.failure_detection;
    let Some(expiry_ms) = detection.stale_bound_ms else { return true };
    let format_ms = |ms: Option<f64>| ms.map_or("-".into(), |ms| format!("{ms:.0}"));
    println!(
        "verdicts: oldest report acted on {} ms (stated {expiry_ms:.0}), wrong {}; host avoided by all after {} ms",
        format_ms(detection.stale_max_ms),
        detection.wrongly_avoided,
        format_ms(detection.avoided_ms),
    );
    let is_kept = detection.stale_max_ms.is_none_or(|oldest_ms| oldest_ms <= expiry_ms);
    if !is_kept {
        println!("BROKEN: a failure report was acted on after its stated expiry");
    }
    is_kept
}

/// Whether every rule and every stated bound of a limit was kept; if not, prints the violations of each rule and the limits
/// over their bounds.
fn print_rules_and_bounds(summary: &Summary) -> bool {
    let is_over = |limit: &LimitUsage| limit.bound.is_some_and(|bound| limit.peak > bound);
    let limits = summary.limits.iter();
    let limits_over_bound: Vec<&String> =
        limits.filter(|(_, limit)| is_over(limit)).map(|(name, _)| name).collect();
    let rules = summary.rules;
    let is_kept = rules.total() == 0 && limits_over_bound.is_empty();
    if !is_kept {
        println!(
            "BROKEN: rules answers {}, attempts {}, drains {}, cold {}; limits over their bound: {limits_over_bound:?}",
            rules.answers, rules.attempts, rules.drains, rules.cold
        );
    }
    is_kept
}
