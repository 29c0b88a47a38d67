//! Network conditions and faults of a simulated run.

use juniperladder::Micros;

/// The conditions for packets and clocks.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Conditions {
    /// The share of packets that are lost.
    pub(crate) loss_ratio: f64,
    /// The share of packets that are duplicated; either copy may be lost.
    pub(crate) duplicate_ratio: f64,
    /// The minimum delay of a packet.
    pub(crate) min_delay: Micros,
    /// The maximum random delay of a packet in addition to the minimum, unless the packet is late.
    pub(crate) max_jitter: Micros,
    /// The share of packets that are late, that is, delayed far longer than usual.
    pub(crate) late_ratio: f64,
    /// The maximum random delays of late packets, one of them selected at random for each packet; if empty, no packet is late.
    pub(crate) max_late_delays: &'static [Micros],
    /// The maximum ratio by which clocks run faster or slower than the network's time.
    pub(crate) max_clock_drift: f64,
}

/// The faults of a run other than those of single packets.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Faults {
    /// The number of kills of processes.
    pub(crate) kills: usize,
    /// The number of temporary freezes of processes.
    pub(crate) freezes: usize,
    /// The number of temporary network partitions.
    pub(crate) partitions: usize,
}

/// A run without faults.
pub(crate) const NO_FAULTS: Faults = Faults { kills: 0, freezes: 0, partitions: 0 };

/// A partition of the members into two sides.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Partition {
    /// The members on the second side, as a bit mask; members whose numbers differ by 64 share a bit.
    pub(crate) second_side: u64,
    /// Whether packets from the second side to the first still arrive.
    pub(crate) one_way: bool,
}

impl Partition {
    /// Whether packets from one member to another are lost.
    pub(super) fn separates(&self, from: usize, to: usize) -> bool {
        let from_second_side = self.is_on_second_side(from);
        let to_second_side = self.is_on_second_side(to);
        if self.one_way {
            !from_second_side && to_second_side
        } else {
            from_second_side != to_second_side
        }
    }

    fn is_on_second_side(&self, member: usize) -> bool {
        self.second_side >> (member % 64) & 1 == 1
    }
}
