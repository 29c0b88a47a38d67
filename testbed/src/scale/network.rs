//! The modelled network between members: delays, packet loss and partitions.
//!
//! The delay or loss of a packet is a pure function of the seed, the time, the two members and the sender's packet count.
//! The sender evaluates the function, so that no relay process is needed between two members.

use std::ops::Range;

use super::topology::Topology;
use super::Micros;

/// Maximum jitter of a packet's delay, as a share of the link's delay.
const MAX_JITTER_RATIO: f64 = 0.1;

/// The links that a partition affects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PartitionScope {
    /// All links between this region and the others.
    Region(usize),
}

/// A temporary network partition.
#[derive(Clone, Debug)]
pub struct Partition {
    /// The period of the partition.
    pub period: Range<Micros>,
    /// The affected links.
    pub scope: PartitionScope,
}

/// Temporary random packet loss on all links.
#[derive(Clone, Debug)]
pub struct PacketLoss {
    /// The period of the packet loss.
    pub period: Range<Micros>,
    /// Share of packets lost, from 0 to 1.
    pub lost_share: f64,
}

/// The network of a run with its scheduled faults.
#[derive(Clone, Debug)]
pub struct Network {
    topology: Topology,
    seed: u64,
    partitions: Vec<Partition>,
    packet_losses: Vec<PacketLoss>,
}

impl Network {
    /// A network without faults.
    pub fn new(topology: Topology, seed: u64) -> Network {
        Network { topology, seed, partitions: Vec::new(), packet_losses: Vec::new() }
    }

    pub fn add_partition(&mut self, partition: Partition) {
        self.partitions.push(partition);
    }

    pub fn add_packet_loss(&mut self, loss: PacketLoss) {
        self.packet_losses.push(loss);
    }

    /// The zones and regions of the members.
    pub fn topology(&self) -> &Topology {
        &self.topology
    }

    /// Whether a partition separates the two members at this time.
    pub fn is_partitioned(&self, now: Micros, from: usize, to: usize) -> bool {
        self.partitions.iter().filter(|partition| partition.period.contains(&now)).any(|partition| {
            match partition.scope {
                PartitionScope::Region(region) => {
                    (self.topology.region(from) == region) != (self.topology.region(to) == region)
                }
            }
        })
    }

    /// The delay of the sender's packet with number `packet_number`, or `None` if the packet is lost.
    pub fn delay(&self, now: Micros, from: usize, to: usize, packet_number: u64) -> Option<Micros> {
        if self.is_partitioned(now, from, to) {
            return None;
        }
        let link = ((from as u64) << 32) | to as u64;
        let mut rng =
            fastrand::Rng::with_seed(self.seed ^ link.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ packet_number);
        let active_losses = self.packet_losses.iter().filter(|loss| loss.period.contains(&now));
        if active_losses.into_iter().any(|loss| rng.f64() < loss.lost_share) {
            return None;
        }
        let delay = self.topology.delay(from, to);
        Some(delay + (delay as f64 * MAX_JITTER_RATIO * rng.f64()) as Micros)
    }
}
