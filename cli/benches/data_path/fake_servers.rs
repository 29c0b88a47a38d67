//! Fake servers on a separate thread: a cache server to which all list entries point, and discovery.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::broadcast;
use tokio::task::{spawn_local, LocalSet};

/// The interval of discovery's heartbeats, which are empty lines, while nothing changes.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(2);

/// State shared between the servers' thread and the benchmark: connections to the cache server, and watches.
#[derive(Default)]
struct Shared {
    open_connections: AtomicUsize,
    total_connections: AtomicUsize,
    /// The number of open watches.
    watches: AtomicUsize,
    /// The mean service time, in microseconds.
    service_us: AtomicU64,
}

/// The fake cache server and discovery.
pub struct FakeServers {
    shared: Arc<Shared>,
    cache: SocketAddr,
    discovery: SocketAddr,
    /// Sends endpoint lists to every watch.
    lists: broadcast::Sender<String>,
}

impl FakeServers {
    /// Starts the servers: values have this size, and service times are random with this mean in milliseconds.
    pub fn start(value_bytes: usize, service_ms: f64, seed: u64) -> FakeServers {
        let shared = Arc::new(Shared::default());
        let (lists, _) = broadcast::channel(1_024);
        let listen = || {
            let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("cannot listen on loopback");
            listener.set_nonblocking(true).expect("cannot make the listener non-blocking");
            let address = listener.local_addr().expect("the listener has no address");
            (listener, address)
        };
        let ((cache_listener, cache), (discovery_listener, discovery)) = (listen(), listen());
        let fake_servers = FakeServers { shared, cache, discovery, lists };
        fake_servers.set_service_time(service_ms);
        let (shared, lists) = (Arc::clone(&fake_servers.shared), fake_servers.lists.clone());
        std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build()
                .expect("cannot build the runtime");
            let value = Rc::new([vec![b'x'; value_bytes], b"\r\n".to_vec()].concat());
            LocalSet::new().block_on(&runtime, async move {
                spawn_local(accept_watches(discovery_listener, Arc::clone(&shared), lists));
                accept_requests(cache_listener, shared, value, seed).await;
            });
        });
        fake_servers
    }

    /// Sets the mean of the random service times, in milliseconds.
    pub fn set_service_time(&self, service_ms: f64) {
        self.shared.service_us.store((service_ms * 1e3) as u64, Ordering::Relaxed);
    }

    /// The address of discovery.
    pub fn discovery(&self) -> SocketAddr {
        self.discovery
    }

    /// The number of open connections to the cache server.
    pub fn open_connections(&self) -> usize {
        self.shared.open_connections.load(Ordering::Relaxed)
    }

    /// The number of connections to the cache server since its start.
    pub fn total_connections(&self) -> usize {
        self.shared.total_connections.load(Ordering::Relaxed)
    }

    /// Waits until a watch is open.
    pub async fn wait_for_watch(&self) {
        while self.shared.watches.load(Ordering::Relaxed) == 0 {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        tokio::time::sleep(Duration::from_millis(300)).await;
    }

    /// Sends this list to every watch.
    pub fn push(&self, list: &str) {
        let _ = self.lists.send(format!("{list}\n"));
    }

    /// Formats an endpoint list of servers 0 to `servers` - 1 as discovery sends it: a complete list if `is_complete`,
    /// otherwise an update of these servers.
    pub fn list(&self, servers: usize, is_complete: bool, generation: u64) -> String {
        let entry = |number: usize| {
            format!(
                r#"{{"instanceId":"s-{number:08x}","hostPort":"{}","zone":"x","machineType":"cache","cell":{},"lifecycle":"in_service","weight":1.0,"startedAtMs":{}}}"#,
                self.cache,
                number / 8,
                1_700_000_000_000_u64 + number as u64
            )
        };
        let entries: Vec<String> = (0..servers).map(entry).collect();
        format!(r#"{{"generation":{generation},"reset":{is_complete},"instances":[{}]}}"#, entries.join(","))
    }
}

async fn accept_requests(
    listener: std::net::TcpListener,
    shared: Arc<Shared>,
    value: Rc<Vec<u8>>,
    seed: u64,
) {
    let listener = TcpListener::from_std(listener).expect("cannot register the listener");
    let last_seed = Rc::new(Cell::new(seed));
    while let Ok((stream, _)) = listener.accept().await {
        let (shared, value, last_seed) = (Arc::clone(&shared), Rc::clone(&value), Rc::clone(&last_seed));
        spawn_local(async move {
            shared.open_connections.fetch_add(1, Ordering::Relaxed);
            shared.total_connections.fetch_add(1, Ordering::Relaxed);
            let _ = serve(stream, &shared, &value, &last_seed).await;
            shared.open_connections.fetch_sub(1, Ordering::Relaxed);
        });
    }
}

/// Answers the requests of one connection in order.
async fn serve(
    stream: TcpStream,
    shared: &Shared,
    value: &[u8],
    last_seed: &Cell<u64>,
) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    last_seed.set(last_seed.get().wrapping_add(1));
    let mut rng = fastrand::Rng::with_seed(last_seed.get());
    let (mut stream, mut line) = (BufReader::new(stream), String::new());
    while stream.read_line(&mut line).await? > 0 {
        let id = line.split_whitespace().find(|word| word.starts_with('O')).unwrap_or("O0").to_owned();
        let mean = Duration::from_micros(shared.service_us.load(Ordering::Relaxed));
        // Half of the mean is fixed, to reduce the random variation of the number of open connections.
        let time = mean.mul_f64(0.5 - 0.5 * (1.0 - rng.f64()).ln());
        if !time.is_zero() {
            tokio::time::sleep(time).await;
        }
        if let Some(length) = upload_length(&line) {
            read_value(&mut stream, length).await?;
            stream.get_mut().write_all(format!("HD {id} c1\r\n").as_bytes()).await?;
            line.clear();
            continue;
        }
        let head = format!("VA {} {id} h1\r\n", value.len() - 2);
        stream.get_mut().write_all(head.as_bytes()).await?;
        stream.get_mut().write_all(value).await?;
        line.clear();
    }
    Ok(())
}

fn upload_length(line: &str) -> Option<usize> {
    line.strip_prefix("ms ")?.split_whitespace().nth(1)?.parse().ok()
}

/// Reads a value of this length and its line end.
async fn read_value(stream: &mut BufReader<TcpStream>, length: usize) -> std::io::Result<()> {
    let (mut remaining_bytes, mut buffer) = (length + 2, vec![0; 64 << 10]);
    while remaining_bytes > 0 {
        let length = remaining_bytes.min(buffer.len());
        remaining_bytes -= stream.read_exact(&mut buffer[..length]).await?;
    }
    Ok(())
}

async fn accept_watches(
    listener: std::net::TcpListener,
    shared: Arc<Shared>,
    lists: broadcast::Sender<String>,
) {
    let listener = TcpListener::from_std(listener).expect("cannot register the listener");
    while let Ok((stream, _)) = listener.accept().await {
        let (shared, lists) = (Arc::clone(&shared), lists.subscribe());
        spawn_local(async move {
            shared.watches.fetch_add(1, Ordering::Relaxed);
            let _ = send_changes(stream, lists).await;
            shared.watches.fetch_sub(1, Ordering::Relaxed);
        });
    }
}

/// Serves one watch. The first message has no changes, because the balancer was started with the current list.
async fn send_changes(mut stream: TcpStream, mut lists: broadcast::Receiver<String>) -> std::io::Result<()> {
    let mut call = [0; 4_096];
    let _ = stream.read(&mut call).await?;
    stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await?;
    stream.write_all(chunk("{\"generation\":1,\"reset\":false,\"instances\":[]}\n").as_bytes()).await?;
    loop {
        let line = match tokio::time::timeout(HEARTBEAT_INTERVAL, lists.recv()).await {
            Ok(Ok(line)) => line,
            Ok(Err(_)) => return Ok(()),
            Err(_) => "\n".to_owned(),
        };
        stream.write_all(chunk(&line).as_bytes()).await?;
    }
}

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}
