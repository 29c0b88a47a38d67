//! Tests of slow start, the load limit of recently started servers.

use super::*;

#[test]
fn slow_start_weight_rises_from_the_initial_share_to_one() {
    let rules = idempotent_settings().rules;
    let restarted = Endpoint { started: Micros(100 * SECOND), ..endpoint(1) };
    let weight_at = |second: u64| slow_start_weight(&restarted, Micros(second * SECOND), &rules);
    assert!((weight_at(100) - 0.1).abs() < 1e-9);
    assert!((weight_at(110) - 0.55).abs() < 1e-9);
    assert!(weight_at(120) == 1.0);
    assert!((weight_at(0) - 0.1).abs() < 1e-9, "a start time in the future gives the initial share");
}

/// Guards against overload of a server that has just started, when all keys of gapped servers move to it.
#[test]
fn server_in_slow_start_gets_its_weight_of_the_response_rate() {
    let rules = idempotent_settings().rules;
    let mut rng = fastrand::Rng::with_seed(5);
    let started = Endpoint { started: Micros(100 * SECOND), ..endpoint(1) };
    let mut server = Server::new(started, 1);
    let mut sent = 0;
    for millisecond in 0..2_000 {
        let now = Micros(100 * SECOND + millisecond * 1_000);
        if server.has_slow_start_credit(now, 50.0, &rules, &mut rng) {
            if let Some(credit) = &mut server.slow_start_credit {
                credit.spend();
            }
            sent += 1;
        }
    }
    // Two seconds at 50 responses a second and a weight of 0.10 to 0.19, times CREDIT_FACTOR.
    assert!((14..=20).contains(&sent), "{sent}");
}
