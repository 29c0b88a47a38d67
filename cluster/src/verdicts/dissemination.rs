//! How entries spread: which questions are due and of whom, how many are answered, and what an answer has room for.

use std::net::SocketAddr;

use super::known::{self, Known, Servers};
use super::message::{Entry, What, MOST_TOLD};
use crate::interval::Interval;
use crate::open_requests::OpenRequests;
use juniperladder::Micros;

/// Answers between two ticks: a flood of questions is not answered beyond.
pub(super) const MOST_ANSWERS: usize = 12;
/// Questions back to those whose questions show that they hold something else, between two ticks.
pub(super) const ASKED_BACK: usize = 2;
/// Members asked in a round with haste.
const ASKED: usize = 2;
/// Between two rounds of questions: while something new spreads, while something is held, and else.
const URGENT: Micros = Micros::from_millis(100);
const HELD: Micros = Micros::from_millis(500);
const CALM: Micros = Micros::from_millis(2_000);
/// How long something new is spread with haste: an own first word, and what changes which servers are passed by.
const OWN_HASTE: Micros = Micros::from_millis(200);
const HASTE: Micros = Micros::from_millis(500);
/// After its start a member asks with haste for so long.
const START_HASTE: Micros = Micros::from_secs(2);
/// Words against a server from which on they are spread with haste: one alone is mostly a server that is slow for a moment.
const HASTY: usize = 2;
/// A question is answered within this time or not at all.
const OPEN: Micros = Micros::SECOND;

/// One member's questions and answers.
#[derive(Debug)]
pub(super) struct Dissemination {
    requests: OpenRequests,
    rounds: Interval,
    hasty_rounds: Interval,
    /// Until then what is new is spread with haste, and until then an own word is.
    haste_until: Micros,
    own_haste_until: Micros,
    /// Questions answered since the last tick.
    answered: usize,
    /// All that is held in brief, and what of it is worth haste.
    digest: u64,
    hot_digest: u64,
}

impl Dissemination {
    /// That of a member which starts now.
    pub(super) fn new(now: Micros) -> Dissemination {
        Dissemination {
            requests: OpenRequests::new(OPEN),
            rounds: Interval::default(),
            hasty_rounds: Interval::default(),
            haste_until: now + START_HASTE,
            own_haste_until: Micros::ZERO,
            answered: 0,
            digest: 0,
            hot_digest: 0,
        }
    }

    /// An own word has to meet others.
    pub(super) fn hurry_own(&mut self, now: Micros) {
        self.own_haste_until = now + OWN_HASTE;
    }

    /// An entry of a server was new here: it has haste where it may change whether the server is passed by.
    pub(super) fn on_news(&mut self, now: Micros, silent: bool, words: usize, passed_by: bool) {
        let urgent = if silent { !passed_by && words >= HASTY } else { passed_by };
        if urgent {
            self.haste_until = now + HASTE;
        }
    }

    /// Takes in what is held now.
    pub(super) fn update(&mut self, servers: &Servers, witnesses: usize) {
        self.digest = known::digest(servers);
        self.hot_digest = known::hot_digest(servers, HASTY, witnesses);
    }

    /// What is held in brief, as far as a question is about it.
    pub(super) fn digest(&self, about: What) -> u64 {
        match about {
            What::All | What::Own => self.digest,
            What::Hot | What::HotBack => self.hot_digest,
        }
    }

    /// Whether one more question is answered before the next tick; it counts as answered then.
    pub(super) fn may_answer(&mut self) -> bool {
        let may = self.answered < MOST_ANSWERS;
        self.answered += usize::from(may);
        may
    }

    /// What to ask the asker of a question in turn, whose question showed that it holds something else. Without haste what
    /// the asker holds comes with the next own question.
    pub(super) fn question_back(&self, about: What) -> Option<What> {
        let back = match about {
            What::Hot => What::HotBack,
            What::Own => What::All,
            What::All | What::HotBack => return None,
        };
        (self.answered <= ASKED_BACK).then_some(back)
    }

    /// Opens a question to a member; gives the time that names it.
    pub(super) fn open(&mut self, now: Micros, to: SocketAddr) -> Micros {
        self.requests.open(now, to)
    }

    /// Closes the question that an answer names; false where it does not count.
    pub(super) fn close(&mut self, now: Micros, from: SocketAddr, sent: Micros) -> bool {
        self.requests.close(now, from, sent)
    }

    /// A tick begins.
    pub(super) fn on_tick(&mut self, now: Micros) {
        self.answered = 0;
        self.requests.expire(now);
    }

    /// The questions that are due now.
    pub(super) fn due(
        &mut self,
        now: Micros,
        servers: &Servers,
        witnesses: usize,
        mut peer: impl FnMut() -> Option<SocketAddr>,
    ) -> Vec<(SocketAddr, What)> {
        let mut questions = Vec::new();
        if now < self.haste_until.max(self.own_haste_until) && self.hasty_rounds.is_due(now, URGENT) {
            let about = self.hasty_question(now, servers, witnesses);
            questions.extend((0..ASKED).filter_map(|_| peer()).map(|to| (to, about)));
        }
        let interval = if servers.is_empty() { CALM } else { HELD };
        if self.rounds.is_due(now, interval) {
            questions.extend(peer().map(|to| (to, What::All)));
        }
        questions
    }

    /// What a question with haste is about. Words that are missing may be with members that have but one and no haste: they are
    /// asked for all that they hold.
    fn hasty_question(&self, now: Micros, servers: &Servers, witnesses: usize) -> What {
        let is_missing = |all: &Vec<Known>| known::is_hot(all, HASTY) && !known::is_decided(all, witnesses);
        let all = now < self.own_haste_until || self.hot_digest == 0 || servers.values().any(is_missing);
        if all {
            What::Own
        } else {
            What::Hot
        }
    }
}

/// The entries of an answer, with their ages. Where it has no room for all: the newest of each server, as many as have to agree,
/// of servers from the `first` on, and then the others.
pub(super) fn answer(
    servers: &Servers,
    now: Micros,
    about: What,
    first: usize,
    witnesses: usize,
) -> Vec<Entry> {
    let mut ranked: Vec<((usize, usize, usize), Entry)> = Vec::new();
    let is_whole = matches!(about, What::All | What::Own);
    let is_asked = |all: &[Known]| is_whole || known::is_hot(all, HASTY);
    for (number, (start, all)) in servers.iter().enumerate().filter(|(_, (_, all))| is_asked(all)) {
        let turn = (number + servers.len() - first) % servers.len();
        ranked.extend(all.iter().enumerate().map(|(place, known)| {
            let rank = (place / witnesses.max(1), turn, place);
            (rank, known.entry(*start, now))
        }));
    }
    ranked.sort_unstable_by_key(|(rank, _)| *rank);
    ranked.truncate(MOST_TOLD);
    ranked.into_iter().map(|(_, entry)| entry).collect()
}
