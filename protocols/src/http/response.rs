//! Parses responses incrementally.

use bytes::buf::Limit;
use bytes::{BufMut, Bytes, BytesMut};
use juniperladder_dispatch::values::{Answer, Reply};
use thiserror::Error;
use winnow::ascii::{digit1, space0};
use winnow::combinator::{preceded, repeat, separated_pair, terminated};
use winnow::prelude::*;
use winnow::token::{take_till, take_while};

use super::framing::{chunk_size, framing, line_end, Framing};
use super::headers::Headers;
use crate::memcache::{parse_receipt, MAX_BUFFERED_VALUE_BYTES, MAX_VALUE_BYTES};

/// Maximum length in bytes of a response head and of a line in a chunked body.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// How many bytes of a malformed head an error shows.
const MAX_EXCERPT_BYTES: usize = 80;
/// Lowest status of a final response; lower ones are informational.
const FIRST_FINAL_STATUS: u16 = 200;

/// Why a response is malformed. Its connection has to be closed.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum ResponseError {
    /// The head exceeds the maximum length.
    #[error("cannot read the HTTP response: its head exceeds {MAX_HEAD_BYTES} bytes")]
    HeadTooLong,
    /// The head is malformed; holds its first bytes.
    #[error("cannot parse the HTTP response head: {0:?}")]
    MalformedHead(String),
    /// A line in a chunked body exceeds the maximum length.
    #[error("cannot read the chunked HTTP body: a line exceeds {MAX_HEAD_BYTES} bytes")]
    ChunkLineTooLong,
    /// A chunk size line is malformed.
    #[error("cannot read the chunked HTTP body: malformed chunk size")]
    MalformedChunkSize,
    /// A chunk is not followed by a line end.
    #[error("cannot read the chunked HTTP body: no line end after a chunk")]
    MissingChunkEnd,
    /// The body of the response to a write is not a receipt; holds the length of the body in bytes.
    #[error("the response to a write has a malformed receipt of {0} bytes")]
    MalformedReceipt(usize),
}

/// The relevant parts of a response head.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Head {
    /// Status code.
    pub status: u16,
    /// Whether the response states that the request was not executed.
    pub not_executed: bool,
    /// Whether the connection ends with this response.
    pub closes_connection: bool,
    /// The id of the request, if the response states it.
    pub request_id: Option<Bytes>,
    framing: Framing,
}

/// Parses the status line into the minor version and the digits of the status.
fn status_line<'a>(input: &mut &'a [u8]) -> winnow::Result<(&'a [u8], &'a [u8])> {
    let version = preceded(b"HTTP/1.", digit1);
    let status = take_while(3..=3, |byte: u8| byte.is_ascii_digit());
    let reason = take_till(0.., (b'\r', b'\n'));
    terminated(separated_pair(version, b' ', status), (reason, line_end)).parse_next(input)
}

fn header<'a>(input: &mut &'a [u8]) -> winnow::Result<(&'a [u8], &'a [u8])> {
    let name = take_while(1.., |byte: u8| byte.is_ascii_graphic() && byte != b':');
    // Any bytes are allowed, so that an unused header, such as a load report, cannot make the response malformed.
    let value = take_till(0.., b'\n');
    terminated(separated_pair(name, (b':', space0), value), b'\n').parse_next(input)
}

fn head(input: &mut &[u8]) -> winnow::Result<Head> {
    let (minor_version, status) = status_line(input)?;
    let headers = Headers::new(terminated(repeat(0.., header), line_end).parse_next(input)?);
    let framing = framing(status, &headers).ok_or_else(winnow::error::ContextError::new)?;
    let request_id = headers.single_value("x-trace-id").ok_or_else(winnow::error::ContextError::new)?;
    Ok(Head {
        status: status.iter().fold(0, |sum, digit| sum * 10 + u16::from(digit - b'0')),
        not_executed: headers.lists("x-never-ran", "1"),
        request_id: request_id.map(Bytes::copy_from_slice),
        closes_connection: headers.lists("connection", "close")
            || minor_version == b"0"
            || framing == Framing::UntilClose,
        framing,
    })
}

/// What follows in a chunked body after the bytes of the current chunk.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum ChunkState {
    /// A chunk size line.
    #[default]
    Size,
    /// The line end after a chunk.
    ChunkEnd,
    /// The trailer, whose empty line ends the body.
    Trailer,
}

/// A response that is being received. The caller may drain `body` at any time.
#[derive(Debug, Default)]
pub struct Response {
    /// The head, once it is complete.
    pub head: Option<Head>,
    /// The part of the body that was received and not yet drained.
    pub body: BytesMut,
    /// Whether the response is complete.
    pub is_complete: bool,
    /// Whether `body` has an allocation of its own, and not a part of the input's.
    has_own_body_buffer: bool,
    /// Bytes of the body, or of the current chunk, not yet received.
    remaining_bytes: usize,
    chunk_state: ChunkState,
}

impl Response {
    /// Consumes the input that belongs to this response.
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

    /// Reads the final head if it is complete, skipping informational ones.
    fn read_head(&mut self, input: &mut BytesMut) -> Result<(), ResponseError> {
        while let Some(length) = head_length(input) {
            let text = input.split_to(length);
            let head = head.parse(&text[..]).map_err(|_| {
                let excerpt = &text[..length.min(MAX_EXCERPT_BYTES)];
                ResponseError::MalformedHead(String::from_utf8_lossy(excerpt).into_owned())
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
            return Err(ResponseError::HeadTooLong);
        }
        Ok(())
    }

    /// Handles the end of the connection, which completes a body without a length.
    pub fn on_connection_ended(&mut self) {
        self.is_complete |= self.head.as_ref().is_some_and(|head| head.framing == Framing::UntilClose);
    }

    /// The length of the value in this response if it has to be streamed. A body without a stated length cannot be
    /// streamed, as the client gets the length first.
    pub fn streamed_length(&self) -> Option<usize> {
        match self.head.as_ref()? {
            Head { status: 200, framing: Framing::Length(length), .. } => {
                (MAX_BUFFERED_VALUE_BYTES + 1..=MAX_VALUE_BYTES).contains(length).then_some(*length)
            }
            _ => None,
        }
    }

    /// The length of the body in bytes, if the head states it.
    pub fn stated_length(&self) -> Option<usize> {
        match self.head.as_ref()?.framing {
            Framing::Length(length) => Some(length),
            Framing::Chunked | Framing::UntilClose => None,
        }
    }

    /// The stated length of the body, if it is a value that may be streamed.
    pub fn value_length(&self) -> Option<usize> {
        match self.head.as_ref()? {
            Head { status: 200, framing: Framing::Length(length), .. } => {
                (*length <= MAX_VALUE_BYTES).then_some(*length)
            }
            _ => None,
        }
    }

    /// The part of the body that is received or known to follow, in bytes.
    pub fn known_body_bytes(&self) -> usize {
        self.body.len().saturating_add(self.remaining_bytes)
    }

    /// Moves the received part of the body to an allocation of this capacity.
    pub fn allocate_body(&mut self, capacity: usize) {
        let mut body = BytesMut::with_capacity(capacity);
        body.extend_from_slice(&self.body);
        self.body = body;
        self.has_own_body_buffer = true;
    }

    /// The place for the following bytes of the body or of the current chunk, of which [`Response::on_body_received`] has
    /// to be told.
    pub fn body_space(&mut self) -> Limit<&mut BytesMut> {
        (&mut self.body).limit(self.remaining_bytes)
    }

    /// Handles bytes of the body that were received directly into [`Response::body_space`].
    pub fn on_body_received(&mut self, length: usize) {
        self.remaining_bytes -= length;
        let framing = self.head.as_ref().map(|head| head.framing);
        self.is_complete = matches!(framing, Some(Framing::Length(_))) && self.remaining_bytes == 0;
    }

    /// Whether the received or the stated length of the body exceeds [`MAX_BUFFERED_VALUE_BYTES`]. A body that is too
    /// large must not be read to its end.
    pub fn is_too_large(&self) -> bool {
        let framing = self.head.as_ref().map(|head| head.framing);
        self.body.len() > MAX_BUFFERED_VALUE_BYTES
            || matches!(framing, Some(Framing::Length(length)) if length > MAX_BUFFERED_VALUE_BYTES)
    }

    /// Whether the connection closes after this response.
    pub fn closes_connection(&self) -> bool {
        self.head.as_ref().is_none_or(|head| head.closes_connection)
    }

    /// Whether the response states the id of its request.
    pub fn names_request(&self) -> bool {
        self.head.as_ref().is_some_and(|head| head.request_id.is_some())
    }

    /// Converts the origin's complete response to a read or a write into a reply.
    ///
    /// # Errors
    /// The receipt of a write is malformed.
    pub fn reply(&mut self, is_write: bool) -> Result<Reply, ResponseError> {
        let Some(head) = &self.head else { return Ok(Reply::Error) };
        Ok(match head.status {
            200 if is_write => {
                let receipt =
                    parse_receipt(&self.body).ok_or(ResponseError::MalformedReceipt(self.body.len()))?;
                Reply::Served(Answer::Receipt(receipt))
            }
            200 => Reply::Served(Answer::Value(self.take_value())),
            503 | 504 if head.not_executed => Reply::Rejected,
            _ => Reply::Error,
        })
    }

    /// Takes the complete body. Without a buffer of its own it is copied, so that it does not keep the input's memory.
    fn take_value(&mut self) -> Bytes {
        let body = std::mem::take(&mut self.body);
        if self.has_own_body_buffer {
            body.freeze()
        } else {
            Bytes::copy_from_slice(&body)
        }
    }

    /// Consumes the received part of the body or of the current chunk.
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
                return if is_too_long { Err(ResponseError::ChunkLineTooLong) } else { Ok(()) };
            };
            self.read_chunk_line(&input.split_to(end + 1))?;
        }
        Ok(())
    }

    /// Reads a line between chunks.
    fn read_chunk_line(&mut self, line: &[u8]) -> Result<(), ResponseError> {
        let is_blank = line.trim_ascii().is_empty();
        match self.chunk_state {
            ChunkState::ChunkEnd if !is_blank => return Err(ResponseError::MissingChunkEnd),
            ChunkState::ChunkEnd => self.chunk_state = ChunkState::Size,
            ChunkState::Trailer => self.is_complete = is_blank,
            ChunkState::Size => {
                let size = chunk_size(line).ok_or(ResponseError::MalformedChunkSize)?;
                self.remaining_bytes = size;
                self.chunk_state = if size > 0 { ChunkState::ChunkEnd } else { ChunkState::Trailer };
            }
        }
        Ok(())
    }
}

/// Whether these bytes, possibly none, may be the beginning of a response.
pub fn may_begin_response(input: &[u8]) -> bool {
    const VERSION_PREFIX: &[u8] = b"HTTP/1.";
    input.iter().zip(VERSION_PREFIX).all(|(byte, expected)| byte == expected)
}

/// The length of the first head including its empty line; none while it is incomplete.
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
