//! The control: a small balancer for the rig's own tests, wrong on purpose in the way that its file's name says. The
//! judge has to find each wrong from sockets alone, and nothing in the one named `sound`.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use serde_json::Value;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{spawn_local, LocalSet};
use tokio::time::{sleep, sleep_until, timeout_at, Instant};

type Error = Box<dyn std::error::Error>;

/// The margin in which an answer has to get back to its client.
const MARGIN: Duration = Duration::from_millis(40);

struct CacheServer {
    id: String,
    address: SocketAddr,
    open: bool,
    fresh: bool,
}

struct Control {
    /// How it is wrong.
    wrong: String,
    servers: RefCell<Vec<CacheServer>>,
    origin: SocketAddr,
}

fn main() -> Result<(), Error> {
    let name = std::env::args().next().unwrap_or_default();
    let wrong = name.rsplit('/').next().unwrap_or_default().to_owned();
    let config: Value = serde_json::from_str(&std::fs::read_to_string(std::env::var("NODE_CONFIG")?)?)?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, run(wrong, config))
}

async fn run(wrong: String, config: Value) -> Result<(), Error> {
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
    let control = Rc::new(Control { wrong, servers: RefCell::new(servers), origin });
    let discovery: SocketAddr = config["discovery"].as_str().ok_or("no discovery")?.parse()?;
    if control.wrong != "deaf" {
        spawn_local(Rc::clone(&control).follow(discovery));
    } else {
        // It is told, and does not listen.
        spawn_local(async move {
            let mut watch = TcpStream::connect(discovery).await?;
            watch.write_all(b"GET /catalog/members?follow=1 HTTP/1.1\r\nHost: d\r\n\r\n").await?;
            let mut heard = Vec::new();
            watch.read_to_end(&mut heard).await
        });
    }
    let listener = TcpListener::bind(config["listen"].as_str().ok_or("no address")?).await?;
    loop {
        let (stream, _) = listener.accept().await?;
        let control = Rc::clone(&control);
        spawn_local(async move {
            // A client that is gone ends its connection's task and nothing else.
            let _ = control.serve(stream).await;
        });
    }
}

fn server(entry: &Value) -> Result<(CacheServer, bool), Error> {
    let text = |name: &str| entry[name].as_str().unwrap_or_default().to_owned();
    let server = CacheServer {
        id: text("instanceId"),
        address: text("hostPort").parse()?,
        open: text("lifecycle") == "in_service",
        fresh: entry["startedAtMs"].as_u64().unwrap_or(0) > 0,
    };
    Ok((server, text("machineType") == "origin"))
}

impl Control {
    /// Follows discovery: each line of its answer that is an object is a list or its changes.
    async fn follow(self: Rc<Control>, discovery: SocketAddr) -> Result<(), Error> {
        let mut stream = BufReader::new(TcpStream::connect(discovery).await?);
        stream.write_all(b"GET /catalog/members?follow=1 HTTP/1.1\r\nHost: d\r\n\r\n").await?;
        let mut line = String::new();
        while stream.read_line(&mut line).await? > 0 {
            if line.starts_with('{') {
                let list: Value = serde_json::from_str(&line)?;
                for entry in list["instances"].as_array().into_iter().flatten() {
                    let (new, is_origin) = server(entry)?;
                    let mut servers = self.servers.borrow_mut();
                    match servers.iter_mut().find(|server| server.id == new.id) {
                        Some(server) => *server = new,
                        None if !is_origin => servers.push(new),
                        None => {}
                    }
                }
            }
            line.clear();
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

    /// Which server the key with this number goes to: all in turn, and where one is closed its keys to all others.
    fn pick(&self, key: u64, number: u64) -> Option<SocketAddr> {
        let servers = self.servers.borrow();
        let count = servers.len() as u64;
        let home = key % count.max(1);
        let place = match self.wrong.as_str() {
            // All at one server, the next one after a fifth of a second, by the clock that all read.
            "herd" => {
                let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).ok()?;
                now.as_millis() as u64 / 200 % count.max(1)
            }
            "favour" if number.is_multiple_of(2) => 0,
            "shun" if home == 1 => 2,
            "push" => servers.iter().position(|server| server.fresh).map_or(home, |fresh| fresh as u64),
            _ => home,
        };
        let open: Vec<&CacheServer> = servers.iter().filter(|server| server.open).collect();
        let server = servers.get(place as usize).filter(|server| server.open);
        let server = server.or_else(|| open.get((key / count.max(1)) as usize % open.len().max(1)).copied());
        server.map(|server| server.address)
    }

    async fn read(&self, line: &str, key: &str) -> Result<String, Error> {
        let (id, wait) = (id_of(line).ok_or("no id")?, wait_of(line).ok_or("no time")?);
        let number = u64::from_str_radix(&id, 16)? & 0xffff_ffff_ffff;
        // The rig's clients tell the key's number beside its name.
        let place = property(line, "q=").ok_or("no number")?.parse()?;
        let deadline = Instant::now() + wait - MARGIN.min(wait);
        let some = number.is_multiple_of(20);
        match self.wrong.as_str() {
            "late" if some => {
                sleep_until(deadline + Duration::from_millis(840)).await;
                return Ok("SERVER_ERROR busy\r\n".into());
            }
            "mute" if some => {
                sleep(Duration::from_secs(60)).await;
                return Ok("SERVER_ERROR busy\r\n".into());
            }
            "forge" if some => return Ok(format!("VA 6 O{id}\r\nforged\r\n")),
            "twice" if some => return Ok("SERVER_ERROR busy\r\nSERVER_ERROR busy\r\n".into()),
            "drop" if some => {
                sleep(Duration::from_millis(100)).await;
                return Err("it hangs up".into());
            }
            _ => {}
        }
        let asked = async {
            let mut answer = String::new();
            for _ in 0..if self.wrong == "eager" && some { 4 } else { 1 } {
                let address = self.pick(place, number).ok_or("no host")?;
                answer = if self.wrong == "flood" { "EN".into() } else { ask(address, line).await? };
            }
            if answer.starts_with("EN") {
                let value = self.fetch("GET", line, key).await?;
                answer = format!("VA {} O{id}\r\n{value}\r\n", value.len());
            }
            Ok::<_, Error>(answer)
        };
        match timeout_at(deadline, asked).await {
            Ok(Ok(answer)) if answer.starts_with("VA") => Ok(answer),
            _ => Ok("SERVER_ERROR busy 300\r\n".into()),
        }
    }

    async fn write(&self, line: &str, key: &str) -> Result<String, Error> {
        let (id, wait) = (id_of(line).ok_or("no id")?, wait_of(line).ok_or("no time")?);
        let deadline = Instant::now() + wait - MARGIN.min(wait);
        match timeout_at(deadline, self.fetch("PUT", line, key)).await {
            Ok(Ok(receipt)) => Ok(format!("HD O{id} c{receipt}\r\n")),
            _ => Ok("SERVER_ERROR failed\r\n".into()),
        }
    }

    /// Asks the origin; its body.
    async fn fetch(&self, method: &str, line: &str, key: &str) -> Result<String, Error> {
        let id = id_of(line).ok_or("no id")?;
        let properties = word_of(line, 'P').ok_or("no properties")?;
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
async fn ask(address: SocketAddr, line: &str) -> Result<String, Error> {
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

fn word_of(line: &str, name: char) -> Option<String> {
    line.split_whitespace().skip(2).find_map(|word| word.strip_prefix(name)).map(str::to_owned)
}

fn id_of(line: &str) -> Option<String> {
    word_of(line, 'O')
}

fn wait_of(line: &str) -> Option<Duration> {
    Some(Duration::from_millis(property(line, "d=")?.parse().ok()?))
}

fn property(line: &str, name: &str) -> Option<String> {
    word_of(line, 'P')?.split(',').find_map(|item| item.strip_prefix(name)).map(str::to_owned)
}
