//! Evaluation of the reports on a server: which reporters are believed, and how many of them report the server silent.

use std::collections::{BTreeMap, BTreeSet};

use juniperladder::mix_bits;

use super::reports::{ReportTable, StoredReport};

/// The number of reports of silence on a server from which they are urgent: a single report mostly means that the server was
/// slow for a moment.
pub(super) const MIN_URGENT_REPORTS: usize = 2;
/// A reporter of at most this number of silent servers is never discredited, even if there are very few servers.
const ALWAYS_CREDIBLE_SILENT_SERVERS: usize = 2;

/// Reports of silence, by reporters that are not discredited, that no answer has cleared. An answer clears older reports of its
/// own zone. It clears older reports of other zones only if it is a recovery, which shows a change of the server; otherwise it
/// is evidence only for its own network path.
fn uncleared<'a>(
    reports: &'a [StoredReport],
    discredited: &'a BTreeSet<u32>,
) -> impl Iterator<Item = &'a StoredReport> {
    let clears = |answer: &StoredReport, report: &StoredReport| {
        let is_newer_answer = !answer.is_silent && answer.seen > report.seen;
        is_newer_answer && (answer.zone == report.zone || answer.is_recovery)
    };
    reports.iter().filter(move |report| {
        report.is_silent
            && !discredited.contains(&report.reporter)
            && !reports.iter().any(|answer| clears(answer, report))
    })
}

/// The number of reports of silence that no answer has cleared, including those of discredited reporters.
fn uncleared_count(reports: &[StoredReport]) -> usize {
    uncleared(reports, &BTreeSet::new()).count()
}

/// Whether there is a report of silence that no answer has cleared.
pub(super) fn is_disputed(reports: &[StoredReport]) -> bool {
    uncleared_count(reports) > 0
}

/// Whether the reports on a server are spread urgently: there are enough reports of silence, or one of recovery.
pub(super) fn is_urgent(reports: &[StoredReport]) -> bool {
    uncleared_count(reports) >= MIN_URGENT_REPORTS || reports.iter().any(|report| report.is_recovery)
}

/// Whether further reports cannot change the decision on a server with urgent reports: enough members report it silent, or none
/// does any more.
pub(super) fn is_decided(reports: &[StoredReport], min_reporters: usize) -> bool {
    let count = uncleared_count(reports);
    count == 0 || count >= min_reporters
}

/// A digest of the urgent reports. A server that enough members report silent contributes the same value whatever the number
/// and the stamps of the reports.
pub(super) fn urgent_digest(table: &ReportTable, min_reporters: usize) -> u64 {
    let no_discredited = BTreeSet::new();
    let mut digest: u64 = 0;
    for (server, reports) in table.iter().filter(|(_, reports)| is_urgent(reports)) {
        let server = server.hash();
        let silent: Vec<&StoredReport> = uncleared(reports, &no_discredited).collect();
        if silent.len() >= min_reporters {
            digest ^= server;
        } else {
            for report in &silent {
                digest ^= mix_bits(server ^ mix_bits(report.stamp.0 ^ u64::from(report.reporter)));
            }
        }
        if silent.is_empty() {
            digest ^= mix_bits(!server);
        }
    }
    digest
}

/// Reporters that report more than half of the servers silent; they are assumed to have lost their own link.
pub(super) fn discredited_reporters(table: &ReportTable, servers: usize) -> BTreeSet<u32> {
    let mut silent_servers_by_reporter: BTreeMap<u32, usize> = BTreeMap::new();
    for report in table.values().flatten().filter(|report| report.is_silent) {
        *silent_servers_by_reporter.entry(report.reporter).or_default() += 1;
    }
    let max_silent_servers = (servers / 2).max(ALWAYS_CREDIBLE_SILENT_SERVERS);
    silent_servers_by_reporter
        .into_iter()
        .filter(|(_, count)| *count > max_silent_servers)
        .map(|(reporter, _)| reporter)
        .collect()
}

/// The number of reporters on whose reports a member of this zone suspects a server; zero if it does not suspect the server.
/// For a server that is already suspected, one uncleared report is enough.
pub(super) fn believed_reporters(
    reports: &[StoredReport],
    discredited: &BTreeSet<u32>,
    zone: u32,
    min_reporters: usize,
    is_suspected: bool,
) -> usize {
    let silent: Vec<&StoredReport> = uncleared(reports, discredited).collect();
    let in_zone = silent.iter().filter(|report| report.zone == zone).count();
    let zones: BTreeSet<u32> = silent.iter().map(|report| report.zone).collect();
    // An answer in the own zone outweighs reports of silence from other zones.
    let has_answer_in_zone = reports.iter().any(|report| !report.is_silent && report.zone == zone);
    let in_all_zones = if has_answer_in_zone && in_zone == 0 { 0 } else { silent.len() };
    let needed = if is_suspected { 1 } else { min_reporters };
    let is_believed_in_zone = in_zone >= needed;
    // Reports from only one other zone may be due to that zone's network path to the server.
    let is_believed_across_zones = in_all_zones >= needed && (is_suspected || zones.len() >= 2);
    if is_believed_in_zone || is_believed_across_zones {
        in_zone.max(in_all_zones)
    } else {
        0
    }
}
