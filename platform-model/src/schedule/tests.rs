//! Faults compiled to a schedule.

use super::*;
use crate::reader::{read, tests::VALID_EXPERIMENT};
use crate::MICROS_PER_SECOND;

#[test]
fn changes_are_in_order_and_repeat_for_the_same_seed() {
    let text = "[[fault]]\nat = 9\nfor = 2\nwhat = \"drain\"\nwho = \"hosts:1\"\n\
        [[fault]]\nat = 3\nwhat = \"roll\"\nwho = \"balancers\"\nshare = 0.4\nevery = 2\n\
        [[fault]]\nat = 1\nfor = 2.5\nwhat = \"flap\"\nwho = \"hosts:30%\"\nevery = 1\n";
    let experiment = read(&format!("{VALID_EXPERIMENT}{text}"), &[]).unwrap();
    let steps = compile_schedule(&experiment).steps;
    assert_eq!(steps, compile_schedule(&experiment).steps);
    let tenths_of_seconds: Vec<Micros> = steps.iter().map(|step| step.at / 100_000).collect();
    assert_eq!(tenths_of_seconds, [10, 20, 30, 30, 30, 35, 50, 50, 70, 70, 90, 110]);
    let terminated: Vec<usize> = steps
        .iter()
        .filter_map(|step| match &step.change {
            Change::Term(balancers) => Some(balancers.clone()),
            _ => None,
        })
        .flatten()
        .collect();
    let mut sorted = terminated.clone();
    sorted.sort_unstable();
    assert_eq!(sorted, (0..10).collect::<Vec<_>>(), "expected the roll to stop each process once");
    assert_eq!(steps.last().unwrap().change, Change::Restart(vec![1]));
    assert!(
        matches!(&steps[5], Step { at, change: Change::Silent(_, false), .. } if *at == 3 * MICROS_PER_SECOND + MICROS_PER_SECOND / 2)
    );
}
