//! The platform: discovery, cache hosts and the origin, as the protocol page describes them, and a network with a delay.

use std::collections::{HashMap, HashSet};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{mpsc, Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::run::Run;

/// One server of discovery's list.
#[derive(Clone)]
pub struct Listed {
    pub id: String,
    pub address: SocketAddr,
    pub zone: &'static str,
    pub kind: &'static str,
}

/// The whole list in discovery's form.
pub fn list_json(servers: &[Listed]) -> String {
    let entry = |server: &Listed| {
        let Listed { id, address, zone, kind } = server;
        format!(
            r#"{{"instanceId":"{id}","hostPort":"{address}","zone":"{zone}","machineType":"{kind}","cell":0,"lifecycle":"in_service","weight":1.0,"startedAtMs":0}}"#
        )
    };
    let entries: Vec<String> = servers.iter().map(entry).collect();
    format!(r#"{{"generation":41,"reset":true,"instances":[{}]}}"#, entries.join(","))
}

/// Accepts connections in a thread and serves each in a thread of its own. Returns the address.
pub fn listen(serve: impl Fn(TcpStream) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("a bound address");
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let serve = Arc::clone(&serve);
            let _ = stream.set_nodelay(true);
            thread::spawn(move || serve(stream));
        }
    });
    address
}

/// Discovery: answers each call with the whole list, keeps it open as a watch and writes an empty line every 2 s.
pub fn start_discovery(list: impl Fn() -> String + Send + Sync + 'static) -> SocketAddr {
    listen(move |mut stream| {
        let mut lines = BufReader::new(stream.try_clone().expect("a second handle")).lines();
        while lines.next().and_then(Result::ok).is_some_and(|line| !line.is_empty()) {}
        let list = list() + "\n";
        let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        let mut chunk = format!("{head}{:x}\r\n{list}\r\n", list.len());
        while stream.write_all(chunk.as_bytes()).is_ok() {
            thread::sleep(Duration::from_millis(1_900));
            chunk = "1\r\n\n\r\n".into();
        }
    })
}

/// A way through the network that takes `delay` in each direction. Returns the address that leads to `to`.
pub fn start_delayed_way(to: SocketAddr, delay: Duration) -> SocketAddr {
    listen(move |near| {
        let Ok(far) = TcpStream::connect(to) else { return };
        let _ = far.set_nodelay(true);
        let (near_end, far_end) = (near.try_clone().expect("a handle"), far.try_clone().expect("a handle"));
        let there = thread::spawn(move || carry(near_end, far_end, delay));
        carry(far, near, delay);
        let _ = there.join();
    })
}

/// Carries bytes and the end of the stream one way; each arrives `delay` after it was sent.
fn carry(mut from: TcpStream, mut to: TcpStream, delay: Duration) {
    let (sender, receiver) = mpsc::channel::<(Instant, Vec<u8>)>();
    let mut end = to.try_clone().expect("a handle");
    let writer = thread::spawn(move || {
        for (due, bytes) in receiver {
            thread::sleep(due.saturating_duration_since(Instant::now()));
            if bytes.is_empty() || to.write_all(&bytes).is_err() {
                break;
            }
        }
        let _ = to.shutdown(Shutdown::Write);
    });
    let mut buffer = [0; 16 * 1024];
    loop {
        let length = from.read(&mut buffer).unwrap_or(0);
        if sender.send((Instant::now() + delay, buffer[..length].to_vec())).is_err() || length == 0 {
            break;
        }
    }
    let _ = writer.join();
    let _ = end.flush();
}

/// The value that every write of a key writes, and so every read of it has to return.
pub fn value_of(key: &str) -> Vec<u8> {
    format!("schedule of {key}: {}", "06:00 21.5, 22:00 17.0; ".repeat(2)).into_bytes()
}

/// What the cache hosts hold, and which of them missed for a request.
#[derive(Default)]
pub struct Caches {
    stored: Mutex<HashSet<(usize, String)>>,
    missed: Mutex<HashMap<String, (usize, String)>>,
}

impl Caches {
    /// The origin has answered this request: the host that missed for it stores the value.
    pub fn on_fetched(&self, id: &str) {
        if let Some(missed) = self.missed.lock().unwrap().remove(id) {
            self.stored.lock().unwrap().insert(missed);
        }
    }

    /// A write: all copies of the key are dropped.
    pub fn drop_copies(&self, key: &str) {
        self.stored.lock().unwrap().retain(|(_, stored)| stored != key);
    }

    fn has(&self, host: usize, key: &str) -> bool {
        self.stored.lock().unwrap().contains(&(host, key.to_owned()))
    }
}

/// A cache host: a hit is answered with the value, a miss with `EN`, each after `work`.
pub fn start_cache_host(run: &Arc<Run>, caches: &Arc<Caches>, number: usize, work: Duration) -> SocketAddr {
    let (run, caches) = (Arc::clone(run), Arc::clone(caches));
    listen(move |mut stream| {
        let lines = BufReader::new(stream.try_clone().expect("a second handle")).lines();
        for line in lines.map_while(Result::ok) {
            let mut words = line.split(' ');
            let (Some("mg"), Some(key)) = (words.next(), words.next()) else {
                run.note(&format!("cache host {number} cannot use: {line}"));
                let _ = stream.write_all(b"CLIENT_ERROR bad command\r\n");
                continue;
            };
            let id = words.find_map(|word| word.strip_prefix('O')).unwrap_or_default();
            run.note(&format!("cache host {number} gets read {id} of {key}"));
            thread::sleep(work);
            let answer = if caches.has(number, key) {
                let value = String::from_utf8(value_of(key)).expect("text");
                format!("VA {} O{id} h1\r\n{value}\r\n", value.len())
            } else {
                caches.missed.lock().unwrap().insert(id.to_owned(), (number, key.to_owned()));
                format!("EN O{id} h0\r\n")
            };
            if stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    })
}

/// A request as the origin reads it.
pub struct OriginRequest {
    pub id: String,
    pub key: String,
    /// The idempotency key of a keyed write.
    pub idempotency_key: String,
    pub is_write: bool,
}

/// Reads the next request on a connection to the origin; none when the connection has ended.
pub fn read_origin_request(reader: &mut BufReader<TcpStream>) -> Option<OriginRequest> {
    let mut first = String::new();
    if reader.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let mut words = first.split(' ');
    let is_write = words.next()? == "PUT";
    let key = words.next()?.trim_start_matches('/').to_owned();
    let mut request = OriginRequest { id: String::new(), key, idempotency_key: String::new(), is_write };
    let mut length = 0;
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok()?;
        let Some((name, value)) = line.trim_end().split_once(": ") else { break };
        match name.to_ascii_lowercase().as_str() {
            "x-trace-id" => request.id = value.to_owned(),
            "content-length" => length = value.parse().ok()?,
            "x-props" => {
                let key = value.split(',').find_map(|item| item.strip_prefix("k="));
                request.idempotency_key = key.unwrap_or_default().to_owned();
            }
            _ => {}
        }
    }
    let mut value = vec![0; length];
    reader.read_exact(&mut value).ok()?;
    Some(request)
}

/// The receipt of a keyed write.
pub fn receipt_of(idempotency_key: &str) -> String {
    format!("r{idempotency_key}")
}

/// A pseudorandom number generator (splitmix64) that threads share.
pub struct Random(AtomicU64);

impl Random {
    pub fn new(seed: u64) -> Random {
        Random(AtomicU64::new(seed))
    }

    pub fn next(&self) -> u64 {
        let state =
            self.0.fetch_add(0x9e37_79b9_7f4a_7c15, Ordering::Relaxed).wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (state ^ (state >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    /// A number below `bound`.
    pub fn below(&self, bound: u64) -> u64 {
        self.next() % bound
    }
}
