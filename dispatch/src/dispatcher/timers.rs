//! The dispatcher's timers: those of the decision core, the deadline of each attempt and, as a backstop, the deadline of
//! each request.
//!
//! Guarantee: a timer fires only after a full turn of the event loop that began when the timer was already due. Replies
//! that arrived in time are read in that turn, so that event loop delay does not turn them into time-outs.

use std::cmp::Reverse;

use juniperladder::{Event, Micros};
use tokio::task::yield_now;
use tokio::time::sleep_until;

use super::state::{DispatcherState, Timer, NO_DEADLINE};
use super::Dispatcher;
use crate::counters::increment;
use crate::identifiers::AttemptId;
use crate::request::ClientRequestId;
use crate::values::Answer;

/// Longest sleep of the timer loop: the runtime's clock cannot represent [`NO_DEADLINE`].
const MAX_SLEEP: Micros = Micros(3_600_000_000);

impl Dispatcher {
    /// Fires the timers, for as long as the future is polled.
    pub async fn run_timers(&self) {
        loop {
            let now = self.clock.now();
            let next = self.next_due();
            self.next_timer.set(next);
            if next <= now {
                yield_now().await;
                self.fire_timers_due_by(now);
                continue;
            }
            let wake_at = next.min(now.saturating_add(MAX_SLEEP));
            tokio::select! {
                () = sleep_until(self.clock.instant(wake_at)) => {}
                () = self.timer_set.notified() => {}
            }
        }
    }

    /// When the next timer is due; `NO_DEADLINE` if there is none.
    fn next_due(&self) -> Micros {
        let state = self.state.borrow();
        state.timers.peek().map_or(NO_DEADLINE, |Reverse((at, _))| *at)
    }

    /// Fires all timers that are due by this time.
    fn fire_timers_due_by(&self, due_by: Micros) {
        loop {
            let mut state = self.state.borrow_mut();
            match state.timers.peek() {
                Some(Reverse((at, _))) if *at <= due_by => {}
                _ => return,
            }
            let Some(Reverse((_, timer))) = state.timers.pop() else { return };
            let now = self.clock.now();
            match timer {
                Timer::DecisionCore(token) => self.handle(&mut state, now, Event::Timer(token)),
                Timer::Attempt(id) => self.on_attempt_timeout(&mut state, id),
                Timer::Request(id) => self.on_request_deadline(&mut state, now, id),
            }
        }
    }

    /// Handles the deadline of a request. Most requests are closed by then. The attempts in flight of an open request
    /// time out first; if the decision core does not close the request even then, it is answered as failed.
    fn on_request_deadline(&self, state: &mut DispatcherState, now: Micros, id: ClientRequestId) {
        if !state.requests.contains_key(&id) {
            return;
        }
        let attempts = state.attempts.iter().filter(|(_, attempt)| attempt.request == id);
        let attempts: Vec<AttemptId> = attempts.map(|(id, _)| *id).collect();
        for attempt in attempts {
            self.on_attempt_timeout(state, attempt);
        }
        if let Some(open) = state.requests.get(&id) {
            if !open.is_resumption() {
                increment(&self.counters.overdue);
            }
            self.answer(state, id, Answer::Failed);
            self.handle(state, now, Event::RequestAbandoned(id.to_request_id()));
        }
    }
}
