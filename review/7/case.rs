//! Requests behind a read whose long value breaks off at its cache server. The value may fail; the requests behind it have
//! to get their final answers.

#[path = "../standins-2/mod.rs"]
mod standins;

use std::thread;
use std::time::{Duration, Instant};

use standins::balancer::Class;
use standins::client::{read, write, Connection};
use standins::fleet::{Fleet, FleetPlan};
use standins::record::Record;
use standins::Verdict;

const ROUNDS: usize = 5;
const LONG_VALUE_BYTES: usize = 300_000;
/// After this many bytes of a long value the cache server's connection ends, once in a run.
const RESET_AFTER_BYTES: &str = "120000";
const WAIT_MS: u64 = 750;
/// Half a second after its time an unanswered request is lost; each time limit grows by 50 ms.
const GRACE: Duration = Duration::from_millis(550);

const CLASSES: &[Class] = &[
    Class { name: "look-up", effect: "pure", aim_ms: 500, give_up_ms: 1500, window_ms: 0 },
    Class { name: "notice", effect: "side_effect", aim_ms: 500, give_up_ms: 1500, window_ms: 0 },
];

/// Sends three requests at once. Returns how many of the two behind the long value were lost.
fn play_round(address: &str, round: usize, record: &Record) -> Result<usize, String> {
    let mut connection = Connection::open(address).map_err(|error| error.to_string())?;
    let ids = [format!("aa{round:04}"), format!("bb{round:04}"), format!("cc{round:04}")];
    let mut bytes = read(&format!("value-{LONG_VALUE_BYTES}-{round}"), &ids[0], "look-up", WAIT_MS);
    bytes.extend(write(&format!("key{round}"), &ids[1], "notice", WAIT_MS, 100));
    bytes.extend(read(&format!("value-100-{round}"), &ids[2], "look-up", WAIT_MS));
    connection.send(&bytes).map_err(|error| error.to_string())?;
    let sent = Instant::now();
    record.line(&format!(
        "sent on one connection: read {} of {LONG_VALUE_BYTES} bytes, write {}, read {}",
        ids[0], ids[1], ids[2]
    ));
    let mut lost = 0;
    for (position, id) in ids.iter().enumerate() {
        match connection.read_answer(sent + Duration::from_millis(WAIT_MS) + GRACE) {
            Ok(answer) => record.line(&format!("{id} answered: {}", answer.line)),
            Err(none) if position == 0 => {
                record.line(&format!(
                    "{id}: its value broke off, {} bytes came: {none:?}",
                    connection.unread()
                ));
            }
            Err(none) => {
                lost += 1;
                record.line(&format!(
                    "{id} LOST: {none:?}, {} ms after it was sent",
                    sent.elapsed().as_millis()
                ));
            }
        }
    }
    Ok(lost)
}

fn case(record: &Record, has_trouble: bool) -> Result<Verdict, String> {
    let cache: &[&str] = if has_trouble { &["reset-after", RESET_AFTER_BYTES] } else { &[] };
    let plan = FleetPlan { classes: CLASSES, memory_mb: 192, sockets: 1024, cache, origin: &[] };
    let fleet = Fleet::start(&plan, record)?;
    let mut lost = 0;
    for round in 0..ROUNDS {
        lost += play_round(&fleet.balancer.address, round, record)?;
        thread::sleep(Duration::from_millis(200));
    }
    record.line(&format!("requests behind a long value: {}, lost: {lost}", 2 * ROUNDS));
    Ok(if lost > 0 { Verdict::Broken } else { Verdict::Held })
}

fn main() {
    standins::main(case)
}
