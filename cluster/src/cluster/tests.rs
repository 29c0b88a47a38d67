//! Coordination of two balancers that exchange packets, and packets that are dropped.

use juniperladder::ServerId;

use super::*;
use crate::failure_detector::FailureDetectorTerms;
use crate::rate_limit::{LeaseRequest, Message, RateLimitTerms};
use crate::retry_budget::RetryBudgetTerms;
use crate::slow_start_limit::SlowStartTerms;
use crate::virtual_network::times;

const TICK: Micros = Micros::from_millis(20);
const LIMIT: &str = "origin";

fn address(number: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1_000 + number))
}

fn new_balancer(number: u16, requests_per_s: u32) -> Cluster {
    let terms = RateLimitTerms {
        requests_per_s,
        arrival_spread: Micros::ZERO,
        owners: 2,
        lease_duration: Micros::from_secs(2),
        clock_drift: 0.001,
    };
    let config = ClusterConfig {
        address: address(number),
        incarnation: 1,
        position: u32::from(number),
        zone: 0,
        seeds: vec![address(0)],
        rate_limits: vec![NamedRateLimit { name: LIMIT.to_owned(), terms }],
        slow_start: Some(SlowStartTerms {
            rate_limit: terms,
            initial_share: 0.25,
            duration: Micros::from_secs(10),
        }),
        retry_budget: Some(RetryBudgetTerms {
            retries_per_first_attempt: 0.5,
            max_saved_credits: 20.0,
            holders: 2,
        }),
        failure_detector: Some(FailureDetectorTerms {
            min_reporters: 2,
            report_lifetime: Micros::from_secs(6),
            max_suspected_share: 0.5,
            trials_per_s: 1.0,
            clock_drift: 0.001,
        }),
        random_seed: u64::from(number),
    };
    Cluster::new(config, Micros::ZERO)
}

/// Ticks one balancer and delivers its packets to the other without delay.
fn tick_and_deliver(balancers: &mut [Cluster; 2], from: usize, now: Micros) {
    balancers[from].tick(now);
    for (_, bytes) in balancers[from].drain() {
        balancers[1 - from].on_packet(now, address(from as u16), &bytes);
    }
}

fn try_acquire_token(limit: &mut RateLimit, now: Micros) -> bool {
    let has_token = limit.wait_time(now).is_zero();
    if has_token {
        limit.acquire(now);
    } else {
        limit.on_rejected(now);
    }
    has_token
}

/// Runs two balancers for a number of seconds; the first has a demand of about six requests a second.
fn run(balancers: &mut [Cluster; 2], seconds: u64) {
    for now in times(Micros::ZERO, Micros::from_secs(seconds), TICK) {
        for from in 0..2 {
            tick_and_deliver(balancers, from, now);
        }
        if now.0 % 160_000 == 0 {
            try_acquire_token(balancers[0].rate_limit(LIMIT).unwrap(), now);
        }
    }
}

#[test]
fn tokens_are_leased_to_the_balancer_with_demand() {
    let mut balancers = [new_balancer(0, 8), new_balancer(1, 8)];
    run(&mut balancers, 8);
    let now = Micros::from_secs(8);
    let metrics = balancers[0].metrics(now);
    assert_eq!(metrics.members.alive, 2);
    assert_eq!(metrics.rate_limits[0].name, LIMIT);
    let limit = &metrics.rate_limits[0].metrics;
    assert!(limit.borrowed_tokens >= 2 && limit.usable_tokens >= 6, "{limit:?}");
    let other_limit = &balancers[1].metrics(now).rate_limits[0].metrics;
    assert_eq!(other_limit.leased_out_tokens, limit.borrowed_tokens);
    assert_eq!((metrics.dropped_packets, metrics.terms_mismatches), (0, 0));
}

#[test]
fn retry_credits_and_slow_start_tokens_reach_the_balancer_with_demand() {
    let mut balancers = [new_balancer(0, 8), new_balancer(1, 8)];
    run(&mut balancers, 8);
    let server = ServerIncarnation { server: ServerId(7), started: Micros::from_secs(4) };
    let mut acquired = 0;
    for now in times(Micros::from_secs(8), Micros::from_secs(12), TICK) {
        balancers[1].retry_budget().unwrap().on_first_attempt();
        let budget = balancers[0].retry_budget().unwrap();
        if budget.has_credit(now) {
            budget.acquire(now);
        } else {
            budget.on_rejected(now);
        }
        let SlowStartAccess::Limited(limit) = balancers[0].slow_start(server, now) else {
            panic!("the server in slow start has no limit")
        };
        acquired += usize::from(try_acquire_token(limit, now));
        if now.0 % 60_000 == 0 {
            for from in 0..2 {
                tick_and_deliver(&mut balancers, from, now);
            }
        }
    }
    let budget = balancers[0].metrics(Micros::from_secs(12)).retry_budget.unwrap();
    assert!(
        budget.retries > 10 && budget.first_attempts == 0,
        "the first balancer must retry on the credits of the second: {budget:?}"
    );
    // The limit grows from 4 to 6 tokens a second in these four seconds, about 20 in all. The balancer owns half of them, so
    // that it has to lease some of the others.
    assert!((15..=24).contains(&acquired), "{acquired} tokens");
}

#[test]
fn members_with_different_terms_do_not_lease_tokens() {
    let mut balancers = [new_balancer(0, 8), new_balancer(1, 9)];
    run(&mut balancers, 8);
    let metrics = balancers[1].metrics(Micros::from_secs(8));
    let leased_out = metrics.rate_limits[0].metrics.leased_out_tokens;
    assert!(metrics.terms_mismatches > 0 && leased_out == 0, "{metrics:?}");
    assert_eq!(metrics.members.alive, 2);
}

#[test]
fn packets_from_unknown_senders_and_malformed_packets_are_dropped_and_counted() {
    let mut balancer = new_balancer(0, 8);
    let now = Micros::from_secs(10);
    let unknown_sender = SocketAddr::from(([127, 0, 0, 1], 9));
    let request = Message::Request(LeaseRequest { incarnation: 1, sent: Micros(1), tokens: 4 });
    let message = CoordinationMessage {
        terms_digest: balancer.rate_limits[0].terms_digest,
        payload: Payload::RateLimit(0, request),
    };
    let packet = packet::encode_messages([(unknown_sender, message)]).remove(0).1;
    balancer.on_packet(now, unknown_sender, &packet);
    balancer.on_packet(now, unknown_sender, b"nonsense");
    let metrics = balancer.metrics(now);
    assert_eq!(metrics.dropped_packets, 2);
    assert_eq!(metrics.rate_limits[0].metrics.leased_out_tokens, 0);
}
