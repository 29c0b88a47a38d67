//! Clients that make the daemon hold as much as they can.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use fastrand::Rng;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpSocket, TcpStream};
use tokio::task::{spawn_local, LocalSet};
use tokio::time::{sleep, timeout, Instant};

use crate::servers::{Key, MAX_VALUE_BYTES};

/// How long a client waits for an answer, in milliseconds.
const DEADLINE_MS: u64 = 4_000;
/// How long a client waits before it asks again after an error.
const PAUSE_AFTER_ERROR: Duration = Duration::from_millis(20);
/// How long a client that does not read keeps its connection.
const UNREAD_TIME: Duration = Duration::from_millis(700);
/// The requests of a pipeline.
const PIPELINE_REQUESTS: usize = 128;
/// The length of a long request line, under the daemon's maximum.
const LONG_LINE_BYTES: usize = 4_000;
/// The shortest property, with its separator.
const SHORT_PROPERTY: &str = ",a=";
/// The receive buffer of a client that does not read.
const SMALL_SOCKET_BUFFER_BYTES: u32 = 4 << 10;

/// The sizes of values, each as likely as the others.
#[derive(Clone, Copy, Debug)]
pub struct ValueSize {
    pub min: usize,
    pub max: usize,
}

/// What clients do with a connection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Behaviour {
    /// One request after the other.
    Steady,
    /// A request, and no byte of the answer is read.
    ReadNothing,
    /// Many requests at once.
    Pipeline,
    /// Many requests at once, and no byte of the answers is read.
    PipelineUnread,
    /// Most of a value, and not its end.
    HalfValue,
    /// A new connection for each request.
    NewConnections,
    /// Many requests at once with lines of nearly the maximum length, and no byte of the answers is read.
    LongLines,
    /// Many requests at once with as many properties as a line holds, and no byte of the answers is read.
    ManyProperties,
    /// Each of the others in turn.
    Mixed,
}

const SINGLE_BEHAVIOURS: [Behaviour; 8] = [
    Behaviour::Steady,
    Behaviour::ReadNothing,
    Behaviour::Pipeline,
    Behaviour::PipelineUnread,
    Behaviour::HalfValue,
    Behaviour::NewConnections,
    Behaviour::LongLines,
    Behaviour::ManyProperties,
];

/// A load of many clients.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    /// The number of clients, each with a connection.
    pub clients: usize,
    pub size: ValueSize,
    pub write_percent: u8,
    pub behaviour: Behaviour,
}

/// Runs the load for this time, and returns the number of served requests.
pub fn run(load: &Load, address: SocketAddr, time: Duration, seed: u64) -> u64 {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, async move {
        let served = Rc::new(Cell::new(0));
        let mut rng = Rng::with_seed(seed);
        for _ in 0..load.clients {
            let client = Client { load: *load, address, rng: rng.fork(), served: Rc::clone(&served) };
            spawn_local(client.run());
        }
        sleep(time).await;
        served.get()
    })
}

struct Client {
    load: Load,
    address: SocketAddr,
    rng: Rng,
    served: Rc<Cell<u64>>,
}

impl Client {
    async fn run(mut self) {
        loop {
            let behaviour = match self.load.behaviour {
                Behaviour::Mixed => SINGLE_BEHAVIOURS[self.rng.usize(..SINGLE_BEHAVIOURS.len())],
                behaviour => behaviour,
            };
            // The daemon may close a connection at any time.
            if self.use_connection(behaviour).await.is_err() {
                sleep(PAUSE_AFTER_ERROR).await;
            }
        }
    }

    async fn use_connection(&mut self, behaviour: Behaviour) -> std::io::Result<()> {
        match behaviour {
            Behaviour::Steady => {
                let mut stream = BufReader::new(TcpStream::connect(self.address).await?);
                let until = Instant::now() + Duration::from_secs(1);
                while Instant::now() < until {
                    self.ask(&mut stream, 1).await?;
                }
                Ok(())
            }
            Behaviour::NewConnections => {
                let mut stream = BufReader::new(TcpStream::connect(self.address).await?);
                self.ask(&mut stream, 1).await
            }
            Behaviour::Pipeline => {
                let mut stream = BufReader::new(TcpStream::connect(self.address).await?);
                self.ask(&mut stream, PIPELINE_REQUESTS).await
            }
            Behaviour::ReadNothing => self.ask_and_not_read(1, "").await,
            Behaviour::PipelineUnread => self.ask_and_not_read(PIPELINE_REQUESTS, "").await,
            Behaviour::LongLines => {
                let property = format!(",x={}", "x".repeat(LONG_LINE_BYTES));
                self.ask_and_not_read(PIPELINE_REQUESTS, &property).await
            }
            Behaviour::ManyProperties => {
                let properties = SHORT_PROPERTY.repeat(LONG_LINE_BYTES / SHORT_PROPERTY.len());
                self.ask_and_not_read(PIPELINE_REQUESTS, &properties).await
            }
            Behaviour::HalfValue | Behaviour::Mixed => {
                let mut stream = TcpStream::connect(self.address).await?;
                let text = self.write(MAX_VALUE_BYTES.min(self.load.size.max.max(1)));
                stream.write_all(&text[..text.len() - text.len() / 8]).await?;
                sleep(UNREAD_TIME).await;
                Ok(())
            }
        }
    }

    /// Sends requests and reads their answers.
    async fn ask(&mut self, stream: &mut BufReader<TcpStream>, requests: usize) -> std::io::Result<()> {
        let text = self.requests(requests, "");
        let (reader, mut writer) = stream.get_mut().split();
        let mut reader = BufReader::new(reader);
        let served = Rc::clone(&self.served);
        let read = async {
            for _ in 0..requests {
                let is_served = read_answer(&mut reader).await?;
                served.set(served.get() + u64::from(is_served));
            }
            Ok(())
        };
        let both = async { tokio::try_join!(writer.write_all(&text), read) };
        timeout(Duration::from_millis(DEADLINE_MS), both).await??;
        Ok(())
    }

    /// Sends requests on a connection with a small receive buffer, and reads nothing for a while.
    async fn ask_and_not_read(&mut self, requests: usize, properties: &str) -> std::io::Result<()> {
        let socket = TcpSocket::new_v4()?;
        socket.set_recv_buffer_size(SMALL_SOCKET_BUFFER_BYTES)?;
        let mut stream = socket.connect(self.address).await?;
        let text = self.requests(requests, properties);
        let _ = timeout(UNREAD_TIME, stream.write_all(&text)).await;
        sleep(UNREAD_TIME).await;
        Ok(())
    }

    fn requests(&mut self, count: usize, properties: &str) -> Vec<u8> {
        let mut text = Vec::new();
        for _ in 0..count {
            if self.rng.u8(..100) < self.load.write_percent {
                let length = self.rng.usize(self.load.size.min..=self.load.size.max);
                text.extend(self.write(length));
            } else {
                text.extend(self.read(properties));
            }
        }
        text
    }

    fn read(&mut self, properties: &str) -> Vec<u8> {
        let key = Key {
            length: self.rng.usize(self.load.size.min..=self.load.size.max),
            is_missing: self.rng.u8(..8) == 0,
            is_chunked: self.rng.u8(..2) == 0,
            has_pause: self.rng.u8(..4) == 0,
        };
        let (key, id) = (key.format(self.rng.u32(..)), self.rng.u64(..));
        format!("mg {key} v O{id:016x} Pc=read,d={DEADLINE_MS}{properties}\r\n").into()
    }

    fn write(&mut self, length: usize) -> Vec<u8> {
        let key = Key { length, is_missing: false, is_chunked: false, has_pause: false };
        let (key, id) = (key.format(self.rng.u32(..)), self.rng.u64(..));
        let line = format!("ms {key} {length} O{id:016x} Pc=put,d={DEADLINE_MS},k={id:x}\r\n");
        [line.into_bytes(), vec![b'w'; length], b"\r\n".to_vec()].concat()
    }
}

/// Reads an answer, and returns whether the request was served.
async fn read_answer<R: tokio::io::AsyncBufRead + Unpin>(reader: &mut R) -> std::io::Result<bool> {
    let mut line = String::new();
    if reader.read_line(&mut line).await? == 0 {
        return Err(std::io::ErrorKind::UnexpectedEof.into());
    }
    if let Some(length) = line.strip_prefix("VA ").and_then(|rest| rest.split(' ').next()) {
        let length: u64 = length.trim().parse().unwrap();
        let mut value = reader.take(length + 2);
        tokio::io::copy(&mut value, &mut tokio::io::sink()).await?;
        return Ok(true);
    }
    Ok(line.starts_with("HD "))
}
