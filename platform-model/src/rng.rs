//! Seeded random numbers: a stream for each purpose of a run, the same numbers on every machine.

#[cfg(test)]
mod tests;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// The generator of all random numbers here. ChaCha is portable, unlike rand's own standard generator.
pub type SeededRng = ChaCha8Rng;

/// What a stream of random numbers is for. Each purpose has one of its own, so that a change of one (more servers, say)
/// leaves the numbers of the others as they were.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RngStream {
    /// When requests come, at which balancer, for which key.
    Load = 1,
    /// Which processes and servers a share of a group names.
    Groups = 2,
    /// Work and pauses of the cache servers and the origin.
    Machines = 3,
    /// What clients do after an answer.
    Clients = 4,
    /// Delays and losses on links.
    Links = 5,
    /// When discovery notifies each balancer.
    Lists = 6,
    /// The seeds that the processes are given.
    Processes = 7,
    /// The checker's fair draws.
    Fair = 8,
    /// What happens in a run of the soak.
    Soak = 9,
    /// What its clients send, and in which pieces.
    SoakClients = 10,
}

/// The generator of this stream in a run of this seed.
pub fn seeded_rng(seed: u64, stream: RngStream) -> SeededRng {
    let mut rng = SeededRng::seed_from_u64(seed);
    rng.set_stream(stream as u64);
    rng
}

/// Mixes the bits of a number (the finalizer of SplitMix64), the same everywhere: names of keys and servers are made of it.
pub fn mix_bits(number: u64) -> u64 {
    let mut x = number.wrapping_add(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
