//! The daemon: reads the configuration file named by `NODE_CONFIG` and serves until a signal ends it.

use std::ffi::OsString;
use std::process::ExitCode;

use clap::Parser;

/// The balancer daemon. The environment variable NODE_CONFIG names its configuration file.
#[derive(Parser)]
#[command(name = "juniperladder", version)]
struct Args {
    /// The operators' file, which enables coordination between balancers; by default the file named by NODE_OPERATOR
    #[arg(long, value_name = "FILE")]
    operator: Option<OsString>,
}

fn main() -> ExitCode {
    match juniperladder_node::run_from_environment(Args::parse().operator) {
        Ok(()) => ExitCode::SUCCESS,
        Err(problem) => {
            eprintln!("juniperladder: {problem}");
            ExitCode::FAILURE
        }
    }
}
