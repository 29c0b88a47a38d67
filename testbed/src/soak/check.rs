//! What a run of the soak broke: the four rules, and the ends of the processes that were told to end.

#[cfg(test)]
mod tests;

use std::collections::HashSet;
use std::fmt;

use juniperladder_platform_model::checker::rules::{find_violations, Violation};
use juniperladder_platform_model::checker::CheckTerms;
use juniperladder_platform_model::event_log::{EventLog, RequestResult};
use juniperladder_platform_model::{Micros, MICROS_PER_SECOND};

use super::plan::{SoakPlan, Termination};
use super::run::SoakRecord;

/// Something that a run broke.
#[derive(Clone, Debug, PartialEq)]
pub enum SoakFinding {
    /// A rule was violated.
    Rule(Violation),
    /// A process that was told to end did not end of itself with code 0.
    End {
        /// The balancer.
        balancer: usize,
        /// Its exit code; none where a signal ended it.
        exit_code: Option<i32>,
        /// The end of its log.
        log_end: String,
    },
    /// A process ended by itself.
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
                write!(out, "balancer {balancer} ended with code {code}; its log ends:\n{log_end}")
            }
            SoakFinding::End { balancer, exit_code: None, log_end } => {
                write!(out, "balancer {balancer} had not ended when it was killed; its log ends:\n{log_end}")
            }
            SoakFinding::Crash(crash) => out.write_str(crash),
        }
    }
}

/// How many requests ended how.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestCounts {
    /// Served.
    pub served: usize,
    /// Rejected.
    pub rejected: usize,
    /// Failed.
    pub failed: usize,
    /// Not accepted: half-sent, or crossed by a close.
    pub not_accepted: usize,
    /// Sent to a balancer after its SIGTERM, among all of these.
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

/// What a run came to.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SoakResult {
    /// What it broke.
    pub findings: Vec<SoakFinding>,
    /// How its requests ended.
    pub requests: RequestCounts,
}

/// All that a run broke, and how its requests ended.
pub fn check_soak(plan: &SoakPlan, record: &SoakRecord) -> SoakResult {
    let terms = CheckTerms::of(&plan.experiment);
    let mut event_log = record.event_log.clone();
    settle_closes(&mut event_log, &terms, plan.crowd.map(|crowd| crowd.balancer as u32));
    SoakResult { findings: find_all(&event_log, record, &terms), requests: count_requests(&event_log, plan) }
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

fn find_all(event_log: &EventLog, record: &SoakRecord, terms: &CheckTerms) -> Vec<SoakFinding> {
    let violations = find_violations(event_log, terms).into_iter().map(SoakFinding::Rule);
    let failed_ends = record.planned_ends.iter().filter(|end| end.exit_code != Some(0));
    let ends = failed_ends.map(|end| SoakFinding::End {
        balancer: end.balancer,
        exit_code: end.exit_code,
        log_end: end.log_end.clone(),
    });
    let crashes = record.crashes.iter().cloned().map(SoakFinding::Crash);
    violations.chain(ends).chain(crashes).collect()
}

/// Decides for each request that stood unanswered at the end of its connection whether its balancer had taken it. It had not
/// where the request crossed the close: it was sent within the page's tolerance before that and reached no server. A balancer
/// whose slots a crowd fills may also close a new connection unread.
fn settle_closes(event_log: &mut EventLog, terms: &CheckTerms, crowded: Option<u32>) {
    let forwarded: HashSet<u64> = event_log.attempts.iter().map(|attempt| attempt.id).collect();
    let stalls = std::mem::take(&mut event_log.testbed_stalls);
    for request in &mut event_log.requests {
        let is_closed = match request.result {
            RequestResult::ConnectionClosed => true,
            RequestResult::ConnectionRejected => {
                request.result = RequestResult::ConnectionClosed;
                crowded != Some(request.balancer)
            }
            _ => continue,
        };
        let ended_at = request.ended_at.unwrap_or(request.sent_at);
        let has_crossed = ended_at - request.sent_at <= terms.tolerance + longest_stall(&stalls, ended_at);
        if !forwarded.contains(&request.id) && (has_crossed || !is_closed) {
            request.result = RequestResult::NotAccepted;
        }
    }
    event_log.testbed_stalls = stalls;
}

/// By how much the testbed itself was late when it noticed something at this time.
fn longest_stall(stalls: &[(Micros, Micros)], noticed_at: Micros) -> Micros {
    let near = stalls.iter().filter(|(at, _)| at.abs_diff(noticed_at) <= MICROS_PER_SECOND / 10);
    near.map(|(_, lateness)| *lateness).max().unwrap_or(0)
}
