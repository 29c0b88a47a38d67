//! Tests of the gap of one server and of the results that raise it.

use super::*;

fn ladder() -> GapLadder {
    ladder_of(3)
}

fn ladder_of(balancers: u32) -> GapLadder {
    GapLadder::new(&idempotent_settings(), balancers)
}

/// Outcome of a send, with its start and end in microseconds.
fn send_outcome(sent: u64, completed: u64, is_rejected: bool) -> SendOutcome {
    SendOutcome { sent: Micros(sent), completed: Micros(completed), is_rejected }
}

/// Passes outcomes at this interval to a gap, true for a rejection; returns the time of the last one.
fn record_outcomes(gap: &mut Gap, from: u64, interval: u64, outcomes: &[bool]) -> u64 {
    let mut now = from;
    for is_rejected in outcomes {
        now += interval;
        gap.on_outcome(send_outcome(now - 1, now, *is_rejected), &ladder(), 0.0);
    }
    now
}

#[test]
fn rungs_grow_by_the_ratio_up_to_the_longest_deadline() {
    let ladder = ladder();
    assert_eq!(ladder.length(0), Micros(0));
    for rung in 1..ladder.highest_rung {
        let ratio = ladder.length(rung + 1).0 as f64 / ladder.length(rung).0 as f64;
        assert!((ratio - RUNG_RATIO).abs() < 0.01, "rung {rung}: {ratio}");
    }
    assert!(
        ladder.length(ladder.highest_rung) <= Micros(SECOND)
            && ladder.length(ladder.highest_rung + 1) > Micros(SECOND)
    );
}

#[test]
fn only_a_rejected_share_above_the_threshold_gaps_a_server() {
    let mut healthy = Gap::default();
    record_outcomes(&mut healthy, 2 * SECOND, 100_000, &[false, false, true, false].repeat(20));
    assert_eq!(healthy.rung, 0);
    let mut overloaded = Gap::default();
    record_outcomes(&mut overloaded, 2 * SECOND, 100_000, &[true, false, true, true]);
    assert!(overloaded.rung > 0);
}

#[test]
fn rejections_seconds_apart_do_not_gap_a_server() {
    let mut gap = Gap::default();
    record_outcomes(&mut gap, 20 * SECOND, 3 * SECOND, &[true, true, true, true]);
    assert_eq!(gap.rung, 0, "rejections seconds apart must not gap a server");
}

#[test]
fn first_gap_matches_the_served_rate() {
    // Ten sends a second, half of them served: the gap allows five a second, up to the spacing of the rungs.
    let mut gap = Gap::default();
    gap.on_send(Micros(SECOND), 0);
    record_outcomes(&mut gap, 2 * SECOND, 100_000, &[true, false, true, false, true, false]);
    let length = ladder().length(gap.rung).0;
    assert!((150_000..=300_000).contains(&length), "{length}");
}

/// Guards against a gap that grows to the longest one: responses to the sends that overloaded a server arrive
/// for a second after the gap was set, and must not count as evidence about the gap.
#[test]
fn outcomes_of_sends_before_a_raise_do_not_raise_again() {
    let mut gap = Gap::default();
    let now = record_outcomes(&mut gap, 2 * SECOND, 50_000, &[true; 4]);
    let rung = gap.rung;
    assert!(rung > 0);
    for late in 1..40 {
        gap.on_outcome(send_outcome(now - 1, now + late * 20_000, true), &ladder(), 0.0);
    }
    assert_eq!(gap.rung, rung);
}

#[test]
fn gap_shrinks_in_steps_and_rejections_renew_it() {
    let mut gap = active_gap(12);
    record_outcomes(&mut gap, 2 * SECOND, 300_000, &[false, false]);
    assert_eq!(gap.rung, 6);
    let mut renewed = active_gap(10);
    record_outcomes(&mut renewed, 2 * SECOND, 300_000, &[true]);
    assert!(
        renewed.rung > 10 && renewed.ends_at > Micros(2 * SECOND),
        "a high rejected share must raise and renew the gap"
    );
    let mut expired = active_gap(9);
    expired.ends_at = Micros(5 * SECOND);
    assert!(expired.is_active(Micros(5 * SECOND - 1)) && !expired.is_active(Micros(5 * SECOND)));
}

#[test]
fn one_send_passes_per_gap_and_source() {
    let ladder = ladder();
    let mut gap = active_gap(9);
    let length = ladder.length(9).0;
    let mut passed = [0u64; 2];
    for now in (3 * SECOND..3 * SECOND + 10 * length).step_by(1_000) {
        for source in 0..2 {
            if gap.wait(Micros(now), source, &ladder).0 == 0 {
                gap.on_send(Micros(now), source);
                passed[source as usize] += 1;
            }
        }
    }
    assert_eq!(passed, [10, 10]);
}

#[test]
fn gaps_with_different_draws_end_at_different_times() {
    let end_of_gap = |draw: f64| {
        let mut gap = Gap::default();
        for i in 0..6 {
            gap.on_outcome(send_outcome(3 * SECOND, 3 * SECOND + i * 30_000, true), &ladder(), draw);
        }
        gap.ends_at
    };
    assert!(end_of_gap(0.9) > end_of_gap(0.1));
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200,
        failure_persistence: None,
        rng_algorithm: prop::test_runner::RngAlgorithm::ChaCha,
        rng_seed: prop::test_runner::RngSeed::Fixed(12),
        ..ProptestConfig::default()
    })]

    /// After the end of its cause, a gap ends within 3 longest deadlines while requests arrive, and within 8
    /// while none do.
    #[test]
    fn gap_ends_from_any_state(seed: u64, steps in 1usize..400) {
        let ladder = ladder();
        let mut rng = fastrand::Rng::with_seed(seed);
        let (mut gap, mut now) = (Gap::default(), SECOND);
        let rejected_share = rng.f64();
        for _ in 0..steps {
            now += rng.u64(1..60_000);
            if gap.wait(Micros(now), 0, &ladder).0 == 0 {
                gap.on_send(Micros(now), 0);
                let sent = now - rng.u64(0..400_000);
                gap.on_outcome(send_outcome(sent, now, rng.f64() < rejected_share), &ladder, rng.f64());
            }
        }
        prop_assert!(!gap.is_active(Micros(now + 8 * SECOND)), "gap still in effect without demand");
        let end = now + 3 * SECOND;
        while now < end {
            now += 10_000;
            if gap.wait(Micros(now), 0, &ladder).0 == 0 {
                gap.on_send(Micros(now), 0);
                gap.on_outcome(send_outcome(now - 1, now, false), &ladder, rng.f64());
            }
        }
        prop_assert!(!gap.is_active(Micros(now)), "gap still in effect with demand, rung {}", gap.rung);
    }
}

/// Guards against sends to a server that has not responded for half a minute: one of 100 balancers sends to a
/// server every few seconds, so that a window of four outcomes would never be complete.
#[test]
fn one_of_many_balancers_gaps_an_unresponsive_server_at_the_first_timeout() {
    for (balancers, is_gapped) in [(3, false), (100, true)] {
        let (ladder, mut gap, mut now) = (ladder_of(balancers), Gap::default(), 20 * SECOND);
        gap.on_outcome(send_outcome(now - SECOND, now, true), &ladder, 0.5);
        assert_eq!(gap.is_active(Micros(now)), is_gapped, "{balancers} balancers");
        for _ in 0..5 {
            now += 4 * SECOND;
            gap.on_outcome(send_outcome(now - SECOND, now, true), &ladder, 0.5);
        }
        assert_eq!(gap.is_active(Micros(now)), is_gapped, "{balancers} balancers");
    }
    let sends_of_all = |n: u32| f64::from(n) / ladder_of(n).length(ladder_of(n).highest_rung).0 as f64;
    assert!(
        sends_of_all(100) < 9.0 * sends_of_all(3),
        "100 balancers must send less than 9 times as much to a dead server as 3"
    );
}

#[test]
fn resets_and_errors_do_not_gap_but_rejections_do() {
    for (result, is_gapped) in
        [(AttemptResult::Reset, false), (AttemptResult::Error, false), (AttemptResult::Rejected, true)]
    {
        let mut balancer = new_balancer(idempotent_settings(), &endpoints(1));
        for n in 0..40 {
            let now = SECOND + n * 50_000;
            let server = sent_to(&handle(&mut balancer, now, Event::Request(request(n, now, 7))));
            if server == Some(ServerId(0)) {
                handle(&mut balancer, now + 10_000, completed(n, 0, ServerId(0), result));
            }
        }
        let gap = &balancer.endpoints.server_mut(ServerId(0)).unwrap().gap;
        assert_eq!(gap.rung > 0, is_gapped, "{result:?}");
    }
}
