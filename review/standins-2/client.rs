//! A client's connection.

use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// The longest wait of one call.
const MAX_READ_WAIT: Duration = Duration::from_millis(10);

/// An answer, with the time of its last byte.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The line, without its end.
    pub line: String,
    /// The value behind a `VA` line.
    pub value: Vec<u8>,
    pub at: Instant,
}

/// Why there is no whole answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoAnswer {
    /// The time is up.
    Late,
    /// The balancer ended the connection.
    Closed,
}

pub struct Connection {
    pub stream: TcpStream,
    input: Vec<u8>,
}

impl Connection {
    pub fn open(address: &str) -> std::io::Result<Connection> {
        let stream = TcpStream::connect(address)?;
        stream.set_nodelay(true)?;
        Ok(Connection { stream, input: Vec::new() })
    }

    pub fn send(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Reads the next whole answer.
    pub fn read_answer(&mut self, deadline: Instant) -> Result<Answer, NoAnswer> {
        let line_end = loop {
            match self.input.windows(2).position(|pair| pair == b"\r\n") {
                Some(end) => break end,
                None => self.read_more(deadline)?,
            }
        };
        let line = String::from_utf8_lossy(&self.input[..line_end]).into_owned();
        let mut total = line_end + 2;
        let mut value = Vec::new();
        if let Some(length) = line.strip_prefix("VA ").and_then(|rest| rest.split(' ').next()) {
            let length: usize = length.parse().unwrap_or(0);
            total += length + 2;
            while self.input.len() < total {
                self.read_more(deadline)?;
            }
            value = self.input[line_end + 2..line_end + 2 + length].to_vec();
        }
        self.input.drain(..total);
        Ok(Answer { line, value, at: Instant::now() })
    }

    /// Bytes that were received and belong to no whole answer.
    pub fn unread(&self) -> usize {
        self.input.len()
    }

    /// Reads some bytes.
    pub fn read_more(&mut self, deadline: Instant) -> Result<(), NoAnswer> {
        let left = deadline.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(NoAnswer::Late);
        }
        // Short, as a long time-out of a socket ends late.
        let _ = self.stream.set_read_timeout(Some(left.clamp(Duration::from_millis(1), MAX_READ_WAIT)));
        let mut buffer = [0; 65536];
        match self.stream.read(&mut buffer) {
            Ok(0) => Err(NoAnswer::Closed),
            Ok(length) => {
                self.input.extend_from_slice(&buffer[..length]);
                Ok(())
            }
            Err(error) if is_wait_over(error.kind()) => Ok(()),
            Err(_) => Err(NoAnswer::Closed),
        }
    }
}

fn is_wait_over(kind: ErrorKind) -> bool {
    matches!(kind, ErrorKind::WouldBlock | ErrorKind::TimedOut | ErrorKind::Interrupted)
}

/// A read.
pub fn read(key: &str, id: &str, class: &str, wait_ms: u64) -> Vec<u8> {
    format!("mg {key} v O{id} Pc={class},d={wait_ms}\r\n").into_bytes()
}

/// The line of a write whose value has this length.
pub fn write_line(key: &str, id: &str, class: &str, wait_ms: u64, length: usize) -> Vec<u8> {
    format!("ms {key} {length} O{id} Pc={class},d={wait_ms},k={id}\r\n").into_bytes()
}

/// A write with a value of this length.
pub fn write(key: &str, id: &str, class: &str, wait_ms: u64, length: usize) -> Vec<u8> {
    let mut bytes = write_line(key, id, class, wait_ms, length);
    bytes.extend(std::iter::repeat_n(b'w', length));
    bytes.extend_from_slice(b"\r\n");
    bytes
}
