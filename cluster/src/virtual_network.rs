//! A simulated network in virtual time, for the tests of this crate. Members have drifting clocks and are killed and frozen;
//! packets are lost, duplicated, delayed or cut off by a partition. All randomness comes from one seed, so that runs are
//! reproducible.
//!
//! The network holds the time and the event queue. A test holds its state machines, takes one [`Arrival`] after the other and
//! passes the messages of its state machines to the network.

mod conditions;

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};

use juniperladder::Micros;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

pub(crate) use conditions::{Conditions, Faults, Partition, NO_FAULTS};

/// The port of the first member.
const FIRST_PORT: u16 = 1_000;
/// The maximum time from the start of a process to its first tick.
const MAX_FIRST_TICK_DELAY: Micros = Micros::from_millis(50);
/// The upper bound of the time that members' clocks show at the beginning of a run.
const MAX_CLOCK_OFFSET: Micros = Micros::from_secs(1_000);

/// The address of a member.
pub(crate) fn address(member: usize) -> SocketAddr {
    (Ipv4Addr::LOCALHOST, FIRST_PORT + member as u16).into()
}

/// The member at an address.
fn member_at(address: SocketAddr) -> usize {
    usize::from(address.port() - FIRST_PORT)
}

/// The times in a half-open range, in steps.
pub(crate) fn times(from: Micros, until: Micros, step: Micros) -> impl Iterator<Item = Micros> {
    (from.0..until.0).step_by(step.0 as usize).map(Micros)
}

/// An event that the test has to handle.
#[derive(Debug)]
pub(crate) enum Arrival<M, E> {
    /// A member's process has to tick.
    Tick(usize),
    /// A message arrives at a member.
    Packet {
        /// The sender.
        from: usize,
        /// The receiver.
        to: usize,
        /// The message.
        message: M,
    },
    /// A member's process has been killed; the test has to restart it.
    Killed(usize),
    /// An event that the test has scheduled.
    Scheduled(E),
}

/// An event in the queue.
#[derive(Debug)]
enum Event<M, E> {
    /// A process has to tick, unless it has been killed since.
    Tick { member: usize, incarnation: u32 },
    /// A packet arrives.
    Packet { from: usize, to: usize, message: M },
    /// A process is killed.
    Kill { member: usize },
    /// A process is frozen for a duration.
    Freeze { member: usize, duration: Micros },
    /// A frozen process resumes.
    Resume { member: usize },
    /// The network is partitioned, or the partition ends.
    SetPartition(Partition),
    /// An event of the test; an event for a member is deferred while the member is frozen.
    Scheduled { member: Option<usize>, event: E },
}

impl<M, E> Event<M, E> {
    /// The member whose process handles the event.
    fn member(&self) -> Option<usize> {
        match self {
            Event::Tick { member, .. } | Event::Packet { to: member, .. } => Some(*member),
            Event::Scheduled { member, .. } => *member,
            Event::Kill { .. } | Event::Freeze { .. } | Event::Resume { .. } | Event::SetPartition(_) => None,
        }
    }
}

/// One member's process and clock.
#[derive(Debug)]
struct Process<M, E> {
    /// The number of starts.
    incarnation: u32,
    is_running: bool,
    is_frozen: bool,
    /// Events that are deferred until the process resumes.
    deferred: Vec<Event<M, E>>,
    /// The rate of the process's clock, as a ratio to the network's time.
    clock_rate: f64,
    /// The time that the process's clock showed at the beginning of the run.
    clock_offset: Micros,
}

/// The simulated network. `M` is the type of messages, `E` the type of events scheduled by a test.
#[derive(Debug)]
pub(crate) struct VirtualNetwork<M, E> {
    /// The source of all randomness.
    pub(crate) rng: ChaCha8Rng,
    /// The number of packets sent so far.
    pub(crate) packets: u64,
    conditions: Conditions,
    now: Micros,
    /// The number of events scheduled so far.
    scheduled: u64,
    /// The event queue, ordered by time and then by the order of scheduling.
    queue: BTreeMap<(Micros, u64), Event<M, E>>,
    processes: Vec<Process<M, E>>,
    partition: Partition,
}

impl<M: Clone, E> VirtualNetwork<M, E> {
    /// Creates a network of members that have not been started.
    pub(crate) fn new(seed: u64, members: usize, conditions: Conditions) -> VirtualNetwork<M, E> {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let processes = (0..members).map(|_| Process {
            incarnation: 0,
            is_running: false,
            is_frozen: false,
            deferred: Vec::new(),
            clock_rate: 1.0 + conditions.max_clock_drift * (2.0 * rng.random::<f64>() - 1.0),
            clock_offset: Micros(rng.random_range(0..MAX_CLOCK_OFFSET.0)),
        });
        let processes = processes.collect();
        VirtualNetwork {
            rng,
            packets: 0,
            conditions,
            now: Micros::ZERO,
            scheduled: 0,
            queue: BTreeMap::new(),
            processes,
            partition: Partition::default(),
        }
    }

    /// The true time since the beginning of the run.
    pub(crate) fn now(&self) -> Micros {
        self.now
    }

    /// The time on a member's clock.
    pub(crate) fn clock(&self, member: usize) -> Micros {
        let process = &self.processes[member];
        process.clock_offset + self.now.mul_f64(process.clock_rate)
    }

    /// The number of times that a member has been started.
    pub(crate) fn incarnation(&self, member: usize) -> u32 {
        self.processes[member].incarnation
    }

    /// A random time below a bound.
    pub(crate) fn random_time(&mut self, bound: Micros) -> Micros {
        Micros(self.rng.random_range(0..bound.0.max(1)))
    }

    /// A random member.
    pub(crate) fn random_member(&mut self) -> usize {
        self.rng.random_range(0..self.processes.len())
    }

    /// A random peer of a member; `None` if the member itself was selected.
    pub(crate) fn random_peer(&mut self, member: usize) -> Option<SocketAddr> {
        Some(self.random_member()).filter(|peer| *peer != member).map(address)
    }

    /// Starts a member's process and schedules its first tick.
    pub(crate) fn start(&mut self, member: usize) {
        let process = &mut self.processes[member];
        process.incarnation += 1;
        process.is_running = true;
        let first_tick = self.random_time(MAX_FIRST_TICK_DELAY);
        self.tick_after(member, first_tick);
    }

    /// Schedules the next tick of a member's process after a pause.
    pub(crate) fn tick_after(&mut self, member: usize, pause: Micros) {
        let incarnation = self.processes[member].incarnation;
        self.push(self.now + pause, Event::Tick { member, incarnation });
    }

    /// Schedules an event that does not depend on a member's process.
    pub(crate) fn schedule(&mut self, at: Micros, event: E) {
        self.push(at, Event::Scheduled { member: None, event });
    }

    /// Schedules an event for a member; it is deferred while the member is frozen.
    pub(crate) fn schedule_for(&mut self, at: Micros, member: usize, event: E) {
        self.push(at, Event::Scheduled { member: Some(member), event });
    }

    /// Whether a member's process is frozen.
    pub(crate) fn is_frozen(&self, member: usize) -> bool {
        self.processes[member].is_frozen
    }

    /// Schedules the kill of a member's process.
    pub(crate) fn schedule_kill(&mut self, at: Micros, member: usize) {
        self.push(at, Event::Kill { member });
    }

    /// Schedules kills and freezes of random members at random times before `end`, each freeze for up to `max_freeze`.
    pub(crate) fn schedule_process_faults(&mut self, faults: Faults, end: Micros, max_freeze: Micros) {
        self.schedule_kills(faults.kills, end);
        self.schedule_freezes(faults.freezes, end, max_freeze);
    }

    /// Schedules kills of random members at random times before `end`.
    fn schedule_kills(&mut self, count: usize, end: Micros) {
        for _ in 0..count {
            let at = self.random_time(end);
            let member = self.random_member();
            self.schedule_kill(at, member);
        }
    }

    /// Schedules freezes of random members at random times before `end`, each for up to `max_freeze`.
    fn schedule_freezes(&mut self, count: usize, end: Micros, max_freeze: Micros) {
        for _ in 0..count {
            let at = self.random_time(end);
            let member = self.random_member();
            let duration = self.random_time(max_freeze);
            self.push(at, Event::Freeze { member, duration });
        }
    }

    /// Schedules a network partition from one time until another.
    pub(crate) fn schedule_partition(&mut self, from: Micros, until: Micros, partition: Partition) {
        self.push(from, Event::SetPartition(partition));
        self.push(until, Event::SetPartition(Partition::default()));
    }

    fn push(&mut self, at: Micros, event: Event<M, E>) {
        self.scheduled += 1;
        self.queue.insert((at, self.scheduled), event);
    }

    /// Sends a member's messages.
    pub(crate) fn send(&mut self, from: usize, messages: impl IntoIterator<Item = (SocketAddr, M)>) {
        for (to, message) in messages {
            self.packets += 1;
            let to = member_at(to);
            let is_partitioned = self.partition.separates(from, to);
            let copies = 1 + usize::from(self.random_bool(self.conditions.duplicate_ratio));
            for _ in 0..copies {
                let delay = self.random_delay();
                if !is_partitioned && !self.random_bool(self.conditions.loss_ratio) {
                    let message = message.clone();
                    self.push(self.now + delay, Event::Packet { from, to, message });
                }
            }
        }
    }

    fn random_delay(&mut self) -> Micros {
        let Conditions { min_delay, max_jitter, late_ratio, max_late_delays, .. } = self.conditions;
        let max_random_delay = match max_late_delays {
            [] => max_jitter,
            _ if !self.random_bool(late_ratio) => max_jitter,
            [latest] => *latest,
            _ => max_late_delays[self.rng.random_range(0..max_late_delays.len())],
        };
        min_delay + self.random_time(max_random_delay)
    }

    /// Returns true with this probability.
    fn random_bool(&mut self, probability: f64) -> bool {
        self.rng.random::<f64>() < probability
    }

    /// Advances the time to the next event that the test has to handle; `None` if there is none until `end`.
    pub(crate) fn next(&mut self, end: Micros) -> Option<Arrival<M, E>> {
        loop {
            let ((at, _), event) = self.queue.pop_first()?;
            if at > end {
                return None;
            }
            self.now = at;
            if let Some(member) = event.member().filter(|member| self.processes[*member].is_frozen) {
                self.processes[member].deferred.push(event);
            } else if let Some(arrival) = self.handle(event) {
                return Some(arrival);
            }
        }
    }

    /// Applies an event to the network; returns the part that the test has to handle.
    fn handle(&mut self, event: Event<M, E>) -> Option<Arrival<M, E>> {
        match event {
            Event::Tick { member, incarnation } => {
                let process = &self.processes[member];
                (process.is_running && process.incarnation == incarnation).then_some(Arrival::Tick(member))
            }
            Event::Packet { from, to, message } => Some(Arrival::Packet { from, to, message }),
            Event::Scheduled { event, .. } => Some(Arrival::Scheduled(event)),
            Event::Kill { member } => self.kill(member).then_some(Arrival::Killed(member)),
            Event::Freeze { member, duration } => {
                self.freeze(member, duration);
                None
            }
            Event::Resume { member } => {
                self.resume(member);
                None
            }
            Event::SetPartition(partition) => {
                self.partition = partition;
                None
            }
        }
    }

    /// Kills a process and drops its deferred events; false if it is not running.
    fn kill(&mut self, member: usize) -> bool {
        let process = &mut self.processes[member];
        let was_running = std::mem::take(&mut process.is_running);
        if was_running {
            process.is_frozen = false;
            process.deferred.clear();
        }
        was_running
    }

    /// Freezes a process from now on for a duration.
    pub(crate) fn freeze(&mut self, member: usize, duration: Micros) {
        self.processes[member].is_frozen = true;
        self.push(self.now + duration, Event::Resume { member });
    }

    /// Resumes a process and delivers its deferred events in order.
    fn resume(&mut self, member: usize) {
        self.processes[member].is_frozen = false;
        for event in std::mem::take(&mut self.processes[member].deferred) {
            self.push(self.now, event);
        }
    }
}
