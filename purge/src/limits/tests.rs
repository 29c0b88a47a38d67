//! Tests of the token bucket.

use super::*;

#[test]
fn after_the_burst_the_bucket_admits_the_rate_and_a_retry_at_the_stated_time() {
    let mut bucket = TokenBucket::new(10, 5, Micros::ZERO);
    for _ in 0..5 {
        assert_eq!(bucket.try_take(Micros::ZERO), Ok(()));
    }
    let wait = bucket.try_take(Micros::ZERO).expect_err("the burst is used up");
    assert_eq!(wait, Micros(100_000));
    assert!(bucket.try_take(wait - Micros(1)).is_err());
    assert_eq!(bucket.try_take(wait), Ok(()));
    let admitted =
        (0..10_000u64).filter(|step| bucket.try_take(wait + Micros::from_millis(*step)).is_ok()).count();
    assert!((95..=105).contains(&admitted), "{admitted} admitted in ten seconds at 10 per second");
}

#[test]
fn a_clock_that_goes_back_refills_no_tokens() {
    let mut bucket = TokenBucket::new(1, 1, Micros::SECOND);
    assert_eq!(bucket.try_take(Micros::SECOND), Ok(()));
    assert!(bucket.try_take(Micros::ZERO).is_err());
    assert!(bucket.try_take(Micros(1_900_000)).is_err());
    assert_eq!(bucket.try_take(Micros(2_000_000)), Ok(()));
}
