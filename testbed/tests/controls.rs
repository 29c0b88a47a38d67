//! Negative controls: balancers with a deliberate flaw, run on the testbed as real processes. The checker has to find each
//! flaw by its effects on sockets alone, and no violation by a correct balancer.

use std::path::PathBuf;

use juniperladder_platform_model::checker::rules::Rule;
use juniperladder_platform_model::checker::{check_run, CheckConfig};
use juniperladder_platform_model::experiment::DeadlineProfile;
use juniperladder_platform_model::reader::read;
use juniperladder_platform_model::summary::Summary;
use juniperladder_platform_model::MICROS_PER_SECOND;
use juniperladder_testbed::soak::check::{check_soak, SoakFinding};
use juniperladder_testbed::soak::plan::SoakPlan;
use juniperladder_testbed::soak::run::run_soak;
use juniperladder_testbed::{run_experiment, RunOptions, TestbedError};

/// Runs the control with this flaw; `faults` is appended to the experiment file.
fn run_control(flaw: &str, faults: &str) -> Summary {
    let folder = tempfile::tempdir().unwrap();
    let program: PathBuf = folder.path().join(flaw);
    std::os::unix::fs::symlink(env!("CARGO_BIN_EXE_juniperladder-faulty-balancer"), &program).unwrap();
    let text = format!(
        "name = \"{flaw}\"\nseconds = 10\n[fleet]\nbalancers = 4\nhosts = 12\nzones = 1\nprogram = {program:?}\n\
         [load]\nrate = 160\nkeys = 300\nzipf = 0.0\nwrites = 0.03\nwarm = 4\n[origin]\ncapacity = 80\n\
         [discovery]\nnotice_s = 0.1\n{faults}"
    );
    let experiment = read(&text, &[]).unwrap();
    let (_stop_sender, stop) = tokio::sync::watch::channel(false);
    let run = run_experiment(
        &experiment,
        RunOptions { out: folder.path(), progress: &mut |_| {}, child_reaper: None, stop },
    )
    .unwrap();
    assert_eq!(run.crashes, [""; 0]);
    // Tests run in parallel on one machine, so an answer counts as late only from half a second on.
    let check_config =
        CheckConfig { tolerance: MICROS_PER_SECOND / 2, ..CheckConfig::for_experiment(&experiment) };
    check_run(&run.event_log, &check_config).summary
}

const DRAIN: &str = "[[fault]]\nat = 2\nfor = 6\nwhat = \"drain\"\nwho = \"hosts:3\"\n";
const RESTART: &str = "[[fault]]\nat = 2\nwhat = \"restart\"\nwho = \"hosts:3\"\n";
const SILENT: &str = "[[fault]]\nat = 2\nfor = 6\nwhat = \"silent\"\nwho = \"hosts:3\"\n";

/// Guards against a checker that misses a flaw, reports another rule for it, or reports a violation by a correct balancer.
#[test]
fn each_flaw_is_reported_and_a_correct_balancer_has_no_violation() {
    let all = [
        ("sound", DRAIN),
        ("late", ""),
        ("mute", ""),
        ("forge", ""),
        ("twice", ""),
        ("drop", ""),
        ("eager", ""),
        ("deaf", DRAIN),
        ("push", RESTART),
        ("herd", ""),
        ("favour", ""),
        ("shun", ""),
        ("flood", ""),
        ("stubborn", SILENT),
    ];
    let runs: Vec<_> =
        all.map(|(flaw, faults)| std::thread::spawn(move || (flaw, run_control(flaw, faults)))).into();
    for run in runs {
        let (flaw, summary) = run.join().unwrap();
        assert!(summary.requests > 1_200, "{flaw}: {summary:#?}");
        assert_rules(flaw, &summary);
        assert_spread(flaw, &summary);
        assert_origin_and_failure_detection(flaw, &summary);
    }
}

fn assert_rules(flaw: &str, summary: &Summary) {
    let rules = summary.rules;
    let violated = [rules.answers, rules.attempts, rules.drains, rules.cold].map(|count| count > 0);
    let expected = match flaw {
        "late" | "mute" | "forge" | "twice" | "drop" => [true, false, false, false],
        "eager" => [false, true, false, false],
        "deaf" => [false, false, true, false],
        "push" => [false, false, false, true],
        _ => [false; 4],
    };
    assert_eq!(violated, expected, "{flaw}: {summary:#?}");
}

fn assert_spread(flaw: &str, summary: &Summary) {
    let spread = summary.spread;
    // Some flaws have more than one effect: half of all requests to one server also looks like a herd.
    if !matches!(flaw, "push" | "favour") {
        assert_eq!(spread.herd > 1.8 * spread.fair_herd, flaw == "herd", "{flaw}: {spread:?}");
    }
    if !matches!(flaw, "push" | "herd") {
        assert_eq!(spread.peak > 2.0 * spread.fair_peak, flaw == "favour", "{flaw}: {spread:?}");
        let uneven = matches!(flaw, "favour" | "shun");
        assert_eq!(spread.least < 0.7 * spread.fair_least, uneven, "{flaw}: {spread:?}");
    }
    assert_eq!(spread.idle > 0, flaw == "shun", "{flaw}: {spread:?}");
}

fn assert_origin_and_failure_detection(flaw: &str, summary: &Summary) {
    // Flaws that send keys to other servers than their homes cause misses and thus load on the origin, so only flaws without
    // this effect are checked.
    if matches!(flaw, "sound" | "flood") {
        assert_eq!(summary.origin.peak > 1.0, flaw == "flood", "{flaw}: {:?}", summary.origin);
    }
    let detection = summary.failure_detection;
    // A twelfth of 160 requests per second goes to the server that is silent for six seconds.
    assert_eq!(detection.lost_sends > 40, flaw == "stubborn", "{flaw}: {detection:?}");
    let is_slow = detection.spread_p99_ms.is_some_and(|ms| ms > 4_000.0);
    assert_eq!(is_slow, flaw == "stubborn", "{detection:?}");
}

/// Guards against a checker that does not check a process right after its start, when it forwards to a drained server.
#[test]
fn deaf_balancer_is_reported_right_after_its_restart() {
    let restart_and_drain = "[[fault]]\nat = 1\nwhat = \"kill\"\nwho = \"balancers:0-3\"\nback = 0.2\n\
                             [[fault]]\nat = 1.1\nwhat = \"drain\"\nwho = \"hosts:3\"\nfor = 6\n";
    assert!(run_control("deaf", restart_and_drain).rules.drains > 0);
    assert_eq!(run_control("sound", restart_and_drain).rules.drains, 0);
}

/// Guards against a soak that misses requests which a process accepted and left unanswered at its exit after SIGTERM.
#[test]
fn balancer_that_exits_with_unanswered_requests_is_reported_by_the_soak() {
    let folder = tempfile::tempdir().unwrap();
    let program: PathBuf = folder.path().join("abrupt");
    std::os::unix::fs::symlink(env!("CARGO_BIN_EXE_juniperladder-faulty-balancer"), &program).unwrap();
    let plan = SoakPlan::draw(1, DeadlineProfile::Short, program.to_str().unwrap());
    let record = run_soak(&plan, folder.path(), None).unwrap();
    assert!(record.planned_ends.iter().all(|end| end.exit_code == Some(0)));
    let lost = "its connection ended without a whole answer";
    let is_loss = |finding: &SoakFinding| matches!(finding, SoakFinding::Rule(violation) if violation.rule == Rule::Answers && violation.description == lost);
    let result = check_soak(&plan, &record);
    assert!(result.findings.iter().any(is_loss), "{:?}", result.findings);
}

/// Guards against a run that hangs, or that hides the cause, if its program exits at once or does not exist.
#[test]
fn program_that_exits_or_does_not_exist_aborts_the_run_with_the_cause() {
    let run_error = |program: &str| {
        let folder = tempfile::tempdir().unwrap();
        let text = format!(
            "name = \"t\"\nseconds = 5\n[fleet]\nbalancers = 2\nhosts = 1\nprogram = {program:?}\n\
             [load]\nrate = 1\nkeys = 1\n"
        );
        let (_stop_sender, stop) = tokio::sync::watch::channel(false);
        let options = RunOptions { out: folder.path(), progress: &mut |_| {}, child_reaper: None, stop };
        run_experiment(&read(&text, &[]).unwrap(), options).err().unwrap()
    };
    let error = run_error(
        env!("CARGO_BIN_EXE_juniperladder-faulty-balancer")
            .replace("faulty-balancer", "does-not-exist")
            .as_str(),
    );
    assert!(
        matches!(&error, TestbedError::Setup(cause) if cause.to_string().contains("build it first")),
        "{error:?}"
    );
    let error = run_error("/bin/false");
    assert!(
        matches!(&error, TestbedError::Aborted(cause) if cause.to_string().contains("did not become ready")),
        "{error:?}"
    );
}
