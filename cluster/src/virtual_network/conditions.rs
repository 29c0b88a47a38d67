//! What a virtual network does to packets, clocks and processes.

use juniperladder::Micros;

/// How packets fare, and how far clocks run apart.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Conditions {
    /// The share of packets that are lost.
    pub(crate) loss: f64,
    /// The share of packets that come twice; either copy may be lost.
    pub(crate) repeat: f64,
    /// The shortest delay of a packet.
    pub(crate) min_delay: Micros,
    /// How much longer than the shortest delay a packet usually takes at most.
    pub(crate) delay: Micros,
    /// The share of packets that come far later than usual.
    pub(crate) late: f64,
    /// By how much a late packet is late at most: one of these, drawn for each; without any, no packet is late.
    pub(crate) late_delays: &'static [Micros],
    /// By which ratio clocks run faster or slower than the network's time at most.
    pub(crate) drift: f64,
}

/// What goes wrong during a run beside lost and late packets.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Faults {
    /// Processes that are killed.
    pub(crate) kills: usize,
    /// Processes that are frozen for a while.
    pub(crate) freezes: usize,
    /// Cuts of the network for a while.
    pub(crate) cuts: usize,
}

/// Nothing goes wrong.
pub(crate) const NO_FAULTS: Faults = Faults { kills: 0, freezes: 0, cuts: 0 };

/// Which members are cut off from which.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Partition {
    /// The members on the second side, a bit for each.
    pub(crate) second_side: u64,
    /// Packets from the second side to the first still arrive.
    pub(crate) one_way: bool,
}

impl Partition {
    /// Whether packets of one member do not reach another.
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
