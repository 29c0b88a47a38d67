//! What all parts of the rig share: the clock, the machines, the links, the list and the event log.

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

/// The kernel's first resend of what was lost on TCP; each further loss in a row doubles it.
const RESEND: Micros = 200_000;
/// Misses of one request that are remembered for the origin's answer; a request has three attempts.
const MISSES: usize = 3;

/// A server that lacks a request's key.
struct Missed {
    server: usize,
    /// Which life of its machine that was.
    life: u32,
    cold: bool,
}

/// The rig, shared by all its tasks.
pub struct Rig {
    /// What is played.
    pub experiment: Experiment,
    started: Instant,
    epoch_ms: u64,
    /// The cache servers, and how often each one's connections have ended with it.
    pub servers: Vec<RefCell<CacheServer>>,
    /// How often each server's machine went away; a connection of before is void.
    pub lives: Vec<Cell<u32>>,
    /// How often another server, with another id, took each one's place.
    pub replaced: Vec<Cell<u32>>,
    /// Servers that say nothing.
    pub silent: Vec<Cell<bool>>,
    /// Connections that each server has open.
    pub connections: Vec<Cell<usize>>,
    /// The origin.
    pub origin: RefCell<Origin>,
    /// The list, and when each of its changes was made.
    pub catalog: RefCell<(EndpointList, Vec<Micros>)>,
    /// Calls to discovery, in turn.
    pub door: RefCell<CallQueue>,
    /// Whether discovery is down.
    pub down: Cell<bool>,
    /// How much later each balancer is told.
    pub late: RefCell<Vec<Micros>>,
    /// The links and their faults.
    pub links: RefCell<Links>,
    /// A balancer of each side, by the side's number.
    pub sides: Vec<usize>,
    /// What the run leaves.
    pub event_log: RefCell<EventLog>,
    /// Requests' misses: the servers that lack the key, and which life of theirs it was.
    missed: RefCell<HashMap<u64, Vec<Missed>>>,
    machines: RefCell<SeededRng>,
    wires: RefCell<SeededRng>,
    /// Bumped whenever something changes that a waiting task must look at.
    pub weather: watch::Sender<u64>,
}

impl Rig {
    /// The world of an experiment, with its links; its clock begins now.
    pub fn new(experiment: Experiment, links: Links) -> Rc<Rig> {
        let e = &experiment;
        let count = e.fleet.servers;
        let kept = (e.servers.keep * e.load.keys as f64 / count as f64).ceil().max(1.0) as usize;
        let weight = |n: usize| e.fleet.weights[n % e.fleet.weights.len()];
        let entry = |slot| Endpoint {
            id: host_id(e.seed, slot, 0),
            slot,
            lifecycle: Lifecycle::InService,
            started_at: None,
        };
        let entries: Vec<Endpoint> = (0..=count).map(entry).collect();
        let times = vec![0; entries.len()];
        let of_balancers = links.sides(e);
        let sides = (0..=of_balancers.iter().copied().max().unwrap_or(0))
            .filter_map(|side| of_balancers.iter().position(|s| *s == side))
            .collect();
        let epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Rc::new(Rig {
            started: Instant::now(),
            epoch_ms: epoch.as_millis() as u64,
            servers: (0..count).map(|n| RefCell::new(CacheServer::new(e.servers, weight(n), kept))).collect(),
            lives: vec![Cell::new(0); count],
            replaced: vec![Cell::new(0); count],
            silent: vec![Cell::new(false); count],
            connections: vec![Cell::new(0); count],
            origin: RefCell::new(Origin::new(e.origin)),
            catalog: RefCell::new((EndpointList::new(entries), times)),
            door: RefCell::new(CallQueue::new(e.discovery.calls_per_s, e.discovery.timeout_s)),
            down: Cell::new(false),
            late: RefCell::new(vec![0; e.fleet.balancers]),
            links: RefCell::new(links),
            sides,
            event_log: RefCell::default(),
            missed: RefCell::default(),
            machines: RefCell::new(seeded_rng(e.seed, RngStream::Machines)),
            wires: RefCell::new(seeded_rng(e.seed, RngStream::Links)),
            weather: watch::channel(0).0,
            experiment,
        })
    }

    /// Now.
    pub fn now(&self) -> Micros {
        self.started.elapsed().as_micros() as Micros
    }

    /// The instant of a time.
    pub fn instant(&self, at: Micros) -> Instant {
        self.started + Duration::from_micros(at)
    }

    /// The Unix time in milliseconds of a time, as discovery tells a server's start.
    pub fn unix_ms(&self, at: Micros) -> u64 {
        self.epoch_ms + at / 1_000
    }

    /// Random numbers for the machines' work.
    pub fn machines(&self) -> std::cell::RefMut<'_, SeededRng> {
        self.machines.borrow_mut()
    }

    /// Tells all waiting tasks that something has changed.
    pub fn stir(&self) {
        self.weather.send_modify(|count| *count += 1);
    }

    /// What is wrong with a link, from one end to the other.
    pub fn link(&self, from: LinkEnd, to: LinkEnd) -> LinkState {
        self.links.borrow().state(from, to)
    }

    /// How long what is sent now takes over a link: the zones' part, and what its faults add.
    pub fn way(&self, from: LinkEnd, to: LinkEnd, state: &LinkState) -> Micros {
        let fleet = &self.experiment.fleet;
        let zone = |end| match end {
            LinkEnd::Balancer(n) | LinkEnd::CacheServer(n) => zone_of(n, fleet),
            LinkEnd::Origin | LinkEnd::Discovery => 0,
        };
        let net = &self.experiment.net;
        let base = micros_from_millis(if zone(from) == zone(to) { net.same_ms } else { net.cross_ms });
        let mut rng = self.wires.borrow_mut();
        let jitter = if state.jitter > 0 { rng.random_range(0..=2 * state.jitter) } else { 0 };
        let mut lost = 0;
        if state.lost_share > 0.0 {
            let mut resend = RESEND;
            // A connection gives up after some losses in a row; a dozen is minutes.
            while lost < 12 * RESEND && rng.random::<f64>() < state.lost_share {
                lost += resend;
                resend *= 2;
            }
        }
        (base + state.delay + jitter).saturating_sub(state.jitter) + lost
    }

    /// Whether this happens, at this share.
    pub fn happens(&self, share: f64) -> bool {
        share > 0.0 && self.wires.borrow_mut().random::<f64>() < share
    }

    /// Spoils some bytes.
    pub fn spoil(&self, bytes: &mut [u8]) {
        let mut rng = self.wires.borrow_mut();
        for _ in 0..3 {
            if let Some(byte) = (!bytes.is_empty()).then(|| rng.random_range(0..bytes.len())) {
                bytes[byte] ^= rng.random_range(1..=255u8);
            }
        }
    }

    /// Puts an attempt into the event log; gives its place there.
    pub fn received(&self, attempt: Attempt) -> usize {
        let attempts = &mut self.event_log.borrow_mut().attempts;
        attempts.push(attempt);
        attempts.len() - 1
    }

    /// A server has missed for a request.
    pub fn missed(&self, id: u64, server: usize, cold: bool) {
        let mut all = self.missed.borrow_mut();
        let one = all.entry(id).or_default();
        if one.len() < MISSES {
            one.push(Missed { server, life: self.lives[server].get(), cold });
        }
    }

    /// Whether a cold server has missed for this request.
    pub fn missed_cold(&self, id: u64) -> bool {
        self.missed.borrow().get(&id).is_some_and(|all| all.iter().any(|missed| missed.cold))
    }

    /// The origin has answered a request's read: the servers that missed for it store the value.
    pub fn store(&self, id: u64, key: u64) {
        for Missed { server, life, .. } in self.missed.borrow_mut().remove(&id).unwrap_or_default() {
            if self.lives[server].get() == life && !self.silent[server].get() {
                self.servers[server].borrow_mut().store(key);
            }
        }
    }

    /// The origin has taken a write: the copies are void.
    pub fn void(&self, key: u64) {
        self.servers.iter().for_each(|server| server.borrow_mut().invalidate(key));
    }

    /// A request is over: nothing of it is remembered.
    pub fn over(&self, id: u64) {
        self.missed.borrow_mut().remove(&id);
    }

    /// The list changes.
    pub fn list(&self, entry: Endpoint) {
        let now = self.now();
        let mut catalog = self.catalog.borrow_mut();
        catalog.0.apply_change(entry);
        catalog.1.push(now);
    }

    /// The newest generation that this balancer may be told by now, and when the next one may be.
    pub fn tellable(&self, balancer: usize) -> (u64, Option<Micros>) {
        let late = micros_from_seconds(self.experiment.discovery.notice_s) + self.late.borrow()[balancer];
        let catalog = self.catalog.borrow();
        let first = self.servers.len() + 1;
        let now = self.now();
        // What was listed at the beginning is no news.
        let due = |place: usize| if place < first { 0 } else { catalog.1[place] + late };
        let mut generation = first.min(catalog.1.len());
        while generation < catalog.1.len() && due(generation) <= now {
            generation += 1;
        }
        (generation as u64, (generation < catalog.1.len()).then(|| due(generation)))
    }
}

/// The id of the server that stands at a slot in this life of it; the last slot is the origin's.
pub fn host_id(seed: u64, slot: usize, life: u32) -> String {
    format!(
        "s-{:08x}",
        mix_bits(seed.wrapping_mul(1_000_003) ^ ((slot as u64) << 16) ^ u64::from(life)) as u32
    )
}

/// The id of a try: its balancer can be read from it.
pub fn request_id(balancer: usize, number: u64) -> u64 {
    (balancer as u64) << 48 | number
}

/// The balancer that a try with this id was sent to.
pub fn balancer_of(id: u64) -> usize {
    (id >> 48) as usize
}

/// The value that a server or the origin makes for a request.
pub fn value_of(id: u64, key: u64) -> String {
    format!("value of {} for {id:016x}", key_name(key))
}

/// The receipt of the write with this idempotency key.
pub fn receipt_of(write: u64) -> String {
    format!("r{write:016x}")
}
