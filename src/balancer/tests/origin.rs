//! Tests of the origin's gap, concurrency limit and queue.

use super::*;

/// Guards against a gap at the origin of ten times the longest deadline, which one of 300 balancers once had
/// after connection failures. No other server can take the origin's requests, so a write must be sent at
/// intervals of at most the longest deadline, to find that the origin has recovered.
#[test]
fn unreachable_origin_is_retried_within_the_longest_deadline() {
    let mut settings = settings(Idempotency::WithIdempotencyKey, DeduplicationScope::All);
    settings.balancers = 300;
    let mut balancer = new_balancer(settings, &endpoints(3));
    let (mut now, mut last) = (SECOND, 0);
    let mut longest = 0;
    for n in 0..600 {
        now += 50_000;
        let write = Request { is_write: true, ..request(n, now, n) };
        if let Some(server) = sent_to(&handle(&mut balancer, now, Event::Request(write))) {
            longest = longest.max(now - last);
            last = now;
            let end = completed_and_closed(n, 0, server, AttemptResult::ConnectFailed);
            handle(&mut balancer, now + 1, end);
        }
    }
    assert!(longest < SECOND + 200_000 && now - last < SECOND + 200_000, "{longest} µs without an attempt");
}

/// The queue for an origin without capacity is short, preempts the lowest priority at once, and sends the
/// highest priority first.
#[test]
fn queue_keeps_and_serves_the_highest_priorities() {
    let mut balancer = new_balancer(idempotent_settings(), &endpoints(0));
    let origin = &mut balancer.endpoints.server_mut(ORIGIN).expect("listed").concurrency;
    for _ in 0..8 {
        origin.on_response(Micros(SECOND), Micros(400_000));
    }
    fill_origin(&mut balancer);
    for _ in 0..60 {
        balancer.placement.on_read(Key(5));
    }
    let mut rejected = vec![];
    for n in 0..30 {
        let key = if n == 4 { 5 } else { 100 + n };
        let request = Request { is_write: n == 7, ..request(n, SECOND, key) };
        let actions = handle(&mut balancer, SECOND, Event::Request(request));
        rejected.extend(actions.iter().filter_map(|action| match action {
            Action::Reject { id, .. } => Some(*id),
            _ => None,
        }));
    }
    let waiting = balancer.origin_queue.len();
    assert!(
        waiting < 12 && rejected.len() + waiting == 30,
        "requests of low priority must be rejected at once"
    );
    assert!(!rejected.contains(&request_id(4)) && !rejected.contains(&request_id(7)));
    balancer.endpoints.server_mut(ORIGIN).expect("listed").concurrency = ConcurrencyLimit::new(3);
    let actions = handle(&mut balancer, SECOND + 1_000, completed(999, 0, ORIGIN, AttemptResult::Served));
    let order: Vec<RequestId> = actions
        .iter()
        .filter_map(|action| match action {
            Action::Send { id, .. } => Some(*id),
            _ => None,
        })
        .collect();
    assert_eq!(
        order[..2],
        [request_id(7), request_id(4)],
        "the write must be sent first, then the read of the popular key"
    );
}

/// A request that has waited for its maximum time is rejected while its client can still retry elsewhere.
#[test]
fn queued_request_is_rejected_before_its_objective() {
    let mut balancer = new_balancer(idempotent_settings(), &endpoints(0));
    fill_origin(&mut balancer);
    let actions = handle(&mut balancer, SECOND, Event::Request(request(1, SECOND, 5)));
    let [Action::Timer { at, token }] = actions[..] else { panic!("{actions:?}") };
    assert!(
        at < Micros(SECOND + 125_000),
        "the wait must end well before half of the time to the latency objective"
    );
    let end = handle(&mut balancer, at.0, Event::Timer(token));
    assert!(matches!(end[..], [Action::Reject { .. }]), "{end:?}");
    assert!(balancer.origin_queue.is_empty());
    assert!(balancer.open_requests.is_empty() && balancer.open_requests.parked_len() == 0);
}

#[test]
fn read_gapped_at_all_caches_is_rejected_only_if_the_origin_is_gapped() {
    let mut balancer = new_balancer(idempotent_settings(), &endpoints(4));
    for server in balancer.endpoints.servers.iter_mut().filter(|server| server.endpoint.server != ORIGIN) {
        server.gap = active_gap(12);
    }
    let now = SECOND + 1;
    assert_eq!(sent_to(&handle(&mut balancer, now, Event::Request(request(1, now, 7)))), Some(ORIGIN));
    balancer.endpoints.server_mut(ORIGIN).unwrap().gap = active_gap(12);
    let actions = handle(&mut balancer, now, Event::Request(request(2, now, 8)));
    let timers: Vec<u64> = actions
        .iter()
        .filter_map(|action| match action {
            Action::Timer { token, .. } => Some(*token),
            _ => None,
        })
        .collect();
    assert!(
        sent_to(&actions).is_none() && timers.len() == 2,
        "the request must wait for the gap: {actions:?}"
    );
    let end = handle(&mut balancer, now + 100_000, Event::Timer(timers[0]));
    assert!(
        matches!(end[..], [Action::Reject { retry_after, .. }] if retry_after > Micros(0)),
        "the request must be rejected with a Retry-After: {end:?}"
    );
}
