//! Drawn traffic: what a member's control code would see of client requests and of cache hosts, without either.

use std::collections::VecDeque;
use std::ops::Range;

use juniperladder_cluster::cold::Start;
use juniperladder_cluster::Cluster;

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
/// After how long an attempt at a silent host counts as timed out.
const ATTEMPT_TIMEOUT: Micros = 250_000;
/// The list gives every host this start: long ago, so that all are warm.
const HOST_START: Micros = 1;
/// The most requests that one tick catches up on after a pause.
const REQUESTS_PER_TICK_MAX: usize = 64;

/// What the drawn traffic of a fleet is like.
#[derive(Clone, Debug)]
pub struct WorkloadConfig {
    /// Requests a second at a member, on average over all members.
    pub requests_per_s: f64,
    /// How many cache hosts there are.
    pub hosts: usize,
    /// Cache hosts that fall silent, and when.
    pub silent: Vec<(u64, Range<Micros>)>,
}

impl WorkloadConfig {
    /// The origin's limit for so many members, in fetches a second.
    pub fn origin_limit(&self, members: usize) -> u32 {
        (self.requests_per_s * members as f64 * MISS_SHARE / ORIGIN_USE).ceil().max(1.0) as u32
    }

    fn is_silent(&self, host: u64, now: Micros) -> bool {
        self.silent.iter().any(|(silent, during)| *silent == host && during.contains(&now))
    }
}

/// One member's drawn traffic.
pub struct Workload {
    config: WorkloadConfig,
    rng: fastrand::Rng,
    requests_per_s: f64,
    last: Micros,
    /// Attempts at silent hosts: when they time out, and the host.
    waiting: VecDeque<(Micros, u64)>,
    /// When each host last answered.
    answered: Vec<Micros>,
}

impl Workload {
    /// The traffic of a member whose draws follow from this seed.
    pub fn new(config: WorkloadConfig, seed: u64, now: Micros) -> Workload {
        let mut rng = fastrand::Rng::with_seed(seed);
        let quiet = config.requests_per_s / (1.0 + BUSY_SHARE * (BUSY_FACTOR - 1.0));
        let factor = if rng.f64() < BUSY_SHARE { BUSY_FACTOR } else { 1.0 };
        let answered = vec![0; config.hosts];
        Workload {
            config,
            rng,
            requests_per_s: quiet * factor,
            last: now,
            waiting: VecDeque::new(),
            answered,
        }
    }

    /// The cache hosts as discovery would list them, with their zones.
    pub fn hosts(&self, zones: usize) -> impl Iterator<Item = (Start, u32)> {
        (0..self.config.hosts as u64).map(move |host| (start(host), (host % zones.max(1) as u64) as u32))
    }

    /// Plays the requests since the last call on a member's control code.
    pub fn play(&mut self, cluster: &mut Cluster, now: Micros) {
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
            let Some((_, host)) = self.waiting.pop_front() else { break };
            if let Some(verdicts) = cluster.verdicts() {
                verdicts.saw(start(host), true, now);
            }
            if let Some(retries) = cluster.second() {
                if retries.has(now) {
                    retries.spend(now);
                } else {
                    retries.denied(now);
                }
            }
        }
    }

    /// One request: an attempt at a cache host, and at times a fetch from the origin.
    fn request(&mut self, cluster: &mut Cluster, now: Micros) {
        if let Some(retries) = cluster.second() {
            retries.first();
        }
        let host = self.rng.u64(0..self.config.hosts.max(1) as u64);
        let heard = self.answered.get(host as usize).copied().unwrap_or(0);
        let per_s = self.requests_per_s / self.config.hosts.max(1) as f64;
        let avoided =
            cluster.verdicts().is_some_and(|reports| reports.warned(start(host), heard, per_s, now));
        if !avoided {
            self.attempt(cluster, host, now);
        }
        if self.rng.f64() < MISS_SHARE {
            if let Some(limit) = cluster.limit(ORIGIN_LIMIT) {
                if limit.wait(now) == 0 {
                    limit.took(now);
                } else {
                    limit.denied(now);
                }
            }
        }
    }

    fn attempt(&mut self, cluster: &mut Cluster, host: u64, now: Micros) {
        if self.config.is_silent(host, now) {
            self.waiting.push_back((now + ATTEMPT_TIMEOUT, host));
            return;
        }
        if let Some(heard) = self.answered.get_mut(host as usize) {
            *heard = now;
        }
        if let Some(verdicts) = cluster.verdicts() {
            verdicts.saw(start(host), false, now);
        }
    }
}

fn start(host: u64) -> Start {
    Start { server: host, started: HOST_START }
}
