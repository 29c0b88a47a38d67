//! Which requests are open, and which of them waits for which timer.
//!
//! A request is taken out of the table to decide on it, and put back if it stays open.

use rustc_hash::FxHashMap;

use super::open_request::OpenRequest;
use crate::request::RequestId;
use crate::time::Micros;

/// All requests without a final answer.
#[derive(Debug)]
pub(super) struct RequestTable {
    requests: FxHashMap<RequestId, OpenRequest>,
    /// The requests that wait for a timer, by its token.
    parked: FxHashMap<u64, RequestId>,
    /// Token of the next timer; each is used once.
    next_token: u64,
}

impl RequestTable {
    /// An empty table, whose timers are numbered from this token on.
    pub(super) fn new(first_token: u64) -> RequestTable {
        RequestTable { requests: FxHashMap::default(), parked: FxHashMap::default(), next_token: first_token }
    }

    /// Puts a request in that waits for a result of an attempt.
    pub(super) fn insert(&mut self, open: OpenRequest) {
        self.requests.insert(open.request.id, open);
    }

    /// Puts a request in that waits for a timer as well; returns the timer's time and token. It comes after
    /// `wait`, at the latest at the request's deadline, and always later than now.
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

    /// Takes a request out; its timer is forgotten.
    pub(super) fn take(&mut self, id: &RequestId) -> Option<OpenRequest> {
        let open = self.requests.remove(id)?;
        self.parked.remove(&open.timer_token);
        Some(open)
    }

    /// Takes the request out whose timer is due.
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
