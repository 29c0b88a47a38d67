//! Test fixtures: requests, and a dispatcher whose attempt transport only records its calls.

use std::cell::RefCell;
use std::future::Future;
use std::rc::Rc;

use bytes::Bytes;
use juniperladder::*;
use slog::{o, Discard, Logger};
use tokio::task::LocalSet;

use crate::clock::Clock;
use crate::counters::Counters;
use crate::dispatcher::{self, Attempt, AttemptId, AttemptTransport, Dispatcher, ListedServer, Upload};

/// The first of the servers that [`dispatcher`] lists.
pub const SERVER: ServerId = ServerId(9);

/// An attempt transport that only records its calls.
#[derive(Default)]
pub struct RecordingTransport {
    /// Attempts that have started, oldest first.
    pub started_attempts: RefCell<Vec<Attempt>>,
    /// Uploads that have started.
    pub uploads: RefCell<Vec<Upload>>,
    /// Attempts that were abandoned.
    pub abandoned: RefCell<Vec<AttemptId>>,
}

impl AttemptTransport for RecordingTransport {
    fn on_endpoints_changed(&self, _: EndpointUpdate, _: &[ListedServer]) {}
    fn begin_attempt(&self, attempt: Attempt) {
        self.started_attempts.borrow_mut().push(attempt);
    }
    fn begin_upload(&self, upload: Upload) {
        self.uploads.borrow_mut().push(upload);
    }
    fn abandon(&self, id: AttemptId, _: ServerId) -> bool {
        self.abandoned.borrow_mut().push(id);
        true
    }
}

/// The server kind of the origin.
pub const ORIGIN: u32 = 1;

/// Settings with one class and this limit of attempts.
pub fn settings(max_attempts: u32, idempotency: Idempotency) -> Settings {
    let class = Class {
        latency_objective: Micros(750_000),
        latency_objective_per_work: 0.0,
        deadline: Micros(1_500_000),
        idempotency,
        deduplication_scope: DeduplicationScope::All,
        deduplication_window: Micros(6_000_000),
        priority_weight: 1.0,
        late_priority_weight: 0.0,
    };
    Settings {
        balancers: 1,
        zone: 0,
        classes: vec![class],
        tenants: vec![],
        mode: CacheMode::ReadThrough,
        watches_discovery: true,
        has_comparable_weights: false,
        min_batch_interval: Micros(5_000),
        limits: Limits {
            max_attempts,
            max_retry_after: Micros(2_000_000),
            sends_retry_after: true,
            may_duplicate: true,
        },
        rules: Rules {
            discovery_poll_interval: Micros(10_000_000),
            slow_start_initial_share: 0.32,
            slow_start_duration: Micros(9_000_000),
        },
    }
}

/// A server in this state, at an address of its own.
pub fn listed_server(server: ServerId, state: EndpointState) -> ListedServer {
    let endpoint = Endpoint { server, zone: 0, kind: 0, cell: 0, state, weight: 1.0, started: Micros(0) };
    let [.., second, third, last] = server.0.to_be_bytes();
    ListedServer { endpoint, address: Some(([127, second, third, last], 1).into()) }
}

/// A dispatcher with this transport and this many servers, the first of which is `SERVER`.
pub fn dispatcher(settings: Settings, transport: Rc<dyn AttemptTransport>, servers: u32) -> Rc<Dispatcher> {
    seeded_dispatcher(settings, 7, transport, servers)
}

/// As [`dispatcher`], with a given seed, as each process of a fleet has a different one.
pub fn seeded_dispatcher(
    settings: Settings,
    seed: u64,
    transport: Rc<dyn AttemptTransport>,
    servers: u32,
) -> Rc<Dispatcher> {
    let counters = Rc::new(Counters::default());
    let dispatcher = Dispatcher::new(settings, seed, transport, Clock::start(), counters, log());
    let servers: Vec<ListedServer> = (0..servers)
        .map(|n| listed_server(ServerId(SERVER.0 + u64::from(n)), EndpointState::Serving))
        .collect();
    dispatcher.on_endpoints_changed(EndpointUpdate::Restored, &servers);
    dispatcher
}

/// A request with this id: a write of this value, or a read if there is none.
pub fn request(id: &str, value: Option<Vec<u8>>) -> dispatcher::ClientRequest {
    dispatcher::ClientRequest {
        id: Bytes::copy_from_slice(id.as_bytes()),
        key: Bytes::from_static(b"7f3a9c21e0b4d655"),
        value: value.map(Bytes::from),
        upload: None,
        class: 0,
        tenant: 0,
        is_client_retry: false,
        timeout: Some(Micros(480_000)),
        properties: vec![("c".into(), "read".into()), ("d".into(), "480".into())],
    }
}

/// Runs a test on a paused clock, which advances only when all tasks wait for a timer.
pub fn run_paused<T>(test: impl Future<Output = T>) -> T {
    run_on(true, test)
}

/// Runs a test that uses kernel sockets, on the real clock.
pub fn run_on_sockets<T>(test: impl Future<Output = T>) -> T {
    run_on(false, test)
}

fn run_on<T>(paused: bool, test: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().start_paused(paused).build();
    LocalSet::new().block_on(&runtime.expect("cannot build the runtime"), test)
}

/// Yields 64 times, which is enough for all other tasks of a test to block.
pub async fn yield_until_idle() {
    for _ in 0..64 {
        tokio::task::yield_now().await;
    }
}

/// A logger that discards all lines.
pub fn log() -> Logger {
    Logger::root(Discard, o!())
}
