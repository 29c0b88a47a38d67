//! A network that loses, repeats, delays, reorders and cuts.

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

/// How the network treats a datagram.
#[derive(Clone, Copy, Debug)]
pub struct LinkQuality {
    pub loss: f64,
    pub repeat: f64,
    pub delay: (u64, u64),
    /// The share of datagrams that come much later, and by how much at the most.
    pub late: f64,
    pub late_by: u64,
}

impl LinkQuality {
    /// Between regions, in ordinary times.
    pub const ORDINARY: LinkQuality =
        LinkQuality { loss: 0.0, repeat: 0.0, delay: (1_000, 100_000), late: 0.0, late_by: 0 };
    pub const GOOD: LinkQuality =
        LinkQuality { loss: 0.0, repeat: 0.0, delay: (1_000, 20_000), late: 0.0, late_by: 0 };
}

/// Between two sides of a cut nothing gets through, in one direction or both.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Cut {
    /// The nodes of one side, a bit each.
    pub side: u64,
    /// Nothing leaves that side.
    pub outward: bool,
    /// Nothing reaches that side.
    pub inward: bool,
    /// Only datagrams between replicas are stopped.
    pub replicas_only: bool,
}

impl Cut {
    fn stops(self, from: usize, to: usize, replicas: usize) -> bool {
        let is_inside = |node: usize| self.side >> node & 1 == 1;
        let between_replicas = from < replicas && to < replicas;
        (between_replicas || !self.replicas_only)
            && (self.outward && is_inside(from) && !is_inside(to)
                || self.inward && !is_inside(from) && is_inside(to))
    }
}

/// The network.
#[derive(Clone, Debug)]
pub struct Network {
    pub quality: LinkQuality,
    pub cuts: Vec<Cut>,
    pub replicas: usize,
}

impl Network {
    /// After which delays a datagram arrives: never, once, or twice.
    pub fn delays(&self, rng: &mut ChaCha8Rng, from: usize, to: usize) -> Vec<u64> {
        let is_cut = self.cuts.iter().any(|cut| cut.stops(from, to, self.replicas));
        if is_cut || rng.random_bool(self.quality.loss) {
            return Vec::new();
        }
        let copies = if rng.random_bool(self.quality.repeat) { 2 } else { 1 };
        (0..copies).map(|_| self.delay(rng)).collect()
    }

    fn delay(&self, rng: &mut ChaCha8Rng) -> u64 {
        let usual = rng.random_range(self.quality.delay.0..=self.quality.delay.1);
        if self.quality.late > 0.0 && rng.random_bool(self.quality.late) {
            usual + rng.random_range(0..=self.quality.late_by)
        } else {
            usual
        }
    }
}
