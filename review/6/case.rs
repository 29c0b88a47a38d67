//! The origin answers some reads with two lengths that differ, in two pieces. What is served as a whole value has to be the one
//! that was made for the request.

#[path = "../standins-2/mod.rs"]
mod standins;

use std::thread;
use std::time::{Duration, Instant};

use standins::balancer::Class;
use standins::client::{read, Connection};
use standins::fleet::{Fleet, FleetPlan};
use standins::origin::value_of;
use standins::record::Record;
use standins::Verdict;

const READS: usize = 100;
const PAUSE: Duration = Duration::from_millis(50);
const WAIT_MS: u64 = 1200;
const GRACE: Duration = Duration::from_millis(550);

const CLASSES: &[Class] =
    &[Class { name: "read", effect: "pure", aim_ms: 750, give_up_ms: 1500, window_ms: 0 }];

fn case(record: &Record, has_trouble: bool) -> Result<Verdict, String> {
    let origin: &[&str] = if has_trouble { &["two-lengths"] } else { &[] };
    let plan = FleetPlan { classes: CLASSES, memory_mb: 192, sockets: 1024, cache: &[], origin };
    let fleet = Fleet::start(&plan, record)?;
    let (mut served, mut wrong, mut unanswered) = (0, 0, 0);
    for number in 0..READS {
        let (key, id) = (format!("key{number:04}"), format!("aa{number:04}"));
        let mut connection = Connection::open(&fleet.balancer.address).map_err(|error| error.to_string())?;
        connection.send(&read(&key, &id, "read", WAIT_MS)).map_err(|error| error.to_string())?;
        record.line(&format!("read {id} of {key} sent"));
        match connection.read_answer(Instant::now() + Duration::from_millis(WAIT_MS) + GRACE) {
            Ok(answer) if answer.line.starts_with("VA ") => {
                served += 1;
                let value = String::from_utf8_lossy(&answer.value).into_owned();
                let is_right = value == value_of(&key);
                wrong += usize::from(!is_right);
                let verdict = if is_right { "the value made for it" } else { "WRONG" };
                record.line(&format!("{id} answered: {}, value {value:?}: {verdict}", answer.line));
            }
            Ok(answer) => record.line(&format!("{id} answered: {}", answer.line)),
            Err(none) => {
                unanswered += 1;
                record.line(&format!("{id} LOST: {none:?}"));
            }
        }
        thread::sleep(PAUSE);
    }
    record.line(&format!(
        "reads: {READS}, served: {served}, with a wrong value: {wrong}, unanswered: {unanswered}"
    ));
    if served == 0 {
        return Err("no read was served".into());
    }
    Ok(if wrong + unanswered > 0 { Verdict::Broken } else { Verdict::Held })
}

fn main() {
    standins::main(case)
}
