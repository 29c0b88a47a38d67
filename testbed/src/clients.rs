//! Clients: send each request when it is due, whatever the answers; read what comes back; try again as they do.
//!
//! The reader of answers is the rig's own, so that the program's codec is not tested against itself.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use juniperladder_platform_model::checker::CheckTerms;
use juniperladder_platform_model::event_log::{ClientRequest, RequestResult};
use juniperladder_platform_model::rng::{seeded_rng, RngStream, SeededRng};
use juniperladder_platform_model::workload::{key_name, Arrival};
use juniperladder_platform_model::{micros_from_millis, Micros};
use rand::Rng;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::{sleep_until, timeout_at};

use crate::rig::{receipt_of, request_id, value_of, Rig};

/// How long after its deadline a try is still listened to: to tell a late answer from none.
const LISTEN: Micros = 1_000_000;
/// A kept connection that ends so soon after a request was written had been closed before.
const CROSSED: Micros = 20_000;
/// Idle connections that are kept to one balancer.
const KEPT: usize = 64;

/// All clients.
pub struct Clients {
    rig: Rc<Rig>,
    terms: CheckTerms,
    addresses: Vec<SocketAddr>,
    idle: Vec<RefCell<Vec<BufReader<TcpStream>>>>,
    rng: RefCell<SeededRng>,
    numbers: Cell<u64>,
    /// Tries that are out.
    out: Cell<usize>,
}

/// A client comes again only if so much of its time is left.
const LEAST: Micros = 50_000;

/// One try.
struct Try {
    id: u64,
    /// The id of the client's first try, which is the idempotency key of a write.
    first: u64,
    balancer: usize,
    key: u64,
    write: bool,
    retry: bool,
    wait: Micros,
    /// After how long an impatient client leaves.
    leaves: Option<Micros>,
}

impl Try {
    /// The request on the wire. The key's number rides along as a property, for the stand-ins.
    fn line(&self) -> String {
        let Try { id, first, key, .. } = *self;
        let (name, ms) = (key_name(key), self.wait / 1_000);
        let retry = if self.retry { ",r=1" } else { "" };
        if self.write {
            let value = format!("written {first:016x}");
            let length = value.len();
            format!(
                "ms {name} {length} O{id:016x} Pc=put,d={ms},k={first:016x},q={key}{retry}\r\n{value}\r\n"
            )
        } else {
            format!("mg {name} v O{id:016x} Pc=read,d={ms},q={key}{retry}\r\n")
        }
    }
}

/// How a try went.
struct Went {
    result: RequestResult,
    at: Option<Micros>,
    extra_lines: u32,
    /// After how long a refused client may come again.
    again: Micros,
}

impl Went {
    fn without(result: RequestResult, at: Option<Micros>) -> Went {
        Went { result, at, extra_lines: 0, again: 0 }
    }
}

impl Clients {
    /// Clients of balancers at these addresses.
    pub fn new(rig: Rc<Rig>, terms: CheckTerms, addresses: Vec<SocketAddr>) -> Rc<Clients> {
        let idle = addresses.iter().map(|_| RefCell::default()).collect();
        let rng = RefCell::new(seeded_rng(rig.experiment.seed, RngStream::Clients));
        Rc::new(Clients { rig, terms, addresses, idle, rng, numbers: Cell::new(1), out: Cell::new(0) })
    }

    /// Tries that are out.
    pub fn out(&self) -> usize {
        self.out.get()
    }

    /// Sends all these requests when they are due.
    pub async fn send(self: Rc<Clients>, load: Rc<Vec<Arrival>>) {
        for arrival in load.iter() {
            sleep_until(self.rig.instant(arrival.at)).await;
            self.out.set(self.out.get() + 1);
            let (clients, arrival) = (Rc::clone(&self), *arrival);
            spawn_local(async move {
                clients.ask(&arrival).await;
                clients.out.set(clients.out.get() - 1);
            });
        }
    }

    /// A client's first try and its retries.
    async fn ask(&self, arrival: &Arrival) {
        let class = *self.terms.class(arrival.write);
        let begun = arrival.at;
        let (mut first, mut planned, mut balancer) = (None, begun, arrival.balancer as usize);
        for retry in 0..=self.rig.experiment.clients.retries {
            let id = request_id(balancer, self.numbers.replace(self.numbers.get() + 1));
            let left = (begun + class.deadline).saturating_sub(planned);
            let part = |share: f64| (class.deadline as f64 * share) as Micros;
            let one = Try {
                id,
                first: *first.get_or_insert(id),
                balancer,
                key: arrival.key,
                write: arrival.write,
                retry: retry > 0,
                // Impatient clients ask for the usual time and leave before it.
                wait: part(arrival.patience.max(0.5)).min(left).max(1_000),
                leaves: (arrival.patience < 0.5).then_some(part(arrival.patience)),
            };
            let place = self.put_down(&one, planned);
            let went = self.one(place, &one).await;
            self.rig.over(id);
            {
                let request = &mut self.rig.event_log.borrow_mut().requests[place];
                (request.result, request.ended_at, request.extra_lines) =
                    (went.result, went.at, went.extra_lines);
            }
            if matches!(
                went.result,
                RequestResult::Served | RequestResult::WrongValue | RequestResult::ClientLeft
            ) {
                return;
            }
            let (wait, other) = self.after(retry, went.again);
            planned = self.rig.now() + wait;
            if went.result == RequestResult::NotAccepted {
                // The front deals those out anew whose balancer is not there.
                balancer = other;
            }
            if planned + LEAST > begun + class.deadline {
                return;
            }
            sleep_until(self.rig.instant(planned)).await;
        }
    }

    /// How long a client waits after a try that was not served, and the balancer that a front would deal it out to.
    fn after(&self, retry: u32, again: Micros) -> (Micros, usize) {
        let figures = self.rig.experiment.clients;
        let mut rng = self.rng.borrow_mut();
        let backoff =
            micros_from_millis(figures.backoff_ms * f64::from(1 << retry) * rng.random_range(0.5..1.5));
        let honours = rng.random::<f64>() < figures.honour;
        (if honours { backoff.max(again) } else { backoff }, rng.random_range(0..self.addresses.len()))
    }

    /// Puts a try into the event log; gives its place there.
    fn put_down(&self, one: &Try, planned: Micros) -> usize {
        let requests = &mut self.rig.event_log.borrow_mut().requests;
        requests.push(ClientRequest {
            id: one.id,
            first_id: one.first,
            balancer: one.balancer as u32,
            key: one.key,
            write: one.write,
            planned_at: planned,
            sent_at: planned,
            deadline: planned + one.wait,
            ended_at: None,
            result: RequestResult::NotAccepted,
            extra_lines: 0,
        });
        requests.len() - 1
    }

    /// One try: on a kept connection or a new one, once more where a kept one had been closed.
    async fn one(&self, place: usize, one: &Try) -> Went {
        let line = one.line();
        let mut kept = self.idle[one.balancer].borrow_mut().pop();
        loop {
            let was_kept = kept.is_some();
            let mut stream = match kept.take() {
                Some(stream) => stream,
                None => {
                    let connect = TcpStream::connect(self.addresses[one.balancer]);
                    match tokio::time::timeout(Duration::from_secs(1), connect).await {
                        Ok(Ok(stream)) => {
                            let _ = stream.set_nodelay(true);
                            BufReader::new(stream)
                        }
                        _ => return Went::without(RequestResult::NotAccepted, Some(self.rig.now())),
                    }
                }
            };
            let written = stream.write_all(line.as_bytes()).await;
            let sent = self.rig.now();
            {
                let request = &mut self.rig.event_log.borrow_mut().requests[place];
                (request.sent_at, request.deadline) = (sent, sent + one.wait);
            }
            let until = sent + one.leaves.unwrap_or(one.wait + LISTEN);
            let read = async {
                written.ok()?;
                read(&mut stream, one).await
            };
            match timeout_at(self.rig.instant(until), read).await {
                Ok(Some((end, again))) => {
                    let at = Some(self.rig.now());
                    let more = stream.buffer().iter().filter(|byte| **byte == b'\n').count() as u32;
                    let mut idle = self.idle[one.balancer].borrow_mut();
                    if more == 0 && idle.len() < KEPT {
                        idle.push(stream);
                    }
                    return Went { result: end, at, extra_lines: more, again };
                }
                // The close crossed the request: once more on a new connection.
                Ok(None) if was_kept && self.rig.now() <= sent + CROSSED => {}
                Ok(None) if self.rig.now() <= sent + CROSSED => {
                    return Went::without(RequestResult::ConnectionRejected, Some(self.rig.now()))
                }
                Ok(None) => return Went::without(RequestResult::ConnectionClosed, Some(self.rig.now())),
                Err(_) if one.leaves.is_some() => return Went::without(RequestResult::ClientLeft, None),
                Err(_) => return Went::without(RequestResult::NoAnswer, None),
            }
        }
    }
}

/// Reads the answer to a try; none where the connection ends before it is whole.
async fn read(stream: &mut BufReader<TcpStream>, one: &Try) -> Option<(RequestResult, Micros)> {
    let mut line = Vec::new();
    // A balancer's line is short; one without an end is no answer.
    (&mut *stream).take(8_192).read_until(b'\n', &mut line).await.ok()?;
    let line = std::str::from_utf8(line.strip_suffix(b"\r\n")?).unwrap_or_default();
    let words: Vec<&str> = line.split(' ').collect();
    let named = format!("O{:016x}", one.id);
    let made = |right: bool| if right { RequestResult::Served } else { RequestResult::WrongValue };
    Some(match words[..] {
        ["SERVER_ERROR", "busy"] => (RequestResult::Rejected, 0),
        ["SERVER_ERROR", "busy", ms] => {
            (RequestResult::Rejected, micros_from_millis(ms.parse().unwrap_or(0.0)))
        }
        ["VA", length, name, ..] => {
            let length: usize = length.parse().ok().filter(|length| *length <= 65_536)?;
            let mut value = vec![0; length + 2];
            stream.read_exact(&mut value).await.ok()?;
            value.truncate(length);
            let right = value == value_of(one.id, one.key).as_bytes();
            (made(right && name == named && !one.write), 0)
        }
        ["HD", name, receipt, ..] => {
            let right = receipt.strip_prefix('c') == Some(&receipt_of(one.first));
            (made(right && name == named && one.write), 0)
        }
        _ => (RequestResult::Failed, 0),
    })
}
