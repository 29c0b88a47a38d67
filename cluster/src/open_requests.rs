//! Tracks requests that wait for a response: each response counts once, and none that comes late or from somebody else counts.

#[cfg(test)]
mod tests;

use std::collections::VecDeque;
use std::net::SocketAddr;

use crate::Us;

/// The most requests that are open at once; beyond it the oldest are forgotten.
const MOST_OPEN: usize = 64;

/// The open requests of one state machine, oldest first.
#[derive(Debug)]
pub(crate) struct OpenRequests {
    timeout: Us,
    last_sent: Us,
    open: VecDeque<(Us, SocketAddr)>,
}

impl OpenRequests {
    /// None are open; each waits for its response for this long at most.
    pub(crate) fn new(timeout: Us) -> OpenRequests {
        OpenRequests { timeout, last_sent: 0, open: VecDeque::new() }
    }

    /// Opens a request to a peer. Its send time names it in the packets, so that no two requests have the same.
    pub(crate) fn open(&mut self, now: Us, to: SocketAddr) -> Us {
        let sent = now.max(self.last_sent + 1);
        self.last_sent = sent;
        self.open.push_back((sent, to));
        sent
    }

    /// Closes the request that a response of this peer names; false where there is none, or it has timed out.
    pub(crate) fn close(&mut self, now: Us, from: SocketAddr, sent: Us) -> bool {
        let place = self.open.iter().position(|request| *request == (sent, from));
        let Some(place) = place.filter(|_| now < sent + self.timeout) else { return false };
        self.open.remove(place);
        true
    }

    /// Forgets the requests that have timed out.
    pub(crate) fn expire(&mut self, now: Us) {
        let timed_out = |(sent, _): &(Us, SocketAddr)| now >= sent + self.timeout;
        while self.open.front().is_some_and(timed_out) || self.open.len() > MOST_OPEN {
            self.open.pop_front();
        }
    }
}
