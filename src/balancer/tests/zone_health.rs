//! Tests of the detection of unhealthy zones.

use super::*;

/// Records attempts in zones 0 and 1 in turn; all attempts in zone 0 are rejected.
fn reject_all_in_even_zone(balancer: &mut Balancer, attempts: u32) {
    for n in 0..attempts {
        balancer.zones.on_attempt_completed(n % 2, n % 2 == 0);
    }
}

/// The outage of a zone is detected by a few attempts there, not server by server. No zone is avoided while
/// all fail alike, and a zone is used again after a few responses.
#[test]
fn unhealthy_zone_is_avoided_and_used_again_after_recovery() {
    let mut zones = ZoneHealth::default();
    for _ in 0..12 {
        zones.on_attempt_completed(0, true);
        zones.on_attempt_completed(1, true);
    }
    assert_eq!(zones.excess_rejection_rate(0), 0.0, "excess rate although all zones fail alike");
    for _ in 0..12 {
        zones.on_attempt_completed(1, false);
    }
    assert!(
        zones.excess_rejection_rate(0) > 0.9
            && zones.excess_rejection_rate(1) == 0.0
            && zones.excess_rejection_rate(7) == 0.0
    );
    for _ in 0..5 {
        zones.on_attempt_completed(0, false);
    }
    assert!(zones.excess_rejection_rate(0) < UNHEALTHY_EXCESS_RATE, "{}", zones.excess_rejection_rate(0));

    let mut balancer = new_balancer(idempotent_settings(), &endpoints(24));
    let (mut even_zone_sends, mut all_sends) = (0, 0);
    for n in 0..200 {
        reject_all_in_even_zone(&mut balancer, 12);
        let now = SECOND + n * 200_000;
        let to = sent_to(&handle(&mut balancer, now, Event::Request(request(n, now, n)))).expect("sent");
        all_sends += u32::from(to != ORIGIN);
        even_zone_sends += u32::from(to != ORIGIN && to.0.is_multiple_of(2));
        let end = completed_and_closed(n, 0, to, AttemptResult::Served);
        handle(&mut balancer, now + 1_000, end);
    }
    assert!(
        even_zone_sends * 4 < all_sends,
        "{even_zone_sends} of {all_sends} attempts to a zone in which every attempt was rejected"
    );
}

/// One attempt in twenty still goes to a zone that has been unhealthy for long, so that its recovery is
/// detected soon.
#[test]
fn zone_that_is_unhealthy_for_long_still_gets_some_attempts() {
    let mut balancer = new_balancer(idempotent_settings(), &endpoints(24));
    let mut attempts = 0;
    for n in 0..2000 {
        reject_all_in_even_zone(&mut balancer, 400);
        let now = SECOND + n * 200_000;
        let to = sent_to(&handle(&mut balancer, now, Event::Request(request(n, now, n)))).expect("sent");
        attempts += u32::from(to != ORIGIN && to.0.is_multiple_of(2));
        let end = completed_and_closed(n, 0, to, AttemptResult::Served);
        handle(&mut balancer, now + 1_000, end);
    }
    assert!(attempts > 25, "{attempts} attempts of 2000 to a zone in which every attempt was rejected");
}
