//! Tests of hedged requests, and of attempts without a response as evidence against their server.

use super::*;

/// A balancer that seldom sends to a server knows little about it: without a recent response, the request is
/// hedged sooner.
#[test]
fn request_to_a_server_without_a_recent_response_is_hedged_sooner() {
    let mut settings = idempotent_settings();
    settings.limits.may_duplicate = true;
    let mut balancer = new_balancer(settings, &endpoints(1));
    let mut hedge_delay = |n: u64, now: u64| {
        let sends = handle(&mut balancer, now, Event::Request(request(n, now, n)));
        let [Action::Send { server, .. }, Action::Timer { at, .. }] = sends[..] else { panic!("{sends:?}") };
        let end = completed_and_closed(n, 0, server, AttemptResult::Served);
        handle(&mut balancer, now + 20_000, end);
        at.0 - now
    };
    let (first, soon, later) =
        (hedge_delay(1, SECOND), hedge_delay(2, SECOND + 50_000), hedge_delay(3, 9 * SECOND));
    assert!(soon > 150_000 && later < 110_000 && first == later, "{first} {soon} {later}");
}

/// A server whose response is overdue is gapped when the hedging timer is due, unless all servers are as
/// slow.
#[test]
fn unresponsive_server_is_gapped_only_if_others_are_fast() {
    for (latency_of_others, is_gapped) in [(20_000, true), (150_000, false)] {
        let mut settings = idempotent_settings();
        settings.limits.may_duplicate = true;
        let mut balancer = new_balancer(settings, &endpoints(12));
        let mut now = 2 * SECOND;
        for n in 0..100 {
            now += 200_000;
            let sends = handle(&mut balancer, now, Event::Request(request(n, now, n)));
            let [Action::Send { server, .. }, ..] = sends[..] else { panic!("{sends:?}") };
            let ended = CompletedAttempt {
                latency: Micros(latency_of_others),
                is_request_closed: true,
                ..completed_attempt(n, 0, server, AttemptResult::Served)
            };
            handle(&mut balancer, now + latency_of_others, Event::AttemptCompleted(ended));
        }
        now += 200_000;
        let sends = handle(&mut balancer, now, Event::Request(request(500, now, 500)));
        let [Action::Send { server, .. }, Action::Timer { at, token }] = sends[..] else {
            panic!("{sends:?}")
        };
        handle(&mut balancer, at.0, Event::Timer(token));
        let limits = balancer.limits(at).servers;
        let limit = limits.iter().find(|limit| limit.server == server).expect("listed");
        assert_eq!(limit.gap > Micros(0), is_gapped, "others take {latency_of_others} µs");
    }
}

/// A read without a response from its cache server is also sent to the origin, within the budget and if the
/// site allows it. The first response serves the request, and no third attempt is sent.
#[test]
fn hedged_request_goes_to_the_origin_within_the_budget() {
    for (allowed, balancers, range) in [(true, 1, 31..=40), (true, 100, 121..=130), (false, 1, 0..=0)] {
        let mut settings = idempotent_settings();
        settings.limits.may_duplicate = allowed;
        settings.balancers = balancers;
        let mut balancer = new_balancer(settings, &endpoints(20));
        let mut hedged = 0;
        for n in 0..300 {
            let now = SECOND + n * SECOND;
            let actions = handle(&mut balancer, now, Event::Request(request(n, now, n)));
            let to = sent_to(&actions).expect("sent");
            let timer = actions.iter().find_map(|action| match action {
                Action::Timer { at, token } => Some((at.0, *token)),
                _ => None,
            });
            assert_eq!(timer.is_some(), allowed);
            let (at, token) = timer.unwrap_or((now, 0));
            assert!(at < now + 250_000, "the hedging timer must be due before the latency objective");
            if let Some(second) = sent_to(&handle(&mut balancer, at, Event::Timer(token))) {
                hedged += 1;
                assert_eq!(second, ORIGIN);
                let end = completed_and_closed(n, 1, second, AttemptResult::Served);
                assert_eq!(handle(&mut balancer, at + 50_000, end), []);
            }
            let end = completed_and_closed(n, 0, to, AttemptResult::Served);
            assert_eq!(handle(&mut balancer, at + 60_000, end), []);
        }
        assert!(range.contains(&hedged), "{balancers} balancers: {hedged} hedged of 300");
        assert!(balancer.open_requests.is_empty());
    }
}

/// A balancer with a write in flight at two servers, the two servers in the order of the sends, and the time
/// of the second send, which is the hedged request.
fn hedged_write() -> (Balancer, [ServerId; 2], u64) {
    let mut settings = idempotent_settings();
    settings.mode = CacheMode::ReadThrough;
    settings.limits.may_duplicate = true;
    let mut balancer = new_balancer(settings, &endpoints(12));
    let mut now = 2 * SECOND;
    let write = |n, now| Request { is_write: true, ..request(n, now, n) };
    for n in 0..100 {
        now += 200_000;
        let sends = handle(&mut balancer, now, Event::Request(write(n, now)));
        let server = sent_to(&sends).expect("the write must be sent");
        handle(&mut balancer, now + 20_000, completed_and_closed(n, 0, server, AttemptResult::Served));
    }
    now += 200_000;
    let sends = handle(&mut balancer, now, Event::Request(write(500, now)));
    let [Action::Send { server: first, .. }, Action::Timer { at, token }] = sends[..] else {
        panic!("{sends:?}")
    };
    let second =
        sent_to(&handle(&mut balancer, at.0, Event::Timer(token))).expect("the write must be hedged");
    (balancer, [first, second], at.0)
}

fn assert_nothing_reserved(balancer: &mut Balancer, servers: [ServerId; 2]) {
    for server in servers {
        let server = balancer.endpoints.server_mut(server).expect("listed");
        assert_eq!(server.concurrency.in_flight(), 0.0, "{:?}", server.endpoint.server);
    }
}

/// Guards against capacity that stays reserved forever for a write whose client disconnected while the write
/// was in flight at two servers.
#[test]
fn abandoned_write_with_a_hedged_request_in_flight_leaves_nothing_reserved() {
    let (mut balancer, servers, now) = hedged_write();
    handle(&mut balancer, now + 1_000, Event::RequestAbandoned(request_id(500)));
    for (attempt, server) in (0..).zip(servers) {
        handle(&mut balancer, now + 2_000, completed_and_closed(500, attempt, server, AttemptResult::Served));
    }
    assert_nothing_reserved(&mut balancer, servers);
}

/// Guards against capacity that stays reserved forever for a write in flight at two servers after one of them
/// has responded.
#[test]
fn write_that_one_of_two_servers_served_leaves_nothing_reserved() {
    for answers_first in [0, 1] {
        let (mut balancer, servers, now) = hedged_write();
        for attempt in [answers_first, 1 - answers_first] {
            let end = completed_and_closed(500, attempt as u32, servers[attempt], AttemptResult::Served);
            handle(&mut balancer, now + 2_000, end);
        }
        assert_nothing_reserved(&mut balancer, servers);
    }
}
