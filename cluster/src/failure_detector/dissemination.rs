//! Dissemination of reports: which queries are due and to whom, how many are answered, and which reports fit into an answer.

use std::net::SocketAddr;

use juniperladder::Micros;

use super::evidence;
use super::message::{QueryScope, Report, MAX_REPORTS};
use super::reports::{self, ReportTable, StoredReport};
use crate::interval::Interval;
use crate::open_requests::OpenRequests;

/// The maximum number of answers between two ticks; further queries of a flood are ignored.
pub(super) const MAX_ANSWERS_PER_TICK: usize = 12;
/// The maximum number of queries back between two ticks, to members whose queries show that they have different reports.
pub(super) const MAX_QUERIES_BACK_PER_TICK: usize = 2;
/// The number of members queried in an urgent round.
const MEMBERS_PER_URGENT_ROUND: usize = 2;
/// The time between two rounds of queries while urgent reports are spread.
const URGENT_INTERVAL: Micros = Micros::from_millis(100);
/// The time between two rounds of queries while there are reports.
const ROUND_INTERVAL: Micros = Micros::from_millis(500);
/// The time between two rounds of queries while there are no reports.
const IDLE_INTERVAL: Micros = Micros::from_secs(2);
/// How long an own report is spread urgently.
const OWN_REPORT_URGENT_DURATION: Micros = Micros::from_millis(200);
/// How long a report that may change which servers are suspected is spread urgently.
const NEW_REPORT_URGENT_DURATION: Micros = Micros::from_millis(500);
/// How long a member sends urgent queries after its start.
const START_URGENT_DURATION: Micros = Micros::from_secs(2);
/// The time after which answers to a query are ignored.
const QUERY_TIMEOUT: Micros = Micros::SECOND;

/// A query to be sent now.
#[derive(Clone, Copy, Debug)]
pub(super) struct DueQuery {
    pub(super) to: SocketAddr,
    pub(super) scope: QueryScope,
}

/// The state of one member's queries and answers.
#[derive(Debug)]
pub(super) struct Dissemination {
    queries: OpenRequests,
    rounds: Interval,
    urgent_rounds: Interval,
    /// The time until which reports that may change suspicion are spread urgently.
    urgent_until: Micros,
    /// The time until which an own report is spread urgently.
    own_report_urgent_until: Micros,
    /// The number of queries answered since the last tick.
    answered: usize,
    /// The digest of all reports.
    digest: u64,
    /// The digest of the urgent reports; zero if there are none.
    urgent_digest: u64,
}

impl Dissemination {
    /// Creates the state of a member that starts now.
    pub(super) fn new(now: Micros) -> Dissemination {
        Dissemination {
            queries: OpenRequests::new(QUERY_TIMEOUT),
            rounds: Interval::default(),
            urgent_rounds: Interval::default(),
            urgent_until: now + START_URGENT_DURATION,
            own_report_urgent_until: Micros::ZERO,
            answered: 0,
            digest: 0,
            urgent_digest: 0,
        }
    }

    /// Handles a report that this member has made.
    pub(super) fn on_own_report(&mut self, now: Micros) {
        self.own_report_urgent_until = now + OWN_REPORT_URGENT_DURATION;
    }

    /// Handles a report that was not known: it is urgent if it may change whether its server is suspected. `silent_reports`
    /// counts the reports of silence on that server, including cleared ones.
    pub(super) fn on_new_report(
        &mut self,
        now: Micros,
        is_silent: bool,
        silent_reports: usize,
        is_suspected: bool,
    ) {
        let may_be_suspected = is_silent && !is_suspected && silent_reports >= evidence::MIN_URGENT_REPORTS;
        let may_be_cleared = !is_silent && is_suspected;
        if may_be_suspected || may_be_cleared {
            self.urgent_until = now + NEW_REPORT_URGENT_DURATION;
        }
    }

    /// Recomputes the digests for the stored reports.
    pub(super) fn update_digests(&mut self, table: &ReportTable, min_reporters: usize) {
        self.digest = reports::digest(table);
        self.urgent_digest = evidence::urgent_digest(table, min_reporters);
    }

    /// The digest of the reports in a query's scope.
    pub(super) fn digest(&self, scope: QueryScope) -> u64 {
        match scope {
            QueryScope::All | QueryScope::AllMutual => self.digest,
            QueryScope::UrgentMutual | QueryScope::Urgent => self.urgent_digest,
        }
    }

    /// Counts an answer towards the limit for the current tick; false if the limit is reached.
    pub(super) fn take_answer(&mut self) -> bool {
        if self.answered >= MAX_ANSWERS_PER_TICK {
            return false;
        }
        self.answered += 1;
        true
    }

    /// The scope of a query back to a member whose query showed that it has different reports; `None` if its reports can wait
    /// for the next own query.
    pub(super) fn query_back(&self, scope: QueryScope) -> Option<QueryScope> {
        let scope_back = match scope {
            QueryScope::UrgentMutual => QueryScope::Urgent,
            QueryScope::AllMutual => QueryScope::All,
            QueryScope::All | QueryScope::Urgent => return None,
        };
        (self.answered <= MAX_QUERIES_BACK_PER_TICK).then_some(scope_back)
    }

    /// Opens a query to a member and returns its send time, which identifies it.
    pub(super) fn open_query(&mut self, now: Micros, to: SocketAddr) -> Micros {
        self.queries.open(now, to)
    }

    /// Closes the query that an answer refers to; false if the answer is not awaited.
    pub(super) fn close_query(&mut self, now: Micros, from: SocketAddr, sent: Micros) -> bool {
        self.queries.close(now, from, sent)
    }

    /// Resets the number of answers and removes queries that have timed out.
    pub(super) fn on_tick(&mut self, now: Micros) {
        self.answered = 0;
        self.queries.expire(now);
    }

    /// The queries that are due now, to random members.
    pub(super) fn due_queries(
        &mut self,
        now: Micros,
        table: &ReportTable,
        min_reporters: usize,
        mut random_peer: impl FnMut() -> Option<SocketAddr>,
    ) -> Vec<DueQuery> {
        let mut queries = Vec::new();
        let is_urgent = now < self.urgent_until.max(self.own_report_urgent_until);
        if is_urgent && self.urgent_rounds.begin_if_due(now, URGENT_INTERVAL) {
            let scope = self.urgent_scope(now, table, min_reporters);
            let members = (0..MEMBERS_PER_URGENT_ROUND).filter_map(|_| random_peer());
            queries.extend(members.map(|to| DueQuery { to, scope }));
        }
        let interval = if table.is_empty() { IDLE_INTERVAL } else { ROUND_INTERVAL };
        if self.rounds.begin_if_due(now, interval) {
            queries.extend(random_peer().map(|to| DueQuery { to, scope: QueryScope::All }));
        }
        queries
    }

    /// The scope of an urgent query: the urgent reports, or all reports while this member has a recent own report, no urgent
    /// report, or too few reports for a decision. In the last case the urgent ones are not enough, because a member that has
    /// only one of the missing reports does not treat that report as urgent.
    fn urgent_scope(&self, now: Micros, table: &ReportTable, min_reporters: usize) -> QueryScope {
        let is_undecided = |reports: &Vec<StoredReport>| {
            evidence::is_urgent(reports) && !evidence::is_decided(reports, min_reporters)
        };
        let has_own_report = now < self.own_report_urgent_until;
        if has_own_report || self.urgent_digest == 0 || table.values().any(is_undecided) {
            QueryScope::AllMutual
        } else {
            QueryScope::UrgentMutual
        }
    }
}

/// The rank of a report among those that compete for the limited space of an answer; the lowest ranks are sent.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct AnswerRank {
    /// The number of newer reports on the same server, divided by `min_reporters`.
    quorum_index: usize,
    /// The server's distance from the first server in the order of the table, with wrap-around.
    server_distance: usize,
    /// The report's index among the reports on its server.
    report_index: usize,
}

/// The reports in the scope of a query for its answer, with their ages. If not all of them fit, the newest `min_reporters`
/// reports on each server come first, beginning with the server at index `first_server`, and then older reports.
pub(super) fn answer(
    table: &ReportTable,
    now: Micros,
    scope: QueryScope,
    first_server: usize,
    min_reporters: usize,
) -> Vec<Report> {
    let covers_all = matches!(scope, QueryScope::All | QueryScope::AllMutual);
    let mut ranked_reports: Vec<(AnswerRank, Report)> = Vec::new();
    for (server_index, (server, reports)) in table.iter().enumerate() {
        if !covers_all && !evidence::is_urgent(reports) {
            continue;
        }
        let server_distance = (server_index + table.len() - first_server) % table.len();
        for (report_index, report) in reports.iter().enumerate() {
            let quorum_index = report_index / min_reporters.max(1);
            ranked_reports.push((
                AnswerRank { quorum_index, server_distance, report_index },
                report.to_report(*server, now),
            ));
        }
    }
    ranked_reports.sort_unstable_by_key(|(rank, _)| *rank);
    ranked_reports.truncate(MAX_REPORTS);
    ranked_reports.into_iter().map(|(_, report)| report).collect()
}
