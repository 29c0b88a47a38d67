//! Endpoints that run a balancer's coordination: membership only, or all of `juniperladder_cluster`.

use std::net::SocketAddr;

use juniperladder_cluster::failure_detector::FailureDetectorTerms;
use juniperladder_cluster::membership::{MemberId, Membership};
use juniperladder_cluster::packet::{self, CoordinationMessage, Packet, Payload, HEADER_BYTES};
use juniperladder_cluster::retry_budget::RetryBudgetTerms;
use juniperladder_cluster::slow_start_limit::SlowStartTerms;
use juniperladder_cluster::Micros as Time;
use juniperladder_cluster::{rate_limit, Cluster, ClusterConfig, NamedRateLimit};

use super::endpoint::{Datagram, Endpoint, PacketKind, StateQuery};
use super::workload::{Workload, WorkloadConfig, ORIGIN_LIMIT};
use super::Micros;

// The values of `deploy/operator.example.toml`.
const LEASE_DURATION: Time = Time::from_secs(2);
const CLOCK_DRIFT_RATIO: f64 = 0.001;
const ARRIVAL_SPREAD: Time = Time::from_millis(50);
const SLOW_START_SENDS_PER_S: u32 = 100;
const SLOW_START_INITIAL_SHARE: f64 = 0.25;
const WARM_UP: Time = Time::from_secs(10);
const RETRY_SHARE: f64 = 0.4;
const RETRIES_SAVED: f64 = 10.0;
const MIN_REPORTERS: usize = 3;
const REPORT_EXPIRY: Time = Time::from_secs(6);
const AVOIDED_SHARE: f64 = 0.34;
const TRIES_PER_S: f64 = 1.0;

/// The identity of a member.
#[derive(Clone, Debug)]
pub struct Identity {
    /// The member's address.
    pub address: SocketAddr,
    /// The member's number, from 0.
    pub number: usize,
    /// The member's zone.
    pub zone: usize,
    /// The member's incarnation; a later start has a greater one.
    pub life: u64,
    /// The addresses of the members to contact first.
    pub seeds: Vec<SocketAddr>,
    /// The seed of the member's random numbers.
    pub seed: u64,
}

/// A member that runs only the membership.
pub struct MembershipEndpoint(Membership);

impl MembershipEndpoint {
    /// Creates a member that starts now.
    pub fn new(identity: Identity, now: Micros) -> MembershipEndpoint {
        let member = MemberId { address: identity.address, incarnation: identity.life };
        MembershipEndpoint(Membership::new(member, identity.seeds, identity.seed, Time(now)))
    }
}

impl Endpoint for MembershipEndpoint {
    fn on_datagram(&mut self, now: Micros, _from: SocketAddr, bytes: &[u8]) {
        if let Ok(Packet::Membership(bytes)) = packet::decode(bytes) {
            self.0.on_packet(Time(now), bytes);
        }
    }

    fn on_tick(&mut self, now: Micros) {
        self.0.tick(Time(now));
    }

    fn drain_datagrams(&mut self) -> Vec<Datagram> {
        self.0.drain().map(|(to, bytes)| (to, packet::encode_membership(&bytes))).collect()
    }

    fn satisfies(&mut self, query: &StateQuery) -> bool {
        is_satisfied_by_members(&self.0, query)
    }

    fn known_member_count(&self) -> Option<usize> {
        Some(self.0.counts().alive)
    }
}

/// A member that runs all of a balancer's coordination, with synthetic traffic in place of client connections.
pub struct ClusterEndpoint {
    cluster: Cluster,
    workload: Workload,
}

impl ClusterEndpoint {
    /// Creates a member that starts now, in a fleet of `members`.
    pub fn new(
        identity: Identity,
        members: usize,
        zones: usize,
        config: WorkloadConfig,
        now: Micros,
    ) -> ClusterEndpoint {
        let seed = identity.seed;
        let mut cluster = Cluster::new(plan(identity, members, &config), Time(now));
        let workload = Workload::new(config, seed ^ 0x10ad, now);
        if let Some(detector) = cluster.failure_detector() {
            detector.on_endpoints_changed(&workload.servers(zones));
        }
        ClusterEndpoint { cluster, workload }
    }
}

impl Endpoint for ClusterEndpoint {
    fn on_datagram(&mut self, now: Micros, from: SocketAddr, bytes: &[u8]) {
        self.cluster.on_packet(Time(now), from, bytes);
    }

    fn on_tick(&mut self, now: Micros) {
        self.workload.generate(&mut self.cluster, now);
        self.cluster.tick(Time(now));
    }

    fn drain_datagrams(&mut self) -> Vec<Datagram> {
        self.cluster.drain()
    }

    fn satisfies(&mut self, query: &StateQuery) -> bool {
        match query {
            StateQuery::SilentServerAvoided => self
                .cluster
                .failure_detector()
                .is_some_and(|detector| detector.metrics().suspected_servers > 0),
            query => is_satisfied_by_members(self.cluster.membership(), query),
        }
    }

    fn known_member_count(&self) -> Option<usize> {
        Some(self.cluster.member_counts().alive)
    }
}

fn is_satisfied_by_members(membership: &Membership, query: &StateQuery) -> bool {
    match query {
        StateQuery::Alive(address) => membership.is_alive(*address),
        StateQuery::NotAlive(address) => !membership.is_alive(*address),
        StateQuery::SilentServerAvoided => false,
    }
}

/// The cluster configuration of a member, with the values of `deploy/operator.example.toml`.
fn plan(identity: Identity, members: usize, config: &WorkloadConfig) -> ClusterConfig {
    let holders = members as u32;
    let terms = |whole| rate_limit::RateLimitTerms {
        requests_per_s: whole,
        arrival_spread: ARRIVAL_SPREAD,
        owners: holders,
        lease_duration: LEASE_DURATION,
        clock_drift: CLOCK_DRIFT_RATIO,
    };
    ClusterConfig {
        address: identity.address,
        incarnation: identity.life,
        position: identity.number as u32,
        zone: identity.zone as u32,
        seeds: identity.seeds,
        rate_limits: vec![NamedRateLimit {
            name: ORIGIN_LIMIT.to_owned(),
            terms: terms(config.origin_limit(members)),
        }],
        slow_start: Some(SlowStartTerms {
            rate_limit: terms(SLOW_START_SENDS_PER_S),
            initial_share: SLOW_START_INITIAL_SHARE,
            duration: WARM_UP,
        }),
        retry_budget: Some(RetryBudgetTerms {
            retries_per_first_attempt: RETRY_SHARE,
            max_saved_credits: RETRIES_SAVED * f64::from(holders),
            holders,
        }),
        failure_detector: Some(FailureDetectorTerms {
            min_reporters: MIN_REPORTERS,
            report_lifetime: REPORT_EXPIRY,
            max_suspected_share: AVOIDED_SHARE,
            trials_per_s: TRIES_PER_S,
            clock_drift: CLOCK_DRIFT_RATIO,
        }),
        random_seed: identity.seed,
    }
}

/// Calls `add` with the kind and length of each part of a packet. The header counts for the first part.
pub fn packet_parts(bytes: &[u8], mut add: impl FnMut(PacketKind, usize)) {
    match packet::decode(bytes) {
        Ok(Packet::Membership(_)) => add(PacketKind::Membership, bytes.len()),
        Ok(Packet::Coordination(_)) => {
            let (mut rest, mut head) = (&bytes[HEADER_BYTES..], HEADER_BYTES);
            while let Ok((message, more)) = postcard::take_from_bytes::<CoordinationMessage>(rest) {
                add(kind_of(&message.payload), rest.len() - more.len() + head);
                (rest, head) = (more, 0);
                if rest.is_empty() {
                    break;
                }
            }
        }
        Err(_) => add(PacketKind::Unknown, bytes.len()),
    }
}

fn kind_of(payload: &Payload) -> PacketKind {
    match payload {
        Payload::RateLimit(..) => PacketKind::RateLimit,
        Payload::SlowStart(..) => PacketKind::SlowStart,
        Payload::RetryBudget(_) => PacketKind::RetryBudget,
        Payload::FailureDetector(_) => PacketKind::FailureDetector,
    }
}
