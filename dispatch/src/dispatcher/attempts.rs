//! Attempts: begins them as the decision core directs, and reports their results to it.

use std::rc::Rc;

use juniperladder::{Action, AttemptResult, CompletedAttempt, Event, Micros, ServerId};
use slog::{debug, info};

use super::state::{DispatcherState, InFlightAttempt, Timer, NO_DEADLINE};
use super::Dispatcher;
use crate::attempt_transport::AttemptEnd;
use crate::clock::to_ms;
use crate::counters::increment;
use crate::identifiers::{AttemptId, ServerLabel};
use crate::request::{Attempt, ClientRequestId};
use crate::values::{Answer, Reply};

/// The result of an attempt as reported to the decision core, with the answer.
struct Completion {
    result: AttemptResult,
    /// On a miss: whether another fetch of the key is in flight.
    fetch_in_progress: bool,
    /// The answer, if the attempt was served.
    answer: Option<Answer>,
}

impl Completion {
    fn without_answer(result: AttemptResult) -> Completion {
        Completion { result, fetch_in_progress: false, answer: None }
    }

    fn from_end(end: AttemptEnd) -> Completion {
        let result = match end {
            AttemptEnd::Reply(Reply::Served(answer)) => {
                let result = AttemptResult::Served;
                return Completion { result, fetch_in_progress: false, answer: Some(answer) };
            }
            AttemptEnd::Reply(Reply::Miss { fetch_in_progress }) => {
                return Completion { result: AttemptResult::Miss, fetch_in_progress, answer: None };
            }
            // A server that responds is running: an error is no evidence of a connection fault or of overload.
            AttemptEnd::Reply(Reply::Error) | AttemptEnd::Malformed => AttemptResult::Error,
            AttemptEnd::Reply(Reply::Rejected) => AttemptResult::Rejected,
            AttemptEnd::ConnectFailed => AttemptResult::ConnectFailed,
            AttemptEnd::Broken => AttemptResult::Reset,
            AttemptEnd::NotSent => AttemptResult::NotSent,
        };
        Completion::without_answer(result)
    }
}

impl Dispatcher {
    /// Handles the end of an attempt on the network: answers the request if the result is final, and notifies the
    /// decision core.
    pub fn on_attempt_ended(&self, id: AttemptId, end: AttemptEnd) {
        let mut state = self.state.borrow_mut();
        match state.attempts.remove(&id) {
            Some(attempt) => self.complete_attempt(&mut state, attempt, Completion::from_end(end)),
            None => self.on_late_end(&mut state, id, end),
        }
    }

    /// Handles the end of an attempt that had already timed out. If the request is still open, while a retry is in flight,
    /// the late answer is valid and is sent to the client.
    fn on_late_end(&self, state: &mut DispatcherState, id: AttemptId, end: AttemptEnd) {
        let Some(request) = state.timed_out.remove(&id) else { return };
        let AttemptEnd::Reply(Reply::Served(answer)) = end else { return };
        increment(&self.counters.late_responses);
        let Some(open) = state.requests.get(&request) else { return };
        let is_half_closed = open.is_half_closed;
        increment(&self.counters.served_late);
        self.answer(state, request, answer);
        if !is_half_closed {
            self.handle(state, self.clock.now(), Event::RequestAbandoned(request.to_request_id()));
        }
    }

    /// Handles the deadline of an attempt.
    pub(super) fn on_attempt_timeout(&self, state: &mut DispatcherState, id: AttemptId) {
        let Some(attempt) = state.attempts.remove(&id) else { return };
        let is_written = state.transport.abandon(id, attempt.server);
        // An attempt that was not fully written cannot have been executed.
        let result = if is_written { AttemptResult::Timeout } else { AttemptResult::ConnectFailed };
        if is_written {
            state.timed_out.insert(id, attempt.request);
        }
        self.complete_attempt(state, attempt, Completion::without_answer(result));
    }

    /// Counts a completed attempt, answers its request if the result is final, and notifies the decision core.
    fn complete_attempt(
        &self,
        state: &mut DispatcherState,
        attempt: InFlightAttempt,
        completion: Completion,
    ) {
        let Completion { result, fetch_in_progress, answer } = completion;
        self.count_attempt(result);
        let now = self.clock.now();
        let latency = now.saturating_sub(attempt.begun_at);
        debug!(self.log, "attempt completed"; "request" => attempt.request.0, "attempt" => attempt.number,
            "server" => %ServerLabel(attempt.server), "result" => ?result, "latency_ms" => to_ms(latency));
        let is_request_closed = self.answer_if_final(state, attempt.request, answer);
        let completed = CompletedAttempt {
            id: attempt.request.to_request_id(),
            server: attempt.server,
            attempt: attempt.number,
            latency,
            result,
            is_request_closed,
            fetch_in_progress,
        };
        self.handle(state, now, Event::AttemptCompleted(completed));
    }

    fn count_attempt(&self, result: AttemptResult) {
        increment(match result {
            AttemptResult::Served => &self.counters.attempts_served,
            AttemptResult::Miss => &self.counters.attempts_missed,
            AttemptResult::Rejected => &self.counters.attempts_rejected,
            AttemptResult::Timeout => &self.counters.attempts_timed_out,
            AttemptResult::ConnectFailed => &self.counters.attempts_not_connected,
            AttemptResult::Reset => &self.counters.attempts_reset,
            AttemptResult::NotSent | AttemptResult::Cancelled => &self.counters.attempts_not_sent,
            AttemptResult::Error => &self.counters.attempts_failed,
        });
    }

    /// Answers the request of a completed attempt with the attempt's answer, or as failed if the attempt has none, the
    /// client is half-closed and no other attempt is in flight. Returns whether the request is closed for the decision
    /// core.
    fn answer_if_final(
        &self,
        state: &mut DispatcherState,
        request: ClientRequestId,
        answer: Option<Answer>,
    ) -> bool {
        let Some(open) = state.requests.get_mut(&request) else { return true };
        open.attempts_in_flight -= 1;
        let is_half_closed = open.is_half_closed;
        let is_abandoned = is_half_closed && open.attempts_in_flight == 0;
        if let Some(answer) = answer {
            self.answer(state, request, answer);
            return true;
        }
        if is_abandoned {
            self.answer(state, request, Answer::Failed);
        }
        is_half_closed
    }

    /// Executes an action of the decision core.
    pub(super) fn execute(&self, state: &mut DispatcherState, now: Micros, action: Action) {
        match action {
            Action::Send { id, server, timeout } => {
                self.begin_attempt(state, now, ClientRequestId::from_request_id(&id), server, timeout);
            }
            Action::Reject { id, retry_after, reason } => {
                let id = ClientRequestId::from_request_id(&id);
                increment(self.counters.rejections(reason));
                debug!(self.log, "request rejected"; "request" => id.0, "reason" => ?reason,
                    "retry_after_ms" => to_ms(retry_after));
                self.answer(state, id, Answer::Rejected(retry_after));
            }
            Action::Fail { id } => {
                self.answer(state, ClientRequestId::from_request_id(&id), Answer::Failed);
            }
            Action::Timer { at, token } => state.add_timer(at, Timer::DecisionCore(token)),
            Action::WatchEndpoints => {
                debug!(self.log, "endpoint list watch requested");
                self.watch_requested.notify_one();
            }
            Action::Log(line) => info!(self.log, "decision"; "line" => line),
        }
    }

    /// Begins an attempt of an open request. A time-out of zero means the request's deadline.
    fn begin_attempt(
        &self,
        state: &mut DispatcherState,
        now: Micros,
        request_id: ClientRequestId,
        server: ServerId,
        timeout: Micros,
    ) {
        let Some(open) = state.requests.get_mut(&request_id) else { return };
        if open.is_resumption() && open.total_attempts() >= self.max_attempts {
            // The decision core does not count the attempts before the value broke off.
            return state.add_timer(now, Timer::Request(request_id));
        }
        let deadline = match timeout {
            Micros(0) => open.deadline,
            timeout => now.saturating_add(timeout).min(open.deadline),
        };
        let write_deadline = open.retry_write_deadline;
        if open.attempts == 0 {
            let class = open.request.class as usize;
            let windows = &self.deduplication_windows;
            // A class that is not in the settings counts as the last class everywhere.
            let window = windows.get(class).or(windows.last()).copied().flatten();
            open.retry_write_deadline = window.map_or(NO_DEADLINE, |window| now.saturating_add(window));
        }
        let number = open.attempts;
        open.attempts += 1;
        open.attempts_in_flight += 1;
        let (request, cancelled) = (Rc::clone(&open.request), Rc::clone(&open.attempts_cancelled));
        let id = AttemptId(state.next_id());
        increment(&self.counters.attempts);
        let confirmed = state.start_times.last_confirmed();
        debug!(self.log, "attempt begins"; "request" => request_id.0, "attempt" => number,
            "attempt_id" => id.0, "server" => %ServerLabel(server),
            "state" => ?state.servers.get(&server).map(|known| known.state),
            "endpoint_list_age_ms" => confirmed.map(|at| to_ms(now.saturating_sub(at))),
            "timeout_ms" => to_ms(deadline.saturating_sub(now)));
        state.attempts.insert(id, InFlightAttempt { request: request_id, server, number, begun_at: now });
        state.add_timer(deadline, Timer::Attempt(id));
        state.transport.begin_attempt(Attempt { id, request, server, deadline, write_deadline, cancelled });
    }
}
