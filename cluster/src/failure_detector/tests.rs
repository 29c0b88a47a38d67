//! Simulated fleets in virtual time, and unit tests with given reports.

mod fleet;

use std::collections::{BTreeMap, BTreeSet};

use juniperladder::ServerId;

use super::dissemination::{MAX_ANSWERS_PER_TICK, MAX_QUERIES_BACK_PER_TICK};
use super::*;
use crate::virtual_network::{address, Conditions};
use fleet::{random_scenario, run_fleet, terms, Scenario, LOSSLESS_CONDITIONS, LOSSLESS_SCENARIO};

fn server(number: u64) -> ServerIncarnation {
    ServerIncarnation { server: ServerId(number), started: Micros(1) }
}

#[test]
fn servers_are_avoided_only_on_unexpired_reports_of_enough_members_in_random_fleets() {
    let mut avoided = 0;
    let mut lost_requests = 0;
    for seed in 0..2_000 {
        let result = run_fleet(seed, random_scenario(seed));
        assert_eq!(result.violation, None, "seed {seed}: {:?}", random_scenario(seed));
        assert_eq!(result.wrongly_avoided, 0, "seed {seed}: a server that was never silent was avoided");
        avoided += result.avoided;
        lost_requests += result.lost_requests;
    }
    assert!(
        avoided > 100_000 && lost_requests > 10_000,
        "too few requests to test the guarantee: {avoided} avoided a server, {lost_requests} were lost"
    );
}

#[test]
fn injected_defects_are_detected() {
    for defect in [Defect::SenderAgeIgnored, Defect::ObservedAtReceipt, Defect::StartTimeIgnored] {
        let detected_by = (0..200).find(|seed| {
            let scenario = Scenario { defect: Some(defect), ..random_scenario(*seed) };
            run_fleet(*seed, scenario).violation.is_some()
        });
        assert!(detected_by.is_some(), "{defect:?}: not detected");
    }
}

#[test]
fn fewer_faulty_reporters_than_the_quorum_cause_no_avoidance_of_healthy_servers() {
    for seed in 0..20 {
        let scenario = Scenario {
            members: 20,
            servers: 12,
            silent_servers: 1,
            faulty_reporters: 2,
            ..LOSSLESS_SCENARIO
        };
        let result = run_fleet(seed, scenario);
        assert_eq!(
            result.wrongly_avoided, 0,
            "seed {seed}: a server was suspected on two of the three required reporters"
        );
        assert!(result.avoided > 0, "seed {seed}: the silent server was not avoided");
        assert_eq!(result.violation, None, "seed {seed}");
    }
}

#[test]
fn member_that_observes_most_servers_silent_makes_no_report() {
    let mut detector = FailureDetector::new(terms(), 0, 0, 1, Micros::ZERO);
    for number in 0..10 {
        detector.on_server_observed(server(number), true, Micros(1_000 * number));
    }
    assert_eq!(detector.metrics().own_reports, 0);
    for number in 10..21 {
        detector.on_server_observed(server(number), false, Micros(20_000 + number));
    }
    detector.on_server_observed(server(5), true, Micros(30_000));
    assert_eq!(detector.metrics().own_reports, 1, "no report was made although most servers answer");
    detector.on_server_observed(server(6), true, Micros(30_000) + Micros::from_secs(3));
    assert_eq!(detector.metrics().own_reports, 1, "a report was made although the answers have expired");
}

/// Guards against a partition of one zone's network path that makes members of other zones suspect a healthy server.
#[test]
fn silence_reported_by_one_zone_is_not_believed_in_other_zones() {
    let report = |reporter, zone, seen: u64, is_silent| StoredReport {
        reporter,
        zone,
        stamp: Micros(seen),
        seen: Micros(seen),
        is_silent,
        // Zone 2 reported the server silent before it answered there.
        is_recovery: !is_silent && zone == 2,
    };
    let no_discredited = BTreeSet::new();
    let believed = |reports: &[StoredReport], zone, is_suspected| {
        evidence::believed_reporters(reports, &no_discredited, zone, 3, is_suspected)
    };
    let mut reports = Vec::new();
    for reporter in 0..3 {
        reports::merge(&mut reports, report(reporter, 0, 100 + u64::from(reporter), true));
    }
    assert_eq!((believed(&reports, 0, false), believed(&reports, 1, false)), (3, 0));
    // An answer in another zone that had not reported the server silent clears nothing in zone 0.
    reports::merge(&mut reports, report(7, 1, 200, false));
    assert_eq!((believed(&reports, 0, true), believed(&reports, 1, true)), (3, 0));
    // Once a second zone reports the server silent, members of other zones suspect it as well.
    reports::merge(&mut reports, report(8, 2, 210, true));
    assert_eq!((believed(&reports, 0, false), believed(&reports, 3, false)), (4, 4));
    // An answer in the second zone is a recovery, which clears the server for all zones.
    reports::merge(&mut reports, report(9, 2, 220, false));
    assert_eq!((believed(&reports, 0, true), believed(&reports, 3, true)), (0, 0));
    let discredited = BTreeSet::from([0, 1]);
    assert_eq!(evidence::believed_reporters(&reports, &discredited, 0, 1, false), 0);
    let mut table = BTreeMap::from([(server(3), reports)]);
    let before = reports::digest(&table);
    reports::merge(table.get_mut(&server(3)).unwrap(), report(9, 2, 230, false));
    assert_ne!(reports::digest(&table), before);
}

/// A random report. Reports with the same reporter and stamp are equal except for the bound of their age.
fn random_report(rng: &mut ChaCha8Rng, number: u64) -> StoredReport {
    let reporter: u32 = rng.random_range(0..24);
    let stamp: u64 = rng.random_range(0..50);
    let is_silent = rng.random_range(0..50) != stamp;
    let seen = 1_000 * stamp + 10 * u64::from(reporter) + number % 2;
    StoredReport {
        reporter,
        zone: reporter % 3,
        stamp: Micros(seen / 10),
        seen: Micros(seen),
        is_silent,
        is_recovery: !is_silent && reporter.is_multiple_of(2),
    }
}

#[test]
fn reordered_and_duplicated_reports_merge_to_the_same_result() {
    let merged = |random_reports: &[StoredReport]| {
        let mut reports = Vec::new();
        for report in random_reports.iter().chain(random_reports.iter().rev()) {
            reports::merge(&mut reports, *report);
        }
        // Which answers are kept may depend on the order of merging, but has no effect on suspicion.
        reports.retain(|report| report.is_silent);
        let believed = |report: &StoredReport| {
            evidence::believed_reporters(&reports, &BTreeSet::new(), report.zone, 3, false)
        };
        reports.iter().map(|report| (*report, believed(report))).collect::<Vec<_>>()
    };
    let mut rng = ChaCha8Rng::seed_from_u64(5);
    for _ in 0..200 {
        let mut random_reports: Vec<StoredReport> =
            (0..30).map(|number| random_report(&mut rng, number)).collect();
        let in_order = merged(&random_reports);
        random_reports.reverse();
        let reversed = merged(&random_reports);
        assert_eq!(in_order, reversed);
    }
}

#[test]
fn flood_of_messages_is_bounded_in_stored_reports_and_answers() {
    let now = Micros::from_secs(2);
    let mut detector = FailureDetector::new(terms(), 0, 0, 1, Micros::ZERO);
    detector.tick(now, 2, || Some(address(1)));
    let Some((_, Message::Query { sent, .. })) = detector.drain().next() else {
        panic!("the detector sends no query at its start")
    };
    let report = |number| Report {
        server: server(number),
        reporter: 9,
        zone: 0,
        stamp: Micros(5),
        age: Micros::ZERO,
        is_silent: true,
        is_recovery: false,
    };
    for batch in 0..1_000 {
        let reports = (0..100).map(|number| report(100 * batch + number)).collect();
        detector.on_message(now, address(1), Message::Reports { sent, reports });
        let query = Message::Query { sent: Micros(batch), digest: batch, scope: QueryScope::UrgentMutual };
        detector.on_message(now, address(1), query);
    }
    let stored = detector.reports.len();
    assert!(stored <= MAX_REPORTS, "more than one answer to one query was accepted: {stored} reports");
    assert!(detector.drain().count() <= MAX_ANSWERS_PER_TICK + MAX_QUERIES_BACK_PER_TICK);
}

/// Prints detection times by fleet size; run manually with
/// `cargo test --release -p juniperladder-cluster failure_detector_tables -- --ignored --nocapture`.
#[test]
#[ignore = "prints a table; run manually"]
fn failure_detector_tables() {
    println!("| members | loss | detection p50, p99, max (ms) | recovery, max (ms) | lost requests a server | packets a second a member |");
    for (members, loss_ratio) in [(12, 0.0), (100, 0.0), (100, 0.3), (300, 0.0), (300, 0.3), (500, 0.0)] {
        let scenario = Scenario {
            members,
            servers: 60,
            silent_servers: 7,
            requests_per_s: 1500.0 / members as f64,
            conditions: Conditions { loss_ratio, ..LOSSLESS_CONDITIONS },
            ..LOSSLESS_SCENARIO
        };
        print_detection_times(scenario);
    }
}

fn print_detection_times(scenario: Scenario) {
    let mut detection_times = Vec::new();
    let mut longest_recovery = Micros::ZERO;
    let mut lost_requests = 0;
    let mut packets = 0;
    for seed in 1..=3 {
        let mut result = run_fleet(seed, scenario);
        assert_eq!(result.violation, None);
        lost_requests += result.lost_requests;
        packets += result.packets;
        detection_times.append(&mut result.detection_times);
        longest_recovery = longest_recovery.max(result.recovery_times.into_iter().max().unwrap_or_default());
    }
    detection_times.sort_unstable();
    let quantile = |quantile: f64| {
        let index = (quantile * (detection_times.len() - 1) as f64) as usize;
        detection_times.get(index).map_or(0, |time| time.0 / 1_000)
    };
    println!(
        "| {} | {} | {} {} {} of {} | {} | {:.1} | {:.1} |",
        scenario.members,
        scenario.conditions.loss_ratio,
        quantile(0.5),
        quantile(0.99),
        quantile(1.0),
        detection_times.len(),
        longest_recovery.0 / 1_000,
        lost_requests as f64 / 21.0,
        packets as f64 / 3.0 / 24.0 / scenario.members as f64
    );
}
