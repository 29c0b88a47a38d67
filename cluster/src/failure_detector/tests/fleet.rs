//! A simulated fleet in virtual time: servers become silent, restart and recover; members are killed, frozen, partitioned, or
//! report false silence. Whenever a request avoids a server, the reports are checked against the true observations.

use std::collections::{BTreeMap, BTreeSet};

use juniperladder::ServerId;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::super::suspicion::Suspicion;
use super::super::*;
use crate::virtual_network::{address, Arrival, Conditions, Faults, Partition, VirtualNetwork, NO_FAULTS};

/// The maximum delay of a late packet.
const MAX_LATE_DELAYS: &[Micros] = &[Micros::from_secs(9)];
/// The maximum duration of a freeze of a process.
const MAX_FREEZE_DURATION: Micros = Micros::from_secs(8);
/// The maximum duration of a network partition.
const MAX_PARTITION_DURATION: Micros = Micros::from_secs(8);
/// The number of server zones; the number of member zones is set by the scenario.
const SERVER_ZONES: u32 = 3;
/// The time after which a request to a silent server times out.
const REQUEST_TIMEOUT: Micros = Micros::from_millis(400);
/// The response time of a server that is not silent.
const RESPONSE_TIME: Micros = Micros::from_millis(5);
/// The start time of the first incarnation of each server.
const FIRST_START: Micros = Micros(1);

/// The configuration of a fleet, its servers and its faults.
#[derive(Clone, Copy, Debug)]
pub(super) struct Scenario {
    pub(super) members: usize,
    pub(super) servers: usize,
    /// The number of member zones.
    pub(super) zones: u32,
    pub(super) seconds: u64,
    /// The number of requests a second of each member.
    pub(super) requests_per_s: f64,
    pub(super) conditions: Conditions,
    pub(super) faults: Faults,
    /// The number of servers that become silent for some seconds; every other one of them is restarted at the end of that time.
    pub(super) silent_servers: usize,
    /// The number of faulty members that report every server silent at each tick.
    pub(super) faulty_reporters: usize,
    pub(super) defect: Option<Defect>,
}

pub(super) const LOSSLESS_CONDITIONS: Conditions = Conditions {
    loss_ratio: 0.0,
    duplicate_ratio: 0.0,
    min_delay: Micros::ZERO,
    max_jitter: Micros::from_millis(20),
    late_ratio: 0.0,
    max_late_delays: MAX_LATE_DELAYS,
    max_clock_drift: 0.0005,
};

pub(super) const LOSSLESS_SCENARIO: Scenario = Scenario {
    members: 60,
    servers: 24,
    zones: 3,
    seconds: 24,
    requests_per_s: 10.0,
    conditions: LOSSLESS_CONDITIONS,
    faults: NO_FAULTS,
    silent_servers: 3,
    faulty_reporters: 0,
    defect: None,
};

/// A random scenario with all kinds of faults between members.
pub(super) fn random_scenario(seed: u64) -> Scenario {
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0x5eed);
    Scenario {
        members: rng.random_range(6..14),
        servers: rng.random_range(6..14),
        zones: rng.random_range(1..4),
        seconds: 22,
        requests_per_s: 12.0,
        conditions: Conditions {
            loss_ratio: 0.5 * rng.random::<f64>(),
            duplicate_ratio: 0.2 * rng.random::<f64>(),
            late_ratio: 0.2 * rng.random::<f64>(),
            ..LOSSLESS_CONDITIONS
        },
        faults: Faults {
            kills: rng.random_range(0..4),
            freezes: rng.random_range(0..4),
            partitions: rng.random_range(0..3),
        },
        silent_servers: rng.random_range(1..5),
        ..LOSSLESS_SCENARIO
    }
}

/// Events of this test in the network's schedule.
#[derive(Debug)]
enum Scheduled {
    /// A member sends a request to a server.
    Request(usize),
    /// A member's request ends, with an answer or a timeout.
    RequestEnded { member: usize, server: usize, is_silent: bool, incarnation: ServerIncarnation },
    /// A server becomes silent, or answers again.
    SetSilent(usize, bool),
    /// Another process starts at a server's address.
    ServerStarted(usize),
}

struct Member {
    detector: FailureDetector,
    /// The time of each server's last answer to this member, by the member's clock.
    last_responses: Vec<Micros>,
}

/// The result of a run of a fleet.
#[derive(Debug, Default)]
pub(super) struct RunResult {
    /// The first violation of a guarantee.
    pub(super) violation: Option<String>,
    /// The number of requests sent to silent servers.
    pub(super) lost_requests: usize,
    /// The number of requests that avoided a server.
    pub(super) avoided: usize,
    /// The number of requests that avoided a server that was never silent.
    pub(super) wrongly_avoided: usize,
    pub(super) packets: u64,
    /// Times from when enough members had observed a server silent until nearly all members suspected it.
    pub(super) detection_times: Vec<Micros>,
    /// Times from the first answer of a recovered server to each later request that avoided it.
    pub(super) recovery_times: Vec<Micros>,
}

/// The members that truly observed an incarnation silent, and the time of the last observation.
#[derive(Clone, Debug, Default)]
struct TrueSilence {
    last_seen: Micros,
    seen_by: BTreeSet<u32>,
}

struct Fleet {
    scenario: Scenario,
    network: VirtualNetwork<Message, Scheduled>,
    members: Vec<Member>,
    /// Whether each server is silent now.
    is_silent: Vec<bool>,
    /// The start time of each server's current incarnation.
    started: Vec<Micros>,
    /// Servers that become silent at some time.
    faulty: BTreeSet<usize>,
    true_silence: BTreeMap<ServerIncarnation, TrueSilence>,
    /// The time at which enough members had observed an incarnation silent; `None` once nearly all members suspect it.
    detectable_since: BTreeMap<ServerIncarnation, Option<Micros>>,
    /// The time at which an incarnation first answered again.
    recovered_at: BTreeMap<ServerIncarnation, Micros>,
    result: RunResult,
}

pub(super) fn terms() -> FailureDetectorTerms {
    FailureDetectorTerms {
        min_reporters: 3,
        report_lifetime: Micros::from_secs(6),
        max_suspected_share: 0.34,
        trials_per_s: 1.0,
        clock_drift: 0.001,
    }
}

pub(super) fn run_fleet(seed: u64, scenario: Scenario) -> RunResult {
    let mut fleet = Fleet {
        scenario,
        network: VirtualNetwork::new(seed, scenario.members, scenario.conditions),
        members: Vec::new(),
        is_silent: vec![false; scenario.servers],
        started: vec![FIRST_START; scenario.servers],
        faulty: BTreeSet::new(),
        true_silence: BTreeMap::new(),
        detectable_since: BTreeMap::new(),
        recovered_at: BTreeMap::new(),
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
            let started = self.start_member(member);
            self.members.push(started);
            let first_request = self.network.random_time(Micros::from_millis(200));
            self.network.schedule_for(first_request, member, Scheduled::Request(member));
        }
        self.schedule_faults(end);
        while self.result.violation.is_none() {
            let Some(arrival) = self.network.next(end) else { break };
            self.on_arrival(arrival);
        }
    }

    fn schedule_faults(&mut self, end: Micros) {
        self.network.schedule_process_faults(self.scenario.faults, end, MAX_FREEZE_DURATION);
        for _ in 0..self.scenario.faults.partitions {
            let at = self.network.random_time(end);
            let duration = self.network.random_time(MAX_PARTITION_DURATION);
            let second_side = self.network.rng.random();
            self.network.schedule_partition(at, at + duration, Partition { second_side, one_way: false });
        }
        for server in 0..self.scenario.silent_servers {
            let silent_from = Micros::from_secs(4) + self.network.random_time(end / 4);
            let silent_until =
                silent_from + Micros::from_secs(6) + self.network.random_time(Micros::from_secs(6));
            self.faulty.insert(server);
            self.network.schedule(silent_from, Scheduled::SetSilent(server, true));
            self.network.schedule(silent_until, Scheduled::SetSilent(server, false));
            if server % 2 == 1 {
                // A healthy process starts at the server's address while the earlier one is still suspected.
                self.network.schedule(silent_until, Scheduled::ServerStarted(server));
            }
        }
    }

    /// Starts the process of a member.
    fn start_member(&mut self, member: usize) -> Member {
        let seed = self.network.rng.random();
        let zone = self.zone_of(member);
        let now = self.network.clock(member);
        let mut detector = FailureDetector::new(terms(), member as u32, zone, seed, now);
        detector.defect = InjectedDefect::new(self.scenario.defect);
        detector.on_endpoints_changed(&self.serving_servers());
        self.network.start(member);
        Member { detector, last_responses: vec![Micros::ZERO; self.scenario.servers] }
    }

    fn zone_of(&self, member: usize) -> u32 {
        member as u32 % self.scenario.zones
    }

    fn serving_servers(&self) -> Vec<ServingServer> {
        let serving = |server: usize| ServingServer {
            server: ServerId(server as u64),
            started: self.started[server],
            zone: server as u32 % SERVER_ZONES,
        };
        (0..self.scenario.servers).map(serving).collect()
    }

    fn incarnation(&self, server: usize) -> ServerIncarnation {
        ServerIncarnation { server: ServerId(server as u64), started: self.started[server] }
    }

    fn on_arrival(&mut self, arrival: Arrival<Message, Scheduled>) {
        match arrival {
            Arrival::Tick(member) => self.tick(member),
            Arrival::Packet { from, to, message } => {
                let now = self.network.clock(to);
                self.members[to].detector.on_message(now, address(from), message);
                self.send(to);
            }
            Arrival::Killed(member) => {
                self.members[member] = self.start_member(member);
                let next = self.network.now() + Micros(1);
                self.network.schedule_for(next, member, Scheduled::Request(member));
            }
            Arrival::Scheduled(event) => self.on_scheduled(event),
        }
    }

    fn on_scheduled(&mut self, event: Scheduled) {
        match event {
            Scheduled::Request(member) => self.request(member),
            Scheduled::RequestEnded { member, server, is_silent, incarnation } => {
                self.on_request_ended(member, server, is_silent, incarnation);
            }
            Scheduled::SetSilent(server, is_silent) => self.is_silent[server] = is_silent,
            Scheduled::ServerStarted(server) => {
                self.started[server] = self.network.now();
                let serving = self.serving_servers();
                for member in &mut self.members {
                    member.detector.on_endpoints_changed(&serving);
                }
            }
        }
    }

    /// Measures the time until nearly all members suspect a server that enough members have observed silent.
    fn measure_detection(&mut self) {
        let nearly_all = self.scenario.members - self.scenario.members / 100;
        for (incarnation, detectable_since) in &mut self.detectable_since {
            let Some(since) = *detectable_since else { continue };
            let suspects = |member: &&Member| member.detector.suspected.contains_key(incarnation);
            if self.members.iter().filter(suspects).count() >= nearly_all {
                self.result.detection_times.push(self.network.now() - since);
                *detectable_since = None;
            }
        }
    }

    fn tick(&mut self, member: usize) {
        if member == 0 {
            self.measure_detection();
        }
        let now = self.network.clock(member);
        let random_peers = [self.network.random_peer(member), self.network.random_peer(member)];
        let mut peers = random_peers.into_iter().flatten();
        self.members[member].detector.tick(now, self.scenario.members, || peers.next());
        if member < self.scenario.faulty_reporters {
            self.report_all_silent(member, now);
        }
        self.send(member);
        self.network.tick_after(member, Micros::from_millis(50));
    }

    /// Adds a false report of silence on every server.
    fn report_all_silent(&mut self, member: usize, now: Micros) {
        let report = StoredReport {
            reporter: member as u32,
            zone: self.zone_of(member),
            stamp: now,
            seen: now,
            is_silent: true,
            is_recovery: false,
        };
        for server in 0..self.scenario.servers {
            let incarnation = self.incarnation(server);
            self.members[member].detector.add_report(incarnation, report, now);
        }
    }

    fn send(&mut self, member: usize) {
        self.network.send(member, self.members[member].detector.drain());
    }

    /// Sends a request of a member to a random server, unless the member avoids the server.
    fn request(&mut self, number: usize) {
        let time_to_next_request =
            self.network.random_time(Micros::from_secs(2)).as_f64() / self.scenario.requests_per_s;
        let next = self.network.now() + Micros(time_to_next_request as u64);
        self.network.schedule_for(next, number, Scheduled::Request(number));
        let server = self.network.rng.random_range(0..self.scenario.servers);
        let incarnation = self.incarnation(server);
        let now = self.network.clock(number);
        let requests_per_s = self.scenario.requests_per_s / self.scenario.servers as f64;
        let member = &mut self.members[number];
        let last_response = member.last_responses[server];
        if member.detector.should_avoid(incarnation, last_response, requests_per_s, now) {
            self.on_avoided(number, server, incarnation);
            return;
        }
        let is_silent = self.is_silent[server];
        self.result.lost_requests += usize::from(is_silent);
        let duration = if is_silent { REQUEST_TIMEOUT } else { RESPONSE_TIME };
        let ended = Scheduled::RequestEnded { member: number, server, is_silent, incarnation };
        self.network.schedule_for(self.network.now() + duration, number, ended);
    }

    fn on_request_ended(
        &mut self,
        member: usize,
        server: usize,
        is_silent: bool,
        incarnation: ServerIncarnation,
    ) {
        let now = self.network.clock(member);
        let true_now = self.network.now();
        if is_silent {
            let silence = self.true_silence.entry(incarnation).or_default();
            silence.last_seen = true_now;
            silence.seen_by.insert(member as u32);
            if silence.seen_by.len() == terms().min_reporters {
                self.detectable_since.entry(incarnation).or_insert(Some(true_now));
            }
        } else {
            self.members[member].last_responses[server] = now;
            if !self.is_silent[server] && self.detectable_since.contains_key(&incarnation) {
                self.recovered_at.entry(incarnation).or_insert(true_now);
            }
        }
        self.members[member].detector.on_server_observed(incarnation, is_silent, now);
    }

    /// Checks that a server that a request avoided was recently observed silent by enough members, and that the member does not
    /// suspect too many servers.
    fn on_avoided(&mut self, member: usize, server: usize, incarnation: ServerIncarnation) {
        self.result.avoided += 1;
        self.result.wrongly_avoided += usize::from(!self.faulty.contains(&server));
        self.check_evidence(member, incarnation);
        self.check_suspected_share(member);
        if let Some(recovered_at) = self.recovered_at.get(&incarnation) {
            self.result.recovery_times.push(self.network.now() - *recovered_at);
        }
    }

    fn check_evidence(&mut self, member: usize, incarnation: ServerIncarnation) {
        let faulty_reporters = self.scenario.faulty_reporters;
        let TrueSilence { last_seen, seen_by } =
            self.true_silence.get(&incarnation).cloned().unwrap_or_default();
        if seen_by.len() + faulty_reporters < terms().min_reporters {
            let violation =
                format!("member {member} avoided {incarnation:?}, observed silent only by {seen_by:?}");
            self.result.violation = Some(violation);
        }
        // Clocks may differ by the drift, and rounding may lose a microsecond.
        let max_age = terms().report_lifetime.mul_f64(1.0005) + Micros(2);
        let now = self.network.now();
        if faulty_reporters == 0 && now > last_seen + max_age {
            let age = (now - last_seen).0;
            let violation =
                format!("member {member} avoided {incarnation:?}, last observed silent {age} us ago");
            self.result.violation = Some(violation);
        }
    }

    fn check_suspected_share(&mut self, member: usize) {
        let detector = &self.members[member].detector;
        // Cleared servers within their return delay do not count towards the limit.
        let is_reported = |suspicion: &&Suspicion| **suspicion == Suspicion::Reported;
        let reported = detector.suspected.values().filter(is_reported).count();
        let serving = detector.serving.len();
        if reported as f64 > terms().max_suspected_share * serving as f64 {
            let suspected = detector.suspected.len();
            self.result.violation =
                Some(format!("member {member} suspects {suspected} of {serving} servers"));
        }
    }
}
