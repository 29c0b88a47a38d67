//! Tests of `child_reaper`.

use super::*;
use std::io::Cursor;

#[test]
fn what_still_runs_is_ended_and_a_later_process_of_the_number_is_not() {
    let sleeper = || Command::new("sleep").arg("60").spawn().unwrap();
    let (mut ours, mut other) = (sleeper(), sleeper());
    let (pid, not) = (ours.id() as i32, other.id() as i32);
    let text = format!("{pid} {}\n{not} 1\nnonsense\n", started(pid).unwrap());
    reap(Cursor::new(text));
    assert!(!ours.wait().unwrap().success());
    assert!(other.try_wait().unwrap().is_none(), "it started at another time than the one named");
    other.kill().unwrap();
    other.wait().unwrap();
}
