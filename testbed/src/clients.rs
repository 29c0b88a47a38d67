//! The clients: an open-loop load generator that sends each request at its planned time, reads the answers and retries.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use juniperladder_platform_model::checker::CheckConfig;
use juniperladder_platform_model::event_log::{ClientRequest, RequestResult};
use juniperladder_platform_model::rng::{seeded_rng, RngStream, SeededRng};
use juniperladder_platform_model::workload::Arrival;
use juniperladder_platform_model::{micros_from_millis, Micros};
use rand::Rng;
use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::{sleep_until, timeout, timeout_at};

use crate::client_protocol::{read_answer, ParsedAnswer, WireRequest};
use crate::testbed::{request_id, Testbed};

/// Time after a request's deadline for which the answer is still awaited, to tell a late answer from a missing one.
const LATE_ANSWER_WAIT: Micros = 1_000_000;
/// A connection that ends within this time after a request was written counts as closed before it accepted the request.
const CROSSED_CLOSE_TIME: Micros = 20_000;
/// Minimum time left before the deadline for a client's retry.
const MIN_RETRY_TIME: Micros = 50_000;
/// Minimum time limit that a request states.
const MIN_REQUEST_TIME: Micros = 1_000;
/// Minimum share of the class's deadline that a patient client waits; a client with a lower share is impatient.
const MIN_PATIENT_SHARE: f64 = 0.5;
/// Timeout of a client's connect.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of pooled idle connections to one balancer.
const MAX_IDLE_CONNECTIONS: usize = 64;

/// A connection to a balancer.
type Connection = BufReader<TcpStream>;

/// The clients of all balancers.
pub struct Clients {
    testbed: Rc<Testbed>,
    check_config: CheckConfig,
    addresses: Vec<SocketAddr>,
    /// Pooled idle connections, by balancer.
    idle_connections: Vec<RefCell<Vec<Connection>>>,
    rng: RefCell<SeededRng>,
    next_number: Cell<u64>,
    in_flight: Cell<usize>,
}

/// A request that is due to be sent.
struct OutgoingRequest {
    id: u64,
    /// The id of the client's first request, which is the idempotency key of a write.
    first_id: u64,
    balancer: usize,
    key: u64,
    write: bool,
    is_retry: bool,
    planned_at: Micros,
    /// Time for which the client waits, as the request states it.
    time: Micros,
    /// Time from the sending after which an impatient client disconnects; `None` for other clients.
    leaves_after: Option<Micros>,
}

impl OutgoingRequest {
    fn wire_request(&self) -> WireRequest {
        let OutgoingRequest { id, first_id, key, write, is_retry, time, .. } = *self;
        WireRequest { id, first_id, key, write, is_retry, time }
    }
}

/// How a request ended.
struct RequestEnd {
    result: RequestResult,
    /// Time of the end; `None` if the client stopped waiting.
    at: Option<Micros>,
    /// Number of lines received after the answer.
    extra_lines: u32,
    /// Time after which a rejected client may retry.
    retry_after: Micros,
}

impl RequestEnd {
    fn without_answer(result: RequestResult, at: Option<Micros>) -> RequestEnd {
        RequestEnd { result, at, extra_lines: 0, retry_after: 0 }
    }
}

impl Clients {
    /// Creates the clients of balancers at these addresses.
    pub fn new(testbed: Rc<Testbed>, check_config: CheckConfig, addresses: Vec<SocketAddr>) -> Rc<Clients> {
        let idle_connections = addresses.iter().map(|_| RefCell::default()).collect();
        let rng = RefCell::new(seeded_rng(testbed.experiment.seed, RngStream::Clients));
        Rc::new(Clients {
            testbed,
            check_config,
            addresses,
            idle_connections,
            rng,
            next_number: Cell::new(1),
            in_flight: Cell::new(0),
        })
    }

    /// Number of clients that wait for an answer or for their retry.
    pub fn in_flight(&self) -> usize {
        self.in_flight.get()
    }

    /// Sends these requests at their planned times.
    pub async fn send_arrivals(self: Rc<Clients>, arrivals: Vec<Arrival>) {
        for arrival in arrivals {
            sleep_until(self.testbed.instant(arrival.at)).await;
            self.in_flight.set(self.in_flight.get() + 1);
            let clients = Rc::clone(&self);
            spawn_local(async move {
                clients.run_client(&arrival).await;
                clients.in_flight.set(clients.in_flight.get() - 1);
            });
        }
    }

    /// Runs a client: its first request and its retries.
    async fn run_client(&self, arrival: &Arrival) {
        let deadline = arrival.at + self.check_config.class(arrival.write).deadline;
        let mut first_id = None;
        let mut planned_at = arrival.at;
        let mut balancer = arrival.balancer as usize;
        for retry in 0..=self.testbed.experiment.clients.retries {
            let request = self.next_request(arrival, balancer, planned_at, first_id);
            first_id = Some(request.first_id);
            let end = self.run_request(&request).await;
            if matches!(
                end.result,
                RequestResult::Served | RequestResult::WrongValue | RequestResult::ClientLeft
            ) {
                return;
            }
            let (wait, other_balancer) = self.draw_retry(retry, end.retry_after);
            planned_at = self.testbed.now() + wait;
            if end.result == RequestResult::NotAccepted {
                // The platform's front end assigns a client to another balancer if its own does not accept the request.
                balancer = other_balancer;
            }
            if planned_at + MIN_RETRY_TIME > deadline {
                return;
            }
            sleep_until(self.testbed.instant(planned_at)).await;
        }
    }

    /// Builds the client's next request; `first_id` is `None` for its first.
    fn next_request(
        &self,
        arrival: &Arrival,
        balancer: usize,
        planned_at: Micros,
        first_id: Option<u64>,
    ) -> OutgoingRequest {
        let class_deadline = self.check_config.class(arrival.write).deadline;
        let time_left = (arrival.at + class_deadline).saturating_sub(planned_at);
        let share_of_deadline = |share: f64| (class_deadline as f64 * share) as Micros;
        let is_impatient = arrival.wait_share < MIN_PATIENT_SHARE;
        let id = request_id(balancer, self.next_number.replace(self.next_number.get() + 1));
        OutgoingRequest {
            id,
            first_id: first_id.unwrap_or(id),
            balancer,
            key: arrival.key,
            write: arrival.write,
            is_retry: first_id.is_some(),
            planned_at,
            // Impatient clients state the minimum time of other clients and disconnect before it has passed.
            time: share_of_deadline(arrival.wait_share.max(MIN_PATIENT_SHARE))
                .min(time_left)
                .max(MIN_REQUEST_TIME),
            leaves_after: is_impatient.then(|| share_of_deadline(arrival.wait_share)),
        }
    }

    /// Sends one request and logs how it ended.
    async fn run_request(&self, request: &OutgoingRequest) -> RequestEnd {
        let log_index = self.log_request(request);
        let end = self.exchange(log_index, request).await;
        self.testbed.on_request_ended(request.id);
        let logged = &mut self.testbed.event_log.borrow_mut().requests[log_index];
        logged.result = end.result;
        logged.ended_at = end.at;
        logged.extra_lines = end.extra_lines;
        end
    }

    /// Draws the backoff after a request that was not served, and the balancer to which a front end would assign the client.
    fn draw_retry(&self, retry: u32, retry_after: Micros) -> (Micros, usize) {
        let model = self.testbed.experiment.clients;
        let mut rng = self.rng.borrow_mut();
        let backoff_ms = model.backoff_ms * f64::from(1 << retry) * rng.random_range(0.5..1.5);
        let backoff = micros_from_millis(backoff_ms);
        let honours_retry_after = rng.random::<f64>() < model.retry_after_share;
        let wait = if honours_retry_after { backoff.max(retry_after) } else { backoff };
        (wait, rng.random_range(0..self.addresses.len()))
    }

    /// Logs a request that is about to be sent and returns its index in the log.
    fn log_request(&self, request: &OutgoingRequest) -> usize {
        let requests = &mut self.testbed.event_log.borrow_mut().requests;
        requests.push(ClientRequest {
            id: request.id,
            first_id: request.first_id,
            balancer: request.balancer as u32,
            key: request.key,
            write: request.write,
            planned_at: request.planned_at,
            sent_at: request.planned_at,
            deadline: request.planned_at + request.time,
            ended_at: None,
            result: RequestResult::NotAccepted,
            extra_lines: 0,
        });
        requests.len() - 1
    }

    /// Sends a request on a pooled connection, or on a new one if there is none or the pooled one had been closed.
    async fn exchange(&self, log_index: usize, request: &OutgoingRequest) -> RequestEnd {
        let pooled = self.idle_connections[request.balancer].borrow_mut().pop();
        if let Some(connection) = pooled {
            if let Some(end) = self.exchange_on(connection, log_index, request).await {
                return end;
            }
        }
        let Some(connection) = self.connect(request.balancer).await else {
            return RequestEnd::without_answer(RequestResult::NotAccepted, Some(self.testbed.now()));
        };
        let rejected =
            || RequestEnd::without_answer(RequestResult::ConnectionRejected, Some(self.testbed.now()));
        self.exchange_on(connection, log_index, request).await.unwrap_or_else(rejected)
    }

    async fn connect(&self, balancer: usize) -> Option<Connection> {
        let connect = TcpStream::connect(self.addresses[balancer]);
        let stream = timeout(CONNECT_TIMEOUT, connect).await.ok()?.ok()?;
        let _ = stream.set_nodelay(true);
        Some(BufReader::new(stream))
    }

    /// Sends a request and waits for its end. Returns `None` if the connection ended at once: the close of a pooled
    /// connection crossed the request, or a new connection was rejected.
    async fn exchange_on(
        &self,
        mut connection: Connection,
        log_index: usize,
        request: &OutgoingRequest,
    ) -> Option<RequestEnd> {
        let wire_request = request.wire_request();
        let written = connection.write_all(wire_request.wire_form().as_bytes()).await;
        let sent_at = self.testbed.now();
        self.log_sent(log_index, sent_at, request);
        let until = sent_at + request.leaves_after.unwrap_or(request.time + LATE_ANSWER_WAIT);
        let read = async {
            written.ok()?;
            read_answer(&mut connection, &wire_request).await
        };
        match timeout_at(self.testbed.instant(until), read).await {
            Ok(Some(answer)) => Some(self.on_answer(connection, answer, request.balancer)),
            Ok(None) if self.testbed.now() <= sent_at + CROSSED_CLOSE_TIME => None,
            Ok(None) => {
                let now = Some(self.testbed.now());
                Some(RequestEnd::without_answer(RequestResult::ConnectionClosed, now))
            }
            Err(_) if request.leaves_after.is_some() => {
                Some(RequestEnd::without_answer(RequestResult::ClientLeft, None))
            }
            Err(_) => Some(RequestEnd::without_answer(RequestResult::NoAnswer, None)),
        }
    }

    fn log_sent(&self, log_index: usize, sent_at: Micros, request: &OutgoingRequest) {
        let logged = &mut self.testbed.event_log.borrow_mut().requests[log_index];
        logged.sent_at = sent_at;
        logged.deadline = sent_at + request.time;
    }

    /// Handles a complete answer; pools its connection if no bytes follow the answer.
    fn on_answer(&self, connection: Connection, answer: ParsedAnswer, balancer: usize) -> RequestEnd {
        let at = Some(self.testbed.now());
        let extra_lines = connection.buffer().iter().filter(|byte| **byte == b'\n').count() as u32;
        let mut idle_connections = self.idle_connections[balancer].borrow_mut();
        if extra_lines == 0 && idle_connections.len() < MAX_IDLE_CONNECTIONS {
            idle_connections.push(connection);
        }
        RequestEnd { result: answer.result, at, extra_lines, retry_after: answer.retry_after }
    }
}
