//! Direct tests of the limits: the gap, the places, the queue before the origin, retries and copies.

use super::*;

fn ladder() -> GapLadder {
    ladder_of(3)
}

fn ladder_of(balancers: u32) -> GapLadder {
    GapLadder::new(&settings(Idempotency::Idempotent, DeduplicationScope::All), balancers)
}

/// What is not sent to the origin is lost as well: where many balancers found it out of reach, a write goes again
/// within the longest deadline of its being back. The gap of one of three hundred was ten of those.
#[test]
fn an_origin_out_of_reach_is_tried_again_within_the_longest_deadline() {
    let mut many = settings(Idempotency::WithIdempotencyKey, DeduplicationScope::All);
    many.balancers = 300;
    let mut b = balancer(many, &fleet(3));
    let (mut now, mut last) = (SECOND, 0);
    let mut longest = 0;
    for n in 0..600 {
        now += 50_000;
        let write = Request { is_write: true, ..request(n, now, n) };
        if let Some(server) = sent(&step(&mut b, now, Event::Request(write))) {
            longest = longest.max(now - last);
            last = now;
            let Event::AttemptCompleted(mut end) = outcome(n, 0, server, AttemptResult::ConnectFailed) else {
                unreachable!()
            };
            end.request_closed = true;
            step(&mut b, now + 1, Event::AttemptCompleted(end));
        }
    }
    assert!(longest < SECOND + 200_000 && now - last < SECOND + 200_000, "{longest} µs without a try");
}

/// Under one place at a slow origin: reads rest between sends, a write goes as soon as nothing else is out. Three
/// hundred balancers once served a quarter of their writes while reads that could not be in time took the rest.
#[test]
fn a_write_goes_to_a_pressed_origin_before_reads_do() {
    let (now, mut concurrency) = (Micros(60 * SECOND), ConcurrencyLimit::new(300));
    concurrency.on_response(Micros(SECOND), Micros(70_000));
    for n in 0..12 {
        concurrency.on_timeout(Micros((10 + n) * SECOND), Micros(SECOND / 2), true);
    }
    assert!(concurrency.limit < 0.7, "{}", concurrency.limit);
    concurrency.reserve(true);
    assert!(!concurrency.has_capacity(now, true) && !concurrency.has_capacity(now, false), "one at a time");
    concurrency.release(now, true, None);
    assert!(concurrency.has_capacity(now, true) && !concurrency.has_capacity(now, false));
    assert!(concurrency.has_capacity(now.saturating_add(Micros(30 * SECOND)), false), "a read's time comes");
}

/// One of a hundred balancers sends to a host every few seconds: that sees no window of four ends before it
/// is another time, and once sent on to hosts that had been silent for half a minute.
#[test]
fn one_of_many_balancers_gaps_a_silent_host_at_once_and_probes_it_seldom() {
    for (balancers, gapped) in [(3, false), (100, true)] {
        let (ladder, mut gap, mut now) = (ladder_of(balancers), Gap::default(), 20 * SECOND);
        gap.on_outcome(
            SendOutcome { sent: Micros(now - SECOND), completed: Micros(now), is_rejected: true },
            &ladder,
            0.5,
        );
        assert_eq!(gap.is_active(Micros(now)), gapped, "{balancers} balancers");
        for _ in 0..5 {
            now += 4 * SECOND;
            gap.on_outcome(
                SendOutcome { sent: Micros(now - SECOND), completed: Micros(now), is_rejected: true },
                &ladder,
                0.5,
            );
        }
        assert_eq!(gap.is_active(Micros(now)), gapped, "{balancers} balancers");
    }
    let sum = |n: u32| f64::from(n) / ladder_of(n).length(ladder_of(n).top).0 as f64;
    assert!(sum(100) < 9.0 * sum(3), "probes of a dead server by all together");
}

/// Who seldom meets a host knows little of it: where it has not answered lately, the second copy goes sooner.
#[test]
fn an_unheard_host_is_doubted_sooner() {
    let mut one = settings(Idempotency::Idempotent, DeduplicationScope::All);
    one.limits.may_duplicate = true;
    let mut b = balancer(one, &fleet(1));
    let mut doubted = |n: u64, now: u64| {
        let sends = step(&mut b, now, Event::Request(request(n, now, n)));
        let [Action::Send { server, .. }, Action::Timer { at, .. }] = sends[..] else { panic!("{sends:?}") };
        let Event::AttemptCompleted(mut end) = outcome(n, 0, server, AttemptResult::Served) else {
            unreachable!()
        };
        end.request_closed = true;
        step(&mut b, now + 20_000, Event::AttemptCompleted(end));
        at.0 - now
    };
    let (first, soon, later) = (doubted(1, SECOND), doubted(2, SECOND + 50_000), doubted(3, 9 * SECOND));
    assert!(soon > 150_000 && later < 110_000 && first == later, "{first} {soon} {later}");
}

/// A host whose answer is overdue is gapped when the second copy is due, unless all hosts are as slow.
#[test]
fn a_silent_host_stands_out_only_among_quick_ones() {
    for (others, gapped) in [(20_000, true), (150_000, false)] {
        let mut one = settings(Idempotency::Idempotent, DeduplicationScope::All);
        one.limits.may_duplicate = true;
        let mut b = balancer(one, &fleet(12));
        let mut now = 2 * SECOND;
        for n in 0..100 {
            now += 200_000;
            let sends = step(&mut b, now, Event::Request(request(n, now, n)));
            let [Action::Send { server, .. }, ..] = sends[..] else { panic!("{sends:?}") };
            let latency = Micros(others);
            let (id, status) = (id(n), AttemptResult::Served);
            let told = CompletedAttempt {
                id,
                server,
                attempt: 0,
                latency,
                result: status,
                request_closed: true,
                fetch_in_progress: false,
            };
            step(&mut b, now + others, Event::AttemptCompleted(told));
        }
        now += 200_000;
        let sends = step(&mut b, now, Event::Request(request(500, now, 500)));
        let [Action::Send { server, .. }, Action::Timer { at, token }] = sends[..] else {
            panic!("{sends:?}")
        };
        step(&mut b, at.0, Event::Timer(token));
        let limits = b.limits(at).servers;
        let limit = limits.iter().find(|l| l.server == server).expect("listed");
        assert_eq!(limit.gap > Micros(0), gapped, "others take {others} µs");
    }
}

fn feed(gap: &mut Gap, from: u64, step: u64, outcomes: &[bool]) -> u64 {
    let mut now = from;
    for rejected in outcomes {
        now += step;
        gap.on_outcome(
            SendOutcome { sent: Micros(now - 1), completed: Micros(now), is_rejected: *rejected },
            &ladder(),
            0.0,
        );
    }
    now
}

fn gapped(rung: u32) -> Gap {
    let mut gap = Gap::default();
    (gap.rung, gap.until) = (rung, Micros(900 * SECOND));
    gap.on_send(Micros(SECOND), 0);
    gap
}

#[test]
fn rungs_grow_by_the_ratio_up_to_the_longest_deadline() {
    let ladder = ladder();
    assert_eq!(ladder.length(0), Micros(0));
    for rung in 1..ladder.top {
        let ratio = ladder.length(rung + 1).0 as f64 / ladder.length(rung).0 as f64;
        assert!((ratio - RUNG_RATIO).abs() < 0.01, "rung {rung}: {ratio}");
    }
    assert!(ladder.length(ladder.top) <= Micros(SECOND) && ladder.length(ladder.top + 1) > Micros(SECOND));
}

#[test]
fn r_under_high_never_gaps_and_over_high_does() {
    let mut calm = Gap::default();
    feed(&mut calm, 2 * SECOND, 100_000, &[false, false, true, false].repeat(20));
    assert_eq!(calm.rung, 0);
    let mut hot = Gap::default();
    feed(&mut hot, 2 * SECOND, 100_000, &[true, false, true, true]);
    assert!(hot.rung > 0);
}

#[test]
fn one_outcome_is_no_window() {
    let mut gap = Gap::default();
    feed(&mut gap, 20 * SECOND, 3 * SECOND, &[true, true, true, true]);
    assert_eq!(gap.rung, 0, "rejections seconds apart must not gap a server");
}

#[test]
fn the_first_gap_is_that_of_the_pace_that_was_served() {
    // Ten a second, half of them served: five a second pass from now on, at the nearest rungs.
    let mut gap = Gap::default();
    gap.on_send(Micros(SECOND), 0);
    feed(&mut gap, 2 * SECOND, 100_000, &[true, false, true, false, true, false]);
    let length = ladder().length(gap.rung).0;
    assert!((150_000..=300_000).contains(&length), "{length}");
}

#[test]
fn what_was_sent_before_a_rise_tells_nothing_of_it() {
    // The answers to what filled a server come for a second after it was gapped; counting them as the
    // gap's doing once drove it to the top.
    let mut gap = Gap::default();
    let now = feed(&mut gap, 2 * SECOND, 50_000, &[true; 4]);
    let rung = gap.rung;
    assert!(rung > 0);
    for late in 1..40 {
        gap.on_outcome(
            SendOutcome { sent: Micros(now - 1), completed: Micros(now + late * 20_000), is_rejected: true },
            &ladder(),
            0.0,
        );
    }
    assert_eq!(gap.rung, rung);
}

#[test]
fn a_gap_falls_in_steps_and_is_renewed_only_while_r_is_over_low() {
    let mut gap = gapped(12);
    feed(&mut gap, 2 * SECOND, 300_000, &[false, false]);
    assert_eq!(gap.rung, 6);
    let mut held = gapped(10);
    feed(&mut held, 2 * SECOND, 300_000, &[true]);
    assert!(held.rung > 10 && held.until > Micros(2 * SECOND), "r over high raises and renews it");
    let mut ended = gapped(9);
    ended.until = Micros(5 * SECOND);
    assert!(ended.is_active(Micros(5 * SECOND - 1)) && !ended.is_active(Micros(5 * SECOND)));
}

#[test]
fn one_request_passes_per_gap_and_source() {
    let ladder = ladder();
    let mut gap = gapped(9);
    let g = ladder.length(9).0;
    let mut passed = [0u64; 2];
    for now in (3 * SECOND..3 * SECOND + 10 * g).step_by(1_000) {
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
fn balancers_with_other_draws_settle_and_end_at_other_times() {
    let until = |draw: f64| {
        let mut gap = Gap::default();
        (0..6).for_each(|i| {
            gap.on_outcome(
                SendOutcome {
                    sent: Micros(3 * SECOND),
                    completed: Micros(3 * SECOND + i * 30_000),
                    is_rejected: true,
                },
                &ladder(),
                draw,
            )
        });
        gap.until
    };
    assert!(until(0.9) > until(0.1));
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200,
        failure_persistence: None,
        rng_algorithm: prop::test_runner::RngAlgorithm::ChaCha,
        rng_seed: prop::test_runner::RngSeed::Fixed(12),
        ..ProptestConfig::default()
    })]

    /// Whatever came before: with demand it is gone 3 longest deadlines after its cause, without demand
    /// after 8 of them.
    #[test]
    fn a_gap_lets_go(seed: u64, steps in 1usize..400) {
        let ladder = ladder();
        let mut rng = fastrand::Rng::with_seed(seed);
        let (mut gap, mut now) = (Gap::default(), SECOND);
        let bad = rng.f64();
        for _ in 0..steps {
            now += rng.u64(1..60_000);
            if gap.wait(Micros(now), 0, &ladder).0 == 0 {
                gap.on_send(Micros(now), 0);
                let sent = Micros(now - rng.u64(0..400_000));
                gap.on_outcome(SendOutcome { sent, completed: Micros(now), is_rejected: rng.f64() < bad }, &ladder, rng.f64());
            }
        }
        prop_assert!(!gap.is_active(Micros(now + 8 * SECOND)), "without demand");
        let gone = now + 3 * SECOND;
        while now < gone {
            now += 10_000;
            if gap.wait(Micros(now), 0, &ladder).0 == 0 {
                gap.on_send(Micros(now), 0);
                gap.on_outcome(SendOutcome { sent: Micros(now - 1), completed: Micros(now), is_rejected: false }, &ladder, rng.f64());
            }
        }
        prop_assert!(!gap.is_active(Micros(now)), "rung {} with demand", gap.rung);
    }

    /// Whatever came before, a server that answers well again has its places back: each quick answer
    /// that finds them in use adds to them. One that has become slower for good is usual in half an hour.
    #[test]
    fn places_come_back(seed: u64, steps in 1usize..400, slower in 1u64..6) {
        let mut rng = fastrand::Rng::with_seed(seed);
        let (mut concurrency, mut now) = (ConcurrencyLimit::new(3), SECOND);
        for _ in 0..steps {
            now += rng.u64(1..60_000);
            let write = rng.bool();
            if concurrency.has_capacity(Micros(now), write) {
                concurrency.reserve(write);
                let latency = Micros(rng.u64(1_000..900_000));
                let silent = rng.f64() < 0.3;
                concurrency.release(Micros(now), write, silent.then_some(latency));
                if silent {
                    concurrency.on_timeout(Micros(now), latency, seed.is_multiple_of(2));
                } else {
                    concurrency.on_response(Micros(now), latency);
                }
            }
            prop_assert!(concurrency.limit >= 1.0);
        }
        let usual = 100_000 * slower;
        let end = now + 1_800 * SECOND;
        while concurrency.limit < 8.0 {
            prop_assert!(now < end, "{} places", concurrency.limit);
            now += usual;
            while concurrency.has_capacity(Micros(now), true) {
                concurrency.reserve(true);
            }
            concurrency.release(Micros(now), true, None);
            concurrency.on_response(Micros(now), Micros(usual));
        }
        prop_assert!((usual as f64) < 1.6 * concurrency.baseline_latency, "it is quick again");
    }
}

#[test]
fn what_was_given_up_at_a_cache_holds_its_place_as_long_again() {
    let mut concurrency = ConcurrencyLimit::new(6);
    let now = Micros(SECOND);
    (0..2).for_each(|_| concurrency.reserve(false));
    assert!(!concurrency.has_capacity(now, true));
    concurrency.release(now, false, Some(Micros(400_000)));
    assert!(!concurrency.has_capacity(Micros(SECOND + 399_999), true), "the server is still at it");
    assert!(concurrency.has_capacity(Micros(SECOND + 400_000), true));
}

#[test]
fn writes_that_take_all_they_can_leave_reads_a_part() {
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

/// A client that is about to leave waits no fair time: its time-outs once limited healthy hosts, and the
/// retries that this caused fed them.
#[test]
fn time_outs_of_clients_about_to_leave_count_for_nothing() {
    for (latency, counts) in [(20_000, false), (600_000, true)] {
        let mut b = balancer(settings(Idempotency::Idempotent, DeduplicationScope::All), &fleet(1));
        for n in 0..200 {
            let now = SECOND + n * 200_000;
            let Some(to) = sent(&step(&mut b, now, Event::Request(request(n, now, 7)))) else { continue };
            let status = if n < 40 { AttemptResult::Served } else { AttemptResult::Timeout };
            let Event::AttemptCompleted(mut end) = outcome(n, 0, to, status) else { unreachable!() };
            end.request_closed = status == AttemptResult::Served;
            end.latency = Micros(if end.request_closed { 100_000 } else { latency });
            step(&mut b, now + end.latency.0, Event::AttemptCompleted(end));
        }
        let server = b.endpoints.server_mut(ServerId(0)).expect("listed");
        assert_eq!(server.concurrency.limit < 2.0, counts, "{latency}");
    }
}

/// A marked retry whose first try is past its aim is worth nothing, and takes nothing.
#[test]
fn a_retry_past_its_aim_is_turned_away_at_once() {
    let mut b = balancer(settings(Idempotency::Idempotent, DeduplicationScope::All), &fleet(4));
    let ask = |b: &mut Balancer, n: u64, left: u64, retry: bool| {
        let deadline = Micros(SECOND + left);
        step(b, SECOND, Event::Request(Request { is_client_retry: retry, deadline, ..request(n, SECOND, n) }))
    };
    assert!(sent(&ask(&mut b, 1, 800_000, false)).is_some());
    assert!(sent(&ask(&mut b, 2, 790_000, true)).is_some(), "210 ms of 250 are gone");
    let late = ask(&mut b, 3, 740_000, true);
    assert!(matches!(late[..], [Action::Reject { .. }]), "{late:?}");
    assert!(sent(&ask(&mut b, 4, 740_000, false)).is_some(), "a first try of an impatient client");
}

fn fill_origin(b: &mut Balancer) {
    let origin = &mut b.endpoints.server_mut(ServerId(900)).expect("listed").concurrency;
    while origin.has_capacity(Micros(SECOND), false) {
        origin.reserve(false);
    }
}

/// The queue before a full origin is short, gives up the least worth at once, and serves the most first.
#[test]
fn the_queue_before_the_origin_holds_what_is_worth_most() {
    let mut b = balancer(settings(Idempotency::Idempotent, DeduplicationScope::All), &fleet(0));
    (0..8).for_each(|_| {
        b.endpoints
            .server_mut(ServerId(900))
            .expect("listed")
            .concurrency
            .on_response(Micros(SECOND), Micros(400_000))
    });
    fill_origin(&mut b);
    (0..60).for_each(|_| b.placement.on_read(Key(5)));
    let mut refused = vec![];
    for n in 0..30 {
        let one = Request { is_write: n == 7, ..request(n, SECOND, if n == 4 { 5 } else { 100 + n }) };
        let actions = step(&mut b, SECOND, Event::Request(one));
        refused.extend(actions.iter().filter_map(|a| match a {
            Action::Reject { id, .. } => Some(*id),
            _ => None,
        }));
    }
    assert!(b.origin_queue.len() < 12 && refused.len() + b.origin_queue.len() == 30, "given up at once");
    assert!(!refused.contains(&id(4)) && !refused.contains(&id(7)));
    b.endpoints.server_mut(ServerId(900)).expect("listed").concurrency = ConcurrencyLimit::new(3);
    let first = step(&mut b, SECOND + 1_000, outcome(999, 0, ServerId(900), AttemptResult::Served));
    let order: Vec<RequestId> = first
        .iter()
        .filter_map(|a| match a {
            Action::Send { id, .. } => Some(*id),
            _ => None,
        })
        .collect();
    assert_eq!(order[..2], [id(7), id(4)], "the write, then the read of the popular key");
}

/// A place that comes free goes to a waiting request, and one whose time to wait is over is refused.
#[test]
fn waiting_for_the_origin_ends_early() {
    let mut b = balancer(settings(Idempotency::Idempotent, DeduplicationScope::All), &fleet(0));
    fill_origin(&mut b);
    let actions = step(&mut b, SECOND, Event::Request(request(1, SECOND, 5)));
    let [Action::Timer { at, token }] = actions[..] else { panic!("{actions:?}") };
    assert!(at < Micros(SECOND + 125_000), "well before half of the time to its aim");
    let end = step(&mut b, at.0, Event::Timer(token));
    assert!(matches!(end[..], [Action::Reject { .. }]), "{end:?}");
    assert!(b.origin_queue.is_empty() && b.open_requests.is_empty() && b.open_requests.parked_len() == 0);
}

/// A read whose cache stands still is sent to the origin as well, a tenth of them and where the site
/// allows a second copy; the first answer serves it, and neither is sent a third time.
#[test]
fn a_second_copy_goes_to_the_origin_within_its_budget() {
    for (allowed, balancers, range) in [(true, 1, 31..=40), (true, 100, 121..=130), (false, 1, 0..=0)] {
        let mut settings = settings(Idempotency::Idempotent, DeduplicationScope::All);
        settings.limits.may_duplicate = allowed;
        settings.balancers = balancers;
        let mut b = balancer(settings, &fleet(20));
        let mut copies = 0;
        for n in 0..300 {
            let now = SECOND + n * SECOND;
            let actions = step(&mut b, now, Event::Request(request(n, now, n)));
            let to = sent(&actions).expect("sent");
            let timer = actions.iter().find_map(|a| match a {
                Action::Timer { at, token } => Some((at.0, *token)),
                _ => None,
            });
            assert_eq!(timer.is_some(), allowed);
            let (at, token) = timer.unwrap_or((now, 0));
            assert!(at < now + 250_000, "before its aim");
            if let Some(copy) = sent(&step(&mut b, at, Event::Timer(token))) {
                copies += 1;
                assert_eq!(copy, ServerId(900));
                let Event::AttemptCompleted(mut end) = outcome(n, 1, copy, AttemptResult::Served) else {
                    unreachable!()
                };
                end.request_closed = true;
                assert_eq!(step(&mut b, at + 50_000, Event::AttemptCompleted(end)), []);
            }
            let Event::AttemptCompleted(mut end) = outcome(n, 0, to, AttemptResult::Served) else {
                unreachable!()
            };
            end.request_closed = true;
            assert_eq!(step(&mut b, at + 60_000, Event::AttemptCompleted(end)), []);
        }
        assert!(range.contains(&copies), "{balancers} balancers: {copies} copies of 300");
        assert!(b.open_requests.is_empty());
    }
}

#[test]
fn connections_that_break_or_answers_that_fail_gap_nobody() {
    for (status, gaps) in
        [(AttemptResult::Reset, false), (AttemptResult::Error, false), (AttemptResult::Rejected, true)]
    {
        let mut b = balancer(settings(Idempotency::Idempotent, DeduplicationScope::All), &fleet(1));
        for n in 0..40 {
            let now = SECOND + n * 50_000;
            let server = sent(&step(&mut b, now, Event::Request(request(n, now, 7))));
            if server == Some(ServerId(0)) {
                step(&mut b, now + 10_000, outcome(n, 0, ServerId(0), status));
            }
        }
        let gap = &b.endpoints.server_mut(ServerId(0)).unwrap().gap;
        assert_eq!(gap.rung > 0, gaps, "{status:?}");
    }
}

#[test]
fn a_read_that_cache_gaps_hold_back_is_refused_only_by_the_origins_gap() {
    let mut b = balancer(settings(Idempotency::Idempotent, DeduplicationScope::All), &fleet(4));
    for server in b.endpoints.servers.iter_mut().filter(|s| s.endpoint.server != ServerId(900)) {
        server.gap = gapped(12);
    }
    let now = SECOND + 1;
    assert_eq!(sent(&step(&mut b, now, Event::Request(request(1, now, 7)))), Some(ServerId(900)));
    b.endpoints.server_mut(ServerId(900)).unwrap().gap = gapped(12);
    let held = step(&mut b, now, Event::Request(request(2, now, 8)));
    let timers: Vec<u64> = held
        .iter()
        .filter_map(|a| match a {
            Action::Timer { token, .. } => Some(*token),
            _ => None,
        })
        .collect();
    assert!(sent(&held).is_none() && timers.len() == 2, "it waits a moment for the gap: {held:?}");
    let end = step(&mut b, now + 100_000, Event::Timer(timers[0]));
    assert!(
        matches!(end[..], [Action::Reject { retry_after, .. }] if retry_after > Micros(0)),
        "and comes back when that is over: {end:?}"
    );
}

#[test]
fn a_limit_that_holds_says_which_it_is_and_none_says_nothing() {
    let mut b = balancer(settings(Idempotency::Idempotent, DeduplicationScope::All), &fleet(2));
    assert!(b.limits(Micros(SECOND)).servers.iter().all(|limit| limit.binding_limit().is_none()));
    fill_origin(&mut b);
    b.endpoints.server_mut(ServerId(1)).expect("listed").gap = gapped(9);
    step(&mut b, SECOND, Event::Request(Request { is_write: true, ..request(1, SECOND, 7) }));
    let limits = b.limits(Micros(SECOND + 1));
    let held: Vec<_> = limits
        .servers
        .iter()
        .map(|limit| (limit.server.0, limit.binding_limit().map(BindingLimit::label)))
        .collect();
    assert_eq!(held, [(0, None), (1, Some("gap")), (900, Some("places"))]);
    assert_eq!(limits.waiting_for_origin, 1);
}
