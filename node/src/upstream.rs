//! The server side: pools of connections to the cache hosts and the origin, and the executions on them.

mod uploads;

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::future::poll_fn;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::{Rc, Weak};
use std::task::Poll;
use std::time::Duration;

use bytes::BytesMut;
use juniperladder::{ListKind, Micros, ServerId, State};
use rustc_hash::FxHashMap;
use slog::{warn, Logger};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite};
use tokio::net::TcpStream;
use tokio::sync::{oneshot, Notify};
use tokio::task::{spawn_local, yield_now};
use tokio::time::{sleep, timeout, Instant};

use crate::clock::Clock;
use crate::counters::{count, worth_telling, Counters};
use crate::exchange::{Answer, Carrier, End, Exchange, Execution, ExecutionId, Host, Reply, Upload};
use crate::http::{self, Response};
use crate::memcache;
use crate::passing::{self, Body};
use juniperladder_exchange::long::{long, Feed};

/// The part of the idle time that the settings tell after which a connection is closed here: a write must never
/// cross the host's close, which comes by its clock and after the way there. What lies between is kept open: one
/// of a hundred balancers comes back to a host after seconds.
const IDLE_PART: f64 = 0.95;
/// The same of an idle time that was learnt from a connection that broke.
const LEARNT_PART: f64 = 0.7;
/// What is learnt of shorter idle times than the settings tell: never less than this, and forgotten by so much
/// with each connection that was used again after as long.
const LEAST_IDLE: Duration = Duration::from_millis(25);
const FORGET: f64 = 1.02;
/// A connection that was let go of is reset as soon as it is written to; later it is another matter.
const AT_ONCE: Duration = Duration::from_millis(10);

/// Room made for each read.
const READ: usize = 4096;

/// What the pools are told at the start.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Connections to all hosts together.
    pub connections: usize,
    /// How much of a long value is read from its host at once.
    pub piece: usize,
    /// How long one may take to come up.
    pub connect_timeout: Duration,
    /// How long a host keeps an idle one.
    pub idle: Duration,
    /// How long an answer is awaited whose execution has timed out.
    pub late: Duration,
    /// Whether an execution may go on elsewhere while an earlier one is out on an open connection.
    pub may_duplicate: bool,
    /// The kind of the origin, which speaks HTTP.
    pub origin: Option<u32>,
}

/// An idle connection: it is given its next execution here.
struct Idle {
    id: u64,
    next: oneshot::Sender<Execution>,
}

/// An execution that a connection has.
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
    waiting: VecDeque<Execution>,
    idle: Vec<Idle>,
    connecting: usize,
    running: FxHashMap<ExecutionId, Carried>,
}

impl Pool {
    /// Whether its host may be sent to, and stands where this connection leads.
    fn is_at(&self, lane: &Lane) -> bool {
        self.open && self.address == Some(lane.address)
    }
}

/// All pools.
pub struct Upstream {
    pools: RefCell<FxHashMap<ServerId, Pool>>,
    exchange: RefCell<Weak<Exchange>>,
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
    /// Pools without any host yet.
    pub fn new(limits: Limits, clock: Clock, counters: Rc<Counters>, log: Logger) -> Rc<Upstream> {
        Rc::new_cyclic(|this| Upstream {
            pools: RefCell::default(),
            exchange: RefCell::default(),
            this: this.clone(),
            keep: Cell::new(limits.idle.mul_f64(IDLE_PART)),
            limits,
            clock,
            counters,
            connections: Cell::new(0),
            uploads: Cell::new(0),
            last: Cell::new(0),
            log,
        })
    }

    /// Tells which exchange hears of the executions' ends.
    pub fn attach(&self, exchange: &Rc<Exchange>) {
        *self.exchange.borrow_mut() = Rc::downgrade(exchange);
    }

    fn ended(&self, id: ExecutionId, end: End) {
        if let Some(exchange) = self.exchange.borrow().upgrade() {
            exchange.ended(id, end);
        }
    }

    /// Ends an execution from a task of its own, as the exchange may be the caller.
    fn end_later(&self, id: ExecutionId, end: End) {
        if let Some(this) = self.this.upgrade() {
            spawn_local(async move { this.ended(id, end) });
        }
    }

    /// Opens connections for the executions that wait, one for each, as far as there is room.
    fn connect(&self, server: ServerId, pool: &mut Pool) {
        let (Some(this), Some(address)) = (self.this.upgrade(), pool.address) else { return };
        if pool.connecting < pool.waiting.len() {
            // No connection is opened for what nobody waits for. One that is on its way already still tells of its host.
            self.call_off(&mut pool.waiting, Execution::over);
        }
        while pool.connecting < pool.waiting.len() && self.connections.get() < self.limits.connections {
            pool.connecting += 1;
            let this = Rc::clone(&this);
            let counted = Counted::one(&this);
            let lane = Lane { server, origin: pool.origin, address };
            spawn_local(async move {
                lane.open(&counted.0).await;
                drop(counted);
                this.make_use_of_room();
            });
        }
    }

    /// Ends those of the executions that are like this, none of which has begun.
    fn call_off(&self, waiting: &mut VecDeque<Execution>, like: impl Fn(&Execution) -> bool) {
        waiting.retain(|execution| {
            let stays = !like(execution);
            if !stays {
                self.end_later(execution.id, End::CalledOff);
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

    /// The next execution for a connection that has nothing to do.
    fn next(&self, lane: &Lane) -> Option<Execution> {
        let mut pools = self.pools.borrow_mut();
        let pool = pools.get_mut(&lane.server).filter(|pool| pool.address == Some(lane.address))?;
        self.call_off(&mut pool.waiting, Execution::over);
        let execution = pool.waiting.pop_front()?;
        pool.running.insert(execution.id, Carried::default());
        Some(execution)
    }

    /// Puts an execution back of which nothing was written.
    fn put_back(&self, server: ServerId, execution: Execution) {
        let mut pools = self.pools.borrow_mut();
        let Some(pool) = pools.get_mut(&server) else { return self.end_later(execution.id, End::CalledOff) };
        pool.running.remove(&execution.id);
        if !pool.open {
            return self.end_later(execution.id, End::CalledOff);
        }
        pool.waiting.push_front(execution);
        self.connect(server, pool);
    }

    /// Whether this host may be sent to, and stands where this connection leads.
    fn is_at(&self, lane: &Lane) -> bool {
        self.pools.borrow().get(&lane.server).is_some_and(|pool| pool.is_at(lane))
    }

    fn is_open(&self, server: ServerId) -> bool {
        self.pools.borrow().get(&server).is_some_and(|pool| pool.open)
    }

    /// A connection did not come up: one execution fails if fewer connections than executions are left.
    fn not_up(&self, server: ServerId) {
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
        if let Some(execution) = failed {
            self.ended(execution.id, End::NotSent);
        }
    }

    /// Notes that an execution's last byte is written, and returns what tells its connection to close.
    fn written(&self, server: ServerId, id: ExecutionId) -> Rc<Notify> {
        match self.pools.borrow_mut().get_mut(&server).and_then(|pool| pool.running.get_mut(&id)) {
            Some(carried) => {
                carried.written = true;
                Rc::clone(&carried.stop)
            }
            None => Rc::default(),
        }
    }

    /// Learns from a connection that stood idle for so long and was used again. Hosts, and what stands between,
    /// may let go of idle connections sooner than the settings tell, and say so only at the next write.
    fn learn(&self, idle: Duration, broke: bool) {
        let keep = self.keep.get();
        if broke && idle >= LEAST_IDLE {
            self.keep.set(keep.min(idle.mul_f64(LEARNT_PART)).max(LEAST_IDLE));
        } else if !broke && idle * 2 > keep {
            self.keep.set(keep.mul_f64(FORGET).min(self.limits.idle.mul_f64(IDLE_PART)));
        }
    }

    /// Counts an answer that made no sense, and logs it if there are not many.
    fn tell_bad(&self, host: &SocketAddr, problem: &str) {
        let bad = &self.counters.bad_answers;
        count(bad);
        if worth_telling(bad) {
            warn!(self.log, "bad answer"; "host" => host.to_string(), "problem" => problem, "so far" => bad.get());
        }
    }

    fn stopped(&self, server: ServerId, id: ExecutionId, end: End) {
        if let Some(pool) = self.pools.borrow_mut().get_mut(&server) {
            pool.running.remove(&id);
        }
        self.ended(id, end);
    }

    /// Waits for the next execution on an idle connection.
    fn rest(&self, lane: &Lane) -> Option<(u64, oneshot::Receiver<Execution>)> {
        let mut pools = self.pools.borrow_mut();
        // A host that has moved has nothing to do with whoever listens at its old address now.
        let pool = pools.get_mut(&lane.server).filter(|pool| pool.is_at(lane))?;
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
    fn listed(&self, kind: ListKind, hosts: &[Host]) {
        let mut pools = self.pools.borrow_mut();
        if kind.whole() {
            pools.values_mut().for_each(|pool| pool.open = false);
        }
        for Host { entry, address } in hosts {
            let pool = pools.entry(entry.server).or_default();
            pool.open = entry.state == State::Serving;
            pool.origin = self.limits.origin == Some(entry.kind);
            if address.is_some() && pool.address != *address {
                pool.address = *address;
                pool.idle.clear();
            }
        }
        for pool in pools.values_mut().filter(|pool| !pool.open) {
            // Nothing may begin at a host that drains or is gone: its first byte would count.
            pool.idle.clear();
            self.call_off(&mut pool.waiting, |_| true);
        }
        pools.retain(|_, pool| pool.open || pool.connecting > 0 || !pool.running.is_empty());
    }

    fn begin(&self, execution: Execution) {
        let mut pools = self.pools.borrow_mut();
        let server = execution.server;
        let Some(pool) = pools.get_mut(&server).filter(|pool| pool.open && pool.address.is_some()) else {
            return self.end_later(execution.id, End::CalledOff);
        };
        if let Some(ticket) = &execution.command.ticket {
            // All else is written; where that has failed it never ran, and nobody has it to send it again.
            let id = execution.id;
            if ticket.give(execution.clone()) {
                pool.running.insert(id, Carried::default());
            } else {
                self.end_later(id, End::CalledOff);
            }
            return;
        }
        let mut execution = execution;
        // The connection used last is taken first, so that those that are not needed grow old.
        while let Some(idle) = pool.idle.pop() {
            let id = execution.id;
            match idle.next.send(execution) {
                Ok(()) => {
                    pool.running.insert(id, Carried::default());
                    return;
                }
                Err(back) => execution = back,
            }
        }
        pool.waiting.push_back(execution);
        self.connect(server, pool);
        if pool.connecting < pool.waiting.len() {
            // All connections that may be are: one that is idle elsewhere makes room.
            if let Some(other) = pools.values_mut().find(|pool| !pool.idle.is_empty()) {
                other.idle.remove(0);
            }
        }
    }

    fn upload(&self, upload: Upload) {
        self.begin_upload(upload);
    }

    fn abandon(&self, id: ExecutionId, server: ServerId) -> bool {
        let mut pools = self.pools.borrow_mut();
        let Some(pool) = pools.get_mut(&server) else { return false };
        pool.waiting.retain(|execution| execution.id != id);
        let Some(carried) = pool.running.get(&id) else { return false };
        // A late answer is read off as long as there is room: it may still serve its command, and a new
        // connection costs the host work.
        // The origin does no work that nobody waits for, which only a close tells it.
        let crowded = self.connections.get() * 4 > self.limits.connections * 3;
        if crowded || pool.origin || !self.limits.may_duplicate {
            carried.stop.notify_one();
        }
        carried.written
    }
}

/// One connection to a host.
struct Lane {
    server: ServerId,
    origin: bool,
    address: SocketAddr,
}

/// An answer is not waited for any longer.
struct Stopped;

/// What was heard from a host.
enum Heard {
    /// Its whole reply.
    Whole(Reply, After),
    /// That a long value of so many bytes follows.
    Long(usize, Body),
}

/// What a connection does after an execution.
#[derive(Debug, PartialEq, Eq)]
enum After {
    Keep,
    Close,
    /// It broke before the first byte of an answer.
    Broke,
}

impl Lane {
    async fn open(self, upstream: &Upstream) {
        let Some(stream) = self.connect(upstream).await else { return upstream.not_up(self.server) };
        if let Some(pool) = upstream.pools.borrow_mut().get_mut(&self.server) {
            pool.connecting -= 1;
        }
        self.carry(upstream, stream).await;
    }

    /// A connection to the host, if one comes up in time.
    async fn connect(&self, upstream: &Upstream) -> Option<TcpStream> {
        let connect = timeout(upstream.limits.connect_timeout, TcpStream::connect(self.address));
        let stream = connect.await.ok()?.ok()?;
        count(&upstream.counters.opened);
        // Without this the kernel would hold a short write back for the answer to the one before.
        let _ = stream.set_nodelay(true);
        Some(stream)
    }

    async fn carry(&self, upstream: &Upstream, mut stream: TcpStream) {
        let (mut input, mut used) = (BytesMut::new(), false);
        loop {
            let since = Instant::now();
            let execution = match upstream.next(self) {
                Some(execution) => execution,
                None => match self.rest(upstream, &stream).await {
                    Some(execution) => execution,
                    None => return,
                },
            };
            // The runtime looks for news of the connection first: some hosts close right behind an answer.
            yield_now().await;
            // A connection that ended meanwhile is no try: nothing of the execution was written.
            if !input.is_empty() || !quiet(&stream) || !upstream.is_open(self.server) {
                return upstream.put_back(self.server, execution);
            }
            let (idle, begun) = (since.elapsed(), Instant::now());
            match self.execute(upstream, &mut stream, &mut input, execution).await {
                After::Keep => upstream.learn(idle, false),
                After::Broke if used && begun.elapsed() < AT_ONCE => return upstream.learn(idle, true),
                After::Broke | After::Close => return,
            }
            used = true;
        }
    }

    /// Waits idle for an execution; none when the connection has to close.
    async fn rest(&self, upstream: &Upstream, stream: &TcpStream) -> Option<Execution> {
        let (id, mut next) = upstream.rest(self)?;
        let old = sleep(upstream.keep.get());
        tokio::pin!(old);
        loop {
            tokio::select! {
                biased;
                given = &mut next => return given.ok(),
                // Readiness may be left over from the last read; only an end or stray bytes count.
                _ = stream.readable() => if !quiet(stream) { break },
                () = &mut old => break,
            }
        }
        upstream.unrest(self.server, id);
        if let Ok(execution) = next.try_recv() {
            upstream.put_back(self.server, execution);
        }
        None
    }

    async fn execute<S: AsyncRead + AsyncWrite + Unpin>(
        &self,
        upstream: &Upstream,
        stream: &mut S,
        input: &mut BytesMut,
        execution: Execution,
    ) -> After {
        let wait = execution.until.minus(upstream.clock.now());
        if wait.0 == 0 || execution.over() {
            // It timed out on its way here, or its command was answered; to write it now would be work for nobody.
            let end = if wait.0 == 0 { End::NotSent } else { End::CalledOff };
            upstream.stopped(self.server, execution.id, end);
            return After::Keep;
        }
        let mut output = BytesMut::new();
        if self.origin {
            http::write_command(&mut output, &execution.command, &self.address.to_string(), wait);
        } else {
            memcache::write_command(&mut output, &execution.command, wait);
        }
        self.send(upstream, stream, input, execution, &output, wait).await
    }

    /// Writes the last that is to be written of an execution, and waits for its reply.
    async fn send<S: AsyncRead + AsyncWrite + Unpin>(
        &self,
        upstream: &Upstream,
        stream: &mut S,
        input: &mut BytesMut,
        execution: Execution,
        output: &[u8],
        wait: Micros,
    ) -> After {
        let id = execution.id;
        let most = crate::clock::duration(wait);
        if !timeout(most, write(stream, output, &execution)).await.unwrap_or(false) {
            let end = if execution.over() { End::CalledOff } else { End::NotSent };
            upstream.stopped(self.server, id, end);
            return After::Close;
        }
        count(&upstream.counters.tries);
        let stop = upstream.written(self.server, id);
        let read = tokio::select! {
            biased;
            read = timeout(most + upstream.limits.late, self.reply(stream, input, &execution)) => {
                read.map_err(|_| Stopped)
            }
            () = stop.notified() => Err(Stopped),
        };
        let (end, after) = match read {
            Ok(Ok(Heard::Whole(reply, after))) => (End::Reply(reply), after),
            Ok(Ok(Heard::Long(length, body))) => {
                let (long, feed) = long(length);
                upstream.stopped(self.server, id, End::Reply(Reply::Served(Answer::Long(long))));
                return self.pass_on(upstream, stream, input, body, feed).await;
            }
            Ok(Err(Some(problem))) => {
                upstream.tell_bad(&self.address, &problem);
                (End::Spoilt, After::Close)
            }
            Ok(Err(None)) if input.is_empty() => (End::Broken, After::Broke),
            Ok(Err(None)) | Err(Stopped) => (End::Broken, After::Close),
        };
        upstream.stopped(self.server, id, end);
        after
    }

    /// Reads the reply; an error holds what was wrong with it, and nothing if the connection broke.
    async fn reply<S: AsyncRead + Unpin>(
        &self,
        stream: &mut S,
        input: &mut BytesMut,
        execution: &Execution,
    ) -> Result<Heard, Option<String>> {
        let write = execution.command.value.is_some();
        let mut response = Response::default();
        loop {
            input.reserve(READ);
            let read = stream.read_buf(input).await.map_err(|_| None)?;
            if self.origin {
                response.read(input).map_err(Some)?;
                if read == 0 {
                    response.ended();
                }
                let id = response.head.as_ref().and_then(|head| head.id.as_ref());
                if id.is_some_and(|id| *id != execution.command.id) {
                    return Err(Some("a response for another id".into()));
                }
                if let Some(length) = response.long().filter(|_| !write) {
                    return Ok(Heard::Long(length, Body::Http(response)));
                }
                if response.too_large() {
                    return Err(Some("a body longer than any value".into()));
                }
                if response.done {
                    passing::nothing_behind(stream, input).await?;
                    let reply = http::reply(&response, write).map_err(Some)?;
                    return Ok(Heard::Whole(reply, after(&response)));
                }
            } else if let Some(heard) = memcache::answered(input, &execution.command).map_err(Some)? {
                return Ok(match heard {
                    memcache::Answered::Whole(reply) => Heard::Whole(reply, After::Keep),
                    memcache::Answered::Long(length, rest) => Heard::Long(length, Body::Meta(rest)),
                });
            }
            if read == 0 {
                return Err(None);
            }
        }
    }

    /// Passes a long value on while it comes, as fast as its client takes it. Where it breaks off the client has
    /// not had its last byte.
    async fn pass_on<S: AsyncRead + Unpin>(
        &self,
        upstream: &Upstream,
        stream: &mut S,
        input: &mut BytesMut,
        mut body: Body,
        feed: Feed,
    ) -> After {
        let passed = passing::pump(stream, input, &mut body, feed, upstream.limits.piece).await;
        count(if passed.is_ok() { &upstream.counters.long } else { &upstream.counters.long_broken });
        match (passed, body) {
            (Ok(()), Body::Http(response)) => after(&response),
            (Ok(()), Body::Meta(_)) => After::Keep,
            (Err(problem), _) => {
                problem.iter().for_each(|problem| upstream.tell_bad(&self.address, problem));
                After::Close
            }
        }
    }
}

/// What a connection does after this whole response.
fn after(response: &Response) -> After {
    let close = response.head.as_ref().is_none_or(|head| head.close);
    if close {
        After::Close
    } else {
        After::Keep
    }
}

/// Writes this of an execution, and tells whether all of it has gone out: no byte goes once the execution is over, though
/// the way were full until then.
async fn write<S: AsyncWrite + Unpin>(stream: &mut S, output: &[u8], execution: &Execution) -> bool {
    let mut left = output;
    while !left.is_empty() {
        let written = poll_fn(|cx| match execution.over() {
            true => Poll::Ready(Ok(0)),
            false => Pin::new(&mut *stream).poll_write(cx, left),
        });
        match written.await {
            Ok(length @ 1..) => left = &left[length..],
            _ => return false,
        }
    }
    true
}

/// Whether an idle connection is still up and silent.
fn quiet(stream: &TcpStream) -> bool {
    matches!(stream.try_read(&mut [0]), Err(e) if e.kind() == std::io::ErrorKind::WouldBlock)
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::exchange::Answer;
    use crate::testing::{self, host, settle, Recorder, HOST};
    use juniperladder::Effect;
    use proptest::prelude::*;
    use tokio::io::{duplex, AsyncWriteExt};

    /// What a host does with one execution.
    #[derive(Clone, Debug)]
    enum Peer {
        /// Reads so many bytes and closes.
        Leaves(usize),
        /// Answers this, in pieces, and closes.
        Answers(&'static str),
        /// Says nothing.
        Silent,
    }

    fn peer() -> impl Strategy<Value = Peer> {
        prop_oneof![
            (0..400usize).prop_map(Peer::Leaves),
            Just(Peer::Answers("HD O7 cr1 h1 Lqps=7,queue=2\r\n")),
            Just(Peer::Answers("EN O7 h0 Z\r\n")),
            Just(Peer::Answers("SERVER_ERROR busy Lqps=7\r\n")),
            Just(Peer::Answers("SERVER_ERROR failed\r\n")),
            Just(Peer::Answers("HD O8 cr1\r\n")),
            Just(Peer::Answers("HD O7 cr1 h1 L\u{1}\u{7f}={\r\n")),
            Just(Peer::Answers("VA 2 O7\r\nab\r\n")),
            Just(Peer::Answers("HD O")),
            Just(Peer::Answers("VA 99999999 O7\r\n")),
            Just(Peer::Answers("nonsense\r\n")),
            Just(Peer::Silent),
        ]
    }

    proptest! {
        #![proptest_config(ProptestConfig { cases: 256, failure_persistence: None,
            rng_seed: proptest::test_runner::RngSeed::Fixed(5), ..ProptestConfig::default() })]

        /// An execution ends by what was written and what came back: it never ran while its last byte
        /// was not written, and an answer for another id is none.
        #[test]
        fn an_execution_ends_by_what_was_written(peer in peer(), size in 0..300usize, cut in 1..9usize, room in 1..200usize) {
            testing::run(async {
                let recorder = Rc::new(Recorder::default());
                let exchange = testing::exchange(testing::settings(1, Effect::Unsafe), recorder.clone(), 1);
                let upstream = testing::upstream(1);
                upstream.attach(&exchange);
                let (_, answer) = exchange.take(testing::command("7", Some(vec![b'x'; size]))).unwrap();
                let execution = recorder.begun.borrow_mut().pop().unwrap();
                let (mut near, mut far) = duplex(room);
                let lane = Lane { server: HOST, origin: false, address: ([127, 0, 0, 1], 1).into() };
                let mut wire = BytesMut::new();
                memcache::write_command(&mut wire, &execution.command, juniperladder::Micros(470_000));
                let length = wire.len();
                let want = match &peer {
                    Peer::Leaves(n) if n + room >= length => "resets",
                    Peer::Leaves(_) => "connect_failed",
                    Peer::Answers(text) if text.starts_with("HD O7") => "ok",
                    Peer::Answers(text) if text.starts_with("EN") => "misses",
                    Peer::Answers(text) if text.contains("busy") => "full",
                    Peer::Answers(text) if text.contains("failed") => "errors",
                    // Spoilt: it has run, the host is at work, and the connection is of no further use.
                    Peer::Answers(text) if text.ends_with("\r\n") => "errors",
                    Peer::Answers(_) | Peer::Silent => "resets",
                };
                let leaves = matches!(peer, Peer::Leaves(_));
                let host = async {
                    let mut seen = vec![0; match peer { Peer::Leaves(n) => n.min(length), _ => length }];
                    far.read_exact(&mut seen).await.unwrap();
                    match peer {
                        Peer::Answers(text) => for piece in text.as_bytes().chunks(cut) {
                            // Whoever has read enough may hang up on the rest.
                            let _ = far.write_all(piece).await;
                            settle().await;
                        },
                        Peer::Silent => sleep(Duration::from_secs(60)).await,
                        Peer::Leaves(_) => settle().await,
                    }
                    drop(far);
                };
                let mut input = BytesMut::new();
                let carry = async {
                    let after = lane.execute(&upstream, &mut near, &mut input, execution).await;
                    drop(near);
                    after
                };
                let (after, ()) = tokio::join!(carry, host);
                let counted: Vec<_> = exchange.counters().all().into_iter()
                    .filter(|(name, n)| *n > 0 && !name.starts_with("nack_") && !["commands", "executions", "served", "nacked", "failed", "bad_answers"].contains(name))
                    .collect();
                assert_eq!(counted, [(want, 1)]);
                assert_eq!(after == After::Broke, leaves && want == "resets");
                let spoilt = upstream.counters.bad_answers.get() > 0;
                assert_eq!(after == After::Keep, !spoilt && ["ok", "misses", "full", "errors"].contains(&want));
                let served = matches!(answer.await, Ok(Answer::Receipt(_)));
                assert_eq!(served, want == "ok");
            });
        }
    }

    /// The drain rule counts a send's first byte: what still waits for a connection must not begin.
    #[test]
    fn a_draining_host_gets_nothing_that_waits() {
        testing::run(async {
            let upstream = testing::upstream(0);
            let exchange = testing::exchange(testing::settings(1, Effect::Safe), upstream.clone(), 1);
            upstream.attach(&exchange);
            let (_, answer) = exchange.take(testing::command("7", None)).unwrap();
            settle().await;
            assert_eq!(exchange.counters().moot.get(), 0, "it waits for a connection");
            exchange.listed(ListKind::Update, &[host(HOST, State::Draining)]);
            assert!(matches!(answer.await, Ok(Answer::Nack(_))));
            assert_eq!(exchange.counters().moot.get(), 1);
        });
    }

    /// A connection that comes up when its command is over, its client gone or answered from elsewhere, gets nothing of
    /// that command, and the next command can use it.
    #[test]
    fn a_connection_that_comes_up_late_gets_nothing_of_a_command_that_is_over() {
        testing::run_on_sockets(async {
            let listener = tokio::net::TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
            let upstream = testing::upstream(4);
            let exchange = testing::exchange(testing::settings(1, Effect::Unsafe), upstream.clone(), 0);
            upstream.attach(&exchange);
            let mut up = host(HOST, State::Serving);
            up.address = listener.local_addr().ok();
            exchange.listed(ListKind::Replace, &[up]);
            let (id, _answer) = exchange.take(testing::command("1", None)).unwrap();
            exchange.gone(id);
            let (mut stream, _) = listener.accept().await.unwrap();
            settle().await;
            let (_, answer) = exchange.take(testing::command("2", None)).unwrap();
            let mut got = BytesMut::new();
            while !got.ends_with(b"\r\n") {
                assert!(stream.read_buf(&mut got).await.unwrap() > 0);
            }
            let got = String::from_utf8_lossy(&got).into_owned();
            assert!(got.starts_with("mg ") && got.contains(" O2 ") && !got.contains(" O1 "), "{got}");
            stream.write_all(b"VA 1 O2\r\nv\r\n").await.unwrap();
            assert_eq!(answer.await, Ok(Answer::Value("v".into())));
            assert_eq!((exchange.counters().moot.get(), upstream.counters.tries.get()), (1, 1));
        });
    }

    /// A write that stands still half-way is not carried on once its command is over, though the way clears.
    #[test]
    fn what_is_half_written_ends_with_its_command() {
        testing::run(async {
            let recorder = Rc::new(Recorder::default());
            let exchange = testing::exchange(testing::settings(1, Effect::Unsafe), recorder.clone(), 1);
            let upstream = testing::upstream(1);
            upstream.attach(&exchange);
            let (id, _answer) = exchange.take(testing::command("7", Some(vec![b'x'; 300]))).unwrap();
            let execution = recorder.begun.borrow_mut().pop().unwrap();
            let (mut near, mut far) = duplex(100);
            let lane = Lane { server: HOST, origin: false, address: ([127, 0, 0, 1], 1).into() };
            let host = async {
                settle().await;
                exchange.gone(id);
                let mut got = Vec::new();
                far.read_to_end(&mut got).await.unwrap();
                got.len()
            };
            let carry = async {
                let after = lane.execute(&upstream, &mut near, &mut BytesMut::new(), execution).await;
                drop(near);
                after
            };
            assert_eq!(tokio::join!(carry, host), (After::Close, 100));
            assert_eq!(upstream.counters.tries.get(), 0);
        });
    }

    /// Connections are bounded over all hosts: one that is idle gives way to an execution elsewhere.
    #[test]
    fn an_idle_connection_makes_room() {
        testing::run_on_sockets(async {
            let hosts = [
                tokio::net::TcpListener::bind(("127.0.0.1", 0)).await.unwrap(),
                tokio::net::TcpListener::bind(("127.0.0.1", 0)).await.unwrap(),
            ];
            let upstream = testing::upstream(1);
            let exchange = testing::exchange(testing::settings(1, Effect::Unsafe), upstream.clone(), 0);
            upstream.attach(&exchange);
            for listener in &hosts {
                let mut up = host(HOST, State::Serving);
                up.address = listener.local_addr().ok();
                up.entry.server = ServerId(up.address.unwrap().port().into());
                exchange.listed(ListKind::Replace, &[up]);
                let (_, answer) = exchange.take(testing::command("7", Some(vec![]))).unwrap();
                let (mut stream, _) = listener.accept().await.unwrap();
                stream.read_buf(&mut BytesMut::new()).await.unwrap();
                stream.write_all(b"HD O7 cr1\r\n").await.unwrap();
                assert!(matches!(answer.await, Ok(Answer::Receipt(_))));
                settle().await;
            }
            assert_eq!(upstream.connections.get(), 1);
        });
    }

    /// What the origin does with the one answer on a connection, and what it means.
    #[test]
    fn an_origins_response_is_good_or_spoilt() {
        let good = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab";
        let behind = |more: &str| (format!("{good}{more}"), 0);
        let cases = [
            behind(""),
            behind(good),
            behind("HTT"),
            (format!("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n{good}"), 0),
            (good.replace("\r\n\r\n", "\r\nEndpoint-Load-Metrics: {\u{1}\r=,\r\n\r\n"), 0),
            (good.replace("\r\n\r\n", "\r\nX-Trace-Id: 7\r\n\r\n"), 0),
            (good.replace("\r\n\r\n", "\r\nX-Trace-Id: 8\r\n\r\n"), 1),
            (format!("{good}c"), 1),
            (good.replace(": 2", ": 3000000000"), 1),
            (good.replace(": 2", ": -2"), 1),
            (good.replace("Content-Length: 2", "Transfer-Encoding: chunked").replace("ab", "fffff0\r\n"), 0),
            ("nonsense\r\n\r\n".to_owned(), 1),
        ];
        for (text, spoilt) in cases {
            testing::run(async {
                let recorder = Rc::new(Recorder::default());
                let exchange = testing::exchange(testing::settings(1, Effect::Unsafe), recorder.clone(), 1);
                let upstream = testing::upstream(1);
                upstream.attach(&exchange);
                let (_, answer) = exchange.take(testing::command("7", None)).unwrap();
                let execution = recorder.begun.borrow_mut().pop().unwrap();
                let (mut near, mut far) = duplex(1 << 12);
                let lane = Lane { server: HOST, origin: true, address: ([127, 0, 0, 1], 1).into() };
                far.write_all(text.as_bytes()).await.unwrap();
                let mut input = BytesMut::new();
                lane.execute(&upstream, &mut near, &mut input, execution).await;
                assert_eq!(upstream.counters.bad_answers.get(), spoilt, "{text:?}");
                let chunked = text.contains("chunked");
                let value = Answer::Value(bytes::Bytes::from_static(b"ab"));
                assert_eq!(answer.await == Ok(value), spoilt == 0 && !chunked, "{text:?}");
            });
        }
    }

    /// A value said to be huge that keeps coming is let go of before it fills the memory.
    #[test]
    fn an_endless_body_is_not_read_to_its_end() {
        testing::run(async {
            let recorder = Rc::new(Recorder::default());
            let exchange = testing::exchange(testing::settings(1, Effect::Unsafe), recorder.clone(), 1);
            let upstream = testing::upstream(1);
            upstream.attach(&exchange);
            let _answer = exchange.take(testing::command("7", None)).unwrap();
            let execution = recorder.begun.borrow_mut().pop().unwrap();
            let (mut near, mut far) = duplex(1 << 12);
            let lane = Lane { server: HOST, origin: true, address: ([127, 0, 0, 1], 1).into() };
            spawn_local(async move {
                let head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nb2d05e00\r\n";
                far.write_all(head).await.unwrap();
                while far.write_all(&[b'x'; 4096]).await.is_ok() {}
            });
            let mut input = BytesMut::new();
            assert_eq!(lane.execute(&upstream, &mut near, &mut input, execution).await, After::Close);
            assert_eq!(upstream.counters.bad_answers.get(), 1);
        });
    }

    /// The origin does no work that nobody waits for, and only a close tells it. At a cache host the answer is
    /// read off, as nothing stops there.
    #[test]
    fn a_time_out_closes_the_connection_to_the_origin() {
        testing::run(async {
            for kind in [0, testing::ORIGIN] {
                let upstream = testing::upstream(4);
                let mut listed = host(HOST, State::Serving);
                listed.entry.kind = kind;
                upstream.listed(ListKind::Replace, &[listed]);
                let id = ExecutionId(1);
                upstream.pools.borrow_mut().entry(HOST).or_default().running.insert(id, Carried::default());
                let stop = upstream.written(HOST, id);
                assert!(upstream.abandon(id, HOST));
                let told = timeout(Duration::from_secs(1), stop.notified()).await.is_ok();
                assert_eq!(told, kind == testing::ORIGIN);
            }
        });
    }

    /// Idle connections that break at their next use are kept for a shorter time from then on, which wears off.
    #[test]
    fn a_shorter_idle_time_is_learnt_and_forgotten() {
        testing::run(async {
            let upstream = testing::upstream(4);
            let told = upstream.keep.get();
            assert_eq!(told, upstream.limits.idle.mul_f64(IDLE_PART));
            let spare = upstream.limits.idle - told;
            assert!(
                told > upstream.limits.idle.mul_f64(0.9),
                "one of many balancers comes back after seconds"
            );
            assert!(spare >= upstream.limits.idle / 25, "the way there and back: {spare:?}");
            upstream.learn(Duration::from_millis(1), true);
            assert_eq!(upstream.keep.get(), told, "a connection that was hardly idle tells nothing");
            upstream.learn(Duration::from_millis(100), true);
            assert_eq!(upstream.keep.get(), Duration::from_millis(70));
            upstream.learn(Duration::from_millis(60), false);
            assert!(upstream.keep.get() > Duration::from_millis(70));
            for _ in 0..1000 {
                upstream.learn(told, false);
            }
            assert_eq!(upstream.keep.get(), told);
        });
    }

    /// A host that has moved has nothing to do with whoever listens at its old address.
    #[test]
    fn a_connection_to_an_old_address_is_not_used() {
        testing::run(async {
            let upstream = testing::upstream(4);
            let moved = host(HOST, State::Serving);
            upstream.listed(ListKind::Replace, std::slice::from_ref(&moved));
            let lane = |port| Lane { server: HOST, origin: false, address: ([127, 0, 0, 1], port).into() };
            assert!(upstream.rest(&lane(1)).is_some());
            assert!(upstream.rest(&lane(2)).is_none() && upstream.next(&lane(2)).is_none());
        });
    }

    /// A host that refuses connections fails each execution once, as one that never ran.
    #[test]
    fn a_refused_connection_never_ran() {
        testing::run_on_sockets(async {
            let closed = std::net::TcpListener::bind(("127.0.0.1", 0)).unwrap();
            let mut down = host(HOST, State::Serving);
            down.address = closed.local_addr().ok();
            drop(closed);
            let upstream = testing::upstream(4);
            let exchange = testing::exchange(testing::settings(1, Effect::Unsafe), upstream.clone(), 0);
            upstream.attach(&exchange);
            exchange.listed(ListKind::Restored, &[down]);
            let (_, first) = exchange.take(testing::command("7", None)).unwrap();
            let (_, second) = exchange.take(testing::command("8", None)).unwrap();
            assert!(matches!((first.await, second.await), (Ok(Answer::Nack(_)), Ok(Answer::Nack(_)))));
            assert_eq!(exchange.counters().connect_failed.get(), 2);
            assert_eq!(upstream.connections.get(), 0);
        });
    }
}
