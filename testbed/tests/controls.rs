//! Negative controls: balancers that are wrong on purpose, played on the rig as real processes. The judge has to find
//! each wrong from sockets alone, and nothing in a sound one.

use std::path::PathBuf;

use juniperladder_platform_model::checker::{check_run, CheckTerms};
use juniperladder_platform_model::reader::read;
use juniperladder_platform_model::summary::Summary;
use juniperladder_platform_model::MICROS_PER_SECOND;
use juniperladder_testbed::{play, Options, Problem};

/// Plays the control that is wrong in this way; `more` is put at the end of the experiment's file.
fn played(wrong: &str, more: &str) -> Summary {
    let folder = tempfile::tempdir().unwrap();
    let program: PathBuf = folder.path().join(wrong);
    std::os::unix::fs::symlink(env!("CARGO_BIN_EXE_juniperladder-faulty-balancer"), &program).unwrap();
    let text = format!(
        "name = \"{wrong}\"\nseconds = 10\n[fleet]\nbalancers = 4\nhosts = 12\nzones = 1\nprogram = {program:?}\n\
         [load]\nrate = 160\nkeys = 300\nzipf = 0.0\nwrites = 0.03\nwarm = 4\n[origin]\ncapacity = 80\n\
         [discovery]\nnotice_s = 0.1\n{more}"
    );
    let experiment = read(&text, &[]).unwrap();
    let (_keep, stop) = tokio::sync::watch::channel(false);
    let run =
        play(&experiment, Options { out: folder.path(), progress: &mut |_| {}, child_reaper: None, stop })
            .unwrap();
    assert_eq!(run.crashes, [""; 0]);
    // Tests share the machine with others: an answer may be half a second late before it counts as that.
    let terms = CheckTerms { tolerance: MICROS_PER_SECOND / 2, ..CheckTerms::of(&experiment) };
    check_run(&run.event_log, &terms).summary
}

const DRAIN: &str = "[[fault]]\nat = 2\nfor = 6\nwhat = \"drain\"\nwho = \"hosts:3\"\n";
const RESTART: &str = "[[fault]]\nat = 2\nwhat = \"restart\"\nwho = \"hosts:3\"\n";
const SILENT: &str = "[[fault]]\nat = 2\nfor = 6\nwhat = \"silent\"\nwho = \"hosts:3\"\n";

#[test]
fn each_wrong_is_found_and_nothing_in_a_sound_balancer() {
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
        all.map(|(wrong, more)| std::thread::spawn(move || (wrong, played(wrong, more)))).into();
    for run in runs {
        let (wrong, s) = run.join().unwrap();
        let r = s.rules;
        let rules = [r.answers, r.attempts, r.drains, r.cold].map(|count| count > 0);
        let broken = match wrong {
            "late" | "mute" | "forge" | "twice" | "drop" => [true, false, false, false],
            "eager" => [false, true, false, false],
            "deaf" => [false, false, true, false],
            "push" => [false, false, false, true],
            _ => [false; 4],
        };
        assert_eq!(rules, broken, "{wrong}: {s:#?}");
        assert!(s.requests > 1_200, "{wrong}: {s:#?}");
        let spread = s.spread;
        // Some are wrong in more than one way: a server that gets half of everything is a herd's, too.
        if !matches!(wrong, "push" | "favour") {
            assert_eq!(spread.herd > 1.8 * spread.fair_herd, wrong == "herd", "{wrong}: {spread:?}");
        }
        if !matches!(wrong, "push" | "herd") {
            assert_eq!(spread.peak > 2.0 * spread.fair_peak, wrong == "favour", "{wrong}: {spread:?}");
            let uneven = matches!(wrong, "favour" | "shun");
            assert_eq!(spread.least < 0.7 * spread.fair_least, uneven, "{wrong}: {spread:?}");
        }
        assert_eq!(spread.idle > 0, wrong == "shun", "{wrong}: {spread:?}");
        // Where keys leave their homes they miss, and the origin has it: that is found as well, and not a wrong of ours.
        if matches!(wrong, "sound" | "flood") {
            assert_eq!(s.origin.peak > 1.0, wrong == "flood", "{wrong}: {:?}", s.origin);
        }
        let verdicts = s.failure_detection;
        // A twelfth of 160 a second goes into six seconds of silence.
        assert_eq!(verdicts.lost_sends > 40, wrong == "stubborn", "{wrong}: {verdicts:?}");
        assert_eq!(
            verdicts.spread_p99_ms.is_some_and(|ms| ms > 4_000.0),
            wrong == "stubborn",
            "{verdicts:?}"
        );
    }
}

/// A program that ends at once, and one that is not there.
#[test]
fn a_process_that_does_not_come_up_ends_the_run_with_its_reason() {
    let reason = |program: &str| {
        let folder = tempfile::tempdir().unwrap();
        let text = format!(
            "name = \"t\"\nseconds = 5\n[fleet]\nbalancers = 2\nhosts = 1\nprogram = {program:?}\n\
             [load]\nrate = 1\nkeys = 1\n"
        );
        let (_keep, stop) = tokio::sync::watch::channel(false);
        let options = Options { out: folder.path(), progress: &mut |_| {}, child_reaper: None, stop };
        play(&read(&text, &[]).unwrap(), options).err().unwrap()
    };
    let ended = reason(
        env!("CARGO_BIN_EXE_juniperladder-faulty-balancer")
            .replace("faulty-balancer", "does-not-exist")
            .as_str(),
    );
    assert!(matches!(&ended, Problem::NotAllowed(what) if what.contains("build it first")), "{ended:?}");
    let ended = reason("/bin/false");
    assert!(matches!(&ended, Problem::Broken(what) if what.contains("did not come up")), "{ended:?}");
}
