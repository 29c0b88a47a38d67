//! Tests of the schedule of discovery polls: spread over a fleet, and within the poll interval.

use super::*;

#[test]
fn polls_are_spread_and_within_the_poll_interval() {
    let mut settings = idempotent_settings();
    settings.watches_discovery = true;
    let interval = settings.rules.discovery_poll_interval;
    let mut times = Vec::new();
    for seed in 0..50 {
        let mut balancer = Balancer::new(settings.clone(), seed);
        let first = handle(&mut balancer, 1, Event::EndpointsChanged(EndpointUpdate::Restored, &[]));
        let [Action::Timer { at, token }] = first[..] else { panic!("{first:?}") };
        assert_eq!(handle(&mut balancer, at.0, Event::Timer(token)), [Action::WatchEndpoints]);
        let again =
            handle(&mut balancer, at.0 + 1, Event::EndpointsChanged(EndpointUpdate::Unavailable, &[]));
        let [Action::Timer { at: retry, .. }] = again[..] else { panic!("{again:?}") };
        assert!(at < interval && retry - at < interval);
        times.push(at.0);
    }
    times.sort_unstable();
    times.dedup();
    assert!(times.len() > 45 && times[49.min(times.len() - 1)] - times[0] > 3 * SECOND);
}

/// Ninety balancers start at once with a discovery that answers ten polls a second and fails the others.
/// Guards against polls that are not spread out, and against balancers that wait long for their list.
#[test]
fn simultaneous_starts_do_not_overload_discovery() {
    const POLLS_PER_SECOND: usize = 10;
    let mut settings = idempotent_settings();
    settings.watches_discovery = true;
    let mut starting: Vec<Balancer> = (0..90).map(|seed| Balancer::new(settings.clone(), seed)).collect();
    let mut due: Vec<(u64, usize)> = Vec::new();
    let timer_of = |actions: &[Action]| match actions {
        [Action::Timer { at, .. }] => at.0,
        other => panic!("{other:?}"),
    };
    for (n, balancer) in starting.iter_mut().enumerate() {
        let restored = endpoints(6);
        let start = Event::EndpointsChanged(EndpointUpdate::Restored, &restored);
        due.push((timer_of(&handle(balancer, SECOND, start)), n));
    }
    let (mut polls, mut listed) = ([0; 64], 0);
    while let Some(next) = (0..due.len()).min_by_key(|at| due[*at]) {
        let (now, n) = due.swap_remove(next);
        assert_eq!(handle(&mut starting[n], now, Event::Timer(DISCOVERY_TIMER)), [Action::WatchEndpoints]);
        let second = &mut polls[(now / SECOND) as usize];
        *second += 1;
        if *second <= POLLS_PER_SECOND {
            listed += 1;
            handle(&mut starting[n], now, Event::EndpointsChanged(EndpointUpdate::Snapshot, &endpoints(6)));
        } else {
            let failure = Event::EndpointsChanged(EndpointUpdate::Unavailable, &[]);
            due.push((timer_of(&handle(&mut starting[n], now, failure)), n));
        }
    }
    assert_eq!(listed, 90);
    assert!(polls.iter().all(|n| *n <= 3 * POLLS_PER_SECOND), "{polls:?}");
    assert_eq!(
        polls[22..].iter().sum::<usize>(),
        0,
        "all balancers must have their list within 20 s: {polls:?}"
    );
}
