//! Runs all members in simulated time, with an event queue in place of sockets and clocks.
//!
//! The state machines, the network and the seeds are the same as in [`super::sockets`]. Packets arrive exactly on time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

use super::run::{Run, TICK_INTERVAL};
use super::schedule::CLOCK_START;
use super::shard::{Observations, Shard, Travelling};
use super::{resources, Micros};

/// The port of every simulated member. Members differ in their IP address.
const MEMBER_PORT: u16 = 7_946;

/// The address of a simulated member.
pub fn address(member: usize) -> SocketAddr {
    let [_, high, middle, low] = (member as u32 + 1).to_be_bytes();
    (Ipv4Addr::new(10, high, middle, low), MEMBER_PORT).into()
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum QueuedKind {
    Action(usize),
    Tick(usize),
    Arrival(Travelling),
}

/// An event with its due time and sequence number. Events due at the same time run in insertion order.
type Queued = Reverse<(Micros, u64, QueuedKind)>;

/// The event queue.
#[derive(Default)]
struct Queue {
    heap: BinaryHeap<Queued>,
    sequence: u64,
}

impl Queue {
    fn push(&mut self, at: Micros, kind: QueuedKind) {
        self.sequence += 1;
        self.heap.push(Reverse((at, self.sequence, kind)));
    }

    fn push_all(&mut self, travelling: &mut Vec<Travelling>) {
        for packet in travelling.drain(..) {
            self.push(packet.due, QueuedKind::Arrival(packet));
        }
    }
}

/// Runs a scale test to its end. Returns the observations, and the resident memory at the end in bytes.
pub fn run_in_virtual_time(run: &Arc<Run>) -> (Observations, u64) {
    let mut shard = Shard::new(Arc::clone(run), 0, 1);
    let mut queue = Queue::default();
    let mut out = Vec::new();
    for member in shard.members() {
        let start = start_of(member, run.addresses.len());
        shard.on_action(start, &start_action(member, start), &mut out);
        queue.push(start + TICK_INTERVAL, QueuedKind::Tick(member));
        queue.push_all(&mut out);
    }
    for (number, action) in run.schedule.actions.iter().enumerate() {
        queue.push(action.at, QueuedKind::Action(number));
    }
    while let Some(Reverse((now, _, kind))) = queue.heap.pop() {
        if now >= run.schedule.end {
            break;
        }
        match kind {
            QueuedKind::Action(number) => shard.on_action(now, &run.schedule.actions[number], &mut out),
            QueuedKind::Tick(member) => {
                shard.on_tick(now, member, &mut out);
                queue.push(now + TICK_INTERVAL, QueuedKind::Tick(member));
            }
            QueuedKind::Arrival(packet) => {
                let from = run.addresses[packet.from];
                shard.on_datagram(now, packet.to, from, &packet.bytes, &mut out);
            }
        }
        queue.push_all(&mut out);
    }
    let memory = resources::resident_bytes();
    (shard.finish(), memory)
}

/// Time of a member's first start. The members' starts are evenly spaced over one tick.
pub(super) fn start_of(member: usize, members: usize) -> Micros {
    CLOCK_START + TICK_INTERVAL * member as Micros / members.max(1) as Micros
}

/// The action that starts a member for the first time.
pub(super) fn start_action(member: usize, at: Micros) -> super::schedule::Action {
    super::schedule::Action { at, member, kind: super::schedule::ActionKind::Start }
}
