//! Simulated cache servers and an origin that are slow, silent, unreachable or faulty at random.

use std::cell::{Cell, RefCell};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::BytesMut;
use fastrand::Rng;
use juniperladder::{Endpoint, EndpointState, Micros, ServerId};
use tokio::io::{duplex, AsyncReadExt, AsyncWriteExt, DuplexStream};
use tokio::task::spawn_local;
use tokio::time::{sleep, sleep_until, timeout_at, Instant};

use super::{EventLog, Occurrence};
use crate::connect::{ConnectFuture, Connector, ServerStream};
use crate::dispatcher::ListedServer;
use crate::memcache::{Incoming, RequestReader};
use crate::testing::ORIGIN;

/// The number of servers: the origin, which is the first, and cache servers.
pub const SERVER_COUNT: usize = 6;

/// What a server does with a request, or with a new connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Behaviour {
    /// Answers correctly.
    Correct,
    /// Answers that it lacks the key; the origin never does.
    Miss,
    Busy,
    Fail,
    Silent,
    Slow,
    Reset,
    Malformed,
    /// Answers with another request's id.
    OtherRequest,
    /// Sends the answer again a little later.
    AnswerTwice,
    /// Rejects the request, and sends the rejection again a little later.
    BusyTwice,
    /// Sends an endless answer.
    EndlessAnswer,
    /// Closes in the middle of the answer.
    TruncatedAnswer,
    AnswerInPieces,
    ConnectLate,
    ConnectRefused,
    ConnectNever,
}

/// The behaviours on a request other than the correct one, with their probabilities in percent.
pub const REQUEST_BEHAVIOURS: [(Behaviour, u8); 13] = [
    (Behaviour::Miss, 25),
    (Behaviour::Busy, 4),
    (Behaviour::Fail, 4),
    (Behaviour::Silent, 9),
    (Behaviour::Slow, 6),
    (Behaviour::Reset, 4),
    (Behaviour::Malformed, 5),
    (Behaviour::OtherRequest, 3),
    (Behaviour::AnswerTwice, 4),
    (Behaviour::BusyTwice, 2),
    (Behaviour::EndlessAnswer, 1),
    (Behaviour::TruncatedAnswer, 3),
    (Behaviour::AnswerInPieces, 4),
];

/// The behaviours on a new connection other than the correct one; [`Servers::connect`] draws them.
pub const CONNECT_BEHAVIOURS: [Behaviour; 3] =
    [Behaviour::ConnectLate, Behaviour::ConnectRefused, Behaviour::ConnectNever];

/// Draws what a server does with a request.
fn draw_behaviour(rng: &mut Rng) -> Behaviour {
    let mut draw = rng.u8(..100);
    for (behaviour, percent) in REQUEST_BEHAVIOURS {
        if draw < percent {
            return behaviour;
        }
        draw -= percent;
    }
    Behaviour::Correct
}

/// When the balancer was notified that an incarnation of a server drains or has ended.
type NotifiedAt = Rc<Cell<Option<Instant>>>;

/// The server at one address.
struct ServerSlot {
    incarnation: u64,
    state: EndpointState,
    notified_at: NotifiedAt,
}

/// All servers.
pub struct Servers {
    slots: RefCell<Vec<ServerSlot>>,
    rng: RefCell<Rng>,
    event_log: Rc<EventLog>,
}

impl Servers {
    pub fn new(rng: Rng, event_log: Rc<EventLog>) -> Servers {
        let slot =
            |_| ServerSlot { incarnation: 1, state: EndpointState::Serving, notified_at: Rc::default() };
        Servers {
            slots: RefCell::new((0..SERVER_COUNT).map(slot).collect()),
            rng: RefCell::new(rng),
            event_log,
        }
    }

    fn listed_server(&self, slot: usize) -> ListedServer {
        let ServerSlot { incarnation, state, .. } = &self.slots.borrow()[slot];
        let endpoint = Endpoint {
            server: ServerId(slot as u64 * 1000 + incarnation),
            zone: slot as u32 % 2,
            kind: if slot == 0 { ORIGIN } else { 0 },
            cell: 0,
            state: *state,
            weight: 1.0,
            started: Micros(0),
        };
        ListedServer { endpoint, address: Some(([127, 0, 0, 1], slot as u16 + 1).into()) }
    }

    pub fn listed_servers(&self) -> Vec<ListedServer> {
        (0..SERVER_COUNT).map(|slot| self.listed_server(slot)).collect()
    }

    /// Advances the server in this slot to its next state, as discovery reports it: the server drains, ends,
    /// and another starts at its address.
    pub fn next_state(&self, slot: usize) -> ListedServer {
        if let Some(slot) = self.slots.borrow_mut().get_mut(slot) {
            slot.state = match slot.state {
                EndpointState::Serving => EndpointState::Draining,
                EndpointState::Draining => EndpointState::Deleted,
                EndpointState::Deleted => EndpointState::Serving,
            };
            if slot.state == EndpointState::Serving {
                (slot.incarnation, slot.notified_at) = (slot.incarnation + 1, Rc::default());
            } else {
                slot.notified_at.set(slot.notified_at.get().or(Some(Instant::now())));
            }
        }
        self.listed_server(slot)
    }
}

impl Connector for Servers {
    fn connect(&self, address: SocketAddr) -> ConnectFuture {
        let slot = usize::from(address.port()) - 1;
        let mut rng = self.rng.borrow_mut().fork();
        let (event_log, notified_at) =
            (Rc::clone(&self.event_log), Rc::clone(&self.slots.borrow()[slot].notified_at));
        Box::pin(async move {
            match rng.u8(..100) {
                0..9 => {
                    event_log.count(Occurrence::Server(Behaviour::ConnectLate));
                    sleep(Duration::from_millis(rng.u64(1..300))).await;
                }
                9..13 => {
                    event_log.count(Occurrence::Server(Behaviour::ConnectRefused));
                    return Err(ErrorKind::ConnectionRefused.into());
                }
                13..16 => {
                    event_log.count(Occurrence::Server(Behaviour::ConnectNever));
                    std::future::pending().await
                }
                _ => {}
            }
            let (balancer_end, stream) = duplex(rng.usize(16..4096));
            let connection = ServerConnection {
                is_origin: slot == 0,
                notified_at,
                event_log,
                rng,
                stream,
                input: BytesMut::new(),
                last_received: Instant::now(),
            };
            spawn_local(connection.serve());
            Ok(Box::new(balancer_end) as Box<dyn ServerStream>)
        })
    }
}

/// A request that a server received.
struct ReceivedRequest {
    id: String,
    is_write: bool,
}

/// The server's side of one connection.
struct ServerConnection {
    is_origin: bool,
    notified_at: NotifiedAt,
    event_log: Rc<EventLog>,
    rng: Rng,
    stream: DuplexStream,
    input: BytesMut,
    /// When bytes were last received.
    last_received: Instant,
}

impl ServerConnection {
    async fn serve(mut self) {
        while let Some(ReceivedRequest { id, is_write }) = self.next().await {
            let may_have_been_executed = self.event_log.on_request_arrived(&id, self.last_received);
            let behaviour = draw_behaviour(&mut self.rng);
            self.event_log.count(Occurrence::Server(behaviour));
            if matches!(behaviour, Behaviour::Busy | Behaviour::BusyTwice) || self.misses(behaviour) {
                may_have_been_executed.set(false);
            }
            let Some(answer) = self.answer(behaviour, &id, is_write).await else { return };
            sleep(Duration::from_millis(self.rng.u64(1..20))).await;
            if self.write_answer(behaviour, &answer).await.is_err() {
                return;
            }
        }
    }

    fn misses(&self, behaviour: Behaviour) -> bool {
        behaviour == Behaviour::Miss && !self.is_origin
    }

    /// The answer to a request; `None` if the connection closes without one.
    async fn answer(&mut self, behaviour: Behaviour, id: &str, is_write: bool) -> Option<Vec<u8>> {
        Some(match behaviour {
            Behaviour::Miss if !self.is_origin => format!("EN O{id} h0\r\n").into_bytes(),
            Behaviour::Busy | Behaviour::BusyTwice => {
                self.error_response("SERVER_ERROR busy\r\n", "503 No\r\nX-Never-Ran: 1")
            }
            Behaviour::Fail => self.error_response("SERVER_ERROR failed\r\n", "500 No"),
            Behaviour::Silent => std::future::pending().await,
            Behaviour::Reset => return None,
            Behaviour::Malformed => self.malformed_response(id, is_write),
            Behaviour::OtherRequest => self.response_to_other_request(is_write),
            _ => self.well_formed_response(id, is_write),
        })
    }

    /// Writes an answer; an error ends the connection.
    async fn write_answer(&mut self, behaviour: Behaviour, answer: &[u8]) -> std::io::Result<()> {
        match behaviour {
            Behaviour::Slow => {
                sleep(Duration::from_millis(self.rng.u64(20..1200))).await;
                self.stream.write_all(answer).await
            }
            Behaviour::TruncatedAnswer => {
                let _ = self.stream.write_all(&answer[..answer.len() / 2]).await;
                Err(ErrorKind::UnexpectedEof.into())
            }
            Behaviour::AnswerInPieces => self.write_in_pieces(answer).await,
            Behaviour::AnswerTwice | Behaviour::BusyTwice => {
                let first = self.stream.write_all(answer).await;
                // The next request may begin to arrive before the second answer is sent.
                let second_at = Instant::now() + Duration::from_millis(self.rng.u64(..20));
                while let Ok(Some(())) = timeout_at(second_at, self.read(false)).await {}
                sleep_until(second_at).await;
                first.and(self.stream.write_all(answer).await)
            }
            Behaviour::EndlessAnswer => loop {
                self.stream.write_all(&[b'x'; 512]).await?;
                sleep(Duration::from_millis(1)).await;
            },
            _ => self.stream.write_all(answer).await,
        }
    }

    async fn write_in_pieces(&mut self, answer: &[u8]) -> std::io::Result<()> {
        for piece in answer.chunks(7) {
            sleep(Duration::from_millis(self.rng.u64(..4))).await;
            self.stream.write_all(piece).await?;
        }
        Ok(())
    }

    /// An answer without a value, in the protocol of this server.
    fn error_response(&self, meta_answer: &str, http_status: &str) -> Vec<u8> {
        if self.is_origin {
            return format!("HTTP/1.1 {http_status}\r\nContent-Length: 0\r\n\r\n").into_bytes();
        }
        meta_answer.as_bytes().to_vec()
    }

    /// A well-formed answer that names another request.
    fn response_to_other_request(&self, is_write: bool) -> Vec<u8> {
        const OTHER_ID: &str = "ffff";
        if self.is_origin {
            return origin_response(&format!("X-Trace-Id: {OTHER_ID}\r\n"), &body(OTHER_ID, is_write));
        }
        self.well_formed_response(OTHER_ID, is_write)
    }

    /// The correct answer: a value that contains the request's id, or a receipt. Only a cache server's names the
    /// request in its head.
    fn well_formed_response(&self, id: &str, is_write: bool) -> Vec<u8> {
        let body = body(id, is_write);
        match (self.is_origin, is_write) {
            (true, _) => origin_response("", &body),
            (_, true) => format!("HD O{id} c{body}\r\n").into_bytes(),
            (_, false) => format!("VA {} O{id} h1\r\n{body}\r\n", body.len()).into_bytes(),
        }
    }

    /// An answer that is malformed in a way that the balancer can see.
    fn malformed_response(&mut self, id: &str, is_write: bool) -> Vec<u8> {
        let well_formed_response = self.well_formed_response(id, is_write);
        match (self.is_origin, is_write, self.rng.bool()) {
            (true, true, true) => {
                b"HTTP/1.1 200 OK\r\nContent-Length: 15\r\n\r\nr1\r\nHD O1 cr\r\nx".to_vec()
            }
            (true, ..) => [&b"HTTP/1.1 abc\r\n"[..], &well_formed_response].concat(),
            (false, _, true) => b"VA 3000000000 O1\r\n".to_vec(),
            (false, _, false) => format!("VA 1 O{id}\r\nab\r\n").into_bytes(),
        }
    }

    /// The next request; `None` once the balancer has closed the connection.
    async fn next(&mut self) -> Option<ReceivedRequest> {
        let mut requests = RequestReader::default();
        loop {
            if let Some(request) = self.take_request(&mut requests) {
                return Some(request);
            }
            self.read(requests.has_incomplete_request()).await?;
        }
    }

    /// Reads more input; `None` once the balancer has closed the connection. The first byte of a request is a
    /// violation if the balancer was notified of the server's end before.
    async fn read(&mut self, has_incomplete_request: bool) -> Option<()> {
        let is_first_byte = self.input.is_empty() && !has_incomplete_request;
        if self.stream.read_buf(&mut self.input).await.ok()? == 0 {
            return None;
        }
        self.last_received = Instant::now();
        if is_first_byte && self.notified_at.get().is_some_and(|notified_at| notified_at < Instant::now()) {
            self.event_log.record_violation(
                "-",
                "the first byte of a request to a server after the balancer was notified of its end",
            );
        }
        Some(())
    }

    fn take_request(&mut self, requests: &mut RequestReader) -> Option<ReceivedRequest> {
        if !self.is_origin {
            return match requests.next(&mut self.input)? {
                Incoming::Request { request, .. } => {
                    let id = String::from_utf8_lossy(&request.id).into_owned();
                    Some(ReceivedRequest { id, is_write: request.value.is_some() })
                }
                other => {
                    self.event_log
                        .record_violation("-", format!("a server received an invalid request: {other:?}"));
                    None
                }
            };
        }
        let text = String::from_utf8_lossy(&self.input).into_owned();
        let (head, body) = text.split_once("\r\n\r\n")?;
        let field = |name: &str| head.lines().find_map(|line| line.strip_prefix(name));
        let length = field("Content-Length: ").map_or(0, |length| length.parse().unwrap_or(0));
        if body.len() < length {
            return None;
        }
        let id = field("X-Trace-Id: ")?.to_owned();
        let is_write = head.starts_with("PUT");
        let total = head.len() + b"\r\n\r\n".len() + length;
        let _ = self.input.split_to(total);
        Some(ReceivedRequest { id, is_write })
    }
}

/// The value or the receipt for a request.
fn body(id: &str, is_write: bool) -> String {
    if is_write {
        format!("r-{id}")
    } else {
        format!("v-{id}\r\nHD O{id}")
    }
}

/// An answer of the origin with these further headers.
fn origin_response(headers: &str, body: &str) -> Vec<u8> {
    format!("HTTP/1.1 200 OK\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len()).into_bytes()
}
