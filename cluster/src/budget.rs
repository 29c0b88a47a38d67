//! Second tries as a budget over first tries, of all balancers together: rights that are earned, spent, and passed on.
//!
//! # Guarantee
//!
//! Whatever is lost, late, repeated or in disorder, whoever is cut off, killed, started anew or frozen: **in any time, all
//! balancers together begin at most `share` second tries for each first try of that time and the two seconds before it, and
//! `saved` more.**
//!
//! # Why
//!
//! A right is made by a first try alone, `share` of one each, and is in one place or lost: whoever passes one on has taken it
//! off its own first; whoever gets one takes it for a question that it sent within the last second and has not had answered,
//! so that no repeat and nothing late counts. Own rights are kept up to `saved` over the number of holders; rights from others
//! for a second. So a right that is spent at t was within one of the own stocks at t - 2 s, which hold `saved` at the most, or
//! was made since. A process that starts has none.

#[cfg(test)]
mod tests;

use std::collections::VecDeque;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::interval::Interval;
use crate::open_requests::OpenRequests;
use juniperladder::Micros;

/// How long a question may wait for its answer, and how long what came by it is kept.
pub const OPEN: Micros = Micros::SECOND;
/// Between two rounds of questions.
const EVERY: Micros = Micros::from_millis(200);
/// Members asked in a round, and the most rights asked for.
const ASKED: usize = 2;
const MOST: u32 = 16;
/// Rights that a holder keeps for itself.
const KEPT: f64 = 1.0;

/// The terms, the same at every member.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Terms {
    /// Second tries for each first try.
    pub share: f64,
    /// Rights that all holders together may have saved up.
    pub saved: f64,
    /// Among how many positions the saved ones are divided.
    pub holders: u32,
}

/// What goes between two members.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// So many rights are wanted, by a question of this time and life.
    Ask {
        /// The asker's life.
        life: u64,
        /// When, by the asker's clock.
        #[serde(with = "crate::wire_micros")]
        sent: Micros,
        /// How many.
        rights: u32,
    },
    /// So many are given, for that question.
    Give {
        /// The asker's life, as asked.
        life: u64,
        /// The time in the question, as asked.
        #[serde(with = "crate::wire_micros")]
        sent: Micros,
        /// How many.
        rights: u32,
    },
}

/// What operators see.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Figures {
    /// Own rights.
    pub own: f64,
    /// Rights from others.
    pub got: f64,
    /// Rights spent, all told.
    pub spent: u64,
    /// First tries.
    pub first: u64,
    /// Rights given away.
    pub given: u64,
    /// Second tries that found none.
    pub denied: u64,
}

/// One member's part.
#[derive(Debug)]
pub struct Budget {
    terms: Terms,
    life: u64,
    own: f64,
    most: f64,
    got: VecDeque<(Micros, f64)>,
    requests: OpenRequests,
    rounds: Interval,
    /// When one was last wanted and there was none.
    short: Option<Micros>,
    out: Vec<(SocketAddr, Message)>,
    figures: Figures,
}

impl Budget {
    /// The part of a member that starts its life now: it has nothing. Beyond the holders nothing is kept, so that what is
    /// earned there is spent at once or lost.
    pub fn new(terms: Terms, position: u32, life: u64) -> Budget {
        let most = if position < terms.holders { terms.saved / f64::from(terms.holders.max(1)) } else { 0.0 };
        Budget {
            terms,
            life,
            own: 0.0,
            most,
            got: VecDeque::new(),
            requests: OpenRequests::new(OPEN),
            rounds: Interval::default(),
            short: None,
            out: Vec::new(),
            figures: Figures::default(),
        }
    }

    /// A first try has come in.
    pub fn first(&mut self) {
        self.figures.first += 1;
        self.own = (self.own + self.terms.share).min(self.most);
    }

    /// What has come from others and is not too old.
    fn got(&mut self, now: Micros) -> f64 {
        while self.got.front().is_some_and(|(at, _)| now >= *at + OPEN) {
            self.got.pop_front();
        }
        self.got.iter().map(|(_, rights)| rights).sum()
    }

    /// Whether one more second try may begin.
    pub fn has(&mut self, now: Micros) -> bool {
        let has = self.own >= 1.0 || self.got(now) >= 1.0;
        if !has {
            self.short = Some(now);
        }
        has
    }

    /// One begins; what came from others goes first.
    pub fn spend(&mut self, now: Micros) {
        self.figures.spent += 1;
        if self.got(now) < 1.0 {
            self.own = (self.own - 1.0).max(0.0);
        } else if let Some((_, rights)) = self.got.front_mut() {
            *rights -= 1.0;
            self.got.retain(|(_, rights)| *rights >= 1.0);
        }
    }

    /// One was given up for want of a right.
    pub fn denied(&mut self, now: Micros) {
        self.figures.denied += 1;
        self.short = Some(now);
    }

    /// Asks others while there was lately none; to be called every 50 ms or so.
    pub fn tick(&mut self, now: Micros, mut peer: impl FnMut() -> Option<SocketAddr>) {
        self.requests.expire(now);
        let short = self.short.is_some_and(|at| now < at + OPEN);
        if !short || self.own >= 1.0 || self.got(now) >= 1.0 || !self.rounds.is_due(now, EVERY) {
            return;
        }
        for _ in 0..ASKED {
            let Some(to) = peer() else { return };
            let sent = self.requests.open(now, to);
            self.out.push((to, Message::Ask { life: self.life, sent, rights: MOST }));
        }
    }

    /// A message has come.
    pub fn heard(&mut self, now: Micros, from: SocketAddr, message: Message) {
        match message {
            Message::Ask { life, sent, rights } => {
                // Half of what can be done without: who asks next finds some, too.
                let spare = ((self.own - KEPT).max(0.0) / 2.0).floor().min(f64::from(rights.min(MOST)));
                if spare >= 1.0 && self.short.is_none_or(|at| now >= at + OPEN) {
                    self.own -= spare;
                    self.figures.given += spare as u64;
                    self.out.push((from, Message::Give { life, sent, rights: spare as u32 }));
                }
            }
            Message::Give { life, sent, rights } => {
                if life == self.life && self.requests.close(now, from, sent) {
                    self.got.push_back((now, f64::from(rights.min(MOST))));
                }
            }
        }
    }

    /// What goes out.
    pub fn drain(&mut self) -> std::vec::Drain<'_, (SocketAddr, Message)> {
        self.out.drain(..)
    }

    /// What operators see.
    pub fn figures(&mut self, now: Micros) -> Figures {
        Figures { own: self.own, got: self.got(now), ..self.figures }
    }
}
