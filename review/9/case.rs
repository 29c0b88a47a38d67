//! The origin stands still for five seconds while a value of 4 MiB is written to it. The write, which its client has sent
//! whole, has to get its final answer all the same.

#[path = "../standins-2/mod.rs"]
mod standins;

use std::thread;
use std::time::{Duration, Instant};

use standins::balancer::Class;
use standins::client::{write, Connection};
use standins::fleet::{Fleet, FleetPlan};
use standins::record::Record;
use standins::Verdict;

const ROUNDS: usize = 3;
const VALUE_BYTES: usize = 4 << 20;
/// How long the origin stands still in each round.
const STANDSTILL: Duration = Duration::from_secs(5);
/// What the origin's system takes of a connection that is not read.
const ORIGIN: &[&str] = &["receive-buffer", "4096"];
/// 80% of the class's time.
const WAIT_MS: u64 = 600;
/// Half a second after its time an unanswered request is lost; each time limit grows by 50 ms.
const GRACE: Duration = Duration::from_millis(550);
/// For how long a late answer is still waited for, to record when it came.
const LATE_WAIT: Duration = Duration::from_secs(10);

const CLASSES: &[Class] = &[
    Class { name: "look-up", effect: "pure", aim_ms: 120, give_up_ms: 250, window_ms: 0 },
    Class { name: "notice", effect: "side_effect", aim_ms: 150, give_up_ms: 750, window_ms: 0 },
];

/// Writes one value. Returns whether the write was lost.
fn play_round(fleet: &Fleet, round: usize, record: &Record, has_trouble: bool) -> Result<bool, String> {
    let id = format!("aa{round:04}");
    let mut connection = Connection::open(&fleet.balancer.address).map_err(|error| error.to_string())?;
    let begun = Instant::now();
    if has_trouble {
        fleet.origin.process.signal("STOP", record);
    }
    let bytes = write(&format!("key{round}"), &id, "notice", WAIT_MS, VALUE_BYTES);
    connection.send(&bytes).map_err(|error| error.to_string())?;
    let sent = Instant::now();
    let duration = (sent - begun).as_millis();
    record
        .line(&format!("write {id} of {VALUE_BYTES} bytes sent whole in {duration} ms, waits {WAIT_MS} ms"));
    let answer = connection.read_answer(sent + Duration::from_millis(WAIT_MS) + GRACE);
    let is_lost = answer.is_err();
    match answer {
        Ok(answer) => {
            record.line(&format!(
                "write {id} answered after {} ms: {}",
                (answer.at - sent).as_millis(),
                answer.line
            ));
        }
        Err(none) => {
            record.line(&format!("write {id} LOST: {none:?} after {} ms", sent.elapsed().as_millis()))
        }
    }
    if has_trouble {
        thread::sleep((begun + STANDSTILL).saturating_duration_since(Instant::now()));
        fleet.origin.process.signal("CONT", record);
    }
    if is_lost {
        let late = connection.read_answer(Instant::now() + LATE_WAIT).map(|answer| answer.line);
        record.line(&format!("write {id}: after {} ms {late:?}", sent.elapsed().as_millis()));
    }
    Ok(is_lost)
}

fn case(record: &Record, has_trouble: bool) -> Result<Verdict, String> {
    let plan = FleetPlan { classes: CLASSES, memory_mb: 192, sockets: 1024, cache: &[], origin: ORIGIN };
    let fleet = Fleet::start(&plan, record)?;
    let mut lost = 0;
    for round in 0..ROUNDS {
        lost += usize::from(play_round(&fleet, round, record, has_trouble)?);
        thread::sleep(Duration::from_secs(2));
    }
    record.line(&format!("writes sent whole: {ROUNDS}, lost: {lost}"));
    Ok(if lost > 0 { Verdict::Broken } else { Verdict::Held })
}

fn main() {
    standins::main(case)
}
