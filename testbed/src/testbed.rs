//! State shared by all parts of the testbed: the clock, the servers, the origin, the links, the endpoint list and the event
//! log.
//!
//! All tasks run on one thread. Each method releases its `RefCell` borrows before it returns.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use juniperladder_platform_model::cache_server::CacheServer;
use juniperladder_platform_model::discovery::{CallQueue, Endpoint, EndpointList, Lifecycle};
use juniperladder_platform_model::event_log::{Attempt, EventLog};
use juniperladder_platform_model::experiment::Experiment;
use juniperladder_platform_model::group::zone_of;
use juniperladder_platform_model::links::{LinkEnd, LinkState, Links};
use juniperladder_platform_model::origin::Origin;
use juniperladder_platform_model::rng::{mix_bits, seeded_rng, RngStream, SeededRng};
use juniperladder_platform_model::workload::key_name;
use juniperladder_platform_model::{micros_from_millis, micros_from_seconds, Micros};
use rand::Rng;
use tokio::sync::watch;
use tokio::time::Instant;

/// Delay of the kernel's first TCP retransmission; it doubles with each further consecutive loss.
const FIRST_RETRANSMISSION_DELAY: Micros = 200_000;
/// Total retransmission delay at which no further consecutive loss is drawn, as TCP also limits its retransmissions.
const MAX_RETRANSMISSION_DELAY: Micros = 12 * FIRST_RETRANSMISSION_DELAY;
/// Maximum number of misses kept for each request until the origin answers; a request has three attempts.
const MAX_MISSES_PER_REQUEST: usize = 3;
/// Maximum number of bytes that one corruption changes.
const CORRUPTED_BYTES: usize = 3;

/// A cache miss of a server for a request.
struct Miss {
    server: usize,
    /// Incarnation of the server's machine at the time of the miss.
    incarnation: u32,
    in_slow_start: bool,
}

/// The endpoint list with the time of each change.
pub struct TimedEndpointList {
    /// The endpoint list.
    pub list: EndpointList,
    /// Time of each change in order; 0 for the initial entries.
    changed_at: Vec<Micros>,
}

/// State shared by all tasks of the testbed.
pub struct Testbed {
    /// The experiment that is run.
    pub experiment: Experiment,
    started_at: Instant,
    /// Unix time at the start of the run, in milliseconds.
    epoch_ms: u64,
    /// The cache servers.
    pub servers: Vec<RefCell<CacheServer>>,
    /// Incarnation number of each server's machine; connections to an earlier incarnation are reset.
    pub incarnations: Vec<Cell<u32>>,
    /// Number of times each server was replaced by a server with a new id.
    pub replacements: Vec<Cell<u32>>,
    /// Whether each server is silent, that is, accepts requests and does not answer.
    pub silent: Vec<Cell<bool>>,
    /// Number of open connections of each server.
    pub open_connections: Vec<Cell<usize>>,
    /// The origin.
    pub origin: RefCell<Origin>,
    /// The endpoint list.
    pub endpoints: RefCell<TimedEndpointList>,
    /// Queue of the calls to discovery.
    pub discovery_queue: RefCell<CallQueue>,
    /// Whether discovery is down.
    pub discovery_down: Cell<bool>,
    /// Additional delay after which each balancer is notified of changes.
    pub notice_delays: RefCell<Vec<Micros>>,
    /// The links and their faults.
    pub links: RefCell<Links>,
    /// One balancer of each listener group, by the number of the group. Balancers of one group see the same links
    /// and zone, and share listeners.
    pub listener_group_members: Vec<usize>,
    /// The event log of the run.
    pub event_log: RefCell<EventLog>,
    /// Cache misses by request id.
    misses: RefCell<HashMap<u64, Vec<Miss>>>,
    machine_rng: RefCell<SeededRng>,
    link_rng: RefCell<SeededRng>,
    /// Incremented at each change that may concern a waiting task.
    pub changes: watch::Sender<u64>,
}

impl Testbed {
    /// Creates the platform of an experiment; its clock starts now.
    pub fn new(experiment: Experiment, links: Links) -> Rc<Testbed> {
        let server_count = experiment.fleet.servers;
        let listener_groups = links.listener_groups(&experiment);
        let group_count = listener_groups.iter().copied().max().unwrap_or(0) + 1;
        let member_of_group = |group| listener_groups.iter().position(|other| *other == group);
        let discovery = &experiment.discovery;
        let epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Rc::new(Testbed {
            started_at: Instant::now(),
            epoch_ms: epoch.as_millis() as u64,
            servers: cache_servers(&experiment),
            incarnations: vec![Cell::new(0); server_count],
            replacements: vec![Cell::new(0); server_count],
            silent: vec![Cell::new(false); server_count],
            open_connections: vec![Cell::new(0); server_count],
            origin: RefCell::new(Origin::new(experiment.origin)),
            endpoints: RefCell::new(initial_endpoints(&experiment)),
            discovery_queue: RefCell::new(CallQueue::new(discovery.calls_per_s, discovery.timeout_s)),
            discovery_down: Cell::new(false),
            notice_delays: RefCell::new(vec![0; experiment.fleet.balancers]),
            links: RefCell::new(links),
            listener_group_members: (0..group_count).filter_map(member_of_group).collect(),
            event_log: RefCell::default(),
            misses: RefCell::default(),
            machine_rng: RefCell::new(seeded_rng(experiment.seed, RngStream::ServiceTimes)),
            link_rng: RefCell::new(seeded_rng(experiment.seed, RngStream::Links)),
            changes: watch::channel(0).0,
            experiment,
        })
    }

    /// The time since the testbed was created.
    pub fn now(&self) -> Micros {
        self.started_at.elapsed().as_micros() as Micros
    }

    /// Converts a time of the testbed to an `Instant`.
    pub fn instant(&self, at: Micros) -> Instant {
        self.started_at + Duration::from_micros(at)
    }

    /// Converts a time of the testbed to Unix milliseconds, the unit in which discovery states a server's start.
    pub fn unix_ms(&self, at: Micros) -> u64 {
        self.epoch_ms + at / 1_000
    }

    /// Random number generator for the work of servers and the origin.
    pub fn machine_rng(&self) -> std::cell::RefMut<'_, SeededRng> {
        self.machine_rng.borrow_mut()
    }

    /// Wakes all waiting tasks after a change.
    pub fn wake_tasks(&self) {
        self.changes.send_modify(|count| *count += 1);
    }

    /// The active faults of a link in the direction `from` to `to`.
    pub fn link_state(&self, from: LinkEnd, to: LinkEnd) -> LinkState {
        self.links.borrow().state(from, to)
    }

    /// Draws the transit time of data sent over a link now: the latency between the zones plus the
    /// delay by the link's faults.
    pub fn draw_transit_time(&self, from: LinkEnd, to: LinkEnd, state: &LinkState) -> Micros {
        let net = &self.experiment.net;
        let is_same_zone = self.zone_of(from) == self.zone_of(to);
        let base = micros_from_millis(if is_same_zone { net.same_ms } else { net.cross_ms });
        let mut rng = self.link_rng.borrow_mut();
        let jitter = if state.jitter > 0 { rng.random_range(0..=2 * state.jitter) } else { 0 };
        let retransmissions = draw_retransmission_delay(state.lost_share, &mut rng);
        (base + state.delay + jitter).saturating_sub(state.jitter) + retransmissions
    }

    fn zone_of(&self, end: LinkEnd) -> usize {
        match end {
            LinkEnd::Balancer(number) | LinkEnd::CacheServer(number) => {
                zone_of(number, &self.experiment.fleet)
            }
            LinkEnd::Origin | LinkEnd::Discovery => 0,
        }
    }

    /// Draws whether a link fault with this probability occurs; draws no random number for a share of 0.
    pub fn draw_fault(&self, share: f64) -> bool {
        share > 0.0 && self.link_rng.borrow_mut().random::<f64>() < share
    }

    /// Corrupts up to [`CORRUPTED_BYTES`] random bytes.
    pub fn corrupt(&self, bytes: &mut [u8]) {
        if bytes.is_empty() {
            return;
        }
        let mut rng = self.link_rng.borrow_mut();
        for _ in 0..CORRUPTED_BYTES {
            let position = rng.random_range(0..bytes.len());
            bytes[position] ^= rng.random_range(1..=255u8);
        }
    }

    /// Logs an attempt and returns its index in the log.
    pub fn log_attempt(&self, attempt: Attempt) -> usize {
        let attempts = &mut self.event_log.borrow_mut().attempts;
        attempts.push(attempt);
        attempts.len() - 1
    }

    /// Records a cache miss of a server for a request.
    pub fn on_miss(&self, request: u64, server: usize, in_slow_start: bool) {
        let mut misses = self.misses.borrow_mut();
        let request_misses = misses.entry(request).or_default();
        if request_misses.len() < MAX_MISSES_PER_REQUEST {
            let incarnation = self.incarnations[server].get();
            request_misses.push(Miss { server, incarnation, in_slow_start });
        }
    }

    /// Whether a server in slow start has missed for this request.
    pub fn has_slow_start_miss(&self, request: u64) -> bool {
        let misses = self.misses.borrow();
        misses.get(&request).is_some_and(|misses| misses.iter().any(|miss| miss.in_slow_start))
    }

    /// Stores the value that the origin returned in the caches of the servers that missed for this request.
    pub fn on_fetched(&self, request: u64, key: u64) {
        for Miss { server, incarnation, .. } in self.misses.borrow_mut().remove(&request).unwrap_or_default()
        {
            if self.incarnations[server].get() == incarnation && !self.silent[server].get() {
                self.servers[server].borrow_mut().store(key);
            }
        }
    }

    /// Invalidates the cached values of a key that the origin has written.
    pub fn on_written(&self, key: u64) {
        for server in &self.servers {
            server.borrow_mut().invalidate(key);
        }
    }

    /// Discards the misses of a completed request.
    pub fn on_request_ended(&self, request: u64) {
        self.misses.borrow_mut().remove(&request);
    }

    /// Begins a new incarnation of a server's machine when it stops or starts; existing connections are reset.
    pub fn begin_incarnation(&self, server: usize) {
        self.incarnations[server].set(self.incarnations[server].get() + 1);
    }

    /// Changes the lifecycle of a server in the endpoint list.
    pub fn set_lifecycle(&self, server: usize, lifecycle: Lifecycle) {
        let id = server_id(self.experiment.seed, server, self.replacements[server].get());
        let started_at = self.servers[server].borrow().started_at;
        let now = self.now();
        let mut endpoints = self.endpoints.borrow_mut();
        endpoints.list.apply_change(Endpoint { id, server_number: server, lifecycle, started_at });
        endpoints.changed_at.push(now);
    }

    /// The newest generation of the endpoint list that is visible to this balancer now, and the time at which the next one
    /// becomes visible, if there is a next one.
    pub fn visible_generation(&self, balancer: usize) -> (u64, Option<Micros>) {
        let notice = micros_from_seconds(self.experiment.discovery.notice_s);
        let delay = notice + self.notice_delays.borrow()[balancer];
        let endpoints = self.endpoints.borrow();
        let changes = &endpoints.changed_at;
        // The initial entries of the list are visible at once.
        let initial = self.servers.len() + 1;
        let visible_at = |index: usize| if index < initial { 0 } else { changes[index] + delay };
        let now = self.now();
        let mut generation = initial.min(changes.len());
        while generation < changes.len() && visible_at(generation) <= now {
            generation += 1;
        }
        (generation as u64, (generation < changes.len()).then(|| visible_at(generation)))
    }
}

fn cache_servers(experiment: &Experiment) -> Vec<RefCell<CacheServer>> {
    let fleet = &experiment.fleet;
    let cached_keys = experiment.servers.cached_keys_ratio * experiment.load.keys as f64;
    let max_keys = (cached_keys / fleet.servers as f64).ceil().max(1.0) as usize;
    let server = |number: usize| {
        let weight = fleet.weights[number % fleet.weights.len()];
        RefCell::new(CacheServer::new(experiment.servers, weight, max_keys))
    };
    (0..fleet.servers).map(server).collect()
}

/// The initial endpoint list: all servers and the origin, in service.
fn initial_endpoints(experiment: &Experiment) -> TimedEndpointList {
    let endpoint = |server_number| Endpoint {
        id: server_id(experiment.seed, server_number, 0),
        server_number,
        lifecycle: Lifecycle::InService,
        started_at: None,
    };
    let endpoints: Vec<Endpoint> = (0..=experiment.fleet.servers).map(endpoint).collect();
    TimedEndpointList { changed_at: vec![0; endpoints.len()], list: EndpointList::new(endpoints) }
}

/// Draws the delay that TCP retransmissions cause on a link that loses this share of packets.
fn draw_retransmission_delay(lost_share: f64, rng: &mut SeededRng) -> Micros {
    let mut delay = 0;
    let mut retransmission_delay = FIRST_RETRANSMISSION_DELAY;
    while lost_share > 0.0 && delay < MAX_RETRANSMISSION_DELAY && rng.random::<f64>() < lost_share {
        delay += retransmission_delay;
        retransmission_delay *= 2;
    }
    delay
}

/// The id of a server after this number of replacements; the highest server number belongs to the origin.
pub fn server_id(seed: u64, server_number: usize, replacement: u32) -> String {
    let number = seed.wrapping_mul(1_000_003) ^ ((server_number as u64) << 16) ^ u64::from(replacement);
    format!("s-{:08x}", mix_bits(number) as u32)
}

/// Builds a request id; its upper 16 bits are the number of the balancer.
pub fn request_id(balancer: usize, number: u64) -> u64 {
    (balancer as u64) << 48 | number
}

/// The balancer that a request with this id was sent to.
pub fn balancer_of(request: u64) -> usize {
    (request >> 48) as usize
}

/// The value with which a server or the origin answers a request.
pub fn value_of(request: u64, key: u64) -> String {
    format!("value of {} for {request:016x}", key_name(key))
}

/// The receipt of the write with this idempotency key.
pub fn receipt_of(idempotency_key: u64) -> String {
    format!("r{idempotency_key:016x}")
}
