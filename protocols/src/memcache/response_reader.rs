//! Parses cache servers' responses, and a balancer's answers as its client reads them.

use bytes::{Buf, Bytes, BytesMut};
use juniperladder::Micros;
use juniperladder_dispatch::clock::from_ms;
use juniperladder_dispatch::request::ClientRequest;
use juniperladder_dispatch::values::{Answer, Reply};
use thiserror::Error;

use super::line::{first_line, parse_decimal, response_tokens, LineBounds};
use super::{LINE_END, MAX_BUFFERED_VALUE_BYTES, MAX_LINE_BYTES, MAX_RECEIPT_BYTES, MAX_VALUE_BYTES};

/// How many bytes of the beginning of a malformed line an error shows.
const MAX_EXCERPT_BYTES: usize = 80;

/// Why a response is malformed. Its connection has to be closed.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum ResponseError {
    /// The line exceeds the maximum length.
    #[error("cannot read the memcache response: its line exceeds {MAX_LINE_BYTES} bytes")]
    LineTooLong,
    /// The line is not a valid response to this request; holds its first bytes.
    #[error("unexpected memcache response line: {0:?}")]
    UnexpectedLine(String),
    /// The response has another request's id, or none; holds the first bytes of its line.
    #[error("the memcache response has another request's id: {0:?}")]
    IdMismatch(String),
    /// The value is not followed by a line end.
    #[error("no line end after the value")]
    MissingValueEnd,
    /// The value is too long to be buffered, and the caller cannot stream it; holds its length in bytes.
    #[error("cannot buffer a value of {0} bytes: the limit is {MAX_BUFFERED_VALUE_BYTES}")]
    ValueNotBufferable(usize),
}

/// A cache server's response.
#[derive(Debug, PartialEq)]
pub enum Response {
    /// The complete reply.
    Complete(Reply),
    /// The line of a value whose bytes follow.
    Streamed {
        /// The length of the value in bytes.
        length: usize,
        /// Reads the value from the input.
        remaining: RemainingValue,
    },
}

/// The rest of a streamed value whose line has been read: the number of bytes not yet received.
#[derive(Debug, PartialEq)]
pub struct RemainingValue(usize);

impl RemainingValue {
    /// A value of this many bytes, none of which has been received.
    pub(super) fn new(length: usize) -> RemainingValue {
        RemainingValue(length)
    }

    /// The number of bytes not yet received.
    pub(super) fn bytes(&self) -> usize {
        self.0
    }

    /// Removes the received part of the value from the input, and returns it with whether the value and its line end are
    /// complete.
    ///
    /// # Errors
    /// No line end follows the value.
    pub fn take(&mut self, input: &mut BytesMut) -> Result<(Bytes, bool), ResponseError> {
        let chunk = input.split_to(self.0.min(input.len())).freeze();
        self.0 -= chunk.len();
        if self.0 > 0 || input.len() < LINE_END.len() {
            return Ok((chunk, false));
        }
        if !input.starts_with(LINE_END) {
            return Err(ResponseError::MissingValueEnd);
        }
        input.advance(LINE_END.len());
        Ok((chunk, true))
    }
}

/// Parses a receipt, which has to be a single token: it is written into the answer line to the client, where other bytes
/// would change the answer or inject further ones.
pub fn parse_receipt(text: &[u8]) -> Option<Bytes> {
    let has_valid_length = (1..=MAX_RECEIPT_BYTES).contains(&text.len());
    let is_token = has_valid_length && text.iter().all(u8::is_ascii_graphic);
    is_token.then(|| Bytes::copy_from_slice(text))
}

/// Removes a cache server's reply to this request from the input; none while it is incomplete.
///
/// # Errors
/// The reply is malformed, or has a value that has to be streamed.
pub fn read_reply(input: &mut BytesMut, request: &ClientRequest) -> Result<Option<Reply>, ResponseError> {
    match read_response(input, request, MAX_BUFFERED_VALUE_BYTES)? {
        Some(Response::Complete(reply)) => Ok(Some(reply)),
        Some(Response::Streamed { length, .. }) => Err(ResponseError::ValueNotBufferable(length)),
        None => Ok(None),
    }
}

/// Removes a cache server's response to this request from the input, or only its line if the value is longer than
/// `max_copied_bytes`; none while it is incomplete. A value that is not longer is copied, so that it does not keep the
/// input's memory.
///
/// # Errors
/// The response is malformed.
pub fn read_response(
    input: &mut BytesMut,
    request: &ClientRequest,
    max_copied_bytes: usize,
) -> Result<Option<Response>, ResponseError> {
    let Some(bounds) = first_line(input) else { return incomplete_line(input) };
    let reply = match parse_line(&input[..bounds.text], request)? {
        Line::Reply(reply) => reply,
        Line::Value(length) => return read_value(input, &bounds, length, max_copied_bytes),
    };
    input.advance(bounds.total);
    Ok(Some(Response::Complete(reply)))
}

/// Removes a balancer's answer to this request from the input, as its client reads it; none while it is incomplete.
///
/// # Errors
/// The answer is malformed.
pub fn read_answer(input: &mut BytesMut, request: &ClientRequest) -> Result<Option<Answer>, ResponseError> {
    let Some(bounds) = first_line(input) else { return incomplete_line(input) };
    let tokens = input[..bounds.text].split(|byte| *byte == b' ').filter(|token| !token.is_empty());
    let tokens: Vec<&[u8]> = tokens.collect();
    let answer = match tokens[..] {
        [b"SERVER_ERROR", b"busy"] => Answer::Rejected(Micros(0)),
        [b"SERVER_ERROR", b"busy", ms] => Answer::Rejected(parse_decimal(ms).map_or(Micros(0), from_ms)),
        [b"VA" | b"HD", ..] => {
            return Ok(read_reply(input, request)?.map(|reply| match reply {
                Reply::Served(answer) => answer,
                _ => Answer::Failed,
            }));
        }
        _ => Answer::Failed,
    };
    input.advance(bounds.total);
    Ok(Some(answer))
}

/// Handles an incomplete line: an error if it exceeds the maximum length.
fn incomplete_line<T>(input: &[u8]) -> Result<Option<T>, ResponseError> {
    if input.len() > MAX_LINE_BYTES {
        Err(ResponseError::LineTooLong)
    } else {
        Ok(None)
    }
}

/// A parsed response line.
enum Line {
    /// A complete reply.
    Reply(Reply),
    /// The line of a value; holds the length of the value in bytes.
    Value(usize),
}

fn parse_line(text: &[u8], request: &ClientRequest) -> Result<Line, ResponseError> {
    let unexpected_line = || ResponseError::UnexpectedLine(excerpt(text));
    let (name, flags) = response_tokens(text).ok_or_else(unexpected_line)?;
    let flag = |name: u8| flags.iter().find(|flag| flag[0] == name).map(|flag| &flag[1..]);
    if matches!(name, b"VA" | b"HD" | b"EN") && flag(b'O') != Some(&request.id[..]) {
        return Err(ResponseError::IdMismatch(excerpt(text)));
    }
    let is_write = request.value.is_some();
    Ok(Line::Reply(match (name, flags.first().copied()) {
        (b"VA", Some(length)) if !is_write => {
            let length = parse_decimal(length).and_then(|length| usize::try_from(length).ok());
            // A value that is too long is rejected at its line, so that it cannot exhaust the memory.
            let length = length.filter(|length| *length <= MAX_VALUE_BYTES);
            return length.map(Line::Value).ok_or_else(unexpected_line);
        }
        (b"HD", _) if is_write => {
            let receipt = flag(b'c').and_then(parse_receipt).ok_or_else(unexpected_line)?;
            Reply::Served(Answer::Receipt(receipt))
        }
        (b"EN", _) => Reply::Miss { fetch_in_progress: flags.contains(&&b"Z"[..]) },
        (b"SERVER_ERROR", Some(b"failed")) => Reply::Error,
        (b"SERVER_ERROR", Some(b"busy")) => Reply::Rejected,
        _ => return Err(unexpected_line()),
    }))
}

/// Removes this line and the value after it from the input, or the line alone if the value is longer than
/// `max_copied_bytes`. None while the value is incomplete.
fn read_value(
    input: &mut BytesMut,
    line: &LineBounds,
    length: usize,
    max_copied_bytes: usize,
) -> Result<Option<Response>, ResponseError> {
    if length > max_copied_bytes {
        input.advance(line.total);
        return Ok(Some(Response::Streamed { length, remaining: RemainingValue(length) }));
    }
    let value_end = line.total + length;
    if input.len() < value_end + LINE_END.len() {
        return Ok(None);
    }
    if !input[value_end..].starts_with(LINE_END) {
        return Err(ResponseError::MissingValueEnd);
    }
    let value = Bytes::copy_from_slice(&input[line.total..value_end]);
    input.advance(value_end + LINE_END.len());
    Ok(Some(Response::Complete(Reply::Served(Answer::Value(value)))))
}

/// The beginning of a malformed line.
fn excerpt(text: &[u8]) -> String {
    String::from_utf8_lossy(&text[..text.len().min(MAX_EXCERPT_BYTES)]).into_owned()
}
