//! What goes between two members about verdicts, and the terms that both have to have the same.

use serde::{Deserialize, Serialize};

use crate::cold::Start;
use juniperladder::Micros;

/// Entries in one answer: what a packet has room for, with the rest of it.
pub const MOST_TOLD: usize = 24;

/// The terms.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Terms {
    /// How many have to say so.
    pub witnesses: usize,
    /// How long an entry acts.
    pub expiry: Micros,
    /// The part of all servers that is passed by at the most.
    pub most: f64,
    /// Tries a second of one server by all members together.
    pub tries: f64,
    /// By which part clocks may run faster or slower than each other.
    pub drift: f64,
}

impl Terms {
    /// How long an entry acts by the own clock, so that by every clock it is no longer than stated.
    pub(super) fn own_expiry(&self) -> Micros {
        self.expiry.mul_f64(1.0 - 2.0 * self.drift)
    }
}

/// What one witness saw of one start of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The server and its start.
    pub start: Start,
    /// The witness's place in the fleet.
    pub witness: u32,
    /// The witness's zone.
    pub zone: u32,
    /// When, by the witness's clock: a later one replaces an earlier one.
    #[serde(with = "crate::wire_micros")]
    pub stamp: Micros,
    /// How old it was at the most when it was written down here.
    #[serde(with = "crate::wire_micros")]
    pub age: Micros,
    /// Whether the server was silent; else it answered.
    pub silent: bool,
    /// Of an answer, whether the witness's zone had found the server silent.
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
        #[serde(with = "crate::wire_micros")]
        sent: Micros,
        /// Of what it is about.
        digest: u64,
        /// What it is about.
        about: What,
    },
    /// What is held, for the question of that time.
    Told {
        /// The time in the question.
        #[serde(with = "crate::wire_micros")]
        sent: Micros,
        /// Its entries.
        entries: Vec<Entry>,
    },
}
