//! The control: a small balancer for the testbed's own tests, with the flaw that its file's name says. The checker has to
//! find each flaw from sockets alone, and nothing in the one named `sound`.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use serde_json::Value;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::task::{spawn_local, LocalSet};
use tokio::time::{sleep, sleep_until, timeout_at, Instant};

type Error = Box<dyn std::error::Error>;

/// The time in which an answer has to get back to its client.
const ANSWER_MARGIN: Duration = Duration::from_millis(40);
/// How late the answers are of a balancer whose flaw that is, against what their clients may wait for.
const LATE_BY: Duration = Duration::from_millis(840);
/// How long a balancer that does not answer holds a request.
const MUTE_TIME: Duration = Duration::from_secs(60);
/// After which time a balancer closes a connection whose flaw that is.
const DROP_AFTER: Duration = Duration::from_millis(100);
/// A flaw that is not on every request is on one in so many.
const REQUESTS_PER_FLAW: u64 = 20;
/// For how long a herd goes to one server, in milliseconds.
const HERD_MS: u64 = 200;
/// Attempts of a balancer that makes too many.
const TOO_MANY_ATTEMPTS: usize = 4;
/// What it asks discovery for.
const WATCH_REQUEST: &[u8] = b"GET /catalog/members?follow=1 HTTP/1.1\r\nHost: d\r\n\r\n";

/// What is wrong with a balancer.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Flaw {
    /// Nothing.
    None,
    /// It answers some requests after their deadline.
    Late,
    /// It does not answer some requests.
    Mute,
    /// It answers some requests with a value that nobody made.
    Forge,
    /// It answers some requests twice.
    Twice,
    /// It closes the connection on some requests.
    Drop,
    /// It makes too many attempts for some requests.
    Eager,
    /// It does not act on notices of discovery.
    Deaf,
    /// It sends everything to a server that has just started.
    Push,
    /// It sends everything to one server at a time.
    Herd,
    /// It sends half of everything to one server.
    Favour,
    /// It sends nothing to one server.
    Shun,
    /// It sends everything to the origin.
    Flood,
    /// It ends at once when it is told to, with code 0, and leaves what it took without an answer.
    Abrupt,
}

impl Flaw {
    /// The flaw that a file's name says. `stubborn` has none of its own: it goes on sending to a silent server.
    fn named(name: &str) -> Flaw {
        match name {
            "late" => Flaw::Late,
            "mute" => Flaw::Mute,
            "forge" => Flaw::Forge,
            "twice" => Flaw::Twice,
            "drop" => Flaw::Drop,
            "eager" => Flaw::Eager,
            "deaf" => Flaw::Deaf,
            "push" => Flaw::Push,
            "herd" => Flaw::Herd,
            "favour" => Flaw::Favour,
            "shun" => Flaw::Shun,
            "flood" => Flaw::Flood,
            "abrupt" => Flaw::Abrupt,
            _ => Flaw::None,
        }
    }
}

struct CacheServer {
    id: String,
    address: SocketAddr,
    in_service: bool,
    has_restarted: bool,
}

struct FaultyBalancer {
    flaw: Flaw,
    servers: RefCell<Vec<CacheServer>>,
    origin: SocketAddr,
}

fn main() -> Result<(), Error> {
    let program = std::env::args().next().unwrap_or_default();
    let flaw = Flaw::named(program.rsplit('/').next().unwrap_or_default());
    let config: Value = serde_json::from_str(&std::fs::read_to_string(std::env::var("NODE_CONFIG")?)?)?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, run(flaw, config))
}

async fn run(flaw: Flaw, config: Value) -> Result<(), Error> {
    let balancer = Rc::new(FaultyBalancer::from_config(flaw, &config)?);
    let discovery: SocketAddr = config["discovery"].as_str().ok_or("no discovery")?.parse()?;
    if flaw == Flaw::Deaf {
        spawn_local(ignore_discovery(discovery));
    } else {
        spawn_local(Rc::clone(&balancer).follow_discovery(discovery));
    }
    if flaw == Flaw::Abrupt {
        spawn_local(end_at_sigterm(signal(SignalKind::terminate())?));
        // It lives through the other signals, whose default would end it.
        let _ = (signal(SignalKind::hangup())?, signal(SignalKind::user_defined1())?);
    }
    let listener = TcpListener::bind(config["listen"].as_str().ok_or("no address")?).await?;
    loop {
        let (stream, _) = listener.accept().await?;
        let balancer = Rc::clone(&balancer);
        spawn_local(async move {
            // A client that is gone ends its connection's task and nothing else.
            let _ = balancer.serve(stream).await;
        });
    }
}

async fn end_at_sigterm(mut sigterm: Signal) {
    sigterm.recv().await;
    std::process::exit(0);
}

/// It is notified, and does not act on it.
async fn ignore_discovery(discovery: SocketAddr) -> Result<(), Error> {
    let mut watch = TcpStream::connect(discovery).await?;
    watch.write_all(WATCH_REQUEST).await?;
    let mut ignored = Vec::new();
    watch.read_to_end(&mut ignored).await?;
    Ok(())
}

fn server(entry: &Value) -> Result<(CacheServer, bool), Error> {
    let text = |name: &str| entry[name].as_str().unwrap_or_default().to_owned();
    let server = CacheServer {
        id: text("instanceId"),
        address: text("hostPort").parse()?,
        in_service: text("lifecycle") == "in_service",
        has_restarted: entry["startedAtMs"].as_u64().unwrap_or(0) > 0,
    };
    Ok((server, text("machineType") == "origin"))
}

impl FaultyBalancer {
    fn from_config(flaw: Flaw, config: &Value) -> Result<FaultyBalancer, Error> {
        let mut servers = Vec::new();
        let mut origin = None;
        for entry in config["known"]["instances"].as_array().into_iter().flatten() {
            let (server, is_origin) = server(entry)?;
            if is_origin {
                origin = Some(server.address);
            } else {
                servers.push(server);
            }
        }
        let origin = origin.ok_or("the list names no origin")?;
        Ok(FaultyBalancer { flaw, servers: RefCell::new(servers), origin })
    }

    /// Follows discovery: each line of its answer that is an object is a list or its changes.
    async fn follow_discovery(self: Rc<FaultyBalancer>, discovery: SocketAddr) -> Result<(), Error> {
        let mut stream = BufReader::new(TcpStream::connect(discovery).await?);
        stream.write_all(WATCH_REQUEST).await?;
        let mut line = String::new();
        while stream.read_line(&mut line).await? > 0 {
            if line.starts_with('{') {
                self.apply_changes(&serde_json::from_str(&line)?)?;
            }
            line.clear();
        }
        Ok(())
    }

    fn apply_changes(&self, list: &Value) -> Result<(), Error> {
        let mut servers = self.servers.borrow_mut();
        for entry in list["instances"].as_array().into_iter().flatten() {
            let (changed, is_origin) = server(entry)?;
            match servers.iter_mut().find(|server| server.id == changed.id) {
                Some(server) => *server = changed,
                None if !is_origin => servers.push(changed),
                None => {}
            }
        }
        Ok(())
    }

    async fn serve(&self, stream: TcpStream) -> Result<(), Error> {
        stream.set_nodelay(true)?;
        let mut stream = BufReader::new(stream);
        let mut line = String::new();
        while stream.read_line(&mut line).await? > 0 {
            let words: Vec<&str> = line.split_whitespace().collect();
            let answer = match words[..] {
                ["mn"] => "MN\r\n".into(),
                ["mg", key, ..] => self.read(&line, key).await?,
                ["ms", key, length, ..] => {
                    let mut value = vec![0; length.parse::<usize>()? + 2];
                    stream.read_exact(&mut value).await?;
                    self.write(&line, key).await?
                }
                _ => "ERROR\r\n".into(),
            };
            stream.write_all(answer.as_bytes()).await?;
            line.clear();
        }
        Ok(())
    }

    /// The server that a key goes to: each key has a home, and where that is not in service its keys go to all others.
    fn pick(&self, key: u64, request: u64) -> Option<SocketAddr> {
        let servers = self.servers.borrow();
        let count = servers.len() as u64;
        let home = key % count.max(1);
        let place = match self.flaw {
            // All at one server, the next one after a fifth of a second, by the clock that all read.
            Flaw::Herd => {
                let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).ok()?;
                now.as_millis() as u64 / HERD_MS % count.max(1)
            }
            Flaw::Favour if request.is_multiple_of(2) => 0,
            Flaw::Shun if home == 1 => 2,
            Flaw::Push => {
                let restarted = servers.iter().position(|server| server.has_restarted);
                restarted.map_or(home, |place| place as u64)
            }
            _ => home,
        };
        let in_service: Vec<&CacheServer> = servers.iter().filter(|server| server.in_service).collect();
        let other = || in_service.get((key / count.max(1)) as usize % in_service.len().max(1)).copied();
        let server = servers.get(place as usize).filter(|server| server.in_service);
        server.or_else(other).map(|server| server.address)
    }

    async fn read(&self, line: &str, key: &str) -> Result<String, Error> {
        let id = id_of(line).ok_or("no id")?;
        let time = time_of(line).ok_or("no time")?;
        let request = u64::from_str_radix(&id, 16)? & 0xffff_ffff_ffff;
        // The testbed's clients give the key's number beside its name.
        let key_number = property(line, "q=").ok_or("no number")?.parse()?;
        let deadline = Instant::now() + time - ANSWER_MARGIN.min(time);
        let has_flaw = request.is_multiple_of(REQUESTS_PER_FLAW);
        if has_flaw {
            if let Some(answer) = self.flawed_answer(&id, deadline).await? {
                return Ok(answer);
            }
        }
        let attempts = if self.flaw == Flaw::Eager && has_flaw { TOO_MANY_ATTEMPTS } else { 1 };
        let answer = self.answer_read(line, key, &id, key_number, request, attempts);
        match timeout_at(deadline, answer).await {
            Ok(Ok(answer)) if answer.starts_with("VA") => Ok(answer),
            _ => Ok("SERVER_ERROR busy 300\r\n".into()),
        }
    }

    /// The answer of a balancer whose flaw is in answers; none of any other.
    async fn flawed_answer(&self, id: &str, deadline: Instant) -> Result<Option<String>, Error> {
        Ok(match self.flaw {
            Flaw::Late => {
                sleep_until(deadline + LATE_BY).await;
                Some("SERVER_ERROR busy\r\n".into())
            }
            Flaw::Mute => {
                sleep(MUTE_TIME).await;
                Some("SERVER_ERROR busy\r\n".into())
            }
            Flaw::Forge => Some(format!("VA 6 O{id}\r\nforged\r\n")),
            Flaw::Twice => Some("SERVER_ERROR busy\r\nSERVER_ERROR busy\r\n".into()),
            Flaw::Drop => {
                sleep(DROP_AFTER).await;
                return Err("it hangs up".into());
            }
            _ => None,
        })
    }

    /// Asks a server so many times, and the origin where it misses.
    async fn answer_read(
        &self,
        line: &str,
        key: &str,
        id: &str,
        key_number: u64,
        request: u64,
        attempts: usize,
    ) -> Result<String, Error> {
        let mut answer = String::new();
        for _ in 0..attempts {
            let address = self.pick(key_number, request).ok_or("no host")?;
            answer = if self.flaw == Flaw::Flood { "EN".into() } else { ask_server(address, line).await? };
        }
        if answer.starts_with("EN") {
            let value = self.fetch("GET", line, key).await?;
            answer = format!("VA {} O{id}\r\n{value}\r\n", value.len());
        }
        Ok(answer)
    }

    async fn write(&self, line: &str, key: &str) -> Result<String, Error> {
        let id = id_of(line).ok_or("no id")?;
        let time = time_of(line).ok_or("no time")?;
        let deadline = Instant::now() + time - ANSWER_MARGIN.min(time);
        match timeout_at(deadline, self.fetch("PUT", line, key)).await {
            Ok(Ok(receipt)) => Ok(format!("HD O{id} c{receipt}\r\n")),
            _ => Ok("SERVER_ERROR failed\r\n".into()),
        }
    }

    /// Asks the origin; its body.
    async fn fetch(&self, method: &str, line: &str, key: &str) -> Result<String, Error> {
        let id = id_of(line).ok_or("no id")?;
        let properties = flag_of(line, 'P').ok_or("no properties")?;
        let mut stream = TcpStream::connect(self.origin).await?;
        let call = format!(
            "{method} /{key} HTTP/1.1\r\nHost: o\r\nConnection: close\r\nContent-Length: 0\r\nX-Trace-Id: {id}\r\n\
             X-Props: {properties}\r\n\r\n"
        );
        stream.write_all(call.as_bytes()).await?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer).await?;
        let (head, body) = answer.split_once("\r\n\r\n").ok_or("no answer")?;
        if !head.starts_with("HTTP/1.1 200") {
            return Err("turned away".into());
        }
        Ok(body.to_owned())
    }
}

/// Asks a server on a new connection; its answer, with the load report off.
async fn ask_server(address: SocketAddr, line: &str) -> Result<String, Error> {
    let mut stream = BufReader::new(TcpStream::connect(address).await?);
    stream.write_all(line.as_bytes()).await?;
    let mut first = String::new();
    stream.read_line(&mut first).await?;
    let words: Vec<&str> = first.split_whitespace().collect();
    let ["VA", length, id, ..] = words[..] else { return Ok(first) };
    let mut value = vec![0; length.parse::<usize>()? + 2];
    stream.read_exact(&mut value).await?;
    Ok(format!("VA {length} {id}\r\n{}", String::from_utf8(value)?))
}

fn flag_of(line: &str, name: char) -> Option<String> {
    line.split_whitespace().skip(2).find_map(|word| word.strip_prefix(name)).map(str::to_owned)
}

fn id_of(line: &str) -> Option<String> {
    flag_of(line, 'O')
}

fn time_of(line: &str) -> Option<Duration> {
    Some(Duration::from_millis(property(line, "d=")?.parse().ok()?))
}

fn property(line: &str, name: &str) -> Option<String> {
    flag_of(line, 'P')?.split(',').find_map(|item| item.strip_prefix(name)).map(str::to_owned)
}
