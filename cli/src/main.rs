//! The daemon: reads the configuration that `NODE_CONFIG` names and serves until it is told to stop.

use std::process::ExitCode;

fn main() -> ExitCode {
    match juniperladder_node::run_from_environment() {
        Ok(()) => ExitCode::SUCCESS,
        Err(problem) => {
            eprintln!("juniperladder: {problem}");
            ExitCode::FAILURE
        }
    }
}
