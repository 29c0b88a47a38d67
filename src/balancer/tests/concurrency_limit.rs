//! Tests of the limit on attempts in flight at one server.

use super::*;

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200,
        failure_persistence: None,
        rng_algorithm: prop::test_runner::RngAlgorithm::ChaCha,
        rng_seed: prop::test_runner::RngSeed::Fixed(12),
        ..ProptestConfig::default()
    })]

    /// The limit recovers for a server that responds well again: each fast response raises a limit in use.
    /// The latency of a permanently slower server becomes the baseline within half an hour.
    #[test]
    fn limit_recovers_from_any_state(seed: u64, steps in 1usize..400, latency_factor in 1u64..6) {
        let mut rng = fastrand::Rng::with_seed(seed);
        let (mut concurrency, mut now) = (ConcurrencyLimit::new(3), SECOND);
        for _ in 0..steps {
            now += rng.u64(1..60_000);
            let is_write = rng.bool();
            if concurrency.has_capacity(Micros(now), is_write) {
                concurrency.reserve(is_write);
                let latency = Micros(rng.u64(1_000..900_000));
                let is_timeout = rng.f64() < 0.3;
                concurrency.release(Micros(now), is_write, is_timeout.then_some(latency));
                if is_timeout {
                    concurrency.on_timeout(Micros(now), latency, seed.is_multiple_of(2));
                } else {
                    concurrency.on_response(Micros(now), latency);
                }
            }
            prop_assert!(concurrency.limit >= 1.0);
        }
        let latency = 100_000 * latency_factor;
        let end = now + 1_800 * SECOND;
        while concurrency.limit < 8.0 {
            prop_assert!(now < end, "limit {}", concurrency.limit);
            now += latency;
            while concurrency.has_capacity(Micros(now), true) {
                concurrency.reserve(true);
            }
            concurrency.release(Micros(now), true, None);
            concurrency.on_response(Micros(now), Micros(latency));
        }
        prop_assert!(
            (latency as f64) < 1.6 * concurrency.baseline_latency,
            "the baseline must adapt to the new latency"
        );
    }
}

/// Guards against reads that block writes at a slow origin with a limit below one: reads pause between sends,
/// while a write is sent as soon as nothing else is in flight. Without this rule, 300 balancers served a
/// quarter of their writes, because reads that could not be in time used the rest of the capacity.
#[test]
fn limit_below_one_admits_a_write_before_reads() {
    let (now, mut concurrency) = (Micros(60 * SECOND), ConcurrencyLimit::new(300));
    concurrency.on_response(Micros(SECOND), Micros(70_000));
    for n in 0..12 {
        concurrency.on_timeout(Micros((10 + n) * SECOND), Micros(SECOND / 2), true);
    }
    assert!(concurrency.limit < 0.7, "{}", concurrency.limit);
    concurrency.reserve(true);
    assert!(
        !concurrency.has_capacity(now, true) && !concurrency.has_capacity(now, false),
        "a second attempt is admitted while one is in flight"
    );
    concurrency.release(now, true, None);
    assert!(concurrency.has_capacity(now, true) && !concurrency.has_capacity(now, false));
    assert!(
        concurrency.has_capacity(now + Micros(30 * SECOND), false),
        "a read must be admitted after the pause"
    );
}

#[test]
fn abandoned_attempt_counts_as_in_flight_for_its_latency_again() {
    let mut concurrency = ConcurrencyLimit::new(6);
    let now = Micros(SECOND);
    (0..2).for_each(|_| concurrency.reserve(false));
    assert!(!concurrency.has_capacity(now, true));
    concurrency.release(now, false, Some(Micros(400_000)));
    assert!(
        !concurrency.has_capacity(Micros(SECOND + 399_999), true),
        "capacity is freed while the server still works on the attempt"
    );
    assert!(concurrency.has_capacity(Micros(SECOND + 400_000), true));
}

#[test]
fn reads_keep_their_share_while_writes_fill_the_limit() {
    let mut concurrency = ConcurrencyLimit::new(1);
    while concurrency.has_capacity(Micros(1), true) {
        concurrency.reserve(true);
    }
    let before = concurrency.in_flight();
    while concurrency.has_capacity(Micros(1), false) {
        concurrency.reserve(false);
    }
    assert_eq!((before, concurrency.in_flight()), (7.0, 9.0));
}

/// Guards against a limit that drops for a healthy server because of timeouts of clients with little time
/// left; the retries that this causes lead to more such timeouts.
#[test]
fn short_timeouts_do_not_decrease_the_limit() {
    for (latency, is_decreased) in [(20_000, false), (600_000, true)] {
        let mut balancer = new_balancer(idempotent_settings(), &endpoints(1));
        for n in 0..200 {
            let now = SECOND + n * 200_000;
            let Some(to) = sent_to(&handle(&mut balancer, now, Event::Request(request(n, now, 7)))) else {
                continue;
            };
            let is_served = n < 40;
            let result = if is_served { AttemptResult::Served } else { AttemptResult::Timeout };
            let latency = Micros(if is_served { 100_000 } else { latency });
            let ended = completed_attempt(n, 0, to, result);
            let ended = CompletedAttempt { is_request_closed: is_served, latency, ..ended };
            handle(&mut balancer, now + latency.0, Event::AttemptCompleted(ended));
        }
        let server = balancer.endpoints.server_mut(ServerId(0)).expect("listed");
        assert_eq!(server.concurrency.limit < 2.0, is_decreased, "{latency}");
    }
}
