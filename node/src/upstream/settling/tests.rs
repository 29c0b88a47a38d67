//! The settle time of a server.

use super::*;
use crate::testing;

/// The settle time exceeds the delays of the late bytes that were seen, up to its maximum, and falls back when no more
/// are seen.
#[test]
fn the_settle_time_exceeds_the_delays_seen() {
    testing::run_paused(async {
        let settle_time = SettleTime::default();
        settle_time.on_late_bytes(Duration::from_millis(1));
        assert_eq!(settle_time.current(), CAUTIOUS_SETTLE_TIME);
        settle_time.on_late_bytes(Duration::from_millis(18));
        assert_eq!(settle_time.current(), Duration::from_millis(180));
        settle_time.on_late_bytes(Duration::from_millis(1));
        assert_eq!(settle_time.current(), Duration::from_millis(180), "a shorter delay lowered it");
        settle_time.on_late_bytes(Duration::from_secs(4));
        assert_eq!(settle_time.current(), MAX_SETTLE_TIME);
        tokio::time::advance(RETENTION).await;
        assert_eq!(settle_time.current(), CAUTIOUS_SETTLE_TIME);
    });
}

/// The shortest settle time is used only for a server whose connections have often settled in silence, and no more once
/// late bytes were received.
#[test]
fn the_settle_time_is_short_only_after_many_silent_connections() {
    testing::run_paused(async {
        let settle_time = SettleTime::default();
        for _ in 0..SILENT_SETTLES_BEFORE_TRUST {
            assert_eq!(settle_time.current(), CAUTIOUS_SETTLE_TIME);
            settle_time.on_silent();
        }
        assert_eq!(settle_time.current(), MIN_SETTLE_TIME);
        settle_time.on_late_bytes(Duration::from_millis(1));
        tokio::time::advance(RETENTION).await;
        assert_eq!(settle_time.current(), CAUTIOUS_SETTLE_TIME);
    });
}
