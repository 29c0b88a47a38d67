//! Checks a run of the soak: the checker's four rules, and the exits of the processes that were signalled to end.

#[cfg(test)]
mod tests;

use std::collections::HashSet;
use std::fmt;

use juniperladder_platform_model::checker::rules::{find_violations, Violation};
use juniperladder_platform_model::checker::CheckConfig;
use juniperladder_platform_model::event_log::{EventLog, RequestResult};
use juniperladder_platform_model::{Micros, MICROS_PER_SECOND};

use super::plan::{SoakPlan, Termination};
use super::run::SoakRecord;

/// A violation found in a run.
#[derive(Clone, Debug, PartialEq)]
pub enum SoakFinding {
    /// A rule was violated.
    Rule(Violation),
    /// A process that was signalled to end did not exit with code 0 before it was killed.
    End {
        /// Number of the balancer.
        balancer: usize,
        /// Exit code; `None` if a signal ended the process.
        exit_code: Option<i32>,
        /// Last lines of the process's log.
        log_end: String,
    },
    /// A process exited unexpectedly.
    Crash(String),
}

impl fmt::Display for SoakFinding {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SoakFinding::Rule(violation) => {
                let at = violation.at as f64 / MICROS_PER_SECOND as f64;
                write!(out, "{:?} at {at:.3} s: {}", violation.rule, violation.description)?;
                violation.request_trace.iter().try_for_each(|line| write!(out, "\n    {line}"))
            }
            SoakFinding::End { balancer, exit_code: Some(code), log_end } => {
                write!(out, "balancer {balancer} exited with code {code}; its log ends:\n{log_end}")
            }
            SoakFinding::End { balancer, exit_code: None, log_end } => {
                write!(out, "balancer {balancer} had not exited when it was killed; its log ends:\n{log_end}")
            }
            SoakFinding::Crash(crash) => out.write_str(crash),
        }
    }
}

/// Numbers of requests by result.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestCounts {
    /// Served.
    pub served: usize,
    /// Rejected.
    pub rejected: usize,
    /// Failed.
    pub failed: usize,
    /// Not accepted: sent incompletely, or crossed by a close.
    pub not_accepted: usize,
    /// Sent to a balancer after its SIGTERM; included in the other counts.
    pub after_sigterm: usize,
}

impl fmt::Display for RequestCounts {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let RequestCounts { served, rejected, failed, not_accepted, after_sigterm } = self;
        write!(
            out,
            "{served} served, {rejected} rejected, {failed} failed, {not_accepted} not accepted; {after_sigterm} sent after a SIGTERM"
        )
    }
}

/// The result of a run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SoakResult {
    /// Violations.
    pub findings: Vec<SoakFinding>,
    /// Numbers of requests by result.
    pub requests: RequestCounts,
}

/// Finds all violations of a run and counts its requests by result.
pub fn check_soak(plan: &SoakPlan, record: &SoakRecord) -> SoakResult {
    let check_config = CheckConfig::for_experiment(&plan.experiment);
    let mut event_log = record.event_log.clone();
    classify_closed_connections(&mut event_log, &check_config, plan.crowd.map(|crowd| crowd.balancer as u32));
    SoakResult {
        findings: collect_findings(&event_log, record, &check_config),
        requests: count_requests(&event_log, plan),
    }
}

fn count_requests(event_log: &EventLog, plan: &SoakPlan) -> RequestCounts {
    let mut counts = RequestCounts::default();
    for request in &event_log.requests {
        match request.result {
            RequestResult::Served => counts.served += 1,
            RequestResult::Rejected => counts.rejected += 1,
            RequestResult::Failed => counts.failed += 1,
            RequestResult::NotAccepted => counts.not_accepted += 1,
            _ => {}
        }
        let is_after_sigterm = |termination: &&Termination| {
            termination.balancer == request.balancer as usize && request.sent_at > termination.at
        };
        counts.after_sigterm += plan.terminations.iter().filter(is_after_sigterm).count();
    }
    counts
}

fn collect_findings(
    event_log: &EventLog,
    record: &SoakRecord,
    check_config: &CheckConfig,
) -> Vec<SoakFinding> {
    let violations = find_violations(event_log, check_config).into_iter().map(SoakFinding::Rule);
    let failed_ends = record.planned_ends.iter().filter(|end| end.exit_code != Some(0));
    let ends = failed_ends.map(|end| SoakFinding::End {
        balancer: end.balancer,
        exit_code: end.exit_code,
        log_end: end.log_end.clone(),
    });
    let crashes = record.crashes.iter().cloned().map(SoakFinding::Crash);
    violations.chain(ends).chain(crashes).collect()
}

/// Decides for each request that was unanswered at the end of its connection whether its balancer had accepted it. A request
/// that crossed the close was not accepted: it was sent within the checker's tolerance before the close and reached no
/// server. A balancer whose slots are filled by a crowd may also close a new connection without reading from it.
fn classify_closed_connections(
    event_log: &mut EventLog,
    check_config: &CheckConfig,
    crowded_balancer: Option<u32>,
) {
    let forwarded: HashSet<u64> = event_log.attempts.iter().map(|attempt| attempt.id).collect();
    let stalls = std::mem::take(&mut event_log.testbed_stalls);
    for request in &mut event_log.requests {
        let has_to_accept = match request.result {
            RequestResult::ConnectionClosed => true,
            RequestResult::ConnectionRejected => {
                request.result = RequestResult::ConnectionClosed;
                crowded_balancer != Some(request.balancer)
            }
            _ => continue,
        };
        let ended_at = request.ended_at.unwrap_or(request.sent_at);
        let crossed_close =
            ended_at - request.sent_at <= check_config.tolerance + longest_stall(&stalls, ended_at);
        if !forwarded.contains(&request.id) && (crossed_close || !has_to_accept) {
            request.result = RequestResult::NotAccepted;
        }
    }
    event_log.testbed_stalls = stalls;
}

/// The longest stall of the testbed itself around the time at which it observed an event.
fn longest_stall(stalls: &[(Micros, Micros)], observed_at: Micros) -> Micros {
    let near = stalls.iter().filter(|(at, _)| at.abs_diff(observed_at) <= MICROS_PER_SECOND / 10);
    near.map(|(_, lateness)| *lateness).max().unwrap_or(0)
}
