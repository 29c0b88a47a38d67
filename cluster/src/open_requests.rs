//! Tracks requests that await a response. A response is accepted once; responses that are late or from another peer are
//! rejected.

#[cfg(test)]
mod tests;

use std::collections::VecDeque;
use std::net::SocketAddr;

use juniperladder::Micros;

/// The maximum number of open requests; beyond it the oldest are removed.
const MAX_OPEN_REQUESTS: usize = 64;

/// A request that awaits its response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct OpenRequest {
    sent: Micros,
    to: SocketAddr,
}

/// The open requests of one state machine.
#[derive(Debug)]
pub(crate) struct OpenRequests {
    timeout: Micros,
    /// The send time of the last request; each request has a different one.
    last_sent: Micros,
    /// The open requests, oldest first.
    open: VecDeque<OpenRequest>,
}

impl OpenRequests {
    /// Creates an empty table, whose requests time out after `timeout`.
    pub(crate) fn new(timeout: Micros) -> OpenRequests {
        OpenRequests { timeout, last_sent: Micros::ZERO, open: VecDeque::new() }
    }

    /// Opens a request to a peer and returns its send time, which is unique and identifies the request in packets.
    pub(crate) fn open(&mut self, now: Micros, to: SocketAddr) -> Micros {
        let sent = now.max(self.last_sent + Micros(1));
        self.last_sent = sent;
        self.open.push_back(OpenRequest { sent, to });
        sent
    }

    /// Closes the request that a response of this peer names; false if there is no such request or it has timed out.
    pub(crate) fn close(&mut self, now: Micros, from: SocketAddr, sent: Micros) -> bool {
        let request = OpenRequest { sent, to: from };
        let Some(index) = self.open.iter().position(|open| *open == request) else { return false };
        if self.has_timed_out(&request, now) {
            return false;
        }
        self.open.remove(index);
        true
    }

    /// Removes the requests that have timed out, and the oldest ones beyond [`MAX_OPEN_REQUESTS`].
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
