//! How the own sends of late ended: whether it is a server that is silent, or the own link.

use std::collections::{BTreeMap, VecDeque};

use juniperladder::Micros;

/// How long results are kept, and how many.
const KEPT_FOR: Micros = Micros::from_secs(2);
const MOST_KEPT: usize = 64;
/// A server that has answered here within this time is not told to be silent: a time-out takes about as long, so that the server
/// has answered since.
const ANSWERED: Micros = Micros::from_millis(500);

/// The end of one own send.
#[derive(Clone, Copy, Debug)]
struct SendResult {
    at: Micros,
    server: u64,
    silent: bool,
}

/// The ends of the own sends of late, oldest first.
#[derive(Debug, Default)]
pub(super) struct OwnResults {
    results: VecDeque<SendResult>,
}

impl OwnResults {
    /// A send to a server has ended, without an answer where the server was silent.
    pub(super) fn record(&mut self, now: Micros, server: u64, silent: bool) {
        self.results.push_back(SendResult { at: now, server, silent });
        let is_old = |result: &SendResult| result.at + KEPT_FOR < now;
        while self.results.len() > MOST_KEPT || self.results.front().is_some_and(is_old) {
            self.results.pop_front();
        }
    }

    /// Whether the results tell of servers and not of the own link: no more than half of the servers are silent.
    pub(super) fn link_works(&self) -> bool {
        let mut last: BTreeMap<u64, bool> = BTreeMap::new();
        last.extend(self.results.iter().map(|result| (result.server, result.silent)));
        let silent = last.values().filter(|silent| **silent).count();
        2 * silent <= last.len()
    }

    /// Whether a server has answered here a moment ago.
    pub(super) fn has_just_answered(&self, server: u64, now: Micros) -> bool {
        self.results
            .iter()
            .any(|result| !result.silent && result.server == server && now < result.at + ANSWERED)
    }
}
