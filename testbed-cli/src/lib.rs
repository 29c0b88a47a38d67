//! The commands of the testbed's program, which is a line round [`main`]; tests call the same.

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
    /// What to do.
    #[command(subcommand)]
    pub command: Command,
}

/// A command of the program.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Runs an experiment: 0 run and every rule and stated bound kept, 1 something broken, 2 not allowed (nothing
    /// was started), 3 the testbed was late and the run does not count
    Run(run::RunArgs),
    /// Checks an experiment's file without running it
    Check {
        /// The file
        file: PathBuf,
        /// Overrides one value, as in load.rate=300; may be given more than once
        #[arg(long, value_name = "PATH=VALUE")]
        set: Vec<String>,
    },
    /// Prints the schema of an experiment's file
    Schema,
    /// Compares runs, paired by seed, with intervals; says when a difference is noise
    Compare {
        /// Folders of runs, or folders that hold them
        before: PathBuf,
        /// The same for the other version
        after: PathBuf,
    },
    /// Prints a table over many runs, by experiment and number of balancers, in Markdown
    Overview {
        /// The folder that holds the runs
        folder: PathBuf,
        /// Draws a chart by the number of balancers into this file
        #[arg(long, value_name = "FILE.svg")]
        chart: Option<PathBuf>,
    },
    /// Deals a run's sends out anew by other placements, and tells where its unevenness comes from
    Replay {
        /// The run's folder
        folder: PathBuf,
    },
    /// Writes a run's report anew from what it left
    Report {
        /// The run's folder
        folder: PathBuf,
    },
    /// Runs the control code of many members in one process, over sockets or in simulated time: 0 it counts, 1 a check
    /// failed, 2 not allowed (nothing was started), 3 the test bed was late and the run does not count
    Scale(scale_args::ScaleArgs),
    /// Runs many short seeded runs round the planned end of processes: 0 every rule kept, 1 something broken (each failing seed
    /// is printed with the command that runs it again), 2 not allowed (nothing was started)
    Soak(soak::SoakArgs),
    /// Fits a column of a table to another: which law describes the cost, and what the smaller sizes say of the largest
    Fit {
        /// The table, as CSV
        table: PathBuf,
        /// The column of the sizes
        #[arg(long, default_value = "members")]
        x: String,
        /// The column of the cost
        #[arg(long)]
        y: String,
    },
    /// Ends the processes named on standard input once it closes; the testbed starts this itself
    #[command(hide = true)]
    Reap,
    /// Runs a small whole fleet with one fault, about 20 s, and says where the report is
    Demo {
        /// The folder for what it leaves
        #[arg(long, default_value = "target/lab/demo")]
        out: PathBuf,
    },
}

/// Does what the arguments say; the exit code is one of [`exit`].
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

/// Ends the processes of a testbed that is gone.
fn reap_processes() -> ExitStatus {
    reap(std::io::stdin().lock());
    ExitStatus::ALL_KEPT
}
