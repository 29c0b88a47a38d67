use super::*;

const fn at_ms(ms: u64) -> Micros {
    Micros(1_000_000 + ms * 1_000)
}

/// A call of the tracker, at a time in ms.
#[derive(Clone, Copy, Debug)]
enum Call {
    Tick(u64),
    Event(u64),
}

use Call::{Event, Tick};

fn tracker_after(calls: &[Call]) -> StallTracker {
    let tracker = StallTracker::new(at_ms(0));
    for call in calls {
        match call {
            Tick(ms) => _ = tracker.on_tick(at_ms(*ms)),
            Event(ms) => tracker.on_event(at_ms(*ms)),
        }
    }
    tracker
}

/// Guards against dating a signal that arrived during a stall to the time at which it is noticed, and against taking idle
/// times for stalls.
#[test]
fn an_event_noticed_after_a_stall_is_dated_to_the_start_of_the_stall() {
    for (calls, noticed, earliest) in [
        // Without ticks no stall is detected.
        (&[Event(10)][..], 400, 400),
        // Ticks in time without other events show no stall.
        (&[Tick(0), Tick(50), Tick(100), Tick(150)], 190, 190),
        (&[Tick(0), Tick(50), Tick(109)], 150, 150),
        // The signal is the first event after a stall.
        (&[Tick(0), Tick(50), Event(70)], 320, 70),
        // Other events after the stall precede the signal.
        (&[Tick(0), Tick(50), Event(70), Event(320)], 321, 70),
        (&[Tick(0), Tick(50), Event(70), Event(320), Tick(321), Event(330)], 369, 70),
        (&[Tick(0), Tick(50), Event(70), Event(320), Event(335), Tick(340)], 350, 70),
        // The stall ended long enough ago that the signal would have been noticed.
        (&[Tick(0), Tick(50), Event(70), Tick(320), Tick(370)], 375, 375),
        // A stall is taken into account up to its maximum length.
        (&[Tick(0), Tick(50)], 900, 600),
    ] {
        assert_eq!(
            tracker_after(calls).earliest_event_time(at_ms(noticed)),
            at_ms(earliest),
            "after {calls:?}, noticed at {noticed} ms"
        );
    }
}
