//! Tracks requests that wait for a response: each response counts once, and none that comes late or from somebody else counts.

#[cfg(test)]
mod tests;

use std::collections::VecDeque;
use std::net::SocketAddr;

use juniperladder::Micros;

/// The most requests that are open at once; beyond it the oldest are forgotten.
const MOST_OPEN: usize = 64;

/// The open requests of one state machine, oldest first.
#[derive(Debug)]
pub(crate) struct OpenRequests {
    timeout: Micros,
    last_sent: Micros,
    open: VecDeque<(Micros, SocketAddr)>,
}

impl OpenRequests {
    /// None are open; each waits for its response for this long at most.
    pub(crate) fn new(timeout: Micros) -> OpenRequests {
        OpenRequests { timeout, last_sent: Micros::ZERO, open: VecDeque::new() }
    }

    /// Opens a request to a peer. Its send time names it in the packets, so that no two requests have the same.
    pub(crate) fn open(&mut self, now: Micros, to: SocketAddr) -> Micros {
        let sent = now.max(self.last_sent + Micros(1));
        self.last_sent = sent;
        self.open.push_back((sent, to));
        sent
    }

    /// Closes the request that a response of this peer names; false where there is none, or it has timed out.
    pub(crate) fn close(&mut self, now: Micros, from: SocketAddr, sent: Micros) -> bool {
        let place = self.open.iter().position(|request| *request == (sent, from));
        let Some(place) = place.filter(|_| now < sent + self.timeout) else { return false };
        self.open.remove(place);
        true
    }

    /// Forgets the requests that have timed out.
    pub(crate) fn expire(&mut self, now: Micros) {
        let timed_out = |(sent, _): &(Micros, SocketAddr)| now >= *sent + self.timeout;
        while self.open.front().is_some_and(timed_out) || self.open.len() > MOST_OPEN {
            self.open.pop_front();
        }
    }
}
