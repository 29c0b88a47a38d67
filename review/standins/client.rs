//! Clients, and the configuration of a small deployment.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// The classes of the heating site: their deadlines and effects are those of its page.
const CLASSES: &str = r#"[
  {"name":"schedule-read","aim":750000,"effect":"pure","give-up":1500000,"group":"all","late-worth":0.0,"stream":false,"window":5000000,"worth":1.0},
  {"name":"setpoint-change","aim":1200000,"effect":"token","give-up":3000000,"group":"all","late-worth":0.0,"stream":false,"window":6000000,"worth":10.0}]"#;

/// What the platform allows a balancer.
#[derive(Clone, Copy)]
pub struct Limits {
    pub memory_mb: u64,
    pub sockets: u64,
}

/// The limits of the days that count, at most.
pub const USUAL_LIMITS: Limits = Limits { memory_mb: 192, sockets: 1_024 };

/// The configuration of one balancer of the heating site.
pub fn config(address: SocketAddr, discovery: SocketAddr, list: &str, limits: Limits) -> String {
    let Limits { memory_mb, sockets } = limits;
    format!(
        r#"{{"name":"n0","listen":"{address}","discovery":"{discovery}","seed":"8c1f30d27a5be964",
"limits":{{"cores":1.0,"memory_mb":{memory_mb},"sockets":{sockets}}},
"known":{list},
"settings":{{"az":0,"balancers":1,"categories":{CLASSES},
"clients":{{"marks-retry":true}},"domain-type":"cache",
"extra":{{"mode":"aside","origin-fall":3000000,"origin-fall-multiple":2.5,"origin-kind":2}},
"feedback":{{"how":"none","names":[]}},
"kinds":["fast-node","plain-node","origin"],
"limits":{{"cancel":true,"conn-idle":5000000,"connect-timeout":250000,"max-attempts":3,"max-open":20000,"max-retry-after":2000000,"may-duplicate":true,"may-tell":false,"multiplex":100,"probes":false,"retry-after":true}},
"membership-mode":"subscribe","orgs":[],"position":0,
"rules":{{"answer-slack":20000,"ask-within":10000000,"cold-share":0.32,"drain-grace":500000,"fall":1000000,"fall-multiple":4.0,"warm-up":9000000}},
"tick":5000,"tier":0,"tiers":["heat-cache"],"weights":"rough","worth-by":"request",
"zones":["industrial-area","westlands","embakasi"]}}}}"#
    )
}

/// A new request id of sixteen hexadecimal digits.
pub fn new_id() -> String {
    static LAST: AtomicU64 = AtomicU64::new(0);
    format!("{:016x}", 0x9b1f_0000_0000_0000 + LAST.fetch_add(1, Ordering::Relaxed) + 1)
}

/// A balancer's answer.
#[derive(Debug, PartialEq)]
pub enum Answer {
    Value {
        id: String,
        value: Vec<u8>,
    },
    Receipt {
        id: String,
        receipt: String,
    },
    /// `SERVER_ERROR busy`.
    Refused,
    /// Any other line.
    Failed(String),
}

/// A client's connection.
pub struct Client {
    reader: BufReader<TcpStream>,
}

impl Client {
    pub fn connect(address: SocketAddr) -> io::Result<Client> {
        let stream = TcpStream::connect(address)?;
        stream.set_nodelay(true)?;
        Ok(Client { reader: BufReader::new(stream) })
    }

    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.reader.get_mut().write_all(bytes)
    }

    /// Reads the next answer; an error if none comes whole within `timeout`.
    pub fn read_answer(&mut self, timeout: Duration) -> io::Result<Answer> {
        self.reader.get_mut().set_read_timeout(Some(timeout))?;
        let mut line = String::new();
        if self.reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let words: Vec<&str> = line.split_whitespace().collect();
        let flag =
            |name: char| words.iter().find_map(|word| word.strip_prefix(name)).unwrap_or_default().to_owned();
        Ok(match words[..] {
            ["VA", length, ..] => {
                let length = length.parse::<usize>().map_err(|_| io::ErrorKind::InvalidData)?;
                let mut value = vec![0; length + 2];
                self.reader.read_exact(&mut value)?;
                value.truncate(length);
                Answer::Value { id: flag('O'), value }
            }
            ["HD", ..] => Answer::Receipt { id: flag('O'), receipt: flag('c') },
            ["SERVER_ERROR", "busy", ..] => Answer::Refused,
            _ => Answer::Failed(line.trim_end().to_owned()),
        })
    }
}
