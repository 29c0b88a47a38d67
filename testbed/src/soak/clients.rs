//! The soak's clients: each keeps a connection open and goes on sending on it, several requests at once and some in two pieces, up to
//! the kill of its balancer. What it sent and what came back goes into the event log.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use juniperladder_platform_model::checker::CheckTerms;
use juniperladder_platform_model::event_log::{ClientRequest, RequestResult};
use juniperladder_platform_model::rng::SeededRng;
use juniperladder_platform_model::Micros;
use rand::Rng;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};

use crate::client_protocol::{read_answer, WireRequest};
use crate::testbed::{request_id, Testbed};

/// Requests that are sent at once, at the most.
const MAX_BATCH: usize = 4;
/// The same on a connection that never rests.
const MAX_RESTLESS_BATCH: usize = 6;
/// Requests that one connection has unanswered, at the most.
const MAX_PENDING: usize = 12;
/// The pause between two batches, in milliseconds.
const BATCH_PAUSE_MS: std::ops::Range<u64> = 5..60;
/// The same on a connection that never rests: shorter than an answer takes.
const RESTLESS_PAUSE_MS: std::ops::Range<u64> = 1..4;
/// Requests that such a connection has unanswered, at the most.
const MAX_RESTLESS_PENDING: usize = 32;
/// The pause in the middle of a request that is sent in two pieces, in milliseconds.
const SPLIT_PAUSE_MS: std::ops::Range<u64> = 1..120;
/// The share of batches whose last request is sent in two pieces.
const SPLIT_SHARE: f64 = 0.3;
/// How long after its deadline an answer is still awaited: to tell a late one from none.
const LATE_ANSWER_WAIT: Duration = Duration::from_secs(1);
/// The pause before another connection is opened.
const RECONNECT_PAUSE: Duration = Duration::from_millis(20);
/// How long a client waits for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// A balancer as the clients reach it.
#[derive(Clone, Copy, Debug)]
pub struct ClientTarget {
    /// Its number.
    pub balancer: usize,
    /// Where it listens.
    pub address: SocketAddr,
    /// Until when connections are opened to it.
    pub connect_until: Micros,
    /// Until when requests are begun.
    pub load_until: Micros,
    /// Whether the client begins its next request before the last is answered, so that its connection never rests.
    pub is_restless: bool,
}

/// What all clients share.
pub struct SoakClients {
    testbed: Rc<Testbed>,
    terms: CheckTerms,
    next_number: Cell<u64>,
}

/// A request whose answer is awaited.
#[derive(Clone, Copy)]
struct PendingRequest {
    request: WireRequest,
    /// Its place in the event log.
    place: usize,
    /// Whether its last byte is written.
    is_complete: bool,
}

/// One connection.
#[derive(Default)]
struct ConnectionState {
    pending: RefCell<VecDeque<PendingRequest>>,
    pending_changed: Notify,
    has_stopped_sending: Cell<bool>,
    /// Whether it has brought any answer.
    has_answered: Cell<bool>,
    last_answer_at: Cell<Micros>,
}

/// How the reading of a connection ended.
#[derive(Clone, Copy, PartialEq, Eq)]
enum ReadingEnd {
    /// All is answered, and the client sends no more.
    Done,
    /// The connection ended or broke.
    Closed,
    /// An answer did not come.
    NoAnswer,
}

impl SoakClients {
    /// Clients of this testbed.
    pub fn new(testbed: Rc<Testbed>) -> Rc<SoakClients> {
        let terms = CheckTerms::of(&testbed.experiment);
        Rc::new(SoakClients { testbed, terms, next_number: Cell::new(1) })
    }

    /// One client: a connection, and another when that has ended, for as long as connections are opened.
    pub async fn run_client(self: Rc<SoakClients>, target: ClientTarget, mut rng: SeededRng) {
        while self.testbed.now() < target.connect_until.min(target.load_until) {
            if let Ok(Ok(stream)) = timeout(CONNECT_TIMEOUT, TcpStream::connect(target.address)).await {
                let _ = stream.set_nodelay(true);
                self.use_connection(stream, &target, &mut rng).await;
            }
            sleep(RECONNECT_PAUSE).await;
        }
    }

    async fn use_connection(&self, stream: TcpStream, target: &ClientTarget, rng: &mut SeededRng) {
        let state = ConnectionState::default();
        let (reader, writer) = stream.into_split();
        let write = async {
            self.write_requests(&state, writer, target, rng).await;
            std::future::pending::<()>().await;
        };
        let end = tokio::select! {
            biased;
            end = self.read_answers(&state, BufReader::new(reader)) => end,
            () = write => ReadingEnd::Done,
        };
        self.log_unanswered(&state, end);
    }

    /// Sends batch after batch, whatever the answers, until no more is begun or the connection takes no more.
    async fn write_requests(
        &self,
        state: &ConnectionState,
        mut writer: OwnedWriteHalf,
        target: &ClientTarget,
        rng: &mut SeededRng,
    ) {
        let most = if target.is_restless { MAX_RESTLESS_PENDING } else { MAX_PENDING };
        while self.testbed.now() < target.load_until {
            if state.pending.borrow().len() < most
                && self.write_batch(state, &mut writer, target, rng).await.is_err()
            {
                break;
            }
            let pause = if target.is_restless { RESTLESS_PAUSE_MS } else { BATCH_PAUSE_MS };
            sleep(Duration::from_millis(rng.random_range(pause))).await;
        }
        state.has_stopped_sending.set(true);
        state.pending_changed.notify_one();
        // The half stays open: its end would tell the balancer that the client has left.
        std::future::pending::<()>().await;
    }

    async fn write_batch(
        &self,
        state: &ConnectionState,
        writer: &mut OwnedWriteHalf,
        target: &ClientTarget,
        rng: &mut SeededRng,
    ) -> std::io::Result<()> {
        let most = if target.is_restless { MAX_RESTLESS_BATCH } else { MAX_BATCH };
        let requests: Vec<_> =
            (0..rng.random_range(1..=most)).map(|_| self.draw_request(target, rng)).collect();
        let text: String = requests.iter().map(WireRequest::wire_form).collect();
        for request in &requests {
            let place = self.log_request(target, request);
            let pending = PendingRequest { request: *request, place, is_complete: false };
            state.pending.borrow_mut().push_back(pending);
        }
        state.pending_changed.notify_one();
        let last_length = requests.last().map_or(0, |request| request.wire_form().len());
        let is_split = !target.is_restless && rng.random_bool(SPLIT_SHARE);
        let cut = if is_split { text.len() - rng.random_range(1..last_length) } else { text.len() };
        writer.write_all(&text.as_bytes()[..cut]).await?;
        let whole = requests.len() - usize::from(is_split);
        self.on_written(state, &requests[..whole]);
        if is_split {
            sleep(Duration::from_millis(rng.random_range(SPLIT_PAUSE_MS))).await;
            writer.write_all(&text.as_bytes()[cut..]).await?;
            self.on_written(state, &requests[whole..]);
        }
        Ok(())
    }

    fn draw_request(&self, target: &ClientTarget, rng: &mut SeededRng) -> WireRequest {
        let load = &self.testbed.experiment.load;
        let write = rng.random_bool(load.writes);
        let id = request_id(target.balancer, self.next_number.replace(self.next_number.get() + 1));
        WireRequest {
            id,
            first_id: id,
            key: rng.random_range(0..load.keys),
            write,
            is_retry: false,
            time: self.terms.class(write).deadline,
        }
    }

    /// Logs a request that is about to be sent; gives its place in the log.
    fn log_request(&self, target: &ClientTarget, request: &WireRequest) -> usize {
        let now = self.testbed.now();
        let requests = &mut self.testbed.event_log.borrow_mut().requests;
        requests.push(ClientRequest {
            id: request.id,
            first_id: request.first_id,
            balancer: target.balancer as u32,
            key: request.key,
            write: request.write,
            planned_at: now,
            sent_at: now,
            deadline: now + request.time,
            ended_at: None,
            result: RequestResult::NotAccepted,
            extra_lines: 0,
        });
        requests.len() - 1
    }

    /// The last bytes of these requests are written: their time begins.
    fn on_written(&self, state: &ConnectionState, written: &[WireRequest]) {
        let now = self.testbed.now();
        let mut requests = state.pending.borrow_mut();
        for pending in requests.iter_mut() {
            if written.iter().any(|request| request.id == pending.request.id) {
                pending.is_complete = true;
                let logged = &mut self.testbed.event_log.borrow_mut().requests[pending.place];
                logged.sent_at = now;
                logged.deadline = now + pending.request.time;
            }
        }
    }

    /// Reads answers in the order of the requests.
    async fn read_answers(
        &self,
        state: &ConnectionState,
        mut reader: BufReader<OwnedReadHalf>,
    ) -> ReadingEnd {
        let longest_wait = Duration::from_micros(self.terms.longest_deadline()) + LATE_ANSWER_WAIT;
        loop {
            let first = state.pending.borrow().front().copied();
            let Some(pending) = first else {
                if state.has_stopped_sending.get() {
                    return ReadingEnd::Done;
                }
                tokio::select! {
                    biased;
                    // A request that was begun meanwhile is what these bytes answer.
                    () = state.pending_changed.notified() => {}
                    more = reader.fill_buf() => {
                        self.log_extra_lines(state, more.unwrap_or_default());
                        return ReadingEnd::Closed;
                    }
                }
                continue;
            };
            match timeout(longest_wait, read_answer(&mut reader, &pending.request)).await {
                Ok(Some(answer)) => self.on_answer(state, answer.result),
                Ok(None) => return ReadingEnd::Closed,
                Err(_) => return ReadingEnd::NoAnswer,
            }
        }
    }

    /// The oldest request has its answer. The time for which it waited for the answers before it does not count.
    fn on_answer(&self, state: &ConnectionState, result: RequestResult) {
        let Some(pending) = state.pending.borrow_mut().pop_front() else { return };
        let now = self.testbed.now();
        let logged = &mut self.testbed.event_log.borrow_mut().requests[pending.place];
        logged.result = result;
        logged.ended_at = Some(now);
        logged.deadline = logged.deadline.max(state.last_answer_at.get());
        state.last_answer_at.set(now);
        state.has_answered.set(true);
        self.testbed.on_request_over(pending.request.id);
    }

    /// Bytes came that answer no request: they count as behind the last answer.
    fn log_extra_lines(&self, state: &ConnectionState, bytes: &[u8]) {
        let lines = bytes.iter().filter(|byte| **byte == b'\n').count() as u32;
        let requests = &mut self.testbed.event_log.borrow_mut().requests;
        let answered_at = state.last_answer_at.get();
        if let Some(last) = requests.iter_mut().rev().find(|request| request.ended_at == Some(answered_at)) {
            last.extra_lines = lines;
        }
    }

    /// The connection is over: what was sent completely and has no answer is logged by how it ended.
    fn log_unanswered(&self, state: &ConnectionState, end: ReadingEnd) {
        let now = self.testbed.now();
        for pending in state.pending.borrow_mut().drain(..) {
            self.testbed.on_request_over(pending.request.id);
            if !pending.is_complete {
                continue;
            }
            let logged = &mut self.testbed.event_log.borrow_mut().requests[pending.place];
            logged.ended_at = Some(now);
            logged.result = match end {
                ReadingEnd::NoAnswer if logged.deadline < now => RequestResult::NoAnswer,
                // Its client has closed the connection on which another had no answer.
                ReadingEnd::NoAnswer | ReadingEnd::Done => RequestResult::ClientLeft,
                ReadingEnd::Closed if state.has_answered.get() => RequestResult::ConnectionClosed,
                ReadingEnd::Closed => RequestResult::ConnectionRejected,
            };
        }
    }
}
