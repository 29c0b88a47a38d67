//! `demo`: a small complete fleet with one fault.

use std::path::Path;

use juniperladder_platform_model::reader::read;

use crate::exit::ExitStatus;
use crate::run::run_once;

/// The demonstration: twelve processes, a server in six falls silent.
const DEMO_FILE: &str = include_str!("../demo.toml");

/// Runs the demonstration and says where its report is.
pub fn demo(out: &Path) -> ExitStatus {
    let mut experiment = match read(DEMO_FILE, &[]) {
        Ok(experiment) => experiment,
        Err(problems) => {
            problems.iter().for_each(|problem| eprintln!("the demonstration's file: {problem}"));
            return ExitStatus::NOT_ALLOWED;
        }
    };
    if let Some(program) = balancer_beside_this_program() {
        experiment.fleet.program = program;
    }
    if !Path::new(&experiment.fleet.program).is_file() && !build_balancer() {
        eprintln!("the balancer is not built yet: cargo build --release --locked");
        return ExitStatus::NOT_ALLOWED;
    }
    let status = run_once(&experiment, out);
    println!("report: {}", out.join("report.html").display());
    status
}

/// The balancer stands beside this program, whatever folder one is in.
fn balancer_beside_this_program() -> Option<String> {
    let own = std::env::current_exe().ok()?;
    let program = own.parent()?.join("juniperladder");
    program.is_file().then(|| program.to_string_lossy().into_owned())
}

/// Builds the balancer where this is its workspace: `cargo run -p juniperladder-testbed-cli` builds the testbed alone.
fn build_balancer() -> bool {
    if !Path::new("cli/Cargo.toml").is_file() {
        return false;
    }
    println!("the balancer is not built yet: building it");
    let build = ["build", "--release", "--locked", "-p", "juniperladder-cli"];
    std::process::Command::new("cargo").args(build).status().is_ok_and(|status| status.success())
}
