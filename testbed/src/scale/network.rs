//! The modelled network between members: delays, packet loss and partitions.
//!
//! The fate of a packet is a pure function of the seed, the time, the two members and the sender's packet count. The sender
//! evaluates it, so that no relay process is needed between two members.

use std::ops::Range;

use super::topology::Topology;
use super::Micros;

/// Maximum jitter of a packet's delay, as a share of the link's delay.
const JITTER_SHARE: f64 = 0.1;

/// The links that a partition affects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CutKind {
    /// All links between this region and the others.
    Region(usize),
}

/// A temporary network partition.
#[derive(Clone, Debug)]
pub struct Cut {
    /// The period of the partition.
    pub during: Range<Micros>,
    /// The affected links.
    pub kind: CutKind,
}

/// Temporary random packet loss on all links.
#[derive(Clone, Debug)]
pub struct Loss {
    /// The period of the packet loss.
    pub during: Range<Micros>,
    /// Share of packets lost, from 0 to 1.
    pub share: f64,
}

/// The network of a run with its scheduled faults.
#[derive(Clone, Debug)]
pub struct Network {
    topology: Topology,
    seed: u64,
    cuts: Vec<Cut>,
    losses: Vec<Loss>,
}

impl Network {
    /// A network without faults.
    pub fn new(topology: Topology, seed: u64) -> Network {
        Network { topology, seed, cuts: Vec::new(), losses: Vec::new() }
    }

    pub fn add_cut(&mut self, cut: Cut) {
        self.cuts.push(cut);
    }

    pub fn add_loss(&mut self, loss: Loss) {
        self.losses.push(loss);
    }

    /// The zones and regions of the members.
    pub fn topology(&self) -> &Topology {
        &self.topology
    }

    /// Whether a partition separates the two members at this time.
    pub fn is_cut(&self, now: Micros, from: usize, to: usize) -> bool {
        self.cuts.iter().filter(|cut| cut.during.contains(&now)).any(|cut| match cut.kind {
            CutKind::Region(region) => {
                (self.topology.region(from) == region) != (self.topology.region(to) == region)
            }
        })
    }

    /// The delay of the sender's `count`th packet, or `None` if the packet is lost.
    pub fn delay(&self, now: Micros, from: usize, to: usize, count: u64) -> Option<Micros> {
        if self.is_cut(now, from, to) {
            return None;
        }
        let link = ((from as u64) << 32) | to as u64;
        let mut rng = fastrand::Rng::with_seed(self.seed ^ link.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ count);
        let losses = self.losses.iter().filter(|loss| loss.during.contains(&now));
        if losses.into_iter().any(|loss| rng.f64() < loss.share) {
            return None;
        }
        let delay = self.topology.delay(from, to);
        Some(delay + (delay as f64 * JITTER_SHARE * rng.f64()) as Micros)
    }
}
