//! Guards against changes of the stored file formats: fixtures written by an earlier version are read with the same
//! values, and are written again as the same JSON.

use std::path::PathBuf;

use juniperladder_platform_model::experiment::Experiment;
use juniperladder_platform_model::reader::read;
use juniperladder_platform_model::summary::Summary;
use serde_json::Value;

fn fixture(name: &str) -> String {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures").join(name);
    std::fs::read_to_string(path).unwrap()
}

fn every_section() -> Experiment {
    read(&fixture("every-section.toml"), &[]).unwrap()
}

/// Each line of pretty-printed JSON without its value; values are excluded because the parser may round the last
/// digit of a number.
fn names(text: &str) -> Vec<&str> {
    text.trim_end().lines().map(|line| line.split(": ").next().unwrap_or(line)).collect()
}

#[test]
fn summary_written_by_an_earlier_version_is_equal_after_reading_and_writing() {
    let text = fixture("summary.json");
    let before: Value = serde_json::from_str(&text).unwrap();
    let summary: Summary = serde_json::from_str(&text).unwrap();
    assert_eq!(serde_json::to_value(&summary).unwrap(), before);
    let written = serde_json::to_string_pretty(&summary).unwrap();
    assert_eq!(names(&written), names(&text), "names, nesting or order differ");
}

#[test]
fn experiment_of_every_section_is_read_as_an_earlier_version_read_it() {
    let before: Value = serde_json::from_str(&fixture("every-section.json")).unwrap();
    assert_eq!(serde_json::to_value(every_section()).unwrap(), before);
}

#[test]
fn experiment_written_as_json_is_read_again_with_the_same_values() {
    let before: Value = serde_json::from_str(&fixture("every-section.json")).unwrap();
    let experiment: Experiment = serde_json::from_value(before.clone()).unwrap();
    assert_eq!(serde_json::to_value(&experiment).unwrap(), before);
}

#[test]
fn experiment_of_every_section_has_the_values_of_the_file() {
    let experiment = every_section();
    assert_eq!((experiment.name.as_str(), experiment.seed, experiment.seconds), ("every-section", 7, 40.5));
    let fleet = &experiment.fleet;
    assert_eq!((fleet.balancers, fleet.servers, fleet.zones, fleet.stated_balancers), (12, 6, 3, Some(10)));
    assert_eq!(fleet.weights, [1.0, 2.0]);
    assert_eq!(fleet.program, "target/release/other");
    assert_eq!(fleet.operator.as_deref(), Some("deploy/operator.example.toml"));
    let load = &experiment.load;
    assert_eq!((load.rate, load.keys, load.zipf, load.writes), (150.0, 500, 0.8, 0.05));
    assert_eq!((load.ramp, load.drift, load.warm_up_s), (1.5, 0.01, 4.0));
    assert_eq!((load.hot[0].at, load.hot[0].share), (10.0, 0.1));
    assert_eq!((load.burst[0].at, load.burst[0].duration_s, load.burst[0].rate_factor), (12.0, 3.0, 2.0));
    assert_eq!((experiment.servers.work_ms, experiment.servers.connections), (10.0, 1000));
    assert_eq!((experiment.origin.capacity, experiment.origin.queue_s), (120.0, 0.5));
    assert_eq!((experiment.discovery.calls_per_s, experiment.discovery.notice_s), (250.0, 0.25));
    assert_eq!((experiment.net.same_ms, experiment.net.cross_ms), (0.3, 4.0));
    assert_eq!(experiment.fault.len(), 22, "expected each kind of fault once");
}
