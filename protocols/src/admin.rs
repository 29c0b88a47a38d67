//! The admin line protocol: one line in, one answer out, and nothing else on the connection. Without I/O.
//!
//! A call is `HEALTH`, `DUMP`, `OFFLINE ID` or `ONLINE ID`, ended by `\n` (a `\r` before it is allowed). The
//! reply is one line that starts with `ACK` or `NAK`; `DUMP` follows its `ACK` with the figures and a line `--`.

use thiserror::Error;
use winnow::ascii::space1;
use winnow::combinator::{alt, eof, opt, preceded, terminated};
use winnow::prelude::*;
use winnow::token::take_while;

/// The longest line in bytes that a call may be, its end included.
pub const MAX_LINE_BYTES: usize = 256;

/// A call of an operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// Whether this process is ready to serve.
    Health,
    /// The figures.
    Dump,
    /// Leave this cache server out until it is called back.
    Offline(String),
    /// This cache server may serve again.
    Online(String),
}

/// Why a line is no call. The text names the calls.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum CallError {
    /// Nothing but blanks.
    #[error("empty line; calls are HEALTH, DUMP, OFFLINE ID and ONLINE ID")]
    Empty,
    /// Bytes that are not ASCII.
    #[error("not text; calls are HEALTH, DUMP, OFFLINE ID and ONLINE ID")]
    NotText,
    /// Another word, or an id that is missing or malformed.
    #[error("unknown call or a malformed id; calls are HEALTH, DUMP, OFFLINE ID and ONLINE ID")]
    Unknown,
}

/// What the bytes hold that came so far.
#[derive(Debug, PartialEq, Eq)]
pub enum Input {
    /// A complete line: the call, or why it is none.
    Line(Result<Call, CallError>),
    /// No complete line; more may come.
    Incomplete,
    /// Too long to be a call, whatever comes.
    TooLong,
}

/// Looks for a complete call at the start of what came so far.
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
    let named = |word: &'static str| preceded((word, space1), id);
    terminated(
        alt((
            "HEALTH".value(Call::Health),
            "DUMP".value(Call::Dump),
            named("OFFLINE").map(|id: &[u8]| Call::Offline(String::from_utf8_lossy(id).into_owned())),
            named("ONLINE").map(|id: &[u8]| Call::Online(String::from_utf8_lossy(id).into_owned())),
        )),
        (opt(b'\r'), eof),
    )
    .parse_next(input)
}

/// Parses one line without its `\n`.
///
/// # Errors
/// The line is no call.
pub fn parse(line: &[u8]) -> Result<Call, CallError> {
    if line.trim_ascii().is_empty() {
        return Err(CallError::Empty);
    }
    if !line.is_ascii() {
        return Err(CallError::NotText);
    }
    call.parse(line).map_err(|_| CallError::Unknown)
}

/// A positive answer, with what it says.
pub fn ack(text: &str) -> String {
    format!("ACK {}\n", one_line(text))
}

/// A negative answer, with the reason.
pub fn nak(reason: &str) -> String {
    format!("NAK {}\n", one_line(reason))
}

fn one_line(text: &str) -> String {
    text.chars().map(|c| if c.is_control() { ' ' } else { c }).collect()
}

#[cfg(test)]
mod tests;
