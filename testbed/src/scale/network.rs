//! What becomes of a packet between two members: lost, cut off, or delivered after a delay.
//!
//! The decision is a pure function of the seed, the time, the two ends and the sender's packet count. It is made at the
//! sender, so that no relay process stands between two members.

use std::ops::Range;

use super::topology::Topology;
use super::Micros;

/// The part of a delay by which it varies from packet to packet.
const JITTER_SHARE: f64 = 0.1;

/// Which links are cut.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CutKind {
    /// All links between this region and the others.
    Region(usize),
}

/// Links that are cut for a time.
#[derive(Clone, Debug)]
pub struct Cut {
    /// When.
    pub during: Range<Micros>,
    /// Which.
    pub kind: CutKind,
}

/// A share of all packets that is lost for a time.
#[derive(Clone, Debug)]
pub struct Loss {
    /// When.
    pub during: Range<Micros>,
    /// The share, from 0 to 1.
    pub share: f64,
}

/// The network of a run.
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

    /// Adds a cut.
    pub fn add_cut(&mut self, cut: Cut) {
        self.cuts.push(cut);
    }

    /// Adds a loss.
    pub fn add_loss(&mut self, loss: Loss) {
        self.losses.push(loss);
    }

    /// Where members stand.
    pub fn topology(&self) -> &Topology {
        &self.topology
    }

    /// Whether the link between two members is cut at this time.
    pub fn is_cut(&self, now: Micros, from: usize, to: usize) -> bool {
        self.cuts.iter().filter(|cut| cut.during.contains(&now)).any(|cut| match cut.kind {
            CutKind::Region(region) => {
                (self.topology.region(from) == region) != (self.topology.region(to) == region)
            }
        })
    }

    /// The delay of the sender's `count`th packet, or none where it is lost.
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
