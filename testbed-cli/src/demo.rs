//! `demo`: a small complete fleet with one fault.

use std::path::Path;

use juniperladder_platform_model::reader::read;

use crate::exit::ExitStatus;
use crate::run::run_once;

/// The experiment file of the demo: twelve balancers; two of the twelve cache servers fall silent.
const DEMO_FILE: &str = include_str!("../demo.toml");

/// Runs the demo and prints the path of its report.
pub fn demo(out: &Path) -> ExitStatus {
    let mut experiment = match read(DEMO_FILE, &[]) {
        Ok(experiment) => experiment,
        Err(problems) => {
            problems.iter().for_each(|problem| eprintln!("demo.toml: {problem}"));
            return ExitStatus::CANNOT_RUN;
        }
    };
    if let Some(program) = find_sibling_balancer() {
        experiment.fleet.program = program;
    }
    if !Path::new(&experiment.fleet.program).is_file() && !build_balancer() {
        eprintln!(
            "the balancer program {} does not exist; build it with cargo build --release --locked",
            experiment.fleet.program
        );
        return ExitStatus::CANNOT_RUN;
    }
    let status = run_once(&experiment, out);
    println!("report: {}", out.join("report.html").display());
    status
}

/// The path of the balancer program in the folder of this program, so that the demo runs from any working directory.
fn find_sibling_balancer() -> Option<String> {
    let current_exe = std::env::current_exe().ok()?;
    let program = current_exe.parent()?.join("juniperladder");
    program.is_file().then(|| program.to_string_lossy().into_owned())
}

/// Builds the balancer if the working directory is its workspace, because `cargo run -p juniperladder-testbed-cli` builds
/// only the testbed. Returns whether the balancer was built.
fn build_balancer() -> bool {
    if !Path::new("cli/Cargo.toml").is_file() {
        return false;
    }
    println!("the balancer program is not built yet; building it");
    let build = ["build", "--release", "--locked", "-p", "juniperladder-cli"];
    std::process::Command::new("cargo").args(build).status().is_ok_and(|status| status.success())
}
