//! Cache servers and an origin that are slow, silent, gone or wrong, by draw.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::BytesMut;
use fastrand::Rng;
use juniperladder::{Endpoint, EndpointState, Micros, ServerId};
use tokio::io::{duplex, AsyncReadExt, AsyncWriteExt, DuplexStream};
use tokio::task::spawn_local;
use tokio::time::{sleep, sleep_until, timeout_at, Instant};

use super::Ledger;
use crate::connect::{Connecting, Connector, ServerStream};
use crate::dispatcher::ListedServer;
use crate::memcache::{Incoming, RequestReader};
use crate::testing::ORIGIN;

/// The origin, at the first, and cache servers.
pub const PLACES: usize = 6;

/// What a server does with a request, or a connection on its way, and how often in a hundred, beside what is right.
pub const DEEDS: [(&str, u8); 15] = [
    ("misses", 25),
    ("busy", 4),
    ("fails", 4),
    ("silent", 9),
    ("slow", 6),
    ("resets", 4),
    ("spoils", 5),
    ("answers another", 3),
    ("answers twice", 4),
    ("never ends", 1),
    ("stops short", 3),
    ("comes in pieces", 4),
    ("up late", 9),
    ("refused", 4),
    ("never up", 3),
];

/// One of the first twelve, or nothing wrong.
fn deed(rng: &mut Rng) -> &'static str {
    let mut draw = rng.u8(..100);
    for (what, often) in &DEEDS[..12] {
        if draw < *often {
            return what;
        }
        draw -= often;
    }
    ""
}

/// When a life of a server was told to drain or to end.
type Told = Rc<Cell<Option<Instant>>>;

struct Place {
    life: u64,
    state: EndpointState,
    told: Told,
}

/// All servers.
pub struct Servers {
    places: RefCell<Vec<Place>>,
    rng: RefCell<Rng>,
    ledger: Rc<Ledger>,
}

impl Servers {
    pub fn new(rng: Rng, ledger: Rc<Ledger>) -> Servers {
        let place = |_| Place { life: 1, state: EndpointState::Serving, told: Rc::default() };
        Servers { places: RefCell::new((0..PLACES).map(place).collect()), rng: RefCell::new(rng), ledger }
    }

    fn listed_server(&self, place: usize) -> ListedServer {
        let Place { life, state, .. } = &self.places.borrow()[place];
        let endpoint = Endpoint {
            server: ServerId(place as u64 * 1000 + life),
            zone: place as u32 % 2,
            kind: if place == 0 { ORIGIN } else { 0 },
            cell: 0,
            state: *state,
            weight: 1.0,
            started: Micros(0),
        };
        ListedServer { endpoint, address: Some(([127, 0, 0, 1], place as u16 + 1).into()) }
    }

    pub fn listed(&self) -> Vec<ListedServer> {
        (0..PLACES).map(|place| self.listed_server(place)).collect()
    }

    /// The next thing that happens to the server at this place, as discovery tells it: it drains, it ends, and another starts
    /// at its address.
    pub fn turn(&self, place: usize) -> ListedServer {
        if let Some(place) = self.places.borrow_mut().get_mut(place) {
            place.state = match place.state {
                EndpointState::Serving => EndpointState::Draining,
                EndpointState::Draining => EndpointState::Deleted,
                EndpointState::Deleted => EndpointState::Serving,
            };
            if place.state == EndpointState::Serving {
                (place.life, place.told) = (place.life + 1, Rc::default());
            } else {
                place.told.set(place.told.get().or(Some(Instant::now())));
            }
        }
        self.listed_server(place)
    }
}

impl Connector for Servers {
    fn connect(&self, address: SocketAddr) -> Connecting {
        let place = usize::from(address.port()) - 1;
        let mut rng = self.rng.borrow_mut().fork();
        let (ledger, told) = (Rc::clone(&self.ledger), Rc::clone(&self.places.borrow()[place].told));
        Box::pin(async move {
            match rng.u8(..100) {
                0..9 => {
                    ledger.met("up late");
                    sleep(Duration::from_millis(rng.u64(1..300))).await;
                }
                9..13 => {
                    ledger.met("refused");
                    return Err(std::io::ErrorKind::ConnectionRefused.into());
                }
                13..16 => {
                    ledger.met("never up");
                    std::future::pending().await
                }
                _ => {}
            }
            let (near, far) = duplex(rng.usize(16..4096));
            let peer = Peer {
                origin: place == 0,
                told,
                ledger,
                rng,
                far,
                input: BytesMut::new(),
                came: Instant::now(),
            };
            spawn_local(peer.serve());
            Ok(Box::new(near) as Box<dyn ServerStream>)
        })
    }
}

/// What a server got: the request's id, and whether it writes.
struct Got(String, bool);

/// The server's side of one connection.
struct Peer {
    origin: bool,
    told: Told,
    ledger: Rc<Ledger>,
    rng: Rng,
    far: DuplexStream,
    input: BytesMut,
    /// When something came last.
    came: Instant,
}

impl Peer {
    async fn serve(mut self) {
        while let Some(Got(id, write)) = self.next().await {
            let may_have_run = self.ledger.arrives(&id, self.came);
            let what = deed(&mut self.rng);
            self.ledger.met(what);
            let answer = match what {
                "misses" if !self.origin => {
                    may_have_run.set(false);
                    format!("EN O{id} h0\r\n").into_bytes()
                }
                "busy" => {
                    may_have_run.set(false);
                    self.wrong("SERVER_ERROR busy\r\n", "503 No\r\nX-Never-Ran: 1")
                }
                "fails" => self.wrong("SERVER_ERROR failed\r\n", "500 No"),
                "silent" => std::future::pending().await,
                "resets" => return,
                "spoils" => self.spoilt(&id, write),
                "answers another" => self.good("ffff", write),
                _ => self.good(&id, write),
            };
            sleep(Duration::from_millis(self.rng.u64(1..20))).await;
            let told = match what {
                "slow" => {
                    sleep(Duration::from_millis(self.rng.u64(20..1200))).await;
                    self.far.write_all(&answer).await
                }
                "stops short" => {
                    let _ = self.far.write_all(&answer[..answer.len() / 2]).await;
                    return;
                }
                "comes in pieces" => self.in_pieces(&answer).await,
                "answers twice" => {
                    let first = self.far.write_all(&answer).await;
                    // The next request may begin to come before the second.
                    let until = Instant::now() + Duration::from_millis(self.rng.u64(..20));
                    while let Ok(Some(())) = timeout_at(until, self.read(false)).await {}
                    sleep_until(until).await;
                    first.and(self.far.write_all(&answer).await)
                }
                "never ends" => {
                    while self.far.write_all(&[b'x'; 512]).await.is_ok() {
                        sleep(Duration::from_millis(1)).await;
                    }
                    return;
                }
                _ => self.far.write_all(&answer).await,
            };
            if told.is_err() {
                return;
            }
        }
    }

    async fn in_pieces(&mut self, answer: &[u8]) -> std::io::Result<()> {
        for piece in answer.chunks(7) {
            sleep(Duration::from_millis(self.rng.u64(..4))).await;
            self.far.write_all(piece).await?;
        }
        Ok(())
    }

    /// An answer in this server's own protocol.
    fn wrong(&self, meta: &str, status: &str) -> Vec<u8> {
        if self.origin {
            return format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n").into_bytes();
        }
        meta.as_bytes().to_vec()
    }

    /// What is right: a value that says whose it is, or a receipt.
    fn good(&self, id: &str, write: bool) -> Vec<u8> {
        let body = if write { format!("r-{id}") } else { format!("v-{id}\r\nHD O{id}") };
        match (self.origin, write) {
            (true, _) => {
                let head = format!("HTTP/1.1 200 OK\r\nX-Trace-Id: {id}\r\nContent-Length: {}", body.len());
                format!("{head}\r\n\r\n{body}").into_bytes()
            }
            (_, true) => format!("HD O{id} c{body}\r\n").into_bytes(),
            (_, false) => format!("VA {} O{id} h1\r\n{body}\r\n", body.len()).into_bytes(),
        }
    }

    /// What can be told to be wrong.
    fn spoilt(&mut self, id: &str, write: bool) -> Vec<u8> {
        let good = self.good(id, write);
        match (self.origin, write, self.rng.bool()) {
            (true, true, true) => {
                b"HTTP/1.1 200 OK\r\nContent-Length: 15\r\n\r\nr1\r\nHD O1 cr\r\nx".to_vec()
            }
            (true, ..) => [&b"HTTP/1.1 abc\r\n"[..], &good].concat(),
            (false, _, true) => b"VA 3000000000 O1\r\n".to_vec(),
            (false, _, false) => format!("VA 1 O{id}\r\nab\r\n").into_bytes(),
        }
    }

    /// The next request; none once the balancer has let go of the connection.
    async fn next(&mut self) -> Option<Got> {
        let mut requests = RequestReader::default();
        loop {
            if let Some(got) = self.take(&mut requests) {
                return Some(got);
            }
            self.read(requests.has_incomplete_request()).await?;
        }
    }

    async fn read(&mut self, unfinished: bool) -> Option<()> {
        let fresh = self.input.is_empty() && !unfinished;
        if self.far.read_buf(&mut self.input).await.ok()? == 0 {
            return None;
        }
        self.came = Instant::now();
        if fresh && self.told.get().is_some_and(|told| told < Instant::now()) {
            self.ledger.broken("-", "a first byte to a host after its end was told");
        }
        Some(())
    }

    fn take(&mut self, requests: &mut RequestReader) -> Option<Got> {
        if !self.origin {
            return match requests.next(&mut self.input)? {
                Incoming::Request { request, .. } => {
                    let id = String::from_utf8_lossy(&request.id).into_owned();
                    Some(Got(id, request.value.is_some()))
                }
                other => {
                    self.ledger.broken("-", format!("a host got {other:?}"));
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
        let got = Got(field("X-Trace-Id: ")?.to_owned(), head.starts_with("PUT"));
        let whole = head.len() + 4 + length;
        let _ = self.input.split_to(whole);
        Some(got)
    }
}
