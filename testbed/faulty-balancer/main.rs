//! A small balancer with a deliberate flaw, for the negative controls of the testbed's checker. The name of the executable
//! file selects the flaw. The checker has to report each flaw by its effects on sockets alone, and no violation if the name
//! is `sound`.

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

/// Time that is reserved for the transit of an answer to the client.
const ANSWER_MARGIN: Duration = Duration::from_millis(40);
/// Time from the balancer's own deadline, which is [`ANSWER_MARGIN`] before the client's, to an answer of [`Flaw::Late`].
const LATE_BY: Duration = Duration::from_millis(840);
/// Time for which [`Flaw::Mute`] holds a request.
const MUTE_TIME: Duration = Duration::from_secs(60);
/// Time after which [`Flaw::Drop`] closes the connection of a request.
const DROP_AFTER: Duration = Duration::from_millis(100);
/// [`Flaw::Eager`] and the flaws in answers affect one request in this number.
const REQUESTS_PER_AFFECTED_REQUEST: u64 = 20;
/// Time for which [`Flaw::Herd`] sends everything to one server, in milliseconds.
const HERD_MS: u64 = 200;
/// Number of attempts of [`Flaw::Eager`] for an affected request.
const TOO_MANY_ATTEMPTS: usize = 4;
/// Request for a watch of the endpoint list.
const WATCH_REQUEST: &[u8] = b"GET /catalog/members?follow=1 HTTP/1.1\r\nHost: d\r\n\r\n";

/// The flaw of a balancer.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Flaw {
    /// No flaw.
    None,
    /// Answers some requests after their deadline.
    Late,
    /// Does not answer some requests.
    Mute,
    /// Answers some requests with a value that no server or origin made.
    Forge,
    /// Answers some requests twice.
    Twice,
    /// Closes the connection instead of answering some requests.
    Drop,
    /// Makes too many attempts for some requests.
    Eager,
    /// Ignores the changes of which discovery notifies it.
    Deaf,
    /// Sends everything to a restarted server.
    Push,
    /// Sends everything to one server at a time.
    Herd,
    /// Sends half of all requests to one server.
    Favour,
    /// Sends nothing to one server.
    Shun,
    /// Sends everything to the origin.
    Flood,
    /// Exits at once on SIGTERM, with code 0, and leaves accepted requests unanswered.
    Abrupt,
}

impl Flaw {
    /// The flaw that this file name selects; [`Flaw::None`] for every other name. `stubborn` needs no variant: even without a
    /// flaw, this balancer keeps sending to a silent server.
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
    let discovery: SocketAddr =
        config["discovery"].as_str().ok_or("the configuration has no address of discovery")?.parse()?;
    if flaw == Flaw::Deaf {
        spawn_local(ignore_discovery(discovery));
    } else {
        spawn_local(Rc::clone(&balancer).follow_discovery(discovery));
    }
    if flaw == Flaw::Abrupt {
        spawn_local(end_at_sigterm(signal(SignalKind::terminate())?));
        // Ignores these signals, whose default action would end the process.
        let _ = (signal(SignalKind::hangup())?, signal(SignalKind::user_defined1())?);
    }
    let listener =
        TcpListener::bind(config["listen"].as_str().ok_or("the configuration has no listen address")?)
            .await?;
    loop {
        let (stream, _) = listener.accept().await?;
        let balancer = Rc::clone(&balancer);
        spawn_local(async move {
            // An error, such as a disconnected client, ends only this connection.
            let _ = balancer.serve(stream).await;
        });
    }
}

async fn end_at_sigterm(mut sigterm: Signal) {
    sigterm.recv().await;
    std::process::exit(0);
}

/// Keeps a watch open and ignores its notifications.
async fn ignore_discovery(discovery: SocketAddr) -> Result<(), Error> {
    let mut watch = TcpStream::connect(discovery).await?;
    watch.write_all(WATCH_REQUEST).await?;
    let mut ignored = Vec::new();
    watch.read_to_end(&mut ignored).await?;
    Ok(())
}

/// Parses an entry of the endpoint list. Returns the server, and whether it is the origin.
fn parse_entry(entry: &Value) -> Result<(CacheServer, bool), Error> {
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
            let (server, is_origin) = parse_entry(entry)?;
            if is_origin {
                origin = Some(server.address);
            } else {
                servers.push(server);
            }
        }
        let origin = origin.ok_or("the endpoint list of the configuration has no origin")?;
        Ok(FaultyBalancer { flaw, servers: RefCell::new(servers), origin })
    }

    /// Watches the endpoint list at discovery. Each line of the answer that is a JSON object is a complete list or the
    /// changes to the list.
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
            let (changed, is_origin) = parse_entry(entry)?;
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

    /// Chooses the server for a key: the key's home server, unless the flaw selects another one. The keys of a server that is
    /// out of service are spread over the servers in service.
    fn choose_server(&self, key_number: u64, request_number: u64) -> Option<SocketAddr> {
        let servers = self.servers.borrow();
        let count = servers.len() as u64;
        let home = key_number % count.max(1);
        let index = match self.flaw {
            // All balancers choose the same server and change it every fifth of a second, by the clock that they share.
            Flaw::Herd => {
                let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).ok()?;
                now.as_millis() as u64 / HERD_MS % count.max(1)
            }
            Flaw::Favour if request_number.is_multiple_of(2) => 0,
            Flaw::Shun if home == 1 => 2,
            Flaw::Push => {
                let restarted = servers.iter().position(|server| server.has_restarted);
                restarted.map_or(home, |index| index as u64)
            }
            _ => home,
        };
        let in_service: Vec<&CacheServer> = servers.iter().filter(|server| server.in_service).collect();
        let other =
            || in_service.get((key_number / count.max(1)) as usize % in_service.len().max(1)).copied();
        let server = servers.get(index as usize).filter(|server| server.in_service);
        server.or_else(other).map(|server| server.address)
    }

    async fn read(&self, line: &str, key: &str) -> Result<String, Error> {
        let id = id_flag(line).ok_or("the request has no id")?;
        let time = time_limit(line).ok_or("the request has no time limit")?;
        let request_number = u64::from_str_radix(&id, 16)? & 0xffff_ffff_ffff;
        // The testbed's clients send the key's number in addition to its name.
        let key_number = property(line, "q=").ok_or("the request has no key number")?.parse()?;
        let deadline = Instant::now() + time - ANSWER_MARGIN.min(time);
        let is_affected = request_number.is_multiple_of(REQUESTS_PER_AFFECTED_REQUEST);
        if is_affected {
            if let Some(answer) = self.flawed_answer(&id, deadline).await? {
                return Ok(answer);
            }
        }
        let attempts = if self.flaw == Flaw::Eager && is_affected { TOO_MANY_ATTEMPTS } else { 1 };
        let answer = self.answer_read(line, key, &id, key_number, request_number, attempts);
        match timeout_at(deadline, answer).await {
            Ok(Ok(answer)) if answer.starts_with("VA") => Ok(answer),
            _ => Ok("SERVER_ERROR busy 300\r\n".into()),
        }
    }

    /// Answers an affected request if the flaw is in the answers; `None` for other flaws. [`Flaw::Drop`] returns an error,
    /// which closes the connection.
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
                return Err("the connection is closed on purpose".into());
            }
            _ => None,
        })
    }

    /// Makes `attempts` attempts to a server, and fetches the value from the origin after a miss. [`Flaw::Flood`] sends
    /// nothing to the server and treats each attempt as a miss.
    async fn answer_read(
        &self,
        line: &str,
        key: &str,
        id: &str,
        key_number: u64,
        request_number: u64,
        attempts: usize,
    ) -> Result<String, Error> {
        let mut answer = String::new();
        for _ in 0..attempts {
            let address = self.choose_server(key_number, request_number).ok_or("no server is in service")?;
            answer =
                if self.flaw == Flaw::Flood { "EN".into() } else { send_to_server(address, line).await? };
        }
        if answer.starts_with("EN") {
            let value = self.send_to_origin("GET", line, key).await?;
            answer = format!("VA {} O{id}\r\n{value}\r\n", value.len());
        }
        Ok(answer)
    }

    async fn write(&self, line: &str, key: &str) -> Result<String, Error> {
        let id = id_flag(line).ok_or("the request has no id")?;
        let time = time_limit(line).ok_or("the request has no time limit")?;
        let deadline = Instant::now() + time - ANSWER_MARGIN.min(time);
        match timeout_at(deadline, self.send_to_origin("PUT", line, key)).await {
            Ok(Ok(receipt)) => Ok(format!("HD O{id} c{receipt}\r\n")),
            _ => Ok("SERVER_ERROR failed\r\n".into()),
        }
    }

    /// Sends a request to the origin and returns the body of the answer.
    async fn send_to_origin(&self, method: &str, line: &str, key: &str) -> Result<String, Error> {
        let id = id_flag(line).ok_or("the request has no id")?;
        let properties = flag(line, 'P').ok_or("the request has no properties")?;
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

/// Sends a request to a server on a new connection and returns the answer without its load report.
async fn send_to_server(address: SocketAddr, line: &str) -> Result<String, Error> {
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

fn flag(line: &str, name: char) -> Option<String> {
    line.split_whitespace().skip(2).find_map(|word| word.strip_prefix(name)).map(str::to_owned)
}

fn id_flag(line: &str) -> Option<String> {
    flag(line, 'O')
}

fn time_limit(line: &str) -> Option<Duration> {
    Some(Duration::from_millis(property(line, "d=")?.parse().ok()?))
}

fn property(line: &str, name: &str) -> Option<String> {
    flag(line, 'P')?.split(',').find_map(|item| item.strip_prefix(name)).map(str::to_owned)
}
