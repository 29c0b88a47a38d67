//! A simulated network that loses, duplicates, delays and reorders datagrams, and has partitions.

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

/// Loss, duplication and delay of datagrams. Delays are in microseconds.
#[derive(Clone, Copy, Debug)]
pub struct LinkQuality {
    pub loss: f64,
    pub duplication: f64,
    /// Minimum and maximum of the usual delay.
    pub delay: (u64, u64),
    /// Share of datagrams with an additional delay, and the maximum of that delay.
    pub extra_delay_share: f64,
    pub max_extra_delay: u64,
}

impl LinkQuality {
    /// Links between regions, without faults.
    pub const ORDINARY: LinkQuality = LinkQuality {
        loss: 0.0,
        duplication: 0.0,
        delay: (1_000, 100_000),
        extra_delay_share: 0.0,
        max_extra_delay: 0,
    };
    /// Links after the end of all faults.
    pub const GOOD: LinkQuality = LinkQuality {
        loss: 0.0,
        duplication: 0.0,
        delay: (1_000, 20_000),
        extra_delay_share: 0.0,
        max_extra_delay: 0,
    };
}

/// A partition that stops datagrams between two sides, in one direction or both.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Cut {
    /// Bit set of the nodes on one side.
    pub side: u64,
    /// Whether datagrams from that side are stopped.
    pub outward: bool,
    /// Whether datagrams to that side are stopped.
    pub inward: bool,
    /// Whether only datagrams between replicas are stopped.
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

/// The simulated network.
#[derive(Clone, Debug)]
pub struct Network {
    pub quality: LinkQuality,
    pub cuts: Vec<Cut>,
    pub replicas: usize,
}

impl Network {
    /// The delays of the copies of a datagram that arrive: none, one or two.
    pub fn delays(&self, rng: &mut ChaCha8Rng, from: usize, to: usize) -> Vec<u64> {
        let is_cut = self.cuts.iter().any(|cut| cut.stops(from, to, self.replicas));
        if is_cut || rng.random_bool(self.quality.loss) {
            return Vec::new();
        }
        let copies = if rng.random_bool(self.quality.duplication) { 2 } else { 1 };
        (0..copies).map(|_| self.delay(rng)).collect()
    }

    fn delay(&self, rng: &mut ChaCha8Rng) -> u64 {
        let usual = rng.random_range(self.quality.delay.0..=self.quality.delay.1);
        if self.quality.extra_delay_share > 0.0 && rng.random_bool(self.quality.extra_delay_share) {
            usual + rng.random_range(0..=self.quality.max_extra_delay)
        } else {
            usual
        }
    }
}
