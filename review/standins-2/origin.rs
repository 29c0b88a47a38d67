//! The origin: a value of 100 bytes for each read, a receipt for each write, after 20 ms of work.
//!
//! Its answers name no request, as the protocol has it. Arguments:
//!
//! - `receive-buffer BYTES`: so much the system takes for a connection that is not read.
//! - `two-lengths`: each tenth answer to a read states two lengths, the first of which is too short, and comes in two pieces.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use super::roles::tell;

const WORK: Duration = Duration::from_millis(20);
const VALUE_BYTES: usize = 100;
/// The first length of an answer with two lengths.
const SHORT_LENGTH: usize = 3;
/// One in so many answers has two lengths.
const TWO_LENGTHS_IN: usize = 10;
/// Between the pieces of an answer.
const PIECE_PAUSE: Duration = Duration::from_millis(5);

/// How the origin answers.
#[derive(Default)]
struct Answering {
    has_two_lengths: bool,
    answers: AtomicUsize,
}

/// The value that the origin holds for a key.
pub fn value_of(key: &str) -> String {
    format!("{key:.<VALUE_BYTES$}")
}

/// The head of an HTTP request: its first line, and its headers as they came.
pub struct Head {
    pub first_line: String,
    headers: Vec<String>,
}

impl Head {
    fn header(&self, name: &str) -> &str {
        let prefix = format!("{}:", name.to_ascii_lowercase());
        let header = self.headers.iter().find(|header| header.to_ascii_lowercase().starts_with(&prefix));
        header.map_or("", |header| header[prefix.len()..].trim())
    }
}

/// Reads a request's head; none at the end of the connection.
pub fn read_head(reader: &mut impl BufRead) -> std::io::Result<Option<Head>> {
    let mut lines = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let line = line.trim_end().to_owned();
        if line.is_empty() {
            break;
        }
        lines.push(line);
    }
    if lines.is_empty() {
        return Ok(None);
    }
    Ok(Some(Head { first_line: lines.remove(0), headers: lines }))
}

fn serve_requests(stream: TcpStream, answering: &Answering) -> std::io::Result<()> {
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut writer = stream;
    while let Some(head) = read_head(&mut reader)? {
        let id = head.header("X-Trace-Id").to_owned();
        let length: usize = head.header("Content-Length").parse().unwrap_or(0);
        let mut body = vec![0; length];
        reader.read_exact(&mut body)?;
        tell(&format!("runs {} id {id} body {length} props {}", head.first_line, head.header("X-Props")));
        thread::sleep(WORK);
        let is_write = head.first_line.starts_with("PUT");
        let key = head.first_line.split(' ').nth(1).unwrap_or_default().trim_start_matches('/');
        let body = if is_write { format!("r{id}") } else { value_of(key) };
        let number = answering.answers.fetch_add(1, Ordering::SeqCst) + 1;
        if answering.has_two_lengths && !is_write && number % TWO_LENGTHS_IN == 0 {
            write_with_two_lengths(&mut writer, &body)?;
            tell(&format!("answered id {id} with the lengths {SHORT_LENGTH} and {}", body.len()));
            continue;
        }
        let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        writer.write_all(answer.as_bytes())?;
        tell(&format!("answered id {id}"));
    }
    Ok(())
}

fn write_with_two_lengths(writer: &mut TcpStream, body: &str) -> std::io::Result<()> {
    let head = format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {SHORT_LENGTH}\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    writer.write_all(head.as_bytes())?;
    writer.write_all(&body.as_bytes()[..SHORT_LENGTH])?;
    thread::sleep(PIECE_PAUSE);
    writer.write_all(&body.as_bytes()[SHORT_LENGTH..])
}

pub fn serve(arguments: &[String]) -> ! {
    let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
    let (mut receive_buffer, mut answering) = (None, Answering::default());
    match arguments[..] {
        ["receive-buffer", bytes] => receive_buffer = bytes.parse().ok(),
        ["two-lengths"] => answering.has_two_lengths = true,
        _ => {}
    }
    super::roles::serve_with(receive_buffer, move |stream| serve_requests(stream, &answering))
}
