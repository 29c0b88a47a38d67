//! The daemon: reads the configuration that `NODE_CONFIG` names and serves until a signal ends it.

use std::ffi::OsString;
use std::process::ExitCode;

use clap::Parser;

/// The balancer. Its configuration is the file that NODE_CONFIG names.
#[derive(Parser)]
#[command(name = "juniperladder", version)]
struct Args {
    /// The operators' file, which switches on talk between balancers; by default the one that NODE_OPERATOR names
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
