//! A network in virtual time, for the tests of this crate: members whose clocks run apart and that are killed and frozen, and
//! packets that are lost, repeated, late or cut off. Everything is drawn from one seed, so that a seed always gives the same.
//!
//! The network keeps the time and the queue of what happens; a test keeps its state machines, takes one [`Arrival`] after the
//! other and gives the network what its machines send.

mod conditions;

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};

use juniperladder::Micros;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

pub(crate) use conditions::{Conditions, Faults, Partition, NO_FAULTS};

/// The port of the first member.
const FIRST_PORT: u16 = 1_000;
/// The first tick of a process comes within this time of its start.
const MAX_FIRST_TICK_DELAY: Micros = Micros::from_millis(50);
/// Members' clocks show less than this when a run begins.
const MAX_CLOCK_OFFSET: Micros = Micros::from_secs(1_000);

/// The address of a member.
pub(crate) fn address(member: usize) -> SocketAddr {
    (Ipv4Addr::LOCALHOST, FIRST_PORT + member as u16).into()
}

/// The member at an address.
fn member_at(address: SocketAddr) -> usize {
    usize::from(address.port() - FIRST_PORT)
}

/// The times from one until another, a step apart.
pub(crate) fn times(from: Micros, until: Micros, step: Micros) -> impl Iterator<Item = Micros> {
    (from.0..until.0).step_by(step.0 as usize).map(Micros)
}

/// What a test has to do next.
#[derive(Debug)]
pub(crate) enum Arrival<M, E> {
    /// A member does what is due.
    Tick(usize),
    /// A message has come to a member.
    Packet {
        /// Who sent it.
        from: usize,
        /// Whom it has come to.
        to: usize,
        /// What it says.
        message: M,
    },
    /// A member's process has been killed; the test starts it again.
    Killed(usize),
    /// Something that the test has put on the schedule.
    Scheduled(E),
}

/// What happens in the network.
#[derive(Debug)]
enum Event<M, E> {
    /// A process does what is due, unless it has been killed since.
    Tick { member: usize, incarnation: u32 },
    /// A packet arrives.
    Packet { from: usize, to: usize, message: M },
    /// A process is killed.
    Kill { member: usize },
    /// A process stands still for so long.
    Freeze { member: usize, duration: Micros },
    /// A process goes on.
    Thaw { member: usize },
    /// The network is cut, or whole again.
    Cut(Partition),
    /// What a test has scheduled; one that is for a member waits while that is frozen.
    Scheduled { member: Option<usize>, event: E },
}

impl<M, E> Event<M, E> {
    /// The member whose process this needs.
    fn member(&self) -> Option<usize> {
        match self {
            Event::Tick { member, .. } | Event::Packet { to: member, .. } => Some(*member),
            Event::Scheduled { member, .. } => *member,
            Event::Kill { .. } | Event::Freeze { .. } | Event::Thaw { .. } | Event::Cut(_) => None,
        }
    }
}

/// One member's process and clock.
#[derive(Debug)]
struct Process<M, E> {
    /// Counts the starts.
    incarnation: u32,
    is_running: bool,
    is_frozen: bool,
    /// What waits until it thaws.
    waiting: Vec<Event<M, E>>,
    /// How fast its clock runs, as a ratio to the network's time.
    clock_rate: f64,
    /// What its clock showed when the run began.
    clock_offset: Micros,
}

/// The network. `M` is what its members send, `E` what a test puts on its schedule.
#[derive(Debug)]
pub(crate) struct VirtualNetwork<M, E> {
    /// The source of all that is drawn.
    pub(crate) rng: ChaCha8Rng,
    /// Packets sent so far.
    pub(crate) packets: u64,
    conditions: Conditions,
    now: Micros,
    /// Events scheduled so far.
    scheduled: u64,
    /// What is to happen, by its time and in the order of scheduling.
    queue: BTreeMap<(Micros, u64), Event<M, E>>,
    processes: Vec<Process<M, E>>,
    partition: Partition,
}

impl<M: Clone, E> VirtualNetwork<M, E> {
    /// A network of so many members, none of which has been started.
    pub(crate) fn new(seed: u64, members: usize, conditions: Conditions) -> VirtualNetwork<M, E> {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let processes = (0..members).map(|_| Process {
            incarnation: 0,
            is_running: false,
            is_frozen: false,
            waiting: Vec::new(),
            clock_rate: 1.0 + conditions.drift * (2.0 * rng.random::<f64>() - 1.0),
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

    /// The time that is everybody's, from the beginning of the run.
    pub(crate) fn now(&self) -> Micros {
        self.now
    }

    /// What a member's clock shows.
    pub(crate) fn clock(&self, member: usize) -> Micros {
        let process = &self.processes[member];
        process.clock_offset + self.now.mul_f64(process.clock_rate)
    }

    /// How often a member has been started.
    pub(crate) fn incarnation(&self, member: usize) -> u32 {
        self.processes[member].incarnation
    }

    /// A drawn time below this.
    pub(crate) fn draw(&mut self, most: Micros) -> Micros {
        Micros(self.rng.random_range(0..most.0.max(1)))
    }

    /// A drawn member.
    pub(crate) fn draw_member(&mut self) -> usize {
        self.rng.random_range(0..self.processes.len())
    }

    /// A drawn member for another to ask; `None` where it has drawn itself.
    pub(crate) fn draw_peer(&mut self, member: usize) -> Option<SocketAddr> {
        Some(self.draw_member()).filter(|peer| *peer != member).map(address)
    }

    /// A member's process starts, with its first tick to come.
    pub(crate) fn start(&mut self, member: usize) {
        let process = &mut self.processes[member];
        process.incarnation += 1;
        process.is_running = true;
        let first_tick = self.draw(MAX_FIRST_TICK_DELAY);
        self.tick_after(member, first_tick);
    }

    /// The next tick of a member's process comes after this time.
    pub(crate) fn tick_after(&mut self, member: usize, pause: Micros) {
        let incarnation = self.processes[member].incarnation;
        self.push(self.now + pause, Event::Tick { member, incarnation });
    }

    /// At that time something happens that needs no member's process.
    pub(crate) fn schedule(&mut self, at: Micros, event: E) {
        self.push(at, Event::Scheduled { member: None, event });
    }

    /// At that time something happens at a member, or when it thaws.
    pub(crate) fn schedule_for(&mut self, at: Micros, member: usize, event: E) {
        self.push(at, Event::Scheduled { member: Some(member), event });
    }

    /// Whether a member's process stands still.
    pub(crate) fn is_frozen(&self, member: usize) -> bool {
        self.processes[member].is_frozen
    }

    /// A member's process is killed at that time.
    pub(crate) fn schedule_kill(&mut self, at: Micros, member: usize) {
        self.push(at, Event::Kill { member });
    }

    /// Drawn members are killed and frozen at drawn times until `end`, frozen for up to `max_freeze` each.
    pub(crate) fn schedule_process_faults(&mut self, faults: Faults, end: Micros, max_freeze: Micros) {
        self.schedule_kills(faults.kills, end);
        self.schedule_freezes(faults.freezes, end, max_freeze);
    }

    /// Drawn members are killed at drawn times until `end`.
    fn schedule_kills(&mut self, count: usize, end: Micros) {
        for _ in 0..count {
            let at = self.draw(end);
            let member = self.draw_member();
            self.schedule_kill(at, member);
        }
    }

    /// Drawn members are frozen at drawn times until `end`, each for up to `longest`.
    fn schedule_freezes(&mut self, count: usize, end: Micros, longest: Micros) {
        for _ in 0..count {
            let at = self.draw(end);
            let member = self.draw_member();
            let duration = self.draw(longest);
            self.push(at, Event::Freeze { member, duration });
        }
    }

    /// The network is cut from one time until another.
    pub(crate) fn schedule_cut(&mut self, from: Micros, until: Micros, partition: Partition) {
        self.push(from, Event::Cut(partition));
        self.push(until, Event::Cut(Partition::default()));
    }

    fn push(&mut self, at: Micros, event: Event<M, E>) {
        self.scheduled += 1;
        self.queue.insert((at, self.scheduled), event);
    }

    /// A member's packets go on their way.
    pub(crate) fn send(&mut self, from: usize, messages: impl IntoIterator<Item = (SocketAddr, M)>) {
        for (to, message) in messages {
            self.packets += 1;
            let to = member_at(to);
            let is_cut = self.partition.separates(from, to);
            let copies = 1 + usize::from(self.is_drawn(self.conditions.repeat));
            for _ in 0..copies {
                let delay = self.draw_delay();
                if !is_cut && !self.is_drawn(self.conditions.loss) {
                    let message = message.clone();
                    self.push(self.now + delay, Event::Packet { from, to, message });
                }
            }
        }
    }

    fn draw_delay(&mut self) -> Micros {
        let Conditions { min_delay, delay, late, late_delays, .. } = self.conditions;
        let most = match late_delays {
            [] => delay,
            _ if !self.is_drawn(late) => delay,
            [latest] => *latest,
            _ => late_delays[self.rng.random_range(0..late_delays.len())],
        };
        min_delay + self.draw(most)
    }

    /// Whether something happens that does so in this share of cases.
    fn is_drawn(&mut self, share: f64) -> bool {
        self.rng.random::<f64>() < share
    }

    /// Goes on to what a test has to do next; nothing until `end`.
    pub(crate) fn next(&mut self, end: Micros) -> Option<Arrival<M, E>> {
        loop {
            let ((at, _), event) = self.queue.pop_first()?;
            if at > end {
                return None;
            }
            self.now = at;
            if let Some(member) = event.member().filter(|member| self.processes[*member].is_frozen) {
                self.processes[member].waiting.push(event);
            } else if let Some(arrival) = self.handle(event) {
                return Some(arrival);
            }
        }
    }

    /// Does what an event does here; returns what is left to the test.
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
            Event::Thaw { member } => {
                self.thaw(member);
                None
            }
            Event::Cut(partition) => {
                self.partition = partition;
                None
            }
        }
    }

    /// A process is killed, with all that waited for it; false where there is none.
    fn kill(&mut self, member: usize) -> bool {
        let process = &mut self.processes[member];
        let was_running = std::mem::take(&mut process.is_running);
        if was_running {
            process.is_frozen = false;
            process.waiting.clear();
        }
        was_running
    }

    /// A process stands still from now on, for so long.
    pub(crate) fn freeze(&mut self, member: usize, duration: Micros) {
        self.processes[member].is_frozen = true;
        self.push(self.now + duration, Event::Thaw { member });
    }

    /// A process goes on, with what waited for it, in order.
    fn thaw(&mut self, member: usize) {
        self.processes[member].is_frozen = false;
        for event in std::mem::take(&mut self.processes[member].waiting) {
            self.push(self.now, event);
        }
    }
}
