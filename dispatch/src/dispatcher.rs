//! Where the client side and the server side meet. The dispatcher owns the decisions, the open requests, the
//! attempts and the timers; it knows no protocol, and neither side knows the other.
//!
//! Guarantee: each request that was taken gets exactly one answer, before its deadline, unless its client is gone.
//! No method may be called from a [`Carrier`], which is called while the state is borrowed.

mod attempts;
mod endpoints;
mod metrics;
mod overrides;
mod state;
mod timers;

use std::cell::{Cell, RefCell};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashSet};
use std::fmt;
use std::rc::Rc;

use juniperladder::{Balancer, Class, Coordination, Event, Idempotency, Micros, Request, Settings};
use rustc_hash::FxHashMap;
use slog::{debug, Logger};
use tokio::sync::{oneshot, Notify};
use tokio::time::sleep_until;

pub use crate::carrier::{AttemptEnd, Carrier, Upload};
use crate::clock::{to_ms, Clock};
use crate::counters::{increment, Counters};
pub use crate::identifiers::AttemptId;
use crate::log_throttle::LogThrottle;
use crate::overrides::OperatorOverrides;
use crate::request::{upload_handle, ClosedFlag, UploadHandle};
pub use crate::request::{Attempt, ClientRequest, ClientRequestId};
use crate::request_metrics::{RequestMetrics, RequestOutcome};
use crate::stall_tracker::StallTracker;
use crate::start_times::StartTimes;
use crate::streamed_value::{streamed_value, ChunkSender};
pub use crate::values::{Answer, ListedServer, Reply};
use state::{DispatcherState, OpenRequest, Timer, NO_DEADLINE};

/// How long before its client gives up a request is over here: the way of the answer back, and of the
/// request here, neither of which is known.
const DEADLINE_MARGIN: Micros = Micros(10_000);
/// The deadline of a request where the settings have no class at all.
const DEFAULT_DEADLINE: Micros = Micros(1_000_000);
/// The share of a request's time that a wait before it was read may take at most.
const MAX_WAIT_SHARE: f64 = 0.5;

/// Turns client requests into attempts and their results into answers, as the decisions say.
pub struct Dispatcher {
    pub(crate) state: RefCell<DispatcherState>,
    /// The kind of the origin.
    pub(crate) origin_kind: Option<u32>,
    clock: Clock,
    /// The longest time of a request, for each class.
    class_deadlines: Vec<Micros>,
    /// For how long servers drop repeats of a request, for each class whose repeats they drop.
    deduplication_windows: Vec<Option<Micros>>,
    counters: Rc<Counters>,
    pub(crate) request_metrics: Rc<RequestMetrics>,
    timer_set: Notify,
    watch_requested: Notify,
    last_request_closed: Notify,
    /// When the timers fire next.
    next_timer: Cell<Micros>,
    /// When the last request has to be answered.
    final_deadline: Cell<Micros>,
    stalls: StallTracker,
    log_throttle: LogThrottle,
    log: Logger,
}

impl Dispatcher {
    /// A dispatcher that sends attempts by this carrier.
    pub fn new(
        settings: Settings,
        seed: u64,
        carrier: Rc<dyn Carrier>,
        clock: Clock,
        counters: Rc<Counters>,
        log: Logger,
    ) -> Rc<Dispatcher> {
        let class_deadlines = settings.classes.iter().map(|class| class.deadline).collect();
        let deduplication_windows = settings.classes.iter().map(deduplication_window).collect();
        let origin_kind = settings.mode.origin_kind();
        let request_metrics = RequestMetrics::new(settings.classes.len());
        let state = DispatcherState {
            balancer: Balancer::new(settings, seed),
            carrier,
            requests: FxHashMap::default(),
            client_ids: HashSet::new(),
            attempts: FxHashMap::default(),
            timed_out: FxHashMap::default(),
            timers: BinaryHeap::new(),
            actions: Vec::new(),
            last_id: 0,
            servers: FxHashMap::default(),
            overrides: OperatorOverrides::default(),
            start_times: StartTimes::default(),
        };
        Rc::new(Dispatcher {
            state: RefCell::new(state),
            origin_kind,
            clock,
            class_deadlines,
            deduplication_windows,
            counters,
            request_metrics,
            timer_set: Notify::new(),
            watch_requested: Notify::new(),
            last_request_closed: Notify::new(),
            next_timer: Cell::new(NO_DEADLINE),
            final_deadline: Cell::new(NO_DEADLINE),
            stalls: StallTracker::new(clock.now()),
            log_throttle: LogThrottle::default(),
            log,
        })
    }

    /// From now on this balancer obeys the limits that it shares with others, and uses what they report.
    pub fn join(&self, coordination: Box<dyn Coordination>) {
        let mut state = self.state.borrow_mut();
        state.start_times.trust_wall_clock();
        state.balancer.join(coordination);
    }

    /// The process's counters.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// How many requests were taken and are not yet answered in full.
    pub fn requests_in_progress(&self) -> usize {
        self.state.borrow().requests.len() + self.request_metrics.downloads_in_progress()
    }

    /// The process's clock.
    pub fn clock(&self) -> &Clock {
        &self.clock
    }

    /// Takes a request; its one answer comes on the receiver. None if a request with its id is open: servers
    /// could not distinguish the two, and one would be answered for the other.
    pub fn take(&self, request: ClientRequest) -> Option<(ClientRequestId, oneshot::Receiver<Answer>)> {
        self.take_after_wait(request, Micros(0))
    }

    /// Takes a request that may have waited for so long, at most, before it could be read. The wait is subtracted from the
    /// request's time, but at most `MAX_WAIT_SHARE` of it: it is an upper bound and may be far too large.
    pub fn take_after_wait(
        &self,
        request: ClientRequest,
        longest_wait: Micros,
    ) -> Option<(ClientRequestId, oneshot::Receiver<Answer>)> {
        let mut state = self.state.borrow_mut();
        if !state.client_ids.insert(request.id.clone()) {
            return None;
        }
        increment(&self.counters.requests);
        let now = self.clock.now();
        let id = ClientRequestId(state.next_id());
        let deadline = self.deadline_of(&request, now, longest_wait);
        debug!(self.log, "request taken"; "request" => id.0, "client_id" => %ClientText(&request.id),
            "class" => request.class, "time_left_ms" => to_ms(deadline.saturating_sub(now)));
        let event = Event::Request(Request {
            id: id.to_request_id(),
            deadline,
            expected_work: None,
            key: Some(crate::identifiers::key(&request.key)),
            is_write: request.value.is_some(),
            class: request.class,
            tenant: request.tenant,
            is_client_retry: request.is_client_retry,
        });
        let (answer, receiver) = oneshot::channel();
        let open = OpenRequest {
            request: Rc::new(request),
            answer,
            deadline,
            attempts: 0,
            attempts_in_flight: 0,
            is_half_closed: false,
            retry_write_deadline: NO_DEADLINE,
            closed: ClosedFlag::default(),
        };
        state.requests.insert(id, open);
        state.add_timer(deadline, Timer::Request(id));
        self.handle(&mut state, now, event);
        Some((id, receiver))
    }

    /// Until when a request has to be answered. A client that names no time-out, or one longer than its class allows, waits
    /// as the class has it.
    fn deadline_of(&self, request: &ClientRequest, now: Micros, longest_wait: Micros) -> Micros {
        let class_deadline = self.class_deadlines.get(request.class as usize);
        let class_deadline = class_deadline.or(self.class_deadlines.last()).copied();
        let longest = class_deadline.unwrap_or(DEFAULT_DEADLINE);
        let timeout = request.timeout.map_or(longest, |timeout| timeout.min(longest));
        let time_left = timeout.saturating_sub(longest_wait.min(timeout.mul_f64(MAX_WAIT_SHARE)));
        let deadline = now.saturating_add(time_left.saturating_sub(DEADLINE_MARGIN));
        deadline.min(self.final_deadline.get())
    }

    /// From now on every request is answered by this time, those that are open already too: the process ends then.
    pub fn set_final_deadline(&self, deadline: Micros) {
        self.final_deadline.set(deadline);
        let mut state = self.state.borrow_mut();
        let longer = state.requests.iter().filter(|(_, open)| open.deadline > deadline);
        let longer: Vec<ClientRequestId> = longer.map(|(id, _)| *id).collect();
        for id in longer {
            state.add_timer(deadline, Timer::Request(id));
        }
        self.timer_set.notify_one();
    }

    /// Whether a client may write streamed values: they go to the origin while they come.
    pub fn can_upload(&self) -> bool {
        self.origin_kind.is_some()
    }

    /// Begins to send a streamed value that this request writes, though the request is not complete and not taken yet: a
    /// server begins a request with its last byte. None where there is nowhere to send it now.
    pub fn begin_upload(
        &self,
        request: &ClientRequest,
        length: usize,
    ) -> Option<(UploadHandle, ChunkSender)> {
        let state = self.state.borrow();
        let server = state.balancer.origin_server()?;
        let (sender, value) = streamed_value(length);
        let (handle, last_byte) = upload_handle(server);
        increment(&self.counters.uploads);
        let request = Rc::new(request.clone());
        state.carrier.begin_upload(Upload { request, server, value, last_byte });
        Some((handle, sender))
    }

    /// The client is gone: nothing is owed any more.
    pub fn on_client_gone(&self, id: ClientRequestId) {
        let mut state = self.state.borrow_mut();
        if let Some(open) = state.remove_request(id) {
            increment(&self.counters.requests_abandoned);
            debug!(self.log, "request abandoned: the client is gone"; "request" => id.0,
                "client_id" => %ClientText(&open.request.id));
            if !open.is_half_closed {
                let event = Event::RequestAbandoned(id.to_request_id());
                self.handle(&mut state, self.clock.now(), event);
            }
        }
        self.notify_if_idle(&state);
    }

    /// The client sends no more. It may be gone or wait for its answer, which cannot be distinguished: no
    /// new attempt begins for it, and what is in flight already may still answer it.
    pub fn on_client_half_closed(&self, id: ClientRequestId) {
        let mut state = self.state.borrow_mut();
        let Some(open) = state.requests.get_mut(&id).filter(|open| !open.is_half_closed) else { return };
        open.is_half_closed = true;
        debug!(self.log, "request half-closed: the client sends no more"; "request" => id.0,
            "client_id" => %ClientText(&open.request.id));
        // What no byte was written of does not begin any more.
        open.closed.set(true);
        let attempts_in_flight = open.attempts_in_flight;
        self.handle(&mut state, self.clock.now(), Event::RequestAbandoned(id.to_request_id()));
        if attempts_in_flight == 0 {
            self.answer(&mut state, id, Answer::Failed);
        }
    }

    /// Waits until the decisions want the changes of the endpoint list.
    pub async fn wait_for_watch_request(&self) {
        self.watch_requested.notified().await;
    }

    /// Waits until no request is open.
    pub async fn wait_until_idle(&self) {
        while !self.state.borrow().requests.is_empty() {
            self.last_request_closed.notified().await;
        }
    }

    /// Gives a request its final answer, and removes it.
    fn answer(&self, state: &mut DispatcherState, id: ClientRequestId, answer: Answer) {
        if let Some(open) = state.remove_request(id) {
            debug!(self.log, "request answered"; "request" => id.0,
                "client_id" => %ClientText(&open.request.id), "answer" => answer.label(),
                "attempts" => open.attempts, "attempts_in_flight" => open.attempts_in_flight);
            let answer = self.count_answer(open.request.class, answer);
            // The connection may have ended in this very moment; then nobody waits for it.
            let _ = open.answer.send(answer);
        }
        self.notify_if_idle(state);
    }

    /// Counts an answer. A streamed value is counted once its client has it or it broke off, and so goes on with a
    /// counter of its own.
    fn count_answer(&self, class: u32, answer: Answer) -> Answer {
        let (counter, outcome) = match answer {
            Answer::Streamed(value) => {
                increment(&self.counters.served);
                return Answer::Streamed(value.count_in(&self.request_metrics, class));
            }
            Answer::Value(_) | Answer::Receipt(_) => (&self.counters.served, RequestOutcome::Served),
            Answer::Rejected(_) => (&self.counters.rejected, RequestOutcome::Rejected),
            Answer::Failed => (&self.counters.failed, RequestOutcome::Failed),
        };
        increment(counter);
        self.request_metrics.record(class, outcome);
        answer
    }

    fn notify_if_idle(&self, state: &DispatcherState) {
        if state.requests.is_empty() {
            self.last_request_closed.notify_waiters();
        }
    }

    /// Notes when this process stands still, for as long as it is polled.
    pub async fn watch_stalls(&self) {
        loop {
            let next = self.stalls.on_tick(self.clock.now());
            sleep_until(self.clock.instant(next)).await;
        }
    }

    /// How long ago something may have happened that is noticed now: this process may have stood still since.
    pub fn longest_unnoticed(&self) -> Micros {
        let now = self.clock.now();
        now.saturating_sub(self.stalls.earliest_time(now))
    }

    /// Passes an event to the decisions and carries their actions out.
    fn handle(&self, state: &mut DispatcherState, now: Micros, event: Event) {
        self.stalls.on_event(now);
        let mut actions = std::mem::take(&mut state.actions);
        state.balancer.handle(now, event, &mut actions);
        for action in actions.drain(..) {
            self.execute(state, now, action);
        }
        state.actions = actions;
        if let Some(Reverse((at, _))) = state.timers.peek() {
            if *at < self.next_timer.get() {
                self.timer_set.notify_one();
            }
        }
    }
}

/// For how long servers drop repeats of this class's requests; `None` where they do not.
fn deduplication_window(class: &Class) -> Option<Micros> {
    (class.idempotency == Idempotency::WithIdempotencyKey).then_some(class.deduplication_window)
}

/// A client's text as the log shows it, formatted only where a line is written.
struct ClientText<'a>(&'a [u8]);

impl fmt::Display for ClientText<'_> {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str(&String::from_utf8_lossy(self.0))
    }
}

#[cfg(test)]
mod tests;
