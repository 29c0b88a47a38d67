//! How reports spread: which queries are due and to whom, how many are answered, and what an answer has room for.

use std::net::SocketAddr;

use juniperladder::Micros;

use super::evidence;
use super::message::{QueryScope, Report, MAX_REPORTS};
use super::reports::{self, ReportTable, StoredReport};
use crate::interval::Interval;
use crate::open_requests::OpenRequests;

/// Answers between two ticks: a flood of queries is not answered beyond.
pub(super) const MAX_ANSWERS: usize = 12;
/// Queries back, to members whose queries show that they have something else, between two ticks.
pub(super) const MAX_QUERIES_BACK: usize = 2;
/// Members that are asked in an urgent round.
const MEMBERS_PER_URGENT_ROUND: usize = 2;
/// Between two rounds of queries while something urgent spreads.
const URGENT_INTERVAL: Micros = Micros::from_millis(100);
/// Between two rounds of queries while there are reports.
const ROUND_INTERVAL: Micros = Micros::from_millis(500);
/// Between two rounds of queries while there are no reports.
const IDLE_INTERVAL: Micros = Micros::from_secs(2);
/// How long an own report is spread urgently.
const OWN_REPORT_URGENT_FOR: Micros = Micros::from_millis(200);
/// How long a report that may change which servers are suspected is spread urgently.
const NEWS_URGENT_FOR: Micros = Micros::from_millis(500);
/// After its start a member asks urgently for so long.
const START_URGENT_FOR: Micros = Micros::from_secs(2);
/// A query is answered within this time or not at all.
const QUERY_TIMEOUT: Micros = Micros::SECOND;

/// A query that is due.
#[derive(Clone, Copy, Debug)]
pub(super) struct DueQuery {
    pub(super) to: SocketAddr,
    pub(super) scope: QueryScope,
}

/// One member's queries and answers.
#[derive(Debug)]
pub(super) struct Dissemination {
    queries: OpenRequests,
    rounds: Interval,
    urgent_rounds: Interval,
    /// Until then news is spread urgently.
    urgent_until: Micros,
    /// Until then an own report is spread urgently.
    own_report_urgent_until: Micros,
    /// Queries answered since the last tick.
    answered: usize,
    /// Of all reports.
    digest: u64,
    /// Of the urgent reports; zero where there is none.
    urgent_digest: u64,
}

impl Dissemination {
    /// That of a member which starts now.
    pub(super) fn new(now: Micros) -> Dissemination {
        Dissemination {
            queries: OpenRequests::new(QUERY_TIMEOUT),
            rounds: Interval::default(),
            urgent_rounds: Interval::default(),
            urgent_until: now + START_URGENT_FOR,
            own_report_urgent_until: Micros::ZERO,
            answered: 0,
            digest: 0,
            urgent_digest: 0,
        }
    }

    /// This member has made a report.
    pub(super) fn on_own_report(&mut self, now: Micros) {
        self.own_report_urgent_until = now + OWN_REPORT_URGENT_FOR;
    }

    /// A report was new here: it is urgent where it may change whether its server is suspected. `silent_reports` counts the
    /// reports of silence on that server, cleared ones included.
    pub(super) fn on_news(
        &mut self,
        now: Micros,
        is_silent: bool,
        silent_reports: usize,
        is_suspected: bool,
    ) {
        let may_be_suspected = is_silent && !is_suspected && silent_reports >= evidence::URGENT_REPORTS;
        let may_be_cleared = !is_silent && is_suspected;
        if may_be_suspected || may_be_cleared {
            self.urgent_until = now + NEWS_URGENT_FOR;
        }
    }

    /// Takes the digests of the reports that there are now.
    pub(super) fn update_digests(&mut self, table: &ReportTable, min_reporters: usize) {
        self.digest = reports::digest(table);
        self.urgent_digest = evidence::urgent_digest(table, min_reporters);
    }

    /// The digest of the reports that a query is about.
    pub(super) fn digest(&self, scope: QueryScope) -> u64 {
        match scope {
            QueryScope::All | QueryScope::AllMutual => self.digest,
            QueryScope::UrgentMutual | QueryScope::Urgent => self.urgent_digest,
        }
    }

    /// Takes the right to answer one more query before the next tick; false where there is none left.
    pub(super) fn take_answer(&mut self) -> bool {
        if self.answered >= MAX_ANSWERS {
            return false;
        }
        self.answered += 1;
        true
    }

    /// What to query a member back for, whose query showed that it has something else; `None` where its reports can wait for the
    /// next own query.
    pub(super) fn query_back(&self, scope: QueryScope) -> Option<QueryScope> {
        let scope_back = match scope {
            QueryScope::UrgentMutual => QueryScope::Urgent,
            QueryScope::AllMutual => QueryScope::All,
            QueryScope::All | QueryScope::Urgent => return None,
        };
        (self.answered <= MAX_QUERIES_BACK).then_some(scope_back)
    }

    /// Opens a query to a member; returns the time that names it.
    pub(super) fn open_query(&mut self, now: Micros, to: SocketAddr) -> Micros {
        self.queries.open(now, to)
    }

    /// Closes the query that an answer names; false where the answer does not count.
    pub(super) fn close_query(&mut self, now: Micros, from: SocketAddr, sent: Micros) -> bool {
        self.queries.close(now, from, sent)
    }

    /// A tick begins.
    pub(super) fn on_tick(&mut self, now: Micros) {
        self.answered = 0;
        self.queries.expire(now);
    }

    /// The queries that are due now.
    pub(super) fn due_queries(
        &mut self,
        now: Micros,
        table: &ReportTable,
        min_reporters: usize,
        mut draw_peer: impl FnMut() -> Option<SocketAddr>,
    ) -> Vec<DueQuery> {
        let mut queries = Vec::new();
        let is_urgent = now < self.urgent_until.max(self.own_report_urgent_until);
        if is_urgent && self.urgent_rounds.is_due(now, URGENT_INTERVAL) {
            let scope = self.urgent_scope(now, table, min_reporters);
            let members = (0..MEMBERS_PER_URGENT_ROUND).filter_map(|_| draw_peer());
            queries.extend(members.map(|to| DueQuery { to, scope }));
        }
        let interval = if table.is_empty() { IDLE_INTERVAL } else { ROUND_INTERVAL };
        if self.rounds.is_due(now, interval) {
            queries.extend(draw_peer().map(|to| DueQuery { to, scope: QueryScope::All }));
        }
        queries
    }

    /// What an urgent query is about. Reports that are missing for a decision may be with members that have but one of them,
    /// to whom it is not urgent: these are asked for all that they have.
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

/// Where a report stands among those that compete for the room of an answer.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct AnswerRank {
    /// How many times as many reports of its server as have to agree are newer.
    layer: usize,
    /// Its server's place after the first one.
    turn: usize,
    /// Its place among the reports of its server.
    place: usize,
}

/// The reports of an answer, with their ages. Where it has no room for all: the newest of each server, as many as have to agree,
/// of servers from number `first` on, and then the others.
pub(super) fn answer(
    table: &ReportTable,
    now: Micros,
    scope: QueryScope,
    first: usize,
    min_reporters: usize,
) -> Vec<Report> {
    let is_complete = matches!(scope, QueryScope::All | QueryScope::AllMutual);
    let mut ranked: Vec<(AnswerRank, Report)> = Vec::new();
    for (number, (server, reports)) in table.iter().enumerate() {
        if !is_complete && !evidence::is_urgent(reports) {
            continue;
        }
        let turn = (number + table.len() - first) % table.len();
        for (place, report) in reports.iter().enumerate() {
            let layer = place / min_reporters.max(1);
            ranked.push((AnswerRank { layer, turn, place }, report.to_report(*server, now)));
        }
    }
    ranked.sort_unstable_by_key(|(rank, _)| *rank);
    ranked.truncate(MAX_REPORTS);
    ranked.into_iter().map(|(_, report)| report).collect()
}
