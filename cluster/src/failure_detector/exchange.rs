//! Exchange of messages: queries are answered, and received reports are stored with a bound of their age.

use std::net::SocketAddr;

use juniperladder::Micros;
use rand::RngExt;

use super::dissemination::{self, DueQuery};
use super::message::{Message, QueryScope, Report, MAX_REPORTS};
use super::reports::StoredReport;
use super::{Defect, FailureDetector};

impl FailureDetector {
    /// Handles a message from another member.
    pub fn on_message(&mut self, now: Micros, from: SocketAddr, message: Message) {
        match message {
            Message::Query { sent, digest, scope } => self.on_query(now, from, sent, digest, scope),
            Message::Reports { sent, reports } => self.on_reports(now, from, sent, reports),
        }
    }

    /// Answers a query of a member that has different reports, and queries that member back if the query's scope asks for it.
    fn on_query(&mut self, now: Micros, from: SocketAddr, sent: Micros, digest: u64, scope: QueryScope) {
        if digest == self.dissemination.digest(scope) || !self.dissemination.take_answer() {
            return;
        }
        let first_server = self.rng.random_range(0..self.reports.len().max(1));
        let reports =
            dissemination::answer(&self.reports, now, scope, first_server, self.terms.min_reporters);
        if !reports.is_empty() {
            self.outgoing.push((from, Message::Reports { sent, reports }));
        }
        if let Some(scope) = self.dissemination.query_back(scope) {
            self.send_query(now, DueQuery { to: from, scope });
        }
    }

    /// Handles an answer to the query with this send time.
    fn on_reports(&mut self, now: Micros, from: SocketAddr, sent: Micros, reports: Vec<Report>) {
        if !self.dissemination.close_query(now, from, sent) {
            return;
        }
        for report in reports.into_iter().take(MAX_REPORTS) {
            self.on_report(now, sent, report);
        }
    }

    /// Handles a report in the answer to the query with this send time.
    fn on_report(&mut self, now: Micros, sent: Micros, report: Report) {
        let is_own = report.reporter == self.position;
        let seen = self.earliest_seen(now, sent, report.age);
        let has_expired = seen + self.terms.local_lifetime().0 as i64 <= now.0 as i64;
        // A member ignores copies of its own reports, and expired reports.
        if is_own || has_expired {
            return;
        }
        let stored = StoredReport {
            reporter: report.reporter,
            zone: report.zone,
            stamp: report.stamp,
            seen: Micros(seen.max(0) as u64),
            is_silent: report.is_silent,
            is_recovery: report.is_recovery && !report.is_silent,
        };
        self.add_report(report.server, stored, now);
    }

    /// The earliest possible time of a report's observation, in microseconds of the own clock; negative if before its zero.
    /// The bound starts from the send time of the query, because the answer is only known to have been written after that.
    fn earliest_seen(&self, now: Micros, sent: Micros, age: Micros) -> i64 {
        if self.defect.is_active(Defect::ObservedAtReceipt) {
            return now.0 as i64;
        }
        let age = if self.defect.is_active(Defect::SenderAgeIgnored) { 0.0 } else { age.as_f64() };
        (sent.as_f64() - age * (1.0 + 2.0 * self.terms.clock_drift)) as i64
    }

    pub(super) fn send_query(&mut self, now: Micros, query: DueQuery) {
        let DueQuery { to, scope } = query;
        let sent = self.dissemination.open_query(now, to);
        let digest = self.dissemination.digest(scope);
        self.outgoing.push((to, Message::Query { sent, digest, scope }));
    }
}
