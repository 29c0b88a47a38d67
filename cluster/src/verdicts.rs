//! Verdicts on servers: what balancers saw of a server's start, told to all, with an age that is proven and an end.
//!
//! # Guarantee
//!
//! - **Evidence, not requests.** An entry says that one witness saw one start of a server (its id and when it started, never an
//!   address) silent, or answering. Entries merge by a join: per server and witness the newest stamp wins; any order and any
//!   repeats give the same.
//! - **An end.** An entry acts at no member later than `expiry` after its witness saw what it tells, by any clock that runs
//!   within the stated drift: not where it comes late, nor at a member that was cut off, frozen or started anew. Only the
//!   witness itself can renew it.
//! - **Nobody is believed alone.** A server is passed by on others' word only where `witnesses` different ones say so: all of
//!   the own zone, or from two zones at least. A witness that finds more than half of the servers silent has lost its own link
//!   and counts for nothing. At most `most` of all servers, and half of a zone's, are passed by; those most spoken against first.
//! - **Back.** An answer that is newer than the words against a server clears it; each member draws its own wait for that. While a
//!   server is passed by, all members together try it about `tries` times a second, whatever their number.
//!
//! # Why an age can be trusted
//!
//! Entries travel only in answers to questions. The answer has each entry's age when it was written, which is after the
//! question was sent; so at its receipt an entry is at most that age and the time since the question old. Both are spans by
//! one clock each: no clocks are compared.

mod dissemination;
mod known;
mod message;
mod own_results;
mod selection;
#[cfg(test)]
mod tests;

use std::collections::BTreeMap;
use std::net::SocketAddr;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::cold::Start;
use crate::injected_defect::InjectedDefect;
use crate::MAX_SERVERS;
use dissemination::Dissemination;
use juniperladder::Micros;
use known::{Known, Servers};
pub use message::{Entry, Message, Terms, What, MOST_TOLD};
use own_results::OwnResults;
use selection::{Listed, PassedBy, Selection};

/// Between two entries of one witness on one server.
const AGAIN: Micros = Micros::from_millis(500);
/// A server's silence is not told once more where so many told of it within the last second.
const ENOUGH: usize = 5;
/// A server that has answered here within this time is not passed by.
const FRESH: Micros = Micros::SECOND;
/// How long it is remembered when a server that is passed by was tried.
const TRIES_KEPT: Micros = Micros::from_secs(10);

/// What operators see.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Figures {
    /// Entries held that tell of silence.
    pub silent: usize,
    /// Entries held that tell of answers.
    pub sound: usize,
    /// Servers that are passed by on others' word.
    pub against: usize,
    /// Servers that would be, were it not for the most that may.
    pub beyond: usize,
    /// Witnesses that count for nothing now.
    pub refused: usize,
    /// Times at which a server was passed by.
    pub passed: u64,
    /// Tries of servers that others speak against.
    pub tried: u64,
    /// Entries of its own.
    pub told: u64,
    /// The oldest entry that has acted, in microseconds.
    pub oldest: Micros,
}

/// One member's verdicts.
#[derive(Debug)]
pub struct Verdicts {
    terms: Terms,
    position: u32,
    zone: u32,
    rng: ChaCha8Rng,
    servers: Servers,
    listed: Listed,
    against: PassedBy,
    tried: BTreeMap<Start, Micros>,
    own: OwnResults,
    dissemination: Dissemination,
    members: usize,
    /// Whether anything has changed since it was last decided which servers are passed by.
    changed: bool,
    out: Vec<(SocketAddr, Message)>,
    figures: Figures,
    flaw: InjectedDefect<Flaw>,
}

impl Verdicts {
    /// Those of a member at this position and in this zone, which starts now.
    pub fn new(terms: Terms, position: u32, zone: u32, seed: u64, now: Micros) -> Verdicts {
        Verdicts {
            terms,
            position,
            zone,
            rng: ChaCha8Rng::seed_from_u64(seed),
            servers: Servers::new(),
            listed: Listed::new(),
            against: PassedBy::new(),
            tried: BTreeMap::new(),
            own: OwnResults::default(),
            dissemination: Dissemination::new(now),
            members: 1,
            changed: false,
            out: Vec::new(),
            figures: Figures::default(),
            flaw: InjectedDefect::none(),
        }
    }

    /// The servers that serve, each with its zone, by the list in hand.
    pub fn listed(&mut self, servers: impl IntoIterator<Item = (Start, u32)>) {
        let servers = servers.into_iter().map(|(start, zone)| (self.name(start), zone));
        self.listed = servers.map(|(start, zone)| (start.server, (start.started, zone))).collect();
        self.changed = true;
    }

    /// An own send told of this start of a server.
    pub fn saw(&mut self, start: Start, silent: bool, now: Micros) {
        let start = self.name(start);
        self.own.record(now, start.server, silent);
        if self.is_worth_telling(start, silent, now) {
            self.tell(start, silent, now);
        }
    }

    /// Whether others are told of the end of an own send.
    fn is_worth_telling(&self, start: Start, silent: bool, now: Micros) -> bool {
        let known = self.known(start);
        let told_lately =
            self.own_entry(start).is_some_and(|own| own.silent == silent && now < own.born + AGAIN);
        if told_lately {
            return false;
        }
        if !silent {
            return known::spoken_against(known);
        }
        let lately = |known: &&Known| known.silent && now < known.born + Micros::SECOND;
        known.iter().filter(lately).count() < ENOUGH
            && self.own.link_works()
            && !self.own.has_just_answered(start.server, now)
    }

    /// Takes in an entry of its own, which others are told with haste.
    fn tell(&mut self, start: Start, silent: bool, now: Micros) {
        self.figures.told += 1;
        let own = self.own_entry(start);
        let stamp = own.map_or(now, |own| now.max(own.stamp + Micros(1)));
        let found_silent_here = |known: &Known| known.zone == self.zone && known.silent;
        let back =
            !silent && (self.known(start).iter().any(found_silent_here) || own.is_some_and(|own| own.back));
        let known = Known { witness: self.position, zone: self.zone, stamp, born: now, silent, back };
        self.dissemination.hurry_own(now);
        self.take(start, known, now);
    }

    /// What is known of a start of a server.
    fn known(&self, start: Start) -> &[Known] {
        self.servers.get(&start).map_or(&[], Vec::as_slice)
    }

    /// The own entry on a start of a server.
    fn own_entry(&self, start: Start) -> Option<&Known> {
        self.known(start).iter().find(|known| known.witness == self.position)
    }

    /// Takes an entry in, beyond [`MAX_SERVERS`] none on a server that is new; what is new and changes something is spread with haste.
    fn take(&mut self, start: Start, known: Known, now: Micros) {
        if !self.servers.contains_key(&start) && self.servers.len() >= MAX_SERVERS {
            return;
        }
        let all = self.servers.entry(start).or_default();
        let news = known::join(all, known);
        let words = all.iter().filter(|one| one.silent).count();
        if all.is_empty() {
            self.servers.remove(&start);
        }
        self.changed |= news;
        if news {
            let passed_by = self.against.contains_key(&start);
            self.dissemination.on_news(now, known.silent, words, passed_by);
        }
    }

    /// A message has come.
    pub fn heard(&mut self, now: Micros, from: SocketAddr, message: Message) {
        match message {
            Message::Ask { sent, digest, about } => self.asked(now, from, sent, digest, about),
            Message::Told { sent, entries } => {
                if !self.dissemination.close(now, from, sent) {
                    return;
                }
                for entry in entries.into_iter().take(MOST_TOLD) {
                    self.told(now, sent, entry);
                }
            }
        }
    }

    /// A member asks; it is answered where it holds something else, and asked in turn where there is haste.
    fn asked(&mut self, now: Micros, from: SocketAddr, sent: Micros, digest: u64, about: What) {
        if digest == self.dissemination.digest(about) || !self.dissemination.may_answer() {
            return;
        }
        let first = self.rng.random_range(0..self.servers.len().max(1));
        let entries = dissemination::answer(&self.servers, now, about, first, self.terms.witnesses);
        if !entries.is_empty() {
            self.out.push((from, Message::Told { sent, entries }));
        }
        if let Some(back) = self.dissemination.question_back(about) {
            self.ask(now, from, back);
        }
    }

    /// An entry has come in the answer to the question of that time.
    fn told(&mut self, now: Micros, sent: Micros, entry: Entry) {
        let Entry { start, witness, zone, stamp, age, silent, back } = entry;
        // It was written after the question was sent: no younger than this can be proven.
        let age = if self.flaw.is(Flaw::AgeNotCarried) { 0.0 } else { age.as_f64() };
        let mut born = (sent.as_f64() - age * (1.0 + 2.0 * self.terms.drift)) as i64;
        if self.flaw.is(Flaw::RenewedByHearsay) {
            born = now.0 as i64;
        }
        // Of itself a member knows better; what is over does not come back.
        if witness == self.position || born + (self.terms.own_expiry().0 as i64) <= now.0 as i64 {
            return;
        }
        let known =
            Known { witness, zone, stamp, born: Micros(born.max(0) as u64), silent, back: back && !silent };
        self.take(start, known, now);
    }

    fn ask(&mut self, now: Micros, to: SocketAddr, about: What) {
        let sent = self.dissemination.open(now, to);
        self.out.push((to, Message::Ask { sent, digest: self.dissemination.digest(about), about }));
    }

    /// Does what is due; to be called every 50 ms or so. `members` are there now, this one included.
    pub fn tick(&mut self, now: Micros, members: usize, peer: impl FnMut() -> Option<SocketAddr>) {
        self.members = members.max(1);
        self.dissemination.on_tick(now);
        self.expire(now);
        // Those that are cleared wait for their time without anything new.
        if std::mem::take(&mut self.changed) || !self.against.is_empty() {
            self.tried.retain(|_, at| now < *at + TRIES_KEPT);
            self.dissemination.update(&self.servers, self.terms.witnesses);
            self.decide(now);
        }
        for (to, about) in self.dissemination.due(now, &self.servers, self.terms.witnesses, peer) {
            self.ask(now, to, about);
        }
    }

    /// Drops the entries that act no more.
    fn expire(&mut self, now: Micros) {
        let expiry = self.terms.own_expiry();
        for all in self.servers.values_mut() {
            let before = all.len();
            all.retain(|one| now < one.born + expiry);
            self.changed |= all.len() < before;
        }
        self.servers.retain(|_, all| !all.is_empty());
    }

    /// Decides which servers are passed by from now on.
    fn decide(&mut self, now: Micros) {
        let Selection { passed_by, beyond, refused } = selection::select(
            &self.terms,
            self.zone,
            &self.servers,
            &self.listed,
            &self.against,
            now,
            &mut self.rng,
        );
        self.against = passed_by;
        self.figures.against = self.against.len();
        (self.figures.beyond, self.figures.refused) = (beyond, refused);
    }

    /// Whether to pass by this start of a server. `heard` is when it last answered here, `per_s` how many sends a
    /// server gets from here.
    pub fn warned(&mut self, start: Start, heard: Micros, per_s: f64, now: Micros) -> bool {
        let start = self.name(start);
        if !self.against.contains_key(&start) || now < heard + FRESH {
            return false;
        }
        let newest = self.known(start).iter().filter(|one| one.silent).map(|one| one.born).max();
        let Some(born) = newest.filter(|born| now < *born + self.terms.own_expiry()) else { return false };
        if self.draws_a_try(start, per_s, now) {
            return false;
        }
        self.figures.passed += 1;
        self.figures.oldest = self.figures.oldest.max(now.saturating_sub(born));
        true
    }

    /// Whether a server that is passed by is tried all the same: all members together make so many tries a second; this one's
    /// part is drawn, at most one a second.
    fn draws_a_try(&mut self, start: Start, per_s: f64, now: Micros) -> bool {
        let all = (self.members as f64 * per_s).max(1e-3);
        let rested = self.tried.get(&start).is_none_or(|at| now >= *at + Micros::SECOND);
        let tries = rested && self.rng.random::<f64>() < self.terms.tries / all;
        if tries {
            self.tried.insert(start, now);
            self.figures.tried += 1;
        }
        tries
    }

    /// What goes out.
    pub fn drain(&mut self) -> std::vec::Drain<'_, (SocketAddr, Message)> {
        self.out.drain(..)
    }

    /// What operators see.
    pub fn figures(&self) -> Figures {
        let count = |silent| self.servers.values().flatten().filter(|one| one.silent == silent).count();
        Figures { silent: count(true), sound: count(false), ..self.figures }
    }

    /// The start as it is looked up.
    fn name(&self, start: Start) -> Start {
        if self.flaw.is(Flaw::AddressForStart) {
            Start { started: Micros::ZERO, ..start }
        } else {
            start
        }
    }
}

/// The ways in which tests break a machine on purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Flaw {
    /// The age that an entry had at its teller's is forgotten.
    AgeNotCarried,
    /// Who hears an entry once more takes it for new.
    RenewedByHearsay,
    /// A server is known by its address alone: a new start inherits the old one's entries.
    AddressForStart,
}
