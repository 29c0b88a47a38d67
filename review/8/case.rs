//! Writers whose values come slowly fill the balancer's buffers. Short writes of other clients, each sent whole, have to get
//! their final answer all the same.

#[path = "../standins-2/mod.rs"]
mod standins;

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use standins::balancer::Class;
use standins::client::{write, write_line, Connection};
use standins::fleet::{Fleet, FleetPlan};
use standins::record::Record;
use standins::Verdict;

/// Clients may hold a third of the descriptors for requests, 341 of these.
const SOCKETS: u64 = 1024;
const SLOW_WRITERS: usize = 110;
const SLOW_VALUE_BYTES: usize = 64 << 10;
const SLOW_PIECES: usize = 16;
const PIECE_PAUSE: Duration = Duration::from_millis(500);
/// How long slow writers begin new values.
const SLOW_TIME: Duration = Duration::from_secs(12);

const SHORT_WRITERS: usize = 5;
const SHORT_VALUE_BYTES: usize = 4 << 10;
const SHORT_PAUSE: Duration = Duration::from_millis(100);
/// 80% of the class's time.
const SHORT_WAIT_MS: u64 = 600;
/// Half a second after its time an unanswered request is lost; each time limit grows by 50 ms.
const GRACE: Duration = Duration::from_millis(550);
/// For how long a late answer is still waited for, to record when it came.
const LATE_WAIT: Duration = Duration::from_secs(4);
const FEWEST_WRITES: usize = 20;

const CLASSES: &[Class] = &[
    Class { name: "look-up", effect: "pure", aim_ms: 120, give_up_ms: 250, window_ms: 0 },
    Class { name: "notice", effect: "side_effect", aim_ms: 150, give_up_ms: 750, window_ms: 0 },
    Class { name: "batch", effect: "token", aim_ms: 500, give_up_ms: 1200, window_ms: 1200 },
];

/// Writes one value in pieces. Returns the answer's line.
fn write_in_pieces(address: &str, id: &str, pause: Duration) -> Result<String, String> {
    let mut connection = Connection::open(address).map_err(|error| error.to_string())?;
    let mut send = |bytes: &[u8]| connection.send(bytes).map_err(|error| error.to_string());
    send(&write_line(&format!("slow-{id}"), id, "batch", 1200, SLOW_VALUE_BYTES))?;
    let piece = vec![b'w'; SLOW_VALUE_BYTES / SLOW_PIECES];
    for _ in 0..SLOW_PIECES {
        thread::sleep(pause);
        send(&piece)?;
    }
    send(b"\r\n")?;
    let answer = connection.read_answer(Instant::now() + LATE_WAIT);
    answer.map(|answer| answer.line).map_err(|none| format!("{none:?}"))
}

/// Writes long values, one after the other. Without the disruption each comes at once.
fn start_slow_writer(number: usize, address: &str, record: &Record, has_trouble: bool) -> JoinHandle<()> {
    let (address, record) = (address.to_owned(), record.clone());
    thread::spawn(move || {
        let until = Instant::now() + SLOW_TIME;
        let mut round = 0;
        while Instant::now() < until {
            round += 1;
            let id = format!("5{number:04}{round:04}");
            let ended =
                write_in_pieces(&address, &id, if has_trouble { PIECE_PAUSE } else { Duration::ZERO });
            record.line(&format!("long write {id} ended: {ended:?}"));
            thread::sleep(Duration::from_millis(if has_trouble { 50 } else { 2000 }));
        }
    })
}

/// The short writes of all clients.
#[derive(Default)]
struct Counts {
    sent: AtomicUsize,
    lost: AtomicUsize,
}

/// Sends one short write whole, and waits for its answer as long as the rule allows.
fn write_short(address: &str, id: &str, record: &Record, counts: &Counts) -> Result<(), String> {
    let mut connection = Connection::open(address).map_err(|error| error.to_string())?;
    let bytes = write(id, id, "notice", SHORT_WAIT_MS, SHORT_VALUE_BYTES);
    connection.send(&bytes).map_err(|error| error.to_string())?;
    let sent = Instant::now();
    counts.sent.fetch_add(1, Ordering::SeqCst);
    record.line(&format!("write {id} sent whole, waits {SHORT_WAIT_MS} ms"));
    match connection.read_answer(sent + Duration::from_millis(SHORT_WAIT_MS) + GRACE) {
        Ok(answer) => {
            record.line(&format!(
                "write {id} answered after {} ms: {}",
                (answer.at - sent).as_millis(),
                answer.line
            ));
        }
        Err(none) => {
            counts.lost.fetch_add(1, Ordering::SeqCst);
            record.line(&format!("write {id} LOST: {none:?} after {} ms", sent.elapsed().as_millis()));
            let late = connection.read_answer(Instant::now() + LATE_WAIT).map(|answer| answer.line);
            record.line(&format!("write {id}: after {} ms {late:?}", sent.elapsed().as_millis()));
        }
    }
    Ok(())
}

fn start_short_writer(number: usize, address: &str, record: &Record, counts: &Arc<Counts>) -> JoinHandle<()> {
    let (address, record, counts) = (address.to_owned(), record.clone(), Arc::clone(counts));
    thread::spawn(move || {
        let until = Instant::now() + SLOW_TIME;
        let mut round = 0;
        while Instant::now() < until {
            round += 1;
            let id = format!("a{number:04}{round:04}");
            if let Err(problem) = write_short(&address, &id, &record, &counts) {
                record.line(&format!("write {id} not sent: {problem}"));
            }
            thread::sleep(SHORT_PAUSE);
        }
    })
}

fn case(record: &Record, has_trouble: bool) -> Result<Verdict, String> {
    let plan = FleetPlan { classes: CLASSES, memory_mb: 32, sockets: SOCKETS, cache: &[], origin: &[] };
    let mut fleet = Fleet::start(&plan, record)?;
    let address = fleet.balancer.address.clone();
    let counts = Arc::new(Counts::default());
    let mut clients: Vec<_> =
        (0..SLOW_WRITERS).map(|number| start_slow_writer(number, &address, record, has_trouble)).collect();
    thread::sleep(Duration::from_secs(1));
    clients.extend((0..SHORT_WRITERS).map(|number| start_short_writer(number, &address, record, &counts)));
    for client in clients {
        let _ = client.join();
    }
    if let Some(status) = fleet.balancer.process.ended() {
        return Err(format!("the balancer ended: {status}"));
    }
    let (sent, lost) = (counts.sent.load(Ordering::SeqCst), counts.lost.load(Ordering::SeqCst));
    record.line(&format!("short writes sent whole: {sent}, lost: {lost}"));
    if sent < FEWEST_WRITES {
        return Err("too few writes were sent".into());
    }
    Ok(if lost > 0 { Verdict::Broken } else { Verdict::Held })
}

fn main() {
    standins::main(case)
}
