//! `check` and `schema`, and reading the experiment file for `run`.

use std::path::Path;

use juniperladder_platform_model::experiment::Experiment;
use juniperladder_platform_model::reader::read;

use crate::exit::ExitStatus;

/// Reads an experiment file and applies the overrides; prints every problem found.
///
/// # Errors
/// The exit status if the file cannot be read or is invalid.
pub fn read_experiment(
    file: &Path,
    overrides: &[String],
    seed: Option<u64>,
) -> Result<Experiment, ExitStatus> {
    let text = std::fs::read_to_string(file).map_err(|error| {
        eprintln!("cannot read the experiment file {}: {error}", file.display());
        ExitStatus::CANNOT_RUN
    })?;
    let mut overrides = overrides.to_vec();
    overrides.extend(seed.map(|seed| format!("seed={seed}")));
    read(&text, &overrides).map_err(|problems| {
        for problem in problems {
            eprintln!("{}: {problem}", file.display());
        }
        ExitStatus::CANNOT_RUN
    })
}

/// Checks an experiment file and prints a line that sums up the experiment.
pub fn check(file: &Path, overrides: &[String]) -> ExitStatus {
    let experiment = match read_experiment(file, overrides, None) {
        Ok(experiment) => experiment,
        Err(status) => return status,
    };
    println!(
        "{}: {} balancers, {} hosts, {} commands a second for {} s, {} faults",
        experiment.name,
        experiment.fleet.balancers,
        experiment.fleet.servers,
        experiment.load.rate,
        experiment.seconds,
        experiment.fault.len()
    );
    ExitStatus::PASSED
}

/// Prints the JSON schema of experiment files.
pub fn schema() -> ExitStatus {
    let schema = schemars::schema_for!(Experiment);
    println!("{}", serde_json::to_string_pretty(&schema).unwrap_or_default());
    ExitStatus::PASSED
}
