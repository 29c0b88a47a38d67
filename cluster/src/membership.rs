//! Who is there: the SWIM protocol by `foca`, with suspicion and incarnations, given packets and times and drained of packets.
//!
//! # Guarantee
//!
//! None but this: it is advice. A member that is there is known to all that it can reach after a few seconds, one that is
//! gone is forgotten after a few seconds, and an address has one member, that of its newest incarnation. Nothing that must hold
//! depends on it: rate limits are safe whatever it says. It stores at most `MAX_KNOWN_MEMBERS` members; if a flood of made-up
//! ones fills it, it starts over from its seeds.
//!
//! Times are on the caller's clock, which never goes back. What the protocol does not understand is counted and dropped.

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

/// Members that are stored, those that are gone included.
const MAX_KNOWN_MEMBERS: usize = 2 * MAX_MEMBERS;
/// Timers that are stored; far more than the protocol sets.
const MAX_TIMERS: usize = 8 * MAX_KNOWN_MEMBERS;
/// How often a member that knows nobody announces itself to seeds.
const SEED_INTERVAL_ALONE: Micros = Micros::SECOND;
/// How often a member that knows others announces itself to a seed all the same: parts of a fleet that were cut off find each
/// other by it.
const SEED_INTERVAL: Micros = Micros::from_secs(3);
/// Seeds that a member announces itself to at once while it knows nobody: hundreds that lost each other must not call all
/// seeds in one moment again and again.
const SEEDS_PER_ROUND_ALONE: usize = 3;
/// Seeds that a member announces itself to at once while it knows others.
const SEEDS_PER_ROUND: usize = 1;
/// The incarnation in an announcement, which is for whatever process is at the seed's address.
const ANY_INCARNATION: u64 = 0;

/// A process of a member. The order of the fields is part of the protocol.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberId {
    /// Where it receives the others' packets.
    pub address: SocketAddr,
    /// Which process at that address it is; a later one has a greater number.
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

/// Members by state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MemberCounts {
    /// There, this one included.
    pub alive: usize,
    /// Perhaps gone.
    pub suspect: usize,
    /// Gone.
    pub down: usize,
}

type Swim = Foca<MemberId, PostcardCodec, ChaCha8Rng, NoCustomBroadcast>;

/// The membership of one balancer.
pub struct Membership {
    swim: Swim,
    runtime: AccumulatingRuntime<MemberId>,
    timers: BinaryHeap<Reverse<ScheduledTimer>>,
    /// Timers scheduled so far.
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

/// A timer of the protocol. Those that are due at one time are handled in the order in which they were scheduled.
#[derive(Debug)]
struct ScheduledTimer {
    due: Micros,
    /// No two timers have the same.
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

/// The protocol's settings: a health check a second and gossip twice a second, so that a member sends about five packets.
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
    /// A member that knows its seeds alone.
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

    /// Announces this member to so many seeds at the most, from a drawn one on.
    fn announce_to_seeds(&mut self, now: Micros, most: usize) {
        self.last_announcement = now;
        let first = self.rng.random_range(0..self.seeds.len().max(1));
        let count = self.seeds.len().min(most);
        let seeds: Vec<SocketAddr> = self.seeds.iter().cycle().skip(first).take(count).copied().collect();
        for address in seeds {
            let seed = MemberId { address, incarnation: ANY_INCARNATION };
            let result = self.swim.announce(seed, &mut self.runtime);
            self.dropped_packets += u64::from(result.is_err());
        }
        self.collect(now);
    }

    /// A packet of the membership has come, without the header.
    pub fn on_packet(&mut self, now: Micros, bytes: &[u8]) {
        let result = self.swim.handle_data(bytes, &mut self.runtime);
        self.dropped_packets += u64::from(result.is_err());
        self.collect(now);
        if self.swim.iter_membership_state().len() > MAX_KNOWN_MEMBERS {
            self.restart(now);
        }
    }

    /// Forgets everybody and begins with the seeds: no flood of members fills the memory.
    fn restart(&mut self, now: Micros) {
        self.restarts += 1;
        let current = self.swim.identity();
        let member = current.renew().unwrap_or_else(|| current.clone());
        self.swim = new_swim(member, &mut self.rng);
        self.runtime = AccumulatingRuntime::new();
        self.timers.clear();
        self.announce_to_seeds(now, usize::MAX);
    }

    /// Does what is due; to be called about every 50 ms.
    pub fn tick(&mut self, now: Micros) {
        while let Some(timer) = self.pop_due_timer(now) {
            // After a freeze a health check's stages may come out of order; the protocol goes on with the next one.
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

    /// Tells the others that this member leaves.
    pub fn leave(&mut self, now: Micros) {
        let _ = self.swim.leave_cluster(&mut self.runtime);
        self.collect(now);
    }

    /// Takes packets and timers from the protocol.
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

    /// The packets that go out, without headers, with their receivers.
    pub fn drain(&mut self) -> std::vec::Drain<'_, (SocketAddr, Vec<u8>)> {
        self.outgoing.drain(..)
    }

    /// A member that is there, drawn; `None` where there is nobody else.
    pub fn draw_peer(&mut self) -> Option<SocketAddr> {
        let count = self.swim.num_members();
        let index = self.rng.random_range(0..count.max(1));
        let member = self.swim.iter_members().nth(index);
        member.map(|member| member.id().address)
    }

    /// Whether this address is a member's, be it there or thought to be gone.
    pub fn is_known(&self, address: SocketAddr) -> bool {
        self.swim.iter_membership_state().any(|member| member.id().address == address)
    }

    /// Whether a member at this address is thought to be there, in whatever incarnation.
    pub fn is_alive(&self, address: SocketAddr) -> bool {
        self.swim.iter_members().any(|member| member.id().address == address)
    }

    /// Members by state, this one included.
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

    /// Packets that the protocol could not read or answer.
    pub fn dropped_packets(&self) -> u64 {
        self.dropped_packets
    }

    /// Times at which a flood of members made it start over.
    pub fn restarts(&self) -> u64 {
        self.restarts
    }
}
