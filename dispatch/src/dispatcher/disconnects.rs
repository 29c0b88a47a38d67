//! Clients that leave before their answer, and requests that come again after that.

use juniperladder::Event;
use slog::debug;

use super::state::{DispatcherState, OpenRequest};
use super::{ClientText, Dispatcher};
use crate::counters::increment;
use crate::request::ClientRequestId;
use crate::values::Answer;

impl Dispatcher {
    /// Closes a request whose client has disconnected, without an answer.
    pub fn on_client_gone(&self, id: ClientRequestId) {
        let mut state = self.state.borrow_mut();
        if let Some(open) = state.remove_request(id) {
            increment(&self.counters.requests_abandoned);
            debug!(self.log, "request abandoned: client disconnected"; "request" => id.0,
                "client_id" => %ClientText(&open.request.id));
            self.keep_executed_id(&mut state, &open);
            if !open.is_half_closed {
                let event = Event::RequestAbandoned(id.to_request_id());
                self.handle(&mut state, self.clock.now(), event);
            }
        }
        self.notify_if_idle(&state);
    }

    /// Handles a client that has closed its sending side. Whether it is gone or waits for its answer cannot be
    /// distinguished, so no new attempt begins, and attempts in flight may still answer the request.
    pub fn on_client_half_closed(&self, id: ClientRequestId) {
        let mut state = self.state.borrow_mut();
        let Some(open) = state.requests.get_mut(&id).filter(|open| !open.is_half_closed) else { return };
        open.is_half_closed = true;
        debug!(self.log, "request half-closed: client closed its sending side"; "request" => id.0,
            "client_id" => %ClientText(&open.request.id));
        // Attempts that are not fully written are cancelled.
        open.attempts_cancelled.set(true);
        let attempts_in_flight = open.attempts_in_flight;
        self.handle(&mut state, self.clock.now(), Event::RequestAbandoned(id.to_request_id()));
        if attempts_in_flight == 0 {
            self.answer(&mut state, id, Answer::Failed);
        }
    }

    /// Whether requests of this class must not be executed more than once. A class that is not in the settings counts as the
    /// last class everywhere.
    pub(super) fn must_run_once(&self, class: u32) -> bool {
        let is_idempotent = self.is_idempotent.get(class as usize).or(self.is_idempotent.last());
        is_idempotent != Some(&true)
    }

    /// Keeps the id of a closed request that may have been executed and must not be executed again.
    pub(super) fn keep_executed_id(&self, state: &mut DispatcherState, open: &OpenRequest) {
        if open.attempts > 0 && self.must_run_once(open.request.class) {
            state.executed_ids.insert(self.clock.now(), &open.request.id);
        }
    }
}
