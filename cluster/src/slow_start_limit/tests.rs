//! Token ownership by position, retention of limits, and the usable tokens of a new process.

use juniperladder::ServerId;

use super::*;
use crate::virtual_network::times;

/// The start time of the servers in these tests.
const STARTED: Micros = Micros::from_secs(100);

fn terms() -> SlowStartTerms {
    let rate_limit = RateLimitTerms {
        requests_per_s: 50,
        arrival_spread: Micros::ZERO,
        owners: 7,
        lease_duration: Micros::from_secs(2),
        clock_drift: 0.001,
    };
    SlowStartTerms { rate_limit, initial_share: 0.1, duration: Micros::from_secs(10) }
}

fn server(number: u64) -> ServerIncarnation {
    ServerIncarnation { server: ServerId(number), started: STARTED }
}

#[test]
fn owned_tokens_never_decrease_and_sum_up_to_the_total() {
    let terms = terms();
    for number in 0..50 {
        let server = server(number);
        let mut previously_owned = [0; 9];
        for now in times(STARTED, STARTED + Micros::from_secs(12), Micros::from_millis(100)) {
            let owned: Vec<u32> = (0..9).map(|position| terms.owned_tokens(server, position, now)).collect();
            assert_eq!(owned.iter().sum::<u32>(), terms.total_tokens(STARTED, now));
            assert!(
                owned[7..] == [0, 0]
                    && owned
                        .iter()
                        .zip(previously_owned)
                        .all(|(owned, previously_owned)| *owned >= previously_owned)
            );
            previously_owned = owned.try_into().unwrap();
        }
        assert_eq!(previously_owned.iter().sum::<u32>(), 50);
    }
    assert_eq!(terms.total_tokens(Micros::ZERO, Micros(5)), 50);
    assert_eq!(terms.total_tokens(STARTED, STARTED), 5);
}

#[test]
fn limits_are_removed_once_slow_start_and_locks_are_over_and_their_number_is_bounded() {
    let mut limits = SlowStartLimits::new(terms(), 3, 1, Micros::ZERO);
    for number in 0..MAX_SERVER_INCARNATIONS as u64 + 5 {
        let access = limits.access(server(number), STARTED);
        assert_eq!(matches!(access, SlowStartAccess::Limited(_)), number < MAX_SERVER_INCARNATIONS as u64);
    }
    assert_eq!(limits.unavailable, 5);
    let far_later = ServerIncarnation { server: ServerId(1), started: STARTED + Micros::from_secs(60) };
    assert!(
        matches!(limits.access(far_later, STARTED), SlowStartAccess::Unavailable),
        "a start time too far in the future was accepted"
    );
    limits.tick(STARTED + Micros::from_secs(12), || || None);
    assert_eq!(
        limits.limits.len(),
        MAX_SERVER_INCARNATIONS,
        "limits were removed while leased tokens may be locked"
    );
    let warm = limits.access(server(1), STARTED + Micros::from_secs(10));
    assert!(matches!(warm, SlowStartAccess::Unlimited), "a warm server is limited");
    limits.tick(STARTED + Micros::from_secs(14), || || None);
    assert_eq!(limits.limits.len(), 0);
}

#[test]
fn balancer_started_after_the_server_waits_and_one_started_before_does_not() {
    let usable_tokens = |process_started: Micros, now: Micros| {
        let mut limits = SlowStartLimits::new(terms(), 3, 1, process_started);
        match limits.access(server(9), now) {
            SlowStartAccess::Limited(limit) => limit.usable_tokens(now),
            other => panic!("{other:?}"),
        }
    };
    let now = STARTED + Micros::from_secs(9);
    assert!(usable_tokens(STARTED - Micros::from_secs(50), now) > 0);
    assert_eq!(usable_tokens(STARTED + Micros::from_secs(8), now), 0);
}

/// Guards against the next tick restoring the own tokens of a member that has left, while others already use them.
#[test]
fn member_that_left_owns_no_tokens() {
    let mut limits = SlowStartLimits::new(terms(), 3, 1, Micros::ZERO);
    let now = STARTED + Micros::from_secs(9);
    let owned = |limits: &mut SlowStartLimits| limits.metrics(now).rate_limits.owned_tokens;
    limits.access(server(1), now);
    assert!(owned(&mut limits) > 0);
    limits.leave(now);
    limits.tick(now, || || None);
    assert_eq!(owned(&mut limits), 0);
    limits.access(server(1), now);
    limits.access(server(2), now);
    assert_eq!(owned(&mut limits), 0);
}
