//! A cache server.
//!
//! The key tells what it holds: `value-N-REST` is a value of N bytes, any other key is a miss. With the argument
//! `reset-after BYTES`, the connection ends in the middle of the first value that is longer than that.

use std::io::{BufRead, BufReader, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use super::roles::tell;

/// Bytes that are written at once.
const PIECE_BYTES: usize = 64 << 10;

/// How the server gives its values.
#[derive(Default)]
struct Giving {
    reset_after: Option<usize>,
    has_reset: AtomicBool,
}

fn serve_requests(stream: TcpStream, giving: &Giving) -> std::io::Result<()> {
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut writer = stream;
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(());
        }
        let line = line.trim_end();
        let mut tokens = line.split(' ');
        let command = tokens.next().unwrap_or_default();
        let key = tokens.next().unwrap_or_default();
        let id = tokens.find(|token| token.starts_with('O')).unwrap_or_default();
        if command == "mn" {
            writer.write_all(b"MN\r\n")?;
            continue;
        }
        if command != "mg" {
            tell(&format!("unexpected: {line}"));
            writer.write_all(b"CLIENT_ERROR bad command\r\n")?;
            return Ok(());
        }
        let length = key.strip_prefix("value-").and_then(|rest| rest.split('-').next());
        let Some(length) = length.and_then(|length| length.parse::<usize>().ok()) else {
            tell(&format!("miss: {line}"));
            writer.write_all(format!("EN {id} h0\r\n").as_bytes())?;
            continue;
        };
        tell(&format!("hit: {line}"));
        writer.write_all(format!("VA {length} {id} h1\r\n").as_bytes())?;
        let until = match giving.reset_after {
            Some(bytes) if bytes < length && !giving.has_reset.swap(true, Ordering::SeqCst) => bytes,
            _ => length,
        };
        let piece = vec![b'v'; PIECE_BYTES];
        let mut sent = 0;
        while sent < until {
            let bytes = PIECE_BYTES.min(until - sent);
            writer.write_all(&piece[..bytes])?;
            sent += bytes;
        }
        if until < length {
            // Long enough for what was written to be read before the connection ends.
            thread::sleep(Duration::from_millis(300));
            tell(&format!("connection ended after {sent} bytes of the value of {id}"));
            let _ = writer.shutdown(std::net::Shutdown::Both);
            return Ok(());
        }
        writer.write_all(b"\r\n")?;
        tell(&format!("answered {id}"));
    }
}

pub fn serve(arguments: &[String]) -> ! {
    let reset_after = match arguments {
        [name, bytes] if name == "reset-after" => bytes.parse().ok(),
        _ => None,
    };
    let giving = Giving { reset_after, ..Giving::default() };
    super::roles::serve(move |stream| serve_requests(stream, &giving))
}
