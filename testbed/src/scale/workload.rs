//! Drawn traffic: what a member's control code would see of client requests and of cache servers, without either.

use std::collections::VecDeque;
use std::ops::Range;

use juniperladder_cluster::Micros as Time;
use juniperladder_cluster::{Cluster, ServerId, ServerIncarnation, ServingServer};

use super::Micros;

/// The limit that misses take from.
pub const ORIGIN_LIMIT: &str = "origin";
/// The share of requests that go to the origin.
const MISS_SHARE: f64 = 0.1;
/// The share of members that are busy, and how many times the others' rate they have.
const BUSY_SHARE: f64 = 0.2;
const BUSY_FACTOR: f64 = 3.0;
/// How much of the origin's limit all requests together would use.
const ORIGIN_USE: f64 = 0.8;
/// After how long an attempt at a silent server counts as timed out.
const ATTEMPT_TIMEOUT: Micros = 250_000;
/// The list gives every server this start: long ago, so that all are warm.
const SERVER_START: Micros = 1;
/// The most requests that one tick catches up on after a pause.
const REQUESTS_PER_TICK_MAX: usize = 64;

/// What the drawn traffic of a fleet is like.
#[derive(Clone, Debug)]
pub struct WorkloadConfig {
    /// Requests a second at a member, on average over all members.
    pub requests_per_s: f64,
    /// How many cache servers there are.
    pub servers: usize,
    /// Cache servers that fall silent, and when.
    pub silent: Vec<(u64, Range<Micros>)>,
}

impl WorkloadConfig {
    /// The origin's limit for so many members, in fetches a second.
    pub fn origin_limit(&self, members: usize) -> u32 {
        (self.requests_per_s * members as f64 * MISS_SHARE / ORIGIN_USE).ceil().max(1.0) as u32
    }

    fn is_silent(&self, server: u64, now: Micros) -> bool {
        self.silent.iter().any(|(silent, during)| *silent == server && during.contains(&now))
    }
}

/// One member's drawn traffic.
pub struct Workload {
    config: WorkloadConfig,
    rng: fastrand::Rng,
    requests_per_s: f64,
    last: Micros,
    /// Attempts at silent servers: when they time out, and the server.
    waiting: VecDeque<(Micros, u64)>,
    /// When each server last answered.
    answered: Vec<Micros>,
}

impl Workload {
    /// The traffic of a member whose draws follow from this seed.
    pub fn new(config: WorkloadConfig, seed: u64, now: Micros) -> Workload {
        let mut rng = fastrand::Rng::with_seed(seed);
        let quiet = config.requests_per_s / (1.0 + BUSY_SHARE * (BUSY_FACTOR - 1.0));
        let factor = if rng.f64() < BUSY_SHARE { BUSY_FACTOR } else { 1.0 };
        let answered = vec![0; config.servers];
        Workload {
            config,
            rng,
            requests_per_s: quiet * factor,
            last: now,
            waiting: VecDeque::new(),
            answered,
        }
    }

    /// The cache servers as discovery would list them, with their zones.
    pub fn servers(&self, zones: usize) -> Vec<ServingServer> {
        let serving = |server: u64| ServingServer {
            server: ServerId(server),
            started: Time(SERVER_START),
            zone: (server % zones.max(1) as u64) as u32,
        };
        (0..self.config.servers as u64).map(serving).collect()
    }

    /// Generates the requests since the last call on a member's control code.
    pub fn generate(&mut self, cluster: &mut Cluster, now: Micros) {
        self.time_out(cluster, now);
        let due = self.requests_per_s * (now - self.last) as f64 / 1e6;
        self.last = now;
        let count = due as usize + usize::from(self.rng.f64() < due.fract());
        for _ in 0..count.min(REQUESTS_PER_TICK_MAX) {
            self.request(cluster, now);
        }
    }

    /// Reports the attempts that got no answer in time, and asks for a retry of each.
    fn time_out(&mut self, cluster: &mut Cluster, now: Micros) {
        while self.waiting.front().is_some_and(|(due, _)| *due <= now) {
            let Some((_, server)) = self.waiting.pop_front() else { break };
            if let Some(detector) = cluster.failure_detector() {
                detector.on_server_observed(start(server), true, Time(now));
            }
            if let Some(retries) = cluster.retry_budget() {
                if retries.has_credit(Time(now)) {
                    retries.acquire(Time(now));
                } else {
                    retries.on_rejected(Time(now));
                }
            }
        }
    }

    /// One request: an attempt at a cache server, and at times a fetch from the origin.
    fn request(&mut self, cluster: &mut Cluster, now: Micros) {
        if let Some(retries) = cluster.retry_budget() {
            retries.on_first_attempt();
        }
        let server = self.rng.u64(0..self.config.servers.max(1) as u64);
        let heard = self.answered.get(server as usize).copied().unwrap_or(0);
        let per_s = self.requests_per_s / self.config.servers.max(1) as f64;
        let avoided = cluster
            .failure_detector()
            .is_some_and(|detector| detector.should_avoid(start(server), Time(heard), per_s, Time(now)));
        if !avoided {
            self.attempt(cluster, server, now);
        }
        if self.rng.f64() < MISS_SHARE {
            if let Some(limit) = cluster.rate_limit(ORIGIN_LIMIT) {
                if limit.wait_time(Time(now)).is_zero() {
                    limit.acquire(Time(now));
                } else {
                    limit.on_rejected(Time(now));
                }
            }
        }
    }

    fn attempt(&mut self, cluster: &mut Cluster, server: u64, now: Micros) {
        if self.config.is_silent(server, now) {
            self.waiting.push_back((now + ATTEMPT_TIMEOUT, server));
            return;
        }
        if let Some(heard) = self.answered.get_mut(server as usize) {
            *heard = now;
        }
        if let Some(detector) = cluster.failure_detector() {
            detector.on_server_observed(start(server), false, Time(now));
        }
    }
}

fn start(server: u64) -> ServerIncarnation {
    ServerIncarnation { server: ServerId(server), started: Time(SERVER_START) }
}
