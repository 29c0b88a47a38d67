//! The dispatcher and its attempts: what the decisions says begins, and how each attempt ends.

use std::cmp::Reverse;
use std::rc::Rc;

use juniperladder::{Action, AttemptResult, CompletedAttempt, Event, Micros};
use slog::{debug, info};

use super::state::{Due, Inner, Running, NEVER};
use super::Dispatcher;
use crate::carrier::End;
use crate::clock::to_ms;
use crate::counters::increment;
use crate::numbers::{AttemptId, ServerLabel};
use crate::request::{Attempt, ClientRequestId};
use crate::values::{Answer, Reply};

impl Dispatcher {
    /// An attempt has ended.
    pub fn ended(&self, id: AttemptId, end: End) {
        let mut inner = self.inner.borrow_mut();
        let Some(running) = inner.attempts.remove(&id) else { return self.ended_late(&mut inner, id, end) };
        let fetch_in_progress = matches!(end, End::Reply(Reply::Miss { fetch_in_progress: true }));
        let (result, answer) = match end {
            End::Reply(Reply::Served(answer)) => (AttemptResult::Served, Some(answer)),
            End::Reply(Reply::Miss { .. }) => (AttemptResult::Miss, None),
            // The server is at work, so that its connections and its load are not in question.
            End::Reply(Reply::Error) | End::Spoilt => (AttemptResult::Error, None),
            End::Reply(Reply::Full) => (AttemptResult::Rejected, None),
            End::NotSent => (AttemptResult::ConnectFailed, None),
            End::Broken => (AttemptResult::Reset, None),
            End::CalledOff => (AttemptResult::NotSent, None),
        };
        self.conclude(&mut inner, running, result, fetch_in_progress, answer);
    }

    /// An attempt has ended that had timed out before. Its answer was made for the request all the same:
    /// where that is open, while it is tried elsewhere, a client that waits is better served than not.
    fn ended_late(&self, inner: &mut Inner, id: AttemptId, end: End) {
        let Some(request) = inner.late.remove(&id) else { return };
        let End::Reply(Reply::Served(answer)) = end else { return };
        increment(&self.counters.late_responses);
        let Some(open) = inner.requests.get(&request) else { return };
        let left = open.left;
        increment(&self.counters.served_late);
        self.finish(inner, request, answer);
        if !left {
            self.handle(inner, self.clock.now(), Event::ClientDisconnected(request.to_request_id()));
        }
    }

    /// The time of an attempt has run out.
    pub(super) fn expire(&self, inner: &mut Inner, id: AttemptId) {
        let Some(running) = inner.attempts.remove(&id) else { return };
        // What was never written whole cannot have run.
        let written = inner.carrier.abandon(id, running.server);
        let result = if written { AttemptResult::Timeout } else { AttemptResult::ConnectFailed };
        if written {
            inner.late.insert(id, running.request);
        }
        self.conclude(inner, running, result, false, None);
    }

    /// Counts how an attempt ended, answers its request where that is over, and tells the decisions.
    fn conclude(
        &self,
        inner: &mut Inner,
        running: Running,
        result: AttemptResult,
        fetch_in_progress: bool,
        answer: Option<Answer>,
    ) {
        increment(match result {
            AttemptResult::Served => &self.counters.attempts_served,
            AttemptResult::Miss => &self.counters.misses,
            AttemptResult::Rejected => &self.counters.attempts_rejected,
            AttemptResult::Timeout => &self.counters.timeouts,
            AttemptResult::ConnectFailed => &self.counters.connect_failed,
            AttemptResult::Reset => &self.counters.resets,
            AttemptResult::NotSent | AttemptResult::Cancelled => &self.counters.attempts_not_sent,
            AttemptResult::Error => &self.counters.errors,
        });
        let now = self.clock.now();
        debug!(self.log, "attempt ended"; "request" => running.request.0, "attempt" => running.attempt,
            "server" => %ServerLabel(running.server), "result" => ?result,
            "after-ms" => to_ms(now.saturating_sub(running.sent)));
        let mut request_closed = true;
        if let Some(open) = inner.requests.get_mut(&running.request) {
            open.out -= 1;
            request_closed = open.left;
            let last = open.left && open.out == 0;
            if let Some(answer) = answer {
                request_closed = true;
                self.finish(inner, running.request, answer);
            } else if last {
                self.finish(inner, running.request, Answer::Failed);
            }
        }
        let outcome = CompletedAttempt {
            id: running.request.to_request_id(),
            server: running.server,
            attempt: running.attempt,
            latency: now.saturating_sub(running.sent),
            result,
            request_closed,
            fetch_in_progress,
        };
        self.handle(inner, now, Event::AttemptCompleted(outcome));
    }

    /// Does what the decisions says.
    pub(super) fn act(&self, inner: &mut Inner, now: Micros, action: Action) {
        match action {
            Action::Send { id, server, timeout } => {
                let request_id = ClientRequestId::from_request_id(&id);
                let Some(open) = inner.requests.get_mut(&request_id) else { return };
                let until = if timeout.0 == 0 {
                    open.deadline
                } else {
                    now.saturating_add(timeout).min(open.deadline)
                };
                let running = Running { request: request_id, server, attempt: open.attempts, sent: now };
                let by = open.by;
                if open.attempts == 0 {
                    let window = self.windows.get(open.request.class as usize).copied().flatten();
                    open.by = window.map_or(NEVER, |window| now.saturating_add(window));
                }
                open.attempts += 1;
                open.out += 1;
                let (request, over) = (Rc::clone(&open.request), Rc::clone(&open.over));
                inner.last += 1;
                let id = AttemptId(inner.last);
                increment(&self.counters.attempts);
                let state = inner.serving.get(&server).map(|(state, _)| *state);
                debug!(self.log, "attempt begins"; "request" => request_id.0, "attempt" => running.attempt,
                    "number" => id.0, "server" => %ServerLabel(server), "state" => ?state,
                    "list-age-ms" => inner.start_times.confirmed().map(|at| to_ms(now.saturating_sub(at))),
                    "until-ms" => to_ms(until.saturating_sub(now)));
                inner.attempts.insert(id, running);
                inner.timers.push(Reverse((until, Due::Attempt(id))));
                inner.carrier.begin(Attempt { id, request, server, until, by, over });
            }
            Action::Reject { id, retry_after, reason } => {
                increment(self.counters.rejections(reason));
                debug!(self.log, "request refused"; "request" => ClientRequestId::from_request_id(&id).0, "reason" => ?reason,
                    "retry-after-ms" => to_ms(retry_after));
                self.finish(inner, ClientRequestId::from_request_id(&id), Answer::Rejected(retry_after));
            }
            Action::Fail { id } => self.finish(inner, ClientRequestId::from_request_id(&id), Answer::Failed),
            Action::Timer { at, token } => {
                inner.timers.push(Reverse((at, Due::Module(token))));
            }
            Action::WatchEndpoints => {
                debug!(self.log, "discovery is due");
                self.watch.notify_one();
            }
            Action::Log(line) => info!(self.log, "module"; "line" => line),
        }
    }
}
