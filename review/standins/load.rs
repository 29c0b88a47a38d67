//! Clients of the heating site that read and write, and check that each answer was made for their request.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{new_id, Answer, Client};
use crate::platform::{receipt_of, value_of, Random};
use crate::run::{Run, Verdict};

/// How long a client waits for an answer that is late; the request is lost when this has passed.
const LOST_AFTER: Duration = Duration::from_millis(550);

/// The number of served requests below which a run says nothing.
const ENOUGH_SERVED: usize = 1_000;

/// What the clients saw.
#[derive(Default)]
pub struct Seen {
    pub served: AtomicUsize,
    pub refused: AtomicUsize,
    pub failed: AtomicUsize,
    /// Requests with no answer in time.
    pub unanswered: AtomicUsize,
    /// Requests that were served with what was not made for them.
    pub foreign: Mutex<Vec<String>>,
}

/// What the clients do.
#[derive(Clone, Copy)]
pub struct Load {
    pub connections: u64,
    /// The time between two requests on one connection.
    pub every: Duration,
    /// Writes, in percent of all requests.
    pub writes_percent: u64,
    /// Reads of keys that are wanted only once, in percent of all reads.
    pub once_percent: u64,
    pub keys: u64,
    pub duration: Duration,
}

impl Seen {
    /// Reports what was seen. The rule: a request is served with what was made for it, or it is lost.
    pub fn verdict(&self, run: &Run, has_disruption_as_wanted: bool) -> Verdict {
        let count = |counter: &AtomicUsize| counter.load(Ordering::Relaxed);
        let (served, foreign) = (count(&self.served), self.foreign.lock().unwrap().len());
        run.say(&format!(
            "served {served}, refused {}, failed {}, unanswered {}; served with what was not made for the request: \
             {foreign}",
            count(&self.refused),
            count(&self.failed),
            count(&self.unanswered),
        ));
        match (foreign > 0, served > ENOUGH_SERVED && has_disruption_as_wanted) {
            (true, _) => Verdict::Broken,
            (false, true) => Verdict::Held,
            (false, false) => Verdict::CouldNotRun,
        }
    }
}

impl Load {
    /// A balancer's usual traffic for this time: 200 requests a second.
    pub fn usual(duration: Duration) -> Load {
        Load {
            connections: 50,
            every: Duration::from_millis(250),
            writes_percent: 9,
            once_percent: 15,
            keys: 300,
            duration,
        }
    }

    /// Runs the clients to their end.
    pub fn play(self, run: &Arc<Run>, address: SocketAddr, random: &Arc<Random>) -> Arc<Seen> {
        let seen = Arc::new(Seen::default());
        let begin = Instant::now();
        let clients: Vec<_> = (0..self.connections)
            .map(|number| {
                let (run, seen, random) = (Arc::clone(run), Arc::clone(&seen), Arc::clone(random));
                thread::spawn(move || self.play_one(&run, address, &seen, &random, number, begin))
            })
            .collect();
        for client in clients {
            let _ = client.join();
        }
        seen
    }

    fn play_one(
        self,
        run: &Run,
        address: SocketAddr,
        seen: &Seen,
        random: &Random,
        number: u64,
        begin: Instant,
    ) {
        let mut client = None;
        let mut due = begin + self.every.mul_f64(number as f64 / self.connections as f64);
        while due < begin + self.duration {
            thread::sleep(due.saturating_duration_since(Instant::now()));
            due = (due + self.every).max(Instant::now());
            let (id, key) = (new_id(), self.draw_key(random));
            let is_write = random.below(100) < self.writes_percent;
            let mut connection = match client.take().or_else(|| Client::connect(address).ok()) {
                Some(connection) => connection,
                None => continue,
            };
            let is_done = if is_write {
                write(run, &mut connection, seen, number, &id, &key)
            } else {
                read(run, &mut connection, seen, number, &id, &key)
            };
            client = is_done.then_some(connection);
        }
    }

    fn draw_key(self, random: &Random) -> String {
        let number = if random.below(100) < self.once_percent {
            1_000_000 + random.next() % 1_000_000_000
        } else {
            // A few keys are far more popular than the rest.
            random.below(self.keys).min(random.below(self.keys)).min(random.below(self.keys))
        };
        format!("{number:016x}")
    }
}

fn read(run: &Run, client: &mut Client, seen: &Seen, number: u64, id: &str, key: &str) -> bool {
    run.note(&format!("client {number} sends read {id} of {key}"));
    let wait = Duration::from_millis(1_000);
    let line = format!("mg {key} v O{id} Pc=schedule-read,d={}\r\n", wait.as_millis());
    let answer = client.send(line.as_bytes()).and_then(|()| client.read_answer(wait + LOST_AFTER));
    match answer {
        Ok(Answer::Value { id: answered, value }) if answered != id || value != value_of(key) => {
            let value = String::from_utf8_lossy(&value).into_owned();
            report_foreign(run, seen, format!("read {id} of {key} is served with {answered} {value:?}"));
        }
        Ok(Answer::Value { .. }) => {
            run.note(&format!("client {number}: read {id} is served with the value of its key"));
            seen.served.fetch_add(1, Ordering::Relaxed);
        }
        answer => return other_answer(run, seen, number, id, answer),
    }
    true
}

fn write(run: &Run, client: &mut Client, seen: &Seen, number: u64, id: &str, key: &str) -> bool {
    let wait = Duration::from_millis(2_000);
    let (value, k) = (value_of(key), format!("k{id}"));
    run.note(&format!("client {number} sends write {id} of {key} with k={k}"));
    let line = format!("ms {key} {} O{id} Pc=setpoint-change,d={},k={k}\r\n", value.len(), wait.as_millis());
    let message = [line.as_bytes(), &value, b"\r\n"].concat();
    let answer = client.send(&message).and_then(|()| client.read_answer(wait + LOST_AFTER));
    match answer {
        Ok(Answer::Receipt { id: answered, receipt }) if answered != id || receipt != receipt_of(&k) => {
            report_foreign(run, seen, format!("write {id} with k={k} is served with {answered} {receipt:?}"));
        }
        Ok(Answer::Receipt { .. }) => {
            run.note(&format!("client {number}: write {id} is served with its receipt"));
            seen.served.fetch_add(1, Ordering::Relaxed);
        }
        answer => return other_answer(run, seen, number, id, answer),
    }
    true
}

fn report_foreign(run: &Run, seen: &Seen, text: String) {
    run.say(&format!("BROKEN: {text}"));
    seen.foreign.lock().unwrap().push(text);
}

/// Handles an answer that serves nothing. Returns whether the connection can be used again.
fn other_answer(run: &Run, seen: &Seen, number: u64, id: &str, answer: std::io::Result<Answer>) -> bool {
    run.note(&format!("client {number}: {id} ends with {answer:?}"));
    let counter = match &answer {
        Ok(Answer::Refused) => &seen.refused,
        Ok(_) => &seen.failed,
        Err(_) => &seen.unanswered,
    };
    counter.fetch_add(1, Ordering::Relaxed);
    answer.is_ok()
}
