//! The cache servers' side of their sockets: reads requests, asks the model what becomes of each, writes the answers in
//! order and in time. Link faults are applied here, where the stand-in reads and writes.

use std::collections::VecDeque;
use std::rc::Rc;

use bytes::BytesMut;
use juniperladder_platform_model::cache_server::Answer;
use juniperladder_platform_model::event_log::{Attempt, AttemptResult, Receiver};
use juniperladder_platform_model::links::LinkEnd;
use juniperladder_platform_model::Micros;
use juniperladder_protocols::memcache::{Incoming, RequestReader};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::sleep_until;

use crate::doors::{next, reset};
use crate::rig::{balancer_of, value_of, Rig};

/// What one connection may have sent and not got answered before it is read no further.
const WAITING: usize = 256;

/// Lets balancers of one side in at a server's door until the listener's task is aborted.
pub async fn accept(rig: Rc<Rig>, server: usize, side: usize, listener: TcpListener) {
    loop {
        let stream = next(&listener).await;
        let open = &rig.connections[server];
        if open.get() >= rig.experiment.servers.connections {
            reset(&stream);
            continue;
        }
        open.set(open.get() + 1);
        let rig = Rc::clone(&rig);
        spawn_local(async move {
            ServerConnection::new(Rc::clone(&rig), server, side).serve(stream).await;
            rig.connections[server].set(rig.connections[server].get() - 1);
        });
    }
}

/// A request that is on its way to the server.
struct Coming {
    due: Micros,
    first_byte_at: Micros,
    id: u64,
    key: u64,
    write: bool,
}

/// An answer that is on its way back.
struct Going {
    due: Micros,
    line: Vec<u8>,
    attempt: Option<usize>,
}

/// One connection.
struct ServerConnection {
    rig: Rc<Rig>,
    server: usize,
    balancer: LinkEnd,
    life: u32,
    coming: VecDeque<Coming>,
    going: VecDeque<Going>,
    /// Whether something that came on it was spoilt: from then on nothing on it is sure.
    corrupted: bool,
    /// When the first byte of what is not yet a whole request came.
    first_byte_at: Option<Micros>,
}

/// Why a connection ends.
enum Over {
    /// The balancer has closed it.
    Closed,
    /// It is reset.
    Reset,
}

impl ServerConnection {
    fn new(rig: Rc<Rig>, server: usize, side: usize) -> ServerConnection {
        let balancer = LinkEnd::Balancer(rig.sides[side]);
        let life = rig.lives[server].get();
        let (coming, going) = (VecDeque::new(), VecDeque::new());
        ServerConnection { rig, server, balancer, life, coming, going, corrupted: false, first_byte_at: None }
    }

    async fn serve(mut self, mut stream: TcpStream) {
        // Latency counts here; a delayed acknowledgement must not pass for a server's time.
        let _ = stream.set_nodelay(true);
        if let Err(Over::Reset) = self.talk(&mut stream).await {
            reset(&stream);
        }
        // What went into a link that stayed cut was sent and never heard. What is on its way over a sound one when its
        // connection closes is given up by the balancer, and tells nothing of the server.
        if !self.rig.link(self.balancer, LinkEnd::CacheServer(self.server)).cut {
            return;
        }
        for lost in std::mem::take(&mut self.coming) {
            let attempt = self.attempt(&lost, lost.due, AttemptResult::NoAnswer, false);
            self.rig.event_log.borrow_mut().undelivered.push(attempt);
        }
    }

    async fn talk(&mut self, stream: &mut TcpStream) -> Result<(), Over> {
        let mut weather = self.rig.weather.subscribe();
        let (mut requests, mut input) = (RequestReader::default(), BytesMut::new());
        let (mut read, mut write) = stream.split();
        loop {
            let there = self.rig.link(self.balancer, LinkEnd::CacheServer(self.server));
            let back = self.rig.link(LinkEnd::CacheServer(self.server), self.balancer);
            if there.reset || back.reset || self.rig.lives[self.server].get() != self.life {
                return Err(Over::Reset);
            }
            let now = self.rig.now();
            while !there.cut && self.coming.front().is_some_and(|coming| coming.due <= now) {
                if let Some(coming) = self.coming.pop_front() {
                    self.begin(&coming, now);
                }
            }
            while !back.cut && self.going.front().is_some_and(|going| going.due <= now) {
                let Some(mut going) = self.going.pop_front() else { break };
                let corrupted = self.rig.happens(back.corrupted_share);
                if corrupted {
                    self.rig.spoil(&mut going.line);
                }
                if let Some(place) = going.attempt {
                    let attempt = &mut self.rig.event_log.borrow_mut().attempts[place];
                    attempt.answered_at = Some(now);
                    attempt.corrupted |= corrupted;
                }
                write.write_all(&going.line).await.map_err(|_| Over::Closed)?;
            }
            let due = [
                self.coming.front().filter(|_| !there.cut).map(|c| c.due),
                self.going.front().filter(|_| !back.cut).map(|g| g.due),
            ];
            let due = due.into_iter().flatten().min();
            let room = self.coming.len() + self.going.len() < WAITING;
            tokio::select! {
                got = read.read_buf(&mut input), if room => {
                    if got.map_err(|_| Over::Closed)? == 0 {
                        return Err(Over::Closed);
                    }
                    if self.rig.happens(there.corrupted_share) {
                        self.rig.spoil(&mut input);
                        self.corrupted = true;
                    }
                    self.take(&mut requests, &mut input);
                }
                () = sleep_until(self.rig.instant(due.unwrap_or(0))), if due.is_some() => {}
                _ = weather.changed() => {}
            }
        }
    }

    /// Takes whole requests off the input and sends them on their way.
    fn take(&mut self, requests: &mut RequestReader, input: &mut BytesMut) {
        let now = self.rig.now();
        let there = self.rig.link(self.balancer, LinkEnd::CacheServer(self.server));
        loop {
            let first_byte_at = *self.first_byte_at.get_or_insert(now);
            let Some(incoming) = requests.next(input) else { break };
            self.first_byte_at = None;
            match incoming {
                Incoming::Request { request, .. } => {
                    let word = |bytes: &[u8]| std::str::from_utf8(bytes).ok().map(str::to_owned);
                    let hex = |text: Option<String>| text.and_then(|t| u64::from_str_radix(&t, 16).ok());
                    let key = request.properties.iter().find(|(name, _)| name.as_ref() == b"q");
                    let key = key.and_then(|(_, value)| word(value)).and_then(|text| text.parse().ok());
                    let (Some(id), Some(key)) = (hex(word(&request.id)), key) else {
                        self.answer(now, "CLIENT_ERROR no client sent this\r\n".into(), None);
                        continue;
                    };
                    // What was sent first arrives first.
                    let due = now + self.rig.way(self.balancer, LinkEnd::CacheServer(self.server), &there);
                    let due = due.max(self.coming.back().map_or(0, |last| last.due));
                    self.coming.push_back(Coming {
                        due,
                        first_byte_at,
                        id,
                        key,
                        write: request.value.is_some(),
                    });
                }
                Incoming::Ready => self.answer(now, "MN\r\n".into(), None),
                Incoming::Malformed(line) | Incoming::Unrecoverable(line) => {
                    self.answer(now, format!("{line}\r\n"), None)
                }
                Incoming::Upload { .. } | Incoming::UploadChunk { .. } | Incoming::Quit => {}
            }
        }
        if input.is_empty() && !requests.has_incomplete_request() {
            self.first_byte_at = None;
        }
    }

    fn attempt(&self, coming: &Coming, begun: Micros, result: AttemptResult, cold: bool) -> Attempt {
        let balancer = balancer_of(coming.id) as u32;
        let receiver = Receiver::CacheServer(self.server as u32);
        Attempt {
            id: coming.id,
            balancer,
            receiver,
            first_byte_at: coming.first_byte_at,
            received_at: begun,
            answered_at: None,
            result,
            in_slow_start: cold,
            corrupted: self.corrupted,
        }
    }

    /// A request has arrived whole.
    fn begin(&mut self, coming: &Coming, now: Micros) {
        let rig = Rc::clone(&self.rig);
        if rig.silent[self.server].get() {
            rig.received(self.attempt(coming, now, AttemptResult::NoAnswer, false));
            return;
        }
        let mut server = rig.servers[self.server].borrow_mut();
        let fallen = server.has_collapsed();
        let outcome = server.on_request(now, coming.key, &mut rig.machines());
        if server.has_collapsed() && !fallen {
            rig.event_log.borrow_mut().server_collapses.push((self.server as u32, now));
        }
        let report = server.load_report(now, &mut rig.machines());
        drop(server);
        let load = format!(" Lserved_ps={:.1},pending={:.1}", report.served_per_s, report.waiting);
        let id = coming.id;
        // Writes go to the origin; a cache server has no answer to one but this.
        let answer = if coming.write { Answer::Failed } else { outcome.answer };
        let (result, line) = match answer {
            Answer::Hit => {
                let value = value_of(id, coming.key);
                (AttemptResult::Served, format!("VA {} O{id:016x} h1{load}\r\n{value}\r\n", value.len()))
            }
            Answer::Miss { fetching } => {
                rig.missed(id, self.server, outcome.in_slow_start);
                (
                    AttemptResult::Miss,
                    format!("EN O{id:016x} h0{}{load}\r\n", if fetching { " Z" } else { "" }),
                )
            }
            Answer::Rejected => (AttemptResult::Rejected, format!("SERVER_ERROR busy{load}\r\n")),
            Answer::Failed => (AttemptResult::Failed, format!("SERVER_ERROR failed{load}\r\n")),
        };
        let place = rig.received(self.attempt(coming, now, result, outcome.in_slow_start));
        self.answer(outcome.at, line, Some(place));
    }

    /// Sends an answer on its way at this time; answers keep the order of their requests.
    fn answer(&mut self, at: Micros, line: String, attempt: Option<usize>) {
        let back = self.rig.link(LinkEnd::CacheServer(self.server), self.balancer);
        let due = at + self.rig.way(LinkEnd::CacheServer(self.server), self.balancer, &back);
        let due = due.max(self.going.back().map_or(0, |last| last.due));
        self.going.push_back(Going { due, line: line.into_bytes(), attempt });
    }
}
