//! The fleet in miniature: what many balancers do together that is harmless in one. Sums over all of them are
//! asserted, in virtual time, seeded.

use super::miniature::{play_fleet, Day, Plan};
use super::*;

const SIZES: [usize; 5] = [3, 12, 50, 100, 200];

fn day(balancers: usize, silent: (u64, u64, u64)) -> Day {
    play_fleet(Plan { seed: 5, balancers, caches: 24, rate: 240.0, seconds: 30, slow: (0, 0, 1.0), silent })
}

fn sum(of: &[f64], from: usize, to: usize) -> f64 {
    of[from..to].iter().sum()
}

/// The same load by more balancers costs the origin and the caches no more, and is served as well.
#[test]
fn the_same_load_costs_no_more_by_more_balancers() {
    let few = day(3, (0, 0, 1));
    for balancers in SIZES {
        let many = day(balancers, (0, 0, 1));
        let (fetches, before) = (sum(&many.fetches, 5, 30), sum(&few.fetches, 5, 30));
        println!(
            "{balancers:4} balancers: {:.3} served, {:.1} fetches a second, {:.3} hits and {:.3} attempts a command",
            many.share(5, 30),
            fetches / 25.0,
            many.hits / sum(&many.asked, 0, 30),
            many.attempts / sum(&many.asked, 0, 30)
        );
        assert!(many.share(5, 30) > 0.95, "{balancers}: {:.3}", many.share(5, 30));
        assert!(fetches < 1.35 * before, "{balancers}: {fetches} fetches, {before} by three");
    }
}

/// One cache in six answers nothing for ten seconds, and each balancer meets it once in seconds: it loses its
/// share of the sends, most commands are served all the same, and it is not pushed over when it is back, cold.
#[test]
fn a_silent_host_that_each_balancer_meets_seldom_is_left_and_comes_back() {
    for balancers in SIZES {
        let day = day(balancers, (8, 18, 6));
        let share = 4.0 / 24.0 * sum(&day.asked, 11, 17);
        let lost = sum(&day.lost, 11, 17) / share;
        println!(
            "{balancers:4} balancers: {lost:.2} of its share lost, {:.3} served, {:.3} after, cold host at {:.2}",
            day.share(11, 17),
            day.share(22, 30),
            day.pushed
        );
        // Two hundred meet a host once in 20 s each: copies serve while none can have learnt.
        assert!(
            lost < 0.75 || balancers > 100,
            "{balancers}: {lost:.2} of a silent host's share still goes there"
        );
        assert!(day.share(11, 17) > 0.97, "{balancers}: {:.3} served meanwhile", day.share(11, 17));
        assert!(day.share(22, 30) > 0.97, "{balancers}: {:.3} served after", day.share(22, 30));
        assert!(day.pushed < 4.0, "{balancers}: a cold host was sent {:.2} times what it can do", day.pushed);
    }
}

/// Hosts that come back cold under a busy day's load bear what all balancers together send: no more than 1.5 times
/// what they can do then (sites bear three or four times), and what chance adds to that, whether three send or three hundred, with retries and second copies counted.
#[test]
fn a_cold_host_is_ramped_by_all_balancers_together() {
    for balancers in [3, 30, 300] {
        for seed in [5, 6, 7] {
            let (slow, silent) = ((0, 0, 1.0), (6, 9, 6));
            let plan = Plan { seed, balancers, caches: 24, rate: 360.0, seconds: 19, slow, silent };
            let day = play_fleet(plan);
            println!("{balancers:4} balancers: cold host at {:.2}, {:.1} over", day.pushed, day.over_chance);
            assert!(day.pushed > 0.2, "{balancers}: it is sent something");
            assert!(day.over_chance <= 0.0, "{balancers}, seed {seed}: {:.1} sends over", day.over_chance);
        }
    }
}

/// More than all caches can do, by few or by many balancers: what is over is turned away and the rest is served.
#[test]
fn overload_by_many_balancers_costs_no_more_than_what_is_over() {
    for (balancers, least) in [(3, 300.0), (12, 250.0), (100, 80.0)] {
        let silent = (0, 0, 1);
        let plan =
            Plan { seed: 5, balancers, caches: 24, rate: 1000.0, seconds: 20, slow: (0, 0, 1.0), silent };
        let day = play_fleet(plan);
        let served = sum(&day.served, 5, 20) / 15.0;
        println!("{balancers:4} balancers: {served:.0} a second served of 1000 asked for, 480 can be");
        assert!(served > least, "{balancers}: {served:.0} a second served");
    }
}

/// A zone that is lost as a whole is found by a few ends there, not by each of its hosts in turn; while all zones
/// fail alike none is passed by; and it is back after a few answers.
#[test]
fn a_zone_is_lost_and_found_as_a_whole() {
    let mut zones = ZoneHealth::default();
    for _ in 0..12 {
        (0..2).for_each(|zone| zones.on_attempt_completed(zone, true));
    }
    assert_eq!(zones.excess_rejection_rate(0), 0.0, "all fail alike");
    (0..12).for_each(|_| zones.on_attempt_completed(1, false));
    assert!(
        zones.excess_rejection_rate(0) > 0.9
            && zones.excess_rejection_rate(1) == 0.0
            && zones.excess_rejection_rate(7) == 0.0
    );
    (0..5).for_each(|_| zones.on_attempt_completed(0, false));
    assert!(zones.excess_rejection_rate(0) < UNHEALTHY_EXCESS_RATE, "{}", zones.excess_rejection_rate(0));

    let mut b = balancer(settings(Idempotency::Idempotent, DeduplicationScope::All), &fleet(24));
    let (mut even, mut all) = (0, 0);
    for n in 0..200 {
        (0..12).for_each(|n| b.zones.on_attempt_completed(n % 2, n % 2 == 0));
        let now = SECOND + n * 200_000;
        let to = sent(&step(&mut b, now, Event::Request(request(n, now, n)))).expect("sent");
        all += u32::from(to.0 != 900);
        even += u32::from(to.0 != 900 && to.0.is_multiple_of(2));
        let Event::AttemptCompleted(mut end) = outcome(n, 0, to, AttemptResult::Served) else {
            unreachable!()
        };
        end.request_closed = true;
        step(&mut b, now + 1_000, Event::AttemptCompleted(end));
    }
    assert!(even * 4 < all, "{even} of {all} to a zone of which every end was lost");
}

/// However long a zone was lost, one send in twenty still goes there: it is found again as soon as it is back.
#[test]
fn a_zone_that_was_lost_for_long_is_still_probed() {
    let mut b = balancer(settings(Idempotency::Idempotent, DeduplicationScope::All), &fleet(24));
    let mut probes = 0;
    for n in 0..2000 {
        (0..400).for_each(|n| b.zones.on_attempt_completed(n % 2, n % 2 == 0));
        let now = SECOND + n * 200_000;
        let to = sent(&step(&mut b, now, Event::Request(request(n, now, n)))).expect("sent");
        probes += u32::from(to.0 != 900 && to.0.is_multiple_of(2));
        let Event::AttemptCompleted(mut end) = outcome(n, 0, to, AttemptResult::Served) else {
            unreachable!()
        };
        end.request_closed = true;
        step(&mut b, now + 1_000, Event::AttemptCompleted(end));
    }
    assert!(probes > 25, "{probes} sends of 2000 to a zone of which every end was lost");
}

/// A hot key is read where the way is short: its homes in the balancer's own zone come first.
#[test]
fn a_hot_keys_own_zone_comes_first() {
    let homes = |zone: u32| {
        let mut b = balancer(
            Settings { zone, ..settings(Idempotency::Idempotent, DeduplicationScope::All) },
            &fleet(24),
        );
        (0..400).for_each(|_| b.placement.on_read(Key(7)));
        let homes = b.placement.rank(Key(7), Micros(SECOND), &b.endpoints.servers, &b.settings);
        let zones: Vec<u32> = b.placement.candidates[..homes]
            .iter()
            .map(|owner| b.endpoints.servers[owner.server].endpoint.zone)
            .collect();
        assert!(zones.len() > 2 && zones[0] == zone, "{zones:?}");
        b.placement.candidates[..homes]
            .iter()
            .map(|owner| owner.server)
            .collect::<std::collections::BTreeSet<_>>()
    };
    assert_eq!(homes(0), homes(1), "they are the same hosts for all");
}

/// Nine in ten balancers start at once before a discovery that answers ten calls a second and fails the rest:
/// the calls come spread out, and all have their list soon.
#[test]
fn a_herd_does_not_bury_discovery() {
    const CAN: usize = 10;
    let mut one = settings(Idempotency::Idempotent, DeduplicationScope::All);
    one.subscribe = true;
    let mut herd: Vec<Balancer> = (0..90).map(|seed| Balancer::new(one.clone(), seed)).collect();
    let mut due: Vec<(u64, usize)> = Vec::new();
    let timer = |actions: &[Action]| match actions {
        [Action::Timer { at, .. }] => at.0,
        other => panic!("{other:?}"),
    };
    for (n, b) in herd.iter_mut().enumerate() {
        due.push((timer(&step(b, SECOND, Event::EndpointsChanged(EndpointUpdate::Restored, &fleet(6)))), n));
    }
    let (mut calls, mut listed) = ([0; 64], 0);
    while let Some(next) = (0..due.len()).min_by_key(|at| due[*at]) {
        let (now, n) = due.swap_remove(next);
        assert_eq!(step(&mut herd[n], now, Event::Timer(DISCOVERY_TIMER)), [Action::WatchEndpoints]);
        let second = &mut calls[(now / SECOND) as usize];
        *second += 1;
        if *second <= CAN {
            listed += 1;
            step(&mut herd[n], now, Event::EndpointsChanged(EndpointUpdate::Snapshot, &fleet(6)));
        } else {
            due.push((
                timer(&step(&mut herd[n], now, Event::EndpointsChanged(EndpointUpdate::Unavailable, &[]))),
                n,
            ));
        }
    }
    assert_eq!(listed, 90);
    assert!(calls.iter().all(|n| *n <= 3 * CAN), "{calls:?}");
    assert_eq!(calls[22..].iter().sum::<usize>(), 0, "all have their list in 20 s: {calls:?}");
}

/// Lists as discovery may hand them out: none, one, very many, one name twice. Each is decided on.
#[test]
fn lists_of_any_size_are_decided_on() {
    let twice = [fleet(3), fleet(3)].concat();
    for (list, listed) in [(vec![], 0), (fleet(0), 1), (fleet(10_000), 10_000), (twice, 4)] {
        let mut b = balancer(settings(Idempotency::Idempotent, DeduplicationScope::All), &list);
        assert_eq!(b.limits(Micros(SECOND)).servers.len(), listed);
        let actions = step(&mut b, SECOND, Event::Request(request(1, SECOND, 7)));
        assert_eq!(sent(&actions).is_some(), listed > 0, "{listed} listed: {actions:?}");
    }
}

/// Settings that make no sense have sound defaults, and nothing is divided by nothing.
#[test]
fn settings_without_sense_are_decided_on() {
    for (balancers, cold) in [(0, 0.0), (u32::MAX, f64::NAN), (1, f64::INFINITY)] {
        let mut odd = settings(Idempotency::Idempotent, DeduplicationScope::All);
        (odd.balancers, odd.rules.slow_start_initial_share, odd.rules.slow_start_duration) =
            (balancers, cold, Micros(0));
        odd.classes.clear();
        let mut b = balancer(odd, &fleet(3));
        for n in 0..50 {
            let now = SECOND + n * 10_000;
            let to = sent(&step(&mut b, now, Event::Request(request(n, now, n)))).expect("sent");
            step(&mut b, now + 5_000, outcome(n, 0, to, AttemptResult::Timeout));
        }
        assert!(b.open_requests.is_empty());
    }
}

/// Half of the caches are gone for four seconds and come back cold, while lists are up to two seconds apart between
/// balancers: those who know and those who do not together push no cold host over, and the day goes on.
#[test]
fn half_of_the_hosts_come_back_cold_while_lists_disagree() {
    for balancers in SIZES {
        let day = day(balancers, (8, 12, 2));
        let most = day.fetches.iter().fold(0.0, |a: f64, b| a.max(*b));
        println!(
            "{balancers:4} balancers: {:.3} served, {:.3} after, cold host at {:.2}, {most} fetches at most in a second",
            day.share(8, 14),
            day.share(20, 30),
            day.pushed
        );
        assert!(day.pushed < 4.0, "{balancers}: a cold host was sent {:.2} times what it can do", day.pushed);
        assert!(day.share(8, 14) > 0.8, "{balancers}: {:.3} served meanwhile", day.share(8, 14));
        assert!(day.share(20, 30) > 0.97, "{balancers}: {:.3} served after", day.share(20, 30));
        // The origin can do 320 a second and falls at 2.5 times that.
        assert!(most < 2.0 * 320.0, "{balancers}: {most} fetches in a second");
    }
}
