//! Connection pools to the cache servers and the origin, and the attempts carried on them.
//!
//! Guarantee: each attempt ends once, as the [`AttemptTransport`] trait requires; no byte is sent to a server that is
//! not serving, and none of an attempt that is cancelled. The number of connections to all servers together
//! stays within a limit.

mod connection;
mod download;
mod idle_timeout;
mod pool;
mod read_error;
mod response;
mod reuse;
mod settling;
mod upload;
mod whole_value;

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::Duration;

use juniperladder::{EndpointState, EndpointUpdate, ServerId};
use juniperladder_dispatch::log_throttle::LogThrottle;
use rustc_hash::FxHashMap;
use slog::{warn, Logger};
use tokio::sync::Notify;
use tokio::task::spawn_local;

use crate::buffer_pool::{BufferKind, BufferPool, Reservation};
use crate::clock::{duration, Clock};
use crate::connect::Connector;
use crate::counters::{increment, Counters};
use crate::dispatcher::{Attempt, AttemptEnd, AttemptId, AttemptTransport, Dispatcher, ListedServer, Upload};
use crate::resource_limits::LISTED_SERVER_BYTES;
use connection::{ConnectError, UpstreamConnection};
use idle_timeout::IdleTimeout;
use pool::{CarriedAttempt, IdleId, Pool};
use read_error::MalformedResponse;

/// The fraction of the connection limit above which the connections of timed-out attempts close.
const CROWDED_NUMERATOR: usize = 3;
const CROWDED_DENOMINATOR: usize = 4;
/// The longest that an attempt waits for a connection that settles, and the part of its time (one in this many) that
/// the wait may take. If every connection needs longer, a new one is opened.
const MAX_SETTLE_WAIT: Duration = Duration::from_millis(50);
const SETTLE_WAIT_DIVISOR: u32 = 4;

/// The limits of the connections to servers.
#[derive(Clone, Debug)]
pub struct UpstreamLimits {
    /// The maximum number of connections to all servers together.
    pub max_connections: usize,
    /// How many bytes of a streamed value are read from its server at once when the buffer pool is used up.
    pub chunk_bytes: usize,
    /// The buffers that all connections share.
    pub buffers: BufferPool,
    /// How long establishing a connection may take.
    pub connect_timeout: Duration,
    /// The idle time after which servers close a connection.
    pub server_idle_timeout: Duration,
    /// How long after its timeout an attempt's late answer is still awaited.
    pub late_answer_timeout: Duration,
    /// Whether a request may be attempted elsewhere while an earlier attempt is in flight on an open
    /// connection.
    pub may_duplicate: bool,
    /// The kind of the origin, which speaks HTTP.
    pub origin_kind: Option<u32>,
}

/// The pools of all servers.
pub struct Upstream {
    pools: RefCell<FxHashMap<ServerId, Pool>>,
    connector: Rc<dyn Connector>,
    dispatcher: RefCell<Weak<Dispatcher>>,
    weak_self: Weak<Upstream>,
    limits: UpstreamLimits,
    clock: Clock,
    counters: Rc<Counters>,
    /// The number of connections, including those being established.
    connections: Rc<Cell<usize>>,
    /// The number of connections that carry an upload.
    uploads: Rc<Cell<usize>>,
    /// Pays for the state of the listed servers.
    list_reservation: Cell<Option<Reservation>>,
    idle_timeout: IdleTimeout,
    last_idle_id: Cell<IdleId>,
    log_throttle: LogThrottle,
    log: Logger,
}

/// Increments a counter until dropped.
struct CounterGuard(Rc<Cell<usize>>);

impl CounterGuard {
    fn new(counter: &Rc<Cell<usize>>) -> CounterGuard {
        counter.set(counter.get() + 1);
        CounterGuard(Rc::clone(counter))
    }
}

impl Drop for CounterGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl Upstream {
    /// Creates pools without servers, whose connections are established by this connector.
    pub fn new(
        limits: UpstreamLimits,
        connector: Rc<dyn Connector>,
        clock: Clock,
        counters: Rc<Counters>,
        log: Logger,
    ) -> Rc<Upstream> {
        Rc::new_cyclic(|weak_self| Upstream {
            pools: RefCell::default(),
            connector,
            dispatcher: RefCell::default(),
            weak_self: weak_self.clone(),
            idle_timeout: IdleTimeout::new(limits.server_idle_timeout),
            limits,
            clock,
            counters,
            connections: Rc::default(),
            uploads: Rc::default(),
            list_reservation: Cell::default(),
            last_idle_id: Cell::new(0),
            log_throttle: LogThrottle::default(),
            log,
        })
    }

    /// Sets the dispatcher to which the ends of attempts are reported.
    pub fn attach(&self, dispatcher: &Rc<Dispatcher>) {
        *self.dispatcher.borrow_mut() = Rc::downgrade(dispatcher);
    }

    /// Reserves memory for the state of this many listed servers, at most half of the pool. If there is too little left, the
    /// servers are used all the same, and as much as before stays reserved until the list changes again.
    fn reserve_for_list(&self, servers: usize) {
        let bytes = (servers * LISTED_SERVER_BYTES).min(self.limits.buffers.bytes() / 2);
        let previous = self.list_reservation.take();
        if previous.as_ref().is_some_and(|reservation| reservation.bytes() == bytes) {
            return self.list_reservation.set(previous);
        }
        let reservation = self.limits.buffers.try_reserve(BufferKind::Request, bytes);
        self.list_reservation.set(reservation.or(previous));
    }

    fn report_end(&self, id: AttemptId, end: AttemptEnd) {
        if let Some(dispatcher) = self.dispatcher.borrow().upgrade() {
            dispatcher.on_attempt_ended(id, end);
        }
    }

    /// Reports the end of an attempt from a separate task, as the dispatcher may be the caller.
    fn report_end_later(&self, id: AttemptId, end: AttemptEnd) {
        if let Some(upstream) = self.weak_self.upgrade() {
            spawn_local(async move { upstream.report_end(id, end) });
        }
    }

    /// Runs a connection to its end in a task. It is counted at once, as more may be opened before the task
    /// starts; when it has ended, connections are opened for waiting attempts.
    fn spawn_connection(self: &Rc<Upstream>, connection: impl Future<Output = ()> + 'static) {
        let connection_guard = CounterGuard::new(&self.connections);
        let upstream = Rc::clone(self);
        spawn_local(async move {
            connection.await;
            drop(connection_guard);
            upstream.open_connections();
        });
    }

    /// Opens connections for the attempts that wait for any server, as far as the limit allows.
    fn open_connections(&self) {
        for (server, pool) in self.pools.borrow_mut().iter_mut() {
            self.open_connections_to(*server, pool);
        }
    }

    /// Opens a connection to this server for each attempt that waits for one, as far as the limit allows.
    fn open_connections_to(&self, server: ServerId, pool: &mut Pool) {
        let (Some(upstream), Some(address)) = (self.weak_self.upgrade(), pool.address) else { return };
        if pool.lacks_connections() {
            // Cancelled attempts need no connection. Connections already being opened are kept: their outcome shows whether the
            // server answers.
            self.cancel_waiting(&mut pool.waiting, |attempt| self.is_cancelled(attempt));
        }
        while pool.lacks_connections() && self.connections.get() < self.limits.max_connections {
            pool.connecting += 1;
            let connection = UpstreamConnection { server, is_origin: pool.is_origin, address };
            let owner = Rc::clone(&upstream);
            upstream.spawn_connection(async move { connection.open(&owner).await });
        }
    }

    fn is_cancelled(&self, attempt: &Attempt) -> bool {
        attempt.is_cancelled(self.clock.now())
    }

    /// Ends the waiting attempts for which `is_cancelled` holds as not sent; none of them has begun.
    fn cancel_waiting(&self, waiting: &mut VecDeque<Attempt>, is_cancelled: impl Fn(&Attempt) -> bool) {
        waiting.retain(|attempt| {
            let is_cancelled = is_cancelled(attempt);
            if is_cancelled {
                self.report_end_later(attempt.id, AttemptEnd::NotSent);
            }
            !is_cancelled
        });
    }

    /// Takes the next waiting attempt for a connection that carries none.
    fn next_attempt(&self, connection: &UpstreamConnection) -> Option<Attempt> {
        let mut pools = self.pools.borrow_mut();
        let pool = pools.get_mut(&connection.server)?;
        if pool.address != Some(connection.address) {
            return None;
        }
        self.cancel_waiting(&mut pool.waiting, |attempt| self.is_cancelled(attempt));
        let attempt = pool.waiting.pop_front()?;
        pool.carried.insert(attempt.id, CarriedAttempt::default());
        Some(attempt)
    }

    /// Puts an attempt of which no byte was written back at the head of its queue.
    fn requeue(&self, server: ServerId, attempt: Attempt) {
        let mut pools = self.pools.borrow_mut();
        let Some(pool) = pools.get_mut(&server) else {
            return self.report_end_later(attempt.id, AttemptEnd::NotSent);
        };
        pool.carried.remove(&attempt.id);
        if !pool.accepts_attempts {
            return self.report_end_later(attempt.id, AttemptEnd::NotSent);
        }
        pool.waiting.push_front(attempt);
        self.open_connections_to(server, pool);
    }

    /// Whether the server accepts attempts and this connection leads to its current address.
    fn can_send_on(&self, connection: &UpstreamConnection) -> bool {
        self.pools.borrow().get(&connection.server).is_some_and(|pool| pool.is_reached_by(connection))
    }

    /// Handles a connection that could not be established: one attempt fails if fewer connections are still
    /// being established than attempts wait.
    fn on_connect_failed(&self, server: ServerId, error: ConnectError) {
        let failed = {
            let mut pools = self.pools.borrow_mut();
            let Some(pool) = pools.get_mut(&server) else { return };
            pool.connecting -= 1;
            if pool.lacks_connections() {
                pool.waiting.pop_front()
            } else {
                None
            }
        };
        if let Some(attempt) = failed {
            self.report_end(attempt.id, error.attempt_end());
        }
    }

    fn on_connected(&self, server: ServerId) {
        if let Some(pool) = self.pools.borrow_mut().get_mut(&server) {
            pool.connecting -= 1;
        }
    }

    /// Records that the last byte of an attempt is written. Returns the notification that its connection has
    /// to close.
    fn on_attempt_written(&self, server: ServerId, id: AttemptId) -> Rc<Notify> {
        let mut pools = self.pools.borrow_mut();
        match pools.get_mut(&server).and_then(|pool| pool.carried.get_mut(&id)) {
            Some(carried) => {
                carried.is_written = true;
                Rc::clone(&carried.close_requested)
            }
            None => Rc::default(),
        }
    }

    /// Counts a malformed response, and logs it unless another was logged in this second.
    fn on_malformed_response(&self, server: &SocketAddr, error: &MalformedResponse) {
        let malformed = &self.counters.malformed_responses;
        increment(malformed);
        if self.log_throttle.try_acquire() {
            warn!(self.log, "malformed response"; "server" => server.to_string(),
                "reason" => error.to_string(), "malformed_responses" => malformed.get());
        }
    }

    /// Reports the end of an attempt that a connection carried.
    fn end_attempt(&self, server: ServerId, id: AttemptId, end: AttemptEnd) {
        if let Some(pool) = self.pools.borrow_mut().get_mut(&server) {
            pool.carried.remove(&id);
        }
        self.report_end(id, end);
    }

    /// Sends the last byte of an upload, which is its attempt; all other bytes were sent before. If their connection
    /// has failed, the attempt ends as not sent: the request was not executed, and the value is not kept to be sent
    /// again.
    fn finish_upload(&self, pool: &mut Pool, attempt: Attempt) {
        let id = attempt.id;
        let is_sent =
            attempt.request.upload.as_ref().is_some_and(|handle| handle.send_last_byte(attempt.clone()));
        if is_sent {
            pool.carried.insert(id, CarriedAttempt::default());
        } else {
            self.report_end_later(id, AttemptEnd::NotSent);
        }
    }

    /// Whether the connection of a timed-out attempt has to close. It stays open for the late answer while
    /// connections are plentiful, which saves the server a new one. A connection to the origin closes, since
    /// the close tells the origin to stop working. If [`UpstreamLimits::may_duplicate`] is false, every connection
    /// closes, since only then may the request be attempted elsewhere.
    fn must_close_on_timeout(&self, pool: &Pool) -> bool {
        let is_crowded =
            self.connections.get() * CROWDED_DENOMINATOR > self.limits.max_connections * CROWDED_NUMERATOR;
        is_crowded || pool.is_origin || !self.limits.may_duplicate
    }
}

impl AttemptTransport for Upstream {
    fn on_endpoints_changed(&self, kind: EndpointUpdate, servers: &[ListedServer]) {
        let mut pools = self.pools.borrow_mut();
        if kind.is_complete() {
            for pool in pools.values_mut() {
                pool.accepts_attempts = false;
            }
        }
        for ListedServer { endpoint, address } in servers {
            let pool = pools.entry(endpoint.server).or_default();
            pool.accepts_attempts = endpoint.state == EndpointState::Serving;
            pool.is_origin = self.limits.origin_kind == Some(endpoint.kind);
            if address.is_some() && pool.address != *address {
                pool.address = *address;
                pool.idle.clear();
            }
        }
        for pool in pools.values_mut().filter(|pool| !pool.accepts_attempts) {
            // No attempt may begin at a server that drains or is gone, and an attempt begins with its first
            // byte.
            pool.idle.clear();
            self.cancel_waiting(&mut pool.waiting, |_| true);
        }
        pools.retain(|_, pool| !pool.is_unused());
        self.reserve_for_list(pools.len());
    }

    fn begin_attempt(&self, attempt: Attempt) {
        let mut pools = self.pools.borrow_mut();
        let server = attempt.server;
        let pool = pools.get_mut(&server).filter(|pool| pool.accepts_attempts && pool.address.is_some());
        let Some(pool) = pool else {
            return self.report_end_later(attempt.id, AttemptEnd::NotSent);
        };
        if attempt.request.upload.is_some() {
            return self.finish_upload(pool, attempt);
        }
        let time_left = duration(attempt.deadline.saturating_sub(self.clock.now()));
        let longest_wait = MAX_SETTLE_WAIT.min(time_left / SETTLE_WAIT_DIVISOR);
        let Some(attempt) = pool.assign_to_idle(attempt, longest_wait) else { return };
        pool.waiting.push_back(attempt);
        self.open_connections_to(server, pool);
        if pool.lacks_connections() {
            // The connection limit is reached: an idle connection to another server closes for this one.
            if let Some(other) = pools.values_mut().find(|pool| !pool.idle.is_empty()) {
                other.idle.remove(0);
            }
        }
    }

    fn begin_upload(&self, upload: Upload) {
        self.start_upload(upload);
    }

    fn abandon(&self, id: AttemptId, server: ServerId) -> bool {
        let mut pools = self.pools.borrow_mut();
        let Some(pool) = pools.get_mut(&server) else { return false };
        pool.waiting.retain(|attempt| attempt.id != id);
        let Some(carried) = pool.carried.get(&id) else { return false };
        if self.must_close_on_timeout(pool) {
            carried.close_requested.notify_one();
        }
        carried.is_written
    }
}

#[cfg(test)]
mod tests;
