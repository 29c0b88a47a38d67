//! When servers started, on this process's own clock.
//!
//! Discovery tells a start by the wall clock, which may be an hour off here: ahead, a server that has just started would count as
//! warm; behind, as cold for an hour. What this process has seen itself bounds the error: a start that is news lies between
//! the last moment at which the list was known to lack it and now, both by the monotonic clock. What the first list of a
//! process names is known by the wall clock alone, but never lies ahead.

use juniperladder::{Micros, ServerId};
use rustc_hash::FxHashMap;

use crate::values::ListedServer;

/// How long after its start a server is listed, as discovery has to find it first.
const LISTED_AFTER: Micros = Micros(2_500_000);

/// Starts that are remembered at most, twice what may be listed: beyond it those that are not listed are forgotten.
const MOST: usize = 8_192;

/// One start.
#[derive(Clone, Copy, Debug)]
struct Start {
    /// As discovery tells it.
    told: Micros,
    /// On the own clock.
    own: Micros,
}

/// The starts of the servers that have been listed.
#[derive(Debug, Default)]
pub struct StartTimes {
    known: FxHashMap<ServerId, Start>,
    /// When the list in hand was last known to be what discovery has; none before its first word.
    confirmed: Option<Micros>,
    trusted: bool,
}

impl StartTimes {
    /// From now on the wall clock is trusted: balancers that share limits name a server's process by its start as told.
    pub fn trust_clock(&mut self) {
        self.trusted = true;
    }

    /// Discovery has said now that the list in hand is what it has.
    pub fn confirm(&mut self, now: Micros) {
        self.confirmed = Some(now);
    }

    /// When the list in hand was last confirmed.
    pub fn confirmed(&self) -> Option<Micros> {
        self.confirmed
    }

    /// Sets the starts of these entries, which have just come, to the own clock.
    pub fn translate(&mut self, servers: &mut [ListedServer], now: Micros) {
        let earliest = self.confirmed.map_or(Micros(0), |confirmed| confirmed.saturating_sub(LISTED_AFTER));
        for listed_server in servers.iter_mut() {
            let told = listed_server.endpoint.started;
            // Long ago, whatever the clock says.
            if told.0 == 0 {
                continue;
            }
            let news = told.max(earliest).min(now);
            let own = match self.known.get(&listed_server.endpoint.server) {
                _ if self.trusted => told,
                Some(known) if known.told == told => known.own,
                // A later start is another process, and has to be later here, too.
                Some(known) if known.told < told => news.max(known.own.saturating_add(Micros(1))),
                _ => news,
            };
            self.known.insert(listed_server.endpoint.server, Start { told, own });
            listed_server.endpoint.started = own;
        }
    }

    /// Keeps the memory bounded; `listed` tells which servers are.
    pub fn forget(&mut self, listed: impl Fn(&ServerId) -> bool) {
        if self.known.len() > MOST {
            self.known.retain(|server, _| listed(server));
        }
    }
}

#[cfg(test)]
mod tests;
