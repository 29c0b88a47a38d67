//! The admin line protocol, without I/O: one call and one reply per connection.
//!
//! A call is `HEALTH`, `DUMP`, `OFFLINE ID` or `ONLINE ID`, terminated by `\n` or `\r\n`. The reply is one line that
//! starts with `ACK` or `NAK`; for `DUMP` the metrics and a line `--` follow the `ACK` line.

use thiserror::Error;
use winnow::ascii::space1;
use winnow::combinator::{alt, eof, opt, preceded, terminated};
use winnow::prelude::*;
use winnow::token::take_while;

/// Maximum length of a call in bytes, line end included.
pub const MAX_LINE_BYTES: usize = 256;

/// An operator's call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// Asks whether this process is ready to serve.
    Health,
    /// Requests the metrics.
    Dump,
    /// Takes the cache server with this id offline.
    Offline(String),
    /// Brings the cache server with this id online again.
    Online(String),
}

/// Why a line is not a valid call. Each message names the calls.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum CallError {
    /// The line is blank.
    #[error("empty line; calls are HEALTH, DUMP, OFFLINE ID and ONLINE ID")]
    Empty,
    /// The line contains bytes that are not ASCII.
    #[error("not text; calls are HEALTH, DUMP, OFFLINE ID and ONLINE ID")]
    NotText,
    /// The call is unknown, or its id is missing or malformed.
    #[error("unknown call or a malformed id; calls are HEALTH, DUMP, OFFLINE ID and ONLINE ID")]
    Unknown,
}

/// The state of the input received so far.
#[derive(Debug, PartialEq, Eq)]
pub enum Input {
    /// A complete line: the call, or why the line is not valid.
    Line(Result<Call, CallError>),
    /// No complete line yet.
    Incomplete,
    /// The line exceeds [`MAX_LINE_BYTES`].
    TooLong,
}

/// Reads the call at the start of the input received so far.
pub fn read_call(input: &[u8]) -> Input {
    match memchr::memchr(b'\n', input) {
        Some(end) if end < MAX_LINE_BYTES => Input::Line(parse(&input[..end])),
        Some(_) => Input::TooLong,
        None if input.len() >= MAX_LINE_BYTES => Input::TooLong,
        None => Input::Incomplete,
    }
}

fn id<'a>(input: &mut &'a [u8]) -> winnow::Result<&'a [u8]> {
    take_while(1..=MAX_LINE_BYTES, |b: u8| b.is_ascii_graphic()).parse_next(input)
}

fn call(input: &mut &[u8]) -> winnow::Result<Call> {
    let call_with_id = |name: &'static str| preceded((name, space1), id);
    terminated(
        alt((
            "HEALTH".value(Call::Health),
            "DUMP".value(Call::Dump),
            call_with_id("OFFLINE").map(|id: &[u8]| Call::Offline(String::from_utf8_lossy(id).into_owned())),
            call_with_id("ONLINE").map(|id: &[u8]| Call::Online(String::from_utf8_lossy(id).into_owned())),
        )),
        (opt(b'\r'), eof),
    )
    .parse_next(input)
}

/// Parses one line without its `\n`.
///
/// # Errors
/// The line is not a valid call.
pub fn parse(line: &[u8]) -> Result<Call, CallError> {
    if line.trim_ascii().is_empty() {
        return Err(CallError::Empty);
    }
    if !line.is_ascii() {
        return Err(CallError::NotText);
    }
    call.parse(line).map_err(|_| CallError::Unknown)
}

/// Formats a positive reply with this text.
pub fn ack(text: &str) -> String {
    format!("ACK {}\n", replace_control_characters(text))
}

/// Formats a negative reply with this reason.
pub fn nak(reason: &str) -> String {
    format!("NAK {}\n", replace_control_characters(reason))
}

fn replace_control_characters(text: &str) -> String {
    text.chars().map(|c| if c.is_control() { ' ' } else { c }).collect()
}

#[cfg(test)]
mod tests;
