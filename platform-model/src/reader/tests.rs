//! Reading of valid and invalid experiment files.

use super::*;

pub const VALID_EXPERIMENT: &str =
    "name = \"t\"\nseconds = 40\n[fleet]\nbalancers = 10\nhosts = 6\nzones = 3\n\
                         [load]\nrate = 100\nkeys = 200\n";

#[test]
fn overrides_replace_values_of_the_file() {
    let overrides = ["load.rate=300", "seed=7", "fleet.program=x/y", "origin.capacity=55"].map(String::from);
    let experiment = read(VALID_EXPERIMENT, &overrides).unwrap();
    assert_eq!(
        (
            experiment.load.rate,
            experiment.seed,
            experiment.fleet.program.as_str(),
            experiment.origin.capacity
        ),
        (300.0, 7, "x/y", 55.0)
    );
    assert_eq!(read(VALID_EXPERIMENT, &[]).unwrap().fleet.weights, [1.0]);
    assert!(read(VALID_EXPERIMENT, &["rate".into()]).unwrap_err()[0].description.contains("path=value"));
}

#[test]
fn unknown_field_is_reported_with_its_line() {
    let text = VALID_EXPERIMENT.replace("rate = 100", "rats = 100");
    let problem = &read(&text, &[]).unwrap_err()[0];
    assert_eq!(problem.line, Some(8));
    assert!(problem.description.contains("rats") && problem.description.contains("rate"), "{problem}");
    let problem = &read(VALID_EXPERIMENT, &["load.rats=1".into()]).unwrap_err()[0];
    assert!(problem.description.contains("rats"), "{problem}");
}
