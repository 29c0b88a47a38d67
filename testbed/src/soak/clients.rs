//! The clients of the soak. Each keeps a connection open and sends batches of pipelined requests on it up to the kill of its
//! balancer; some requests are written in two pieces. Requests and answers are logged in the event log.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use juniperladder_platform_model::checker::CheckConfig;
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

/// Maximum number of requests in a batch.
const MAX_BATCH: usize = 4;
/// Maximum number of requests in a batch on a busy connection.
const MAX_BUSY_BATCH: usize = 6;
/// Maximum number of unanswered requests on one connection.
const MAX_PENDING: usize = 12;
/// Pause between two batches, in milliseconds.
const BATCH_PAUSE_MS: std::ops::Range<u64> = 5..60;
/// Pause between two batches on a busy connection, in milliseconds; shorter than the latency of an answer.
const BUSY_PAUSE_MS: std::ops::Range<u64> = 1..4;
/// Maximum number of unanswered requests on a busy connection.
const MAX_BUSY_PENDING: usize = 32;
/// Pause between the two pieces of a split request, in milliseconds.
const SPLIT_PAUSE_MS: std::ops::Range<u64> = 1..120;
/// Share of batches whose last request is split into two writes.
const SPLIT_SHARE: f64 = 0.3;
/// Time after a request's deadline for which the answer is still awaited, to tell a late answer from a missing one.
const LATE_ANSWER_WAIT: Duration = Duration::from_secs(1);
/// Pause before another connection is opened.
const RECONNECT_PAUSE: Duration = Duration::from_millis(20);
/// Timeout of a client's connect.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// The balancer to which a client connects, and the client's behaviour.
#[derive(Clone, Copy, Debug)]
pub struct ClientTarget {
    /// Number of the balancer.
    pub balancer: usize,
    /// Listen address of the balancer.
    pub address: SocketAddr,
    /// End of the time in which connections are opened.
    pub connect_until: Micros,
    /// End of the time in which requests are sent.
    pub load_until: Micros,
    /// Whether the client sends its next request before the previous one is answered, so that its connection is never idle.
    pub is_busy: bool,
}

/// State shared by all clients.
pub struct SoakClients {
    testbed: Rc<Testbed>,
    check_config: CheckConfig,
    next_number: Cell<u64>,
}

/// A request without an answer.
#[derive(Clone, Copy)]
struct PendingRequest {
    request: WireRequest,
    /// Index of the request in the event log.
    log_index: usize,
    /// Whether the last byte of the request has been written.
    is_complete: bool,
}

/// State of one connection.
#[derive(Default)]
struct ConnectionState {
    pending: RefCell<VecDeque<PendingRequest>>,
    pending_changed: Notify,
    has_stopped_sending: Cell<bool>,
    /// Whether any answer has been received.
    has_answered: Cell<bool>,
    /// Time of the last answer, or 0 before the first.
    last_answer_at: Cell<Micros>,
}

/// The reason for which a client stopped reading from a connection.
#[derive(Clone, Copy, PartialEq, Eq)]
enum ReadingEnd {
    /// All requests are answered and the client sends no more.
    Done,
    /// The connection was closed or failed.
    Closed,
    /// An answer timed out.
    NoAnswer,
}

impl SoakClients {
    /// Creates the clients of this testbed.
    pub fn new(testbed: Rc<Testbed>) -> Rc<SoakClients> {
        let check_config = CheckConfig::for_experiment(&testbed.experiment);
        Rc::new(SoakClients { testbed, check_config, next_number: Cell::new(1) })
    }

    /// Runs one client, which opens a new connection whenever its previous one has ended, as long as its target's times allow.
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

    /// Sends batches independently of the answers until the load ends or a write fails.
    async fn write_requests(
        &self,
        state: &ConnectionState,
        mut writer: OwnedWriteHalf,
        target: &ClientTarget,
        rng: &mut SeededRng,
    ) {
        let max_pending = if target.is_busy { MAX_BUSY_PENDING } else { MAX_PENDING };
        while self.testbed.now() < target.load_until {
            if state.pending.borrow().len() < max_pending
                && self.write_batch(state, &mut writer, target, rng).await.is_err()
            {
                break;
            }
            let pause = if target.is_busy { BUSY_PAUSE_MS } else { BATCH_PAUSE_MS };
            sleep(Duration::from_millis(rng.random_range(pause))).await;
        }
        state.has_stopped_sending.set(true);
        state.pending_changed.notify_one();
        // Keeps the write half open, because the balancer would treat its end as a disconnect of the client.
        std::future::pending::<()>().await;
    }

    async fn write_batch(
        &self,
        state: &ConnectionState,
        writer: &mut OwnedWriteHalf,
        target: &ClientTarget,
        rng: &mut SeededRng,
    ) -> std::io::Result<()> {
        let max_batch = if target.is_busy { MAX_BUSY_BATCH } else { MAX_BATCH };
        let requests: Vec<_> =
            (0..rng.random_range(1..=max_batch)).map(|_| self.draw_request(target, rng)).collect();
        let text: String = requests.iter().map(WireRequest::wire_form).collect();
        for request in &requests {
            let log_index = self.log_request(target, request);
            let pending = PendingRequest { request: *request, log_index, is_complete: false };
            state.pending.borrow_mut().push_back(pending);
        }
        state.pending_changed.notify_one();
        let last_length = requests.last().map_or(0, |request| request.wire_form().len());
        let is_split = !target.is_busy && rng.random_bool(SPLIT_SHARE);
        let first_length = if is_split { text.len() - rng.random_range(1..last_length) } else { text.len() };
        writer.write_all(&text.as_bytes()[..first_length]).await?;
        let complete_count = requests.len() - usize::from(is_split);
        self.on_written(state, &requests[..complete_count]);
        if is_split {
            sleep(Duration::from_millis(rng.random_range(SPLIT_PAUSE_MS))).await;
            writer.write_all(&text.as_bytes()[first_length..]).await?;
            self.on_written(state, &requests[complete_count..]);
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
            time: self.check_config.class(write).deadline,
        }
    }

    /// Logs a request that is about to be sent and returns its index in the log.
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

    /// Marks requests as completely written; their deadlines count from now.
    fn on_written(&self, state: &ConnectionState, written: &[WireRequest]) {
        let now = self.testbed.now();
        let mut requests = state.pending.borrow_mut();
        for pending in requests.iter_mut() {
            if written.iter().any(|request| request.id == pending.request.id) {
                pending.is_complete = true;
                let logged = &mut self.testbed.event_log.borrow_mut().requests[pending.log_index];
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
        let longest_wait = Duration::from_micros(self.check_config.longest_deadline()) + LATE_ANSWER_WAIT;
        loop {
            let first = state.pending.borrow().front().copied();
            let Some(pending) = first else {
                if state.has_stopped_sending.get() {
                    return ReadingEnd::Done;
                }
                tokio::select! {
                    biased;
                    // Checked first, so that received bytes are read as the answer to a request sent meanwhile.
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

    /// Handles the answer to the oldest request. The deadline is no earlier than the previous answer, because the wait for
    /// earlier answers does not count.
    fn on_answer(&self, state: &ConnectionState, result: RequestResult) {
        let Some(pending) = state.pending.borrow_mut().pop_front() else { return };
        let now = self.testbed.now();
        let logged = &mut self.testbed.event_log.borrow_mut().requests[pending.log_index];
        logged.result = result;
        logged.ended_at = Some(now);
        logged.deadline = logged.deadline.max(state.last_answer_at.get());
        state.last_answer_at.set(now);
        state.has_answered.set(true);
        self.testbed.on_request_ended(pending.request.id);
    }

    /// Logs received lines that answer no request as extra lines of the last answered request.
    fn log_extra_lines(&self, state: &ConnectionState, bytes: &[u8]) {
        let lines = bytes.iter().filter(|byte| **byte == b'\n').count() as u32;
        let requests = &mut self.testbed.event_log.borrow_mut().requests;
        let answered_at = state.last_answer_at.get();
        if let Some(last) = requests.iter_mut().rev().find(|request| request.ended_at == Some(answered_at)) {
            last.extra_lines = lines;
        }
    }

    /// Logs the results of completely sent requests that are unanswered at the end of the connection.
    fn log_unanswered(&self, state: &ConnectionState, end: ReadingEnd) {
        let now = self.testbed.now();
        for pending in state.pending.borrow_mut().drain(..) {
            self.testbed.on_request_ended(pending.request.id);
            if !pending.is_complete {
                continue;
            }
            let logged = &mut self.testbed.event_log.borrow_mut().requests[pending.log_index];
            logged.ended_at = Some(now);
            logged.result = match end {
                ReadingEnd::NoAnswer if logged.deadline < now => RequestResult::NoAnswer,
                // The client closed the connection because another request on it had no answer.
                ReadingEnd::NoAnswer | ReadingEnd::Done => RequestResult::ClientLeft,
                ReadingEnd::Closed if state.has_answered.get() => RequestResult::ConnectionClosed,
                ReadingEnd::Closed => RequestResult::ConnectionRejected,
            };
        }
    }
}
