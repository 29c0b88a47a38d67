//! `juniperladder-testbed`: runs experiments with fleets of real processes under faults, and reports on them.

use std::process::ExitCode;

use clap::Parser;

fn main() -> ExitCode {
    juniperladder_testbed_cli::main(juniperladder_testbed_cli::Args::parse())
}
