//! Failure detection of servers: balancers report what they observed of a server incarnation to all other balancers. Each
//! report carries an upper bound of its age and expires.
//!
//! # Guarantee
//!
//! - **Observations only.** A report states that one reporter observed one incarnation of a server (its id and start time,
//!   never an address) as silent or as answering. Merging reports is a join: for each server and reporter the newest stamp
//!   wins, so that reordered and duplicated reports give the same result.
//! - **Bounded lifetime.** No member acts on a report later than `report_lifetime` after the reporter's observation, by any
//!   clock within the stated drift. This includes reports that are delayed, and members that were partitioned, frozen or
//!   restarted. Only the reporter itself can renew a report.
//! - **Quorum.** A server is suspected on the reports of others only if `min_reporters` different members report it silent,
//!   either all in the own zone or from at least two zones. A reporter that finds more than half of the servers silent is
//!   assumed to have lost its own link and is discredited. At most `max_suspected_share` of all servers, and half of a zone's
//!   servers, are suspected: first those already suspected, then those with the most reporters. For the others each balancer
//!   relies on its own observations.
//! - **Recovery.** An answer clears older reports of silence from its own zone, and those from all zones if the answer's zone
//!   had reported the server silent. Once a server is cleared, each member waits for a random delay before it uses the server
//!   again. While a server is suspected, all members together send it about `trials_per_s` trial requests a second, whatever
//!   the number of members.
//!
//! # Why the bound of an age holds
//!
//! Reports are sent only in answers to queries. An answer contains each report's age at the time of writing, which is after the
//! query was sent. So at its receipt a report is at most as old as that age plus the time since the query was sent. Each of the
//! two durations is measured by a single clock; no clocks are compared.
//!
//! Times are on the caller's clock, which never goes back. No operation fails: invalid messages are ignored.

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

/// The minimum time between two reports of one reporter with the same observation of one server.
const MIN_REPORT_INTERVAL: Micros = Micros::from_millis(500);
/// The number of reports of silence on one server, each newer than [`MAX_RECENT_REPORT_AGE`], at which this member adds no own
/// report.
const SUFFICIENT_RECENT_REPORTS: usize = 5;
/// The maximum age of a recent report.
const MAX_RECENT_REPORT_AGE: Micros = Micros::SECOND;
/// A server that has answered this member within this time is not avoided.
const NO_AVOIDANCE_AFTER_RESPONSE: Micros = Micros::SECOND;
/// The minimum time between two trials of one suspected server by one member.
const MIN_TRIAL_INTERVAL: Micros = Micros::SECOND;
/// How long the time of the last trial of a suspected server is stored.
const TRIAL_TIME_RETENTION: Micros = Micros::from_secs(10);
/// The lower bound of the rate of requests of all members to one server, from which the probability of a trial is computed.
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
    /// When this member last sent a trial request to a suspected server.
    last_trials: BTreeMap<ServerIncarnation, Micros>,
    own_observations: OwnObservations,
    dissemination: Dissemination,
    /// The number of live members, including this one.
    members: usize,
    /// Whether reports or endpoints have changed since suspicion was last decided.
    has_changed: bool,
    outgoing: Vec<(SocketAddr, Message)>,
    metrics: FailureDetectorMetrics,
    defect: InjectedDefect<Defect>,
}

impl FailureDetector {
    /// Creates the failure detector of the member at this position and in this zone, whose process starts now.
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

    /// Handles a new endpoint list, given its serving servers.
    pub fn on_endpoints_changed(&mut self, servers: &[ServingServer]) {
        self.serving.clear();
        for serving in servers {
            let started = self.lookup_key(ServerIncarnation::from(serving)).started;
            self.serving.insert(serving.server, ServingServer { started, ..*serving });
        }
        self.has_changed = true;
    }

    /// Records the outcome of an own request: the server was silent, or it answered.
    pub fn on_server_observed(&mut self, server: ServerIncarnation, is_silent: bool, now: Micros) {
        let server = self.lookup_key(server);
        self.own_observations.add(now, server.server, is_silent);
        if self.is_worth_reporting(server, is_silent, now) {
            self.report(server, is_silent, now);
        }
    }

    /// Whether the outcome of an own request is to be reported to other members.
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
        let is_recent =
            |report: &&StoredReport| report.is_silent && now < report.seen + MAX_RECENT_REPORT_AGE;
        reports.iter().filter(is_recent).count() < SUFFICIENT_RECENT_REPORTS
            && self.own_observations.is_link_healthy()
            && !self.own_observations.has_just_answered(server.server, now)
    }

    /// Makes an own report, which is spread urgently.
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

    /// Stores a report, unless it is on a new server beyond [`MAX_SERVER_INCARNATIONS`]. A new report that may change whether
    /// the server is suspected is spread urgently.
    fn add_report(&mut self, server: ServerIncarnation, report: StoredReport, now: Micros) {
        if !self.reports.contains_key(&server) && self.reports.len() >= MAX_SERVER_INCARNATIONS {
            return;
        }
        let reports = self.reports.entry(server).or_default();
        let is_new = reports::merge(reports, report);
        let silent_reports = reports.iter().filter(|report| report.is_silent).count();
        if reports.is_empty() {
            self.reports.remove(&server);
        }
        if is_new {
            self.has_changed = true;
            let is_suspected = self.suspected.contains_key(&server);
            self.dissemination.on_new_report(now, report.is_silent, silent_reports, is_suspected);
        }
    }

    /// Expires reports, decides which servers are suspected and sends queries; to be called about every 50 ms. `members` is the
    /// number of live members, including this one; `random_peer` returns a random other member to query.
    pub fn tick(&mut self, now: Micros, members: usize, random_peer: impl FnMut() -> Option<SocketAddr>) {
        self.members = members.max(1);
        self.dissemination.on_tick(now);
        self.expire_reports(now);
        let has_changed = std::mem::take(&mut self.has_changed);
        // Cleared servers become usable at a set time, without a change of the reports.
        if has_changed || !self.suspected.is_empty() {
            self.last_trials.retain(|_, at| now < *at + TRIAL_TIME_RETENTION);
            self.dissemination.update_digests(&self.reports, self.terms.min_reporters);
            self.decide_suspected(now);
        }
        let min_reporters = self.terms.min_reporters;
        for query in self.dissemination.due_queries(now, &self.reports, min_reporters, random_peer) {
            self.send_query(now, query);
        }
    }

    /// Removes expired reports.
    fn expire_reports(&mut self, now: Micros) {
        let lifetime = self.terms.local_lifetime();
        for reports in self.reports.values_mut() {
            let previous_count = reports.len();
            reports.retain(|report| now < report.seen + lifetime);
            self.has_changed |= reports.len() < previous_count;
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
            previous: &self.suspected,
        };
        let decision = rules.decide(now, &mut self.rng);
        self.suspected = decision.suspected;
        self.metrics.suspected_servers = self.suspected.len();
        self.metrics.servers_over_suspicion_limit = decision.beyond_limit;
        self.metrics.discredited_reporters = decision.discredited;
    }

    /// Whether an attempt has to avoid the server because others report it silent. A call occasionally allows an attempt to a
    /// suspected server as a trial. `last_response` is when the server last answered this balancer; `responses_per_second` is
    /// the mean rate at which one server responds to this balancer, which approximates the rate of its attempts.
    pub fn should_avoid(
        &mut self,
        server: ServerIncarnation,
        last_response: Micros,
        responses_per_second: f64,
        now: Micros,
    ) -> bool {
        let server = self.lookup_key(server);
        if !self.suspected.contains_key(&server) || now < last_response + NO_AVOIDANCE_AFTER_RESPONSE {
            return false;
        }
        let Some(seen) = self.newest_silent_report(server, now) else { return false };
        if self.sample_trial(server, responses_per_second, now) {
            return false;
        }
        self.metrics.avoided_requests += 1;
        self.metrics.max_used_report_age = self.metrics.max_used_report_age.max(now - seen);
        true
    }

    /// The observation time of the newest unexpired report of silence. Expired reports are still stored after a stall of this
    /// process, until the next tick.
    fn newest_silent_report(&self, server: ServerIncarnation, now: Micros) -> Option<Micros> {
        let silent = self.reports_on(server).iter().filter(|report| report.is_silent);
        let newest = silent.map(|report| report.seen).max();
        newest.filter(|seen| now < *seen + self.terms.local_lifetime())
    }

    /// Randomly decides whether to send a trial request to a suspected server, such that all members together send about
    /// `trials_per_s` trial requests a second.
    fn sample_trial(&mut self, server: ServerIncarnation, responses_per_second: f64, now: Micros) -> bool {
        let is_interval_over =
            self.last_trials.get(&server).is_none_or(|last| now >= *last + MIN_TRIAL_INTERVAL);
        if !is_interval_over {
            return false;
        }
        let requests_per_s_of_all = (self.members as f64 * responses_per_second).max(MIN_REQUESTS_PER_S);
        let is_trial = self.rng.random::<f64>() < self.terms.trials_per_s / requests_per_s_of_all;
        if is_trial {
            self.last_trials.insert(server, now);
            self.metrics.trials += 1;
        }
        is_trial
    }

    /// Takes the outgoing messages with their receivers.
    pub fn drain(&mut self) -> std::vec::Drain<'_, (SocketAddr, Message)> {
        self.outgoing.drain(..)
    }

    /// Metrics of the failure detector.
    pub fn metrics(&self) -> FailureDetectorMetrics {
        let reports = self.reports.values().flatten();
        let silent_reports = reports.clone().filter(|report| report.is_silent).count();
        let answer_reports = reports.count() - silent_reports;
        FailureDetectorMetrics { silent_reports, answer_reports, ..self.metrics }
    }

    /// The key under which reports on a server are stored.
    fn lookup_key(&self, server: ServerIncarnation) -> ServerIncarnation {
        if self.defect.is_active(Defect::StartTimeIgnored) {
            ServerIncarnation { started: Micros::ZERO, ..server }
        } else {
            server
        }
    }
}

/// Defects that tests inject, to show that their checks detect them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Defect {
    /// The age of a report at its sender is ignored.
    SenderAgeIgnored,
    /// A report counts as observed at its receipt, so that every repetition renews it.
    ObservedAtReceipt,
    /// The start time of a server is ignored: a new incarnation inherits the reports on the old one.
    StartTimeIgnored,
}
