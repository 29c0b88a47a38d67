//! Parses the requests on a client's connection incrementally.

use bytes::{Buf, Bytes, BytesMut};
use juniperladder_dispatch::clock::from_ms;
use juniperladder_dispatch::request::ClientRequest;
use winnow::combinator::separated_pair;
use winnow::prelude::*;
use winnow::token::take_while;

use super::line::{first_line, parse_decimal, request_tokens};
use super::response_reader::RemainingValue;
use super::{
    LINE_END, MAX_BUFFERED_VALUE_BYTES, MAX_KEY_BYTES, MAX_LINE_BYTES, MAX_SKIPPED_BYTES, MAX_VALUE_BYTES,
    VALUE_TOO_LARGE,
};

/// Maximum number of properties of a request. Each takes far more memory than the few bytes that it may have in its line.
const MAX_PROPERTIES: usize = 32;
const BAD_DATA_CHUNK: &str = "CLIENT_ERROR bad data chunk";
const BAD_PROPERTIES: &str = "CLIENT_ERROR bad properties";
const LINE_TOO_LONG: &str = "CLIENT_ERROR line too long";

/// The next item on a client's connection.
#[derive(Debug, PartialEq)]
pub enum Incoming {
    /// `mn`: the client asks whether the balancer is ready.
    ReadinessCheck,
    /// A complete request.
    Request {
        /// The request, with the value of a write.
        request: Box<ClientRequest>,
        /// Its class, by name.
        class: Bytes,
    },
    /// The line of a write whose value is streamed; [`Incoming::UploadChunk`]s follow.
    Upload {
        /// The request, without its value.
        request: Box<ClientRequest>,
        /// Its class, by name.
        class: Bytes,
        /// The length of the value in bytes.
        length: usize,
    },
    /// A chunk of a streamed value.
    UploadChunk {
        /// The bytes.
        chunk: Bytes,
        /// Whether this is the last chunk of the value.
        is_last: bool,
    },
    /// Malformed input; the text is the complete answer line.
    Malformed(&'static str),
    /// Malformed input whose end is unknown, so that the connection has to be closed; the text is the complete answer
    /// line.
    Unrecoverable(&'static str),
    /// `quit`: the client closes the connection.
    Quit,
}

/// A write whose line has been read.
#[derive(Debug)]
struct Write {
    /// The request, without its value.
    request: Box<ClientRequest>,
    /// Its class, by name.
    class: Bytes,
    /// The length of the value in bytes.
    length: usize,
}

/// Reads the requests on one connection.
#[derive(Debug, Default)]
pub struct RequestReader {
    /// Bytes of a rejected value that are still to be skipped.
    skipped_bytes: usize,
    /// A write whose value is incomplete; stored so that its line is parsed only once.
    pending_write: Option<Write>,
    /// The streamed value that is being received.
    upload: Option<RemainingValue>,
}

impl RequestReader {
    /// Whether the line of a write has been received, but not yet all of its value.
    pub fn has_incomplete_request(&self) -> bool {
        self.pending_write.is_some() || self.upload.is_some() || self.skipped_bytes > 0
    }

    /// The number of bytes that the input has to hold before the value that is being received can be taken, with its line
    /// end; none if no value is, or one that is streamed.
    pub fn awaited_value_bytes(&self) -> Option<usize> {
        self.pending_write.as_ref().map(|write| write.length + LINE_END.len())
    }

    /// The write whose value is being received, and the name of its class; none if it is streamed.
    pub fn awaited_write(&self) -> Option<(&ClientRequest, &Bytes)> {
        self.pending_write.as_ref().map(|write| (&*write.request, &write.class))
    }

    /// Gives up the value that is being received: the rest of it is skipped.
    pub fn skip_value(&mut self) {
        if let Some(write) = self.pending_write.take() {
            self.skipped_bytes = write.length + LINE_END.len();
        }
        if let Some(remaining) = self.upload.take() {
            self.skipped_bytes = remaining.bytes() + LINE_END.len();
        }
    }

    /// The number of bytes that are still to be received of a streamed value, with its line end; none if there is none.
    pub fn remaining_upload_bytes(&self) -> Option<usize> {
        self.upload.as_ref().map(|remaining| remaining.bytes() + LINE_END.len())
    }

    /// Removes the next item from the input; none while it is incomplete.
    pub fn next(&mut self, input: &mut BytesMut) -> Option<Incoming> {
        self.skip(input);
        if self.skipped_bytes > 0 {
            return None;
        }
        if self.upload.is_some() {
            return self.next_chunk(input);
        }
        if self.pending_write.is_none() {
            if let Some(incoming) = self.next_line(input)? {
                return Some(incoming);
            }
        }
        self.complete_write(input)
    }

    /// Discards the received part of a rejected value.
    fn skip(&mut self, input: &mut BytesMut) {
        let skipped = self.skipped_bytes.min(input.len());
        input.advance(skipped);
        self.skipped_bytes -= skipped;
    }

    fn next_chunk(&mut self, input: &mut BytesMut) -> Option<Incoming> {
        let Ok((chunk, is_last)) = self.upload.as_mut()?.take(input) else {
            self.upload = None;
            return Some(Incoming::Unrecoverable(BAD_DATA_CHUNK));
        };
        if is_last {
            self.upload = None;
        }
        (is_last || !chunk.is_empty()).then_some(Incoming::UploadChunk { chunk, is_last })
    }

    /// Reads a line; none while it is incomplete. `Some(None)` stands for the line of a write, which is now pending
    /// until its value is complete.
    fn next_line(&mut self, input: &mut BytesMut) -> Option<Option<Incoming>> {
        let Some(line) = first_line(input) else {
            // An endless line must not exhaust the memory.
            let is_too_long = input.len() > MAX_LINE_BYTES;
            return is_too_long.then_some(Some(Incoming::Unrecoverable(LINE_TOO_LONG)));
        };
        let text = input.split_to(line.total).freeze().slice(..line.text);
        if line.text > MAX_LINE_BYTES {
            return Some(Some(Incoming::Malformed(LINE_TOO_LONG)));
        }
        Some(match parse_line(&text) {
            Line::Incoming(incoming) => Some(incoming),
            Line::Write(write) => self.begin_write(write),
            Line::WriteTooLarge(length) => Some(self.reject_value(length)),
        })
    }

    fn begin_write(&mut self, write: Write) -> Option<Incoming> {
        if write.length > MAX_BUFFERED_VALUE_BYTES {
            let Write { request, class, length } = write;
            self.upload = Some(RemainingValue::new(length));
            return Some(Incoming::Upload { request, class, length });
        }
        self.pending_write = Some(write);
        None
    }

    fn reject_value(&mut self, length: usize) -> Incoming {
        if length > MAX_SKIPPED_BYTES {
            return Incoming::Unrecoverable(VALUE_TOO_LARGE);
        }
        self.skipped_bytes = length + LINE_END.len();
        Incoming::Malformed(VALUE_TOO_LARGE)
    }

    /// Completes the pending write if its value has been received.
    fn complete_write(&mut self, input: &mut BytesMut) -> Option<Incoming> {
        let length = self.pending_write.as_ref()?.length;
        if input.len() < length + LINE_END.len() {
            return None;
        }
        let Write { mut request, class, .. } = self.pending_write.take()?;
        if !input[length..].starts_with(LINE_END) {
            return Some(Incoming::Unrecoverable(BAD_DATA_CHUNK));
        }
        request.value = Some(input.split_to(length).freeze());
        input.advance(LINE_END.len());
        Some(Incoming::Request { request, class })
    }
}

/// A parsed line.
enum Line {
    /// An item that consists of this line alone, or malformed input.
    Incoming(Incoming),
    /// The line of a write, whose value follows.
    Write(Write),
    /// The line of a write whose value exceeds [`MAX_VALUE_BYTES`]; holds its length in bytes.
    WriteTooLarge(usize),
}

fn parse_line(text: &Bytes) -> Line {
    let Some((name, tokens)) = request_tokens(text) else {
        return Line::Incoming(Incoming::Malformed("ERROR"));
    };
    match (name, tokens.as_slice()) {
        (b"mn", []) => Line::Incoming(Incoming::ReadinessCheck),
        (b"quit", []) => Line::Incoming(Incoming::Quit),
        (b"mg", [key, flags @ ..]) => Line::Incoming(match parse_request(text, key, flags) {
            Ok((request, class)) => Incoming::Request { request, class },
            Err(answer) => Incoming::Malformed(answer),
        }),
        (b"ms", [key, length, flags @ ..]) => parse_write(text, key, length, flags),
        (b"mg" | b"ms", _) => Line::Incoming(Incoming::Malformed("CLIENT_ERROR bad command line format")),
        _ => Line::Incoming(Incoming::Malformed("ERROR")),
    }
}

fn parse_write(text: &Bytes, key: &[u8], length: &[u8], flags: &[&[u8]]) -> Line {
    // Without a length the end of the value is unknown.
    let Some(length) = parse_decimal(length) else {
        return Line::Incoming(Incoming::Unrecoverable(BAD_DATA_CHUNK));
    };
    let length = usize::try_from(length).unwrap_or(usize::MAX);
    if length > MAX_VALUE_BYTES {
        return Line::WriteTooLarge(length);
    }
    match parse_request(text, key, flags) {
        Ok((request, class)) => Line::Write(Write { request, class, length }),
        // The value still follows, and its bytes would be parsed as further lines.
        Err(answer) => Line::Incoming(Incoming::Unrecoverable(answer)),
    }
}

/// Parses the request in a line, and the name of its class. An error is the answer line to the client.
fn parse_request(
    text: &Bytes,
    key: &[u8],
    flags: &[&[u8]],
) -> Result<(Box<ClientRequest>, Bytes), &'static str> {
    let flag = |name: u8| flags.iter().find(|flag| flag[0] == name).map(|flag| text.slice_ref(&flag[1..]));
    if key.len() > MAX_KEY_BYTES {
        return Err("CLIENT_ERROR key too long");
    }
    let id = flag(b'O').filter(|id| !id.is_empty()).ok_or("CLIENT_ERROR no id")?;
    let properties = parse_properties(&flag(b'P').unwrap_or_default())?;
    let property =
        |name: &[u8]| properties.iter().find(|(known, _)| known == name).map(|(_, value)| value.clone());
    let timeout = property(b"d").ok_or("CLIENT_ERROR no deadline")?;
    let timeout = parse_decimal(&timeout).ok_or(BAD_PROPERTIES)?;
    let class = property(b"c").unwrap_or_default();
    let is_client_retry = property(b"r").is_some_and(|mark| mark.as_ref() == b"1");
    let request = ClientRequest {
        id,
        key: text.slice_ref(key),
        value: None,
        upload: None,
        class: 0,
        tenant: 0,
        is_client_retry,
        timeout: Some(from_ms(timeout)),
        properties,
    };
    Ok((Box::new(request), class))
}

/// Parses a list of properties such as `c=read,d=480`.
fn parse_properties(list: &Bytes) -> Result<Vec<(Bytes, Bytes)>, &'static str> {
    let mut properties = Vec::new();
    for item in list.split(|byte| *byte == b',').filter(|item| !item.is_empty()) {
        if properties.len() == MAX_PROPERTIES {
            return Err(BAD_PROPERTIES);
        }
        let (name, value) = property.parse(item).map_err(|_| BAD_PROPERTIES)?;
        properties.push((list.slice_ref(name), list.slice_ref(value)));
    }
    Ok(properties)
}

fn property<'a>(input: &mut &'a [u8]) -> winnow::Result<(&'a [u8], &'a [u8])> {
    separated_pair(take_while(1.., |byte| byte != b'='), b'=', take_while(0.., |_| true)).parse_next(input)
}
