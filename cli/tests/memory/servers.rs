//! Cache servers and an origin that answer with values of the length that a key names.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{spawn_local, LocalSet};
use tokio::time::sleep;

/// The number of cache servers.
const CACHE_SERVERS: usize = 12;
/// How long a server works on a request.
const SERVICE_TIME: Duration = Duration::from_millis(40);
/// How long a server rests in the middle of a value that arrives in two parts.
const PAUSE_IN_VALUE: Duration = Duration::from_millis(150);
/// The longest value.
pub const MAX_VALUE_BYTES: usize = 4 << 20;

/// What a key says of its value.
#[derive(Clone, Copy, Debug)]
pub struct Key {
    /// The length of the value in bytes.
    pub length: usize,
    /// Whether the cache servers lack it, so that the origin is asked.
    pub is_missing: bool,
    /// Whether the origin answers without a length.
    pub is_chunked: bool,
    /// Whether the value arrives in two parts with a pause between them.
    pub has_pause: bool,
}

impl Key {
    /// The key as clients write it; `unique` makes it differ from others of the same value.
    pub fn format(&self, unique: u32) -> String {
        let flag = |is_set: bool| if is_set { 'f' } else { '0' };
        let Key { length, is_missing, is_chunked, has_pause } = *self;
        format!("{unique:08x}{}{}{}{length:06x}", flag(is_missing), flag(is_chunked), flag(has_pause))
    }

    fn parse(text: &str) -> Option<Key> {
        let flag = |position: usize| text.as_bytes().get(position) == Some(&b'f');
        let length = usize::from_str_radix(text.get(11..17)?, 16).ok()?;
        Some(Key { length, is_missing: flag(8), is_chunked: flag(9), has_pause: flag(10) })
    }
}

/// The addresses of the servers, which run until the process ends.
pub struct Servers {
    pub caches: Vec<SocketAddr>,
    pub origin: SocketAddr,
}

/// Starts the servers in a thread.
pub fn start() -> Servers {
    let listeners: Vec<std::net::TcpListener> =
        (0..=CACHE_SERVERS).map(|_| std::net::TcpListener::bind("127.0.0.1:0").unwrap()).collect();
    let mut addresses: Vec<SocketAddr> =
        listeners.iter().map(|listener| listener.local_addr().unwrap()).collect();
    let origin = addresses.pop().unwrap();
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        LocalSet::new().block_on(&runtime, async move {
            for (number, listener) in listeners.into_iter().enumerate() {
                spawn_local(accept(listener, number == CACHE_SERVERS));
            }
            std::future::pending::<()>().await;
        });
    });
    Servers { caches: addresses, origin }
}

async fn accept(listener: std::net::TcpListener, is_origin: bool) {
    listener.set_nonblocking(true).unwrap();
    let listener = TcpListener::from_std(listener).unwrap();
    while let Ok((stream, _)) = listener.accept().await {
        let _ = stream.set_nodelay(true);
        spawn_local(async move {
            // The daemon may close a connection at any time.
            let _ = if is_origin { serve_origin(stream).await } else { serve_cache(stream).await };
        });
    }
}

async fn serve_cache(stream: TcpStream) -> std::io::Result<()> {
    let (mut stream, mut line) = (BufReader::new(stream), String::new());
    while stream.read_line(&mut line).await? > 0 {
        let id = line.split_whitespace().find(|word| word.starts_with('O')).unwrap_or("O0").to_owned();
        let Some(key) = line.split(' ').nth(1).and_then(Key::parse) else { return Ok(()) };
        sleep(SERVICE_TIME).await;
        if key.is_missing {
            stream.get_mut().write_all(format!("EN {id} h0\r\n").as_bytes()).await?;
        } else {
            let head = format!("VA {} {id} h1\r\n", key.length);
            write_value(stream.get_mut(), &head, &key, "\r\n").await?;
        }
        line.clear();
    }
    Ok(())
}

async fn serve_origin(stream: TcpStream) -> std::io::Result<()> {
    let (mut stream, mut line) = (BufReader::new(stream), String::new());
    while stream.read_line(&mut line).await? > 0 {
        let (mut id, mut body_bytes) = (String::new(), 0);
        let (mut header, is_write) = (String::new(), line.starts_with("PUT"));
        while stream.read_line(&mut header).await? > 2 {
            if let Some(text) = header.strip_prefix("X-Trace-Id: ") {
                id = text.trim().to_owned();
            }
            if let Some(text) = header.strip_prefix("Content-Length: ") {
                body_bytes = text.trim().parse().unwrap();
            }
            header.clear();
        }
        let mut body = vec![0; 1 << 16];
        while body_bytes > 0 {
            let part = body_bytes.min(body.len());
            body_bytes -= stream.read_exact(&mut body[..part]).await?;
        }
        sleep(SERVICE_TIME).await;
        let Some(key) = line.split('/').nth(1).and_then(Key::parse) else { return Ok(()) };
        let head = format!("HTTP/1.1 200 OK\r\nX-Trace-Id: {id}\r\n");
        if is_write {
            let answer = format!("{head}Content-Length: 2\r\n\r\nr1");
            stream.get_mut().write_all(answer.as_bytes()).await?;
        } else if key.is_chunked {
            let head = format!("{head}Transfer-Encoding: chunked\r\n\r\n{:x}\r\n", key.length);
            let end = if key.length > 0 { "\r\n0\r\n\r\n" } else { "\r\n" };
            write_value(stream.get_mut(), &head, &key, end).await?;
        } else {
            let head = format!("{head}Content-Length: {}\r\n\r\n", key.length);
            write_value(stream.get_mut(), &head, &key, "").await?;
        }
        line.clear();
    }
    Ok(())
}

async fn write_value(stream: &mut TcpStream, head: &str, key: &Key, end: &str) -> std::io::Result<()> {
    stream.write_all(head.as_bytes()).await?;
    let value = vec![b'v'; key.length];
    let (first, second) = value.split_at(key.length / 2);
    stream.write_all(first).await?;
    if key.has_pause {
        sleep(PAUSE_IN_VALUE).await;
    }
    stream.write_all(second).await?;
    stream.write_all(end.as_bytes()).await
}
