//! When servers started, on this process's own clock.
//!
//! Discovery reports a start by the wall clock, which may be an hour off here: ahead, a server that has just started would count
//! as warm; behind, as in slow start for an hour. What this process has seen itself bounds the error: a start that is new lies
//! between the last moment at which the list was known to lack it and now, both by the monotonic clock. What the first list of a
//! process names is known by the wall clock alone, but never lies ahead.

use juniperladder::{Micros, ServerId};
use rustc_hash::FxHashMap;

use crate::values::ListedServer;

/// How long after its start a server is listed, as discovery has to find it first.
const DISCOVERY_DELAY: Micros = Micros(2_500_000);
/// Starts that are remembered at most, twice what may be listed: beyond it those that are not listed are forgotten.
const MAX_REMEMBERED_STARTS: usize = 8_192;

/// One start.
#[derive(Clone, Copy, Debug)]
struct Start {
    /// As discovery reports it, by the wall clock.
    reported: Micros,
    /// On the own clock.
    own: Micros,
}

/// The starts of the servers that have been listed.
#[derive(Debug, Default)]
pub struct StartTimes {
    known: FxHashMap<ServerId, Start>,
    /// When the list in use was last known to be what discovery has; none before its first answer.
    last_confirmed: Option<Micros>,
    is_wall_clock_trusted: bool,
}

impl StartTimes {
    /// From now on the wall clock is trusted: balancers that share limits name a server's process by its reported start.
    pub fn trust_wall_clock(&mut self) {
        self.is_wall_clock_trusted = true;
    }

    /// Discovery has said now that the list in use is what it has.
    pub fn on_list_confirmed(&mut self, now: Micros) {
        self.last_confirmed = Some(now);
    }

    /// When the list in use was last confirmed.
    pub fn last_confirmed(&self) -> Option<Micros> {
        self.last_confirmed
    }

    /// Sets the starts of these entries, which have just come, to the own clock.
    pub fn set_to_own_clock(&mut self, servers: &mut [ListedServer], now: Micros) {
        for server in servers {
            let endpoint = &mut server.endpoint;
            // A start of zero is long ago, whatever the clock says.
            if endpoint.started.0 > 0 {
                endpoint.started = self.own_start(endpoint.server, endpoint.started, now);
            }
        }
    }

    /// The start of a server on the own clock, remembered for the next time that discovery reports it.
    fn own_start(&mut self, server: ServerId, reported: Micros, now: Micros) -> Micros {
        let earliest = self.last_confirmed.map_or(Micros(0), |at| at.saturating_sub(DISCOVERY_DELAY));
        let if_new = reported.max(earliest).min(now);
        let own = match self.known.get(&server) {
            _ if self.is_wall_clock_trusted => reported,
            Some(known) if known.reported == reported => known.own,
            // A later start is another process, and has to be later here, too.
            Some(known) if known.reported < reported => if_new.max(known.own.saturating_add(Micros(1))),
            _ => if_new,
        };
        self.known.insert(server, Start { reported, own });
        own
    }

    /// Keeps the memory bounded; `is_listed` says which servers are listed.
    pub fn forget_unlisted(&mut self, is_listed: impl Fn(&ServerId) -> bool) {
        if self.known.len() > MAX_REMEMBERED_STARTS {
            self.known.retain(|server, _| is_listed(server));
        }
    }
}

#[cfg(test)]
mod tests;
