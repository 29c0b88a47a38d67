//! One run of a scale test, in this process or in a child process: its files and its exit status.

use std::path::Path;
use std::process::Command;

use juniperladder_testbed::scale::results::MAX_TIMER_LATENESS_MS;
use juniperladder_testbed::scale::{self, FaultScenario, Mechanism, Outcome, Summary};

use crate::exit::ExitStatus;
use crate::run::status_of_error;
use crate::scale_args::ScaleArgs;
use crate::scale_table;

/// Longest measurement of a calibration run, in seconds.
const MAX_CALIBRATION_S: f64 = 10.0;
/// Warm-up of a calibration run before anything is measured, in seconds.
const CALIBRATION_WARM_UP_S: f64 = 2.0;
/// Lower bound of the packet rate that divides the byte rate, against division by zero.
const MIN_PACKETS_PER_S: f64 = 1e-9;

/// Runs a scale test at one size, writes its files and prints its summary.
pub fn run_single_size(args: &ScaleArgs) -> ExitStatus {
    let outcome = match scale::run_scale_test(args.config()) {
        Ok(outcome) => outcome,
        Err(error) => {
            eprintln!("{error}");
            return status_of_error(&error);
        }
    };
    if let Err(error) = write_files(&args.out, &outcome) {
        eprintln!("cannot write the files of the scale test to {}: {error}", args.out.display());
        return ExitStatus::CANNOT_RUN;
    }
    scale_table::print_summary(&outcome.summary);
    if args.calibrate && !args.virtual_time {
        calibrate(args, &outcome.summary);
    }
    print_status(&outcome.summary)
}

/// Prints why a run failed or does not count, if so; returns its exit status.
pub fn print_status(summary: &Summary) -> ExitStatus {
    if let Some(purge) = summary.purge.filter(|purge| purge.missed_completed_purges > 0) {
        println!(
            "BROKEN: {} times a member served without a purge that had been reported as done",
            purge.missed_completed_purges
        );
        return ExitStatus::FAILED;
    }
    if summary.is_valid() {
        return ExitStatus::PASSED;
    }
    println!(
        "LATE: the testbed's timers fired {:.1} ms late at the 99th percentile, over {MAX_TIMER_LATENESS_MS} ms: the run does not count",
        summary.lag_p99_ms
    );
    ExitStatus::TESTBED_LATE
}

/// Runs endpoints without control code in a child process, with the packet rate and mean packet size of the finished run.
fn calibrate(args: &ScaleArgs, summary: &Summary) {
    let sent = summary.steady_state.sent;
    let calibration = ScaleArgs {
        mechanism: Mechanism::Calibration,
        event: FaultScenario::None,
        flaw: None,
        calibrate: false,
        warm_up: CALIBRATION_WARM_UP_S,
        seconds: args.seconds.min(MAX_CALIBRATION_S),
        calibration_packets: sent.packets_per_s,
        calibration_length: (sent.bytes_per_s / sent.packets_per_s.max(MIN_PACKETS_PER_S)) as usize,
        out: args.out.join("calibration"),
        ..args.clone()
    };
    println!("the same traffic without control code:");
    if run_in_child_process(&calibration).is_none() {
        println!("the calibration run failed");
    }
}

/// The summary in the output folder, if its run had the same number of members, seed, mechanism, event and kind of time.
pub fn saved_summary(args: &ScaleArgs) -> Option<Summary> {
    let summary = read_summary(&args.out)?;
    let is_same = summary.members == args.members
        && summary.seed == args.seed
        && summary.mechanism == args.mechanism.name()
        && summary.event == args.event.name()
        && summary.virtual_time == args.virtual_time;
    is_same.then_some(summary)
}

/// Runs a scale test in a child process, so that its memory is measured separately. Returns the summary and the exit status,
/// or none if the process could not do the run or left no summary.
pub fn run_in_child_process(args: &ScaleArgs) -> Option<(Summary, ExitStatus)> {
    let program = std::env::current_exe().ok()?;
    let process = Command::new(program).args(args.arguments()).status().ok()?;
    let status = ExitStatus::from_exit_code(u8::try_from(process.code()?).ok()?);
    if status == ExitStatus::CANNOT_RUN {
        return None;
    }
    Some((read_summary(&args.out)?, status))
}

fn read_summary(folder: &Path) -> Option<Summary> {
    let text = std::fs::read_to_string(folder.join("summary.json")).ok()?;
    serde_json::from_str(&text).ok()
}

fn write_files(out: &Path, outcome: &Outcome) -> std::io::Result<()> {
    std::fs::create_dir_all(out)?;
    let text = serde_json::to_string_pretty(&outcome.summary)?;
    std::fs::write(out.join("summary.json"), text + "\n")?;
    let mut members = csv::Writer::from_path(out.join("members.csv"))?;
    for row in &outcome.members {
        members.serialize(row)?;
    }
    members.flush()
}
