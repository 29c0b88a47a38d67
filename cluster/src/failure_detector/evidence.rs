//! What follows from the reports on one server: who is believed, whether it is disputed, and how many report it silent.

use std::collections::{BTreeMap, BTreeSet};

use juniperladder::mix_bits;

use super::reports::{ReportTable, StoredReport};

/// Reports of silence on a server from which on they are urgent: one alone is mostly a server that is slow for a moment.
pub(super) const URGENT_REPORTS: usize = 2;
/// A reporter of no more silent servers than this is believed, however few servers there are.
const MIN_DISCREDITING_REPORTS: usize = 2;

/// Reports of silence that no answer has cleared. An answer clears what is older of its own zone, and of other zones where it
/// is a recovery, which is news of the server; otherwise it tells of its own path alone.
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

/// The number of reports of silence that no answer has cleared, whoever made them.
fn uncleared_count(reports: &[StoredReport]) -> usize {
    uncleared(reports, &BTreeSet::new()).count()
}

/// Whether a server is reported silent and no answer has cleared that.
pub(super) fn is_disputed(reports: &[StoredReport]) -> bool {
    uncleared_count(reports) > 0
}

/// Whether the reports on a server are spread urgently: enough reports of silence, or one that it is back.
pub(super) fn is_urgent(reports: &[StoredReport]) -> bool {
    uncleared_count(reports) >= URGENT_REPORTS || reports.iter().any(|report| report.is_recovery)
}

/// Whether enough members report an urgent server silent, or none does any more: more reports would change nothing.
pub(super) fn is_decided(reports: &[StoredReport], min_reporters: usize) -> bool {
    let count = uncleared_count(reports);
    count == 0 || count >= min_reporters
}

/// A digest of the urgent reports. A server that enough members report silent is one thing in it, however many do and
/// whenever they last said so.
pub(super) fn urgent_digest(table: &ReportTable, min_reporters: usize) -> u64 {
    let everybody_believed = BTreeSet::new();
    let mut digest: u64 = 0;
    for (server, reports) in table.iter().filter(|(_, reports)| is_urgent(reports)) {
        let server = server.hash();
        let silent: Vec<&StoredReport> = uncleared(reports, &everybody_believed).collect();
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

/// Reporters of silence of more than half of the servers: they have lost their own link.
pub(super) fn discredited_reporters(table: &ReportTable, servers: usize) -> BTreeSet<u32> {
    let mut silent_servers: BTreeMap<u32, usize> = BTreeMap::new();
    for report in table.values().flatten().filter(|report| report.is_silent) {
        *silent_servers.entry(report.reporter).or_default() += 1;
    }
    let most = (servers / 2).max(MIN_DISCREDITING_REPORTS);
    silent_servers.into_iter().filter(|(_, count)| *count > most).map(|(reporter, _)| reporter).collect()
}

/// How many reporters a member of this zone believes that a server is silent; zero where it does not suspect the server. Of a
/// server that it suspects already, one uncleared report is enough.
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
    // An answer in the own zone counts for more than silence in others.
    let has_answer_in_zone = reports.iter().any(|report| !report.is_silent && report.zone == zone);
    let in_all_zones = if has_answer_in_zone && in_zone == 0 { 0 } else { silent.len() };
    let needed = if is_suspected { 1 } else { min_reporters };
    let is_believed_in_zone = in_zone >= needed;
    // Reports of one other zone alone may tell of its path to the server.
    let is_believed_across_zones = in_all_zones >= needed && (is_suspected || zones.len() >= 2);
    if is_believed_in_zone || is_believed_across_zones {
        in_zone.max(in_all_zones)
    } else {
        0
    }
}
