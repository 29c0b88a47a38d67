use super::*;

const fn at_ms(ms: u64) -> Micros {
    Micros(1_000_000 + ms * 1_000)
}

/// A tracker with an event at each of these times.
fn tracker(events: &[u64]) -> StallTracker {
    let tracker = StallTracker::new(at_ms(0));
    events.iter().for_each(|ms| tracker.on_event(at_ms(*ms)));
    tracker
}

#[test]
fn what_is_noticed_after_a_stall_may_have_happened_at_its_beginning() {
    let busy: Vec<u64> = (1..=20).map(|event| event * 5).collect();
    let stalled = |after: &[u64]| tracker(&[&busy, after].concat());
    for (after, noticed, earliest) in [
        // Events come without a pause: it happened now.
        (&[][..], 105, 105),
        // The stall is over with this very event, or shortly before.
        (&[], 350, 100),
        (&[350], 350, 100),
        (&[350, 355, 360], 362, 100),
        (&[350, 355, 360, 370], 400, 100),
        // Long before, so that it would have been noticed.
        (&[350, 355, 360, 365, 370, 375, 380, 385, 390, 395, 400], 401, 401),
        // No longer than a stall may be.
        (&[], 900, 600),
    ] {
        assert_eq!(stalled(after).earliest_time(at_ms(noticed)), at_ms(earliest), "{after:?} {noticed}");
    }
}
