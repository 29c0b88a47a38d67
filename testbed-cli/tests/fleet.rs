//! Fleets of real balancer processes under faults, checked by rules and bounds, never by durations. At most two fleets run at
//! once, so that a shortage of processors is not mistaken for a slow balancer.

use std::path::PathBuf;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

use juniperladder_platform_model::checker::{check_run, CheckConfig, CheckResult};
use juniperladder_platform_model::event_log::Receiver;
use juniperladder_platform_model::reader::read;
use juniperladder_platform_model::MICROS_PER_SECOND;
use juniperladder_testbed::{run_experiment, RunOptions, RunRecord};

/// Limits the fleets that run at the same time: each holds one slot.
static RUN_SLOTS: [Mutex<()>; 2] = [Mutex::new(()), Mutex::new(())];
static NEXT_SLOT: AtomicUsize = AtomicUsize::new(0);

fn acquire_run_slot() -> MutexGuard<'static, ()> {
    let slot = NEXT_SLOT.fetch_add(1, Ordering::Relaxed) % RUN_SLOTS.len();
    RUN_SLOTS[slot].lock().unwrap_or_else(PoisonError::into_inner)
}

/// A fault that partitions twelve balancers into halves, which cannot reach each other for four seconds.
const PEER_LINKS_CUT_IN_HALVES: &str = "[[fault]]\nat = 1\nfor = 4\nwhat = \"cut\"\n\
                                  between = [\"balancers:0-5\", \"balancers:6-11\"]\n";

/// Path of the balancer program in the target folder of this test.
fn program() -> PathBuf {
    let own = std::env::current_exe().unwrap();
    let program = own.parent().and_then(|deps| deps.parent()).unwrap().join("juniperladder");
    assert!(program.is_file(), "build the program first: cargo build -p juniperladder-cli");
    program
}

/// Runs a fleet with these faults, and checks that every rule was kept and no process crashed.
fn run_keeping_rules(name: &str, balancers: usize, faults: &str) -> (RunRecord, CheckResult) {
    run_and_check(name, balancers, "writes = 0.05\nwarm = 4\n[origin]\ncapacity = 120\n", faults)
}

/// Like [`run_keeping_rules`], with balancers that share a limit of 40 requests per second to the origin while 80 writes per
/// second arrive, four fifths of them at a fifth of the balancers. Checks that the stated bound was never exceeded.
fn run_with_origin_limit(name: &str, balancers: usize, faults: &str) -> (RunRecord, CheckResult) {
    let load = "writes = 0.5\nwarm = 5\nuneven = { share = 0.75, at = 0.2 }\n[origin]\ncapacity = 40\n";
    let (run, checked) = run_and_check(name, balancers, load, faults);
    let limit = checked.summary.limits["origin"];
    let bound = limit.bound.unwrap();
    assert!(limit.peak <= bound, "{name}: {limit:?}");
    // Without demand above the limit the bound would be kept even if the limit had no effect.
    assert!(limit.usage.is_some(), "{name}: the demand has to have exceeded the limit: {limit:?}");
    let rates = run.peer_traffic.unwrap();
    let (packets, bytes) = (rates.packets_per_s, rates.bytes_per_s);
    assert!(packets > 1.0 && packets < 60.0 && bytes < 8_000.0, "{name}: {packets} packets, {bytes} bytes");
    (run, checked)
}

/// Like [`run_keeping_rules`], with all limits and failure reports that balancers can share. Checks that every stated bound
/// was kept and no report on a server was acted on after its expiry.
fn run_with_all_limits(name: &str, balancers: usize, faults: &str) -> (RunRecord, CheckResult) {
    let load = "writes = 0.05\nwarm = 5\n[origin]\ncapacity = 120\n";
    let (run, checked) = run_and_check(name, balancers, load, faults);
    let limits = &checked.summary.limits;
    for limit in ["cold", "second"] {
        let usage = limits[limit];
        assert!(usage.peak <= usage.bound.unwrap(), "{name}: {limit}: {usage:?}");
    }
    let stated = run.stated_bounds.unwrap();
    let expiry = stated.failure_detection.unwrap().report_expiry;
    for report in &run.self_reports {
        // At most a third of the twelve servers, and at most half of the four in a zone, may be avoided.
        assert!(report.avoided_servers <= 4.0, "{name}: {report:?}");
        assert!(report.oldest_report_s * 1e6 <= expiry as f64, "{name}: {report:?}");
    }
    (run, checked)
}

/// Runs a fleet and checks that every rule was kept, no process crashed and every request was counted once. `load` completes
/// the load section and adds sections after it. The prefix `all-` of `name` adds all shared limits and failure reports.
fn run_and_check(name: &str, balancers: usize, load: &str, faults: &str) -> (RunRecord, CheckResult) {
    let _slot = acquire_run_slot();
    let folder = tempfile::tempdir().unwrap();
    let operator_file = folder.path().join("operator.toml");
    // On a machine shared with other work the delays of sends may differ by a quarter of a second.
    let mut operator_settings = String::from(
        "[peers]\nlisten = \"127.0.0.1:0\"\nseeds = [\"127.0.0.1:1\"]\n[limits]\nspread_ms = 250\n",
    );
    if name.starts_with("all-") {
        operator_settings += "[limits.origin]\nper_s = 400\n[limits.cold]\nper_s = 50\n[limits.second]\n[verdicts]\nwitnesses = 2\n";
    }
    std::fs::write(&operator_file, operator_settings).unwrap();
    let has_peer_links = name.starts_with("all-") || load.contains("writes = 0.5");
    let operator_setting =
        if has_peer_links { format!("operator = {operator_file:?}\n") } else { String::new() };
    let balancer_count_setting = if name == "limits-grow" { "told = 4\n" } else { "" };
    // 320 requests a second give well over fifteen sends to each server in slow start, however early the balancers learn of
    // its start.
    let rate = if name == "cold-ramp" { 320 } else { 160 };
    let text = format!(
        "name = \"{name}\"\nseconds = 11\n[fleet]\nbalancers = {balancers}\nhosts = 12\nzones = 3\nprogram = {:?}\n\
         {balancer_count_setting}{operator_setting}[load]\nrate = {rate}\nkeys = 400\n{load}{faults}",
        program()
    );
    let experiment = read(&text, &[]).unwrap();
    let (_stop_sender, stop) = tokio::sync::watch::channel(false);
    let run = run_experiment(
        &experiment,
        RunOptions { out: folder.path(), progress: &mut |_| {}, child_reaper: None, stop },
    )
    .unwrap();
    // On a machine shared with other tests delays of up to half a second have to be tolerated.
    let check_config = CheckConfig {
        tolerance: MICROS_PER_SECOND / 2,
        stated: run.stated_bounds,
        ..CheckConfig::for_experiment(&experiment)
    };
    let checked = check_run(&run.event_log, &check_config);
    assert_eq!(run.crashes, [""; 0], "{name}");
    assert_eq!(checked.summary.rules.total(), 0, "{name}: {:#?}", checked.violations);
    let summary = &checked.summary;
    assert!(summary.requests > 1_300, "{name}: the clients have to have sent the load: {}", summary.requests);
    assert_eq!(summary.requests, summary.served + summary.rejected + summary.failed + summary.lost, "{name}");
    (run, checked)
}

#[test]
fn sends_to_silent_servers_are_lost_but_no_request_is() {
    let (_, checked) = run_keeping_rules(
        "silent",
        12,
        "[[fault]]\nat = 3\nfor = 4\nwhat = \"silent\"\nwho = \"hosts:2-3\"\n",
    );
    let summary = checked.summary;
    // Two of twelve servers are silent for four seconds: a sixth of the sends in that time are lost, and hedged requests at
    // other servers replace them.
    assert!(
        summary.failure_detection.lost_sends > 0 && summary.failure_detection.lost_sends < 160,
        "{:?}",
        summary.failure_detection
    );
    assert_eq!(summary.lost, 0);
    assert!(summary.service > 0.9, "{}", summary.service);
}

#[test]
fn fleet_serves_again_after_seven_in_ten_balancers_are_killed_at_once() {
    let (run, checked) = run_keeping_rules(
        "herd",
        20,
        "[[fault]]\nat = 4\nwhat = \"kill\"\nwho = \"balancers:70%\"\nback = 1\n",
    );
    assert_eq!(run.process_starts, 34, "fourteen processes have to be restarted");
    let served: u64 = checked.series.seconds[9..].iter().map(|second| second.served).sum();
    let requests: u64 = checked.series.seconds[9..].iter().map(|second| second.requests).sum();
    assert!(
        served * 10 > requests * 9,
        "four seconds after the restart the fleet has to serve over 90% again: {served} of {requests}"
    );
}

#[test]
fn rolling_restart_answers_every_accepted_request() {
    let (run, checked) = run_keeping_rules(
        "roll",
        8,
        "[[fault]]\nat = 2\nwhat = \"roll\"\nwho = \"balancers\"\nshare = 0.25\nevery = 2\n",
    );
    assert_eq!(run.process_starts, 16);
    assert_eq!(checked.summary.lost, 0, "a graceful shutdown has to lose no request");
}

#[test]
fn drain_rule_is_kept_with_late_endpoint_lists_and_discovery_down() {
    let (run, _) = run_keeping_rules(
        "drains",
        12,
        "[[fault]]\nat = 0\nwhat = \"list-late\"\nseconds = 2\n\
         [[fault]]\nat = 2\nfor = 5\nwhat = \"drain\"\nwho = \"hosts:25%\"\n\
         [[fault]]\nat = 4\nfor = 2\nwhat = \"discovery-down\"\n\
         [[fault]]\nat = 5\nwhat = \"replace\"\nwho = \"hosts:0\"\n",
    );
    assert!(
        run.event_log.endpoint_notices.iter().filter(|notice| !notice.in_service).count() >= 12,
        "balancers have to be notified of the drains"
    );
}

#[test]
fn zone_cut_off_one_way_and_links_that_corrupt_and_reset_violate_no_rule() {
    let (run, checked) = run_keeping_rules(
        "links",
        9,
        "[[fault]]\nat = 2\nfor = 3\nwhat = \"cut\"\nbetween = [\"zone:1\", \"zone:2\"]\ndirection = \"one-way\"\n\
         [[fault]]\nat = 5\nfor = 2\nwhat = \"spoil\"\nbetween = [\"balancers:0-2\", \"hosts:0-5\"]\nshare = 0.2\n\
         [[fault]]\nat = 5\nfor = 2\nwhat = \"reset\"\nbetween = [\"balancers:3-5\", \"hosts:25%\"]\n\
         [[fault]]\nat = 7\nfor = 2\nwhat = \"lose\"\nbetween = [\"balancers\", \"hosts\"]\nshare = 0.1\n",
    );
    assert!(run.event_log.undelivered.len() + run.event_log.attempts.len() > 1_500);
    assert!(checked.summary.service > 0.8, "{}", checked.summary.service);
}

#[test]
fn frozen_balancers_lose_only_their_own_requests() {
    let (_, checked) = run_keeping_rules(
        "freeze",
        10,
        "[[fault]]\nat = 3\nfor = 3\nwhat = \"freeze\"\nwho = \"balancers:0-1\"\n\
         [[fault]]\nat = 4\nfor = 3\nwhat = \"origin-slow\"\ntimes = 4\n",
    );
    let summary = checked.summary;
    assert!(
        summary.lost > 0 && summary.lost < summary.requests / 5,
        "two of ten processes are frozen for three of eleven seconds, so some requests have to be lost, \
         but under a fifth: {}",
        summary.lost
    );
}

#[test]
fn stopped_and_restarted_servers_do_not_collapse_in_slow_start() {
    let (run, checked) = run_keeping_rules(
        "cold",
        24,
        "[[fault]]\nat = 2\nfor = 2\nwhat = \"gone\"\nwho = \"hosts:25%\"\n\
         [[fault]]\nat = 6\nwhat = \"restart\"\nwho = \"zone:2\"\n",
    );
    assert!(
        run.event_log.server_collapses.is_empty() && run.event_log.attempts.iter().any(|a| a.in_slow_start)
    );
    assert!(
        checked.summary.origin.peak < 2.5,
        "the origin has to be protected from the misses of servers in slow start: {:?}",
        checked.summary.origin
    );
}

#[test]
fn limit_holds_while_peer_links_are_cut_in_halves_and_one_way() {
    let (_, checked) = run_with_origin_limit(
        "limits-partition",
        12,
        &format!(
            "{PEER_LINKS_CUT_IN_HALVES}\
             [[fault]]\nat = 6\nfor = 4\nwhat = \"cut\"\nbetween = [\"balancers:0-3\", \"balancers:4-11\"]\n\
             direction = \"one-way\"\n"
        ),
    );
    // Each half has the shares of its own members: with all demand in one half, half of the limit can be used.
    assert!(checked.summary.limits["origin"].usage > Some(0.4), "{:?}", checked.summary.limits);
}

#[test]
fn limit_holds_through_kills_and_freezes_longer_than_a_lease() {
    let (run, _) = run_with_origin_limit(
        "limits-kill",
        12,
        "[[fault]]\nat = 2\nwhat = \"kill\"\nwho = \"balancers:0-3\"\nback = 0.3\n\
         [[fault]]\nat = 3\nfor = 4\nwhat = \"freeze\"\nwho = \"balancers:5-6\"\n\
         [[fault]]\nat = 5\nwhat = \"kill\"\nwho = \"balancers:8\"\nback = 0\n",
    );
    assert_eq!(run.process_starts, 17);
}

#[test]
fn limit_holds_and_is_used_with_losses_repeats_and_reordering() {
    let all_peer_links = "between = [\"balancers\", \"balancers\"]\n";
    let (_, checked) = run_with_origin_limit(
        "limits-loss",
        10,
        &format!(
            "[[fault]]\nat = 0\nwhat = \"lose\"\n{all_peer_links}share = 0.3\n\
             [[fault]]\nat = 0\nwhat = \"repeat\"\n{all_peer_links}share = 0.1\n\
             [[fault]]\nat = 0\nwhat = \"reorder\"\n{all_peer_links}share = 0.1\n\
             [[fault]]\nat = 0\nwhat = \"spoil\"\n{all_peer_links}share = 0.05\n"
        ),
    );
    assert!(checked.summary.limits["origin"].usage > Some(0.5), "{:?}", checked.summary.limits);
}

/// Guards against a limit exceeded fourfold: the settings name four of sixteen balancers, and a static split would give each
/// process a quarter of the limit.
#[test]
fn limit_holds_where_the_settings_name_too_few_balancers() {
    let faults = "[[fault]]\nat = 0\nwhat = \"kill\"\nwho = \"balancers:4-15\"\nback = 3\n";
    let (run, checked) = run_with_origin_limit("limits-grow", 16, faults);
    assert_eq!(run.process_starts, 28);
    assert!(checked.summary.limits["origin"].usage > Some(0.3), "{:?}", checked.summary.limits);
}

#[test]
fn silent_servers_are_avoided_by_half_the_balancers_and_not_overloaded_after_restart() {
    let (run, checked) = run_with_all_limits(
        "all-silent",
        12,
        "[[fault]]\nat = 2\nfor = 5\nwhat = \"silent\"\nwho = \"hosts:2-3\"\n\
         [[fault]]\nat = 7\nwhat = \"restart\"\nwho = \"hosts:2-3\"\n",
    );
    let avoiding =
        run.self_reports.iter().filter(|report| report.avoided_servers >= 1.0).map(|report| report.balancer);
    let avoiding: std::collections::HashSet<usize> = avoiding.collect();
    assert!(
        avoiding.len() >= 6,
        "at least half of the balancers have to report that they avoid a server: {avoiding:?}"
    );
    assert!(
        checked.summary.failure_detection.lost_sends > 0
            && run.event_log.attempts.iter().any(|a| a.in_slow_start)
    );
}

/// Guards against bounds that depend on working peers: the peer links are partitioned into halves, a balancer is cut off from
/// the servers, and reporters are killed, frozen and delayed.
#[test]
fn failure_detection_and_budgets_keep_their_bounds_while_peer_links_and_reporters_fail() {
    let (run, _) = run_with_all_limits(
        "all-faults",
        12,
        &format!(
            "{PEER_LINKS_CUT_IN_HALVES}\
             [[fault]]\nat = 1\nfor = 4\nwhat = \"cut\"\nbetween = [\"balancers:2\", \"hosts\"]\n\
             [[fault]]\nat = 2\nfor = 3\nwhat = \"silent\"\nwho = \"hosts:2-4\"\n\
             [[fault]]\nat = 3\nwhat = \"kill\"\nwho = \"balancers:8-9\"\nback = 0.3\n\
             [[fault]]\nat = 3\nfor = 4\nwhat = \"freeze\"\nwho = \"balancers:5\"\n\
             [[fault]]\nat = 5\nfor = 4\nwhat = \"delay\"\nbetween = [\"balancers:0-3\", \"balancers:4-11\"]\nms = 2000\njitter = 1500\n\
             [[fault]]\nat = 6\nwhat = \"replace\"\nwho = \"hosts:2\"\n"
        ),
    );
    assert_eq!(run.process_starts, 14);
}

/// Guards against a server overloaded during slow start: two servers restart while thirty balancers without peer links send to
/// them, most of the load at few balancers, and some balancers are killed and restarted. In no second may a server receive
/// more than its slow-start capacity plus a random excess of `2 * sqrt(capacity) + 2`, counted at the server.
#[test]
fn thirty_balancers_together_do_not_overload_a_server_in_slow_start() {
    const SLOW_START_INITIAL_SHARE: f64 = 0.1;
    const SLOW_START_DURATION_S: f64 = 7.0;
    const COLLAPSE_LOAD_FACTOR: f64 = 1.5;
    let load = format!(
        "writes = 0.05\nwarm = 5\nuneven = {{ share = 0.6, at = 0.2 }}\n[origin]\ncapacity = 120\n\
         [hosts]\nwork_ms = 20.0\ncold_from = {SLOW_START_INITIAL_SHARE}\ncold_s = {SLOW_START_DURATION_S}\n\
         fall_times = {COLLAPSE_LOAD_FACTOR}\n"
    );
    let faults = "[[fault]]\nat = 3\nwhat = \"restart\"\nwho = \"hosts:2-3\"\n\
                  [[fault]]\nat = 4.5\nwhat = \"kill\"\nwho = \"balancers:0-7\"\nback = 0.5\n\
                  [[fault]]\nat = 6\nwhat = \"kill\"\nwho = \"balancers:20-25\"\nback = 0.5\n";
    let (run, _) = run_and_check("cold-ramp", 30, &load, faults);
    assert_eq!(run.process_starts, 44);
    for server in [2, 3] {
        let mut received_at: Vec<u64> = run
            .event_log
            .attempts
            .iter()
            .filter(|attempt| attempt.receiver == Receiver::CacheServer(server) && attempt.in_slow_start)
            .map(|attempt| attempt.received_at)
            .collect();
        received_at.sort_unstable();
        assert!(received_at.len() > 15, "server {server}: {} sends during slow start", received_at.len());
        // The server had started by its first send, so its capacity is never overestimated.
        let started_at = received_at[0];
        for (index, at) in received_at.iter().enumerate() {
            let sends = index + 1 - received_at.partition_point(|before| before + MICROS_PER_SECOND <= *at);
            let warm_share = SLOW_START_INITIAL_SHARE
                + (1.0 - SLOW_START_INITIAL_SHARE) * (at - started_at) as f64
                    / (SLOW_START_DURATION_S * MICROS_PER_SECOND as f64);
            // At 20 ms of work per request, a core serves 50 requests per second.
            let capacity = COLLAPSE_LOAD_FACTOR * 50.0 * warm_share.min(1.0);
            let max_sends = capacity + 2.0 * capacity.sqrt() + 2.0;
            assert!(
                sends as f64 <= max_sends,
                "server {server}: {sends} sends in a second, at most {max_sends:.1} allowed"
            );
        }
    }
}
