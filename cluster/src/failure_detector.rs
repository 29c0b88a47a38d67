//! Failure detection of servers: what balancers saw of a server's incarnation, reported to all, with an age that is proven and
//! an end.
//!
//! # Guarantee
//!
//! - **Evidence, not requests.** A report says that one reporter saw one incarnation of a server (its id and when it started,
//!   never an address) silent, or answering. Reports merge by a join: per server and reporter the newest stamp wins; any order
//!   and any repeats give the same.
//! - **An end.** A report acts at no member later than `report_lifetime` after its reporter saw what it says, by any clock that
//!   runs within the stated drift: not where it comes late, nor at a member that was cut off, frozen or started again. Only the
//!   reporter itself can renew it.
//! - **Nobody is believed alone.** A server is suspected on others' reports only where `min_reporters` different ones report it
//!   silent: all of the own zone, or from two zones at least. A reporter that finds more than half of the servers silent has
//!   lost its own link and is not believed. At most `max_suspected_share` of all servers, and half of a zone's, are suspected;
//!   those that most report first, and the others go by each balancer's own observations.
//! - **Recovery.** An answer that is newer than the reports of silence clears a server; each member draws its own wait for that.
//!   While a server is suspected, all members together try it about `trials_per_s` times a second, whatever their number.
//!
//! # Why an age can be trusted
//!
//! Reports travel only in answers to queries. The answer has each report's age when it was written, which is after the query
//! was sent; so at its receipt a report is at most that age and the time since the query old. Both are spans by one clock each:
//! no clocks are compared.
//!
//! Times are on the caller's clock, which never goes back. Nothing here fails: a message that does not fit is ignored.

mod dissemination;
mod evidence;
mod exchange;
mod message;
mod metrics;
mod own_observations;
mod reports;
mod suspicion;
mod terms;
#[cfg(test)]
mod tests;

use std::collections::BTreeMap;
use std::net::SocketAddr;

use juniperladder::{Micros, ServingServer};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::injected_defect::InjectedDefect;
use crate::server_incarnation::ServerIncarnation;
use crate::MAX_SERVER_INCARNATIONS;
use dissemination::Dissemination;
pub use message::{Message, QueryScope, Report, MAX_REPORTS};
pub use metrics::FailureDetectorMetrics;
use own_observations::OwnObservations;
use reports::{ReportTable, StoredReport};
use suspicion::{ServingServers, SuspectedServers, SuspicionRules};
pub use terms::FailureDetectorTerms;

/// Between two reports of one reporter that say the same of one server.
const MIN_REPORT_INTERVAL: Micros = Micros::from_millis(500);
/// Reports of silence on one server that are enough: with so many from within [`RECENT_REPORT`] none is added.
const ENOUGH_REPORTS: usize = 5;
/// How old a report is at most that counts as recent.
const RECENT_REPORT: Micros = Micros::SECOND;
/// A server that has answered here within this time is not avoided.
const NOT_AVOIDED_AFTER_RESPONSE: Micros = Micros::SECOND;
/// Between two trials of one suspected server by one member.
const MIN_TRIAL_INTERVAL: Micros = Micros::SECOND;
/// How long it is remembered when a suspected server was tried.
const TRIAL_MEMORY: Micros = Micros::from_secs(10);
/// The least rate of requests, of all members to one server, that trials are drawn by.
const MIN_REQUESTS_PER_S: f64 = 1e-3;

/// One member's failure detector.
#[derive(Debug)]
pub struct FailureDetector {
    terms: FailureDetectorTerms,
    position: u32,
    zone: u32,
    rng: ChaCha8Rng,
    reports: ReportTable,
    serving: ServingServers,
    suspected: SuspectedServers,
    /// When a suspected server was last tried by this member.
    last_trials: BTreeMap<ServerIncarnation, Micros>,
    own_observations: OwnObservations,
    dissemination: Dissemination,
    /// Members that are there, this one included.
    members: usize,
    /// Whether anything has changed since it was last decided which servers are suspected.
    has_changed: bool,
    outgoing: Vec<(SocketAddr, Message)>,
    metrics: FailureDetectorMetrics,
    defect: InjectedDefect<Defect>,
}

impl FailureDetector {
    /// That of the member at this position and in this zone, whose process starts now.
    pub fn new(
        terms: FailureDetectorTerms,
        position: u32,
        zone: u32,
        seed: u64,
        now: Micros,
    ) -> FailureDetector {
        FailureDetector {
            terms,
            position,
            zone,
            rng: ChaCha8Rng::seed_from_u64(seed),
            reports: ReportTable::new(),
            serving: ServingServers::new(),
            suspected: SuspectedServers::new(),
            last_trials: BTreeMap::new(),
            own_observations: OwnObservations::default(),
            dissemination: Dissemination::new(now),
            members: 1,
            has_changed: false,
            outgoing: Vec::new(),
            metrics: FailureDetectorMetrics::default(),
            defect: InjectedDefect::none(),
        }
    }

    /// The endpoint list changed; these servers serve.
    pub fn on_endpoints_changed(&mut self, servers: &[ServingServer]) {
        self.serving.clear();
        for serving in servers {
            let started = self.lookup_key(ServerIncarnation::from(serving)).started;
            self.serving.insert(serving.server, ServingServer { started, ..*serving });
        }
        self.has_changed = true;
    }

    /// An own request showed that a server is silent, or that it answers.
    pub fn on_server_observed(&mut self, server: ServerIncarnation, is_silent: bool, now: Micros) {
        let server = self.lookup_key(server);
        self.own_observations.add(now, server.server, is_silent);
        if self.is_worth_reporting(server, is_silent, now) {
            self.report(server, is_silent, now);
        }
    }

    /// Whether others are to learn of what an own request showed.
    fn is_worth_reporting(&self, server: ServerIncarnation, is_silent: bool, now: Micros) -> bool {
        let has_just_reported = self
            .own_report(server)
            .is_some_and(|own| own.is_silent == is_silent && now < own.seen + MIN_REPORT_INTERVAL);
        if has_just_reported {
            return false;
        }
        let reports = self.reports_on(server);
        if !is_silent {
            return evidence::is_disputed(reports);
        }
        let is_recent = |report: &&StoredReport| report.is_silent && now < report.seen + RECENT_REPORT;
        reports.iter().filter(is_recent).count() < ENOUGH_REPORTS
            && self.own_observations.is_link_healthy()
            && !self.own_observations.has_just_answered(server.server, now)
    }

    /// Makes a report, which is spread urgently.
    fn report(&mut self, server: ServerIncarnation, is_silent: bool, now: Micros) {
        self.metrics.own_reports += 1;
        let own = self.own_report(server);
        let stamp = own.map_or(now, |own| now.max(own.stamp + Micros(1)));
        let was_recovery = own.is_some_and(|own| own.is_recovery);
        let was_silent_in_zone =
            self.reports_on(server).iter().any(|report| report.zone == self.zone && report.is_silent);
        let report = StoredReport {
            reporter: self.position,
            zone: self.zone,
            stamp,
            seen: now,
            is_silent,
            is_recovery: !is_silent && (was_silent_in_zone || was_recovery),
        };
        self.dissemination.on_own_report(now);
        self.add_report(server, report, now);
    }

    /// The stored reports on a server.
    fn reports_on(&self, server: ServerIncarnation) -> &[StoredReport] {
        self.reports.get(&server).map_or(&[], Vec::as_slice)
    }

    /// This member's own report on a server.
    fn own_report(&self, server: ServerIncarnation) -> Option<&StoredReport> {
        self.reports_on(server).iter().find(|report| report.reporter == self.position)
    }

    /// Stores a report, beyond [`MAX_SERVER_INCARNATIONS`] none on a server that is new. News that changes something is spread urgently.
    fn add_report(&mut self, server: ServerIncarnation, report: StoredReport, now: Micros) {
        if !self.reports.contains_key(&server) && self.reports.len() >= MAX_SERVER_INCARNATIONS {
            return;
        }
        let reports = self.reports.entry(server).or_default();
        let is_news = reports::merge(reports, report);
        let silent_reports = reports.iter().filter(|report| report.is_silent).count();
        if reports.is_empty() {
            self.reports.remove(&server);
        }
        if is_news {
            self.has_changed = true;
            let is_suspected = self.suspected.contains_key(&server);
            self.dissemination.on_news(now, report.is_silent, silent_reports, is_suspected);
        }
    }

    /// Does what is due; to be called about every 50 ms. `members` are there now, this one included; `draw_peer` draws one of
    /// the others to ask.
    pub fn tick(&mut self, now: Micros, members: usize, draw_peer: impl FnMut() -> Option<SocketAddr>) {
        self.members = members.max(1);
        self.dissemination.on_tick(now);
        self.expire_reports(now);
        let has_changed = std::mem::take(&mut self.has_changed);
        // Servers that are cleared wait for their time without anything new.
        if has_changed || !self.suspected.is_empty() {
            self.last_trials.retain(|_, at| now < *at + TRIAL_MEMORY);
            self.dissemination.update_digests(&self.reports, self.terms.min_reporters);
            self.decide_suspected(now);
        }
        let min_reporters = self.terms.min_reporters;
        for query in self.dissemination.due_queries(now, &self.reports, min_reporters, draw_peer) {
            self.send_query(now, query);
        }
    }

    /// Drops the reports that act no more.
    fn expire_reports(&mut self, now: Micros) {
        let lifetime = self.terms.local_lifetime();
        for reports in self.reports.values_mut() {
            let before = reports.len();
            reports.retain(|report| now < report.seen + lifetime);
            self.has_changed |= reports.len() < before;
        }
        self.reports.retain(|_, reports| !reports.is_empty());
    }

    /// Decides which servers are suspected from now on.
    fn decide_suspected(&mut self, now: Micros) {
        let rules = SuspicionRules {
            terms: &self.terms,
            zone: self.zone,
            reports: &self.reports,
            serving: &self.serving,
            before: &self.suspected,
        };
        let decision = rules.decide(now, &mut self.rng);
        self.suspected = decision.suspected;
        self.metrics.suspected_servers = self.suspected.len();
        self.metrics.servers_beyond_limit = decision.beyond_limit;
        self.metrics.discredited_reporters = decision.discredited;
    }

    /// Whether this attempt avoids the server because others report it silent. A suspected server is tried now and then; each
    /// call may draw such a trial. `last_response` is when it last answered here, `responses_per_second` the mean rate at which
    /// one server responds to this balancer; it stands in for the rate of its attempts.
    pub fn should_avoid(
        &mut self,
        server: ServerIncarnation,
        last_response: Micros,
        responses_per_second: f64,
        now: Micros,
    ) -> bool {
        let server = self.lookup_key(server);
        if !self.suspected.contains_key(&server) || now < last_response + NOT_AVOIDED_AFTER_RESPONSE {
            return false;
        }
        let Some(seen) = self.newest_silent_report(server, now) else { return false };
        if self.draw_trial(server, responses_per_second, now) {
            return false;
        }
        self.metrics.avoided_requests += 1;
        self.metrics.oldest_used_report = self.metrics.oldest_used_report.max(now - seen);
        true
    }

    /// When the newest report of silence that still acts was seen. A process that stood still has not dropped the others yet.
    fn newest_silent_report(&self, server: ServerIncarnation, now: Micros) -> Option<Micros> {
        let silent = self.reports_on(server).iter().filter(|report| report.is_silent);
        let newest = silent.map(|report| report.seen).max();
        newest.filter(|seen| now < *seen + self.terms.local_lifetime())
    }

    /// Whether a suspected server is tried all the same: all members together make so many trials a second, and each draws its
    /// part of them.
    fn draw_trial(&mut self, server: ServerIncarnation, responses_per_second: f64, now: Micros) -> bool {
        let has_rested = self.last_trials.get(&server).is_none_or(|last| now >= *last + MIN_TRIAL_INTERVAL);
        if !has_rested {
            return false;
        }
        let requests_of_all = (self.members as f64 * responses_per_second).max(MIN_REQUESTS_PER_S);
        let is_trial = self.rng.random::<f64>() < self.terms.trials_per_s / requests_of_all;
        if is_trial {
            self.last_trials.insert(server, now);
            self.metrics.trials += 1;
        }
        is_trial
    }

    /// The messages that go out, with their receivers.
    pub fn drain(&mut self) -> std::vec::Drain<'_, (SocketAddr, Message)> {
        self.outgoing.drain(..)
    }

    /// What operators see.
    pub fn metrics(&self) -> FailureDetectorMetrics {
        let reports = self.reports.values().flatten();
        let silent_reports = reports.clone().filter(|report| report.is_silent).count();
        let answer_reports = reports.count() - silent_reports;
        FailureDetectorMetrics { silent_reports, answer_reports, ..self.metrics }
    }

    /// What a server is looked up by.
    fn lookup_key(&self, server: ServerIncarnation) -> ServerIncarnation {
        if self.defect.is_active(Defect::AddressForIncarnation) {
            ServerIncarnation { started: Micros::ZERO, ..server }
        } else {
            server
        }
    }
}

/// Defects that tests inject, to show that their checks catch them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Defect {
    /// The age that a report had at its sender is forgotten.
    AgeNotCarried,
    /// A report that is received once more is taken for new.
    RenewedByHearsay,
    /// A server is known by its address alone: a new incarnation inherits the old one's reports.
    AddressForIncarnation,
}
