//! A client reads a long value slowly and sends its next request before it has read all of it. The value, which the cache
//! server gave whole, has to reach the client whole.

#[path = "../standins-2/mod.rs"]
mod standins;

use std::io::{ErrorKind, Read};
use std::thread;
use std::time::{Duration, Instant};

use standins::balancer::Class;
use standins::client::{read, Connection};
use standins::fleet::{Fleet, FleetPlan};
use standins::record::Record;
use standins::Verdict;

const VALUE_BYTES: usize = 1 << 20;
/// The client reads so much at once.
const PIECE_BYTES: usize = 16 << 10;
/// Before each piece. The whole value takes 6.4 s.
const PAUSE: Duration = Duration::from_millis(100);
/// The second request is sent when only so many bytes of the value are left.
const LEFT_AT_SECOND_REQUEST: usize = 512 << 10;
const WAIT_MS: u64 = 1200;

const CLASSES: &[Class] =
    &[Class { name: "read", effect: "pure", aim_ms: 750, give_up_ms: 1500, window_ms: 0 }];

fn case(record: &Record, has_trouble: bool) -> Result<Verdict, String> {
    let plan = FleetPlan { classes: CLASSES, memory_mb: 192, sockets: 1024, cache: &[], origin: &[] };
    let fleet = Fleet::start(&plan, record)?;
    let mut connection = Connection::open(&fleet.balancer.address).map_err(|error| error.to_string())?;
    let first = read(&format!("value-{VALUE_BYTES}-1"), "aa0001", "read", WAIT_MS);
    connection.send(&first).map_err(|error| error.to_string())?;
    let sent = Instant::now();
    record.line(&format!("read aa0001 of {VALUE_BYTES} bytes sent"));
    let head = format!("VA {VALUE_BYTES} Oaa0001\r\n");
    let whole = head.len() + VALUE_BYTES + 2;
    let mut received = Vec::with_capacity(whole);
    let mut has_sent_second = false;
    let mut piece = vec![0; PIECE_BYTES];
    while received.len() < whole {
        if has_trouble {
            thread::sleep(PAUSE);
        }
        if !has_sent_second && whole - received.len() <= LEFT_AT_SECOND_REQUEST {
            has_sent_second = true;
            let second = read("value-100-2", "aa0002", "read", WAIT_MS);
            let result = connection.send(&second);
            record.line(&format!(
                "read aa0002 sent after {} ms, with {} bytes of aa0001 read: {result:?}",
                sent.elapsed().as_millis(),
                received.len()
            ));
        }
        let room = PIECE_BYTES.min(whole - received.len());
        match connection.stream.read(&mut piece[..room]) {
            Ok(0) => {
                record.line("the connection ended");
                break;
            }
            Ok(length) => received.extend_from_slice(&piece[..length]),
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(error) => {
                record.line(&format!("the connection broke: {error}"));
                break;
            }
        }
    }
    record.line(&format!("{} of {whole} bytes came in {} ms", received.len(), sent.elapsed().as_millis()));
    let is_whole = received.len() == whole && received.starts_with(head.as_bytes());
    if !is_whole {
        record.line("read aa0001 LOST: its value is not whole");
        return Ok(Verdict::Broken);
    }
    // The second request may cross a close between requests: then the client sends it once more.
    let second = connection.read_answer(Instant::now() + Duration::from_millis(WAIT_MS + 550));
    record.line(&format!("aa0002: {:?}", second.map(|answer| answer.line)));
    Ok(Verdict::Held)
}

fn main() {
    standins::main(case)
}
