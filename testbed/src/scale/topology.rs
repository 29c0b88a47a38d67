//! The zone and region of each member, and the network delay between two members.
//!
//! The topology is a function of the seed and the counts, so that two runs with the same seed have the same network.

use super::Micros;

/// One-way delay within a zone.
const INTRA_ZONE_DELAY: Micros = 1_000;
/// One-way delay between two zones of a region.
const INTER_ZONE_DELAY: Micros = 5_000;
/// Range of one-way delays between two regions; the delay of each pair is chosen at random.
const INTER_REGION_DELAY_RANGE: std::ops::Range<Micros> = 20_000..90_000;

/// The zones and regions of a fleet.
#[derive(Clone, Debug)]
pub struct Topology {
    members: usize,
    zones: usize,
    regions: usize,
    /// One-way delay by pair of regions, in row-major order.
    region_delays: Vec<Micros>,
}

impl Topology {
    /// Assigns members to zones, and zones to regions, round-robin.
    pub fn new(members: usize, zones: usize, regions: usize, seed: u64) -> Topology {
        let (zones, regions) = (zones.max(1), regions.max(1).min(zones.max(1)));
        let mut rng = fastrand::Rng::with_seed(seed ^ 0x7090_1093);
        let mut region_delays = vec![INTER_ZONE_DELAY; regions * regions];
        for from in 0..regions {
            for to in 0..from {
                let delay = rng.u64(INTER_REGION_DELAY_RANGE);
                region_delays[from * regions + to] = delay;
                region_delays[to * regions + from] = delay;
            }
        }
        Topology { members, zones, regions, region_delays }
    }

    /// Number of members.
    pub fn members(&self) -> usize {
        self.members
    }

    /// Number of regions.
    pub fn regions(&self) -> usize {
        self.regions
    }

    /// Number of zones.
    pub fn zones(&self) -> usize {
        self.zones
    }

    /// The zone of a member.
    pub fn zone(&self, member: usize) -> usize {
        member % self.zones
    }

    /// The region of a member.
    pub fn region(&self, member: usize) -> usize {
        self.zone(member) % self.regions
    }

    /// The one-way delay between two members, without jitter.
    pub fn delay(&self, from: usize, to: usize) -> Micros {
        if self.zone(from) == self.zone(to) {
            return INTRA_ZONE_DELAY;
        }
        self.region_delays[self.region(from) * self.regions + self.region(to)]
    }
}
