//! The members of one thread: calls their control code, applies network faults to the packets they send, measures them and
//! records when they satisfy expectations. Does no I/O and reads no wall clock, so that the code is the same over sockets and in
//! simulated time.

use std::net::SocketAddr;
use std::sync::Arc;

use super::config::InjectedDefect;
use super::endpoint::{Datagram, Endpoint, EndpointEvent};
use super::meter::{thread_cpu_ns, Calls, MemberCounts, MemberPhases};
use super::run::Run;
use super::schedule::{Action, ActionKind};
use super::Micros;

/// A packet in flight between two members.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct InFlightPacket {
    /// Time of arrival.
    pub arrival: Micros,
    /// The sending member.
    pub from: usize,
    /// The receiving member.
    pub to: usize,
    /// The payload.
    pub bytes: Vec<u8>,
}

/// An expectation that a member satisfied for the first time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SatisfiedExpectation {
    /// Index of the expectation in the schedule.
    pub expectation_index: usize,
    /// The member.
    pub member: usize,
    /// Time of the check.
    pub at: Micros,
}

/// An event at a member, with its time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemberEvent {
    /// Time of the event.
    pub at: Micros,
    /// The member.
    pub member: usize,
    /// The event.
    pub event: EndpointEvent,
}

/// The measurements and events of a shard.
#[derive(Debug, Default)]
pub struct Observations {
    /// Traffic and processor time by member.
    pub counts: Vec<(usize, MemberPhases)>,
    /// The expectations that members have satisfied.
    pub satisfied: Vec<SatisfiedExpectation>,
    /// The members' events.
    pub events: Vec<MemberEvent>,
    /// For each member that runs at the end and has a membership: the number of members it considers alive.
    pub known_members: Vec<usize>,
    /// Number of packets to addresses of no member.
    pub unroutable: u64,
}

/// A member with its measurements.
struct MemberSlot {
    member: usize,
    /// The member's control code; `None` while the member is not running.
    endpoint: Option<Box<dyn Endpoint>>,
    counts: MemberPhases,
    /// Number of packets sent, an input to the network's random choices.
    sent_packets: u64,
    /// Bit mask of the satisfied expectations, by their index in the schedule.
    satisfied: u64,
    /// Time of the next broadcast with [`InjectedDefect::BroadcastsToAll`].
    next_broadcast: Micros,
}

/// The members of one thread.
pub struct Shard {
    run: Arc<Run>,
    index: usize,
    shard_count: usize,
    slots: Vec<MemberSlot>,
    observations: Observations,
}

impl Shard {
    /// Creates the shard with this index out of `shard_count`, without starting its members.
    pub fn new(run: Arc<Run>, index: usize, shard_count: usize) -> Shard {
        let members = (index..run.addresses.len()).step_by(shard_count);
        let slot = |member| MemberSlot {
            member,
            endpoint: None,
            counts: MemberPhases::default(),
            sent_packets: 0,
            satisfied: 0,
            next_broadcast: 0,
        };
        let slots = members.map(slot).collect();
        Shard { run, index, shard_count, slots, observations: Observations::default() }
    }

    /// Index of the shard: the numbers of its members modulo the number of shards.
    pub fn index(&self) -> usize {
        self.index
    }

    /// The numbers of the members of this shard.
    pub fn members(&self) -> Vec<usize> {
        self.slots.iter().map(|slot| slot.member).collect()
    }

    /// Executes an action of the schedule.
    pub fn on_action(&mut self, now: Micros, action: &Action, outgoing: &mut Vec<InFlightPacket>) {
        let slot_index = action.member / self.shard_count;
        match action.kind {
            ActionKind::Stop => {
                self.slots[slot_index].endpoint = None;
                self.record_event(now, action.member, EndpointEvent::Stopped);
            }
            ActionKind::Publish(number) => match &mut self.slots[slot_index].endpoint {
                Some(endpoint) => {
                    endpoint.publish_purge(now, number);
                    self.send_pending(now, slot_index, outgoing);
                }
                None => self.record_event(now, action.member, EndpointEvent::PurgeRejected(number)),
            },
            ActionKind::Start => {
                let endpoint = self.run.create_endpoint(action.member, now);
                self.slots[slot_index].endpoint = Some(endpoint);
                self.record_event(now, action.member, EndpointEvent::Started);
                self.send_pending(now, slot_index, outgoing);
            }
        }
    }

    /// Delivers a packet to one of the shard's members.
    pub fn on_datagram(
        &mut self,
        now: Micros,
        member: usize,
        from: SocketAddr,
        bytes: &[u8],
        outgoing: &mut Vec<InFlightPacket>,
    ) {
        let slot_index = member / self.shard_count;
        let phase = self.run.schedule.phase(now) as usize;
        let slot = &mut self.slots[slot_index];
        let Some(endpoint) = &mut slot.endpoint else { return };
        let cpu_before_ns = thread_cpu_ns();
        endpoint.on_datagram(now, from, bytes);
        let sent = endpoint.drain_datagrams();
        let counts = &mut slot.counts[phase];
        count_call(&mut counts.datagrams, cpu_before_ns);
        counts.received.packets += 1;
        counts.received.bytes += bytes.len() as u64;
        self.send_packets(now, slot_index, sent, outgoing);
        self.record_endpoint_events(now, slot_index);
    }

    /// Runs the tick of one of the shard's members and checks its expectations.
    pub fn on_tick(&mut self, now: Micros, member: usize, outgoing: &mut Vec<InFlightPacket>) {
        let slot_index = member / self.shard_count;
        let phase = self.run.schedule.phase(now) as usize;
        let slot = &mut self.slots[slot_index];
        let Some(endpoint) = &mut slot.endpoint else { return };
        let cpu_before_ns = thread_cpu_ns();
        endpoint.on_tick(now);
        let mut sent = endpoint.drain_datagrams();
        count_call(&mut slot.counts[phase].ticks, cpu_before_ns);
        if self.run.config.defect == Some(InjectedDefect::BroadcastsToAll) && now >= slot.next_broadcast {
            slot.next_broadcast = now + 1_000_000;
            sent.extend(broadcast_packets(&self.run, member));
        }
        self.send_packets(now, slot_index, sent, outgoing);
        self.record_endpoint_events(now, slot_index);
        self.record_satisfied_expectations(now, slot_index);
    }

    /// Ends the run and returns the observations.
    pub fn into_observations(mut self) -> Observations {
        for slot in &self.slots {
            self.observations.counts.push((slot.member, slot.counts));
            let known = slot.endpoint.as_ref().and_then(|endpoint| endpoint.known_member_count());
            self.observations.known_members.extend(known);
        }
        self.observations
    }

    /// Sends the pending packets of a member and records its events.
    fn send_pending(&mut self, now: Micros, slot_index: usize, outgoing: &mut Vec<InFlightPacket>) {
        let sent = self.slots[slot_index]
            .endpoint
            .as_mut()
            .map(|endpoint| endpoint.drain_datagrams())
            .unwrap_or_default();
        self.send_packets(now, slot_index, sent, outgoing);
        self.record_endpoint_events(now, slot_index);
    }

    fn send_packets(
        &mut self,
        now: Micros,
        slot_index: usize,
        sent: Vec<Datagram>,
        outgoing: &mut Vec<InFlightPacket>,
    ) {
        let phase = self.run.schedule.phase(now) as usize;
        for (address, bytes) in sent {
            let slot = &mut self.slots[slot_index];
            slot.sent_packets += 1;
            let counts: &mut MemberCounts = &mut slot.counts[phase];
            counts.on_sent(&bytes);
            let Some(to) = self.run.member_at(address) else {
                self.observations.unroutable += 1;
                continue;
            };
            let from = slot.member;
            if let Some(delay) = self.run.network.delay(now, from, to, slot.sent_packets) {
                outgoing.push(InFlightPacket { arrival: now + delay, from, to, bytes });
            }
        }
    }

    fn record_event(&mut self, at: Micros, member: usize, event: EndpointEvent) {
        self.observations.events.push(MemberEvent { at, member, event });
    }

    fn record_endpoint_events(&mut self, now: Micros, slot_index: usize) {
        let slot = &mut self.slots[slot_index];
        let Some(endpoint) = &mut slot.endpoint else { return };
        let member = slot.member;
        let events = endpoint.drain_events(now);
        self.observations.events.extend(events.into_iter().map(|event| MemberEvent {
            at: now,
            member,
            event,
        }));
    }

    fn record_satisfied_expectations(&mut self, now: Micros, slot_index: usize) {
        let slot = &mut self.slots[slot_index];
        let Some(endpoint) = &mut slot.endpoint else { return };
        for (index, expectation) in self.run.schedule.expectations.iter().enumerate() {
            let is_active = (expectation.at..expectation.until).contains(&now);
            let is_pending =
                is_active && expectation.observers[slot.member] && slot.satisfied & (1 << index) == 0;
            if is_pending && endpoint.satisfies(&expectation.query) {
                slot.satisfied |= 1 << index;
                self.observations.satisfied.push(SatisfiedExpectation {
                    expectation_index: index,
                    member: slot.member,
                    at: now,
                });
            }
        }
    }
}

fn count_call(calls: &mut Calls, cpu_before_ns: u64) {
    calls.count += 1;
    calls.cpu_ns += thread_cpu_ns().saturating_sub(cpu_before_ns);
}

/// Creates a packet to each other member.
fn broadcast_packets(run: &Run, member: usize) -> Vec<Datagram> {
    let others = run.addresses.iter().enumerate().filter(|(other, _)| *other != member);
    others.map(|(_, address)| (*address, vec![b'J', b'L', 0, 0])).collect()
}
