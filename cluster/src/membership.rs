//! Who is there: SWIM by `foca`, with suspicion and incarnations, fed and drained.
//!
//! # Guarantee
//!
//! None but this: it is advice. A member that is there is known to all that it can reach after a few seconds, one that is
//! gone is forgotten after a few seconds, and a name has one member, that of its newest life. Nothing that must hold
//! hangs on it: shares are safe whatever it says. It holds at most [`MOST_KNOWN`] names; if a flood of made-up ones fills
//! it, it starts anew from its seeds.

#[cfg(test)]
mod tests;

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddr;
use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

use foca::{
    AccumulatingRuntime, Config, Foca, Identity, NoCustomBroadcast, PeriodicParams, PostcardCodec, State,
    Timer,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};

use crate::{LONGEST, MOST_MEMBERS};
use juniperladder::Micros;

/// Names that are remembered, those of members that are gone included.
const MOST_KNOWN: usize = 2 * MOST_MEMBERS;
/// What a packet's head takes.
const HEAD: usize = 4;
/// How often a member that knows nobody calls its seeds.
const SEEDS_EVERY: Micros = Micros::SECOND;
/// How often one that knows others calls a seed all the same: parts of a fleet that were cut find each other by it.
const SEED_EVERY: Micros = Micros::from_secs(3);
/// Timers that are kept; far more than the protocol sets.
const MOST_TIMERS: usize = 8 * MOST_KNOWN;

/// A member's name.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Name {
    /// Where it hears its peers.
    pub address: SocketAddr,
    /// Which life of the process at that address it is; a later one is greater.
    pub life: u64,
}

impl Identity for Name {
    type Addr = SocketAddr;

    fn renew(&self) -> Option<Name> {
        Some(Name { life: self.life + 1, ..self.clone() })
    }

    fn addr(&self) -> SocketAddr {
        self.address
    }

    fn win_addr_conflict(&self, other: &Name) -> bool {
        self.life > other.life
    }
}

/// Members by state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// There, this one included.
    pub alive: usize,
    /// Perhaps gone.
    pub suspect: usize,
    /// Gone.
    pub down: usize,
}

type Swim = Foca<Name, PostcardCodec, ChaCha8Rng, NoCustomBroadcast>;

/// The membership of one balancer.
pub struct Membership {
    swim: Swim,
    runtime: AccumulatingRuntime<Name>,
    timers: BinaryHeap<Reverse<(Micros, u64, Due)>>,
    count: u64,
    seeds: Vec<SocketAddr>,
    called: Micros,
    chance: ChaCha8Rng,
    out: Vec<(SocketAddr, Vec<u8>)>,
    /// Packets that made no sense to the protocol.
    pub dropped: u64,
    /// Times at which made-up names filled it.
    pub restarts: u64,
}

impl std::fmt::Debug for Membership {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Membership").field("members", &self.counts()).finish_non_exhaustive()
    }
}

/// A timer of the protocol; those due at one time are taken as they came.
#[derive(Debug, PartialEq, Eq)]
struct Due(Timer<Name>);

impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Due) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Due {
    fn cmp(&self, _: &Due) -> std::cmp::Ordering {
        std::cmp::Ordering::Equal
    }
}

/// The protocol's figures: a probe a second, a rumour twice a second, so that a member sends about five packets.
fn config() -> Config {
    let often = |ms, members: usize| {
        Some(PeriodicParams {
            frequency: Duration::from_millis(ms),
            num_members: NonZeroUsize::new(members).unwrap_or(NonZeroUsize::MIN),
        })
    };
    Config {
        probe_period: Duration::from_millis(1_000),
        probe_rtt: Duration::from_millis(300),
        num_indirect_probes: NonZeroUsize::MIN.saturating_add(2),
        max_transmissions: NonZeroU8::MIN.saturating_add(11),
        suspect_to_down_after: Duration::from_secs(3),
        remove_down_after: Some(Duration::from_secs(600)),
        max_packet_size: NonZeroUsize::new(LONGEST - HEAD).unwrap_or(NonZeroUsize::MIN),
        notify_down_members: true,
        periodic_announce: often(2_000, 1),
        periodic_announce_to_down_members: often(2_000, 1),
        periodic_gossip: often(500, 1),
    }
}

impl Membership {
    /// A member that knows its seeds alone.
    pub fn new(name: Name, seeds: Vec<SocketAddr>, seed: u64, now: Micros) -> Membership {
        let mut chance = ChaCha8Rng::seed_from_u64(seed);
        let swim =
            Foca::new(name.clone(), config(), ChaCha8Rng::seed_from_u64(chance.random()), PostcardCodec);
        let seeds = seeds.into_iter().filter(|seed| *seed != name.address).collect();
        let mut membership = Membership {
            swim,
            runtime: AccumulatingRuntime::new(),
            timers: BinaryHeap::new(),
            count: 0,
            seeds,
            called: Micros::ZERO,
            chance,
            out: Vec::new(),
            dropped: 0,
            restarts: 0,
        };
        membership.call(now, usize::MAX);
        membership
    }

    /// Calls so many seeds at the most.
    fn call(&mut self, now: Micros, most: usize) {
        self.called = now;
        let from = self.chance.random_range(0..self.seeds.len().max(1));
        let order = self.seeds.iter().cycle().skip(from).take(self.seeds.len().min(most)).copied();
        for address in order.collect::<Vec<_>>() {
            // An announcement is for whatever life is at that address.
            let result = self.swim.announce(Name { address, life: 0 }, &mut self.runtime);
            self.dropped += u64::from(result.is_err());
        }
        self.collect(now);
    }

    /// A packet has come.
    pub fn heard(&mut self, now: Micros, bytes: &[u8]) {
        let result = self.swim.handle_data(bytes, &mut self.runtime);
        self.dropped += u64::from(result.is_err());
        self.collect(now);
        if self.swim.iter_membership_state().len() > MOST_KNOWN {
            self.start_anew(now);
        }
    }

    /// Forgets everybody and begins with the seeds: no flood of names fills the memory.
    fn start_anew(&mut self, now: Micros) {
        self.restarts += 1;
        let name = self.swim.identity().renew().unwrap_or_else(|| self.swim.identity().clone());
        let seed = self.chance.random();
        self.swim = Foca::new(name, config(), ChaCha8Rng::seed_from_u64(seed), PostcardCodec);
        self.runtime = AccumulatingRuntime::new();
        self.timers.clear();
        self.call(now, usize::MAX);
    }

    /// Does what is due; to be called every 50 ms or so.
    pub fn tick(&mut self, now: Micros) {
        while self.timers.peek().is_some_and(|Reverse((at, ..))| *at <= now) {
            let Some(Reverse((_, _, Due(timer)))) = self.timers.pop() else { break };
            // After a freeze a probe's stages may come out of order; the protocol goes on with the next one.
            let _ = self.swim.handle_timer(timer, &mut self.runtime);
            self.collect(now);
        }
        let alone = self.swim.num_members() == 0;
        if now >= self.called + if alone { SEEDS_EVERY } else { SEED_EVERY } {
            // Hundreds that lost each other at once must not call all seeds in one moment again and again.
            self.call(now, if alone { 3 } else { 1 });
        }
    }

    /// Says that it leaves.
    pub fn leave(&mut self, now: Micros) {
        let _ = self.swim.leave_cluster(&mut self.runtime);
        self.collect(now);
    }

    fn collect(&mut self, now: Micros) {
        while let Some((to, bytes)) = self.runtime.to_send() {
            self.out.push((to.address, bytes.to_vec()));
        }
        while let Some((after, timer)) = self.runtime.to_schedule() {
            self.count += 1;
            if self.timers.len() < MOST_TIMERS {
                self.timers.push(Reverse((now + Micros(after.as_micros() as u64), self.count, Due(timer))));
            }
        }
        while self.runtime.to_notify().is_some() {}
    }

    /// What goes out.
    pub fn drain(&mut self) -> std::vec::Drain<'_, (SocketAddr, Vec<u8>)> {
        self.out.drain(..)
    }

    /// A member that is there, drawn; none where there is nobody else.
    pub fn draw(&mut self) -> Option<SocketAddr> {
        let count = self.swim.num_members();
        let place = self.chance.random_range(0..count.max(1));
        let member = self.swim.iter_members().nth(place);
        member.map(|member| member.id().address)
    }

    /// Whether this address is a member's, be it there or thought to be gone.
    pub fn knows(&self, address: SocketAddr) -> bool {
        self.swim.iter_membership_state().any(|member| member.id().address == address)
    }

    /// Whether a member at this address is thought to be there, in whatever life.
    pub fn is_alive(&self, address: SocketAddr) -> bool {
        self.swim.iter_members().any(|member| member.id().address == address)
    }

    /// Members by state, this one included.
    pub fn counts(&self) -> Counts {
        let mut counts = Counts { alive: 1, ..Counts::default() };
        for member in self.swim.iter_membership_state() {
            match member.state() {
                State::Alive => counts.alive += 1,
                State::Suspect => counts.suspect += 1,
                State::Down => counts.down += 1,
            }
        }
        counts
    }
}
