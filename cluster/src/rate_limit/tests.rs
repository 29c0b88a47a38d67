//! The rate bound in random fleets with faults, and the distribution of tokens by demand.

mod fleet;

use super::*;
use crate::virtual_network::Conditions;
use fleet::{
    random_scenario, run_fleet, terms, RunResult, Scenario, FAULT_FREE_SCENARIO, LOSSLESS_CONDITIONS,
};

/// The number of random scenarios in which the limit is checked; injected defects get ten times as many.
const SCENARIOS: u64 = 2_000;

#[test]
fn limit_is_not_exceeded_in_random_fleets_with_faults() {
    let mut begun = 0;
    for seed in 0..SCENARIOS {
        let scenario = random_scenario(seed);
        let result = run_fleet(seed, scenario);
        assert!(
            result.max_arrived <= terms(&scenario).total_tokens() as usize,
            "seed {seed}: {} requests arrived within a second at a limit of {}: {scenario:?}",
            result.max_arrived,
            scenario.requests_per_s
        );
        begun += result.begun.len();
    }
    assert!(begun > 100_000, "too few requests began to test the limits: {begun}");
}

/// Guards against checks that would miss an error: each injected defect has to violate the bound in some random scenario.
#[test]
fn injected_defects_are_detected() {
    let defects =
        [Defect::LeaseFromReceipt, Defect::OutdatedRequestsApplied, Defect::RequestIncarnationIgnored]
            .map(Some);
    let defect_cases = defects.into_iter().map(|defect| (defect, false));
    for (defect, skips_start_wait) in defect_cases.chain([(None, true)]) {
        let detected_by = (0..10 * SCENARIOS).find(|seed| {
            let scenario = Scenario { defect, skips_start_wait, ..random_scenario(*seed) };
            run_fleet(*seed, scenario).max_arrived > terms(&scenario).total_tokens() as usize
        });
        println!("{defect:?}, skips the wait at start: {skips_start_wait}; detected by seed {detected_by:?}");
        assert!(
            detected_by.is_some(),
            "{defect:?}, skips the wait at start: {skips_start_wait}; not detected"
        );
    }
}

/// The share of the limit that was used from one second of a run to another.
fn used_share(result: &RunResult, scenario: &Scenario, from_s: u64, to_s: u64) -> f64 {
    let during = Micros::from_secs(from_s)..Micros::from_secs(to_s);
    let begun = result.begun.iter().filter(|(at, _)| during.contains(at)).count();
    begun as f64 / (f64::from(scenario.requests_per_s) * (to_s - from_s) as f64)
}

/// Guards against a token window without the arrival spread: if travel times of requests differ, tokens for one second let more
/// requests arrive within a second than the limit.
#[test]
fn window_without_arrival_spread_exceeds_the_limit() {
    let scenario = Scenario {
        arrival_spread: Micros::from_millis(100),
        requests_per_s: 20,
        demand_per_s: 60.0,
        ..FAULT_FREE_SCENARIO
    };
    let exceeding_runs = |scenario: Scenario| {
        let exceeds = |arrived: usize| arrived as f64 > 1.1 * f64::from(scenario.requests_per_s);
        (0..20).filter(|seed| exceeds(run_fleet(*seed, scenario).max_arrived)).count()
    };
    assert_eq!(exceeding_runs(scenario), 0);
    assert!(exceeding_runs(Scenario { ignores_arrival_spread: true, ..scenario }) > 0);
}

/// Guards against unused tokens under uneven demand. The demand is twice the limit, and four fifths of it come to one fifth
/// of the members.
#[test]
fn tokens_follow_an_uneven_demand() {
    let scenario = Scenario {
        members: 50,
        owners: 50,
        requests_per_s: 200,
        demand_per_s: 400.0,
        uneven_share: 0.75,
        ..FAULT_FREE_SCENARIO
    };
    let result = run_fleet(1, scenario);
    let used = used_share(&result, &scenario, 4, 20);
    println!("used share {used}, {} packets a second a member", result.packets as f64 / 20.0 / 50.0);
    assert!(used > 0.85, "used share {used}");
    let conditions = Conditions {
        loss_ratio: 0.3,
        duplicate_ratio: 0.05,
        max_jitter: Micros::from_millis(50),
        ..LOSSLESS_CONDITIONS
    };
    let lossy = Scenario { conditions, ..scenario };
    let used = used_share(&run_fleet(1, lossy), &lossy, 4, 20);
    assert!(used > 0.8, "used share with loss {used}");
}

#[test]
fn isolated_member_uses_its_own_tokens() {
    let conditions = Conditions { loss_ratio: 1.0, ..LOSSLESS_CONDITIONS };
    let scenario = Scenario { conditions, requests_per_s: 40, demand_per_s: 200.0, ..FAULT_FREE_SCENARIO };
    let result = run_fleet(1, scenario);
    for member in 0..10 {
        let own = result.begun.iter().filter(|(_, by)| *by == member).count() as f64 / 20.0;
        assert!((3.5..=4.0).contains(&own), "member {member} used {own} of 4 tokens a second");
    }
}

#[test]
fn all_tokens_are_divided_evenly_among_the_owners() {
    for (requests_per_s, owners) in [(400, 300), (7, 3), (3, 7), (1, 1), (600, 100)] {
        let terms = RateLimitTerms {
            requests_per_s,
            arrival_spread: Micros::ZERO,
            owners,
            lease_duration: Micros::SECOND,
            clock_drift: 0.0,
        };
        let owned: Vec<u32> = (0..2 * owners).map(|position| terms.owned_tokens(position)).collect();
        assert_eq!(owned.iter().sum::<u32>(), requests_per_s);
        let (owners_tokens, others_tokens) = owned.split_at(owners as usize);
        let least = owners_tokens.iter().min().unwrap();
        let most = owned.iter().max().unwrap();
        assert!(most - least <= 1 && others_tokens.iter().all(|tokens| *tokens == 0));
    }
}

/// Prints the use of a limit and the packets sent under a demand of twice the limit, four fifths of which come to a fifth of
/// the members, and then the share of rejected requests under a demand below the limit. Run manually with `cargo test --release
/// -p juniperladder-cluster rate_limit_tables -- --ignored --nocapture`.
#[test]
#[ignore = "prints tables; run manually"]
fn rate_limit_tables() {
    print_use_under_shortage();
    print_rejections_with_enough_tokens();
}

fn print_use_under_shortage() {
    println!(
        "{:>8} {:>6} {:>5}  {:>22}  packets a second a member",
        "members", "limit", "loss", "use, three seeds"
    );
    for (members, requests_per_s) in [(10, 40), (50, 200), (100, 300), (100, 600), (300, 600), (500, 1_000)] {
        for loss_ratio in [0.0, 0.3] {
            let scenario = Scenario {
                members,
                owners: members as u32,
                requests_per_s,
                demand_per_s: 2.0 * f64::from(requests_per_s),
                uneven_share: 0.75,
                conditions: Conditions {
                    loss_ratio,
                    max_jitter: Micros::from_millis(25),
                    ..LOSSLESS_CONDITIONS
                },
                ..FAULT_FREE_SCENARIO
            };
            let results: Vec<RunResult> = (1..4).map(|seed| run_fleet(seed, scenario)).collect();
            let used: Vec<String> =
                results.iter().map(|result| format!("{:.3}", used_share(result, &scenario, 4, 20))).collect();
            let total = terms(&scenario).total_tokens() as usize;
            assert!(results.iter().all(|result| result.max_arrived <= total));
            let packets = results[0].packets as f64 / scenario.seconds as f64 / members as f64;
            println!(
                "{members:>8} {requests_per_s:>6} {loss_ratio:>5}  {:>22}  {packets:.1}",
                used.join(" ")
            );
        }
    }
}

/// Prints the share of requests that are rejected although the demand is below the limit, because each member has few tokens.
fn print_rejections_with_enough_tokens() {
    for (demand_share, uneven_share) in [(0.5, 0.0), (0.7, 0.0), (0.9, 0.0), (0.5, 0.5), (0.7, 0.5)] {
        let scenario = Scenario {
            members: 100,
            owners: 100,
            requests_per_s: 500,
            demand_per_s: demand_share * 500.0,
            uneven_share,
            conditions: Conditions { max_jitter: Micros::from_millis(25), ..LOSSLESS_CONDITIONS },
            ..FAULT_FREE_SCENARIO
        };
        let results: Vec<RunResult> = (1..=3).map(|seed| run_fleet(seed, scenario)).collect();
        let rejected_share = |result: &RunResult| {
            result.rejected as f64 / (result.rejected + result.begun.len() as u64) as f64
        };
        let rejected: Vec<String> =
            results.iter().map(|result| format!("{:.4}", rejected_share(result))).collect();
        let packets = results.iter().map(|result| result.packets).sum::<u64>() as f64 / 3.0 / 20.0 / 100.0;
        println!(
            "demand {demand_share} of the limit, uneven {uneven_share}: rejected {}  packets {packets:.1}",
            rejected.join(" ")
        );
    }
}
