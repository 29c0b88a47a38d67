//! A hash that is the same at every balancer and after every restart.

/// Mixes the bits of a number, so that any difference affects all 64 bits (the finalizer of SplitMix64).
pub fn mix_bits(number: u64) -> u64 {
    let number = (number ^ (number >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let number = (number ^ (number >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    number ^ (number >> 31)
}
