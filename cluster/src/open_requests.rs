//! Tracks requests that wait for a response: each response counts once, and none that comes late or from somebody else counts.

#[cfg(test)]
mod tests;

use std::collections::VecDeque;
use std::net::SocketAddr;

use juniperladder::Micros;

/// The most requests that are open at once; beyond it the oldest are forgotten.
const MAX_OPEN_REQUESTS: usize = 64;

/// A request that waits for its response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct OpenRequest {
    sent: Micros,
    to: SocketAddr,
}

/// The open requests of one state machine.
#[derive(Debug)]
pub(crate) struct OpenRequests {
    timeout: Micros,
    /// The send time of the last request; no two have the same.
    last_sent: Micros,
    /// Oldest first.
    open: VecDeque<OpenRequest>,
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
        self.open.push_back(OpenRequest { sent, to });
        sent
    }

    /// Closes the request that a response of this peer names; false where there is none, or it has timed out.
    pub(crate) fn close(&mut self, now: Micros, from: SocketAddr, sent: Micros) -> bool {
        let request = OpenRequest { sent, to: from };
        let Some(index) = self.open.iter().position(|open| *open == request) else { return false };
        if self.has_timed_out(&request, now) {
            return false;
        }
        self.open.remove(index);
        true
    }

    /// Forgets the requests that have timed out.
    pub(crate) fn expire(&mut self, now: Micros) {
        while self.open.len() > MAX_OPEN_REQUESTS || self.has_oldest_timed_out(now) {
            self.open.pop_front();
        }
    }

    fn has_oldest_timed_out(&self, now: Micros) -> bool {
        self.open.front().is_some_and(|oldest| self.has_timed_out(oldest, now))
    }

    fn has_timed_out(&self, request: &OpenRequest, now: Micros) -> bool {
        now >= request.sent + self.timeout
    }
}
