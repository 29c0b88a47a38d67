//! Converts start times of servers to this process's clock.
//!
//! Discovery reports start times by the wall clock, and this process's wall clock may be wrong by an hour. With a clock
//! that is ahead, a server that has just started would count as warm; with one that is behind, a server would be in slow
//! start for an hour. The process's own observations bound the error: a new start lies between the last time at which
//! the list was known not to contain it and now, both by the monotonic clock. For starts in the first list of a
//! process there is only the wall clock; a start time in the future is replaced by the current time.

use juniperladder::{Micros, ServerId};
use rustc_hash::FxHashMap;

use crate::values::ListedServer;

/// Longest delay between a server's start and its listing, as discovery has to find it first.
const DISCOVERY_DELAY: Micros = Micros(2_500_000);
/// Maximum number of starts to remember, twice the number of servers that may be listed; beyond it starts of unlisted
/// servers are forgotten.
const MAX_REMEMBERED_STARTS: usize = 8_192;

/// One start of a server.
#[derive(Clone, Copy, Debug)]
struct Start {
    /// As reported by discovery, by the wall clock.
    reported: Micros,
    /// Converted to the local clock.
    local: Micros,
}

/// The known starts of listed servers.
#[derive(Debug, Default)]
pub struct StartTimes {
    known: FxHashMap<ServerId, Start>,
    /// When discovery last sent or confirmed the list in use; none before its first answer.
    last_confirmed: Option<Micros>,
    is_wall_clock_trusted: bool,
}

impl StartTimes {
    /// Turns the conversion off: balancers that share limits identify a server's incarnation by its reported start
    /// time.
    pub fn trust_wall_clock(&mut self) {
        self.is_wall_clock_trusted = true;
    }

    /// Handles an answer of discovery that the list in use is current.
    pub fn on_list_confirmed(&mut self, now: Micros) {
        self.last_confirmed = Some(now);
    }

    /// When the list in use was last confirmed.
    pub fn last_confirmed(&self) -> Option<Micros> {
        self.last_confirmed
    }

    /// Converts the start times of these entries, which have just been received, to the local clock.
    pub fn convert_to_local_clock(&mut self, servers: &mut [ListedServer], now: Micros) {
        for server in servers {
            let endpoint = &mut server.endpoint;
            // A start time of zero means long ago, whatever the clock.
            if endpoint.started.0 > 0 {
                endpoint.started = self.local_start(endpoint.server, endpoint.started, now);
            }
        }
    }

    /// A server's start time on the local clock; remembered, so that the same start is always converted alike.
    fn local_start(&mut self, server: ServerId, reported: Micros, now: Micros) -> Micros {
        let earliest = self.last_confirmed.map_or(Micros(0), |at| at.saturating_sub(DISCOVERY_DELAY));
        let if_new = reported.max(earliest).min(now);
        let local = match self.known.get(&server) {
            _ if self.is_wall_clock_trusted => reported,
            Some(known) if known.reported == reported => known.local,
            // A later start is another incarnation, and has to be later on the local clock, too.
            Some(known) if known.reported < reported => if_new.max(known.local.saturating_add(Micros(1))),
            _ => if_new,
        };
        self.known.insert(server, Start { reported, local });
        local
    }

    /// Bounds the memory by forgetting servers for which `is_listed` is false.
    pub fn forget_unlisted(&mut self, is_listed: impl Fn(&ServerId) -> bool) {
        if self.known.len() > MAX_REMEMBERED_STARTS {
            self.known.retain(|server, _| is_listed(server));
        }
    }
}

#[cfg(test)]
mod tests;
