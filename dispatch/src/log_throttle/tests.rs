use super::*;
use crate::testing;

/// What a peer does without end fills no log: one line at once, and then one a second.
#[test]
fn a_flood_is_logged_once_a_second() {
    testing::run(async {
        let (throttle, mut written) = (LogThrottle::default(), 0);
        for _ in 0..3_500 {
            written += u32::from(throttle.allows());
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        assert_eq!(written, 4);
    });
}
