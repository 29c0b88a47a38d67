//! Verdicts on hosts: what balancers saw of a host's start, told to all, with an age that is proven and an end.
//!
//! # Guarantee
//!
//! - **Evidence, not commands.** An entry says that one witness saw one start of a host (its id and when it started, never an
//!   address) silent, or answering. Entries merge by a join: per host and witness the newest stamp wins; any order and any
//!   repeats give the same.
//! - **An end.** An entry acts at no member later than `expiry` after its witness saw what it tells, by any clock that runs
//!   within the stated drift: not where it comes late, nor at a member that was cut off, frozen or started anew. Only the
//!   witness itself can renew it.
//! - **Nobody is believed alone.** A host is passed by on others' word only where `witnesses` different ones say so: all of
//!   the own zone, or from two zones at least. A witness that finds more than half of the hosts silent has lost its own link
//!   and counts for nothing. At most `most` of all hosts, and half of a zone's, are passed by; those most spoken against first.
//! - **Back.** An answer that is newer than the words against a host clears it; each member draws its own wait for that. While a
//!   host is passed by, all members together try it about `tries` times a second, whatever their number.
//!
//! # Why an age can be trusted
//!
//! Entries travel only in answers to questions. The answer has each entry's age when it was written, which is after the
//! question was sent; so at its receipt an entry is at most that age and the time since the question old. Both are spans by
//! one clock each: no clocks are compared.

mod known;
#[cfg(test)]
mod tests;

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};

use crate::cold::Start;
use crate::injected_defect::InjectedDefect;
use crate::interval::Interval;
use crate::open_requests::OpenRequests;
use crate::{Us, MOST_HOSTS, SECOND};
use known::Known;

/// Entries in one answer: what a packet has room for, with the rest of it.
pub const MOST_TOLD: usize = 24;
/// Answers between two ticks: a flood of questions is not answered beyond.
const MOST_ANSWERS: usize = 12;
/// Between two rounds of questions: while something new spreads, while something is held, and else.
const URGENT: Us = 100_000;
const HELD: Us = 500_000;
const CALM: Us = 2_000_000;
/// How long something new is spread with haste: an own first word, and what changes which hosts are passed by; members asked in
/// such a round.
const OWN_HASTE: Us = 200_000;
const HASTE: Us = 500_000;
/// Words against a host from which on they are spread with haste: one alone is mostly a host that is slow for a moment.
const HASTY: usize = 2;
const ASKED: usize = 2;
/// Questions back to those whose questions show that they hold something else, between two ticks.
const ASKED_BACK: usize = 2;
/// A question is answered within this time or not at all.
const OPEN: Us = SECOND;
/// Between two entries of one witness on one host.
const AGAIN: Us = 500_000;
/// A host's silence is not told once more where so many told of it within the last second.
const ENOUGH: usize = 5;
/// How long own ends tell whether it is the own link that is lost, and how many are kept.
const OWN: Us = 2 * SECOND;
const OWN_MOST: usize = 64;
/// A host that has answered here within this time is not passed by, and within that it is not told to be silent: a time-out takes
/// about as long, so that the host has answered since.
const FRESH: Us = SECOND;
const ANSWERED: Us = SECOND / 2;
/// The longest that a member waits until it uses a host again.
const APART: Us = 400_000;
/// The part of a zone's hosts that is passed by at the most.
const OF_ZONE: f64 = 0.5;

/// The terms.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Terms {
    /// How many have to say so.
    pub witnesses: usize,
    /// How long an entry acts.
    pub expiry: Us,
    /// The part of all hosts that is passed by at the most.
    pub most: f64,
    /// Tries a second of one host by all members together.
    pub tries: f64,
    /// By which part clocks may run faster or slower than each other.
    pub drift: f64,
}

/// What one witness saw of one start of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The host and its start.
    pub start: Start,
    /// The witness's place in the fleet.
    pub witness: u32,
    /// The witness's zone.
    pub zone: u32,
    /// When, by the witness's clock: a later one replaces an earlier one.
    pub stamp: Us,
    /// How old it was at the most when it was written down here.
    pub age: Us,
    /// Whether the host was silent; else it answered.
    pub silent: bool,
    /// Of an answer, whether the witness's zone had found the host silent.
    pub back: bool,
}

/// What a question is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum What {
    /// All that is held.
    All,
    /// The same, and the asker has a word of its own that has to meet others.
    Own,
    /// What is worth haste, and the asker has some of it.
    Hot,
    /// The same, asked of one whose question showed that it holds something else.
    HotBack,
}

/// What goes between two members.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// What is held here in brief; whoever holds something else answers.
    Ask {
        /// When, by the asker's clock.
        sent: Us,
        /// Of what it is about.
        digest: u64,
        /// What it is about.
        about: What,
    },
    /// What is held, for the question of that time.
    Told {
        /// The time in the question.
        sent: Us,
        /// Its entries.
        entries: Vec<Entry>,
    },
}

/// What operators see.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Figures {
    /// Entries held that tell of silence.
    pub silent: usize,
    /// Entries held that tell of answers.
    pub sound: usize,
    /// Hosts that are passed by on others' word.
    pub against: usize,
    /// Hosts that would be, were it not for the most that may.
    pub beyond: usize,
    /// Witnesses that count for nothing now.
    pub refused: usize,
    /// Times at which a host was passed by.
    pub passed: u64,
    /// Tries of hosts that others speak against.
    pub tried: u64,
    /// Entries of its own.
    pub told: u64,
    /// The oldest entry that has acted, in microseconds.
    pub oldest: Us,
}

/// One member's verdicts.
#[derive(Debug)]
pub struct Verdicts {
    terms: Terms,
    position: u32,
    zone: u32,
    chance: ChaCha8Rng,
    hosts: BTreeMap<Start, Vec<Known>>,
    /// The hosts that serve: their starts and zones.
    listed: BTreeMap<u64, (Us, u32)>,
    /// Hosts that are passed by, and until when they stay so though others say that they answer.
    against: BTreeMap<Start, Option<Us>>,
    tried: BTreeMap<Start, Us>,
    own: VecDeque<(Us, u64, bool)>,
    requests: OpenRequests,
    rounds: Interval,
    hasty_rounds: Interval,
    haste: Us,
    /// Until then an own word is spread with haste.
    own_haste: Us,
    answers: usize,
    members: usize,
    digest: u64,
    hot: u64,
    /// Whether anything has changed since it was last judged.
    changed: bool,
    out: Vec<(SocketAddr, Message)>,
    figures: Figures,
    flaw: InjectedDefect<Flaw>,
}

impl Verdicts {
    /// Those of a member at this position and in this zone, which starts now.
    pub fn new(terms: Terms, position: u32, zone: u32, seed: u64, now: Us) -> Verdicts {
        Verdicts {
            terms,
            position,
            zone,
            chance: ChaCha8Rng::seed_from_u64(seed),
            hosts: BTreeMap::new(),
            listed: BTreeMap::new(),
            against: BTreeMap::new(),
            tried: BTreeMap::new(),
            own: VecDeque::new(),
            requests: OpenRequests::new(OPEN),
            rounds: Interval::default(),
            hasty_rounds: Interval::default(),
            haste: now + 2 * SECOND,
            own_haste: 0,
            answers: 0,
            members: 1,
            digest: 0,
            hot: 0,
            changed: false,
            out: Vec::new(),
            figures: Figures::default(),
            flaw: InjectedDefect::none(),
        }
    }

    /// The hosts that serve, each with its zone, by the list in hand.
    pub fn listed(&mut self, hosts: impl IntoIterator<Item = (Start, u32)>) {
        let hosts = hosts.into_iter().map(|(start, zone)| (self.name(start), zone));
        self.listed = hosts.map(|(start, zone)| (start.host, (start.started, zone))).collect();
        self.changed = true;
    }

    /// How long an entry acts by this clock, so that by every clock it is no longer than stated.
    fn expiry(&self) -> Us {
        (self.terms.expiry as f64 * (1.0 - 2.0 * self.terms.drift)) as Us
    }

    /// An own send told of this start of a host.
    pub fn saw(&mut self, start: Start, silent: bool, now: Us) {
        let start = self.name(start);
        self.own.push_back((now, start.host, silent));
        while self.own.len() > OWN_MOST || self.own.front().is_some_and(|(at, ..)| at + OWN < now) {
            self.own.pop_front();
        }
        let known = self.hosts.get(&start);
        let mine = known.and_then(|all| all.iter().find(|one| one.witness == self.position));
        let fresh = mine.is_some_and(|one| one.silent == silent && now < one.born + AGAIN);
        let answered =
            |(at, host, silent): &(Us, u64, bool)| !silent && *host == start.host && now < at + ANSWERED;
        let tell = if silent {
            let lately = |one: &&Known| one.silent && now < one.born + SECOND;
            let told = known.map_or(0, |all| all.iter().filter(lately).count());
            !fresh && told < ENOUGH && self.trusts_itself() && !self.own.iter().any(answered)
        } else {
            !fresh && known.is_some_and(|all| known::spoken_against(all))
        };
        if tell {
            self.figures.told += 1;
            let stamp = mine.map_or(now, |one| now.max(one.stamp + 1));
            let here = |one: &Known| one.zone == self.zone && one.silent;
            let back = !silent
                && (known.is_some_and(|all| all.iter().any(here)) || mine.is_some_and(|one| one.back));
            let known = Known { witness: self.position, zone: self.zone, stamp, born: now, silent, back };
            self.own_haste = now + OWN_HASTE;
            self.take(start, known, now);
        }
    }

    /// Whether the own ends of late tell of hosts and not of the own link: some host answered, and no more than half are silent.
    fn trusts_itself(&self) -> bool {
        let mut last: BTreeMap<u64, bool> = BTreeMap::new();
        last.extend(self.own.iter().map(|(_, host, silent)| (*host, *silent)));
        let silent = last.values().filter(|silent| **silent).count();
        2 * silent <= last.len()
    }

    /// Takes an entry in, beyond [`MOST_HOSTS`] none on a host that is new; what is new and changes something is spread with haste.
    fn take(&mut self, start: Start, known: Known, now: Us) {
        if !self.hosts.contains_key(&start) && self.hosts.len() >= MOST_HOSTS {
            return;
        }
        let all = self.hosts.entry(start).or_default();
        let news = known::join(all, known);
        let words = all.iter().filter(|one| one.silent).count();
        if all.is_empty() {
            self.hosts.remove(&start);
        }
        self.changed |= news;
        let against = self.against.contains_key(&start);
        if news && if known.silent { !against && words >= HASTY } else { against } {
            self.haste = now + HASTE;
        }
    }

    /// A message has come.
    pub fn heard(&mut self, now: Us, from: SocketAddr, message: Message) {
        match message {
            Message::Ask { sent, digest, about } => {
                if digest == self.digest(about) || self.answers >= MOST_ANSWERS {
                    return;
                }
                self.answers += 1;
                let entries = self.written(now, about);
                if !entries.is_empty() {
                    self.out.push((from, Message::Told { sent, entries }));
                }
                // Without haste what the asker holds comes with the next own question.
                let back = match about {
                    What::Hot => What::HotBack,
                    What::Own => What::All,
                    What::All | What::HotBack => return,
                };
                if self.answers <= ASKED_BACK {
                    self.ask(now, from, back);
                }
            }
            Message::Told { sent, entries } => {
                if !self.requests.close(now, from, sent) {
                    return;
                }
                for entry in entries.into_iter().take(MOST_TOLD) {
                    self.told(now, sent, entry);
                }
            }
        }
    }

    fn told(&mut self, now: Us, sent: Us, entry: Entry) {
        let Entry { start, witness, zone, stamp, age, silent, back } = entry;
        // It was written after the question was sent: no younger than this can be proven.
        let age = if self.flaw.is(Flaw::AgeNotCarried) { 0.0 } else { age as f64 };
        let mut born = (sent as f64 - age * (1.0 + 2.0 * self.terms.drift)) as i64;
        if self.flaw.is(Flaw::RenewedByHearsay) {
            born = now as i64;
        }
        // Of itself a member knows better; what is over does not come back.
        if witness == self.position || born + (self.expiry() as i64) <= now as i64 {
            return;
        }
        let known = Known { witness, zone, stamp, born: born.max(0) as Us, silent, back: back && !silent };
        self.take(start, known, now);
    }

    /// What is held, with its ages. Where an answer has no room for all: the newest of each host, as many as have to agree, of
    /// hosts from a drawn one on, and then the others.
    fn written(&mut self, now: Us, about: What) -> Vec<Entry> {
        let drawn = self.chance.random_range(0..self.hosts.len().max(1));
        let mut all: Vec<((usize, usize, usize), Entry)> = Vec::new();
        let whole = matches!(about, What::All | What::Own);
        let asked = |all: &[Known]| whole || known::is_hot(all, HASTY);
        for (number, (start, known)) in self.hosts.iter().enumerate().filter(|(_, (_, all))| asked(all)) {
            let turn = (number + self.hosts.len() - drawn) % self.hosts.len();
            all.extend(known.iter().enumerate().map(|(place, one)| {
                let age = now.saturating_sub(one.born);
                let Known { witness, zone, stamp, silent, back, .. } = *one;
                let entry = Entry { start: *start, witness, zone, stamp, age, silent, back };
                ((place / self.terms.witnesses.max(1), turn, place), entry)
            }));
        }
        all.sort_unstable_by_key(|(key, _)| *key);
        all.truncate(MOST_TOLD);
        all.into_iter().map(|(_, entry)| entry).collect()
    }

    /// What is held in brief, as far as a question is about it.
    fn digest(&self, about: What) -> u64 {
        match about {
            What::All | What::Own => self.digest,
            What::Hot | What::HotBack => self.hot,
        }
    }

    fn ask(&mut self, now: Us, to: SocketAddr, about: What) {
        let sent = self.requests.open(now, to);
        self.out.push((to, Message::Ask { sent, digest: self.digest(about), about }));
    }

    /// Does what is due; to be called every 50 ms or so. `members` are there now, this one included.
    pub fn tick(&mut self, now: Us, members: usize, mut peer: impl FnMut() -> Option<SocketAddr>) {
        self.members = members.max(1);
        self.answers = 0;
        self.requests.expire(now);
        let expiry = self.expiry();
        for all in self.hosts.values_mut() {
            let before = all.len();
            all.retain(|one| now < one.born + expiry);
            self.changed |= all.len() < before;
        }
        self.hosts.retain(|_, all| !all.is_empty());
        // Those that are cleared wait for their time without anything new.
        if std::mem::take(&mut self.changed) || !self.against.is_empty() {
            self.tried.retain(|_, at| now < *at + 10 * SECOND);
            self.digest = known::digest(&self.hosts);
            self.hot = known::hot_digest(&self.hosts, HASTY, self.terms.witnesses);
            self.judge(now);
        }
        if now < self.haste.max(self.own_haste) && self.hasty_rounds.is_due(now, URGENT) {
            // Words that are missing may be with members that have but one and no haste: they are asked for all that they hold.
            let missing =
                |all: &Vec<Known>| known::is_hot(all, HASTY) && !known::is_decided(all, self.terms.witnesses);
            let all = now < self.own_haste || self.hot == 0 || self.hosts.values().any(missing);
            let about = if all { What::Own } else { What::Hot };
            for to in (0..ASKED).filter_map(|_| peer()).collect::<Vec<_>>() {
                self.ask(now, to, about);
            }
        }
        let every = if self.hosts.is_empty() { CALM } else { HELD };
        if self.rounds.is_due(now, every) {
            peer().into_iter().for_each(|to| self.ask(now, to, What::All));
        }
    }

    /// Which hosts are passed by from now on.
    fn judge(&mut self, now: Us) {
        let refused = known::refused(&self.hosts, self.listed.len());
        self.figures.refused = refused.len();
        let mut ranked: Vec<(usize, Start)> = Vec::new();
        for (start, all) in &self.hosts {
            let latched = self.against.contains_key(start);
            let count = known::against(all, &refused, self.zone, self.terms.witnesses, latched);
            if count > 0 {
                ranked.push((count, *start));
            }
        }
        // Those that are passed by already stay before others that are as much spoken against.
        ranked.sort_by_key(|(count, start)| (!self.against.contains_key(start), usize::MAX - count, *start));
        let most = (self.terms.most * self.listed.len() as f64) as usize;
        let mut zones: BTreeMap<u32, (usize, usize)> = BTreeMap::new();
        self.listed.values().for_each(|(_, zone)| zones.entry(*zone).or_default().0 += 1);
        let mut against: BTreeMap<Start, Option<Us>> = BTreeMap::new();
        self.figures.beyond = 0;
        for (_, start) in ranked {
            // What is said of an earlier start, or of a host that is gone, concerns nobody any more.
            let Some((_, zone)) = self.listed.get(&start.host).filter(|(at, _)| *at == start.started) else {
                continue;
            };
            let zone = zones.entry(*zone).or_default();
            if against.len() < most && ((zone.1 + 1) as f64) <= OF_ZONE * zone.0 as f64 {
                zone.1 += 1;
                against.insert(start, None);
            } else {
                self.figures.beyond += 1;
            }
        }
        // What is cleared is used again after a wait that each draws for itself; what has run out, at once.
        for (start, until) in &self.against {
            let held = self.hosts.get(start).is_some_and(|all| !all.is_empty());
            let until = until.unwrap_or_else(|| now + self.chance.random_range(0..APART));
            if held && !against.contains_key(start) && now < until {
                against.insert(*start, Some(until));
            }
        }
        self.against = against;
        self.figures.against = self.against.len();
    }

    /// Whether to pass by this start of a host. `heard` is when it last answered here, `per_s` how many sends a
    /// host gets from here.
    pub fn warned(&mut self, start: Start, heard: Us, per_s: f64, now: Us) -> bool {
        let start = self.name(start);
        if !self.against.contains_key(&start) || now < heard + FRESH {
            return false;
        }
        let expiry = self.expiry();
        let newest = |all: &Vec<Known>| all.iter().filter(|one| one.silent).map(|one| one.born).max();
        let Some(born) = self.hosts.get(&start).and_then(newest) else { return false };
        if now >= born + expiry {
            return false;
        }
        // All members together make so many tries a second; this one's part is drawn, at most one a second.
        let all = (self.members as f64 * per_s).max(1e-3);
        let rested = self.tried.get(&start).is_none_or(|at| now >= at + SECOND);
        if rested && self.chance.random::<f64>() < self.terms.tries / all {
            self.tried.insert(start, now);
            self.figures.tried += 1;
            return false;
        }
        self.figures.passed += 1;
        self.figures.oldest = self.figures.oldest.max(now.saturating_sub(born));
        true
    }

    /// What goes out.
    pub fn drain(&mut self) -> std::vec::Drain<'_, (SocketAddr, Message)> {
        self.out.drain(..)
    }

    /// What operators see.
    pub fn figures(&self) -> Figures {
        let count = |silent| self.hosts.values().flatten().filter(|one| one.silent == silent).count();
        Figures { silent: count(true), sound: count(false), ..self.figures }
    }

    /// The start as it is looked up.
    fn name(&self, start: Start) -> Start {
        if self.flaw.is(Flaw::AddressForStart) {
            Start { started: 0, ..start }
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
    /// A host is known by its address alone: a new start inherits the old one's entries.
    AddressForStart,
}
