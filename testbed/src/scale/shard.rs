//! The members of one thread: calls their control code, applies network faults to the packets they send, measures them and
//! records when they satisfy expectations. Does no I/O and reads no wall clock, so that sockets and simulated time share it.

use std::net::SocketAddr;
use std::sync::Arc;

use super::config::Flaw;
use super::endpoint::{Datagram, Endpoint, EndpointEvent};
use super::meter::{thread_cpu_ns, Calls, MemberCounts, MemberPhases};
use super::run::Run;
use super::schedule::{Action, ActionKind};
use super::Micros;

/// A packet in flight between two members.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Travelling {
    /// Time of arrival.
    pub due: Micros,
    /// The sending member.
    pub from: usize,
    /// The receiving member.
    pub to: usize,
    /// The payload.
    pub bytes: Vec<u8>,
}

/// An expectation that a member satisfied for the first time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reached {
    /// Index of the expectation in the schedule.
    pub expectation: usize,
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
    /// The satisfied expectations by member.
    pub reached: Vec<Reached>,
    /// The members' events.
    pub events: Vec<MemberEvent>,
    /// For each member that runs at the end and has a membership: the number of members it considers alive.
    pub known: Vec<usize>,
    /// Number of packets to addresses of no member.
    pub unroutable: u64,
}

struct Slot {
    member: usize,
    endpoint: Option<Box<dyn Endpoint>>,
    counts: MemberPhases,
    /// Number of packets sent, an input to the network's random choices.
    sent: u64,
    /// Bit mask of the satisfied expectations, by index.
    reached: u64,
    /// Time of the next broadcast with [`Flaw::TalksToAll`].
    talks: Micros,
}

/// The members of one thread.
pub struct Shard {
    run: Arc<Run>,
    number: usize,
    shards: usize,
    slots: Vec<Slot>,
    observations: Observations,
}

impl Shard {
    /// Creates shard `number` of `shards`, without starting its members.
    pub fn new(run: Arc<Run>, number: usize, shards: usize) -> Shard {
        let members = (number..run.addresses.len()).step_by(shards);
        let slot = |member| Slot {
            member,
            endpoint: None,
            counts: MemberPhases::default(),
            sent: 0,
            reached: 0,
            talks: 0,
        };
        let slots = members.map(slot).collect();
        Shard { run, number, shards, slots, observations: Observations::default() }
    }

    /// Index of the shard: the numbers of its members modulo the number of shards.
    pub fn number(&self) -> usize {
        self.number
    }

    /// The numbers of the members of this shard.
    pub fn members(&self) -> Vec<usize> {
        self.slots.iter().map(|slot| slot.member).collect()
    }

    /// Executes an action of the schedule.
    pub fn on_action(&mut self, now: Micros, action: &Action, out: &mut Vec<Travelling>) {
        let place = action.member / self.shards;
        match action.kind {
            ActionKind::Stop => {
                self.slots[place].endpoint = None;
                self.note(now, action.member, EndpointEvent::Stopped);
            }
            ActionKind::Publish(number) => match &mut self.slots[place].endpoint {
                Some(endpoint) => {
                    endpoint.publish_purge(now, number);
                    self.after(now, place, out);
                }
                None => self.note(now, action.member, EndpointEvent::PurgeRejected(number)),
            },
            ActionKind::Start => {
                let endpoint = self.run.start(action.member, now);
                self.slots[place].endpoint = Some(endpoint);
                self.note(now, action.member, EndpointEvent::Started);
                self.after(now, place, out);
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
        out: &mut Vec<Travelling>,
    ) {
        let place = member / self.shards;
        let phase = self.run.schedule.phase(now) as usize;
        let slot = &mut self.slots[place];
        let Some(endpoint) = &mut slot.endpoint else { return };
        let before = thread_cpu_ns();
        endpoint.on_datagram(now, from, bytes);
        let sent = endpoint.drain_datagrams();
        let counts = &mut slot.counts[phase];
        count_call(&mut counts.datagrams, before);
        counts.received.packets += 1;
        counts.received.bytes += bytes.len() as u64;
        self.send(now, place, sent, out);
        self.note_events(now, place);
    }

    /// Runs the tick of one of the shard's members and checks its expectations.
    pub fn on_tick(&mut self, now: Micros, member: usize, out: &mut Vec<Travelling>) {
        let place = member / self.shards;
        let phase = self.run.schedule.phase(now) as usize;
        let slot = &mut self.slots[place];
        let Some(endpoint) = &mut slot.endpoint else { return };
        let before = thread_cpu_ns();
        endpoint.on_tick(now);
        let mut sent = endpoint.drain_datagrams();
        count_call(&mut slot.counts[phase].ticks, before);
        if self.run.config.flaw == Some(Flaw::TalksToAll) && now >= slot.talks {
            slot.talks = now + 1_000_000;
            sent.extend(talk_to_all(&self.run, member));
        }
        self.send(now, place, sent, out);
        self.note_events(now, place);
        self.note_reached(now, place);
    }

    /// Ends the run and returns the observations.
    pub fn finish(mut self) -> Observations {
        for slot in &self.slots {
            self.observations.counts.push((slot.member, slot.counts));
            let known = slot.endpoint.as_ref().and_then(|endpoint| endpoint.known_member_count());
            self.observations.known.extend(known);
        }
        self.observations
    }

    /// Sends the pending packets of a member and records its events.
    fn after(&mut self, now: Micros, place: usize, out: &mut Vec<Travelling>) {
        let sent = self.slots[place]
            .endpoint
            .as_mut()
            .map(|endpoint| endpoint.drain_datagrams())
            .unwrap_or_default();
        self.send(now, place, sent, out);
        self.note_events(now, place);
    }

    fn send(&mut self, now: Micros, place: usize, sent: Vec<Datagram>, out: &mut Vec<Travelling>) {
        let phase = self.run.schedule.phase(now) as usize;
        for (address, bytes) in sent {
            let slot = &mut self.slots[place];
            slot.sent += 1;
            let counts: &mut MemberCounts = &mut slot.counts[phase];
            counts.on_sent(&bytes);
            let Some(to) = self.run.member_at(address) else {
                self.observations.unroutable += 1;
                continue;
            };
            let from = slot.member;
            if let Some(delay) = self.run.network.delay(now, from, to, slot.sent) {
                out.push(Travelling { due: now + delay, from, to, bytes });
            }
        }
    }

    fn note(&mut self, at: Micros, member: usize, event: EndpointEvent) {
        self.observations.events.push(MemberEvent { at, member, event });
    }

    fn note_events(&mut self, now: Micros, place: usize) {
        let slot = &mut self.slots[place];
        let Some(endpoint) = &mut slot.endpoint else { return };
        let member = slot.member;
        let events = endpoint.drain_events(now);
        self.observations.events.extend(events.into_iter().map(|event| MemberEvent {
            at: now,
            member,
            event,
        }));
    }

    fn note_reached(&mut self, now: Micros, place: usize) {
        let slot = &mut self.slots[place];
        let Some(endpoint) = &mut slot.endpoint else { return };
        for (number, expectation) in self.run.schedule.expectations.iter().enumerate() {
            let due = (expectation.at..expectation.until).contains(&now);
            let asked = due && expectation.observers[slot.member] && slot.reached & (1 << number) == 0;
            if asked && endpoint.satisfies(&expectation.query) {
                slot.reached |= 1 << number;
                self.observations.reached.push(Reached { expectation: number, member: slot.member, at: now });
            }
        }
    }
}

fn count_call(calls: &mut Calls, before_ns: u64) {
    calls.count += 1;
    calls.cpu_ns += thread_cpu_ns().saturating_sub(before_ns);
}

/// Creates a packet to each other member.
fn talk_to_all(run: &Run, member: usize) -> Vec<Datagram> {
    let others = run.addresses.iter().enumerate().filter(|(other, _)| *other != member);
    others.map(|(_, address)| (*address, vec![b'J', b'L', 0, 0])).collect()
}
