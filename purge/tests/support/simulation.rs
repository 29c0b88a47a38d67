//! Runs a schedule event by event. After each event, checks the guarantee: a member that may serve has applied every
//! purge that was reported as done.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::net::{Ipv4Addr, SocketAddr};

use juniperladder_purge::injected_defect::{InjectedDefect, InjectedDefects};
use juniperladder_purge::limits::{MAX_DATAGRAM_BYTES, MAX_MEMBERS};
use juniperladder_purge::metrics::Traffic;
use juniperladder_purge::{
    Member, MemberConfig, MemberId, MemberTiming, Micros, PurgeStatus, Replica, ReplicaConfig, ReplicaId,
    ReplicaSettings,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::checker::{Applied, Breach, Checker};
use super::network::{LinkQuality, Network};
use super::schedule::{FaultKind, Schedule, SECOND};

/// Time after the end of all faults within which the control plane must settle.
const MAX_SETTLE_TIME: u64 = 60 * SECOND;
const FIRST_PORT: u16 = 1_000;
/// Size of the IP and UDP headers.
const HEADER_BYTES: u64 = 28;

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Tick { node: usize, incarnation: u64 },
    Datagram { to: usize, from: usize, bytes: Vec<u8> },
    Fault(FaultKind),
    EndFaults,
}

#[derive(Debug)]
enum StateMachine {
    Replica(Replica),
    Member(Member, Applied),
}

/// A node: its process, if it runs, and its clock.
#[derive(Debug)]
struct Node {
    state_machine: Option<StateMachine>,
    /// Incarnation of the process; incremented at each start.
    incarnation: u64,
    frozen: bool,
    /// Sender and bytes of each datagram that arrived while the process was frozen.
    backlog: VecDeque<(usize, Vec<u8>)>,
    /// Rate of the clock, in millionths of the rate of virtual time.
    rate: u64,
    /// Value of the clock at the start of the schedule, in microseconds.
    offset: u64,
    /// Indices of the purges that this incarnation published and that are not done yet; empty for a member.
    pending: VecDeque<usize>,
}

/// Result of a schedule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The guarantee held, and the control plane settled in time.
    Held,
    /// The guarantee was breached.
    Breached(Breach),
    /// The control plane did not settle in time after the end of all faults, for this reason.
    NotSettled(String),
}

/// Result and statistics of a schedule. Times are in microseconds.
#[derive(Clone, Debug)]
pub struct Report {
    pub verdict: Verdict,
    pub published: usize,
    pub done: usize,
    pub rejected: usize,
    pub steps: u64,
    /// Time from the end of all faults to the end of the run.
    pub settled_after: u64,
    /// Times from the publication of a purge to its application, one for each member that applied it by key.
    pub apply_delays: Vec<u64>,
    /// Time from the publication of each done purge until it was reported as done.
    pub done_delays: Vec<u64>,
    /// Entries trimmed from the logs of the replicas that run at the end, since their last start.
    pub log_trimmed: u64,
    /// Times that a member voided its cache, over all members and their incarnations.
    pub voided: u64,
    /// Leases that expired while their member served, over all members and their incarnations.
    pub lapses: u64,
    /// Bytes per second of each member in both directions, with IP and UDP headers.
    pub member_bytes_per_second: Vec<u64>,
    /// Bytes per second that each replica sent, with IP and UDP headers.
    pub replica_bytes_per_second: Vec<u64>,
}

pub struct Simulation {
    schedule: Schedule,
    injected_defect: Option<InjectedDefect>,
    rng: ChaCha8Rng,
    network: Network,
    now: u64,
    /// Pending events, the earliest first. Each has its time and a sequence number, which orders events of the same
    /// time.
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    event_count: u64,
    nodes: Vec<Node>,
    checker: Checker,
    rejected: usize,
    apply_delays: Vec<u64>,
    have_faults_ended: bool,
    voided: u64,
    lapses: u64,
}

fn address(node: usize) -> SocketAddr {
    (Ipv4Addr::LOCALHOST, FIRST_PORT + node as u16).into()
}

impl Simulation {
    pub fn new(schedule: Schedule, injected_defect: Option<InjectedDefect>) -> Simulation {
        let mut rng = ChaCha8Rng::seed_from_u64(schedule.seed ^ 0x5eed);
        let count = schedule.replicas + schedule.members.len();
        let nodes = (0..count).map(|_| draw_node(&mut rng, &schedule)).collect();
        let network = Network { quality: schedule.quality, cuts: Vec::new(), replicas: schedule.replicas };
        let mut simulation = Simulation {
            injected_defect,
            rng,
            network,
            now: 0,
            events: BinaryHeap::new(),
            event_count: 0,
            nodes,
            checker: Checker::default(),
            rejected: 0,
            apply_delays: Vec::new(),
            have_faults_ended: false,
            voided: 0,
            lapses: 0,
            schedule,
        };
        for node in 0..count {
            let member = node.checked_sub(simulation.schedule.replicas);
            if member.is_none_or(|member| simulation.schedule.is_early(member)) {
                simulation.start(node, true);
            }
        }
        for (at, fault) in simulation.schedule.faults.clone() {
            simulation.schedule_event(at, Event::Fault(fault));
        }
        simulation.schedule_event(simulation.schedule.faults_end_at, Event::EndFaults);
        simulation
    }

    fn schedule_event(&mut self, at: u64, event: Event) {
        self.event_count += 1;
        self.events.push(Reverse((at, self.event_count, event)));
    }

    fn local_now(&self, node: usize) -> u64 {
        let node = &self.nodes[node];
        node.offset + (u128::from(self.now) * u128::from(node.rate) / 1_000_000) as u64
    }

    fn start(&mut self, node: usize, bootstrap: bool) {
        if self.nodes[node].state_machine.is_some() {
            return;
        }
        let incarnation = self.nodes[node].incarnation + 1;
        let seed = self.rng.random();
        let now = self.local_now(node);
        let state_machine = match node < self.schedule.replicas {
            true => StateMachine::Replica(Replica::new(
                self.replica_config(node, incarnation, bootstrap, seed),
                Micros(now),
            )),
            false => StateMachine::Member(
                Member::new(self.member_config(node, incarnation, seed), Micros(now)),
                Applied::default(),
            ),
        };
        let node_state = &mut self.nodes[node];
        node_state.state_machine = Some(state_machine);
        node_state.incarnation = incarnation;
        node_state.frozen = false;
        node_state.backlog.clear();
        node_state.pending.clear();
        let first = self.now + self.rng.random_range(0..self.schedule.tick);
        self.schedule_event(first, Event::Tick { node, incarnation });
    }

    fn replica_config(&self, node: usize, incarnation: u64, bootstrap: bool, seed: u64) -> ReplicaConfig {
        ReplicaConfig {
            replica: ReplicaId(node as u8),
            incarnation,
            replicas: (0..self.schedule.replicas).map(address).collect(),
            bootstrap,
            seed,
            settings: ReplicaSettings {
                lease: Micros(self.schedule.lease),
                round_interval: Micros(self.schedule.round_interval),
                log_entries: self.schedule.log_entries,
                void_threshold_entries: self.schedule.void_threshold_entries,
                injected_defects: InjectedDefects::with(self.injected_defect),
                ..ReplicaSettings::default()
            },
        }
    }

    fn member_config(&self, node: usize, incarnation: u64, seed: u64) -> MemberConfig {
        let replicas = self.schedule.replicas;
        let regions = &self.schedule.regions;
        let is_near = |replica: &usize| regions[*replica] == regions[node];
        let mut preferred: Vec<usize> = (0..replicas).filter(is_near).collect();
        if seed.is_multiple_of(2) {
            preferred.insert(0, (seed / 2) as usize % replicas);
        }
        MemberConfig {
            member: MemberId((node - replicas) as u32),
            incarnation,
            replicas: (0..replicas).map(address).collect(),
            preferred: preferred.into_iter().map(|replica| ReplicaId(replica as u8)).collect(),
            catch_up: self.schedule.members[node - replicas],
            seed,
            timing: MemberTiming {
                lease: Micros(self.schedule.lease),
                return_delay: Micros::from_secs(5),
                return_probe_interval: Micros::SECOND,
                injected_defects: InjectedDefects::with(self.injected_defect),
                ..MemberTiming::default()
            },
        }
    }

    /// Runs the schedule to its end.
    pub fn run(mut self) -> Report {
        let mut steps = 0;
        let deadline = self.schedule.faults_end_at + MAX_SETTLE_TIME;
        let mut verdict = None;
        let mut next_settled_check = self.schedule.faults_end_at;
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            self.now = at;
            steps += 1;
            self.on_event(event);
            if let Err(breach) = self.check() {
                verdict = Some(Verdict::Breached(breach));
                break;
            }
            if self.have_faults_ended && self.now >= next_settled_check {
                next_settled_check = self.now + SECOND / 10;
                let reason = self.find_unsettled();
                match reason {
                    None => break,
                    Some(reason) if self.now > deadline => {
                        verdict = Some(Verdict::NotSettled(reason));
                        break;
                    }
                    Some(_) => {}
                }
            }
        }
        self.report(steps, verdict.unwrap_or(Verdict::Held))
    }

    fn report(&self, steps: u64, verdict: Verdict) -> Report {
        let published = self.checker.published.iter();
        let done_delays = published.filter_map(|purge| Some(purge.done_at? - purge.at)).collect();
        let mut report = Report {
            verdict,
            published: self.checker.published.len(),
            done: self.checker.done(),
            rejected: self.rejected,
            steps,
            settled_after: self.now.saturating_sub(self.schedule.faults_end_at),
            apply_delays: self.apply_delays.clone(),
            done_delays,
            log_trimmed: 0,
            voided: self.voided,
            lapses: self.lapses,
            member_bytes_per_second: Vec::new(),
            replica_bytes_per_second: Vec::new(),
        };
        let per_second = |bytes: u64| bytes * SECOND / self.now.max(1);
        for node in &self.nodes {
            match &node.state_machine {
                Some(StateMachine::Replica(replica)) => {
                    report.log_trimmed += replica.metrics().log_trimmed;
                    let sent = bytes_with_headers(replica.metrics().sent);
                    report.replica_bytes_per_second.push(per_second(sent));
                }
                Some(StateMachine::Member(member, _)) => {
                    let metrics = member.metrics();
                    let sent_and_received =
                        bytes_with_headers(metrics.sent) + bytes_with_headers(metrics.received);
                    report.member_bytes_per_second.push(per_second(sent_and_received));
                    report.voided += member.metrics().voided;
                    report.lapses += member.metrics().lapses;
                }
                None => {}
            }
        }
        report
    }

    fn on_event(&mut self, event: Event) {
        match event {
            Event::Tick { node, incarnation } => self.on_tick(node, incarnation),
            Event::Datagram { to, from, bytes } => self.on_datagram(to, from, bytes),
            Event::Fault(fault) => {
                if !self.have_faults_ended {
                    self.on_fault(fault);
                }
            }
            Event::EndFaults => self.end_faults(),
        }
    }

    fn on_tick(&mut self, node: usize, incarnation: u64) {
        if self.nodes[node].incarnation != incarnation || self.nodes[node].state_machine.is_none() {
            return;
        }
        self.schedule_event(self.now + self.schedule.tick, Event::Tick { node, incarnation });
        if self.nodes[node].frozen {
            return;
        }
        let now = self.local_now(node);
        match &mut self.nodes[node].state_machine {
            Some(StateMachine::Replica(replica)) => replica.on_tick(Micros(now)),
            Some(StateMachine::Member(member, _)) => member.on_tick(Micros(now)),
            None => {}
        }
        self.drive(node);
    }

    fn on_datagram(&mut self, to: usize, from: usize, bytes: Vec<u8>) {
        if self.nodes[to].frozen {
            self.nodes[to].backlog.push_back((from, bytes));
            return;
        }
        let now = self.local_now(to);
        match &mut self.nodes[to].state_machine {
            Some(StateMachine::Replica(replica)) => replica.on_datagram(Micros(now), address(from), &bytes),
            Some(StateMachine::Member(member, _)) => member.on_datagram(Micros(now), address(from), &bytes),
            None => {}
        }
        self.drive(to);
    }

    /// Acts as the driver after each call: applies drained purges, records completed ones, and sends datagrams.
    fn drive(&mut self, node: usize) {
        let node_state = &mut self.nodes[node];
        let datagrams = match &mut node_state.state_machine {
            Some(StateMachine::Replica(replica)) => {
                assert!(replica.metrics().log_entries <= self.schedule.log_entries);
                assert!(replica.metrics().registrations <= MAX_MEMBERS);
                while let Some(purge) = node_state.pending.front().copied() {
                    let id = self.checker.published[purge].id;
                    if replica.status(id) != PurgeStatus::Done {
                        break;
                    }
                    node_state.pending.pop_front();
                    self.checker.on_done(purge, self.now);
                }
                replica.drain()
            }
            Some(StateMachine::Member(member, applied)) => {
                let events = member.drain_events();
                for purge in self.checker.on_events(applied, &events) {
                    self.apply_delays.push(self.now - self.checker.published[purge].at);
                }
                member.drain()
            }
            None => Vec::new(),
        };
        for (to, bytes) in datagrams {
            assert!(bytes.len() <= MAX_DATAGRAM_BYTES);
            self.send(node, usize::from(to.port() - FIRST_PORT), bytes);
        }
    }

    fn send(&mut self, from: usize, to: usize, bytes: Vec<u8>) {
        for delay in self.network.delays(&mut self.rng, from, to) {
            let datagram = Event::Datagram { to, from, bytes: bytes.clone() };
            self.schedule_event(self.now + delay, datagram);
        }
    }

    fn on_fault(&mut self, fault: FaultKind) {
        match fault {
            FaultKind::KillReplica(replica) => {
                if self.replicas_without_state() < (self.schedule.replicas - 1) / 2 {
                    self.kill(replica);
                }
            }
            FaultKind::StartReplica(replica) => self.start(replica, false),
            FaultKind::KillMember(member) => self.kill(self.schedule.replicas + member),
            FaultKind::LeaveMember(member) => self.leave(self.schedule.replicas + member),
            FaultKind::StartMember(member) => self.start(self.schedule.replicas + member, false),
            FaultKind::FreezeNode(node) => self.nodes[node].frozen = true,
            FaultKind::ResumeNode(node) => self.resume(node),
            FaultKind::BeginCut(cut) => self.network.cuts.push(cut),
            FaultKind::EndCut(cut) => {
                if let Some(index) = self.network.cuts.iter().position(|other| *other == cut) {
                    self.network.cuts.remove(index);
                }
            }
            FaultKind::Publish(replica, count) => self.publish(replica, count),
        }
    }

    /// The number of replicas that are down or have not recovered. If they are more than a minority, the control plane
    /// makes no progress until it is bootstrapped anew, which schedules don't do.
    fn replicas_without_state(&self) -> usize {
        let replicas = self.nodes[..self.schedule.replicas].iter();
        let has_state = |node: &&Node| match &node.state_machine {
            Some(StateMachine::Replica(replica)) => !replica.metrics().recovering,
            _ => false,
        };
        self.schedule.replicas - replicas.filter(has_state).count()
    }

    fn kill(&mut self, node: usize) {
        if let Some(StateMachine::Member(member, _)) = &self.nodes[node].state_machine {
            self.voided += member.metrics().voided;
            self.lapses += member.metrics().lapses;
        }
        let node_state = &mut self.nodes[node];
        node_state.state_machine = None;
        node_state.frozen = false;
        node_state.backlog.clear();
        node_state.pending.clear();
    }

    fn leave(&mut self, node: usize) {
        let is_frozen = self.nodes[node].frozen;
        if let (Some(StateMachine::Member(member, _)), false) =
            (&mut self.nodes[node].state_machine, is_frozen)
        {
            member.leave();
            self.drive(node);
        }
        self.kill(node);
    }

    fn resume(&mut self, node: usize) {
        if !std::mem::take(&mut self.nodes[node].frozen) {
            return;
        }
        for (from, bytes) in std::mem::take(&mut self.nodes[node].backlog) {
            self.on_datagram(node, from, bytes);
        }
    }

    fn publish(&mut self, node: usize, count: usize) {
        let now = self.local_now(node);
        for _ in 0..count {
            let unbounded_length =
                if self.rng.random_bool(0.1) { 250 } else { self.rng.random_range(8..=64) };
            let length = match self.schedule.key_bytes {
                Some((least, greatest)) => self.rng.random_range(least..=greatest),
                None => unbounded_length,
            };
            let key = self.checker.next_key(length);
            if self.nodes[node].frozen {
                return;
            }
            let Some(StateMachine::Replica(replica)) = &mut self.nodes[node].state_machine else { return };
            match replica.publish(Micros(now), &key) {
                Ok(id) => {
                    let purge = self.checker.on_published(id, self.now);
                    self.nodes[node].pending.push_back(purge);
                }
                Err(rejected) => {
                    assert!(rejected.retry_after > Micros::ZERO);
                    self.rejected += 1;
                }
            }
        }
        self.drive(node);
    }

    fn end_faults(&mut self) {
        self.have_faults_ended = true;
        self.network.quality = LinkQuality::GOOD;
        self.network.cuts.clear();
        for node in 0..self.nodes.len() {
            self.resume(node);
            self.start(node, false);
        }
    }

    /// Checks the guarantee for each member that may serve now.
    fn check(&mut self) -> Result<(), Breach> {
        for node in self.schedule.replicas..self.nodes.len() {
            let now = self.local_now(node);
            if let Some(StateMachine::Member(member, applied)) = &mut self.nodes[node].state_machine {
                if member.may_serve(Micros(now)) {
                    self.checker.check(self.now, node, applied)?;
                }
            }
        }
        Ok(())
    }

    /// The first reason why the control plane has not settled: a pending purge, a member that does not serve, a replica
    /// that is recovering, or a node that does not run.
    fn find_unsettled(&self) -> Option<String> {
        for (number, node) in self.nodes.iter().enumerate() {
            match &node.state_machine {
                Some(StateMachine::Replica(replica)) => {
                    if replica.metrics().recovering {
                        return Some(format!("replica {number} is still recovering"));
                    }
                    if let Some(purge) = node.pending.front() {
                        let id = self.checker.published[*purge].id;
                        return Some(format!("purge {id:?} is not done: {:?}", replica.status(id)));
                    }
                }
                Some(StateMachine::Member(member, _)) => {
                    if !member.may_serve(Micros(self.local_now(number))) {
                        return Some(format!(
                            "member at node {number} does not serve; metrics: {:?}",
                            member.metrics()
                        ));
                    }
                }
                None => return Some(format!("node {number} is not running")),
            }
        }
        None
    }
}

/// Traffic in bytes, with IP and UDP headers.
fn bytes_with_headers(traffic: Traffic) -> u64 {
    traffic.bytes + traffic.datagrams * HEADER_BYTES
}

fn draw_node(rng: &mut ChaCha8Rng, schedule: &Schedule) -> Node {
    let drift = rng.random_range(-schedule.drift_ppm..=schedule.drift_ppm);
    Node {
        state_machine: None,
        incarnation: schedule.initial_incarnation,
        frozen: false,
        backlog: VecDeque::new(),
        rate: (1_000_000 + drift) as u64,
        offset: rng.random_range(0..1_000 * SECOND),
        pending: VecDeque::new(),
    }
}
