//! The reports that a member has stored, and their digest. Merging is a join, so that reordered and duplicated reports give the
//! same result.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use juniperladder::{mix_bits, Micros};

use super::message::Report;
use crate::server_incarnation::ServerIncarnation;

/// The number of reports of silence kept for one server and zone; the newest are kept.
const MAX_SILENT_REPORTS: usize = 4;
/// The number of reports kept for one server, zone and kind of answer (recovery or not); the newest are kept.
const MAX_ANSWER_REPORTS: usize = 1;
/// The maximum number of zones from which reports on one server are kept.
const MAX_ZONES: usize = 4;
/// The bit position of the reporter in the digest of a report, above the microseconds of most stamps.
const REPORTER_SHIFT: u32 = 40;

/// The stored reports by server; no list of reports is empty.
pub(super) type ReportTable = BTreeMap<ServerIncarnation, Vec<StoredReport>>;

/// One reporter's newest report on one server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct StoredReport {
    pub(super) reporter: u32,
    pub(super) zone: u32,
    /// The time of the report by the reporter's clock.
    pub(super) stamp: Micros,
    /// The earliest possible time of the observation by the own clock.
    pub(super) seen: Micros,
    pub(super) is_silent: bool,
    /// Whether this is an answer after the reporter's zone had reported the server silent, which shows a change of the server
    /// and not only of a network path.
    pub(super) is_recovery: bool,
}

impl StoredReport {
    /// The order of reports of the same reporter: by stamp, and for equal stamps by the tighter bound of the age.
    fn rank(&self) -> (Micros, Micros) {
        (self.stamp, self.seen)
    }

    /// The report in the form in which it is sent now.
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

/// Merges a report into those of its server; returns whether the report was new and is kept. Reports that can no longer have an
/// effect are dropped, so that the order in which reports are merged makes no difference.
pub(super) fn merge(reports: &mut Vec<StoredReport>, report: StoredReport) -> bool {
    let mut is_new = true;
    match reports.iter_mut().find(|known| known.reporter == report.reporter) {
        Some(known) if known.rank() >= report.rank() => return false,
        Some(known) => {
            is_new = known.stamp < report.stamp;
            *known = report;
        }
        None => reports.push(report),
    }
    // Reports with equal times are ordered by reporter, so that the order of arrival does not matter.
    reports.sort_unstable_by_key(|stored| (Reverse(stored.seen), stored.reporter));
    let mut retention = Retention::default();
    reports.retain(|stored| retention.keeps(stored));
    is_new && reports.contains(&report)
}

/// Selects the reports on one server that are kept; applied to each report from the newest to the oldest.
#[derive(Default)]
struct Retention {
    /// The zones whose reports are kept.
    zones: BTreeSet<u32>,
    /// The number of reports of each kind so far, including those that are not kept.
    counts: BTreeMap<ReportKind, usize>,
}

/// The properties by which reports are grouped for the limits on kept reports.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct ReportKind {
    zone: u32,
    is_silent: bool,
    is_recovery: bool,
}

impl Retention {
    /// Whether a report is from a kept zone, among the newest of its kind, and not cleared by a newer answer from its zone.
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

/// A digest of all reports, independent of the known bounds of their ages.
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
