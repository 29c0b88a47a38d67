//! Tests of which processes the reaper kills.

use super::*;
use std::io::Cursor;

/// Guards against the kill of an unrelated process that has got the id of an ended one.
#[test]
fn running_process_is_killed_and_one_with_another_start_time_is_not() {
    let sleeper = || Command::new("sleep").arg("60").spawn().unwrap();
    let (mut registered, mut unrelated) = (sleeper(), sleeper());
    let (registered_pid, unrelated_pid) = (registered.id() as i32, unrelated.id() as i32);
    let ticks = start_ticks(registered_pid).unwrap();
    let text = format!("{registered_pid} {ticks}\n{unrelated_pid} 1\nnonsense\n");
    reap(Cursor::new(text));
    assert!(!registered.wait().unwrap().success());
    assert!(
        unrelated.try_wait().unwrap().is_none(),
        "a process with another start time than the registered one was killed"
    );
    unrelated.kill().unwrap();
    unrelated.wait().unwrap();
}
