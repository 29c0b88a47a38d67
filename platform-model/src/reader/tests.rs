//! Reading files, sound ones and others.

use super::*;

pub const SOUND: &str = "name = \"t\"\nseconds = 40\n[fleet]\nbalancers = 10\nhosts = 6\nzones = 3\n\
                         [load]\nrate = 100\nkeys = 200\n";

#[test]
fn a_file_is_read_and_values_are_set_over_it() {
    let set = ["load.rate=300", "seed=7", "fleet.program=x/y", "origin.capacity=55"].map(String::from);
    let e = read(SOUND, &set).unwrap();
    assert_eq!((e.load.rate, e.seed, e.fleet.program.as_str(), e.origin.capacity), (300.0, 7, "x/y", 55.0));
    assert_eq!(read(SOUND, &[]).unwrap().fleet.weights, [1.0]);
    assert!(read(SOUND, &["rate".into()]).unwrap_err()[0].what.contains("path=value"));
}

#[test]
fn an_unknown_field_is_told_with_its_line() {
    let text = SOUND.replace("rate = 100", "rats = 100");
    let problem = &read(&text, &[]).unwrap_err()[0];
    assert_eq!(problem.line, Some(8));
    assert!(problem.what.contains("rats") && problem.what.contains("rate"), "{problem}");
    let problem = &read(SOUND, &["load.rats=1".into()]).unwrap_err()[0];
    assert!(problem.what.contains("rats"), "{problem}");
}
