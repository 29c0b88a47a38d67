//! Responses as they come in, in whatever pieces.

use bytes::{Bytes, BytesMut};
use juniperladder_dispatch::values::{Answer, Reply};
use thiserror::Error;
use winnow::ascii::{digit1, hex_digit1, space0};
use winnow::combinator::{opt, preceded, repeat, separated_pair, terminated};
use winnow::prelude::*;
use winnow::token::{take_till, take_while};

use crate::memcache::{parse_decimal, parse_receipt, MAX_BUFFERED_VALUE_BYTES, MAX_VALUE_BYTES};

/// The longest head of a response in bytes, and the longest line in a chunked body.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// How much of a malformed head an error shows.
const SHOWN_BYTES: usize = 80;
/// Responses with a status below this only say that the final one is on its way.
const FIRST_FINAL_STATUS: u16 = 200;

/// Why a response is malformed. Its connection has to end.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum ResponseError {
    /// The head is longer than any response's.
    #[error("the response head has no end within the limit")]
    EndlessHead,
    /// The head is no response's.
    #[error("not a response: {0:?}")]
    NotAResponse(String),
    /// The line with a chunk's size is longer than any.
    #[error("the chunk size line has no end within the limit")]
    EndlessChunkSize,
    /// The line with a chunk's size holds something else.
    #[error("not a chunk's size")]
    NotAChunkSize,
    /// Behind a chunk stands something else than the end of a line.
    #[error("no line end after a chunk")]
    ChunkWithoutEnd,
    /// The body of a write's response is no receipt.
    #[error("not a receipt, in {0} bytes")]
    NotAReceipt(usize),
}

/// How a response's body is delimited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Framing {
    /// By its length in bytes.
    Length(usize),
    /// By the sizes of its chunks.
    Chunked,
    /// By the end of the connection.
    UntilClose,
}

/// The head of a response, as far as it matters here.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Head {
    /// The status.
    pub status: u16,
    /// Whether the response says that the request was not executed.
    pub not_executed: bool,
    /// Whether the connection ends with this response.
    pub closes_connection: bool,
    /// The id of the request, where the response names it.
    pub request_id: Option<Bytes>,
    framing: Framing,
}

/// The headers of a response, as names and values.
struct Headers<'a>(Vec<(&'a [u8], &'a [u8])>);

impl<'a> Headers<'a> {
    /// The value of the first header of this name.
    fn value(&self, name: &str) -> Option<&'a [u8]> {
        let header = self.0.iter().find(|(known, _)| known.eq_ignore_ascii_case(name.as_bytes()));
        header.map(|(_, value)| value.trim_ascii())
    }

    /// Whether a header of this name lists this item.
    fn lists(&self, name: &str, item: &str) -> bool {
        self.0.iter().any(|(known, value)| {
            let mut items = value.split(|byte| *byte == b',');
            known.eq_ignore_ascii_case(name.as_bytes())
                && items.any(|listed| listed.trim_ascii().eq_ignore_ascii_case(item.as_bytes()))
        })
    }
}

fn line_end(input: &mut &[u8]) -> winnow::Result<()> {
    (opt(b'\r'), b'\n').void().parse_next(input)
}

/// The minor version, and the digits of the status.
fn status_line<'a>(input: &mut &'a [u8]) -> winnow::Result<(&'a [u8], &'a [u8])> {
    let version = preceded(b"HTTP/1.", digit1);
    let status = take_while(3..=3, |byte: u8| byte.is_ascii_digit());
    let reason = take_till(0.., (b'\r', b'\n'));
    terminated(separated_pair(version, b' ', status), (reason, line_end)).parse_next(input)
}

fn header<'a>(input: &mut &'a [u8]) -> winnow::Result<(&'a [u8], &'a [u8])> {
    let name = take_while(1.., |byte: u8| byte.is_ascii_graphic() && byte != b':');
    // Whatever it holds: a load report that cannot be read makes no response malformed.
    let value = take_till(0.., b'\n');
    terminated(separated_pair(name, (b':', space0), value), b'\n').parse_next(input)
}

fn head(input: &mut &[u8]) -> winnow::Result<Head> {
    let (minor_version, status) = status_line(input)?;
    let headers = Headers(terminated(repeat(0.., header), line_end).parse_next(input)?);
    let framing = framing(status, &headers).ok_or_else(winnow::error::ContextError::new)?;
    Ok(Head {
        status: status.iter().fold(0, |sum, digit| sum * 10 + u16::from(digit - b'0')),
        not_executed: headers.lists("x-never-ran", "1"),
        request_id: headers.value("x-trace-id").map(Bytes::copy_from_slice),
        closes_connection: headers.lists("connection", "close")
            || minor_version == b"0"
            || framing == Framing::UntilClose,
        framing,
    })
}

/// How the body is delimited; none if its length is malformed.
fn framing(status: &[u8], headers: &Headers<'_>) -> Option<Framing> {
    if headers.lists("transfer-encoding", "chunked") {
        return Some(Framing::Chunked);
    }
    match headers.value("content-length") {
        Some(length) => {
            let length = parse_decimal(length).and_then(|length| usize::try_from(length).ok());
            length.map(Framing::Length)
        }
        None if status == b"204" || status == b"304" => Some(Framing::Length(0)),
        None => Some(Framing::UntilClose),
    }
}

fn chunk_size<'a>(input: &mut &'a [u8]) -> winnow::Result<&'a [u8]> {
    terminated(hex_digit1, (take_till(0.., (b'\r', b'\n')), line_end)).parse_next(input)
}

/// Where a chunked body stands, once the bytes of the chunk in progress have come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum ChunkState {
    /// Before the line with a chunk's size.
    #[default]
    Size,
    /// Before the end of the line behind a chunk.
    ChunkEnd,
    /// In the trailer, whose empty line ends the body.
    Trailer,
}

/// A response as it comes in. The caller takes from `body` what it wants while more is on its way.
#[derive(Debug, Default)]
pub struct Response {
    /// The head, once it is complete.
    pub head: Option<Head>,
    /// The body so far, or what was not taken of it.
    pub body: BytesMut,
    /// Whether the response is complete.
    pub is_complete: bool,
    /// Bytes of the body, or of the chunk in progress, that are still to come.
    remaining_bytes: usize,
    chunk_state: ChunkState,
}

impl Response {
    /// Takes what belongs to this response off the input.
    ///
    /// # Errors
    /// The response is malformed.
    pub fn read(&mut self, input: &mut BytesMut) -> Result<(), ResponseError> {
        if self.head.is_none() {
            self.read_head(input)?;
        }
        match self.head.as_ref().map(|head| head.framing) {
            None => {}
            Some(Framing::Length(_)) => {
                self.read_body(input);
                self.is_complete = self.remaining_bytes == 0;
            }
            Some(Framing::Chunked) => self.read_chunks(input)?,
            Some(Framing::UntilClose) => self.body.unsplit(input.split()),
        }
        Ok(())
    }

    /// Reads the final head, behind any that only say that it is on its way, if it has come.
    fn read_head(&mut self, input: &mut BytesMut) -> Result<(), ResponseError> {
        while let Some(length) = head_length(input) {
            let text = input.split_to(length);
            let head = head.parse(&text[..]).map_err(|_| {
                let shown = &text[..length.min(SHOWN_BYTES)];
                ResponseError::NotAResponse(String::from_utf8_lossy(shown).into_owned())
            })?;
            if head.status < FIRST_FINAL_STATUS {
                continue;
            }
            if let Framing::Length(length) = head.framing {
                self.remaining_bytes = length;
            }
            self.head = Some(head);
            return Ok(());
        }
        if input.len() > MAX_HEAD_BYTES {
            return Err(ResponseError::EndlessHead);
        }
        Ok(())
    }

    /// The connection has ended: a body without a length is complete by that.
    pub fn on_connection_ended(&mut self) {
        self.is_complete |= self.head.as_ref().is_some_and(|head| head.framing == Framing::UntilClose);
    }

    /// The length of the value that this response brings, where it has to be streamed. One without a length cannot, as
    /// the client gets the length first.
    pub fn streamed_length(&self) -> Option<usize> {
        match self.head.as_ref()? {
            Head { status: 200, framing: Framing::Length(length), .. } => {
                (MAX_BUFFERED_VALUE_BYTES + 1..=MAX_VALUE_BYTES).contains(length).then_some(*length)
            }
            _ => None,
        }
    }

    /// Whether its body is, or is said to be, longer than what is buffered: it must not be read to its end.
    pub fn is_too_large(&self) -> bool {
        let framing = self.head.as_ref().map(|head| head.framing);
        self.body.len() > MAX_BUFFERED_VALUE_BYTES
            || matches!(framing, Some(Framing::Length(length)) if length > MAX_BUFFERED_VALUE_BYTES)
    }

    /// Whether its connection ends with it.
    pub fn closes_connection(&self) -> bool {
        self.head.as_ref().is_none_or(|head| head.closes_connection)
    }

    /// What the origin's complete response to a read or a write means.
    ///
    /// # Errors
    /// A write's receipt is no token.
    pub fn reply(&self, is_write: bool) -> Result<Reply, ResponseError> {
        let Some(head) = &self.head else { return Ok(Reply::Error) };
        Ok(match head.status {
            200 if is_write => {
                let receipt = parse_receipt(&self.body).ok_or(ResponseError::NotAReceipt(self.body.len()))?;
                Reply::Served(Answer::Receipt(receipt))
            }
            200 => Reply::Served(Answer::Value(Bytes::copy_from_slice(&self.body))),
            503 | 504 if head.not_executed => Reply::Rejected,
            _ => Reply::Error,
        })
    }

    /// Takes what has come of the body, or of the chunk in progress.
    fn read_body(&mut self, input: &mut BytesMut) {
        let part = input.split_to(self.remaining_bytes.min(input.len()));
        self.remaining_bytes -= part.len();
        self.body.unsplit(part);
    }

    fn read_chunks(&mut self, input: &mut BytesMut) -> Result<(), ResponseError> {
        while !self.is_complete {
            self.read_body(input);
            if self.remaining_bytes > 0 {
                return Ok(());
            }
            let Some(end) = memchr::memchr(b'\n', input) else {
                let is_too_long = input.len() > MAX_HEAD_BYTES;
                return if is_too_long { Err(ResponseError::EndlessChunkSize) } else { Ok(()) };
            };
            self.read_chunk_line(&input.split_to(end + 1))?;
        }
        Ok(())
    }

    /// Reads a line between the bytes of chunks.
    fn read_chunk_line(&mut self, line: &[u8]) -> Result<(), ResponseError> {
        let is_blank = line.trim_ascii().is_empty();
        match self.chunk_state {
            ChunkState::ChunkEnd if !is_blank => return Err(ResponseError::ChunkWithoutEnd),
            ChunkState::ChunkEnd => self.chunk_state = ChunkState::Size,
            ChunkState::Trailer => self.is_complete = is_blank,
            ChunkState::Size => {
                let size = parse_chunk_size(line).ok_or(ResponseError::NotAChunkSize)?;
                self.remaining_bytes = size;
                self.chunk_state = if size > 0 { ChunkState::ChunkEnd } else { ChunkState::Trailer };
            }
        }
        Ok(())
    }
}

fn parse_chunk_size(line: &[u8]) -> Option<usize> {
    let digits = chunk_size.parse(line).ok()?;
    usize::from_str_radix(std::str::from_utf8(digits).ok()?, 16).ok()
}

/// Whether these bytes may be the beginning of a response, or none at all.
pub fn may_begin_response(input: &[u8]) -> bool {
    const VERSION_PREFIX: &[u8] = b"HTTP/1.";
    input.iter().zip(VERSION_PREFIX).all(|(byte, expected)| byte == expected)
}

/// The length of the first head with its empty line; none until that has come.
fn head_length(input: &[u8]) -> Option<usize> {
    let mut from = 0;
    loop {
        let end = from + memchr::memchr(b'\n', &input[from..])?;
        match &input[end + 1..] {
            [b'\n', ..] => return Some(end + 2),
            [b'\r', b'\n', ..] => return Some(end + 3),
            _ => from = end + 1,
        }
    }
}
