//! Simulations of many balancers, to find behaviour that is harmless in one balancer but not in a fleet.
//! Assertions are on sums over all balancers.

use super::simulation::{simulate, Outage, Scenario, SimulationResult, Slowdown};

const SIZES: [usize; 5] = [3, 12, 50, 100, 200];

/// The base scenario of the tests.
fn scenario(balancers: usize, outage: Outage) -> Scenario {
    let slow_origin = Slowdown::NONE;
    Scenario { seed: 5, balancers, caches: 24, rate: 240.0, seconds: 30, slow_origin, outage }
}

fn simulate_default(balancers: usize, outage: Outage) -> SimulationResult {
    simulate(scenario(balancers, outage))
}

fn sum(by_second: &[f64], from: usize, to: usize) -> f64 {
    by_second[from..to].iter().sum()
}

/// The same load over more balancers is served as well, and causes less than 1.35 times the requests to the
/// origin that it causes over three balancers.
#[test]
fn more_balancers_cost_no_more_for_the_same_load() {
    let few = simulate_default(3, Outage::NONE);
    for balancers in SIZES {
        let many = simulate_default(balancers, Outage::NONE);
        let (fetches, fetches_of_few) = (sum(&many.fetches, 5, 30), sum(&few.fetches, 5, 30));
        println!(
            "{balancers:4} balancers: {:.3} served, {:.1} fetches a second, {:.3} hits and {:.3} attempts a request",
            many.served_share(5, 30),
            fetches / 25.0,
            many.hits / sum(&many.requested, 0, 30),
            many.sends / sum(&many.requested, 0, 30)
        );
        assert!(many.served_share(5, 30) > 0.95, "{balancers}: {:.3}", many.served_share(5, 30));
        assert!(
            fetches < 1.35 * fetches_of_few,
            "{balancers}: {fetches} fetches, {fetches_of_few} with three balancers"
        );
    }
}

/// One cache server in six does not respond for ten seconds, while each balancer sends to it only once in
/// several seconds. Guards against an unresponsive server that keeps its whole share of the attempts, so that
/// requests are not served, and against its overload after the restart.
#[test]
fn unresponsive_server_with_few_sends_per_balancer_is_avoided_and_recovers() {
    for balancers in SIZES {
        let result = simulate_default(balancers, Outage { from: 8, to: 18, every: 6 });
        let expected_sends = 4.0 / 24.0 * sum(&result.requested, 11, 17);
        let retained_share = sum(&result.lost_sends, 11, 17) / expected_sends;
        println!(
            "{balancers:4} balancers: unresponsive servers still get {retained_share:.2} of their share, {:.3} served, {:.3} after the restart, restarted server at {:.2} of its capacity",
            result.served_share(11, 17),
            result.served_share(22, 30),
            result.peak_slow_start_load
        );
        // Each of 200 balancers sends to a server once in 20 s: hedged requests serve the clients before the
        // balancers can detect the failure.
        assert!(
            retained_share < 0.75 || balancers > 100,
            "{balancers}: unresponsive servers still get {retained_share:.2} of their share"
        );
        assert!(
            result.served_share(11, 17) > 0.97,
            "{balancers}: {:.3} served during the outage",
            result.served_share(11, 17)
        );
        assert!(
            result.served_share(22, 30) > 0.97,
            "{balancers}: {:.3} served after the restart",
            result.served_share(22, 30)
        );
        assert!(
            result.peak_slow_start_load < 4.0,
            "{balancers}: a restarted server got {:.2} times its capacity",
            result.peak_slow_start_load
        );
    }
}

/// Guards against overload of servers that restart at peak load: with 3 to 300 balancers, the sends of all
/// balancers together, including retries and hedged requests, must not exceed 1.5 times a server's capacity
/// at that time (sites tolerate three or four times) plus random variation.
#[test]
fn all_balancers_together_do_not_overload_a_restarted_server() {
    for balancers in [3, 30, 300] {
        for seed in [5, 6, 7] {
            let outage = Outage { from: 6, to: 9, every: 6 };
            let result = simulate(Scenario { seed, rate: 360.0, seconds: 19, ..scenario(balancers, outage) });
            println!(
                "{balancers:4} balancers: restarted server at {:.2} of its capacity, excess {:.1}",
                result.peak_slow_start_load, result.excess_over_chance
            );
            assert!(
                result.peak_slow_start_load > 0.2,
                "{balancers}: the restarted server gets hardly any sends"
            );
            assert!(
                result.excess_over_chance <= 0.0,
                "{balancers}, seed {seed}: {:.1} sends above the tolerated load",
                result.excess_over_chance
            );
        }
    }
}

/// Requests exceed the capacity of all cache servers, with few or many balancers: the excess is rejected and
/// the rest is served.
#[test]
fn overloaded_fleet_sheds_the_excess_and_serves_the_rest() {
    for (balancers, min_served) in [(3, 300.0), (12, 250.0), (100, 80.0)] {
        let result = simulate(Scenario { rate: 1000.0, seconds: 20, ..scenario(balancers, Outage::NONE) });
        let served = sum(&result.served, 5, 20) / 15.0;
        println!("{balancers:4} balancers: {served:.0} a second served of 1000 requested, capacity 480");
        assert!(served > min_served, "{balancers}: {served:.0} a second served");
    }
}

/// Half of the cache servers do not respond for four seconds and restart empty, while balancers receive the
/// updated list up to two seconds apart. Guards against overload of a restarted server by balancers with the
/// old and the new list together, and against requests that are not served meanwhile.
#[test]
fn restart_of_half_the_servers_with_differing_lists_overloads_no_server() {
    for balancers in SIZES {
        let result = simulate_default(balancers, Outage { from: 8, to: 12, every: 2 });
        let max_fetches = result.fetches.iter().fold(0.0, |a: f64, b| a.max(*b));
        println!(
            "{balancers:4} balancers: {:.3} served, {:.3} after the restart, restarted server at {:.2} of its capacity, {max_fetches} fetches at most in a second",
            result.served_share(8, 14),
            result.served_share(20, 30),
            result.peak_slow_start_load
        );
        assert!(
            result.peak_slow_start_load < 4.0,
            "{balancers}: a restarted server got {:.2} times its capacity",
            result.peak_slow_start_load
        );
        assert!(
            result.served_share(8, 14) > 0.8,
            "{balancers}: {:.3} served during the outage",
            result.served_share(8, 14)
        );
        assert!(
            result.served_share(20, 30) > 0.97,
            "{balancers}: {:.3} served after the restart",
            result.served_share(20, 30)
        );
        // The origin can serve 320 a second and fails at 2.5 times that rate.
        assert!(max_fetches < 2.0 * 320.0, "{balancers}: {max_fetches} fetches in a second");
    }
}
