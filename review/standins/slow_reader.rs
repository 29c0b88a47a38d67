//! Clients read values of 4 MiB slowly and steadily, while the cache host still gives them.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::client::new_id;
use crate::platform::listen;
use crate::run::{Run, Verdict};
use crate::site::{listed_cache_host, Site};

/// The length of each value: 4 MiB, the longest on the pages.
const VALUE_BYTES: usize = 4 << 20;
/// How fast the clients read, in bytes a second.
const RATES: [usize; 5] = [80_000, 100_000, 120_000, 160_000, 200_000];
/// The time between two reads of a slow client.
const BETWEEN_READS: Duration = Duration::from_millis(50);
const FULL_SPEED_READ: usize = 64 * 1024;
const READ_TIMEOUT: Duration = Duration::from_secs(20);

pub fn play(run: &Arc<Run>) -> Result<Verdict, String> {
    let cache_host = start_cache_host(run);
    let site = Site::start(run, &[listed_cache_host(1, cache_host)])?;
    let address = site.address;
    let clients: Vec<_> = RATES
        .into_iter()
        .map(|rate| {
            let run = Arc::clone(run);
            thread::spawn(move || read_value(&run, address, rate))
        })
        .collect();
    let results: Vec<_> = clients.into_iter().map(|client| client.join().expect("a client's end")).collect();
    drop(site);
    let broken = results.iter().filter(|result| matches!(result, Ok(Read4Mib::Cut))).count();
    run.say(&format!("values read: {}, cut off: {broken}", results.len()));
    if let Some(Err(error)) = results.iter().find(|result| result.is_err()) {
        return Err(format!("a client could not ask: {error}"));
    }
    Ok(if broken > 0 { Verdict::Broken } else { Verdict::Held })
}

/// How the reading of a value ended.
enum Read4Mib {
    Whole,
    /// The balancer ended the connection, or gave nothing more, before the whole answer.
    Cut,
}

/// Asks for a value and reads it, at this rate if there is a disruption.
fn read_value(run: &Run, address: SocketAddr, rate: usize) -> io::Result<Read4Mib> {
    let (id, key) = (new_id(), format!("{rate:016x}"));
    let mut stream = TcpStream::connect(address)?;
    stream.set_read_timeout(Some(READ_TIMEOUT))?;
    run.note(&format!("client of {rate} bytes a second sends read {id} of {key}"));
    stream.write_all(format!("mg {key} v O{id} Pc=schedule-read,d=1000\r\n").as_bytes())?;
    let expected = answer(&id);
    let begin = Instant::now();
    let mut received = Vec::with_capacity(expected.len());
    let mut buffer = [0; FULL_SPEED_READ];
    while received.len() < expected.len() {
        let wanted = if run.trouble {
            thread::sleep(BETWEEN_READS);
            rate * BETWEEN_READS.as_millis() as usize / 1_000
        } else {
            FULL_SPEED_READ
        };
        let length = match stream.read(&mut buffer[..wanted]) {
            Ok(length @ 1..) => length,
            ended => {
                let (bytes, of) = (received.len(), expected.len());
                run.say(&format!(
                    "BROKEN: the answer to {id}, read at {rate} bytes a second, ends with {ended:?} after {:.1} s and \
                     {bytes} of {of} bytes",
                    begin.elapsed().as_secs_f64()
                ));
                return Ok(Read4Mib::Cut);
            }
        };
        received.extend_from_slice(&buffer[..length]);
    }
    if received != expected {
        return Err(io::Error::other(format!("the answer to {id} is not the value")));
    }
    let seconds = begin.elapsed().as_secs_f64();
    run.say(&format!("the answer to {id} came whole in {seconds:.1} s (rate {rate})"));
    Ok(Read4Mib::Whole)
}

/// The whole answer to a read.
fn answer(id: &str) -> Vec<u8> {
    let value = (0..VALUE_BYTES).map(|position| b'a' + (position / 7 % 26) as u8);
    let head = format!("VA {VALUE_BYTES} O{id}\r\n").into_bytes();
    head.into_iter().chain(value).chain(*b"\r\n").collect()
}

/// A cache host that has every key, and gives each value as fast as it is taken.
fn start_cache_host(run: &Arc<Run>) -> SocketAddr {
    let run = Arc::clone(run);
    listen(move |mut stream| {
        let lines = BufReader::new(stream.try_clone().expect("a second handle")).lines();
        for line in lines.map_while(Result::ok) {
            let id = line.split(' ').find_map(|word| word.strip_prefix('O')).unwrap_or_default().to_owned();
            run.note(&format!("cache host gets: {line}"));
            let answer = answer(&id);
            let mut given = 0;
            while given < answer.len() {
                match stream.write(&answer[given..]) {
                    Ok(length) => given += length,
                    Err(error) => {
                        run.note(&format!(
                            "cache host: the connection ends after {given} bytes of {id}: {error}"
                        ));
                        return;
                    }
                }
            }
            run.note(&format!("cache host has given all of {id}"));
        }
    })
}
