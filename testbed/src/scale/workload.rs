//! Synthetic traffic: calls a member's control code as for requests of clients and responses of cache servers, without real
//! clients or servers.

use std::collections::VecDeque;
use std::ops::Range;

use juniperladder_cluster::Micros as Time;
use juniperladder_cluster::{Cluster, ServerId, ServerIncarnation, ServingServer};

use super::Micros;

/// Name of the rate limit that cache misses take tokens from.
pub const ORIGIN_LIMIT_NAME: &str = "origin";
/// Share of requests that are cache misses and go to the origin.
const CACHE_MISS_SHARE: f64 = 0.1;
/// Share of members that are busy.
const BUSY_MEMBER_SHARE: f64 = 0.2;
/// Request rate of a busy member, as a multiple of the other members' rate.
const BUSY_RATE_FACTOR: f64 = 3.0;
/// Share of the origin's rate limit that the whole fleet's cache misses use.
const ORIGIN_UTILISATION: f64 = 0.8;
/// Timeout of an attempt at a silent server.
const ATTEMPT_TIMEOUT: Micros = 250_000;
/// Start time of every server in the endpoint list: long ago, so that no server is in slow start.
const SERVER_START_TIME: Micros = 1;
/// Maximum number of requests generated in one tick, also after a stall.
const MAX_REQUESTS_PER_TICK: usize = 64;

/// The synthetic traffic of a fleet.
#[derive(Clone, Debug)]
pub struct WorkloadConfig {
    /// Requests per second at a member, on average over all members.
    pub requests_per_s: f64,
    /// Number of cache servers.
    pub servers: usize,
    /// Each cache server that stops answering, with the period.
    pub silent_servers: Vec<(u64, Range<Micros>)>,
}

impl WorkloadConfig {
    /// The origin's rate limit for a fleet of this many members, in fetches per second.
    pub fn origin_limit(&self, members: usize) -> u32 {
        (self.requests_per_s * members as f64 * CACHE_MISS_SHARE / ORIGIN_UTILISATION).ceil().max(1.0) as u32
    }

    fn is_silent(&self, server: u64, now: Micros) -> bool {
        self.silent_servers
            .iter()
            .any(|(silent_server, period)| *silent_server == server && period.contains(&now))
    }
}

/// The synthetic traffic of one member.
pub struct Workload {
    config: WorkloadConfig,
    rng: fastrand::Rng,
    requests_per_s: f64,
    /// Time of the last call of [`Workload::generate`].
    last_generated: Micros,
    /// Attempts at silent servers, as time of the timeout and server number.
    pending_attempts: VecDeque<(Micros, u64)>,
    /// Time of the last response of each server.
    last_responses: Vec<Micros>,
}

impl Workload {
    /// Creates the traffic of a member. Its random choices follow from the seed.
    pub fn new(config: WorkloadConfig, seed: u64, now: Micros) -> Workload {
        let mut rng = fastrand::Rng::with_seed(seed);
        let base_rate_per_s = config.requests_per_s / (1.0 + BUSY_MEMBER_SHARE * (BUSY_RATE_FACTOR - 1.0));
        let rate_factor = if rng.f64() < BUSY_MEMBER_SHARE { BUSY_RATE_FACTOR } else { 1.0 };
        let last_responses = vec![0; config.servers];
        Workload {
            config,
            rng,
            requests_per_s: base_rate_per_s * rate_factor,
            last_generated: now,
            pending_attempts: VecDeque::new(),
            last_responses,
        }
    }

    /// The cache servers with their zones, as discovery would list them.
    pub fn servers(&self, zones: usize) -> Vec<ServingServer> {
        let serving = |server: u64| ServingServer {
            server: ServerId(server),
            started: Time(SERVER_START_TIME),
            zone: (server % zones.max(1) as u64) as u32,
        };
        (0..self.config.servers as u64).map(serving).collect()
    }

    /// Passes the requests that arrived since the last call to the member's control code.
    pub fn generate(&mut self, cluster: &mut Cluster, now: Micros) {
        self.report_timed_out_attempts(cluster, now);
        let expected_count = self.requests_per_s * (now - self.last_generated) as f64 / 1e6;
        self.last_generated = now;
        let count = expected_count as usize + usize::from(self.rng.f64() < expected_count.fract());
        for _ in 0..count.min(MAX_REQUESTS_PER_TICK) {
            self.generate_request(cluster, now);
        }
    }

    /// Reports the attempts that have timed out, and takes a retry credit for each if there is one.
    fn report_timed_out_attempts(&mut self, cluster: &mut Cluster, now: Micros) {
        while self.pending_attempts.front().is_some_and(|(due, _)| *due <= now) {
            let Some((_, server)) = self.pending_attempts.pop_front() else { break };
            if let Some(detector) = cluster.failure_detector() {
                detector.on_server_observed(server_incarnation(server), true, Time(now));
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

    /// Generates a request: an attempt at a cache server unless the server is avoided, and a fetch from the origin for a miss.
    fn generate_request(&mut self, cluster: &mut Cluster, now: Micros) {
        if let Some(retries) = cluster.retry_budget() {
            retries.on_first_attempt();
        }
        let server = self.rng.u64(0..self.config.servers.max(1) as u64);
        let last_response = self.last_responses.get(server as usize).copied().unwrap_or(0);
        let own_rate_per_s = self.requests_per_s / self.config.servers.max(1) as f64;
        let is_avoided = cluster.failure_detector().is_some_and(|detector| {
            detector.should_avoid(server_incarnation(server), Time(last_response), own_rate_per_s, Time(now))
        });
        if !is_avoided {
            self.send_attempt(cluster, server, now);
        }
        if self.rng.f64() < CACHE_MISS_SHARE {
            if let Some(limit) = cluster.rate_limit(ORIGIN_LIMIT_NAME) {
                if limit.wait_time(Time(now)).is_zero() {
                    limit.acquire(Time(now));
                } else {
                    limit.on_rejected(Time(now));
                }
            }
        }
    }

    fn send_attempt(&mut self, cluster: &mut Cluster, server: u64, now: Micros) {
        if self.config.is_silent(server, now) {
            self.pending_attempts.push_back((now + ATTEMPT_TIMEOUT, server));
            return;
        }
        if let Some(last_response) = self.last_responses.get_mut(server as usize) {
            *last_response = now;
        }
        if let Some(detector) = cluster.failure_detector() {
            detector.on_server_observed(server_incarnation(server), false, Time(now));
        }
    }
}

fn server_incarnation(server: u64) -> ServerIncarnation {
    ServerIncarnation { server: ServerId(server), started: Time(SERVER_START_TIME) }
}
