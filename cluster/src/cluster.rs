//! One balancer's side of all that balancers agree on: packets and times in, packets and figures out.

#[cfg(test)]
mod tests;

use std::cell::RefCell;
use std::net::SocketAddr;

use crate::budget::{self, Budget};
use crate::cold::{self, Cold, Start};
use crate::membership::{Counts, Membership, Name};
use crate::packet::{self, About, Item, Packet};
use crate::rate_limit::{self, RateLimit, RateLimitTerms};
use crate::verdicts::{self, Verdicts};
use crate::LONGEST;
use juniperladder::Micros;

/// Packets out between two ticks: far more than a balancer has to say, and an end to what a wrong peer can make it say.
const MOST_OUT: usize = 256;
/// Members drawn in one tick: all that ask then ask the same, so that their questions go in one packet.
const DRAWN: usize = 4;

/// What a balancer is told once, at its start.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The address that others know it by.
    pub address: SocketAddr,
    /// Which life of the process this is: a later one is greater.
    pub life: u64,
    /// Its place in the fleet, from 0; no two processes may have the same.
    pub position: u32,
    /// Its zone.
    pub zone: u32,
    /// Members that are called first.
    pub seeds: Vec<SocketAddr>,
    /// The limits, in the order in which the file has them.
    pub limits: Vec<(String, RateLimitTerms)>,
    /// The limit on sends to each server that warms up.
    pub cold: Option<cold::Terms>,
    /// The budget of second tries.
    pub second: Option<budget::Terms>,
    /// Verdicts on servers.
    pub verdicts: Option<verdicts::Terms>,
    /// For random numbers.
    pub seed: u64,
}

/// What operators see.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Figures {
    /// Members by state.
    pub members: Counts,
    /// The limits, by name.
    pub limits: Vec<(String, rate_limit::RateLimitMetrics)>,
    /// The limits of servers that warm up, summed, and how many such servers there are.
    pub cold: Option<(rate_limit::RateLimitMetrics, usize)>,
    /// The budget of second tries.
    pub second: Option<budget::Figures>,
    /// Verdicts on servers.
    pub verdicts: Option<verdicts::Figures>,
    /// Packets out, and their bytes.
    pub sent: (u64, u64),
    /// Packets in, and their bytes.
    pub heard: (u64, u64),
    /// Packets in that made no sense, were of another version, or came from nobody that is known.
    pub dropped: u64,
    /// Packets about a limit whose terms differ: another file is in force there.
    pub differ: u64,
}

struct One {
    name: String,
    brief: u32,
    limit: RateLimit,
}

/// A balancer's side of it.
pub struct Cluster {
    membership: Membership,
    limits: Vec<One>,
    cold: Option<(Cold, u32)>,
    second: Option<(Budget, u32)>,
    verdicts: Option<(Verdicts, u32)>,
    figures: Figures,
    out: Vec<(SocketAddr, Vec<u8>)>,
}

impl std::fmt::Debug for Cluster {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Cluster").field("membership", &self.membership).finish_non_exhaustive()
    }
}

impl Cluster {
    /// A balancer that starts now.
    pub fn new(plan: Plan, now: Micros) -> Cluster {
        let Plan { address, life, position, zone, seeds, limits, cold, second, verdicts, seed } = plan;
        let one = |(name, terms): (String, RateLimitTerms)| One {
            name,
            brief: terms_in_brief(&terms),
            limit: RateLimit::new(terms, position, life, now),
        };
        Cluster {
            membership: Membership::new(Name { address, life }, seeds, seed, now),
            limits: limits.into_iter().map(one).collect(),
            cold: cold.map(|terms| {
                let numbers =
                    [terms_in_brief(&terms.rate_limit).into(), terms.share.to_bits(), terms.warm_up.0];
                (Cold::new(terms, position, life, now), brief(&numbers))
            }),
            second: second.map(|terms| {
                let brief = brief(&[terms.share.to_bits(), terms.saved.to_bits(), u64::from(terms.holders)]);
                (Budget::new(terms, position, life), brief)
            }),
            verdicts: verdicts.map(|terms| {
                let numbers = [terms.witnesses as u64, terms.expiry.0, terms.most.to_bits()];
                (Verdicts::new(terms, position, zone, seed ^ 1, now), brief(&numbers))
            }),
            figures: Figures::default(),
            out: Vec::new(),
        }
    }

    /// A packet has come.
    pub fn heard(&mut self, now: Micros, from: SocketAddr, bytes: &[u8]) {
        self.figures.heard.0 += 1;
        self.figures.heard.1 += bytes.len() as u64;
        match packet::read(bytes) {
            Ok(Packet::Membership(bytes)) => self.membership.heard(now, bytes),
            Ok(Packet::Talk(items)) if self.membership.knows(from) => {
                items.into_iter().for_each(|item| self.item(now, from, item));
            }
            Ok(Packet::Talk(_)) | Err(_) => self.figures.dropped += 1,
        }
        self.collect();
    }

    /// One item of a member's talk.
    fn item(&mut self, now: Micros, from: SocketAddr, item: Item) {
        let terms = item.terms;
        match item.about {
            About::Limit(number, message) => match self.limits.get_mut(usize::from(number)) {
                Some(one) if one.brief == terms => one.limit.on_message(now, from, message),
                _ => self.figures.differ += 1,
            },
            About::Cold(start, message) => match &mut self.cold {
                Some((cold, brief)) if *brief == terms => {
                    // A server that is warm by now, or one that the list cannot have told, has no part here.
                    cold.part(start, now).into_iter().for_each(|limit| limit.on_message(now, from, message));
                }
                _ => self.figures.differ += 1,
            },
            About::Second(message) => match &mut self.second {
                Some((budget, brief)) if *brief == terms => budget.heard(now, from, message),
                _ => self.figures.differ += 1,
            },
            About::Verdicts(message) => match &mut self.verdicts {
                Some((verdicts, brief)) if *brief == terms => verdicts.heard(now, from, message),
                _ => self.figures.differ += 1,
            },
        }
    }

    /// Does what is due; to be called every 50 ms or so.
    pub fn tick(&mut self, now: Micros) {
        self.membership.tick(now);
        let members = self.verdicts.as_ref().map_or(1, |_| self.membership.counts().alive);
        // Each that asks begins with the first that was drawn; one is drawn only where somebody asks.
        let drawn = RefCell::new((Vec::new(), &mut self.membership));
        let peers = || {
            let (mut turn, drawn) = (0, &drawn);
            move || {
                let (drawn, membership) = &mut *drawn.borrow_mut();
                if turn == drawn.len() && turn < DRAWN {
                    drawn.extend(membership.draw());
                }
                turn += 1;
                drawn.get(turn - 1).copied()
            }
        };
        for one in &mut self.limits {
            one.limit.tick(now, peers());
        }
        self.cold.iter_mut().for_each(|(cold, _)| cold.tick(now, peers));
        self.second.iter_mut().for_each(|(budget, _)| budget.tick(now, peers()));
        self.verdicts.iter_mut().for_each(|(verdicts, _)| verdicts.tick(now, members, peers()));
        self.collect();
    }

    /// Says that this balancer leaves. Its own part rests until it is back; what it has borrowed goes back at once.
    pub fn leave(&mut self, now: Micros) {
        self.membership.leave(now);
        self.limits.iter_mut().for_each(|one| one.limit.leave(now));
        let parts = self.cold.iter_mut().flat_map(|(cold, _)| cold.parts());
        parts.for_each(|(_, limit)| limit.leave(now));
        self.collect();
    }

    fn collect(&mut self) {
        let members = self.membership.drain().map(|(to, bytes)| (to, packet::membership(&bytes)));
        self.out.extend(members);
        let mut items: Vec<(SocketAddr, Item)> = Vec::new();
        for (number, one) in self.limits.iter_mut().enumerate() {
            let terms = one.brief;
            let about = |message| About::Limit(number as u8, message);
            items.extend(one.limit.drain().map(|(to, message)| (to, Item { terms, about: about(message) })));
        }
        if let Some((cold, terms)) = &mut self.cold {
            for (start, limit) in cold.parts() {
                let item = |message| Item { terms: *terms, about: About::Cold(start, message) };
                items.extend(limit.drain().map(|(to, message)| (to, item(message))));
            }
        }
        if let Some((budget, terms)) = &mut self.second {
            let item = |message| Item { terms: *terms, about: About::Second(message) };
            items.extend(budget.drain().map(|(to, message)| (to, item(message))));
        }
        if let Some((verdicts, terms)) = &mut self.verdicts {
            let item = |message| Item { terms: *terms, about: About::Verdicts(message) };
            items.extend(verdicts.drain().map(|(to, message)| (to, item(message))));
        }
        self.out.extend(packet::talk(items));
        self.out.truncate(MOST_OUT);
    }

    /// What goes out, no packet longer than [`LONGEST`].
    pub fn drain(&mut self) -> Vec<(SocketAddr, Vec<u8>)> {
        let out = std::mem::take(&mut self.out);
        self.figures.sent.0 += out.len() as u64;
        self.figures.sent.1 += out.iter().map(|(_, bytes)| bytes.len() as u64).sum::<u64>();
        debug_assert!(out.iter().all(|(_, bytes)| bytes.len() <= LONGEST));
        out
    }

    /// This balancer's part of a limit, by name; none where the file does not name it.
    pub fn limit(&mut self, name: &str) -> Option<&mut RateLimit> {
        self.limits.iter_mut().find(|one| one.name == name).map(|one| &mut one.limit)
    }

    /// This balancer's part of the sends to a server that warms up; none where they are not limited, or the server is warm. Where
    /// there is no room for one more such server, nothing may be sent to it: the second value.
    pub fn cold(&mut self, start: Start, now: Micros) -> (Option<&mut RateLimit>, bool) {
        match &mut self.cold {
            Some((cold, _)) if !cold.is_warm(start, now) => {
                let part = cold.part(start, now);
                let shut = part.is_none();
                (part, shut)
            }
            _ => (None, false),
        }
    }

    /// This balancer's part of the budget of second tries.
    pub fn second(&mut self) -> Option<&mut Budget> {
        self.second.as_mut().map(|(budget, _)| budget)
    }

    /// This balancer's verdicts on servers.
    pub fn verdicts(&mut self) -> Option<&mut Verdicts> {
        self.verdicts.as_mut().map(|(verdicts, _)| verdicts)
    }

    /// Who is there.
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// Members by state, this one included.
    pub fn members(&self) -> Counts {
        self.membership.counts()
    }

    /// What operators see.
    pub fn figures(&mut self, now: Micros) -> Figures {
        let limits = self.limits.iter_mut();
        let limits = limits.map(|one| (one.name.clone(), one.limit.metrics(now))).collect();
        let dropped = self.figures.dropped + self.membership.dropped;
        let cold = self.cold.as_mut().map(|(cold, _)| {
            let parts = cold.parts().map(|(_, limit)| limit.metrics(now));
            parts.fold((rate_limit::RateLimitMetrics::default(), 0), |(sum, count), one| {
                (sum.combined_with(&one), count + 1)
            })
        });
        let second = self.second.as_mut().map(|(budget, _)| budget.figures(now));
        let verdicts = self.verdicts.as_ref().map(|(verdicts, _)| verdicts.figures());
        Figures { members: self.members(), limits, cold, second, verdicts, dropped, ..self.figures.clone() }
    }
}

/// A limit's terms in brief, the same at every balancer whose file says the same.
fn terms_in_brief(terms: &RateLimitTerms) -> u32 {
    brief(&[
        u64::from(terms.requests_per_s),
        terms.arrival_spread.0,
        u64::from(terms.owners),
        terms.lease.0,
        terms.clock_drift.to_bits(),
    ])
}

fn brief(numbers: &[u64]) -> u32 {
    let mut sum: u64 = 0xcbf2_9ce4_8422_2325;
    for byte in numbers.iter().flat_map(|part| part.to_le_bytes()) {
        sum = (sum ^ u64::from(byte)).wrapping_mul(0x100_0000_01b3);
    }
    (sum >> 32) as u32 ^ sum as u32
}
