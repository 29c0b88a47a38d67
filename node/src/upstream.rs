//! The server side: pools of connections to the cache servers and the origin, and the attempts on them.

mod connection;
mod uploads;

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::Duration;

use juniperladder::{EndpointState, EndpointUpdate, ServerId};
use rustc_hash::FxHashMap;
use slog::{warn, Logger};
use tokio::sync::{oneshot, Notify};
use tokio::task::spawn_local;

use crate::clock::Clock;
use crate::connect::Connect;
use crate::counters::{increment, Counters};
use crate::dispatcher::{Attempt, AttemptEnd, AttemptId, Carrier, Dispatcher, ListedServer, Upload};
use connection::{NoConnection, UpstreamConnection};
use juniperladder_dispatch::log_throttle::LogThrottle;

/// The part of the idle time that the settings tell after which a connection is closed here: a write must never
/// cross the server's close, which comes by its clock and after the way there. What lies between is kept open: one
/// of a hundred balancers comes back to a server after seconds.
const IDLE_PART: f64 = 0.95;
/// The same of an idle time that was learnt from a connection that broke.
const LEARNT_PART: f64 = 0.7;
/// What is learnt of shorter idle times than the settings tell: never less than this, and forgotten by so much
/// with each connection that was used again after as long.
const LEAST_IDLE: Duration = Duration::from_millis(25);
const FORGET: f64 = 1.02;
/// What the pools are told at the start.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Connections to all servers together.
    pub connections: usize,
    /// How much of a long value is read from its server at once.
    pub piece: usize,
    /// How long one may take to come up.
    pub connect_timeout: Duration,
    /// How long a server keeps an idle one.
    pub idle: Duration,
    /// How long an answer is awaited whose attempt has timed out.
    pub late: Duration,
    /// Whether an attempt may go on elsewhere while an earlier one is out on an open connection.
    pub may_duplicate: bool,
    /// The kind of the origin, which speaks HTTP.
    pub origin: Option<u32>,
}

/// An idle connection: it is given its next attempt here.
struct Idle {
    id: u64,
    next: oneshot::Sender<Attempt>,
}

/// An attempt that a connection has.
#[derive(Default)]
struct Carried {
    /// Whether its last byte is written.
    written: bool,
    /// Told when the connection is to close rather than to wait for a late answer.
    stop: Rc<Notify>,
}

#[derive(Default)]
struct Pool {
    address: Option<SocketAddr>,
    origin: bool,
    open: bool,
    waiting: VecDeque<Attempt>,
    idle: Vec<Idle>,
    connecting: usize,
    running: FxHashMap<AttemptId, Carried>,
}

impl Pool {
    /// Whether its server may be sent to, and stands where this connection leads.
    fn is_at(&self, connection: &UpstreamConnection) -> bool {
        self.open && self.address == Some(connection.address)
    }
}

/// All pools.
pub struct Upstream {
    pools: RefCell<FxHashMap<ServerId, Pool>>,
    ways: Rc<dyn Connect>,
    dispatcher: RefCell<Weak<Dispatcher>>,
    this: Weak<Upstream>,
    limits: Limits,
    clock: Clock,
    counters: Rc<Counters>,
    connections: Cell<usize>,
    /// How many of them have a long value on its way.
    uploads: Cell<usize>,
    /// How long a connection may now stand idle here.
    keep: Cell<Duration>,
    last: Cell<u64>,
    log_throttle: LogThrottle,
    log: Logger,
}

/// Counts a connection for as long as it lives.
struct Counted(Rc<Upstream>);

impl Counted {
    fn one(upstream: &Rc<Upstream>) -> Counted {
        upstream.connections.set(upstream.connections.get() + 1);
        Counted(Rc::clone(upstream))
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        self.0.connections.set(self.0.connections.get() - 1);
    }
}

impl Upstream {
    /// Pools without any server yet, whose connections come up this way.
    pub fn new(
        limits: Limits,
        ways: Rc<dyn Connect>,
        clock: Clock,
        counters: Rc<Counters>,
        log: Logger,
    ) -> Rc<Upstream> {
        Rc::new_cyclic(|this| Upstream {
            pools: RefCell::default(),
            ways,
            dispatcher: RefCell::default(),
            this: this.clone(),
            keep: Cell::new(limits.idle.mul_f64(IDLE_PART)),
            limits,
            clock,
            counters,
            connections: Cell::new(0),
            uploads: Cell::new(0),
            last: Cell::new(0),
            log_throttle: LogThrottle::default(),
            log,
        })
    }

    /// Tells which dispatcher hears of the attempts' ends.
    pub fn attach(&self, dispatcher: &Rc<Dispatcher>) {
        *self.dispatcher.borrow_mut() = Rc::downgrade(dispatcher);
    }

    fn ended(&self, id: AttemptId, end: AttemptEnd) {
        if let Some(dispatcher) = self.dispatcher.borrow().upgrade() {
            dispatcher.on_attempt_ended(id, end);
        }
    }

    /// Ends an attempt from a task of its own, as the dispatcher may be the caller.
    fn end_later(&self, id: AttemptId, end: AttemptEnd) {
        if let Some(this) = self.this.upgrade() {
            spawn_local(async move { this.ended(id, end) });
        }
    }

    /// Opens connections for the attempts that wait, one for each, as far as there is room.
    fn connect(&self, server: ServerId, pool: &mut Pool) {
        let (Some(this), Some(address)) = (self.this.upgrade(), pool.address) else { return };
        if pool.connecting < pool.waiting.len() {
            // No connection is opened for what nobody waits for. One that is on its way already still tells of its server.
            self.call_off(&mut pool.waiting, |attempt| self.over(attempt));
        }
        while pool.connecting < pool.waiting.len() && self.connections.get() < self.limits.connections {
            pool.connecting += 1;
            let this = Rc::clone(&this);
            let counted = Counted::one(&this);
            let connection = UpstreamConnection { server, origin: pool.origin, address };
            spawn_local(async move {
                connection.open(&counted.0).await;
                drop(counted);
                this.make_use_of_room();
            });
        }
    }

    fn over(&self, attempt: &Attempt) -> bool {
        attempt.is_cancelled(self.clock.now())
    }

    /// Ends those of the attempts that are like this, none of which has begun.
    fn call_off(&self, waiting: &mut VecDeque<Attempt>, like: impl Fn(&Attempt) -> bool) {
        waiting.retain(|attempt| {
            let stays = !like(attempt);
            if !stays {
                self.end_later(attempt.id, AttemptEnd::Cancelled);
            }
            stays
        });
    }

    /// A connection has ended: what waits for room may open one.
    fn make_use_of_room(&self) {
        for (server, pool) in self.pools.borrow_mut().iter_mut() {
            self.connect(*server, pool);
        }
    }

    /// The next attempt for a connection that has nothing to do.
    fn next(&self, connection: &UpstreamConnection) -> Option<Attempt> {
        let mut pools = self.pools.borrow_mut();
        let pool =
            pools.get_mut(&connection.server).filter(|pool| pool.address == Some(connection.address))?;
        self.call_off(&mut pool.waiting, |attempt| self.over(attempt));
        let attempt = pool.waiting.pop_front()?;
        pool.running.insert(attempt.id, Carried::default());
        Some(attempt)
    }

    /// Puts an attempt back of which nothing was written.
    fn put_back(&self, server: ServerId, attempt: Attempt) {
        let mut pools = self.pools.borrow_mut();
        let Some(pool) = pools.get_mut(&server) else {
            return self.end_later(attempt.id, AttemptEnd::Cancelled);
        };
        pool.running.remove(&attempt.id);
        if !pool.open {
            return self.end_later(attempt.id, AttemptEnd::Cancelled);
        }
        pool.waiting.push_front(attempt);
        self.connect(server, pool);
    }

    /// Whether this server may be sent to, and stands where this connection leads.
    fn is_at(&self, connection: &UpstreamConnection) -> bool {
        self.pools.borrow().get(&connection.server).is_some_and(|pool| pool.is_at(connection))
    }

    /// A connection did not come up: one attempt fails if fewer connections than attempts are left.
    fn not_up(&self, server: ServerId, cause: NoConnection) {
        let failed = {
            let mut pools = self.pools.borrow_mut();
            let Some(pool) = pools.get_mut(&server) else { return };
            pool.connecting -= 1;
            if pool.waiting.len() > pool.connecting {
                pool.waiting.pop_front()
            } else {
                None
            }
        };
        if let Some(attempt) = failed {
            self.ended(attempt.id, cause.end());
        }
    }

    /// Notes that an attempt's last byte is written, and returns what tells its connection to close.
    fn written(&self, server: ServerId, id: AttemptId) -> Rc<Notify> {
        match self.pools.borrow_mut().get_mut(&server).and_then(|pool| pool.running.get_mut(&id)) {
            Some(carried) => {
                carried.written = true;
                Rc::clone(&carried.stop)
            }
            None => Rc::default(),
        }
    }

    /// Learns from a connection that stood idle for so long and was used again. Servers, and what stands between,
    /// may let go of idle connections sooner than the settings tell, and say so only at the next write.
    fn learn(&self, idle: Duration, broke: bool) {
        let keep = self.keep.get();
        if broke && idle >= LEAST_IDLE {
            self.keep.set(keep.min(idle.mul_f64(LEARNT_PART)).max(LEAST_IDLE));
        } else if !broke && idle * 2 > keep {
            self.keep.set(keep.mul_f64(FORGET).min(self.limits.idle.mul_f64(IDLE_PART)));
        }
    }

    /// Counts an answer that made no sense, and logs it where no other has been in this second.
    fn tell_bad(&self, listed_server: &SocketAddr, problem: &str) {
        let bad = &self.counters.malformed_responses;
        increment(bad);
        if self.log_throttle.allows() {
            warn!(self.log, "bad answer"; "host" => listed_server.to_string(), "problem" => problem, "so far" => bad.get());
        }
    }

    fn stopped(&self, server: ServerId, id: AttemptId, end: AttemptEnd) {
        if let Some(pool) = self.pools.borrow_mut().get_mut(&server) {
            pool.running.remove(&id);
        }
        self.ended(id, end);
    }

    /// Waits for the next attempt on an idle connection.
    fn rest(&self, connection: &UpstreamConnection) -> Option<(u64, oneshot::Receiver<Attempt>)> {
        let mut pools = self.pools.borrow_mut();
        // A server that has moved has nothing to do with whoever listens at its old address now.
        let pool = pools.get_mut(&connection.server).filter(|pool| pool.is_at(connection))?;
        let (next, receiver) = oneshot::channel();
        let id = self.last.get() + 1;
        self.last.set(id);
        pool.idle.push(Idle { id, next });
        Some((id, receiver))
    }

    fn unrest(&self, server: ServerId, id: u64) {
        if let Some(pool) = self.pools.borrow_mut().get_mut(&server) {
            pool.idle.retain(|idle| idle.id != id);
        }
    }
}

impl Carrier for Upstream {
    fn on_endpoints_changed(&self, kind: EndpointUpdate, servers: &[ListedServer]) {
        let mut pools = self.pools.borrow_mut();
        if kind.is_complete() {
            pools.values_mut().for_each(|pool| pool.open = false);
        }
        for ListedServer { endpoint, address } in servers {
            let pool = pools.entry(endpoint.server).or_default();
            pool.open = endpoint.state == EndpointState::Serving;
            pool.origin = self.limits.origin == Some(endpoint.kind);
            if address.is_some() && pool.address != *address {
                pool.address = *address;
                pool.idle.clear();
            }
        }
        for pool in pools.values_mut().filter(|pool| !pool.open) {
            // Nothing may begin at a server that drains or is gone: its first byte would count.
            pool.idle.clear();
            self.call_off(&mut pool.waiting, |_| true);
        }
        pools.retain(|_, pool| pool.open || pool.connecting > 0 || !pool.running.is_empty());
    }

    fn begin_attempt(&self, attempt: Attempt) {
        let mut pools = self.pools.borrow_mut();
        let server = attempt.server;
        let Some(pool) = pools.get_mut(&server).filter(|pool| pool.open && pool.address.is_some()) else {
            return self.end_later(attempt.id, AttemptEnd::Cancelled);
        };
        if let Some(handle) = &attempt.request.upload {
            // All else is written; where that has failed it never ran, and nobody has it to send it again.
            let id = attempt.id;
            if handle.send_last_byte(attempt.clone()) {
                pool.running.insert(id, Carried::default());
            } else {
                self.end_later(id, AttemptEnd::Cancelled);
            }
            return;
        }
        let mut attempt = attempt;
        // The connection used last is taken first, so that those that are not needed grow old.
        while let Some(idle) = pool.idle.pop() {
            let id = attempt.id;
            match idle.next.send(attempt) {
                Ok(()) => {
                    pool.running.insert(id, Carried::default());
                    return;
                }
                Err(back) => attempt = back,
            }
        }
        pool.waiting.push_back(attempt);
        self.connect(server, pool);
        if pool.connecting < pool.waiting.len() {
            // All connections that may be are: one that is idle elsewhere makes room.
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
        let Some(carried) = pool.running.get(&id) else { return false };
        // A late answer is read off as long as there is room: it may still serve its request, and a new
        // connection costs the server work.
        // The origin does no work that nobody waits for, which only a close tells it.
        let crowded = self.connections.get() * 4 > self.limits.connections * 3;
        if crowded || pool.origin || !self.limits.may_duplicate {
            carried.stop.notify_one();
        }
        carried.written
    }
}

#[cfg(test)]
mod tests;
