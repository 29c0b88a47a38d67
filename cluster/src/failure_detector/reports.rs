//! The reports that a member has stored: a join, so that any order and any repeats give the same, and a digest.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use juniperladder::{mix_bits, Micros};

use super::message::Report;
use crate::server_incarnation::ServerIncarnation;

/// Reports of silence that are kept of one server and zone: the newest.
const MAX_SILENT_REPORTS: usize = 4;
/// Reports that are kept of one server and zone for either kind of answer: the newest.
const MAX_ANSWER_REPORTS: usize = 1;
/// Zones of which reports are kept of one server.
const MAX_ZONES: usize = 4;
/// Where the reporter stands in a report's digest, above the microseconds of most stamps.
const REPORTER_SHIFT: u32 = 40;

/// The stored reports by server; no list is empty.
pub(super) type ReportTable = BTreeMap<ServerIncarnation, Vec<StoredReport>>;

/// One reporter's newest report on one server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct StoredReport {
    pub(super) reporter: u32,
    pub(super) zone: u32,
    /// When, by the reporter's clock.
    pub(super) stamp: Micros,
    /// The earliest that the reporter can have seen it, by the own clock.
    pub(super) seen: Micros,
    pub(super) is_silent: bool,
    /// An answer where its own zone had found the server silent: news of the server, not of a path.
    pub(super) is_recovery: bool,
}

impl StoredReport {
    /// What reports of the same reporter are compared by: the newer stamp, and of one stamp the tighter bound of its age.
    fn rank(&self) -> (Micros, Micros) {
        (self.stamp, self.seen)
    }

    /// The report as it is sent to another member now.
    pub(super) fn to_report(self, server: ServerIncarnation, now: Micros) -> Report {
        Report {
            server,
            reporter: self.reporter,
            zone: self.zone,
            stamp: self.stamp,
            age: now - self.seen,
            is_silent: self.is_silent,
            is_recovery: self.is_recovery,
        }
    }
}

/// Merges a report into those of its server; returns whether it says something that was not known. What cannot act again is
/// dropped, so that the order in which reports come makes no difference.
pub(super) fn merge(reports: &mut Vec<StoredReport>, report: StoredReport) -> bool {
    let mut is_news = true;
    match reports.iter_mut().find(|known| known.reporter == report.reporter) {
        Some(known) if known.rank() >= report.rank() => return false,
        Some(known) => {
            is_news = known.stamp < report.stamp;
            *known = report;
        }
        None => reports.push(report),
    }
    // By reporter where times are the same, so that the order of arrival does not matter.
    reports.sort_unstable_by_key(|one| (Reverse(one.seen), one.reporter));
    let mut retention = Retention::default();
    reports.retain(|one| retention.keeps(one));
    is_news && reports.contains(&report)
}

/// Which reports on one server are kept, asked of each from the newest to the oldest.
#[derive(Default)]
struct Retention {
    zones: BTreeSet<u32>,
    counts: BTreeMap<ReportKind, usize>,
}

/// What reports have in common that differ in their age and reporter alone.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct ReportKind {
    zone: u32,
    is_silent: bool,
    is_recovery: bool,
}

impl Retention {
    /// Whether a report is among the newest of its kind and not cleared by a later answer in its zone.
    fn keeps(&mut self, report: &StoredReport) -> bool {
        let StoredReport { zone, is_silent, is_recovery, .. } = *report;
        let is_zone_kept = self.zones.contains(&zone) || self.zones.len() < MAX_ZONES;
        if is_zone_kept {
            self.zones.insert(zone);
        }
        let is_cleared = is_silent && self.has_answer(zone);
        let count = self.counts.entry(ReportKind { zone, is_silent, is_recovery }).or_default();
        *count += 1;
        let max = if is_silent { MAX_SILENT_REPORTS } else { MAX_ANSWER_REPORTS };
        is_zone_kept && !is_cleared && *count <= max
    }

    fn has_answer(&self, zone: u32) -> bool {
        let kinds = [false, true].map(|is_recovery| ReportKind { zone, is_silent: false, is_recovery });
        kinds.iter().any(|kind| self.counts.contains_key(kind))
    }
}

/// A digest of all reports: the same for the same reports, whatever bounds of their ages are known.
pub(super) fn digest(table: &ReportTable) -> u64 {
    let mut digest: u64 = 0;
    for (server, reports) in table {
        for report in reports {
            let reporter = u64::from(report.reporter) << REPORTER_SHIFT;
            digest ^= mix_bits(server.hash() ^ mix_bits(report.stamp.0 ^ reporter));
        }
    }
    digest
}
