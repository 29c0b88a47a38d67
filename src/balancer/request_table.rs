//! Table of the open requests and of the timers that they wait for.
//!
//! A request is removed from the table for a decision, and inserted again if it stays open.

use rustc_hash::FxHashMap;

use super::open_request::OpenRequest;
use crate::request::RequestId;
use crate::time::Micros;

/// All requests without a final answer.
#[derive(Debug)]
pub(super) struct RequestTable {
    requests: FxHashMap<RequestId, OpenRequest>,
    /// Requests that wait for a timer, by the timer's token.
    parked: FxHashMap<u64, RequestId>,
    /// Token of the next timer; each token is used once.
    next_token: u64,
}

impl RequestTable {
    /// Creates an empty table, whose timers are numbered from this token on.
    pub(super) fn new(first_token: u64) -> RequestTable {
        RequestTable { requests: FxHashMap::default(), parked: FxHashMap::default(), next_token: first_token }
    }

    /// Inserts a request that waits for the result of an attempt.
    pub(super) fn insert(&mut self, open: OpenRequest) {
        self.requests.insert(open.request.id, open);
    }

    /// Inserts a request that waits for a timer, and for the result of its attempt in flight, if it has one;
    /// returns the timer's time and token. The timer is due after `wait` or at the request's deadline,
    /// whichever is earlier, and always later than now.
    pub(super) fn park(&mut self, now: Micros, wait: Micros, mut open: OpenRequest) -> (Micros, u64) {
        let at = (now + wait).min(open.request.deadline).max(now + Micros(1));
        let token = self.next_token;
        self.next_token += 1;
        open.timer_token = token;
        self.parked.insert(token, open.request.id);
        self.insert(open);
        (at, token)
    }

    /// The open request with this id.
    pub(super) fn get_mut(&mut self, id: &RequestId) -> Option<&mut OpenRequest> {
        self.requests.get_mut(id)
    }

    /// Removes a request and the token of its timer, so that the timer has no effect.
    pub(super) fn take(&mut self, id: &RequestId) -> Option<OpenRequest> {
        let open = self.requests.remove(id)?;
        self.parked.remove(&open.timer_token);
        Some(open)
    }

    /// Removes the request whose timer is due.
    pub(super) fn take_due(&mut self, token: u64) -> Option<OpenRequest> {
        let id = self.parked.remove(&token)?;
        self.requests.remove(&id)
    }

    /// The number of open requests.
    #[cfg(test)]
    pub(super) fn len(&self) -> usize {
        self.requests.len()
    }

    /// Whether no request is open.
    #[cfg(test)]
    pub(super) fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// The number of requests that wait for a timer.
    #[cfg(test)]
    pub(super) fn parked_len(&self) -> usize {
        self.parked.len()
    }
}
