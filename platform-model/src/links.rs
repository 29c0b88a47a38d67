//! Links between a balancer and its peers (servers, the origin, discovery, other balancers), and the faults on them.

#[cfg(test)]
mod tests;

use crate::experiment::{Direction, Experiment, Fault, FaultKind};
use crate::group::{zone_of, GroupMembers};
use crate::{micros_from_millis, Micros};

/// One end of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum LinkEnd {
    /// A balancer process.
    Balancer(usize),
    /// A cache server.
    CacheServer(usize),
    /// The origin.
    Origin,
    /// Discovery.
    Discovery,
}

/// The faults on one direction of a link; the default is a healthy link. Shares are from 0 to 1.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LinkState {
    /// Whether the link drops everything.
    pub cut: bool,
    /// Whether connections over the link are reset.
    pub reset: bool,
    /// The share of the traffic that is lost.
    pub lost_share: f64,
    /// Added delay.
    pub delay: Micros,
    /// Maximum deviation from `delay` in either direction.
    pub jitter: Micros,
    /// The share of packets that are duplicated.
    pub repeated_share: f64,
    /// The share of packets that are reordered.
    pub reordered_share: f64,
    /// The share of the traffic that is corrupted.
    pub corrupted_share: f64,
}

impl LinkState {
    /// Combines a fault with the faults already present.
    fn add(&mut self, fault: &LinkFault) {
        match fault.kind {
            FaultKind::Cut => self.cut = true,
            FaultKind::Reset => self.reset = true,
            FaultKind::Lose => combine_shares(&mut self.lost_share, fault.share),
            FaultKind::Delay => {
                self.delay += fault.delay;
                self.jitter += fault.jitter;
            }
            FaultKind::Repeat => combine_shares(&mut self.repeated_share, fault.share),
            FaultKind::Reorder => combine_shares(&mut self.reordered_share, fault.share),
            FaultKind::Spoil => combine_shares(&mut self.corrupted_share, fault.share),
            _ => {}
        }
    }
}

/// Combines the shares of two faults on one link, which are independent of each other.
fn combine_shares(share: &mut f64, other: f64) {
    *share = 1.0 - (1.0 - *share) * (1.0 - other);
}

/// A fault on the links between two groups.
#[derive(Clone, Debug)]
struct LinkFault {
    /// Number of the fault in the experiment, from 0.
    number: usize,
    from: GroupMembers,
    to: GroupMembers,
    both_ways: bool,
    kind: FaultKind,
    share: f64,
    delay: Micros,
    jitter: Micros,
    is_active: bool,
}

impl LinkFault {
    /// Whether the fault affects traffic from one end to the other.
    fn affects(&self, from: LinkEnd, to: LinkEnd) -> bool {
        let is_forward = contains(&self.from, from) && contains(&self.to, to);
        let is_backward = self.both_ways && contains(&self.from, to) && contains(&self.to, from);
        is_forward || is_backward
    }
}

/// All links of a run, with their faults.
#[derive(Clone, Debug, Default)]
pub struct Links {
    faults: Vec<LinkFault>,
}

impl Links {
    /// Adds a link fault, initially inactive.
    pub fn add_fault(&mut self, number: usize, fault: &Fault, from: GroupMembers, to: GroupMembers) {
        self.faults.push(LinkFault {
            number,
            from,
            to,
            both_ways: fault.direction.unwrap_or_default() == Direction::Both,
            kind: fault.kind,
            share: fault.share.unwrap_or(1.0),
            delay: micros_from_millis(fault.ms.unwrap_or(0.0)),
            jitter: micros_from_millis(fault.jitter.unwrap_or(0.0)),
            is_active: false,
        });
    }

    /// Activates or deactivates the fault with this number.
    pub fn set_active(&mut self, number: usize, is_active: bool) {
        for fault in self.faults.iter_mut().filter(|fault| fault.number == number) {
            fault.is_active = is_active;
        }
    }

    /// The active faults on traffic from one end to the other.
    pub fn state(&self, from: LinkEnd, to: LinkEnd) -> LinkState {
        let mut state = LinkState::default();
        for fault in self.faults.iter().filter(|fault| fault.is_active && fault.affects(from, to)) {
            state.add(fault);
        }
        state
    }

    /// The servers at the ends of a fault's links, in order.
    pub fn servers_of(&self, number: usize) -> Vec<usize> {
        let faults = self.faults.iter().filter(|fault| fault.number == number);
        let mut servers: Vec<usize> =
            faults.flat_map(|fault| fault.from.servers.iter().chain(&fault.to.servers)).copied().collect();
        servers.sort_unstable();
        servers.dedup();
        servers
    }

    /// Whether any fault, active or not, affects links between balancers.
    pub fn has_faults_between_balancers(&self) -> bool {
        let mut faults = self.faults.iter();
        faults.any(|fault| !fault.from.balancers.is_empty() && !fault.to.balancers.is_empty())
    }

    /// The listener group of each balancer, numbered from 0. Balancers of one group are in the same zone and in the
    /// same groups of link faults, so that they may share the listeners through which they reach the servers.
    pub fn listener_groups(&self, experiment: &Experiment) -> Vec<usize> {
        // For each listener group: the zone, and for each group of a link fault, whether it contains the balancers.
        let mut signatures: Vec<(usize, Vec<bool>)> = Vec::new();
        let balancers = 0..experiment.fleet.balancers;
        let listener_group = |balancer| {
            let signature = (zone_of(balancer, &experiment.fleet), self.groups_of(balancer));
            signatures.iter().position(|other| *other == signature).unwrap_or_else(|| {
                signatures.push(signature);
                signatures.len() - 1
            })
        };
        balancers.map(listener_group).collect()
    }

    /// For each group that a fault names, whether it contains this balancer.
    fn groups_of(&self, balancer: usize) -> Vec<bool> {
        let groups = self.faults.iter().flat_map(|fault| [&fault.from, &fault.to]);
        groups.map(|group| contains(group, LinkEnd::Balancer(balancer))).collect()
    }
}

fn contains(group: &GroupMembers, end: LinkEnd) -> bool {
    match end {
        LinkEnd::Balancer(number) => group.balancers.binary_search(&number).is_ok(),
        LinkEnd::CacheServer(number) => group.servers.binary_search(&number).is_ok(),
        LinkEnd::Origin => group.origin,
        LinkEnd::Discovery => group.discovery,
    }
}
