//! `run`, `check`, `schema` and `demo`.

use std::io::IsTerminal;
use std::path::{Path, PathBuf};
use std::time::Duration;

use indicatif::{ProgressBar, ProgressDrawTarget, ProgressStyle};
use juniperladder_platform_model::checker::self_reports::check_self_reports;
use juniperladder_platform_model::checker::{check_run, CheckResult, CheckTerms};
use juniperladder_platform_model::experiment::Experiment;
use juniperladder_platform_model::reader::read;
use juniperladder_platform_model::schedule::schedule;
use juniperladder_testbed::child_reaper::{reap, ChildReaper};
use juniperladder_testbed::{play, Options, Played, Problem, Progress};

use crate::exit::{BROKEN, KEPT, LATE, NOT_ALLOWED};
use crate::{report, tables};

/// The rig's lag in milliseconds, at the 99th percentile, over which a run does not count.
const LATE_MS: f64 = 20.0;

/// The demonstration: twelve processes, a server in six falls silent.
const DEMO: &str = include_str!("../demo.toml");

/// How an experiment is played.
#[derive(Debug, clap::Args)]
pub struct Run {
    /// The file
    pub file: PathBuf,
    /// The folder for what the run leaves
    #[arg(long)]
    pub out: PathBuf,
    /// The seed; the file's own by default
    #[arg(long)]
    pub seed: Option<u64>,
    /// So many seeds in turn, each in a folder of its own below OUT
    #[arg(long)]
    pub seeds: Option<u64>,
    /// Overrides one value, as in load.rate=300; may be given more than once
    #[arg(long, value_name = "PATH=VALUE")]
    pub set: Vec<String>,
}

/// Reads an experiment; its problems are told.
fn experiment(file: &Path, set: &[String], seed: Option<u64>) -> Result<Experiment, u8> {
    let text = std::fs::read_to_string(file).map_err(|e| {
        eprintln!("{}: {e}", file.display());
        NOT_ALLOWED
    })?;
    let mut set = set.to_vec();
    set.extend(seed.map(|seed| format!("seed={seed}")));
    read(&text, &set).map_err(|problems| {
        for problem in problems {
            eprintln!("{}: {problem}", file.display());
        }
        NOT_ALLOWED
    })
}

/// Plays an experiment's file, with one seed or several in turn; the worst exit code of them.
pub fn run(run: &Run) -> u8 {
    let first = match experiment(&run.file, &run.set, run.seed) {
        Ok(experiment) => experiment,
        Err(code) => return code,
    };
    let Some(seeds) = run.seeds else { return played(&first, &run.out) };
    let mut worst = KEPT;
    for seed in first.seed..first.seed + seeds {
        let code = match experiment(&run.file, &run.set, Some(seed)) {
            Ok(experiment) => played(&experiment, &run.out.join(format!("seed-{seed}"))),
            Err(code) => code,
        };
        if code == NOT_ALLOWED {
            return code;
        }
        // A breach weighs more than a run that does not count.
        worst = if worst == BROKEN || code == BROKEN { BROKEN } else { worst.max(code) };
    }
    worst
}

/// Checks an experiment's file.
pub fn check(file: &Path, set: &[String]) -> u8 {
    match experiment(file, set, None) {
        Ok(e) => {
            println!(
                "{}: {} balancers, {} hosts, {} commands a second for {} s, {} faults",
                e.name,
                e.fleet.balancers,
                e.fleet.servers,
                e.load.rate,
                e.seconds,
                e.fault.len()
            );
            KEPT
        }
        Err(code) => code,
    }
}

/// Prints the schema of an experiment's file.
pub fn schema() -> u8 {
    let schema = schemars::schema_for!(Experiment);
    println!("{}", serde_json::to_string_pretty(&schema).unwrap_or_default());
    KEPT
}

/// Ends the processes of a rig that is gone.
pub fn reap_processes() -> u8 {
    reap(std::io::stdin().lock());
    KEPT
}

/// Plays the demonstration.
pub fn demo(out: &Path) -> u8 {
    let mut experiment = match read(DEMO, &[]) {
        Ok(experiment) => experiment,
        Err(problems) => {
            problems.iter().for_each(|problem| eprintln!("the demonstration's file: {problem}"));
            return NOT_ALLOWED;
        }
    };
    // The balancer stands beside this program, whatever folder one is in.
    let beside = std::env::current_exe().ok().and_then(|own| Some(own.parent()?.join("juniperladder")));
    if let Some(program) = beside.filter(|program| program.is_file()) {
        experiment.fleet.program = program.to_string_lossy().into_owned();
    }
    if !Path::new(&experiment.fleet.program).is_file() && !built() {
        eprintln!("the balancer is not built yet: cargo build --release --locked");
        return NOT_ALLOWED;
    }
    let code = played(&experiment, out);
    println!("report: {}", out.join("report.html").display());
    code
}

/// Builds the balancer where this is its workspace: `cargo run -p juniperladder-testbed` builds the laboratory alone.
fn built() -> bool {
    if !Path::new("cli/Cargo.toml").is_file() {
        return false;
    }
    println!("the balancer is not built yet: building it");
    let build = ["build", "--release", "--locked", "-p", "juniperladder-cli"];
    std::process::Command::new("cargo").args(build).status().is_ok_and(|status| status.success())
}

/// Plays an experiment, writes all that it leaves and says how it went.
fn played(experiment: &Experiment, out: &Path) -> u8 {
    if let Err(e) = std::fs::create_dir_all(out) {
        eprintln!("{}: {e}", out.display());
        return NOT_ALLOWED;
    }
    let run = match go(experiment, out) {
        Ok(run) => run,
        Err(problem) => {
            eprintln!("{problem}");
            return if matches!(problem, Problem::NotAllowed(_)) { NOT_ALLOWED } else { BROKEN };
        }
    };
    let terms = CheckTerms::of(experiment);
    let terms =
        CheckTerms { measured_until: run.end.max(terms.measured_from + 1), stated: run.stated, ..terms };
    let verdict = judged(experiment, &run, &terms);
    let written = tables::write(out, experiment, &run.event_log, &terms, &verdict, &run.crashes)
        .and_then(|()| tables::holders(out, &run.holders, &terms));
    if let Err(e) = written.map_err(Into::into).and_then(|()| report::write(out)) {
        eprintln!("{}: {e}", out.display());
        return BROKEN;
    }
    tell(&verdict, &run)
}

/// Judges what a run left, and fills in what it cost.
pub fn judged(experiment: &Experiment, run: &Played, terms: &CheckTerms) -> CheckResult {
    let mut verdict = check_run(&run.event_log, terms);
    let summary = &mut verdict.summary;
    summary.name = experiment.name.clone();
    summary.seed = experiment.seed;
    summary.processes.started = run.started;
    summary.processes.crashed = run.crashes.len() as u64;
    summary.cpu.balancer_ms_per_request =
        run.balancers_cpu_s * 1e3 / run.event_log.requests.len().max(1) as f64;
    if let Some((packets, bytes)) = run.talk {
        (summary.peers.packets_per_s, summary.peers.bytes_per_s) = (packets, bytes);
    }
    summary.cpu.testbed_s = run.rig_cpu_s;
    if run.stated.is_some() {
        let cut = schedule(experiment).links.has_faults_between_balancers();
        let told = check_self_reports(&run.event_log, terms, &run.holders, cut);
        summary.peers.members_max_wrong_s = told.members_wrong_s;
        (summary.failure_detection.wrongly_avoided, summary.failure_detection.stale_max_ms) =
            (told.wrongly_avoided, told.oldest_report_ms);
    }
    verdict
}

/// Plays, with progress on a terminal; Ctrl-C ends the load with what there is.
fn go(experiment: &Experiment, out: &Path) -> Result<Played, Problem> {
    let (stop, stopped) = tokio::sync::watch::channel(false);
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        // Without it Ctrl-C ends the program at once; the processes end with it all the same.
        if let Ok(runtime) = runtime {
            if runtime.block_on(tokio::signal::ctrl_c()).is_ok() {
                let _ = stop.send(true);
            }
        }
    });
    let seconds = experiment.seconds + experiment.load.warm;
    let bar = ProgressBar::new((seconds * 10.0) as u64);
    if !std::io::stderr().is_terminal() {
        bar.set_draw_target(ProgressDrawTarget::hidden());
    }
    let style =
        ProgressStyle::with_template("{msg:28} {wide_bar} {eta}").unwrap_or(ProgressStyle::default_bar());
    bar.set_style(style);
    bar.enable_steady_tick(Duration::from_millis(200));
    let count = experiment.fleet.balancers;
    let mut progress = |progress| match progress {
        Progress::Ready(ready) => bar.set_message(format!("{ready} of {count} processes ready")),
        Progress::Load(at) if at < experiment.load.warm => {
            bar.set_message("the caches fill");
            bar.set_position((at * 10.0) as u64);
        }
        Progress::Load(at) => {
            bar.set_message(experiment.name.clone());
            bar.set_position((at * 10.0) as u64);
        }
    };
    // Without a child reaper the processes still end with the rig, unless that is killed outright.
    let child_reaper = std::env::current_exe().and_then(|own| ChildReaper::start(&own)).ok();
    let run = play(experiment, Options { out, progress: &mut progress, child_reaper, stop: stopped });
    bar.finish_and_clear();
    run
}

/// Says how a run went, the worst on the last line.
fn tell(verdict: &CheckResult, run: &Played) -> u8 {
    let s = &verdict.summary;
    let share = |part: u64| 100.0 * part as f64 / s.requests.max(1) as f64;
    println!(
        "{} seed {}: {} commands, served {:.1}%, refused {:.1}%, failed {:.1}%, lost {}; service {:.3}",
        s.name,
        s.seed,
        s.requests,
        share(s.served),
        share(s.rejected),
        share(s.failed),
        s.lost,
        s.service
    );
    println!(
        "spread: peak {:.2} (fair {:.2}), least {:.2} ({:.2}), idle {}, herd {:.1} ({:.1}); {:.2} attempts a command",
        s.spread.peak,
        s.spread.fair_peak,
        s.spread.least,
        s.spread.fair_least,
        s.spread.idle,
        s.spread.herd,
        s.spread.fair_herd,
        s.attempts_per_request
    );
    println!(
        "origin: peak {:.2} of its capacity, {} fetches; lost sends {}; p50 {:.0} ms, p99 {:.0} ms",
        s.origin.peak, s.origin.fetches, s.failure_detection.lost_sends, s.latency_ms.p50, s.latency_ms.p99
    );
    for (name, limit) in s.limits.iter().filter(|(_, limit)| limit.bound.is_some()) {
        println!(
            "limit {name}: whole {:.0}, bound {:.2}, peak {:.3}, use {}; talk {:.1} packets, {:.0} bytes a second a member",
            limit.limit,
            limit.bound.unwrap_or_default(),
            limit.peak,
            limit.usage.map_or("-".into(), |part| format!("{part:.3}")),
            s.peers.packets_per_s,
            s.peers.bytes_per_s
        );
    }
    println!(
        "rig: lag p99 {:.1} ms, {:.1} s of processor time; balancers {:.2} ms a command; {} processes started",
        s.lag_p99_ms, s.cpu.testbed_s, s.cpu.balancer_ms_per_request, s.processes.started
    );
    for crash in run.crashes.iter().take(3) {
        println!("{crash}");
    }
    for violation in verdict.violations.iter().take(3) {
        println!("{:?}: {}", violation.rule, violation.description);
        violation.request_trace.iter().for_each(|line| println!("    {line}"));
    }
    if run.stopped {
        println!("stopped before its end: what there is has been written");
    }
    if !run.crashes.is_empty() {
        println!("BROKEN: {} processes ended without being told to", run.crashes.len());
        return BROKEN;
    }
    if let (Some(expiry), oldest) = (s.failure_detection.stale_bound_ms, s.failure_detection.stale_max_ms) {
        println!(
            "verdicts: the oldest word that acted {} ms (stated {expiry:.0}), wrong {}; host avoided by all after {} ms",
            oldest.map_or("-".into(), |ms| format!("{ms:.0}")),
            s.failure_detection.wrongly_avoided,
            s.failure_detection.avoided_ms.map_or("-".into(), |ms| format!("{ms:.0}")),
        );
        if oldest.is_some_and(|oldest| oldest > expiry) {
            println!("BROKEN: a word acted longer than is stated");
            return BROKEN;
        }
    }
    let over: Vec<&String> = s
        .limits
        .iter()
        .filter(|(_, l)| l.bound.is_some_and(|bound| l.peak > bound))
        .map(|(name, _)| name)
        .collect();
    if s.rules.total() > 0 || !over.is_empty() {
        let r = s.rules;
        println!(
            "BROKEN: rules answers {}, attempts {}, drains {}, cold {}; limits over their bound: {over:?}",
            r.answers, r.attempts, r.drains, r.cold
        );
        return BROKEN;
    }
    if s.lag_p99_ms > LATE_MS {
        println!(
            "LATE: the rig's sends were {:.1} ms behind their plan, over {LATE_MS}: the run does not count",
            s.lag_p99_ms
        );
        return LATE;
    }
    println!("kept: every rule and every stated bound");
    KEPT
}
