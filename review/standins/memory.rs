//! Clients read and write values of 64 KiB, the longest that is not called long. The platform kills a balancer that takes
//! more memory than its configuration allows.

use std::io::{self, BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{new_id, Answer, Client, Limits};
use crate::origin::{good_answer, listed_origin, start_origin, write_all};
use crate::platform::{listen, Caches, Random};
use crate::run::{Run, Verdict};
use crate::site::{listed_cache_host, Site};

/// The limits of the balancer, within the ranges of the pages (32 to 192 MB, 256 to 1,024 descriptors).
const LIMITS: Limits = Limits { memory_mb: 32, sockets: 1_024 };
/// A third of the descriptors: as many connections as clients hold for requests.
const CLIENTS: u64 = 341;
/// The time between two requests of a client: 320 requests a second of all clients together.
const EVERY: Duration = Duration::from_micros(341 * 1_000_000 / 320);
const WRITES_PERCENT: u64 = 9;
const LONG_VALUE: usize = 64 * 1024;
const SHORT_VALUE: usize = 1024;
const CACHE_HOSTS: usize = 12;
/// How long the platform lets a balancer be over its limit. The page has it killed at once.
const OVER_LIMIT_FOR: Duration = Duration::from_secs(15);
const DURATION: Duration = Duration::from_secs(40);

pub fn play(run: &Arc<Run>) -> Result<Verdict, String> {
    let random = Arc::new(Random::new(20_261_204));
    let value = Arc::new(vec![b'v'; if run.trouble { LONG_VALUE } else { SHORT_VALUE }]);
    let cache_host = |number: usize| listed_cache_host(number, start_cache_host(&value, &random));
    let mut servers: Vec<_> = (1..=CACHE_HOSTS).map(cache_host).collect();
    let origin = start_origin(run, &Arc::new(Caches::default()), &random, |connection, _, body| {
        write_all(connection, &good_answer(body))
    });
    servers.push(listed_origin(origin));
    let mut site = Site::start_with(run, &servers, LIMITS)?;

    let (served, other, is_over) =
        (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)), Arc::new(AtomicBool::new(false)));
    let begin = Instant::now();
    for number in 0..CLIENTS {
        let (run, value, random) = (Arc::clone(run), Arc::clone(&value), Arc::clone(&random));
        let (served, other, is_over) = (Arc::clone(&served), Arc::clone(&other), Arc::clone(&is_over));
        let address = site.address;
        thread::spawn(move || {
            thread::sleep(EVERY.mul_f64(number as f64 / CLIENTS as f64));
            let mut client = None;
            while !is_over.load(Ordering::Relaxed) {
                let next = Instant::now() + EVERY;
                let is_served = ask(&run, address, &mut client, &value, &random);
                if !is_over.load(Ordering::Relaxed) {
                    let counter = if is_served { &served } else { &other };
                    counter.fetch_add(1, Ordering::Relaxed);
                }
                thread::sleep(next.saturating_duration_since(Instant::now()));
            }
        });
    }
    let limit_kb = LIMITS.memory_mb * 1024;
    let mut highest_kb = 0;
    let mut over_since = None;
    let mut is_killed = false;
    while begin.elapsed() < DURATION && !is_killed {
        thread::sleep(Duration::from_millis(100));
        let Some(memory_kb) = site.balancer.own_memory_kb() else {
            return Err("the balancer has ended".into());
        };
        if memory_kb / 1024 > highest_kb / 1024 {
            run.note(&format!(
                "the balancer has {memory_kb} KB of {limit_kb} KB, {} files",
                site.balancer.files()
            ));
        }
        highest_kb = highest_kb.max(memory_kb);
        over_since = (memory_kb > limit_kb).then(|| over_since.unwrap_or_else(Instant::now));
        is_killed = over_since.is_some_and(|since| since.elapsed() >= OVER_LIMIT_FOR);
    }
    if is_killed {
        run.say(&format!(
            "BROKEN: the balancer has {highest_kb} KB of {limit_kb} KB after {:.1} s and is killed by the platform",
            begin.elapsed().as_secs_f64()
        ));
        site.balancer.kill();
    }
    is_over.store(true, Ordering::Relaxed);
    let served = served.load(Ordering::Relaxed);
    run.say(&format!(
        "served {served}, not served {}; values of {} bytes; most memory {highest_kb} KB of {limit_kb} KB",
        other.load(Ordering::Relaxed),
        value.len()
    ));
    Ok(match (is_killed, served > 1_000) {
        (true, _) => Verdict::Broken,
        (false, true) => Verdict::Held,
        (false, false) => Verdict::CouldNotRun,
    })
}

/// Sends one request and reads its answer. If the balancer closes the connection meanwhile, sends it once more on a new
/// one. Returns whether it was served.
fn ask(run: &Run, address: SocketAddr, client: &mut Option<Client>, value: &[u8], random: &Random) -> bool {
    let (id, key) = (new_id(), random.below(100_000));
    let (wait, message) = if random.below(100) < WRITES_PERCENT {
        let line = format!("ms {key:016x} {} O{id} Pc=setpoint-change,d=2000,k=k{id}\r\n", value.len());
        (2_000, [line.as_bytes(), value, b"\r\n"].concat())
    } else {
        (1_000, format!("mg {key:016x} v O{id} Pc=schedule-read,d=1000\r\n").into_bytes())
    };
    let wait = Duration::from_millis(wait + 550);
    for is_last_try in [client.is_none(), true] {
        let Some(mut connection) = client.take().or_else(|| Client::connect(address).ok()) else {
            return false;
        };
        run.note(&format!("request {id} of {} bytes", message.len()));
        let answer = connection.send(&message).and_then(|()| connection.read_answer(wait));
        match answer {
            Ok(answer) => {
                let is_served = matches!(answer, Answer::Value { .. } | Answer::Receipt { .. });
                run.note(&match answer {
                    Answer::Value { value, .. } => format!("{id} is served with {} bytes", value.len()),
                    other => format!("{id} ends with {other:?}"),
                });
                *client = Some(connection);
                return is_served;
            }
            Err(error) => {
                run.note(&format!("{id}: {error}"));
                let is_closed = error.kind() != io::ErrorKind::WouldBlock;
                if is_last_try || !is_closed {
                    return false;
                }
            }
        }
    }
    false
}

/// A cache host that has every key. It works 60 to 140 ms on a request and stands still for 190 to 450 ms every 2.2 to
/// 5.2 s, as the site's page says.
fn start_cache_host(value: &Arc<Vec<u8>>, random: &Arc<Random>) -> SocketAddr {
    let (value, random) = (Arc::clone(value), Arc::clone(random));
    let began = Instant::now();
    let (every, pause) = (2_200 + random.below(3_000), 190 + random.below(260));
    listen(move |mut stream| {
        let lines = BufReader::new(stream.try_clone().expect("a second handle")).lines();
        for line in lines.map_while(Result::ok) {
            let id = line.split(' ').find_map(|word| word.strip_prefix('O')).unwrap_or_default();
            thread::sleep(Duration::from_millis(60 + random.below(80)));
            let since_pause = began.elapsed().as_millis() as u64 % every;
            thread::sleep(Duration::from_millis(pause.saturating_sub(since_pause)));
            let head = format!("VA {} O{id} h1\r\n", value.len());
            if stream.write_all(&[head.as_bytes(), &value, b"\r\n"].concat()).is_err() {
                return;
            }
        }
    })
}
