//! A planned end while a cache server still gives a long value. The value has to be passed on.

#[path = "../standins-2/mod.rs"]
mod standins;

use std::time::{Duration, Instant};

use standins::balancer::Class;
use standins::client::{read, Connection};
use standins::fleet::{Fleet, FleetPlan};
use standins::record::Record;
use standins::Verdict;

const VALUE_BYTES: usize = 4 << 20;
/// The cache server gives 64 KiB at once, and the whole value in 6.4 s.
const CACHE: &[&str] = &["pause", "100"];
const SIGNAL_AFTER: Duration = Duration::from_secs(1);
/// SIGKILL comes no sooner than 3.7 s after SIGTERM; here it comes when the value has long been given.
const KILL_AFTER: Duration = Duration::from_secs(10);
const WAIT_MS: u64 = 1200;

const CLASSES: &[Class] = &[
    Class { name: "read", effect: "pure", aim_ms: 750, give_up_ms: 1500, window_ms: 0 },
    Class { name: "change", effect: "token", aim_ms: 1200, give_up_ms: 3000, window_ms: 6000 },
];

fn case(record: &Record, has_trouble: bool) -> Result<Verdict, String> {
    let plan = FleetPlan { classes: CLASSES, memory_mb: 192, sockets: 1024, cache: CACHE, origin: &[] };
    let mut fleet = Fleet::start(&plan, record)?;
    let mut connection = Connection::open(&fleet.balancer.address).map_err(|error| error.to_string())?;
    let request = read(&format!("value-{VALUE_BYTES}-1"), "aa0001", "read", WAIT_MS);
    connection.send(&request).map_err(|error| error.to_string())?;
    let sent = Instant::now();
    record.line(&format!("read aa0001 of {VALUE_BYTES} bytes sent"));
    let early = connection.read_answer(sent + SIGNAL_AFTER);
    if early.is_ok() {
        return Err("the value came before the signal".into());
    }
    record.line(&format!("{} bytes have come", connection.unread()));
    let signalled = Instant::now();
    if has_trouble {
        fleet.balancer.process.signal("TERM", record);
    }
    let answer = connection.read_answer(signalled + KILL_AFTER);
    let waited = signalled.elapsed().as_millis();
    let is_lost = match answer {
        Ok(answer) => {
            record.line(&format!("aa0001: {}, its value is whole, {waited} ms after the signal's time", answer.line));
            false
        }
        Err(none) => {
            record.line(&format!("aa0001 LOST: {none:?}, {} bytes came, {waited} ms after SIGTERM", connection.unread()));
            true
        }
    };
    if has_trouble {
        let ended = fleet.balancer.process.wait_until(signalled + KILL_AFTER);
        record.line(&format!("the balancer ended: {ended:?}, {} ms after SIGTERM", signalled.elapsed().as_millis()));
        if ended.is_none() {
            fleet.balancer.process.signal("KILL", record);
        }
    }
    Ok(if is_lost { Verdict::Broken } else { Verdict::Held })
}

fn main() {
    standins::main(case)
}
