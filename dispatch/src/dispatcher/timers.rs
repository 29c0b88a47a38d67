//! The dispatcher's timers: the decisions' own, the end of each attempt's time, and each request's deadline behind them.

use std::cmp::Reverse;

use juniperladder::{Event, Micros};
use tokio::time::sleep_until;

use super::state::{Due, NEVER};
use super::Dispatcher;
use crate::counters::increment;
use crate::values::Answer;

impl Dispatcher {
    /// Fires the timers, for as long as it is polled.
    pub async fn run(&self) {
        loop {
            let next = self.fire();
            self.next_timer.set(next);
            tokio::select! {
                () = sleep_until(self.clock.instant(next.min(self.clock.now().saturating_add(Micros(3_600_000_000))))) => {}
                () = self.timer_set.notified() => {}
            }
        }
    }

    /// Fires what is due and tells when the next timer is.
    fn fire(&self) -> Micros {
        loop {
            let mut inner = self.inner.borrow_mut();
            let now = self.clock.now();
            match inner.timers.peek() {
                Some(Reverse((at, _))) if *at <= now => {}
                Some(Reverse((at, _))) => return *at,
                None => return NEVER,
            }
            let Some(Reverse((_, due))) = inner.timers.pop() else { continue };
            match due {
                Due::Module(token) => self.handle(&mut inner, now, Event::Timer(token)),
                Due::Attempt(id) => self.expire(&mut inner, id),
                // Most are over by now.
                Due::Request(id) if !inner.requests.contains_key(&id) => {}
                Due::Request(id) => {
                    // The attempts' time-outs come first and let the decisions end it; this guards against
                    // a request that it has forgotten.
                    let out: Vec<_> =
                        inner.attempts.iter().filter(|(_, r)| r.request == id).map(|(id, _)| *id).collect();
                    out.into_iter().for_each(|id| self.expire(&mut inner, id));
                    if inner.requests.contains_key(&id) {
                        increment(&self.counters.overdue);
                        self.finish(&mut inner, id, Answer::Failed);
                        self.handle(&mut inner, now, Event::ClientDisconnected(id.to_request_id()));
                    }
                }
            }
        }
    }
}
