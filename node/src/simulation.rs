//! A deterministic simulation of the whole daemon in virtual time, with clients and servers that show the
//! faults of real ones, all drawn from a seed. It is judged by what clients and servers observe, and by
//! nothing that the daemon reports of itself.
//!
//! # The invariant
//!
//! Every request whose last byte arrived on an accepted connection gets one complete final answer before its
//! client's deadline, whether the daemon has just started, runs or shuts down. The answer was made for that
//! request by a server or the origin, or says that there is none. The only exception is a value that its
//! client can see to be incomplete. No byte of a request reaches a server after that answer, after its client
//! has gone, or after the balancer was notified of that server's end. There are no more attempts than the
//! settings allow, and after one that may have been executed only those that the class allows; a request that must not
//! be executed twice is not rejected then either.

mod clients;
mod servers;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use fastrand::Rng;
use juniperladder::{CacheMode, Class, EndpointUpdate, Idempotency, Micros, Settings};
use tokio::task::{spawn_local, JoinHandle};
use tokio::time::{sleep, sleep_until, Instant};

use crate::buffer_pool::BufferPool;
use crate::connect::Connector;
use crate::counters::Counters;
use crate::dispatcher::{AttemptTransport, Dispatcher, ListedServer};
use crate::downstream::{Downstream, Labels};
use crate::graceful_shutdown::{time_for_answers, GracefulShutdown, EXIT_DELAY};
use crate::resource_limits::ResourceLimits;
use crate::testing::{self, log, ORIGIN};
use crate::upstream::{Upstream, UpstreamLimits};
use servers::{Behaviour, Servers};

/// The number of simulations.
const SEED_COUNT: u64 = 250;
/// A class of requests in the simulation.
struct SimulatedClass {
    name: &'static str,
    idempotency: Idempotency,
    deadline_ms: u64,
}

const SIMULATED_CLASSES: [SimulatedClass; 3] = [
    SimulatedClass { name: "read", idempotency: Idempotency::Idempotent, deadline_ms: 400 },
    SimulatedClass { name: "put", idempotency: Idempotency::WithIdempotencyKey, deadline_ms: 900 },
    SimulatedClass { name: "once", idempotency: Idempotency::NotIdempotent, deadline_ms: 700 },
];
const MAX_ATTEMPTS: u32 = 3;
const DEDUPLICATION_WINDOW: Duration = Duration::from_millis(250);
/// How long the protocol lets a process run after the longest deadline has passed.
const TIME_AFTER_LONGEST_DEADLINE: Duration = Duration::from_millis(700);

/// What clients and servers have observed of one request.
#[derive(Debug, Default)]
struct RequestRecord {
    /// The index in [`SIMULATED_CLASSES`].
    class: usize,
    /// When the client received the answer, or left.
    closed_at: Option<Instant>,
    /// The arrivals at all servers, in order.
    arrivals: Vec<Arrival>,
}

/// The arrival of a complete request at a server.
#[derive(Debug)]
struct Arrival {
    at: Instant,
    /// Whether the server may have executed it.
    may_have_been_executed: Rc<Cell<bool>>,
}

/// What may occur in a simulation, counted to detect that something hardly ever does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Occurrence {
    Served,
    Rejected,
    Failed,
    UnexpectedAnswer,
    ClientLeft,
    ClientHalfClosed,
    ConnectionClosed,
    EndpointListChanged,
    MalformedRequests,
    Server(Behaviour),
}

/// What clients and servers observe.
#[derive(Debug, Default)]
struct EventLog {
    /// The requests that clients have sent, by id.
    requests: RefCell<HashMap<String, RequestRecord>>,
    violations: RefCell<Vec<String>>,
    /// The number of clients that wait for answers.
    waiting_clients: Cell<usize>,
    counts: RefCell<HashMap<Occurrence, u64>>,
}

impl EventLog {
    fn record_violation(&self, id: &str, text: impl Into<String>) {
        self.violations.borrow_mut().push(format!("{id}: {}", text.into()));
    }

    fn count(&self, occurrence: Occurrence) {
        *self.counts.borrow_mut().entry(occurrence).or_default() += 1;
    }

    fn on_request_sent(&self, id: &str, class: usize) {
        self.requests.borrow_mut().insert(id.to_owned(), RequestRecord { class, ..RequestRecord::default() });
    }

    /// Records that a request has its answer, or that its client has left.
    fn on_request_closed(&self, id: &str) {
        self.requests.borrow_mut().entry(id.to_owned()).or_default().closed_at.get_or_insert(Instant::now());
    }

    /// Records that a request was answered as rejected, which lets its client send it again.
    fn on_request_rejected(&self, id: &str) {
        let requests = self.requests.borrow();
        let Some(request) = requests.get(id) else { return };
        let was_executed = request.arrivals.iter().any(|arrival| arrival.may_have_been_executed.get());
        let is_repeatable = SIMULATED_CLASSES[request.class].idempotency != Idempotency::NotIdempotent;
        if was_executed && !is_repeatable {
            self.record_violation(id, "rejected although an attempt may have been executed");
        }
    }

    /// Records that a server has received the complete request. The returned cell holds whether the
    /// server may have executed it; the server sets it to false if it did not.
    fn on_request_arrived(&self, id: &str, arrived_at: Instant) -> Rc<Cell<bool>> {
        let mut requests = self.requests.borrow_mut();
        let Some(request) = requests.get_mut(id) else {
            self.record_violation(id, "arrived at a server, but no client sent the request");
            return Rc::default();
        };
        if request.closed_at.is_some_and(|closed_at| closed_at < arrived_at) {
            self.record_violation(id, "reached a server after its answer or after its client had left");
        }
        if request.arrivals.len() >= MAX_ATTEMPTS as usize {
            self.record_violation(id, "more attempts than the settings allow");
        }
        let executed = request.arrivals.iter().filter(|arrival| arrival.may_have_been_executed.get());
        let first_executed_at = executed.map(|arrival| arrival.at).min();
        let is_allowed = match SIMULATED_CLASSES[request.class].idempotency {
            Idempotency::Idempotent => true,
            Idempotency::WithIdempotencyKey => {
                first_executed_at.is_none_or(|first| arrived_at - first < DEDUPLICATION_WINDOW)
            }
            Idempotency::NotIdempotent => first_executed_at.is_none(),
        };
        if !is_allowed {
            self.record_violation(id, "sent again although an earlier attempt may have been executed");
        }
        let may_have_been_executed = Rc::new(Cell::new(true));
        let arrival = Arrival { at: arrived_at, may_have_been_executed: Rc::clone(&may_have_been_executed) };
        request.arrivals.push(arrival);
        may_have_been_executed
    }
}

fn settings() -> Settings {
    let class = |class: SimulatedClass| Class {
        latency_objective: Micros(class.deadline_ms * 800),
        deadline: Micros(class.deadline_ms * 1000),
        idempotency: class.idempotency,
        deduplication_window: Micros(DEDUPLICATION_WINDOW.as_micros() as u64),
        ..Class::default()
    };
    let mode = CacheMode::CacheAside(ORIGIN);
    Settings {
        classes: SIMULATED_CLASSES.map(class).into(),
        mode,
        ..testing::settings(MAX_ATTEMPTS, Idempotency::Idempotent)
    }
}

/// A balancer, its clients and its servers.
struct Simulation {
    dispatcher: Rc<Dispatcher>,
    downstream: Rc<Downstream>,
    shutdown: Rc<GracefulShutdown>,
    servers: Rc<Servers>,
    event_log: Rc<EventLog>,
}

impl Simulation {
    fn new(seed: u64) -> Simulation {
        let event_log = Rc::new(EventLog::default());
        let servers = Rc::new(Servers::new(Rng::with_seed(seed), Rc::clone(&event_log)));
        let buffers = BufferPool::new(1 << 17);
        let limits = UpstreamLimits {
            max_connections: 24,
            chunk_bytes: 1024,
            buffers: buffers.clone(),
            connect_timeout: Duration::from_millis(150),
            server_idle_timeout: Duration::from_secs(2),
            late_answer_timeout: Duration::from_millis(900),
            may_duplicate: true,
            origin_kind: Some(ORIGIN),
        };
        let counters = Rc::new(Counters::default());
        let clock = crate::clock::Clock::start();
        let connector = Rc::clone(&servers) as Rc<dyn Connector>;
        let upstream = Upstream::new(limits, connector, clock, Rc::clone(&counters), log());
        let transport = Rc::clone(&upstream) as Rc<dyn AttemptTransport>;
        let dispatcher = Dispatcher::new(settings(), seed, transport, clock, counters, log());
        upstream.attach(&dispatcher);
        dispatcher.on_endpoints_changed(EndpointUpdate::Restored, &servers.listed_servers());
        let shutdown = Rc::new(GracefulShutdown::default());
        let classes = SIMULATED_CLASSES.map(|class| class.name.to_owned()).into();
        let labels = Labels { classes, tenants: vec![] };
        let resource_limits = ResourceLimits {
            client_connections: 16,
            idle_client_connections: 12,
            server_connections: 24,
            admin_connections: 8,
            pool_bytes: buffers.bytes(),
            unread_answer_bytes: 1 << 16,
            chunk_bytes: 1 << 12,
        };
        let downstream = Downstream::new(
            Rc::clone(&dispatcher),
            labels,
            Rc::clone(&shutdown),
            resource_limits,
            buffers,
            log(),
        );
        // The pools live as long as the dispatcher, which holds them.
        Simulation { dispatcher, downstream, shutdown, servers, event_log }
    }

    /// Changes the endpoint list: servers drain, end, and others start at their addresses; occasionally
    /// discovery is unavailable.
    async fn change_endpoints(&self, mut rng: Rng) {
        loop {
            sleep(Duration::from_millis(rng.u64(50..400))).await;
            if rng.u8(..8) == 0 {
                self.dispatcher.on_endpoints_changed(EndpointUpdate::Unavailable, &[]);
            }
            let changed: ListedServer = self.servers.next_state(rng.usize(1..servers::SERVER_COUNT));
            self.event_log.count(Occurrence::EndpointListChanged);
            self.dispatcher.on_endpoints_changed(EndpointUpdate::Delta, &[changed]);
        }
    }

    /// Runs the daemon from its start to its end.
    async fn run(self, seed: u64) -> Rc<EventLog> {
        let mut rng = Rng::with_seed(seed ^ 0x5eed);
        let simulation = Rc::new(self);
        let (timers, endpoints) = (Rc::clone(&simulation), Rc::clone(&simulation));
        spawn_local(async move { timers.dispatcher.run_timers().await });
        let endpoint_rng = rng.fork();
        spawn_local(async move { endpoints.change_endpoints(endpoint_rng).await });
        let mut clients: Vec<JoinHandle<()>> = Vec::new();
        for client in 0..7 {
            let (simulation, client_rng) = (Rc::clone(&simulation), rng.fork());
            clients.push(match client {
                0..5 => spawn_local(clients::run_valid_client(simulation, client, client_rng)),
                _ => spawn_local(clients::run_faulty_client(simulation, client, client_rng)),
            });
        }
        sleep(Duration::from_millis(rng.u64(1500..3000))).await;
        simulation.shut_down().await;
        for client in clients {
            client.abort();
        }
        Rc::clone(&simulation.event_log)
    }

    /// Shuts the daemon down, and checks that no client still waits at the end of the allowed time.
    async fn shut_down(&self) {
        let signalled_at = Instant::now();
        let longest_deadline =
            Duration::from_millis(SIMULATED_CLASSES.iter().map(|class| class.deadline_ms).max().unwrap_or(0));
        let time_for_answers = time_for_answers(longest_deadline);
        let now = self.dispatcher.clock().now();
        self.dispatcher.set_final_deadline(now.saturating_add(crate::clock::micros(time_for_answers)));
        self.shutdown.run(signalled_at, time_for_answers + EXIT_DELAY).await;
        self.dispatcher.wait_until_idle().await;
        // The time that the protocol allows for a graceful shutdown: a client that still waits has lost its
        // request.
        sleep_until(signalled_at + longest_deadline + TIME_AFTER_LONGEST_DEADLINE).await;
        if self.event_log.waiting_clients.get() > 0 {
            self.event_log.record_violation("-", "a client still waits at the end of the process");
        }
    }
}

/// Checks the invariant in simulations drawn from seeds.
#[test]
fn every_accepted_request_has_one_complete_answer_in_time() {
    let mut counts: HashMap<Occurrence, u64> = HashMap::new();
    for seed in 0..SEED_COUNT {
        let event_log = testing::run_paused(async move { Simulation::new(seed).run(seed).await });
        let violations = event_log.violations.take();
        assert!(violations.is_empty(), "seed {seed}: {violations:#?}");
        for (occurrence, count) in event_log.counts.take() {
            *counts.entry(occurrence).or_default() += count;
        }
    }
    let expected = [
        Occurrence::Served,
        Occurrence::Rejected,
        Occurrence::Failed,
        Occurrence::ClientLeft,
        Occurrence::ConnectionClosed,
        Occurrence::EndpointListChanged,
        Occurrence::ClientHalfClosed,
        Occurrence::MalformedRequests,
    ];
    let request_behaviours = servers::REQUEST_BEHAVIOURS.map(|(behaviour, _)| behaviour);
    let behaviours = request_behaviours.into_iter().chain(servers::CONNECT_BEHAVIOURS);
    for occurrence in expected.into_iter().chain(behaviours.map(Occurrence::Server)) {
        let has_occurred = counts.get(&occurrence).is_some_and(|count| *count >= SEED_COUNT / 10);
        assert!(has_occurred, "{occurrence:?} occurred too rarely: {counts:?}");
    }
}
