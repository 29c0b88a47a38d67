//! A simulated fleet in virtual time with random network faults, kills, freezes and clocks. Arrivals within a second are
//! counted whenever a request begins.

use std::collections::VecDeque;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::super::*;
use crate::virtual_network::{address, Arrival, Conditions, Faults, Partition, VirtualNetwork, NO_FAULTS};

/// Events of this test in the network's schedule.
#[derive(Debug)]
enum Scheduled {
    /// A request of a member, which waits for a token until this time.
    Request(usize, Micros),
    /// A killed process restarts.
    Start(usize),
}

/// How long a request waits for a token; the same as for a read at the origin.
const REQUEST_TIMEOUT: Micros = Micros::from_millis(200);
/// The maximum time until a waiting request checks for a token again.
const MAX_RECHECK_INTERVAL: Micros = Micros::from_millis(20);
/// The maximum duration of a freeze of a process.
const MAX_FREEZE_DURATION: Micros = Micros::from_secs(6);
/// The maximum duration of a network partition.
const MAX_PARTITION_DURATION: Micros = Micros::from_secs(5);
/// The maximum delays of late packets: for half of them little more than a lease tolerates, for the other half far more.
const MAX_LATE_DELAYS: &[Micros] = &[Micros::from_secs(2), Micros::from_secs(8)];

/// The configuration of a fleet, its demand and its faults.
#[derive(Clone, Copy, Debug)]
pub(super) struct Scenario {
    pub(super) members: usize,
    pub(super) owners: u32,
    pub(super) requests_per_s: u32,
    /// The maximum difference between the travel times of requests.
    pub(super) arrival_spread: Micros,
    pub(super) seconds: u64,
    /// The number of requests a second that all members together want to begin.
    pub(super) demand_per_s: f64,
    /// The share of the demand that comes only to the first fifth of the members.
    pub(super) uneven_share: f64,
    pub(super) conditions: Conditions,
    pub(super) faults: Faults,
    pub(super) defect: Option<Defect>,
    /// Whether a process uses its own tokens immediately after its start (a defect).
    pub(super) skips_start_wait: bool,
    /// Whether the window of a token ignores the arrival spread (a defect).
    pub(super) ignores_arrival_spread: bool,
}

/// The result of a run of a fleet.
#[derive(Debug, Default)]
pub(super) struct RunResult {
    /// The time and member of each request that began.
    pub(super) begun: Vec<(Micros, usize)>,
    pub(super) rejected: u64,
    pub(super) packets: u64,
    /// The maximum number of requests that arrived within any second.
    pub(super) max_arrived: usize,
}

struct Fleet {
    scenario: Scenario,
    network: VirtualNetwork<Message, Scheduled>,
    /// Each member's part of the limit; `None` while its process is not running.
    members: Vec<Option<RateLimit>>,
    /// The times at which the recent requests arrive, earliest first.
    recent_arrivals: VecDeque<Micros>,
    result: RunResult,
}

pub(super) fn terms(scenario: &Scenario) -> RateLimitTerms {
    RateLimitTerms {
        requests_per_s: scenario.requests_per_s,
        arrival_spread: if scenario.ignores_arrival_spread { Micros::ZERO } else { scenario.arrival_spread },
        owners: scenario.owners,
        lease_duration: Micros::from_secs(2),
        clock_drift: 0.001,
    }
}

pub(super) fn run_fleet(seed: u64, scenario: Scenario) -> RunResult {
    let mut fleet = Fleet {
        scenario,
        network: VirtualNetwork::new(seed, scenario.members, scenario.conditions),
        members: (0..scenario.members).map(|_| None).collect(),
        recent_arrivals: VecDeque::new(),
        result: RunResult::default(),
    };
    fleet.run();
    fleet.result.packets = fleet.network.packets;
    fleet.result
}

impl Fleet {
    fn run(&mut self) {
        let end = Micros::from_secs(self.scenario.seconds);
        for member in 0..self.scenario.members {
            self.start(member);
        }
        self.network.schedule_process_faults(self.scenario.faults, end, MAX_FREEZE_DURATION);
        for _ in 0..self.scenario.faults.partitions {
            let at = self.network.random_time(end);
            let second_side = self.network.rng.random();
            let one_way = self.network.rng.random();
            let duration = self.network.random_time(MAX_PARTITION_DURATION);
            self.network.schedule_partition(at, at + duration, Partition { second_side, one_way });
        }
        self.schedule_requests(end);
        while let Some(arrival) = self.network.next(end) {
            self.on_arrival(arrival);
        }
    }

    fn schedule_requests(&mut self, end: Micros) {
        let Scenario { members, demand_per_s, uneven_share, .. } = self.scenario;
        let mut at = 0.0;
        while at < end.as_f64() {
            let rng = &mut self.network.rng;
            at += -(1.0 - rng.random::<f64>()).ln() / demand_per_s * 1e6;
            let first_fifth = (members / 5).max(1);
            let candidates = if rng.random::<f64>() < uneven_share { 0..first_fifth } else { 0..members };
            let member = rng.random_range(candidates);
            let begins = Micros(at as u64);
            let request = Scheduled::Request(member, begins + REQUEST_TIMEOUT);
            self.network.schedule_for(begins, member, request);
        }
    }

    fn start(&mut self, member: usize) {
        let now = self.network.clock(member);
        self.network.start(member);
        let incarnation = self.network.incarnation(member);
        let mut limit = RateLimit::new(terms(&self.scenario), member as u32, u64::from(incarnation), now);
        limit.defect = InjectedDefect::new(self.scenario.defect);
        if self.scenario.skips_start_wait || incarnation == 1 {
            // No incarnation precedes the first one.
            limit.own_usable_from = now;
        }
        self.members[member] = Some(limit);
    }

    fn on_arrival(&mut self, arrival: Arrival<Message, Scheduled>) {
        match arrival {
            Arrival::Tick(member) => {
                let now = self.network.clock(member);
                if let Some(limit) = &mut self.members[member] {
                    limit.tick(now, || self.network.random_peer(member));
                }
                self.send(member);
                let pause = Micros::from_millis(45) + self.network.random_time(Micros::from_millis(10));
                self.network.tick_after(member, pause);
            }
            Arrival::Packet { from, to, message } => {
                let now = self.network.clock(to);
                if let Some(limit) = &mut self.members[to] {
                    limit.on_message(now, address(from), message);
                }
                self.send(to);
            }
            Arrival::Killed(member) => {
                self.members[member] = None;
                let restart = self.network.now() + self.network.random_time(Micros::from_secs(2));
                self.network.schedule(restart, Scheduled::Start(member));
            }
            Arrival::Scheduled(Scheduled::Request(member, until)) => self.on_request(member, until),
            Arrival::Scheduled(Scheduled::Start(member)) => self.start(member),
        }
    }

    /// Begins, delays or rejects a request, and counts arrivals by the network's true time.
    fn on_request(&mut self, member: usize, until: Micros) {
        let now = self.network.clock(member);
        let true_now = self.network.now();
        let Some(limit) = &mut self.members[member] else { return };
        let wait = limit.wait_time(now).min(MAX_RECHECK_INTERVAL);
        if !wait.is_zero() && true_now + wait < until {
            self.network.schedule_for(true_now + wait, member, Scheduled::Request(member, until));
            return;
        }
        if !wait.is_zero() {
            limit.on_rejected(now);
            self.result.rejected += 1;
            return;
        }
        limit.acquire(now);
        let arrives = true_now + self.network.random_time(self.scenario.arrival_spread + Micros(1));
        self.count_arrival(true_now, arrives);
        self.result.begun.push((true_now, member));
    }

    /// Counts an arrival. All windows of a second that begin at a recent arrival are counted again, because later requests may
    /// arrive up to the spread earlier than this one.
    fn count_arrival(&mut self, true_now: Micros, arrives: Micros) {
        let index = self.recent_arrivals.partition_point(|at| *at <= arrives);
        self.recent_arrivals.insert(index, arrives);
        for (index, begin) in self.recent_arrivals.iter().enumerate() {
            let end = self.recent_arrivals.partition_point(|at| *at < *begin + Micros::SECOND);
            self.result.max_arrived = self.result.max_arrived.max(end - index);
        }
        let outdated = true_now - (Micros::SECOND + self.scenario.arrival_spread);
        while self.recent_arrivals.front().is_some_and(|at| *at < outdated) {
            self.recent_arrivals.pop_front();
        }
    }

    fn send(&mut self, member: usize) {
        if let Some(limit) = &mut self.members[member] {
            self.network.send(member, limit.drain());
        }
    }
}

pub(super) const LOSSLESS_CONDITIONS: Conditions = Conditions {
    loss_ratio: 0.0,
    duplicate_ratio: 0.0,
    min_delay: Micros(500),
    max_jitter: Micros::from_millis(5),
    late_ratio: 0.0,
    max_late_delays: MAX_LATE_DELAYS,
    max_clock_drift: 0.0,
};

pub(super) const FAULT_FREE_SCENARIO: Scenario = Scenario {
    members: 10,
    owners: 10,
    requests_per_s: 40,
    arrival_spread: Micros::ZERO,
    seconds: 20,
    demand_per_s: 80.0,
    uneven_share: 0.0,
    conditions: LOSSLESS_CONDITIONS,
    faults: NO_FAULTS,
    defect: None,
    skips_start_wait: false,
    ignores_arrival_spread: false,
};

/// A random scenario with faults up to the limits under which the guarantee has to hold.
pub(super) fn random_scenario(seed: u64) -> Scenario {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let members = rng.random_range(2..9);
    let mut random_below = |bound: f64| bound * rng.random::<f64>();
    let demand_per_s = random_below(150.0) + 10.0;
    let uneven_share = random_below(1.0);
    let loss_ratio = random_below(0.5);
    let duplicate_ratio = random_below(0.2);
    let late_ratio = random_below(0.4);
    let max_jitter = Micros(random_below(300_000.0) as u64 + 1);
    let max_clock_drift = random_below(0.001);
    Scenario {
        members,
        owners: rng.random_range(1..2 * members as u32),
        requests_per_s: rng.random_range(1..60),
        arrival_spread: if rng.random() { Micros::ZERO } else { Micros(rng.random_range(0..200_000)) },
        seconds: 14,
        demand_per_s,
        uneven_share,
        conditions: Conditions {
            loss_ratio,
            duplicate_ratio,
            late_ratio,
            max_jitter,
            max_clock_drift,
            ..LOSSLESS_CONDITIONS
        },
        faults: Faults {
            kills: rng.random_range(0..8),
            freezes: rng.random_range(0..5),
            partitions: rng.random_range(0..4),
        },
        ..FAULT_FREE_SCENARIO
    }
}
