//! Links between a balancer and whoever it talks with, and what is wrong with them at a moment.

#[cfg(test)]
mod tests;

use crate::experiment::{Direction, Experiment, Fault, What};
use crate::group::{zone_of, Members};
use crate::{micros_from_millis, Micros};

/// One end of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum End {
    /// A process of the program.
    Balancer(usize),
    /// A cache server.
    CacheServer(usize),
    /// The origin.
    Origin,
    /// Discovery.
    Discovery,
}

/// What is wrong with one direction of a link; the default is a sound one.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LinkState {
    /// It says nothing.
    pub cut: bool,
    /// Its connections are reset.
    pub reset: bool,
    /// The share lost.
    pub lose: f64,
    /// What it carries comes so much later.
    pub delay: Micros,
    /// And up to so much more or less.
    pub jitter: Micros,
    /// The share that comes twice.
    pub repeat: f64,
    /// The share that comes after later ones.
    pub reorder: f64,
    /// The share with wrong bytes.
    pub spoil: f64,
}

#[derive(Clone, Debug)]
struct LinkFault {
    fault: usize,
    from: Members,
    to: Members,
    both: bool,
    what: What,
    share: f64,
    delay: Micros,
    jitter: Micros,
    on: bool,
}

/// All links of a run, with the faults that are on.
#[derive(Clone, Debug, Default)]
pub struct Links {
    faults: Vec<LinkFault>,
}

impl Links {
    /// Takes a link's fault in; it is off.
    pub fn add(&mut self, number: usize, fault: &Fault, from: Members, to: Members) {
        self.faults.push(LinkFault {
            fault: number,
            from,
            to,
            both: fault.direction.unwrap_or_default() == Direction::Both,
            what: fault.what,
            share: fault.share.unwrap_or(1.0),
            delay: micros_from_millis(fault.ms.unwrap_or(0.0)),
            jitter: micros_from_millis(fault.jitter.unwrap_or(0.0)),
            on: false,
        });
    }

    /// Turns the fault with this number on or off.
    pub fn turn(&mut self, number: usize, on: bool) {
        self.faults.iter_mut().filter(|f| f.fault == number).for_each(|f| f.on = on);
    }

    /// What is wrong with the way from one end to the other now.
    pub fn state(&self, from: End, to: End) -> LinkState {
        let mut state = LinkState::default();
        for fault in self.faults.iter().filter(|f| f.on) {
            let there = holds(&fault.from, from) && holds(&fault.to, to);
            let back = fault.both && holds(&fault.from, to) && holds(&fault.to, from);
            if !there && !back {
                continue;
            }
            // Two losses on one link are independent of each other.
            let and = |old: f64| 1.0 - (1.0 - old) * (1.0 - fault.share);
            match fault.what {
                What::Cut => state.cut = true,
                What::Reset => state.reset = true,
                What::Lose => state.lose = and(state.lose),
                What::Delay => {
                    state.delay += fault.delay;
                    state.jitter += fault.jitter;
                }
                What::Repeat => state.repeat = and(state.repeat),
                What::Reorder => state.reorder = and(state.reorder),
                What::Spoil => state.spoil = and(state.spoil),
                _ => {}
            }
        }
        state
    }

    /// The servers that a fault's links lead to.
    pub fn hosts_of(&self, number: usize) -> Vec<usize> {
        let of = |f: &LinkFault| f.from.servers.iter().chain(&f.to.servers).copied().collect::<Vec<_>>();
        let mut servers: Vec<usize> = self.faults.iter().filter(|f| f.fault == number).flat_map(of).collect();
        servers.sort_unstable();
        servers.dedup();
        servers
    }

    /// Whether a fault is on links between balancers, on or off now.
    pub fn between_balancers(&self) -> bool {
        self.faults.iter().any(|f| !f.from.balancers.is_empty() && !f.to.balancers.is_empty())
    }

    /// The side of each balancer: balancers of one side are told apart by no link's fault and by no zone, so that they
    /// may share the doors through which they reach the servers. Sides are numbered from 0.
    pub fn sides(&self, e: &Experiment) -> Vec<usize> {
        let mut seen: Vec<(usize, Vec<bool>)> = Vec::new();
        (0..e.fleet.balancers)
            .map(|n| {
                let groups = self.faults.iter().flat_map(|f| [&f.from, &f.to]);
                let mark = (zone_of(n, &e.fleet), groups.map(|g| holds(g, End::Balancer(n))).collect());
                seen.iter().position(|other| *other == mark).unwrap_or_else(|| {
                    seen.push(mark);
                    seen.len() - 1
                })
            })
            .collect()
    }
}

fn holds(group: &Members, end: End) -> bool {
    match end {
        End::Balancer(n) => group.balancers.binary_search(&n).is_ok(),
        End::CacheServer(n) => group.servers.binary_search(&n).is_ok(),
        End::Origin => group.origin,
        End::Discovery => group.discovery,
    }
}
