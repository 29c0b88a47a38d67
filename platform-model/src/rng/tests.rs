//! Seeded streams and bit mixing.

use super::*;
use rand::RngCore;

#[test]
fn numbers_are_the_same_for_a_seed_and_apart_by_purpose() {
    let first = |seed, stream| seeded_rng(seed, stream).next_u64();
    assert_eq!(first(1, RngStream::Load), first(1, RngStream::Load));
    assert_ne!(first(1, RngStream::Load), first(1, RngStream::Groups));
    assert_ne!(first(1, RngStream::Load), first(2, RngStream::Load));
    assert_eq!(mix_bits(0), 0xe220_a839_7b1d_cdaf);
}
