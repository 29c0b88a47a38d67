//! What processes said of themselves once a second, held against the event log.
//!
//! The only figures that rest on it are those that nobody else can see: which members a process believes alive, and
//! which servers it avoids on others' reports.

#[cfg(test)]
mod tests;

use std::collections::{BTreeMap, HashSet};

use super::CheckTerms;
use crate::event_log::{EventLog, ImpairedSpan, Impairment};
use crate::{Micros, MICROS_PER_SECOND};

/// What one process said of itself.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SelfReport {
    /// When.
    pub at: Micros,
    /// The balancer's number.
    pub balancer: usize,
    /// Tokens of the origin's limit that it may use.
    pub reserved: f64,
    /// Requests begun in the last window.
    pub used: f64,
    /// Members that it believes alive.
    pub members: f64,
    /// Servers that it avoids on others' reports.
    pub avoided_servers: f64,
    /// The age of the oldest report that it has acted on, in seconds.
    pub oldest_report_s: f64,
}

/// What follows from the reports.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SelfReportFindings {
    /// The longest time in which a process was wrong about how many members are alive, in seconds; none where links
    /// between balancers had a fault, so that more than one view is right, or a process was frozen.
    pub members_wrong_s: Option<f64>,
    /// Servers avoided beyond those that were impaired then or within a report's expiry before, summed over the reports.
    pub wrongly_avoided: u64,
    /// The age of the oldest report that was acted on, in milliseconds; none where none was.
    pub oldest_report_ms: Option<f64>,
}

/// Holds the reports against the event log. `has_link_faults` tells that links between balancers had a fault.
pub fn check_self_reports(
    event_log: &EventLog,
    terms: &CheckTerms,
    reports: &[SelfReport],
    has_link_faults: bool,
) -> SelfReportFindings {
    let reports: Vec<&SelfReport> = reports.iter().filter(|report| terms.is_measured(report.at)).collect();
    let is_frozen = |span: &ImpairedSpan| span.impairment == Impairment::Frozen;
    let has_one_view = !has_link_faults && !event_log.process_impairments.iter().any(is_frozen);
    let oldest_report_ms = reports.iter().map(|report| report.oldest_report_s * 1e3).fold(0.0, f64::max);
    SelfReportFindings {
        members_wrong_s: (has_one_view && !reports.is_empty())
            .then(|| longest_wrong_view_s(event_log, terms, &reports)),
        wrongly_avoided: reports.iter().map(|report| wrongly_avoided(event_log, terms, report)).sum(),
        oldest_report_ms: (oldest_report_ms > 0.0).then_some(oldest_report_ms),
    }
}

/// How many servers one report avoids beyond those that were impaired.
fn wrongly_avoided(event_log: &EventLog, terms: &CheckTerms, report: &SelfReport) -> u64 {
    let expiry = terms.stated.map_or(0, |stated| stated.report_expiry());
    let since = report.at.saturating_sub(expiry);
    let impaired = event_log.server_impairments.iter().filter(|span| span.overlaps(since, report.at));
    let impaired: HashSet<u32> = impaired.map(|span| span.number).collect();
    (report.avoided_servers - impaired.len() as f64).max(0.0) as u64
}

/// The longest stretch of wrong counts of one process, from the first of them to the first right one after.
fn longest_wrong_view_s(event_log: &EventLog, terms: &CheckTerms, reports: &[&SelfReport]) -> f64 {
    let mut wrong_since: BTreeMap<usize, Micros> = BTreeMap::new();
    let mut longest = 0;
    for report in reports {
        if report.members == alive_processes(event_log, terms, report.at) as f64 {
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

fn alive_processes(event_log: &EventLog, terms: &CheckTerms, at: Micros) -> usize {
    let is_gone = |span: &&ImpairedSpan| {
        matches!(span.impairment, Impairment::Dead | Impairment::Ended) && span.overlaps(at, at)
    };
    let gone = event_log.process_impairments.iter().filter(is_gone).count();
    terms.balancers - gone.min(terms.balancers)
}
