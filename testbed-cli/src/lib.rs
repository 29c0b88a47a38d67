//! The commands of the testbed program. The binary only parses its arguments and calls [`main`].

pub mod charts;
pub mod compare;
pub mod demo;
pub mod exit;
pub mod experiment_file;
pub mod fit;
pub mod fit_table;
pub mod overview;
pub mod replay;
pub mod report;
pub mod run;
mod run_outcome;
pub mod scale;
pub mod scale_args;
pub mod scale_run;
mod scale_table;
pub mod sizes;
pub mod soak;
pub mod tables;

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Parser, Subcommand};
use juniperladder_testbed::child_reaper::reap;

use exit::ExitStatus;

/// Runs experiments with fleets of real processes under faults, and reports on them.
#[derive(Debug, Parser)]
#[command(name = "juniperladder-testbed", version, arg_required_else_help = true)]
pub struct Args {
    /// The command to run.
    #[command(subcommand)]
    pub command: Command,
}

/// A command of the program.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Runs an experiment. Exit codes: 0 completed with every rule and stated bound kept, 1 a rule or a bound was
    /// broken, a process crashed, the run was aborted or its files could not be written, 2 the file or the machine does not
    /// allow the run (nothing was started), 3 the testbed fell behind its schedule, so the run does not count
    Run(run::RunArgs),
    /// Checks an experiment file without running the experiment
    Check {
        /// The experiment file
        file: PathBuf,
        /// Overrides one value of the file, such as load.rate=300; may be repeated
        #[arg(long, value_name = "PATH=VALUE")]
        set: Vec<String>,
    },
    /// Prints the JSON schema of experiment files
    Schema,
    /// Compares the runs of two versions, paired by experiment and seed, with confidence intervals, and says which
    /// differences are noise
    Compare {
        /// The folder of a run before the change, or a folder with such runs below it
        before: PathBuf,
        /// The folder of a run after the change, or a folder with such runs below it
        after: PathBuf,
    },
    /// Prints a Markdown table of many runs, by experiment and number of balancers
    Overview {
        /// The folder with the runs below it
        folder: PathBuf,
        /// Writes a chart of the figures by number of balancers to this file
        #[arg(long, value_name = "FILE.svg")]
        chart: Option<PathBuf>,
    },
    /// Reassigns a run's sends to servers under other placements, and shows where the load imbalance comes from
    Replay {
        /// The run's folder
        folder: PathBuf,
    },
    /// Regenerates report.html from the files of a run
    Report {
        /// The run's folder
        folder: PathBuf,
    },
    /// Runs the control code of many members in one process, over sockets or in simulated time. Exit codes: 0 the run
    /// counts, 1 a check failed or the run was aborted, 2 the arguments or the machine do not allow the run, or its files
    /// cannot be written, 3 the testbed fell behind its schedule, so the run does not count
    Scale(scale_args::ScaleArgs),
    /// Runs many short seeded experiments that shut processes down gracefully. Exit codes: 0 every rule kept, 1 a rule
    /// broken (each failing seed is printed with the command that repeats it) or a run aborted, 2 the machine does not
    /// allow the run of a seed (nothing was started for it)
    Soak(soak::SoakArgs),
    /// Fits a cost column of a table to its size column: the growth law that describes the cost, and the cost of the
    /// largest size as predicted from the smaller sizes
    Fit {
        /// The table, as CSV
        table: PathBuf,
        /// Name of the column with the sizes
        #[arg(long, default_value = "members")]
        x: String,
        /// Name of the column with the cost
        #[arg(long)]
        y: String,
    },
    /// Kills the processes listed on standard input once standard input closes; started by the testbed itself
    #[command(hide = true)]
    Reap,
    /// Runs a small complete fleet with one fault for about 20 s, and prints the path of the report
    Demo {
        /// The output folder
        #[arg(long, default_value = "target/lab/demo")]
        out: PathBuf,
    },
}

/// Runs the command of these arguments; the exit code is one of [`exit`].
pub fn main(args: Args) -> ExitCode {
    let status = match args.command {
        Command::Run(args) => run::run(&args),
        Command::Check { file, set } => experiment_file::check(&file, &set),
        Command::Schema => experiment_file::schema(),
        Command::Compare { before, after } => compare::compare(&before, &after),
        Command::Overview { folder, chart } => overview::overview(&folder, chart.as_deref()),
        Command::Replay { folder } => replay::replay(&folder),
        Command::Report { folder } => report::rewrite_report(&folder),
        Command::Scale(args) => scale::scale(&args),
        Command::Soak(args) => soak::soak(&args),
        Command::Fit { table, x, y } => fit_table::fit_table(&table, &x, &y),
        Command::Reap => reap_processes(),
        Command::Demo { out } => demo::demo(&out),
    };
    status.into()
}

/// Kills the processes that a terminated testbed left behind.
fn reap_processes() -> ExitStatus {
    reap(std::io::stdin().lock());
    ExitStatus::PASSED
}
