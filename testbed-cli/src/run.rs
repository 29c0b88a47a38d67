//! `run`: runs an experiment file, writes the files of the run, and prints the result.

use std::io::IsTerminal;
use std::path::{Path, PathBuf};
use std::time::Duration;

use indicatif::{ProgressBar, ProgressDrawTarget, ProgressStyle};
use juniperladder_platform_model::checker::self_reports::check_self_reports;
use juniperladder_platform_model::checker::{check_run, CheckConfig, CheckResult};
use juniperladder_platform_model::experiment::Experiment;
use juniperladder_platform_model::schedule::compile_schedule;
use juniperladder_testbed::child_reaper::ChildReaper;
use juniperladder_testbed::{run_experiment, Progress, RunOptions, RunRecord, TestbedError};
use tokio::sync::watch;

use crate::exit::ExitStatus;
use crate::experiment_file::read_experiment;
use crate::run_outcome::print_outcome;
use crate::{report, tables};

/// Steps of the progress bar per second of load.
const PROGRESS_STEPS_PER_S: f64 = 10.0;
/// Interval between two draws of the progress bar.
const PROGRESS_DRAW_INTERVAL: Duration = Duration::from_millis(200);

/// Arguments of `run`.
#[derive(Debug, clap::Args)]
pub struct RunArgs {
    /// The experiment file
    pub file: PathBuf,
    /// The output folder
    #[arg(long)]
    pub out: PathBuf,
    /// The seed; by default that of the file
    #[arg(long)]
    pub seed: Option<u64>,
    /// Runs this many consecutive seeds, each in a folder of its own below OUT
    #[arg(long)]
    pub seeds: Option<u64>,
    /// Overrides one value of the file, such as load.rate=300; may be repeated
    #[arg(long, value_name = "PATH=VALUE")]
    pub set: Vec<String>,
}

/// Runs an experiment file with one seed or several consecutive ones, up to one that cannot be run; returns the worst status.
pub fn run(args: &RunArgs) -> ExitStatus {
    let first_experiment = match read_experiment(&args.file, &args.set, args.seed) {
        Ok(experiment) => experiment,
        Err(status) => return status,
    };
    let Some(seeds) = args.seeds else { return run_once(&first_experiment, &args.out) };
    let mut worst = ExitStatus::PASSED;
    for seed in first_experiment.seed..first_experiment.seed + seeds {
        let status = match read_experiment(&args.file, &args.set, Some(seed)) {
            Ok(experiment) => run_once(&experiment, &args.out.join(format!("seed-{seed}"))),
            Err(status) => status,
        };
        if status == ExitStatus::CANNOT_RUN {
            return status;
        }
        worst = worst.worse(status);
    }
    worst
}

/// Runs an experiment, writes its files and prints the result.
pub fn run_once(experiment: &Experiment, out: &Path) -> ExitStatus {
    if let Err(error) = std::fs::create_dir_all(out) {
        eprintln!("cannot create the output folder {}: {error}", out.display());
        return ExitStatus::CANNOT_RUN;
    }
    let run = match run_with_progress(experiment, out) {
        Ok(run) => run,
        Err(error) => {
            eprintln!("{error}");
            return status_of_error(&error);
        }
    };
    let check_config = CheckConfig::for_experiment(experiment);
    let measured_until = run.ended_at.max(check_config.measured_from + 1);
    let check_config = CheckConfig { measured_until, stated: run.stated_bounds, ..check_config };
    let checked = check_with_costs(experiment, &run, &check_config);
    if let Err(error) = write_files(out, experiment, &run, &check_config, &checked) {
        eprintln!("cannot write the files of the run to {}: {error}", out.display());
        return ExitStatus::FAILED;
    }
    print_outcome(&checked, &run)
}

/// The exit status of a run that failed without a record.
pub fn status_of_error(error: &TestbedError) -> ExitStatus {
    match error {
        TestbedError::Setup(_) => ExitStatus::CANNOT_RUN,
        TestbedError::Aborted(_) => ExitStatus::FAILED,
    }
}

fn write_files(
    out: &Path,
    experiment: &Experiment,
    run: &RunRecord,
    check_config: &CheckConfig,
    checked: &CheckResult,
) -> Result<(), Box<dyn std::error::Error>> {
    tables::write_tables(out, experiment, run, check_config, checked)?;
    report::write_report(out)
}

/// Checks the record of a run, and adds its costs and the findings on the self-reports to the summary.
fn check_with_costs(experiment: &Experiment, run: &RunRecord, check_config: &CheckConfig) -> CheckResult {
    let mut checked = check_run(&run.event_log, check_config);
    let summary = &mut checked.summary;
    summary.name = experiment.name.clone();
    summary.seed = experiment.seed;
    summary.processes.started = run.process_starts;
    summary.processes.crashed = run.crashes.len() as u64;
    let requests = run.event_log.requests.len().max(1) as f64;
    summary.cpu.balancer_ms_per_request = run.balancers_cpu_s * 1e3 / requests;
    summary.cpu.testbed_s = run.testbed_cpu_s;
    if let Some(rates) = run.peer_traffic {
        summary.peers.packets_per_s = rates.packets_per_s;
        summary.peers.bytes_per_s = rates.bytes_per_s;
    }
    if run.stated_bounds.is_some() {
        let has_link_faults = compile_schedule(experiment).links.has_faults_between_balancers();
        let findings = check_self_reports(&run.event_log, check_config, &run.self_reports, has_link_faults);
        summary.peers.members_max_wrong_s = findings.members_wrong_s;
        summary.failure_detection.wrongly_avoided = findings.wrongly_avoided;
        summary.failure_detection.stale_max_ms = findings.oldest_report_ms;
    }
    checked
}

/// Runs an experiment with a progress bar if stderr is a terminal. Ctrl-C ends the load early and keeps the record so far.
fn run_with_progress(experiment: &Experiment, out: &Path) -> Result<RunRecord, TestbedError> {
    let stop = stop_on_ctrl_c();
    let bar = progress_bar(experiment);
    let mut progress = |progress| show_progress(&bar, experiment, progress);
    // Without a child reaper the processes still end with the testbed, unless the testbed is killed by SIGKILL.
    let child_reaper = std::env::current_exe().and_then(|own| ChildReaper::start(&own)).ok();
    let options = RunOptions { out, progress: &mut progress, child_reaper, stop };
    let run = run_experiment(experiment, options);
    bar.finish_and_clear();
    run
}

/// A channel whose value becomes true on Ctrl-C.
fn stop_on_ctrl_c() -> watch::Receiver<bool> {
    let (stop, stopped) = watch::channel(false);
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        // Without a runtime Ctrl-C terminates this program at once; the processes still end with it.
        if let Ok(runtime) = runtime {
            if runtime.block_on(tokio::signal::ctrl_c()).is_ok() {
                let _ = stop.send(true);
            }
        }
    });
    stopped
}

fn progress_bar(experiment: &Experiment) -> ProgressBar {
    let seconds = experiment.seconds + experiment.load.warm_up_s;
    let bar = ProgressBar::new((seconds * PROGRESS_STEPS_PER_S) as u64);
    if !std::io::stderr().is_terminal() {
        bar.set_draw_target(ProgressDrawTarget::hidden());
    }
    let style = ProgressStyle::with_template("{msg:28} {wide_bar} {eta}");
    bar.set_style(style.unwrap_or(ProgressStyle::default_bar()));
    bar.enable_steady_tick(PROGRESS_DRAW_INTERVAL);
    bar
}

fn show_progress(bar: &ProgressBar, experiment: &Experiment, progress: Progress) {
    match progress {
        Progress::Ready(ready) => {
            bar.set_message(format!("{ready} of {} processes ready", experiment.fleet.balancers));
        }
        Progress::Load(seconds) => {
            let is_warming_up = seconds < experiment.load.warm_up_s;
            bar.set_message(if is_warming_up { "the caches fill".into() } else { experiment.name.clone() });
            bar.set_position((seconds * PROGRESS_STEPS_PER_S) as u64);
        }
    }
}
