//! Clients: an open-loop load over persistent connections, and connections held open for measurement.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::TcpStream;
use tokio::task::{spawn_local, LocalSet};

/// The number of keys, which are requested with equal probability.
const KEYS: u64 = 1_000_000;
/// The deadline of a request, in milliseconds.
const DEADLINE_MS: u64 = 4_000;
/// How long to wait for the last answers after the last request.
const LAST_ANSWER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// An open-loop load: requests are sent at a fixed rate, independent of the answers.
#[derive(Clone, Copy)]
pub struct Load {
    /// Requests per second.
    pub rate: f64,
    /// The number of connections over which the requests are distributed.
    pub clients: usize,
    /// The size in bytes of the values written; 0 for reads.
    pub upload_bytes: usize,
    /// The random seed of the keys and request ids.
    pub seed: u64,
}

/// The outcome of a load.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadResult {
    /// The number of requests sent.
    pub sent: u64,
    /// The number of requests answered with a value or, for a write, a receipt.
    pub served: u64,
    /// The total size of the values read or written by the served requests, in bytes.
    pub bytes: u64,
    /// The maximum delay of a request behind its schedule, in milliseconds.
    pub lag_ms: f64,
}

impl Load {
    /// Runs for this time, then until the last answers have arrived or timed out.
    pub async fn run(&self, address: SocketAddr, time: Duration) -> LoadResult {
        LocalSet::new().run_until(self.send_and_count(address, time)).await
    }

    async fn send_and_count(&self, address: SocketAddr, time: Duration) -> LoadResult {
        let served = Rc::new(Cell::new((0, 0)));
        let mut writers = Vec::new();
        for _ in 0..self.clients {
            let (read, write) =
                TcpStream::connect(address).await.expect("cannot connect to the balancer").into_split();
            spawn_local(count_answers(read, self.upload_bytes, Rc::clone(&served)));
            writers.push(write);
        }
        let mut rng = fastrand::Rng::with_seed(self.seed);
        let (start, total) = (Instant::now(), (self.rate * time.as_secs_f64()) as u64);
        let mut lag_ms: f64 = 0.0;
        for number in 0..total {
            let due = Duration::from_secs_f64(number as f64 / self.rate);
            if let Some(wait) = due.checked_sub(start.elapsed()) {
                tokio::time::sleep(wait).await;
            }
            lag_ms = lag_ms.max(start.elapsed().saturating_sub(due).as_secs_f64() * 1e3);
            let (key, id) = (rng.u64(..KEYS), rng.u64(..));
            let client = number as usize % writers.len();
            let request =
                if self.upload_bytes > 0 { upload(key, id, self.upload_bytes) } else { read(key, id).into() };
            let _ = writers[client].write_all(&request).await;
        }
        let until = Instant::now() + LAST_ANSWER_TIMEOUT;
        while served.get().0 < total && Instant::now() < until {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        let (served, bytes) = served.get();
        LoadResult { sent: total, served, bytes, lag_ms }
    }
}

fn upload(key: u64, id: u64, length: usize) -> Vec<u8> {
    let line = format!("ms {key:016x} {length} O{id:016x} Pc=put,d={DEADLINE_MS}\r\n");
    [line.into_bytes(), vec![b'x'; length], b"\r\n".to_vec()].concat()
}

fn read(key: u64, id: u64) -> String {
    format!("mg {key:016x} v O{id:016x} Pc=read,d={DEADLINE_MS}\r\n")
}

/// Counts the answers with a value or a receipt. `served` holds their number and the total size of the values read or
/// written, in bytes.
async fn count_answers(read: OwnedReadHalf, upload_bytes: usize, served: Rc<Cell<(u64, u64)>>) {
    let (mut reader, mut line, mut value) =
        (BufReader::with_capacity(64 << 10, read), String::new(), Vec::new());
    while reader.read_line(&mut line).await.is_ok_and(|length| length > 0) {
        if let Some(length) = value_length(&line) {
            value.resize(length + 2, 0);
            if reader.read_exact(&mut value).await.is_err() {
                return;
            }
            let (count, bytes) = served.get();
            served.set((count + 1, bytes + length as u64));
        } else if line.starts_with("HD") {
            let (count, bytes) = served.get();
            served.set((count + 1, bytes + upload_bytes as u64));
        }
        line.clear();
    }
}

fn value_length(line: &str) -> Option<usize> {
    line.strip_prefix("VA ")?.split_whitespace().next()?.parse().ok()
}

/// Connections that are open at the same time.
pub struct HeldConnections(Vec<BufReader<TcpStream>>);

impl HeldConnections {
    /// Opens this number of connections, and waits for an answer on each.
    pub async fn open(address: SocketAddr, clients: usize) -> HeldConnections {
        let mut connections = Vec::new();
        for _ in 0..clients {
            let mut stream = TcpStream::connect(address).await.expect("cannot connect to the balancer");
            stream.write_all(b"mn\r\n").await.expect("cannot write to the balancer");
            connections.push(BufReader::new(stream));
        }
        let mut connections = HeldConnections(connections);
        connections.read_answers().await;
        connections
    }

    /// Sends a read on each connection.
    pub async fn send_requests(&mut self, seed: u64) {
        let mut rng = fastrand::Rng::with_seed(seed);
        for client in &mut self.0 {
            let line = read(rng.u64(..KEYS), rng.u64(..));
            client.get_mut().write_all(line.as_bytes()).await.expect("cannot write to the balancer");
        }
    }

    /// Reads an answer on each connection.
    pub async fn read_answers(&mut self) {
        for client in &mut self.0 {
            let mut line = String::new();
            let _ = client.read_line(&mut line).await;
            if let Some(length) = value_length(&line) {
                let mut value = vec![0; length + 2];
                let _ = client.read_exact(&mut value).await;
            }
        }
    }
}
