use super::*;
use crate::testing;

/// Guards against a peer that floods the log: the first line is written at once, and then one per second.
#[test]
fn a_flood_is_logged_once_a_second() {
    testing::run_paused(async {
        let (throttle, mut written) = (LogThrottle::default(), 0);
        for _ in 0..3_500 {
            written += u32::from(throttle.try_acquire());
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        assert_eq!(written, 4);
    });
}
