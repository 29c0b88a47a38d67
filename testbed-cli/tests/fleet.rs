//! Fleets of the real program with faults between them, judged by rules and bounds, never by times. Two are played at
//! once and no more: a machine that is short of processors must not pass for a program that is late.

use std::path::PathBuf;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

use juniperladder_platform_model::checker::{check_run, CheckResult, CheckTerms};
use juniperladder_platform_model::event_log::Receiver;
use juniperladder_platform_model::reader::read;
use juniperladder_platform_model::MICROS_PER_SECOND;
use juniperladder_testbed::{play, Options, Played};

/// Two at a time.
static SEATS: [Mutex<()>; 2] = [Mutex::new(()), Mutex::new(())];
static NEXT: AtomicUsize = AtomicUsize::new(0);

fn seat() -> MutexGuard<'static, ()> {
    SEATS[NEXT.fetch_add(1, Ordering::Relaxed) % 2].lock().unwrap_or_else(PoisonError::into_inner)
}

/// The program, as built beside this test.
fn program() -> PathBuf {
    let own = std::env::current_exe().unwrap();
    let program = own.parent().and_then(|deps| deps.parent()).unwrap().join("juniperladder");
    assert!(program.is_file(), "build the program first: cargo build -p juniperladder-cli");
    program
}

/// Plays so many processes with these faults, and judges that every rule was kept and nobody died.
fn kept(name: &str, balancers: usize, more: &str) -> (Played, CheckResult) {
    played(name, balancers, "writes = 0.05\nwarm = 4\n[origin]\ncapacity = 120\n", more)
}

/// The same with talk between the balancers, who share a limit of 40 a second at the origin where 80 writes a second come
/// in, four fifths of them at a fifth of the balancers. The stated bound is never passed.
fn shared(name: &str, balancers: usize, more: &str) -> (Played, CheckResult) {
    let load = "writes = 0.5\nwarm = 5\nuneven = { share = 0.75, at = 0.2 }\n[origin]\ncapacity = 40\n";
    let (run, verdict) = played(name, balancers, load, more);
    let limit = verdict.summary.limits["origin"];
    let bound = limit.bound.unwrap();
    assert!(limit.peak <= bound, "{name}: {limit:?}");
    // The control: without the limit more would have been sent, as more was wanted.
    assert!(limit.usage.is_some(), "{name}: the demand has to have been over the whole: {limit:?}");
    let (packets, bytes) = run.talk.unwrap();
    assert!(packets > 1.0 && packets < 60.0 && bytes < 8_000.0, "{name}: {packets} packets, {bytes} bytes");
    (run, verdict)
}

/// The same with all that balancers may share: every stated bound is kept, and no word on a server outlives its end.
fn all_shared(name: &str, balancers: usize, more: &str) -> (Played, CheckResult) {
    let load = "writes = 0.05\nwarm = 5\n[origin]\ncapacity = 120\n";
    let (run, verdict) = played(name, balancers, load, more);
    let limits = &verdict.summary.limits;
    for limit in ["cold", "second"] {
        let seen = limits[limit];
        assert!(seen.peak <= seen.bound.unwrap(), "{name}: {limit}: {seen:?}");
    }
    let stated = run.stated.unwrap();
    let expiry = stated.failure_detection.unwrap().report_expiry;
    for said in &run.holders {
        // A third of the servers, and half of a zone's four.
        assert!(said.avoided_servers <= 4.0, "{name}: {said:?}");
        assert!(said.oldest_report_s * 1e6 <= expiry as f64, "{name}: {said:?}");
    }
    (run, verdict)
}

fn played(name: &str, balancers: usize, load: &str, more: &str) -> (Played, CheckResult) {
    let _seat = seat();
    let folder = tempfile::tempdir().unwrap();
    let operator = folder.path().join("operator.toml");
    // On a machine that is shared with other work sends may differ by a quarter of a second in the time that they take.
    let mut file = String::from(
        "[peers]\nlisten = \"127.0.0.1:0\"\nseeds = [\"127.0.0.1:1\"]\n[limits]\nspread_ms = 250\n",
    );
    if name.starts_with("all-") {
        file += "[limits.origin]\nper_s = 400\n[limits.cold]\nper_s = 50\n[limits.second]\n[verdicts]\nwitnesses = 2\n";
    }
    std::fs::write(&operator, file).unwrap();
    let talk = name.starts_with("all-") || load.contains("writes = 0.5");
    let operator = if talk { format!("operator = {operator:?}\n") } else { String::new() };
    let told = if name == "limits-grow" { "told = 4\n" } else { "" };
    // Enough for well over fifteen sends to each server that warms up, however soon the processes know that it has started.
    let rate = if name == "cold-ramp" { 320 } else { 160 };
    let text = format!(
        "name = \"{name}\"\nseconds = 11\n[fleet]\nbalancers = {balancers}\nhosts = 12\nzones = 3\nprogram = {:?}\n\
         {told}{operator}[load]\nrate = {rate}\nkeys = 400\n{load}{more}",
        program()
    );
    let experiment = read(&text, &[]).unwrap();
    let (_keep, stop) = tokio::sync::watch::channel(false);
    let run =
        play(&experiment, Options { out: folder.path(), progress: &mut |_| {}, child_reaper: None, stop })
            .unwrap();
    // Half a second is the least that a machine shared with other tests may be late by.
    let terms =
        CheckTerms { tolerance: MICROS_PER_SECOND / 2, stated: run.stated, ..CheckTerms::of(&experiment) };
    let verdict = check_run(&run.event_log, &terms);
    assert_eq!(run.crashes, [""; 0], "{name}");
    assert_eq!(verdict.summary.rules.total(), 0, "{name}: {:#?}", verdict.violations);
    let s = &verdict.summary;
    assert!(s.requests > 1_300, "{name}: the load has to have been there: {}", s.requests);
    assert_eq!(s.requests, s.served + s.rejected + s.failed + s.lost, "{name}");
    (run, verdict)
}

#[test]
fn silent_hosts_cost_their_own_sends_and_no_command() {
    let (_, verdict) =
        kept("silent", 12, "[[fault]]\nat = 3\nfor = 4\nwhat = \"silent\"\nwho = \"hosts:2-3\"\n");
    let s = verdict.summary;
    // Two of twelve servers for four seconds: a sixth of what goes to servers then, and second copies serve it.
    assert!(
        s.failure_detection.lost_sends > 0 && s.failure_detection.lost_sends < 160,
        "{:?}",
        s.failure_detection
    );
    assert_eq!(s.lost, 0);
    assert!(s.service > 0.9, "{}", s.service);
}

#[test]
fn seven_in_ten_killed_at_once_are_missed_and_come_back() {
    let (run, verdict) =
        kept("herd", 20, "[[fault]]\nat = 4\nwhat = \"kill\"\nwho = \"balancers:70%\"\nback = 1\n");
    assert_eq!(run.started, 34, "fourteen started again");
    let last: u64 = verdict.series.seconds[9..].iter().map(|s| s.served).sum();
    let asked: u64 = verdict.series.seconds[9..].iter().map(|s| s.requests).sum();
    assert!(
        last * 10 > asked * 9,
        "four seconds after their return the fleet serves again: {last} of {asked}"
    );
}

#[test]
fn a_roll_answers_everything_that_was_taken() {
    let (run, verdict) =
        kept("roll", 8, "[[fault]]\nat = 2\nwhat = \"roll\"\nwho = \"balancers\"\nshare = 0.25\nevery = 2\n");
    assert_eq!(run.started, 16);
    assert_eq!(verdict.summary.lost, 0, "a planned end loses nothing");
}

#[test]
fn drains_hold_while_lists_come_late_and_discovery_goes_down() {
    let (run, _) = kept(
        "drains",
        12,
        "[[fault]]\nat = 0\nwhat = \"list-late\"\nseconds = 2\n\
         [[fault]]\nat = 2\nfor = 5\nwhat = \"drain\"\nwho = \"hosts:25%\"\n\
         [[fault]]\nat = 4\nfor = 2\nwhat = \"discovery-down\"\n\
         [[fault]]\nat = 5\nwhat = \"replace\"\nwho = \"hosts:0\"\n",
    );
    assert!(run.event_log.notices.iter().filter(|told| !told.in_service).count() >= 12, "drains were told");
}

#[test]
fn a_zone_cut_off_one_way_and_links_that_spoil_and_reset_break_no_rule() {
    let (run, verdict) = kept(
        "links",
        9,
        "[[fault]]\nat = 2\nfor = 3\nwhat = \"cut\"\nbetween = [\"zone:1\", \"zone:2\"]\ndirection = \"one-way\"\n\
         [[fault]]\nat = 5\nfor = 2\nwhat = \"spoil\"\nbetween = [\"balancers:0-2\", \"hosts:0-5\"]\nshare = 0.2\n\
         [[fault]]\nat = 5\nfor = 2\nwhat = \"reset\"\nbetween = [\"balancers:3-5\", \"hosts:25%\"]\n\
         [[fault]]\nat = 7\nfor = 2\nwhat = \"lose\"\nbetween = [\"balancers\", \"hosts\"]\nshare = 0.1\n",
    );
    assert!(run.event_log.undelivered.len() + run.event_log.attempts.len() > 1_500);
    assert!(verdict.summary.service > 0.8, "{}", verdict.summary.service);
}

#[test]
fn frozen_processes_lose_their_own_commands_alone() {
    let (_, verdict) = kept(
        "freeze",
        10,
        "[[fault]]\nat = 3\nfor = 3\nwhat = \"freeze\"\nwho = \"balancers:0-1\"\n\
         [[fault]]\nat = 4\nfor = 3\nwhat = \"origin-slow\"\ntimes = 4\n",
    );
    let s = verdict.summary;
    assert!(s.lost > 0 && s.lost < s.requests / 5, "two of ten for three of eleven seconds: {}", s.lost);
}

#[test]
fn hosts_that_end_and_come_back_cold_are_not_pushed_over() {
    let (run, verdict) = kept(
        "cold",
        24,
        "[[fault]]\nat = 2\nfor = 2\nwhat = \"gone\"\nwho = \"hosts:25%\"\n\
         [[fault]]\nat = 6\nwhat = \"restart\"\nwho = \"zone:2\"\n",
    );
    assert!(
        run.event_log.server_collapses.is_empty() && run.event_log.attempts.iter().any(|a| a.in_slow_start)
    );
    assert!(verdict.summary.origin.peak < 2.5, "the origin is not flooded: {:?}", verdict.summary.origin);
}

#[test]
fn a_limit_holds_while_talk_is_cut_in_halves_and_one_way() {
    let (_, verdict) = shared(
        "limits-partition",
        12,
        "[[fault]]\nat = 1\nfor = 4\nwhat = \"cut\"\nbetween = [\"balancers:0-5\", \"balancers:6-11\"]\n\
         [[fault]]\nat = 6\nfor = 4\nwhat = \"cut\"\nbetween = [\"balancers:0-3\", \"balancers:4-11\"]\n\
         direction = \"one-way\"\n",
    );
    // Each half has what its members own: with all its demand in one of them half of the whole is within reach.
    assert!(verdict.summary.limits["origin"].usage > Some(0.4), "{:?}", verdict.summary.limits);
}

#[test]
fn a_limit_holds_through_kills_without_memory_and_freezes_over_a_lease() {
    let (run, _) = shared(
        "limits-kill",
        12,
        "[[fault]]\nat = 2\nwhat = \"kill\"\nwho = \"balancers:0-3\"\nback = 0.3\n\
         [[fault]]\nat = 3\nfor = 4\nwhat = \"freeze\"\nwho = \"balancers:5-6\"\n\
         [[fault]]\nat = 5\nwhat = \"kill\"\nwho = \"balancers:8\"\nback = 0\n",
    );
    assert_eq!(run.started, 17);
}

#[test]
fn a_limit_holds_and_is_used_with_losses_repeats_and_disorder() {
    let all = "between = [\"balancers\", \"balancers\"]\n";
    let (_, verdict) = shared(
        "limits-loss",
        10,
        &format!(
            "[[fault]]\nat = 0\nwhat = \"lose\"\n{all}share = 0.3\n\
             [[fault]]\nat = 0\nwhat = \"repeat\"\n{all}share = 0.1\n\
             [[fault]]\nat = 0\nwhat = \"reorder\"\n{all}share = 0.1\n\
             [[fault]]\nat = 0\nwhat = \"spoil\"\n{all}share = 0.05\n"
        ),
    );
    assert!(verdict.summary.limits["origin"].usage > Some(0.5), "{:?}", verdict.summary.limits);
}

/// The settings say four where there are sixteen: by the split each would take a quarter.
#[test]
fn a_limit_holds_where_the_settings_name_too_few_balancers() {
    let text = "[[fault]]\nat = 0\nwhat = \"kill\"\nwho = \"balancers:4-15\"\nback = 3\n";
    let (run, verdict) = shared("limits-grow", 16, text);
    assert_eq!(run.started, 28);
    assert!(verdict.summary.limits["origin"].usage > Some(0.3), "{:?}", verdict.summary.limits);
}

#[test]
fn what_some_find_silent_all_pass_by_and_a_cold_return_is_not_overrun() {
    let (run, verdict) = all_shared(
        "all-silent",
        12,
        "[[fault]]\nat = 2\nfor = 5\nwhat = \"silent\"\nwho = \"hosts:2-3\"\n\
         [[fault]]\nat = 7\nwhat = \"restart\"\nwho = \"hosts:2-3\"\n",
    );
    let passing = run.holders.iter().filter(|said| said.avoided_servers >= 1.0).map(|said| said.balancer);
    let passing: std::collections::HashSet<usize> = passing.collect();
    assert!(passing.len() >= 6, "half of them at least were heard to pass a host by: {passing:?}");
    assert!(
        verdict.summary.failure_detection.lost_sends > 0
            && run.event_log.attempts.iter().any(|a| a.in_slow_start)
    );
}

/// Talk is cut in halves, a balancer's own links are cut, some are killed and frozen: whatever they say, the bounds hold.
#[test]
fn verdicts_and_budgets_keep_their_bounds_while_talk_and_witnesses_fail() {
    let (run, _) = all_shared(
        "all-faults",
        12,
        "[[fault]]\nat = 1\nfor = 4\nwhat = \"cut\"\nbetween = [\"balancers:0-5\", \"balancers:6-11\"]\n\
         [[fault]]\nat = 1\nfor = 4\nwhat = \"cut\"\nbetween = [\"balancers:2\", \"hosts\"]\n\
         [[fault]]\nat = 2\nfor = 3\nwhat = \"silent\"\nwho = \"hosts:2-4\"\n\
         [[fault]]\nat = 3\nwhat = \"kill\"\nwho = \"balancers:8-9\"\nback = 0.3\n\
         [[fault]]\nat = 3\nfor = 4\nwhat = \"freeze\"\nwho = \"balancers:5\"\n\
         [[fault]]\nat = 5\nfor = 4\nwhat = \"delay\"\nbetween = [\"balancers:0-3\", \"balancers:4-11\"]\nms = 2000\njitter = 1500\n\
         [[fault]]\nat = 6\nwhat = \"replace\"\nwho = \"hosts:2\"\n",
    );
    assert_eq!(run.started, 14);
}

/// Servers come back cold while thirty processes that do not talk send to them, most of the load at few of them, and while some of
/// these are replaced: in no second does one get more than it bears by the settings and what chance adds, 2 roots and 2, counted
/// where it arrives.
#[test]
fn thirty_processes_together_ramp_a_cold_host() {
    const COLD_FROM: f64 = 0.1;
    const COLD_S: f64 = 7.0;
    const BEARS: f64 = 1.5;
    let load = format!(
        "writes = 0.05\nwarm = 5\nuneven = {{ share = 0.6, at = 0.2 }}\n[origin]\ncapacity = 120\n\
         [hosts]\nwork_ms = 20.0\ncold_from = {COLD_FROM}\ncold_s = {COLD_S}\nfall_times = {BEARS}\n"
    );
    let faults = "[[fault]]\nat = 3\nwhat = \"restart\"\nwho = \"hosts:2-3\"\n\
                  [[fault]]\nat = 4.5\nwhat = \"kill\"\nwho = \"balancers:0-7\"\nback = 0.5\n\
                  [[fault]]\nat = 6\nwhat = \"kill\"\nwho = \"balancers:20-25\"\nback = 0.5\n";
    let (run, _) = played("cold-ramp", 30, &load, faults);
    assert_eq!(run.started, 44);
    for server in [2, 3] {
        let mut cold: Vec<u64> = run
            .event_log
            .attempts
            .iter()
            .filter(|attempt| attempt.receiver == Receiver::CacheServer(server) && attempt.in_slow_start)
            .map(|attempt| attempt.received_at)
            .collect();
        cold.sort_unstable();
        assert!(cold.len() > 15, "host {server}: {} sends while it warms up", cold.len());
        // It had started by then.
        let started = cold[0];
        for (last, at) in cold.iter().enumerate() {
            let sends = last + 1 - cold.partition_point(|before| before + MICROS_PER_SECOND <= *at);
            let warm =
                COLD_FROM + (1.0 - COLD_FROM) * (at - started) as f64 / (COLD_S * MICROS_PER_SECOND as f64);
            // A core does 50 a second.
            let n = BEARS * 50.0 * warm.min(1.0);
            let most = n + 2.0 * n.sqrt() + 2.0;
            assert!(sends as f64 <= most, "host {server}: {sends} in a second for {most:.1}");
        }
    }
}
