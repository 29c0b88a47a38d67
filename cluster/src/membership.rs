//! The membership of the fleet: the SWIM protocol as implemented by `foca`, with suspicion and incarnations. The caller passes
//! in packets and times and drains the outgoing packets.
//!
//! # Guarantee
//!
//! The membership is best effort. Within a few seconds a live member is known to all members that it can reach and a failed
//! member is removed; an address has one member, its newest incarnation. No safety property depends on the membership: rate
//! limits hold whatever it reports. It stores at most `MAX_KNOWN_MEMBERS` members; if a flood of nonexistent members exceeds
//! that, the membership restarts from its seeds.
//!
//! Times are on the caller's clock, which never goes back. Packets that the protocol rejects are counted and dropped.

#[cfg(test)]
mod tests;

use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;
use std::net::SocketAddr;
use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

use foca::{
    AccumulatingRuntime, Config, Foca, Identity, NoCustomBroadcast, PeriodicParams, PostcardCodec, State,
    Timer,
};
use juniperladder::Micros;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};

use crate::packet::HEADER_BYTES;
use crate::{MAX_MEMBERS, MAX_PACKET_BYTES};

/// The maximum number of stored members, including those that are down.
const MAX_KNOWN_MEMBERS: usize = 2 * MAX_MEMBERS;
/// The maximum number of stored timers; far more than the protocol sets.
const MAX_TIMERS: usize = 8 * MAX_KNOWN_MEMBERS;
/// How often a member that knows no other member announces itself to seeds.
const SEED_INTERVAL_ALONE: Micros = Micros::SECOND;
/// How often a member that knows other members announces itself to a seed, so that the parts of a fleet find each other after a
/// network partition.
const SEED_INTERVAL: Micros = Micros::from_secs(3);
/// The number of seeds to which a member announces itself in one round while it knows no other member. It is small so that
/// hundreds of members that lost each other do not repeatedly contact all seeds at the same moment.
const SEEDS_PER_ROUND_ALONE: usize = 3;
/// The number of seeds to which a member announces itself in one round while it knows other members.
const SEEDS_PER_ROUND: usize = 1;
/// The incarnation in an announcement, which is addressed to any process at the seed's address.
const ANY_INCARNATION: u64 = 0;

/// Identifies a member's process. The order of the fields is part of the protocol.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberId {
    /// The address at which the process receives packets.
    pub address: SocketAddr,
    /// Identifies the process at that address; a later process has a greater number.
    pub incarnation: u64,
}

impl Identity for MemberId {
    type Addr = SocketAddr;

    fn renew(&self) -> Option<MemberId> {
        Some(MemberId { incarnation: self.incarnation + 1, ..self.clone() })
    }

    fn addr(&self) -> SocketAddr {
        self.address
    }

    fn win_addr_conflict(&self, other: &MemberId) -> bool {
        self.incarnation > other.incarnation
    }
}

/// Numbers of members by state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MemberCounts {
    /// Members that are alive, including this one.
    pub alive: usize,
    /// Members that failed a health check but are not yet declared down.
    pub suspect: usize,
    /// Members that are declared down.
    pub down: usize,
}

type Swim = Foca<MemberId, PostcardCodec, ChaCha8Rng, NoCustomBroadcast>;

/// The membership of one balancer.
pub struct Membership {
    swim: Swim,
    runtime: AccumulatingRuntime<MemberId>,
    timers: BinaryHeap<Reverse<ScheduledTimer>>,
    /// The number of timers scheduled so far.
    scheduled: u64,
    seeds: Vec<SocketAddr>,
    /// When this member last announced itself to seeds.
    last_announcement: Micros,
    rng: ChaCha8Rng,
    outgoing: Vec<(SocketAddr, Vec<u8>)>,
    dropped_packets: u64,
    restarts: u64,
}

impl std::fmt::Debug for Membership {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Membership").field("members", &self.counts()).finish_non_exhaustive()
    }
}

/// A timer of the protocol. Timers due at the same time are handled in the order in which they were scheduled.
#[derive(Debug)]
struct ScheduledTimer {
    due: Micros,
    /// The sequence number, unique to the timer.
    sequence: u64,
    timer: Timer<MemberId>,
}

impl ScheduledTimer {
    fn rank(&self) -> (Micros, u64) {
        (self.due, self.sequence)
    }
}

impl PartialEq for ScheduledTimer {
    fn eq(&self, other: &ScheduledTimer) -> bool {
        self.rank() == other.rank()
    }
}

impl Eq for ScheduledTimer {}

impl PartialOrd for ScheduledTimer {
    fn partial_cmp(&self, other: &ScheduledTimer) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for ScheduledTimer {
    fn cmp(&self, other: &ScheduledTimer) -> Ordering {
        self.rank().cmp(&other.rank())
    }
}

/// The protocol's settings: with one health check and two rounds of gossip a second, a member sends about five packets a
/// second.
fn protocol_config() -> Config {
    let once_every =
        |interval: Duration| Some(PeriodicParams { frequency: interval, num_members: NonZeroUsize::MIN });
    Config {
        probe_period: Duration::from_millis(1_000),
        probe_rtt: Duration::from_millis(300),
        num_indirect_probes: NonZeroUsize::MIN.saturating_add(2),
        max_transmissions: NonZeroU8::MIN.saturating_add(11),
        suspect_to_down_after: Duration::from_secs(3),
        remove_down_after: Some(Duration::from_secs(600)),
        max_packet_size: NonZeroUsize::new(MAX_PACKET_BYTES - HEADER_BYTES).unwrap_or(NonZeroUsize::MIN),
        notify_down_members: true,
        periodic_announce: once_every(Duration::from_millis(2_000)),
        periodic_announce_to_down_members: once_every(Duration::from_millis(2_000)),
        periodic_gossip: once_every(Duration::from_millis(500)),
    }
}

fn new_swim(member: MemberId, rng: &mut ChaCha8Rng) -> Swim {
    let swim_rng = ChaCha8Rng::seed_from_u64(rng.random());
    Foca::new(member, protocol_config(), swim_rng, PostcardCodec)
}

impl Membership {
    /// Creates the membership of a member that knows only its seeds.
    pub fn new(member: MemberId, seeds: Vec<SocketAddr>, random_seed: u64, now: Micros) -> Membership {
        let mut rng = ChaCha8Rng::seed_from_u64(random_seed);
        let seeds = seeds.into_iter().filter(|seed| *seed != member.address).collect();
        let mut membership = Membership {
            swim: new_swim(member, &mut rng),
            runtime: AccumulatingRuntime::new(),
            timers: BinaryHeap::new(),
            scheduled: 0,
            seeds,
            last_announcement: Micros::ZERO,
            rng,
            outgoing: Vec::new(),
            dropped_packets: 0,
            restarts: 0,
        };
        membership.announce_to_seeds(now, usize::MAX);
        membership
    }

    /// Announces this member to at most `max_seeds` seeds, starting from a random one.
    fn announce_to_seeds(&mut self, now: Micros, max_seeds: usize) {
        self.last_announcement = now;
        let first = self.rng.random_range(0..self.seeds.len().max(1));
        let count = self.seeds.len().min(max_seeds);
        let seeds: Vec<SocketAddr> = self.seeds.iter().cycle().skip(first).take(count).copied().collect();
        for address in seeds {
            let seed = MemberId { address, incarnation: ANY_INCARNATION };
            let result = self.swim.announce(seed, &mut self.runtime);
            self.dropped_packets += u64::from(result.is_err());
        }
        self.collect(now);
    }

    /// Handles a received membership packet, without its header.
    pub fn on_packet(&mut self, now: Micros, bytes: &[u8]) {
        let result = self.swim.handle_data(bytes, &mut self.runtime);
        self.dropped_packets += u64::from(result.is_err());
        self.collect(now);
        if self.swim.iter_membership_state().len() > MAX_KNOWN_MEMBERS {
            self.restart(now);
        }
    }

    /// Removes all members and restarts from the seeds, so that a flood of members cannot exhaust the memory.
    fn restart(&mut self, now: Micros) {
        self.restarts += 1;
        let current = self.swim.identity();
        let member = current.renew().unwrap_or_else(|| current.clone());
        self.swim = new_swim(member, &mut self.rng);
        self.runtime = AccumulatingRuntime::new();
        self.timers.clear();
        self.announce_to_seeds(now, usize::MAX);
    }

    /// Handles the timers that are due and announces this member; to be called about every 50 ms.
    pub fn tick(&mut self, now: Micros) {
        while let Some(timer) = self.pop_due_timer(now) {
            // After a stall of the process, the stages of a health check may be out of order, so that `handle_timer` fails;
            // the protocol continues with the next health check.
            let _ = self.swim.handle_timer(timer, &mut self.runtime);
            self.collect(now);
        }
        let is_alone = self.swim.num_members() == 0;
        let interval = if is_alone { SEED_INTERVAL_ALONE } else { SEED_INTERVAL };
        if now >= self.last_announcement + interval {
            self.announce_to_seeds(now, if is_alone { SEEDS_PER_ROUND_ALONE } else { SEEDS_PER_ROUND });
        }
    }

    fn pop_due_timer(&mut self, now: Micros) -> Option<Timer<MemberId>> {
        let Reverse(next) = self.timers.peek()?;
        if next.due > now {
            return None;
        }
        self.timers.pop().map(|Reverse(scheduled)| scheduled.timer)
    }

    /// Announces to the other members that this member leaves.
    pub fn leave(&mut self, now: Micros) {
        let _ = self.swim.leave_cluster(&mut self.runtime);
        self.collect(now);
    }

    /// Collects outgoing packets and new timers from the protocol.
    fn collect(&mut self, now: Micros) {
        while let Some((to, bytes)) = self.runtime.to_send() {
            self.outgoing.push((to.address, bytes.to_vec()));
        }
        while let Some((after, timer)) = self.runtime.to_schedule() {
            self.scheduled += 1;
            if self.timers.len() < MAX_TIMERS {
                let due = now + Micros(after.as_micros() as u64);
                self.timers.push(Reverse(ScheduledTimer { due, sequence: self.scheduled, timer }));
            }
        }
        while self.runtime.to_notify().is_some() {}
    }

    /// Takes the outgoing packets, without headers, with their receivers.
    pub fn drain(&mut self) -> std::vec::Drain<'_, (SocketAddr, Vec<u8>)> {
        self.outgoing.drain(..)
    }

    /// The address of a random live member other than this one; `None` if there is none.
    pub fn random_peer(&mut self) -> Option<SocketAddr> {
        let count = self.swim.num_members();
        let index = self.rng.random_range(0..count.max(1));
        let member = self.swim.iter_members().nth(index);
        member.map(|member| member.id().address)
    }

    /// Whether a known member, in any state, has this address.
    pub fn is_known(&self, address: SocketAddr) -> bool {
        self.swim.iter_membership_state().any(|member| member.id().address == address)
    }

    /// Whether any incarnation of a member at this address is considered active, that is, not declared down.
    pub fn is_alive(&self, address: SocketAddr) -> bool {
        self.swim.iter_members().any(|member| member.id().address == address)
    }

    /// Numbers of members by state, including this one.
    pub fn counts(&self) -> MemberCounts {
        let mut counts = MemberCounts { alive: 1, ..MemberCounts::default() };
        for member in self.swim.iter_membership_state() {
            match member.state() {
                State::Alive => counts.alive += 1,
                State::Suspect => counts.suspect += 1,
                State::Down => counts.down += 1,
            }
        }
        counts
    }

    /// The number of packets that the protocol rejected or could not send.
    pub fn dropped_packets(&self) -> u64 {
        self.dropped_packets
    }

    /// The number of restarts of the membership because of a flood of members.
    pub fn restarts(&self) -> u64 {
        self.restarts
    }
}
