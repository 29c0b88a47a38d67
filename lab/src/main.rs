//! `juniperladder-lab`: plays experiments with fleets of real processes under faults, and reports on them.

use std::process::ExitCode;

use clap::Parser;

fn main() -> ExitCode {
    juniperladder_lab::main(juniperladder_lab::Args::parse())
}
