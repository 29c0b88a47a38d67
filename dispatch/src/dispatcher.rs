//! Where the client side and the server side meet. The dispatcher owns the decisions, the open requests, the
//! attempts and the timers; it knows no protocol, and neither side knows the other.

#[cfg(test)]
mod tests;

mod attempts;
mod endpoints;
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

use crate::bans::Bans;
pub use crate::carrier::{Carrier, End, Upload};
use crate::clock::{to_ms, Clock};
use crate::counters::{increment, Counters};
use crate::log_throttle::LogThrottle;
use crate::long::{long, Feed};
pub use crate::numbers::AttemptId;
use crate::request::{ticket, Over, Ticket};
pub use crate::request::{Attempt, ClientRequest, ClientRequestId};
use crate::start_times::StartTimes;
use crate::tally::{Ended, Tally};
pub use crate::values::{Answer, ListedServer, Reply};
use state::{Due, Inner, Open, NEVER};

/// How long before its client gives up a request is over here: the way of the answer back, and of the
/// request here, which nothing tells.
const MARGIN: Micros = Micros(10_000);

/// The object through which all parts meet.
pub struct Dispatcher {
    pub(crate) inner: RefCell<Inner>,
    pub(crate) origin: Option<u32>,
    clock: Clock,
    longest: Vec<Micros>,
    /// For how long repeats are dropped, for each class whose repeats are.
    windows: Vec<Option<Micros>>,
    counters: Rc<Counters>,
    pub(crate) tally: Rc<Tally>,
    timer_set: Notify,
    watch: Notify,
    idle: Notify,
    next_timer: Cell<Micros>,
    /// When the last request has to be answered.
    last: Cell<Micros>,
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
        let longest = settings.classes.iter().map(|class| class.deadline).collect();
        let keyed = |class: &Class| {
            (class.idempotency == Idempotency::WithIdempotencyKey).then_some(class.deduplication_window)
        };
        let windows = settings.classes.iter().map(keyed).collect();
        let origin = settings.mode.origin();
        let tally = Tally::new(settings.classes.len());
        let inner = Inner {
            balancer: Balancer::new(settings, seed),
            carrier,
            requests: FxHashMap::default(),
            ids: HashSet::new(),
            attempts: FxHashMap::default(),
            late: FxHashMap::default(),
            timers: BinaryHeap::new(),
            actions: Vec::new(),
            last: 0,
            serving: FxHashMap::default(),
            bans: Bans::default(),
            start_times: StartTimes::default(),
        };
        Rc::new(Dispatcher {
            inner: RefCell::new(inner),
            origin,
            clock,
            longest,
            windows,
            counters,
            tally,
            timer_set: Notify::new(),
            watch: Notify::new(),
            idle: Notify::new(),
            next_timer: Cell::new(NEVER),
            last: Cell::new(NEVER),
            log_throttle: LogThrottle::default(),
            log,
        })
    }

    /// From now on this balancer keeps to the limits that it shares with others, and hears what they tell.
    pub fn join(&self, fleet: Box<dyn Coordination>) {
        let mut inner = self.inner.borrow_mut();
        inner.start_times.trust_clock();
        inner.balancer.join(fleet);
    }

    /// The program's counters.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Requests taken and not yet answered in full.
    pub fn in_progress(&self) -> usize {
        self.inner.borrow().requests.len() + self.tally.passing()
    }

    /// The program's clock.
    pub fn clock(&self) -> &Clock {
        &self.clock
    }

    /// Takes a request; its one answer comes on the receiver. None if a request with its id is open: servers
    /// could not tell the two apart, and one would be answered for the other.
    pub fn take(&self, request: ClientRequest) -> Option<(ClientRequestId, oneshot::Receiver<Answer>)> {
        self.take_after(request, Micros(0))
    }

    /// Takes a request that may have waited for so long, at most, before it could be read. That comes off its time, by half of
    /// it where the wait may have been longer: it is a bound and may be far over the truth.
    pub fn take_after(
        &self,
        request: ClientRequest,
        waited: Micros,
    ) -> Option<(ClientRequestId, oneshot::Receiver<Answer>)> {
        if !self.inner.borrow_mut().ids.insert(request.id.clone()) {
            return None;
        }
        increment(&self.counters.requests);
        let now = self.clock.now();
        let (answer, receiver) = oneshot::channel();
        let mut inner = self.inner.borrow_mut();
        inner.last += 1;
        let id = ClientRequestId(inner.last);
        // A client that names no wait, or one longer than its class allows, waits as the class has it.
        let most = self.longest.get(request.class as usize).or(self.longest.last());
        let most = most.copied().unwrap_or(Micros(1_000_000));
        let wait = request.wait.map_or(most, |wait| wait.min(most));
        let left = wait.saturating_sub(waited.min(wait.mul_f64(0.5)));
        let deadline = now.saturating_add(left.saturating_sub(MARGIN)).min(self.last.get());
        let event = Event::Request(Request {
            id: id.to_request_id(),
            deadline,
            expected_work: None,
            key: Some(crate::numbers::key(&request.key)),
            is_write: request.value.is_some(),
            class: request.class,
            tenant: request.tenant,
            is_client_retry: request.retry,
        });
        debug!(self.log, "request taken"; "request" => id.0, "id" => %ClientText(&request.id),
            "class" => request.class, "left-ms" => to_ms(deadline.saturating_sub(now)));
        let (request, over) = (Rc::new(request), Over::default());
        inner.requests.insert(
            id,
            Open { request, answer, deadline, attempts: 0, out: 0, left: false, by: NEVER, over },
        );
        inner.timers.push(Reverse((deadline, Due::Request(id))));
        self.handle(&mut inner, now, event);
        Some((id, receiver))
    }

    /// From now on every request is answered by this time, those that are open already too: this process has no more.
    pub fn end_by(&self, last: Micros) {
        self.last.set(last);
        let mut inner = self.inner.borrow_mut();
        let open = inner.requests.iter().filter(|(_, open)| open.deadline > last);
        let ends: Vec<_> = open.map(|(id, _)| Reverse((last, Due::Request(*id)))).collect();
        inner.timers.extend(ends);
        self.timer_set.notify_one();
    }

    /// Whether a client may write long values: they go to the origin while they come.
    pub fn takes_long(&self) -> bool {
        self.origin.is_some()
    }

    /// Begins to send a long value that this request writes, though the request is not whole and not taken yet: a
    /// server begins a request with its last byte. None where there is nowhere to send it now.
    pub fn upload(&self, request: &ClientRequest, length: usize) -> Option<(Ticket, Feed)> {
        let inner = self.inner.borrow();
        let server = inner.balancer.origin()?;
        let (value, feed) = long(length);
        let (ticket, going) = ticket(server);
        increment(&self.counters.uploads);
        inner.carrier.upload(Upload { request: Rc::new(request.clone()), server, value, going });
        Some((ticket, feed))
    }

    /// The client is gone: nothing is owed any more.
    pub fn gone(&self, id: ClientRequestId) {
        let mut inner = self.inner.borrow_mut();
        if let Some(open) = inner.close(id) {
            increment(&self.counters.requests_abandoned);
            debug!(self.log, "request abandoned: the client is gone"; "request" => id.0,
                "id" => %ClientText(&open.request.id));
            if !open.left {
                self.handle(&mut inner, self.clock.now(), Event::ClientDisconnected(id.to_request_id()));
            }
        }
        self.check_idle(&inner);
    }

    /// The client sends no more. It may be gone or wait for its answer, which cannot be told apart: no
    /// new attempt begins for it, and what is out already may still answer it.
    pub fn left(&self, id: ClientRequestId) {
        let mut inner = self.inner.borrow_mut();
        let Some(open) = inner.requests.get_mut(&id) else { return };
        if open.left {
            return;
        }
        open.left = true;
        debug!(self.log, "request half-closed: the client sends no more"; "request" => id.0,
            "id" => %ClientText(&open.request.id));
        // What no byte has gone out of does not begin any more.
        open.over.set(true);
        let out = open.out;
        self.handle(&mut inner, self.clock.now(), Event::ClientDisconnected(id.to_request_id()));
        if out == 0 {
            self.finish(&mut inner, id, Answer::Failed);
        }
    }

    /// Waits until the decisions wants discovery's changes.
    pub async fn watch_wanted(&self) {
        self.watch.notified().await;
    }

    /// Waits until no request is open.
    pub async fn idle(&self) {
        while !self.inner.borrow().requests.is_empty() {
            self.idle.notified().await;
        }
    }

    /// Gives a request its final answer.
    pub(super) fn finish(&self, inner: &mut Inner, id: ClientRequestId, answer: Answer) {
        if let Some(open) = inner.close(id) {
            let class = open.request.class;
            debug!(self.log, "request answered"; "request" => id.0, "id" => %ClientText(&open.request.id),
                "answer" => answer.label(), "attempts" => open.attempts, "out" => open.out);
            let (counter, how) = match answer {
                Answer::Value(_) | Answer::Receipt(_) => (&self.counters.served, Some(Ended::Passed)),
                // It has passed, or failed, once its client has it or it broke off.
                Answer::Long(_) => (&self.counters.served, None),
                Answer::Rejected(_) => (&self.counters.rejected, Some(Ended::Dropped)),
                Answer::Failed => (&self.counters.failed, Some(Ended::Failed)),
            };
            increment(counter);
            how.into_iter().for_each(|how| self.tally.count(class, how));
            let answer = match answer {
                Answer::Long(long) => Answer::Long(long.counted(&self.tally, class)),
                other => other,
            };
            // The connection may have ended in this very moment; then nobody waits for it.
            let _ = open.answer.send(answer);
        }
        self.check_idle(inner);
    }

    fn check_idle(&self, inner: &Inner) {
        if inner.requests.is_empty() {
            self.idle.notify_waiters();
        }
    }

    /// Tells the decisions an event and does what it says.
    pub(super) fn handle(&self, inner: &mut Inner, now: Micros, event: Event) {
        let mut actions = std::mem::take(&mut inner.actions);
        inner.balancer.handle(now, event, &mut actions);
        for action in actions.drain(..) {
            self.act(inner, now, action);
        }
        inner.actions = actions;
        if let Some(Reverse((at, _))) = inner.timers.peek() {
            if *at < self.next_timer.get() {
                self.timer_set.notify_one();
            }
        }
    }
}

/// A client's text as the log shows it, looked at only where a line is written.
struct ClientText<'a>(&'a [u8]);

impl fmt::Display for ClientText<'_> {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str(&String::from_utf8_lossy(self.0))
    }
}
