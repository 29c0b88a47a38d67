//! One balancer's side of all that balancers agree on: packets and times in, packets and figures out.

use std::net::SocketAddr;

use crate::membership::{Counts, Membership, Name};
use crate::packet::{self, OfLimit, Packet};
use crate::shares::{self, Shares, Terms};
use crate::{Us, LONGEST};

/// Packets out between two ticks: far more than a balancer has to say, and an end to what a wrong peer can make it say.
const MOST_OUT: usize = 256;

/// What a balancer is told once, at its start.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The address that others know it by.
    pub address: SocketAddr,
    /// Which life of the process this is: a later one is greater.
    pub life: u64,
    /// Its place in the fleet, from 0; no two processes may have the same.
    pub position: u32,
    /// Members that are called first.
    pub seeds: Vec<SocketAddr>,
    /// The limits, in the order in which the file has them.
    pub limits: Vec<(String, Terms)>,
    /// For random numbers.
    pub seed: u64,
}

/// What operators see.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Figures {
    /// Members by state.
    pub members: Counts,
    /// The limits, by name.
    pub limits: Vec<(String, shares::Figures)>,
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
    terms: Terms,
    brief: u32,
    shares: Shares,
}

/// A balancer's side of it.
pub struct Cluster {
    membership: Membership,
    limits: Vec<One>,
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
    pub fn new(plan: Plan, now: Us) -> Cluster {
        let Plan { address, life, position, seeds, limits, seed } = plan;
        let one = |(name, terms): (String, Terms)| One {
            name,
            terms,
            brief: brief(&terms),
            shares: Shares::new(terms, position, life, now),
        };
        Cluster {
            membership: Membership::new(Name { address, life }, seeds, seed, now),
            limits: limits.into_iter().map(one).collect(),
            figures: Figures::default(),
            out: Vec::new(),
        }
    }

    /// A packet has come.
    pub fn heard(&mut self, now: Us, from: SocketAddr, bytes: &[u8]) {
        self.figures.heard.0 += 1;
        self.figures.heard.1 += bytes.len() as u64;
        match packet::read(bytes) {
            Ok(Packet::Membership(bytes)) => self.membership.heard(now, bytes),
            Ok(Packet::Limit(of)) if self.membership.knows(from) => {
                match self.limits.get_mut(usize::from(of.limit)) {
                    Some(one) if one.brief == of.terms => one.shares.heard(now, from, of.message),
                    _ => self.figures.differ += 1,
                }
            }
            Ok(Packet::Limit(_)) | Err(_) => self.figures.dropped += 1,
        }
        self.collect();
    }

    /// Does what is due; to be called every 50 ms or so.
    pub fn tick(&mut self, now: Us) {
        self.membership.tick(now);
        for one in &mut self.limits {
            one.shares.tick(now, || self.membership.draw());
        }
        self.collect();
    }

    /// Says that this balancer leaves. Its own part rests until it is back; what it has borrowed goes back at once.
    pub fn leave(&mut self, now: Us) {
        self.membership.leave(now);
        self.limits.iter_mut().for_each(|one| one.shares.leave(now));
        self.collect();
    }

    fn collect(&mut self) {
        let members = self.membership.drain().map(|(to, bytes)| (to, packet::membership(&bytes)));
        self.out.extend(members);
        for (number, one) in self.limits.iter_mut().enumerate() {
            let terms = one.brief;
            let written = one.shares.drain().filter_map(|(to, message)| {
                let of = OfLimit { limit: number as u8, terms, message };
                Some((to, packet::of_limit(&of)?))
            });
            self.out.extend(written);
        }
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
    pub fn limit(&mut self, name: &str) -> Option<&mut Shares> {
        self.limits.iter_mut().find(|one| one.name == name).map(|one| &mut one.shares)
    }

    /// Members by state, this one included.
    pub fn members(&self) -> Counts {
        self.membership.counts()
    }

    /// What operators see.
    pub fn figures(&mut self, now: Us) -> Figures {
        let limits = self.limits.iter_mut();
        let limits = limits.map(|one| (one.name.clone(), one.shares.figures(now, one.terms.whole))).collect();
        let dropped = self.figures.dropped + self.membership.dropped;
        Figures { members: self.members(), limits, dropped, ..self.figures.clone() }
    }
}

/// A limit's terms in brief, the same at every balancer whose file says the same.
fn brief(terms: &Terms) -> u32 {
    let Terms { whole, holders, lease, drift } = *terms;
    let parts = [u64::from(whole), u64::from(holders), lease, drift.to_bits()];
    let mut sum: u64 = 0xcbf2_9ce4_8422_2325;
    for byte in parts.iter().flat_map(|part| part.to_le_bytes()) {
        sum = (sum ^ u64::from(byte)).wrapping_mul(0x100_0000_01b3);
    }
    (sum >> 32) as u32 ^ sum as u32
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::SECOND;

    fn cluster(number: u16, whole: u32) -> Cluster {
        let address = |number: u16| SocketAddr::from(([127, 0, 0, 1], 1_000 + number));
        let terms = Terms { whole, holders: 2, lease: 2 * SECOND, drift: 0.001 };
        let limits = vec![("origin".to_owned(), terms)];
        let (position, seed) = (u32::from(number), u64::from(number));
        let plan =
            Plan { address: address(number), life: 1, position, seeds: vec![address(0)], limits, seed };
        Cluster::new(plan, 0)
    }

    /// Carries packets between two balancers for so long; the first of them wants six commands a second.
    fn run(all: &mut [Cluster; 2], seconds: u64) {
        for now in (0..seconds * SECOND).step_by(20_000) {
            for from in 0..2 {
                all[from].tick(now);
                for (_, bytes) in all[from].drain() {
                    let address = SocketAddr::from(([127, 0, 0, 1], 1_000 + from as u16));
                    all[1 - from].heard(now, address, &bytes);
                }
            }
            if now % 160_000 == 0 {
                let shares = all[0].limit("origin").unwrap();
                match shares.wait(now) {
                    0 => shares.took(now),
                    _ => shares.denied(now),
                }
            }
        }
    }

    #[test]
    fn two_balancers_share_what_one_of_them_needs() {
        let mut all = [cluster(0, 8), cluster(1, 8)];
        run(&mut all, 8);
        let figures = all[0].figures(8 * SECOND);
        assert_eq!(figures.members.alive, 2);
        let (name, limit) = &figures.limits[0];
        assert!(name == "origin" && limit.borrowed >= 2 && limit.held >= 6, "{limit:?}");
        assert_eq!(all[1].figures(8 * SECOND).limits[0].1.lent, limit.borrowed);
        assert_eq!((figures.dropped, figures.differ), (0, 0));
    }

    #[test]
    fn members_with_different_files_share_nothing() {
        let mut all = [cluster(0, 8), cluster(1, 9)];
        run(&mut all, 8);
        let figures = all[1].figures(8 * SECOND);
        assert!(figures.differ > 0 && figures.limits[0].1.lent == 0, "{figures:?}");
        assert_eq!(figures.members.alive, 2);
    }

    #[test]
    fn a_stranger_and_nonsense_are_dropped_and_counted() {
        let mut one = cluster(0, 8);
        let hold = shares::Hold { life: 1, sent: 1, units: 4 };
        let of = OfLimit { limit: 0, terms: one.limits[0].brief, message: shares::Message::Hold(hold) };
        let bytes = packet::of_limit(&of).unwrap();
        one.heard(10 * SECOND, SocketAddr::from(([127, 0, 0, 1], 9)), &bytes);
        one.heard(10 * SECOND, SocketAddr::from(([127, 0, 0, 1], 9)), b"nonsense");
        let figures = one.figures(10 * SECOND);
        assert_eq!((figures.dropped, figures.limits[0].1.lent), (2, 0));
    }
}
