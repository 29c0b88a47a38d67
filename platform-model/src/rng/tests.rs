//! Seeded streams and bit mixing.

use super::*;
use rand::RngCore;

#[test]
fn numbers_repeat_for_the_same_seed_and_differ_by_stream() {
    let first_number = |seed, stream| seeded_rng(seed, stream).next_u64();
    assert_eq!(first_number(1, RngStream::Load), first_number(1, RngStream::Load));
    assert_ne!(first_number(1, RngStream::Load), first_number(1, RngStream::Groups));
    assert_ne!(first_number(1, RngStream::Load), first_number(2, RngStream::Load));
    assert_eq!(mix_bits(0), 0xe220_a839_7b1d_cdaf);
}
