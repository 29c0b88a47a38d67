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
use super::workload::{Workload, WorkloadConfig, ORIGIN_LIMIT_NAME};
use super::Micros;

// The values of `deploy/operator.example.toml`.
const LEASE_DURATION: Time = Time::from_secs(2);
const CLOCK_DRIFT_RATIO: f64 = 0.001;
const ARRIVAL_SPREAD: Time = Time::from_millis(50);
const SLOW_START_SENDS_PER_S: u32 = 100;
const SLOW_START_INITIAL_SHARE: f64 = 0.25;
const SLOW_START_DURATION: Time = Time::from_secs(10);
const RETRIES_PER_FIRST_ATTEMPT: f64 = 0.4;
const SAVED_RETRIES_PER_HOLDER: f64 = 10.0;
const MIN_REPORTERS: usize = 3;
const REPORT_LIFETIME: Time = Time::from_secs(6);
const MAX_SUSPECTED_SHARE: f64 = 0.34;
const TRIALS_PER_S: f64 = 1.0;

/// The identity of a member.
#[derive(Clone, Debug)]
pub struct ClusterMemberIdentity {
    /// The member's address.
    pub address: SocketAddr,
    /// The member's number, from 0.
    pub number: usize,
    /// The member's zone.
    pub zone: usize,
    /// The member's incarnation; a later start has a greater one.
    pub incarnation: u64,
    /// The addresses of the members to contact first.
    pub seeds: Vec<SocketAddr>,
    /// The seed of the member's random numbers.
    pub seed: u64,
}

/// A member that runs only the membership.
pub struct MembershipEndpoint(Membership);

impl MembershipEndpoint {
    /// Creates a member that starts now.
    pub fn new(identity: ClusterMemberIdentity, now: Micros) -> MembershipEndpoint {
        let member = MemberId { address: identity.address, incarnation: identity.incarnation };
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
        is_satisfied_by_membership(&self.0, query)
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
    /// Creates a member that starts now, in a fleet with this number of members and zones.
    pub fn new(
        identity: ClusterMemberIdentity,
        members: usize,
        zones: usize,
        config: WorkloadConfig,
        now: Micros,
    ) -> ClusterEndpoint {
        let seed = identity.seed;
        let mut cluster = Cluster::new(cluster_config(identity, members, &config), Time(now));
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
            query => is_satisfied_by_membership(self.cluster.membership(), query),
        }
    }

    fn known_member_count(&self) -> Option<usize> {
        Some(self.cluster.member_counts().alive)
    }
}

fn is_satisfied_by_membership(membership: &Membership, query: &StateQuery) -> bool {
    match query {
        StateQuery::Alive(address) => membership.is_alive(*address),
        StateQuery::NotAlive(address) => !membership.is_alive(*address),
        StateQuery::SilentServerAvoided => false,
    }
}

/// The cluster configuration of a member, with the values of `deploy/operator.example.toml`.
fn cluster_config(identity: ClusterMemberIdentity, members: usize, config: &WorkloadConfig) -> ClusterConfig {
    let holders = members as u32;
    let rate_limit_terms = |requests_per_s| rate_limit::RateLimitTerms {
        requests_per_s,
        arrival_spread: ARRIVAL_SPREAD,
        owners: holders,
        lease_duration: LEASE_DURATION,
        clock_drift: CLOCK_DRIFT_RATIO,
    };
    ClusterConfig {
        address: identity.address,
        incarnation: identity.incarnation,
        position: identity.number as u32,
        zone: identity.zone as u32,
        seeds: identity.seeds,
        rate_limits: vec![NamedRateLimit {
            name: ORIGIN_LIMIT_NAME.to_owned(),
            terms: rate_limit_terms(config.origin_limit(members)),
        }],
        slow_start: Some(SlowStartTerms {
            rate_limit: rate_limit_terms(SLOW_START_SENDS_PER_S),
            initial_share: SLOW_START_INITIAL_SHARE,
            duration: SLOW_START_DURATION,
        }),
        retry_budget: Some(RetryBudgetTerms {
            retries_per_first_attempt: RETRIES_PER_FIRST_ATTEMPT,
            max_saved_credits: SAVED_RETRIES_PER_HOLDER * f64::from(holders),
            holders,
        }),
        failure_detector: Some(FailureDetectorTerms {
            min_reporters: MIN_REPORTERS,
            report_lifetime: REPORT_LIFETIME,
            max_suspected_share: MAX_SUSPECTED_SHARE,
            trials_per_s: TRIALS_PER_S,
            clock_drift: CLOCK_DRIFT_RATIO,
        }),
        random_seed: identity.seed,
    }
}

/// Calls `add` with the kind and length of each part of a packet. The header counts for the first part.
pub fn for_each_packet_part(bytes: &[u8], mut add: impl FnMut(PacketKind, usize)) {
    match packet::decode(bytes) {
        Ok(Packet::Membership(_)) => add(PacketKind::Membership, bytes.len()),
        Ok(Packet::Coordination(_)) => {
            let (mut rest, mut header_bytes) = (&bytes[HEADER_BYTES..], HEADER_BYTES);
            while let Ok((message, remaining)) = postcard::take_from_bytes::<CoordinationMessage>(rest) {
                add(packet_kind(&message.payload), rest.len() - remaining.len() + header_bytes);
                (rest, header_bytes) = (remaining, 0);
                if rest.is_empty() {
                    break;
                }
            }
        }
        Err(_) => add(PacketKind::Unknown, bytes.len()),
    }
}

fn packet_kind(payload: &Payload) -> PacketKind {
    match payload {
        Payload::RateLimit(..) => PacketKind::RateLimit,
        Payload::SlowStart(..) => PacketKind::SlowStart,
        Payload::RetryBudget(_) => PacketKind::RetryBudget,
        Payload::FailureDetector(_) => PacketKind::FailureDetector,
    }
}
