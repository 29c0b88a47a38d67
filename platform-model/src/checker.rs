//! The checker: reads a run's event log, finds every violation of the four rules, and computes the run's figures.
//!
//! The checker does not rely on the balancers' own metrics: the usage of a limit is counted at the origin and at the
//! servers, lost requests at the clients. Times are [`Micros`] from the start of the run; only events within the
//! measured time of the [`CheckConfig`] count in figures. Checking cannot fail, and the same log gives the same
//! result.

mod check_config;
pub mod failure_detection;
pub mod limits;
pub mod rules;
pub mod self_reports;
pub mod series;
mod sliding_window;
pub mod spread;
mod statistics;

#[cfg(test)]
mod tests;

#[cfg(test)]
pub(crate) mod test_log;

use std::collections::HashMap;

pub use check_config::{
    CheckConfig, Idempotency, RequestClass, StatedBounds, StatedFailureDetection, StatedRetryBudget,
};

use crate::event_log::{ClientRequest, EventLog, RequestResult};
use crate::summary::{Latency, RuleViolations, Summary};
use crate::Micros;
use rules::{Rule, Violation};
use statistics::percentile;

/// The result of a check.
#[derive(Clone, Debug)]
pub struct CheckResult {
    /// The figures.
    pub summary: Summary,
    /// The violations of the rules, each with the trace of its request.
    pub violations: Vec<Violation>,
    /// The figures by second.
    pub series: series::Series,
}

/// Checks a run. The caller fills in the costs of the processes and the machine.
pub fn check_run(event_log: &EventLog, config: &CheckConfig) -> CheckResult {
    let violations = rules::find_violations(event_log, config);
    let series = series::series(event_log, config);
    let mut summary = Summary { rules: count_by_rule(&violations), ..Summary::default() };
    count_requests(&mut summary, event_log, config);
    summary.service = service(event_log, config);
    summary.attempts_per_request = attempts_per_request(event_log, config, summary.requests);
    summary.spread = spread::spread(event_log, config);
    let origin_usage = limits::origin_usage(event_log, config);
    summary.origin = origin_usage.figures;
    summary.limits.insert("origin".into(), origin_usage.limit);
    summary.limits.insert("cold".into(), limits::slow_start_usage(event_log, config));
    summary.limits.insert("second".into(), limits::retry_usage(event_log, config));
    summary.failure_detection = failure_detection::failure_detection(event_log, config, &series.server_loads);
    CheckResult { summary, violations, series }
}

fn count_by_rule(violations: &[Violation]) -> RuleViolations {
    let count = |rule| violations.iter().filter(|violation| violation.rule == rule).count() as u64;
    RuleViolations {
        answers: count(Rule::Answers),
        attempts: count(Rule::Attempts),
        drains: count(Rule::Drains),
        cold: count(Rule::Cold),
    }
}

/// Counts the measured requests by outcome, and computes their latencies and their delays in sending.
fn count_requests(summary: &mut Summary, event_log: &EventLog, config: &CheckConfig) {
    let mut lags: Vec<Micros> = Vec::new();
    let mut latencies: Vec<Micros> = Vec::new();
    for request in event_log.requests.iter().filter(|request| config.is_measured(request.planned_at)) {
        summary.requests += 1;
        lags.push(request.sent_at.saturating_sub(request.planned_at));
        match outcome_of(request, config) {
            RequestOutcome::Served => {
                summary.served += 1;
                latencies.extend(request.ended_at.map(|at| at - request.sent_at));
            }
            RequestOutcome::Rejected => summary.rejected += 1,
            RequestOutcome::Failed => summary.failed += 1,
            RequestOutcome::Lost => summary.lost += 1,
        }
    }
    let millis = |values: &mut [Micros], share| percentile(values, share) as f64 / 1e3;
    summary.lag_p99_ms = millis(&mut lags, 0.99);
    summary.latency_ms = Latency {
        p50: millis(&mut latencies, 0.5),
        p99: millis(&mut latencies, 0.99),
        p999: millis(&mut latencies, 0.999),
    };
}

fn attempts_per_request(event_log: &EventLog, config: &CheckConfig, requests: u64) -> f64 {
    let attempts = event_log.attempts.iter().filter(|attempt| config.is_measured(attempt.received_at));
    attempts.count() as f64 / requests.max(1) as f64
}

/// The outcome of a request, by which it is counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// Served before its deadline.
    Served,
    /// Rejected by its balancer, or its connection was rejected.
    Rejected,
    /// Failed, never accepted, or abandoned by its client.
    Failed,
    /// Accepted, but without a correct final answer before the deadline.
    Lost,
}

/// The outcome of this request.
pub fn outcome_of(request: &ClientRequest, config: &CheckConfig) -> RequestOutcome {
    let is_late = request.ended_at.is_some_and(|at| at > request.deadline + config.tolerance);
    match request.result {
        RequestResult::NoAnswer | RequestResult::ConnectionClosed | RequestResult::WrongValue => {
            RequestOutcome::Lost
        }
        RequestResult::Served | RequestResult::Rejected | RequestResult::Failed if is_late => {
            RequestOutcome::Lost
        }
        RequestResult::Served => RequestOutcome::Served,
        RequestResult::Rejected | RequestResult::ConnectionRejected => RequestOutcome::Rejected,
        RequestResult::Failed | RequestResult::NotAccepted | RequestResult::ClientLeft => {
            RequestOutcome::Failed
        }
    }
}

/// The share of the requested priority weight that was served within the latency objective; 1 without any request. A
/// client's first request and its retries count as one request, sent with the first.
fn service(event_log: &EventLog, config: &CheckConfig) -> f64 {
    let first_requests = first_requests(event_log);
    let (mut requested_weight, mut served_weight) = (0.0, 0.0);
    for request in &event_log.requests {
        let first = first_requests.get(&request.first_id);
        let Some(first) = first.filter(|first| config.is_measured(first.planned_at)) else {
            continue;
        };
        let class = config.class(request.write);
        if request.is_first() {
            requested_weight += class.priority_weight;
        }
        let latest = first.sent_at + class.latency_objective + config.tolerance;
        if request.result == RequestResult::Served && request.ended_at.is_some_and(|at| at <= latest) {
            served_weight += class.priority_weight;
        }
    }
    if requested_weight > 0.0 {
        served_weight / requested_weight
    } else {
        1.0
    }
}

/// The clients' first requests by their ids.
fn first_requests(event_log: &EventLog) -> HashMap<u64, &ClientRequest> {
    let first = event_log.requests.iter().filter(|request| request.is_first());
    first.map(|request| (request.id, request)).collect()
}
