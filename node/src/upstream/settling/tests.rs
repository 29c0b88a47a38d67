//! The settle time of a server.

use super::*;
use crate::testing;

/// The settle time exceeds the delays of the late bytes that were seen, up to its maximum, and falls back when no more
/// are seen.
#[test]
fn the_settle_time_exceeds_the_delays_seen() {
    testing::run_paused(async {
        let settle_time = SettleTime::default();
        assert_eq!(settle_time.current(), MIN_SETTLE_TIME);
        settle_time.on_late_bytes(Duration::from_millis(1));
        assert_eq!(settle_time.current(), MIN_RAISED_SETTLE_TIME);
        settle_time.on_late_bytes(Duration::from_millis(18));
        assert_eq!(settle_time.current(), Duration::from_millis(180));
        settle_time.on_late_bytes(Duration::from_millis(1));
        assert_eq!(settle_time.current(), Duration::from_millis(180), "a shorter delay lowered it");
        settle_time.on_late_bytes(Duration::from_secs(4));
        assert_eq!(settle_time.current(), MAX_SETTLE_TIME);
        tokio::time::advance(RETENTION).await;
        assert_eq!(settle_time.current(), MIN_SETTLE_TIME);
    });
}
