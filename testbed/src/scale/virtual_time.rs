//! Runs all members in simulated time, with an event queue in place of sockets and clocks.
//!
//! The state machines, the network and the seeds are the same as in [`super::sockets`]. Packets arrive exactly on time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

use super::run::{Run, TICK_INTERVAL};
use super::schedule::CLOCK_START;
use super::shard::{InFlightPacket, Observations, Shard};
use super::{resources, Micros};

/// The port of every simulated member. Members differ in their IP address.
const MEMBER_PORT: u16 = 7_946;

/// The address of a simulated member.
pub fn member_address(member: usize) -> SocketAddr {
    let [_, high, middle, low] = (member as u32 + 1).to_be_bytes();
    (Ipv4Addr::new(10, high, middle, low), MEMBER_PORT).into()
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum EventKind {
    /// The action with this index in the schedule.
    Action(usize),
    /// The tick of this member.
    Tick(usize),
    /// The arrival of a packet.
    Arrival(InFlightPacket),
}

/// An event with its due time and sequence number. Events due at the same time run in insertion order.
type QueuedEvent = Reverse<(Micros, u64, EventKind)>;

/// The events that are not processed yet.
#[derive(Default)]
struct EventQueue {
    heap: BinaryHeap<QueuedEvent>,
    /// Sequence number of the last inserted event.
    sequence: u64,
}

impl EventQueue {
    fn push(&mut self, at: Micros, kind: EventKind) {
        self.sequence += 1;
        self.heap.push(Reverse((at, self.sequence, kind)));
    }

    fn push_arrivals(&mut self, packets: &mut Vec<InFlightPacket>) {
        for packet in packets.drain(..) {
            self.push(packet.arrival, EventKind::Arrival(packet));
        }
    }
}

/// Runs a scale test to its end. Returns the observations, and the resident memory at the end in bytes.
pub fn run_in_virtual_time(run: &Arc<Run>) -> (Observations, u64) {
    let mut shard = Shard::new(Arc::clone(run), 0, 1);
    let mut queue = EventQueue::default();
    let mut outgoing = Vec::new();
    for member in shard.members() {
        let start = first_start_time(member, run.addresses.len());
        shard.on_action(start, &first_start_action(member, start), &mut outgoing);
        queue.push(start + TICK_INTERVAL, EventKind::Tick(member));
        queue.push_arrivals(&mut outgoing);
    }
    for (index, action) in run.schedule.actions.iter().enumerate() {
        queue.push(action.at, EventKind::Action(index));
    }
    while let Some(Reverse((now, _, kind))) = queue.heap.pop() {
        if now >= run.schedule.end {
            break;
        }
        match kind {
            EventKind::Action(index) => shard.on_action(now, &run.schedule.actions[index], &mut outgoing),
            EventKind::Tick(member) => {
                shard.on_tick(now, member, &mut outgoing);
                queue.push(now + TICK_INTERVAL, EventKind::Tick(member));
            }
            EventKind::Arrival(packet) => {
                let from = run.addresses[packet.from];
                shard.on_datagram(now, packet.to, from, &packet.bytes, &mut outgoing);
            }
        }
        queue.push_arrivals(&mut outgoing);
    }
    let memory = resources::resident_bytes();
    (shard.into_observations(), memory)
}

/// Time of a member's first start. The members' starts are evenly spaced over one tick.
pub(super) fn first_start_time(member: usize, members: usize) -> Micros {
    CLOCK_START + TICK_INTERVAL * member as Micros / members.max(1) as Micros
}

/// The action that starts a member for the first time.
pub(super) fn first_start_action(member: usize, at: Micros) -> super::schedule::Action {
    super::schedule::Action { at, member, kind: super::schedule::ActionKind::Start }
}
