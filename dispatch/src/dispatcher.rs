//! Connects the client side to the server side. The dispatcher owns the decision core ([`juniperladder::Balancer`]),
//! the open requests, the attempts and the timers. It is independent of protocols, and neither side depends on the
//! other.
//!
//! Guarantee: each accepted request gets exactly one answer, before its deadline, unless its client disconnects.
//! No method may be called from an [`AttemptTransport`], which is called while the state is borrowed.

mod attempts;
mod disconnects;
mod endpoints;
mod metrics;
mod overrides;
mod resumption;
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

pub use crate::attempt_transport::{AttemptEnd, AttemptTransport, Upload};
use crate::clock::{to_ms, Clock};
use crate::counters::{increment, Counters};
use crate::executed_ids::ExecutedIds;
pub use crate::identifiers::AttemptId;
use crate::log_throttle::LogThrottle;
use crate::overrides::OperatorOverrides;
use crate::request::{upload_handle, CancellationFlag, UploadHandle};
pub use crate::request::{Attempt, ClientRequest, ClientRequestId, UnreadWait};
use crate::request_metrics::{RequestMetrics, RequestOutcome};
use crate::stall_tracker::StallTracker;
use crate::start_times::StartTimes;
use crate::streamed_value::{streamed_value, ChunkSender};
pub use crate::values::{Answer, ListedServer, Reply};
pub(crate) use state::KnownServer;
use state::{DispatcherState, OpenRequest, Timer, NO_DEADLINE};

/// How long before the client's time-out a request has to be answered: allows for the network latency of the request
/// and of the answer, neither of which is known.
const DEADLINE_MARGIN: Micros = Micros(10_000);
/// Time-out of a request if the settings have no classes.
const DEFAULT_TIMEOUT: Micros = Micros(1_000_000);
/// The largest share of a request's time-out that is subtracted for a wait that is only possible.
const MAX_WAIT_SHARE: f64 = 0.5;

/// Turns client requests into attempts and attempt results into answers, as the decision core directs.
pub struct Dispatcher {
    pub(crate) state: RefCell<DispatcherState>,
    /// The server kind of the origin; none unless the balancer fetches from the origin itself.
    pub(crate) origin_kind: Option<u32>,
    clock: Clock,
    /// The longest time-out of a request, by class.
    class_timeouts: Vec<Micros>,
    /// The maximum number of attempts for a request.
    max_attempts: u32,
    /// Whether requests may be executed more than once, by class.
    is_idempotent: Vec<bool>,
    /// How long servers drop duplicates of a request, by class; none for a class whose duplicates they do not drop.
    deduplication_windows: Vec<Option<Micros>>,
    counters: Rc<Counters>,
    pub(crate) request_metrics: Rc<RequestMetrics>,
    /// Wakes up the timer loop for a timer that is earlier than `next_timer`, or for a new final deadline.
    timer_set: Notify,
    watch_requested: Notify,
    last_request_closed: Notify,
    /// When the timer loop wakes up next.
    next_timer: Cell<Micros>,
    /// When the last request has to be answered at shutdown.
    final_deadline: Cell<Micros>,
    stalls: StallTracker,
    log_throttle: LogThrottle,
    log: Logger,
}

impl Dispatcher {
    /// Creates a dispatcher that sends attempts through this transport.
    pub fn new(
        settings: Settings,
        seed: u64,
        transport: Rc<dyn AttemptTransport>,
        clock: Clock,
        counters: Rc<Counters>,
        log: Logger,
    ) -> Rc<Dispatcher> {
        let class_timeouts = settings.classes.iter().map(|class| class.deadline).collect();
        let max_attempts = settings.limits.max_attempts;
        let is_idempotent = |class: &Class| class.idempotency == Idempotency::Idempotent;
        let is_idempotent = settings.classes.iter().map(is_idempotent).collect();
        let deduplication_windows = settings.classes.iter().map(deduplication_window).collect();
        let origin_kind = settings.mode.origin_kind();
        let request_metrics = RequestMetrics::new(settings.classes.len());
        let state = DispatcherState {
            balancer: Balancer::new(settings, seed),
            transport,
            requests: FxHashMap::default(),
            client_ids: HashSet::new(),
            executed_ids: ExecutedIds::default(),
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
            class_timeouts,
            max_attempts,
            is_idempotent,
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

    /// Makes this balancer obey the limits that it shares with other balancers and use the others' reports.
    pub fn set_coordination(&self, coordination: Box<dyn Coordination>) {
        let mut state = self.state.borrow_mut();
        state.start_times.trust_wall_clock();
        state.balancer.set_coordination(coordination);
    }

    /// The process's counters.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// The number of requests that were accepted and are not yet answered in full.
    pub fn requests_in_progress(&self) -> usize {
        self.state.borrow().requests.len() + self.request_metrics.downloads_in_progress()
    }

    /// The process's clock.
    pub fn clock(&self) -> &Clock {
        &self.clock
    }

    /// Accepts a request; the receiver gets its answer. Returns none if another request with the same id is open:
    /// servers could not distinguish the two, and one might get the other's answer. The same holds for a while after a
    /// request that may have been executed and must not be executed again.
    pub fn accept(&self, request: ClientRequest) -> Option<(ClientRequestId, oneshot::Receiver<Answer>)> {
        self.accept_delayed(request, UnreadWait::default())
    }

    /// Accepts a request that may have waited before it was read. The wait is subtracted from the request's time-out.
    pub fn accept_delayed(
        &self,
        request: ClientRequest,
        wait: UnreadWait,
    ) -> Option<(ClientRequestId, oneshot::Receiver<Answer>)> {
        let now = self.clock.now();
        let deadline = self.deadline_of(&request, now, wait);
        let accepted = self.open_request(Rc::new(request), now, deadline, None);
        if accepted.is_some() {
            increment(&self.counters.requests);
        }
        accepted
    }

    /// Opens a request and reports it to the decision core. Returns none if another request with the same id is open, or was
    /// executed and must not be executed again.
    fn open_request(
        &self,
        request: Rc<ClientRequest>,
        now: Micros,
        deadline: Micros,
        earlier_attempts: Option<u32>,
    ) -> Option<(ClientRequestId, oneshot::Receiver<Answer>)> {
        let mut state = self.state.borrow_mut();
        if self.must_run_once(request.class) && state.executed_ids.contains(now, &request.id) {
            return None;
        }
        if !state.client_ids.insert(request.id.clone()) {
            return None;
        }
        let id = ClientRequestId(state.next_id());
        debug!(self.log, "request taken"; "request" => id.0, "client_id" => %ClientText(&request.id),
            "class" => request.class, "time_left_ms" => to_ms(deadline.saturating_sub(now)),
            "earlier_attempts" => earlier_attempts);
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
            request,
            answer,
            deadline,
            attempts: 0,
            earlier_attempts,
            attempts_in_flight: 0,
            is_half_closed: false,
            retry_write_deadline: NO_DEADLINE,
            attempts_cancelled: CancellationFlag::default(),
        };
        state.requests.insert(id, open);
        state.add_timer(deadline, Timer::Request(id));
        self.handle(&mut state, now, event);
        Some((id, receiver))
    }

    /// When a request has to be answered: after its time-out, less the wait before it was read and [`DEADLINE_MARGIN`],
    /// and by the final deadline.
    fn deadline_of(&self, request: &ClientRequest, now: Micros, wait: UnreadWait) -> Micros {
        let timeout = self.time_limit(request.class, request.timeout);
        let possible_wait = wait.at_most.min(timeout.mul_f64(MAX_WAIT_SHARE));
        let time_left = timeout.saturating_sub(wait.at_least.max(possible_wait));
        let deadline = now.saturating_add(time_left.saturating_sub(DEADLINE_MARGIN));
        deadline.min(self.final_deadline.get())
    }

    /// The time-out of a request of this class: at most its class's, which also applies if the request states none.
    pub fn time_limit(&self, class: u32, timeout: Option<Micros>) -> Micros {
        let class_timeout = self.class_timeouts.get(class as usize);
        let class_timeout = class_timeout.or(self.class_timeouts.last()).copied();
        let max_timeout = class_timeout.unwrap_or(DEFAULT_TIMEOUT);
        timeout.map_or(max_timeout, |timeout| timeout.min(max_timeout))
    }

    /// Limits the deadline of all requests, including open ones, to the time at which the process ends.
    pub fn set_final_deadline(&self, deadline: Micros) {
        self.final_deadline.set(deadline);
        let mut state = self.state.borrow_mut();
        let affected = state.requests.iter().filter(|(_, open)| open.deadline > deadline);
        let affected: Vec<ClientRequestId> = affected.map(|(id, _)| *id).collect();
        for id in affected {
            state.add_timer(deadline, Timer::Request(id));
        }
        self.timer_set.notify_one();
    }

    /// Whether clients may write streamed values, which requires an origin to forward them to.
    pub fn can_upload(&self) -> bool {
        self.origin_kind.is_some()
    }

    /// Begins to send a streamed value that this request writes, before the request is complete and accepted: the
    /// server executes the request only when it has received the last byte. None if no origin server is available.
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
        state.transport.begin_upload(Upload { request, server, value, last_byte });
        Some((handle, sender))
    }

    /// Waits until the decision core requests a watch of the endpoint list.
    pub async fn wait_for_watch_request(&self) {
        self.watch_requested.notified().await;
    }

    /// Waits until no request is open.
    pub async fn wait_until_idle(&self) {
        while !self.state.borrow().requests.is_empty() {
            self.last_request_closed.notified().await;
        }
    }

    /// Sends a request's final answer and removes the request.
    fn answer(&self, state: &mut DispatcherState, id: ClientRequestId, answer: Answer) {
        if let Some(open) = state.remove_request(id) {
            debug!(self.log, "request answered"; "request" => id.0,
                "client_id" => %ClientText(&open.request.id), "answer" => answer.label(),
                "attempts" => open.attempts, "attempts_in_flight" => open.attempts_in_flight);
            if !matches!(answer, Answer::Rejected(_)) {
                self.keep_executed_id(state, &open);
            }
            let answer = match answer {
                Answer::Streamed(value) => Answer::Streamed(value.for_read(open.streamed_read())),
                answer => answer,
            };
            let answer =
                if open.is_resumption() { answer } else { self.count_answer(open.request.class, answer) };
            // Fails if the client's connection has just ended; the answer is then discarded.
            let _ = open.answer.send(answer);
        }
        self.notify_if_idle(state);
    }

    /// Counts an answer. A streamed value counts as served at once in the counters, but in the request metrics only when
    /// its client has received it or it broke off; the returned answer then counts it.
    fn count_answer(&self, class: u32, answer: Answer) -> Answer {
        let (counter, outcome) = match answer {
            Answer::Streamed(value) => {
                increment(&self.counters.served);
                return Answer::Streamed(value.track_download(&self.request_metrics, class));
            }
            Answer::Value(_) | Answer::Receipt(_) => (&self.counters.served, RequestOutcome::Served),
            Answer::Rejected(_) => (&self.counters.rejected, RequestOutcome::Rejected),
            Answer::Failed => (&self.counters.failed, RequestOutcome::Failed),
        };
        increment(counter);
        self.request_metrics.record(class, outcome);
        answer
    }

    /// Counts a request of this class that its connection rejected before it could be read whole.
    pub fn count_unread_rejection(&self, class: u32) {
        increment(&self.counters.requests);
        increment(&self.counters.rejected);
        increment(&self.counters.rejected_unread);
        self.request_metrics.record(class, RequestOutcome::Rejected);
    }

    fn notify_if_idle(&self, state: &DispatcherState) {
        if state.requests.is_empty() {
            self.last_request_closed.notify_waiters();
        }
    }

    /// Detects stalls of this process, for as long as the future is polled.
    pub async fn watch_stalls(&self) {
        loop {
            let next = self.stalls.on_tick(self.clock.now());
            sleep_until(self.clock.instant(next)).await;
        }
    }

    /// How long ago at most an event that is noticed now may have happened, due to a stall of this process.
    pub fn max_notice_delay(&self) -> Micros {
        let now = self.clock.now();
        now.saturating_sub(self.stalls.earliest_event_time(now))
    }

    /// Passes an event to the decision core and executes the resulting actions.
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

/// How long servers drop duplicates of this class's requests; `None` if they do not.
fn deduplication_window(class: &Class) -> Option<Micros> {
    (class.idempotency == Idempotency::WithIdempotencyKey).then_some(class.deduplication_window)
}

/// Text from a client as shown in the log; formatted only if the line is written.
struct ClientText<'a>(&'a [u8]);

impl fmt::Display for ClientText<'_> {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str(&String::from_utf8_lossy(self.0))
    }
}

#[cfg(test)]
mod tests;
