//! Seeded random numbers: one stream for each purpose of a run, with the same numbers on every machine.

#[cfg(test)]
mod tests;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// The generator of all random numbers of the model. ChaCha is portable, unlike rand's standard generator.
pub type SeededRng = ChaCha8Rng;

/// The purpose of a stream of random numbers. Each purpose has its own stream, so that a change to one of them (such
/// as more servers) leaves the numbers of the others unchanged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RngStream {
    /// Arrival times, balancers and keys of requests.
    Load = 1,
    /// The processes and servers chosen for a group that names a share.
    Groups = 2,
    /// Service times and failures of the cache servers and the origin.
    ServiceTimes = 3,
    /// Decisions of clients after an answer.
    Clients = 4,
    /// Delays and losses on links.
    Links = 5,
    /// Delays of discovery's notices to each balancer.
    DiscoveryNotices = 6,
    /// Seeds passed to the processes.
    Processes = 7,
    /// Fair draws of the checker, of comparisons and of replays.
    FairDraws = 8,
    /// Events of a soak run.
    Soak = 9,
    /// Requests of the soak's clients, and how they are split into pieces.
    SoakClients = 10,
}

/// The generator of a stream in a run with this seed.
pub fn seeded_rng(seed: u64, stream: RngStream) -> SeededRng {
    let mut rng = SeededRng::seed_from_u64(seed);
    rng.set_stream(stream as u64);
    rng
}

/// Mixes the bits of a number with the finalizer of SplitMix64. The result is the same on every machine; the names of
/// keys and servers are derived from it.
pub fn mix_bits(number: u64) -> u64 {
    let mut x = number.wrapping_add(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
