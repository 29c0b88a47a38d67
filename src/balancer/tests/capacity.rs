//! Measures the data path by number of balancers for docs/CAPACITY.md, in virtual time and seeded. The entry
//! points assert nothing and do not run in CI: each prints rows of comma-separated values.
//!
//! `cargo test --release -p juniperladder --locked capacity_ -- --ignored --nocapture --test-threads 1`

use std::collections::BTreeMap;

use super::simulation::{simulate_scaled, Outage, Scale, Scenario, SimulationResult, Slowdown};
use super::*;

const SIZES: [usize; 5] = [125, 250, 500, 1_000, 2_000];
const SEEDS: [u64; 3] = [1, 2, 3];
const CACHES: u64 = 12;
/// Requests per second from one balancer to one cache server at the peak: 1.3 million over 2,000 balancers
/// and 230 cache servers.
const PAIR_RATE: f64 = 2.8;
/// Utilisation of a cache server at the ordinary peak.
const UTILISATION: f64 = 0.5;
/// Requests per second that one worker of a cache server can serve: the base model has two workers for 20.
const WORKER_RATE: f64 = 10.0;

/// The scale of workers and keys that keeps the utilisation constant as the number of balancers grows.
fn scale(balancers: usize) -> Scale {
    let workers = balancers as f64 * PAIR_RATE / UTILISATION / WORKER_RATE;
    Scale { factor: (workers / 2.0).round() as u64, ..Scale::default() }
}

fn scenario(balancers: usize, seed: u64, seconds: u64) -> Scenario {
    let rate = balancers as f64 * CACHES as f64 * PAIR_RATE;
    Scenario {
        seed,
        balancers,
        caches: CACHES,
        rate,
        seconds,
        slow_origin: Slowdown::NONE,
        outage: Outage::NONE,
    }
}

/// Ratio of the highest to the mean load of the cache servers in this range of seconds.
fn peak_over_mean(result: &SimulationResult, from: usize, to: usize) -> f64 {
    let load = |cache: usize| result.cache_sends[from..to].iter().map(|second| second[cache]).sum::<f64>();
    let loads: Vec<f64> = (0..result.cache_sends[0].len()).map(load).collect();
    let mean = loads.iter().sum::<f64>() / loads.len() as f64;
    loads.into_iter().fold(0.0, f64::max) / mean
}

fn for_each_size_and_seed(mut row: impl FnMut(usize, u64)) {
    for balancers in SIZES {
        for seed in SEEDS {
            row(balancers, seed);
        }
    }
}

/// The ordinary peak: load spread over the cache servers, attempts and fetches per request.
#[test]
#[ignore = "measures for docs/CAPACITY.md, minutes in a release build"]
fn capacity_calm() {
    println!("balancers,seed,served,peak_over_mean,attempts_per_request,fetches_per_request");
    for_each_size_and_seed(|balancers, seed| {
        let result = simulate_scaled(scenario(balancers, seed, 10), scale(balancers));
        let requested: f64 = result.requested[..10].iter().sum();
        println!(
            "{balancers},{seed},{:.4},{:.3},{:.4},{:.4}",
            result.served_share(5, 10),
            peak_over_mean(&result, 5, 10),
            result.sends / requested,
            result.fetches.iter().sum::<f64>() / requested
        );
    });
}

/// The ordinary peak with 125 balancers, by number of cache servers: load spread over them.
#[test]
#[ignore = "measures for docs/CAPACITY.md, minutes in a release build"]
fn capacity_spread_by_servers() {
    const BALANCERS: usize = 125;
    println!("servers,seed,served,peak_over_mean,attempts_per_request");
    for caches in [12, 30, 60, 115, 230] {
        for seed in SEEDS {
            let rate = BALANCERS as f64 * caches as f64 * PAIR_RATE;
            let result =
                simulate_scaled(Scenario { caches, rate, ..scenario(BALANCERS, seed, 6) }, scale(BALANCERS));
            let requested: f64 = result.requested[..6].iter().sum();
            println!(
                "{caches},{seed},{:.4},{:.3},{:.4}",
                result.served_share(3, 6),
                peak_over_mean(&result, 3, 6),
                result.sends / requested
            );
        }
    }
}

/// One cache server has a tenth or a hundredth of its capacity from second 4 to 12: the ratio of its sends to
/// its capacity, in the first second and after four seconds.
#[test]
#[ignore = "measures for docs/CAPACITY.md, minutes in a release build"]
fn capacity_overloaded_server() {
    println!("times,balancers,seed,demand,first_second,settled,least,most,served,sends_per_balancer");
    for slowdown in [10.0, 100.0] {
        for_each_size_and_seed(|balancers, seed| overloaded_server(balancers, seed, slowdown));
    }
}

fn overloaded_server(balancers: usize, seed: u64, slowdown: f64) {
    let scale = Scale { slow_cache: Slowdown { from: 5, to: 13, factor: slowdown }, ..scale(balancers) };
    let result = simulate_scaled(scenario(balancers, seed, 12), scale);
    let capacity = scale.cache_rate() / slowdown;
    let load: Vec<f64> = (4..12).map(|second| result.cache_sends[second][1]).collect();
    let settled = load[4..].iter().sum::<f64>() / 4.0;
    let demand = result.cache_sends[..4].iter().map(|second| second[1]).sum::<f64>() / 4.0;
    println!(
        "{slowdown},{balancers},{seed},{:.2},{:.2},{:.2},{:.2},{:.2},{:.4},{:.3}",
        demand / capacity,
        load[0] / capacity,
        settled / capacity,
        load[4..].iter().copied().fold(f64::MAX, f64::min) / capacity,
        load[4..].iter().copied().fold(0.0, f64::max) / capacity,
        result.served_share(8, 12),
        settled / balancers as f64
    );
}

/// All cache servers receive twice the load that they can serve.
#[test]
#[ignore = "measures for docs/CAPACITY.md, minutes in a release build"]
fn capacity_overloaded_fleet() {
    println!("balancers,seed,admitted_over_capacity,useful_over_capacity,fetches_over_origin");
    for_each_size_and_seed(|balancers, seed| {
        let scale = scale(balancers);
        let base = scenario(balancers, seed, 10);
        let result = simulate_scaled(Scenario { rate: base.rate * 2.0 / UTILISATION, ..base }, scale);
        let capacity = CACHES as f64 * scale.cache_rate();
        // The origin has as many workers as all cache servers together and takes 1.5 times as long per
        // request.
        let origin_capacity = capacity / 1.5;
        let admitted = result.cache_sends[5..10].iter().flatten().sum::<f64>() / 5.0;
        let useful = result.served[5..10].iter().sum::<f64>() / 5.0;
        let fetches = result.fetches[5..10].iter().sum::<f64>() / 5.0;
        println!(
            "{balancers},{seed},{:.3},{:.3},{:.3}",
            admitted / capacity,
            useful / capacity,
            fetches / origin_capacity
        );
    });
}

/// Two cache servers of twelve do not respond for three seconds and restart: the peak of the sends in one
/// second relative to the capacity in slow start, and the peak excess over the tolerated load and random
/// variation.
#[test]
#[ignore = "measures for docs/CAPACITY.md, minutes in a release build"]
fn capacity_cold_server() {
    println!(
        "cold,balancers,seed,most_over_capacity,over_chance,served_meanwhile,sends_lost,lost_per_balancer"
    );
    for_each_size_and_seed(|balancers, seed| {
        let scenario =
            Scenario { outage: Outage { from: 4, to: 7, every: 6 }, ..scenario(balancers, seed, 14) };
        let result = simulate_scaled(scenario, scale(balancers));
        let lost: f64 = result.lost_sends.iter().sum();
        println!(
            "{balancers},{seed},{:.3},{:.1},{:.4},{lost:.0},{:.2}",
            result.peak_slow_start_load,
            result.excess_over_chance,
            result.served_share(3, 6),
            lost / balancers as f64
        );
    });
}

/// A discovery service that answers polls in order of arrival.
struct PollQueue {
    /// Time to answer one poll, in microseconds.
    service_time: u64,
    /// Time at which the service can start on the next poll.
    free_at: u64,
}

impl PollQueue {
    /// Longest wait before a poll times out, as in `node/src/discovery/timing.rs`.
    const MAX_WAIT_MICROS: u64 = 1_900_000;

    /// `Ok` with the time at which a poll that arrives now is answered, or `Err` with the time at which it
    /// times out.
    fn poll(&mut self, now: u64) -> Result<u64, u64> {
        let begin = self.free_at.max(now);
        if begin + self.service_time > now + Self::MAX_WAIT_MICROS {
            return Err(now + Self::MAX_WAIT_MICROS);
        }
        self.free_at = begin + self.service_time;
        Ok(self.free_at)
    }
}

/// 40% of the balancers start at once with a discovery service that answers polls in order of arrival: the
/// time until half, 99% and all of them have their list, and the number of polls.
#[test]
#[ignore = "measures for docs/CAPACITY.md"]
fn capacity_discovery_wave() {
    println!("balancers,seed,service_ms,callers,half_s,p99_s,all_s,calls,most_calls_in_a_second");
    for service_ms in [1, 5, 20, 100] {
        for_each_size_and_seed(|balancers, seed| discovery_wave(balancers, seed, service_ms));
    }
}

fn discovery_wave(balancers: usize, seed: u64, service_ms: u64) {
    let mut settings = idempotent_settings();
    settings.watches_discovery = true;
    settings.balancers = balancers as u32;
    let callers = balancers * 2 / 5;
    let mut starting: Vec<Balancer> =
        (0..callers as u64).map(|n| Balancer::new(settings.clone(), seed * 10_000 + n)).collect();
    let list = endpoints(6);
    // By time and balancer: true if the balancer's poll is due, false if its poll times out.
    let mut due = BTreeMap::new();
    let schedule = |due: &mut BTreeMap<(u64, usize), bool>, n: usize, actions: &[Action]| match actions {
        [Action::Timer { at, .. }] => due.insert((at.0, n), true),
        other => panic!("{other:?}"),
    };
    for (n, balancer) in starting.iter_mut().enumerate() {
        let actions = handle(balancer, SECOND, Event::EndpointsChanged(EndpointUpdate::Restored, &list));
        schedule(&mut due, n, &actions);
    }
    let mut queue = PollQueue { service_time: service_ms * 1_000, free_at: 0 };
    let (mut listed, mut polls) = (Vec::new(), BTreeMap::<u64, usize>::new());
    while let Some(((now, n), is_poll)) = due.pop_first() {
        if !is_poll {
            let actions =
                handle(&mut starting[n], now, Event::EndpointsChanged(EndpointUpdate::Unavailable, &[]));
            schedule(&mut due, n, &actions);
            continue;
        }
        if handle(&mut starting[n], now, Event::Timer(DISCOVERY_TIMER)) != [Action::WatchEndpoints] {
            continue;
        }
        *polls.entry(now / SECOND).or_default() += 1;
        match queue.poll(now) {
            Ok(at) => {
                handle(&mut starting[n], at, Event::EndpointsChanged(EndpointUpdate::Snapshot, &list));
                listed.push((at - SECOND) as f64 / 1e6);
            }
            Err(at) => {
                due.insert((at, n), false);
            }
        }
    }
    listed.sort_by(f64::total_cmp);
    println!(
        "{balancers},{seed},{service_ms},{callers},{:.2},{:.2},{:.2},{},{}",
        listed[callers / 2],
        listed[callers * 99 / 100],
        listed[callers - 1],
        polls.values().sum::<usize>(),
        polls.values().max().unwrap_or(&0)
    );
}
