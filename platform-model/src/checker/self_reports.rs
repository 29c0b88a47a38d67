//! Compares what processes report about themselves once a second with the event log.
//!
//! Only figures that cannot be observed from outside use these reports: the members that a process believes to be
//! alive, and the servers that it avoids because of other balancers' reports.

#[cfg(test)]
mod tests;

use std::collections::{BTreeMap, HashSet};

use super::CheckConfig;
use crate::event_log::{EventLog, ImpairedSpan, Impairment};
use crate::{Micros, MICROS_PER_SECOND};

/// A report of a process about itself.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SelfReport {
    /// Time of the report.
    pub at: Micros,
    /// The balancer's number.
    pub balancer: usize,
    /// Tokens of the origin's limit that the process may use.
    pub usable_origin_tokens: f64,
    /// Tokens of the origin's limit that the process used in the last window of the limit.
    pub used_origin_tokens: f64,
    /// Members that the process believes to be alive.
    pub members: f64,
    /// Servers that the process avoids because of other balancers' reports.
    pub avoided_servers: f64,
    /// Age of the oldest report that the process has acted on, in seconds.
    pub oldest_report_s: f64,
}

/// Figures derived from the reports.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SelfReportFindings {
    /// Longest time for which a process had a wrong number of live members, in seconds. `None` if links between
    /// balancers had a fault, so that more than one view is right, if a process was frozen, or without any reports.
    pub members_wrong_s: Option<f64>,
    /// Number of avoided servers beyond those impaired at the time of a self-report, or earlier by at most the expiry
    /// of balancers' reports; summed over the self-reports.
    pub wrongly_avoided: u64,
    /// Age of the oldest report that was acted on, in milliseconds; `None` if no report was.
    pub oldest_report_ms: Option<f64>,
}

/// Compares the reports with the event log. `has_link_faults` states whether links between balancers had a fault.
pub fn check_self_reports(
    event_log: &EventLog,
    config: &CheckConfig,
    reports: &[SelfReport],
    has_link_faults: bool,
) -> SelfReportFindings {
    let reports: Vec<&SelfReport> = reports.iter().filter(|report| config.is_measured(report.at)).collect();
    let is_frozen = |span: &ImpairedSpan| span.impairment == Impairment::Frozen;
    let has_single_view = !has_link_faults && !event_log.process_impairments.iter().any(is_frozen);
    let oldest_report_ms = reports.iter().map(|report| report.oldest_report_s * 1e3).fold(0.0, f64::max);
    SelfReportFindings {
        members_wrong_s: (has_single_view && !reports.is_empty())
            .then(|| longest_wrong_view_s(event_log, config, &reports)),
        wrongly_avoided: reports.iter().map(|report| wrongly_avoided(event_log, config, report)).sum(),
        oldest_report_ms: (oldest_report_ms > 0.0).then_some(oldest_report_ms),
    }
}

/// The number of servers avoided in one report beyond those that were impaired.
fn wrongly_avoided(event_log: &EventLog, config: &CheckConfig, report: &SelfReport) -> u64 {
    let expiry = config.stated.map_or(0, |stated| stated.report_expiry());
    let since = report.at.saturating_sub(expiry);
    let impaired = event_log.server_impairments.iter().filter(|span| span.overlaps(since, report.at));
    let impaired: HashSet<u32> = impaired.map(|span| span.number).collect();
    (report.avoided_servers - impaired.len() as f64).max(0.0) as u64
}

/// Longest period of wrong member counts of one process, from the first wrong count to the next right one.
fn longest_wrong_view_s(event_log: &EventLog, config: &CheckConfig, reports: &[&SelfReport]) -> f64 {
    let mut wrong_since: BTreeMap<usize, Micros> = BTreeMap::new();
    let mut longest = 0;
    for report in reports {
        if report.members == alive_processes(event_log, config, report.at) as f64 {
            if let Some(since) = wrong_since.remove(&report.balancer) {
                longest = longest.max(report.at - since);
            }
        } else {
            let since = wrong_since.entry(report.balancer).or_insert(report.at);
            longest = longest.max(report.at - *since);
        }
    }
    longest as f64 / MICROS_PER_SECOND as f64
}

fn alive_processes(event_log: &EventLog, config: &CheckConfig, at: Micros) -> usize {
    let is_not_running = |span: &&ImpairedSpan| {
        matches!(span.impairment, Impairment::NotRunning | Impairment::ShutDown) && span.overlaps(at, at)
    };
    let not_running = event_log.process_impairments.iter().filter(is_not_running).count();
    config.balancers - not_running.min(config.balancers)
}
