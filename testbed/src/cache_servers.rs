//! Serves the balancers' connections to the cache servers: reads requests, gets the response to each from the platform
//! model, and writes the answers in the order of the requests when they are due. Link faults are applied to these reads
//! and writes.

use std::collections::VecDeque;
use std::rc::Rc;

use bytes::{Bytes, BytesMut};
use juniperladder_platform_model::cache_server::{Answer, LoadReport, Response};
use juniperladder_platform_model::event_log::{Attempt, AttemptResult, Receiver};
use juniperladder_platform_model::links::{LinkEnd, LinkState};
use juniperladder_platform_model::Micros;
use juniperladder_protocols::memcache::{Incoming, RequestReader};
use tokio::io::{AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::sleep_until;

use crate::listeners;
use crate::testbed::{balancer_of, value_of, Testbed};

/// Maximum number of requests in transit or unanswered on one connection; reading pauses at this limit.
const MAX_PIPELINED_REQUESTS: usize = 256;

/// Accepts connections to a server on the listener that the balancers of one listener group share, until the task is
/// aborted. Connections over the server's limit are reset.
pub async fn serve(testbed: Rc<Testbed>, server: usize, listener_group: usize, listener: TcpListener) {
    loop {
        let stream = listeners::accept(&listener).await;
        let open_connections = &testbed.open_connections[server];
        if open_connections.get() >= testbed.experiment.servers.connections {
            listeners::reset_on_close(&stream);
            continue;
        }
        open_connections.set(open_connections.get() + 1);
        let testbed = Rc::clone(&testbed);
        spawn_local(async move {
            ServerConnection::new(Rc::clone(&testbed), server, listener_group).serve(stream).await;
            let open_connections = &testbed.open_connections[server];
            open_connections.set(open_connections.get() - 1);
        });
    }
}

/// A request in transit to the server.
struct InboundRequest {
    /// Time of arrival at the server.
    arrives_at: Micros,
    /// Time at which the first byte of the request was read from the socket.
    first_byte_at: Micros,
    id: u64,
    key: u64,
    write: bool,
}

/// An answer that the server has yet to send, or that is in transit to the balancer.
struct OutboundAnswer {
    /// Time at which the answer is written to the connection, its transit time included.
    due_at: Micros,
    line: Vec<u8>,
    /// Index of the attempt in the event log; `None` if the answer belongs to no attempt.
    attempt: Option<usize>,
}

/// A balancer's connection to a cache server.
struct ServerConnection {
    testbed: Rc<Testbed>,
    server: usize,
    balancer: LinkEnd,
    /// Incarnation of the server's machine when the connection was accepted.
    incarnation: u32,
    /// Requests in transit, in order of arrival.
    inbound: VecDeque<InboundRequest>,
    /// Answers that are not yet written, in the order of their requests.
    outbound: VecDeque<OutboundAnswer>,
    /// Whether any received bytes were corrupted; from then on every attempt on the connection counts as corrupted.
    corrupted: bool,
    /// Arrival time of the first byte of a request that is still incomplete.
    first_byte_at: Option<Micros>,
}

/// The reason for which a connection ends.
enum ConnectionEnd {
    /// The balancer has closed the connection.
    Closed,
    /// The connection is reset by a fault of the link or the machine.
    Reset,
}

impl ServerConnection {
    fn new(testbed: Rc<Testbed>, server: usize, listener_group: usize) -> ServerConnection {
        ServerConnection {
            balancer: LinkEnd::Balancer(testbed.listener_group_members[listener_group]),
            incarnation: testbed.incarnations[server].get(),
            testbed,
            server,
            inbound: VecDeque::new(),
            outbound: VecDeque::new(),
            corrupted: false,
            first_byte_at: None,
        }
    }

    async fn serve(mut self, mut stream: TcpStream) {
        // Without this, a delayed acknowledgement would count as latency of the server.
        let _ = stream.set_nodelay(true);
        if let Err(ConnectionEnd::Reset) = self.exchange(&mut stream).await {
            listeners::reset_on_close(&stream);
        }
        self.log_undelivered();
    }

    /// Logs requests as undelivered if the link is cut when the connection closes: they were sent and never arrived.
    /// Requests in transit over an uncut link were cancelled by the balancer and are no sign of a failed server.
    fn log_undelivered(&mut self) {
        if !self.link_to_server().cut {
            return;
        }
        for request in std::mem::take(&mut self.inbound) {
            let attempt = self.new_attempt(&request, request.arrives_at, AttemptResult::NoAnswer, false);
            self.testbed.event_log.borrow_mut().undelivered.push(attempt);
        }
    }

    fn link_to_server(&self) -> LinkState {
        self.testbed.link_state(self.balancer, LinkEnd::CacheServer(self.server))
    }

    fn link_to_balancer(&self) -> LinkState {
        self.testbed.link_state(LinkEnd::CacheServer(self.server), self.balancer)
    }

    fn is_reset(&self) -> bool {
        let is_earlier_incarnation = self.testbed.incarnations[self.server].get() != self.incarnation;
        is_earlier_incarnation || self.link_to_server().reset || self.link_to_balancer().reset
    }

    /// Reads requests and writes answers until the connection ends.
    async fn exchange(&mut self, stream: &mut TcpStream) -> Result<(), ConnectionEnd> {
        let mut changes = self.testbed.changes.subscribe();
        let mut requests = RequestReader::default();
        let mut input = BytesMut::new();
        let (mut reader, mut writer) = stream.split();
        loop {
            if self.is_reset() {
                return Err(ConnectionEnd::Reset);
            }
            let now = self.testbed.now();
            self.deliver_arrived(now);
            self.write_due_answers(now, &mut writer).await?;
            let due = self.next_due();
            let has_capacity = self.inbound.len() + self.outbound.len() < MAX_PIPELINED_REQUESTS;
            tokio::select! {
                read = reader.read_buf(&mut input), if has_capacity => {
                    if read.map_err(|_| ConnectionEnd::Closed)? == 0 {
                        return Err(ConnectionEnd::Closed);
                    }
                    self.on_input(&mut requests, &mut input);
                }
                () = sleep_until(self.testbed.instant(due.unwrap_or(0))), if due.is_some() => {}
                _ = changes.changed() => {}
            }
        }
    }

    /// Passes the requests that have arrived by now to the server.
    fn deliver_arrived(&mut self, now: Micros) {
        if self.link_to_server().cut {
            return;
        }
        while self.inbound.front().is_some_and(|request| request.arrives_at <= now) {
            if let Some(request) = self.inbound.pop_front() {
                self.on_request(&request, now);
            }
        }
    }

    /// Writes the answers that are due by now.
    async fn write_due_answers(
        &mut self,
        now: Micros,
        writer: &mut (impl AsyncWrite + Unpin),
    ) -> Result<(), ConnectionEnd> {
        let link = self.link_to_balancer();
        while !link.cut && self.outbound.front().is_some_and(|answer| answer.due_at <= now) {
            let Some(mut answer) = self.outbound.pop_front() else { break };
            let corrupted = self.testbed.draw_fault(link.corrupted_share);
            if corrupted {
                self.testbed.corrupt(&mut answer.line);
            }
            if let Some(log_index) = answer.attempt {
                let attempt = &mut self.testbed.event_log.borrow_mut().attempts[log_index];
                attempt.answered_at = Some(now);
                attempt.corrupted |= corrupted;
            }
            writer.write_all(&answer.line).await.map_err(|_| ConnectionEnd::Closed)?;
        }
        Ok(())
    }

    /// Time at which the next request arrives or the next answer is due.
    fn next_due(&self) -> Option<Micros> {
        let arrival = self.inbound.front().filter(|_| !self.link_to_server().cut);
        let answer = self.outbound.front().filter(|_| !self.link_to_balancer().cut);
        let arrives_at = arrival.map(|request| request.arrives_at);
        arrives_at.into_iter().chain(answer.map(|answer| answer.due_at)).min()
    }

    /// Parses received bytes and puts each complete request in transit.
    fn on_input(&mut self, requests: &mut RequestReader, input: &mut BytesMut) {
        if self.testbed.draw_fault(self.link_to_server().corrupted_share) {
            self.testbed.corrupt(input);
            self.corrupted = true;
        }
        let now = self.testbed.now();
        loop {
            let first_byte_at = *self.first_byte_at.get_or_insert(now);
            let Some(incoming) = requests.next(input) else { break };
            self.first_byte_at = None;
            match incoming {
                Incoming::Request { request, .. } => match id_and_key(&request.id, &request.properties) {
                    Some((id, key)) => {
                        let write = request.value.is_some();
                        self.put_in_transit(InboundRequest {
                            arrives_at: now,
                            first_byte_at,
                            id,
                            key,
                            write,
                        });
                    }
                    None => self.send_answer(now, "CLIENT_ERROR no client sent this\r\n".into(), None),
                },
                Incoming::ReadinessCheck => self.send_answer(now, "MN\r\n".into(), None),
                Incoming::Malformed(line) | Incoming::Unrecoverable(line) => {
                    self.send_answer(now, format!("{line}\r\n"), None);
                }
                Incoming::Upload { .. } | Incoming::UploadChunk { .. } | Incoming::Quit => {}
            }
        }
        if input.is_empty() && !requests.has_incomplete_request() {
            self.first_byte_at = None;
        }
    }

    /// Puts a request in transit to the server. The caller sets `arrives_at` to the send time; this function adds the
    /// transit time. Requests arrive in the order in which they were sent.
    fn put_in_transit(&mut self, mut request: InboundRequest) {
        let link = self.link_to_server();
        let server = LinkEnd::CacheServer(self.server);
        request.arrives_at += self.testbed.draw_transit_time(self.balancer, server, &link);
        let last_arrival = self.inbound.back().map_or(0, |last| last.arrives_at);
        request.arrives_at = request.arrives_at.max(last_arrival);
        self.inbound.push_back(request);
    }

    fn new_attempt(
        &self,
        request: &InboundRequest,
        received_at: Micros,
        result: AttemptResult,
        in_slow_start: bool,
    ) -> Attempt {
        Attempt {
            id: request.id,
            balancer: balancer_of(request.id) as u32,
            receiver: Receiver::CacheServer(self.server as u32),
            first_byte_at: request.first_byte_at,
            received_at,
            answered_at: None,
            result,
            in_slow_start,
            corrupted: self.corrupted,
        }
    }

    /// Handles a request that has arrived at the server.
    fn on_request(&mut self, request: &InboundRequest, now: Micros) {
        if self.testbed.silent[self.server].get() {
            let attempt = self.new_attempt(request, now, AttemptResult::NoAnswer, false);
            self.testbed.log_attempt(attempt);
            return;
        }
        let (response, load) = self.ask_model(request, now);
        // Only the origin executes writes; a cache server answers each write as failed.
        let answer = if request.write { Answer::Failed } else { response.answer };
        if let Answer::Miss { .. } = answer {
            self.testbed.on_miss(request.id, self.server, response.in_slow_start);
        }
        let (result, line) = answer_line(answer, request, &load);
        let attempt = self.new_attempt(request, now, result, response.in_slow_start);
        let log_index = self.testbed.log_attempt(attempt);
        self.send_answer(response.at, line, Some(log_index));
    }

    /// Gets the model's response to a request and the load report that is sent with the answer; logs a collapse of the
    /// server.
    fn ask_model(&self, request: &InboundRequest, now: Micros) -> (Response, LoadReport) {
        let testbed = &self.testbed;
        let mut server = testbed.servers[self.server].borrow_mut();
        let had_collapsed = server.has_collapsed();
        let response = server.on_request(now, request.key, &mut testbed.machine_rng());
        if server.has_collapsed() && !had_collapsed {
            testbed.event_log.borrow_mut().server_collapses.push((self.server as u32, now));
        }
        let load = server.load_report(now, &mut testbed.machine_rng());
        (response, load)
    }

    /// Puts an answer in transit; the server sends it at time `at`. Answers keep the order of their requests.
    fn send_answer(&mut self, at: Micros, line: String, attempt: Option<usize>) {
        let link = self.link_to_balancer();
        let server = LinkEnd::CacheServer(self.server);
        let due_at = at + self.testbed.draw_transit_time(server, self.balancer, &link);
        let last_answer = self.outbound.back().map_or(0, |last| last.due_at);
        let due_at = due_at.max(last_answer);
        self.outbound.push_back(OutboundAnswer { due_at, line: line.into_bytes(), attempt });
    }
}

/// Parses the id of a request and the number of its key, which the testbed's clients send as property `q`; `None` if
/// either is missing or malformed.
fn id_and_key(id: &Bytes, properties: &[(Bytes, Bytes)]) -> Option<(u64, u64)> {
    let id = u64::from_str_radix(std::str::from_utf8(id).ok()?, 16).ok()?;
    let (_, key) = properties.iter().find(|(name, _)| name.as_ref() == b"q")?;
    let key = std::str::from_utf8(key).ok()?.parse().ok()?;
    Some((id, key))
}

/// The result of an attempt with this answer, and the answer in its wire form.
fn answer_line(answer: Answer, request: &InboundRequest, load: &LoadReport) -> (AttemptResult, String) {
    let id = request.id;
    let load = format!(" Lserved_ps={:.1},pending={:.1}", load.completing_within_1_s, load.waiting);
    match answer {
        Answer::Hit => {
            let value = value_of(id, request.key);
            let line = format!("VA {} O{id:016x} h1{load}\r\n{value}\r\n", value.len());
            (AttemptResult::Served, line)
        }
        Answer::Miss { fetching } => {
            let flag = if fetching { " Z" } else { "" };
            (AttemptResult::Miss, format!("EN O{id:016x} h0{flag}{load}\r\n"))
        }
        Answer::Rejected => (AttemptResult::Rejected, format!("SERVER_ERROR busy{load}\r\n")),
        Answer::Failed => (AttemptResult::Failed, format!("SERVER_ERROR failed{load}\r\n")),
    }
}
