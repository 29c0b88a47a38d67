//! HTTP/1.1 as the origin and discovery speak it: bytes to values and back, nothing else.

use bytes::{BufMut, Bytes, BytesMut};
use juniperladder::Micros;
use winnow::ascii::{digit1, hex_digit1, space0};
use winnow::combinator::{opt, preceded, repeat, separated_pair, terminated};
use winnow::prelude::*;
use winnow::token::{take_till, take_while};

use crate::memcache::{number, receipt, write_properties, MAX_LONG, MAX_VALUE};
use juniperladder_dispatch::request::ClientRequest;
use juniperladder_dispatch::values::{Answer, Reply};

/// The longest head of a response.
const MAX_HEAD: usize = 16 * 1024;

/// How a response's body is delimited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Framing {
    Length(usize),
    Chunked,
    UntilClose,
}

/// The head of a response, as far as it matters here.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Head {
    /// The status.
    pub status: u16,
    /// Whether the request is said never to have run.
    pub never_ran: bool,
    /// Whether the connection ends with this response.
    pub close: bool,
    /// The id that the response names, where it names one.
    pub id: Option<Bytes>,
    framing: Framing,
}

fn status<'a>(input: &mut &'a [u8]) -> winnow::Result<(&'a [u8], &'a [u8])> {
    let version = preceded(b"HTTP/1.", digit1);
    let code = take_while(3..=3, |b: u8| b.is_ascii_digit());
    terminated(separated_pair(version, b' ', code), (take_till(0.., (b'\r', b'\n')), end)).parse_next(input)
}

fn end(input: &mut &[u8]) -> winnow::Result<()> {
    (opt(b'\r'), b'\n').void().parse_next(input)
}

fn header<'a>(input: &mut &'a [u8]) -> winnow::Result<(&'a [u8], &'a [u8])> {
    let name = take_while(1.., |b: u8| b.is_ascii_graphic() && b != b':');
    // Whatever it holds: a load report that cannot be read spoils no response.
    let value = take_till(0.., b'\n');
    terminated(separated_pair(name, (b':', space0), value), b'\n').parse_next(input)
}

fn head<'a>(input: &mut &'a [u8]) -> winnow::Result<Head> {
    let (minor, code) = status(input)?;
    let headers: Vec<(&'a [u8], &'a [u8])> = terminated(repeat(0.., header), end).parse_next(input)?;
    let has = |name: &str, part: &str| {
        headers.iter().any(|(n, v)| {
            n.eq_ignore_ascii_case(name.as_bytes())
                && v.split(|b| *b == b',').any(|v| v.trim_ascii().eq_ignore_ascii_case(part.as_bytes()))
        })
    };
    let length = headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(b"content-length"));
    let framing = match length {
        _ if has("transfer-encoding", "chunked") => Framing::Chunked,
        Some((_, text)) => {
            let length = number(text.trim_ascii()).and_then(|n| usize::try_from(n).ok());
            Framing::Length(length.ok_or_else(winnow::error::ContextError::new)?)
        }
        None if code == b"204" || code == b"304" => Framing::Length(0),
        None => Framing::UntilClose,
    };
    Ok(Head {
        status: code.iter().fold(0, |sum, digit| sum * 10 + u16::from(digit - b'0')),
        never_ran: has("x-never-ran", "1"),
        id: headers
            .iter()
            .find(|(n, _)| n.eq_ignore_ascii_case(b"x-trace-id"))
            .map(|(_, id)| Bytes::copy_from_slice(id.trim_ascii())),
        close: has("connection", "close") || minor == b"0" || framing == Framing::UntilClose,
        framing,
    })
}

fn chunk_size<'a>(input: &mut &'a [u8]) -> winnow::Result<&'a [u8]> {
    terminated(hex_digit1, (take_till(0.., (b'\r', b'\n')), end)).parse_next(input)
}

/// A response as it comes in. The caller takes from `body` what it wants while more is on its way.
#[derive(Debug, Default)]
pub struct Response {
    /// The head, once it is whole.
    pub head: Option<Head>,
    /// The body so far, or what was not taken of it.
    pub body: BytesMut,
    /// Whether the response is whole.
    pub done: bool,
    left: usize,
    in_chunk: bool,
    last_chunk: bool,
}

impl Response {
    /// Takes what belongs to this response off the input.
    pub fn read(&mut self, input: &mut BytesMut) -> Result<(), String> {
        while self.head.is_none() {
            let Some(length) = head_length(input) else {
                return if input.len() > MAX_HEAD {
                    Err("a response's head has no end".into())
                } else {
                    Ok(())
                };
            };
            let text = input.split_to(length);
            let parsed = head.parse(&text[..]);
            let parsed = parsed.map_err(|_| {
                format!("not a response: {:?}", String::from_utf8_lossy(&text[..length.min(80)]))
            })?;
            if parsed.status < 200 {
                // Only tells that the response is on its way.
                continue;
            }
            if let Framing::Length(length) = parsed.framing {
                self.left = length;
            }
            self.head = Some(parsed);
        }
        match self.head.as_ref().map(|head| head.framing) {
            Some(Framing::Length(_)) => {
                self.take(input);
                self.done = self.left == 0;
            }
            Some(Framing::Chunked) => self.read_chunks(input)?,
            _ => self.body.unsplit(input.split()),
        }
        Ok(())
    }

    /// The connection has ended: a body without a length is whole by that.
    pub fn ended(&mut self) {
        self.done |= self.head.as_ref().is_some_and(|head| head.framing == Framing::UntilClose);
    }

    /// The length of a long value that this response brings: it goes on while it comes. One that is not told its
    /// length cannot, as the client is told it first.
    pub fn long(&self) -> Option<usize> {
        match self.head.as_ref()? {
            Head { status: 200, framing: Framing::Length(length), .. } => {
                (MAX_VALUE + 1..=MAX_LONG).contains(length).then_some(*length)
            }
            _ => None,
        }
    }

    /// Whether its body is, or is said to be, longer than what is taken whole: it must not be read to its end.
    pub fn too_large(&self) -> bool {
        let said = self.head.as_ref().map(|head| head.framing);
        self.body.len() > MAX_VALUE || matches!(said, Some(Framing::Length(length)) if length > MAX_VALUE)
    }

    fn take(&mut self, input: &mut BytesMut) {
        let part = input.split_to(self.left.min(input.len()));
        self.left -= part.len();
        self.body.unsplit(part);
    }

    fn read_chunks(&mut self, input: &mut BytesMut) -> Result<(), String> {
        while !self.done {
            self.take(input);
            if self.left > 0 {
                return Ok(());
            }
            let Some(end) = memchr::memchr(b'\n', input) else {
                return if input.len() > MAX_HEAD { Err("a chunk's size has no end".into()) } else { Ok(()) };
            };
            let text = input.split_to(end + 1);
            if self.in_chunk || self.last_chunk {
                // The end of a chunk's data, or the trailer, whose empty line ends the body.
                let blank = text.trim_ascii().is_empty();
                if self.in_chunk && !blank {
                    return Err("a chunk without its end".into());
                }
                self.done = self.last_chunk && blank;
                self.in_chunk = false;
                continue;
            }
            let digits = chunk_size.parse(&text[..]).ok().and_then(|d| std::str::from_utf8(d).ok());
            let size = digits.and_then(|d| usize::from_str_radix(d, 16).ok()).ok_or("not a chunk's size")?;
            self.left = size;
            self.in_chunk = size > 0;
            self.last_chunk = size == 0;
        }
        Ok(())
    }
}

/// Whether these bytes may be the beginning of a response, or none at all.
pub fn may_begin(input: &[u8]) -> bool {
    const BEGINNING: &[u8] = b"HTTP/1.";
    input.iter().zip(BEGINNING).all(|(a, b)| a == b)
}

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

/// Writes a request to the origin.
pub fn write_command(out: &mut BytesMut, request: &ClientRequest, host: &str, wait: Micros) {
    write_head(out, request, host, wait, request.value.as_ref().map(Bytes::len));
    request.value.iter().for_each(|value| out.put_slice(value));
}

/// Writes the head of a request to the origin: a write, if there is the length of a value that follows.
pub fn write_head(
    out: &mut BytesMut,
    request: &ClientRequest,
    host: &str,
    wait: Micros,
    value: Option<usize>,
) {
    out.put_slice(if value.is_some() { b"PUT /" } else { b"GET /" });
    for byte in &request.key {
        // What would end the path, or is no URI character, is written in percent form.
        if byte.is_ascii_graphic() && !b"%?#\"<>\\^`{|}".contains(byte) {
            out.put_u8(*byte);
        } else {
            out.put_slice(format!("%{byte:02X}").as_bytes());
        }
    }
    out.put_slice(format!(" HTTP/1.1\r\nHost: {host}\r\nX-Trace-Id: ").as_bytes());
    out.put_slice(&request.id);
    out.put_slice(b"\r\nX-Props: ");
    write_properties(out, request, wait);
    if let Some(length) = value {
        out.put_slice(format!("\r\nContent-Length: {length}").as_bytes());
    }
    out.put_slice(b"\r\n\r\n");
}

/// What the origin's whole response to a request means.
///
/// # Errors
/// What is wrong with one that is none: a write's receipt that is no word.
pub fn reply(response: &Response, write: bool) -> Result<Reply, String> {
    let Some(head) = &response.head else { return Ok(Reply::Error) };
    Ok(match head.status {
        200 if write => {
            let receipt = receipt(&response.body);
            let strange = || format!("not a receipt, in {} bytes", response.body.len());
            Reply::Served(Answer::Receipt(receipt.ok_or_else(strange)?))
        }
        200 => Reply::Served(Answer::Value(Bytes::copy_from_slice(&response.body))),
        503 | 504 if head.never_ran => Reply::Rejected,
        _ => Reply::Error,
    })
}

/// Writes a call to discovery.
pub fn write_call(out: &mut BytesMut, path: &str, host: &str) {
    out.put_slice(
        format!("GET {path} HTTP/1.1\r\nHost: {host}\r\nAccept: application/json\r\n\r\n").as_bytes(),
    );
}

#[cfg(test)]
mod tests {
    use super::*;
    use juniperladder_dispatch::testing::request;

    fn read(text: &[u8], cut: usize) -> Result<Response, String> {
        let (mut response, mut input) = (Response::default(), BytesMut::new());
        for piece in text.chunks(cut) {
            input.extend_from_slice(piece);
            response.read(&mut input)?;
        }
        assert!(!response.done || input.is_empty());
        Ok(response)
    }

    #[test]
    fn bodies_of_either_framing_come_in_whatever_pieces() {
        let plain = &b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\nEndpoint-Load-Metrics: qps=7\r\n\r\nhello"[..];
        let chunked = &b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhe\r\n3;x=y\r\nllo\r\n0\r\nA: b\r\n\r\n"[..];
        for text in [plain, chunked] {
            for cut in 1..text.len() {
                let response = read(text, cut).unwrap();
                assert!(response.done && response.body == b"hello"[..], "cut at {cut}");
            }
            assert!(!read(&text[..text.len() - 1], 7).unwrap().done);
        }
    }

    #[test]
    fn a_body_without_a_length_ends_with_its_connection() {
        let mut response = read(b"HTTP/1.1 200 OK\r\n\r\nhello", 4).unwrap();
        assert!(!response.done);
        response.ended();
        assert!(response.done && response.head.unwrap().close);
    }

    #[test]
    fn what_is_no_response_is_an_error() {
        for text in [
            &b"SSH-2.0\r\n\r\n"[..],
            b"HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n",
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nab\r\n",
        ] {
            assert!(read(text, 99).is_err());
        }
    }

    #[test]
    fn the_origin_says_whether_a_command_ran() {
        let says = |text: &[u8]| reply(&read(text, 99).unwrap(), true).unwrap();
        let receipt = Reply::Served(Answer::Receipt(Bytes::from_static(b"r1")));
        assert_eq!(says(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nr1"), receipt);
        assert_eq!(says(b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"), Reply::Error);
        assert_eq!(says(b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n"), Reply::Error);
        assert_eq!(says(b"HTTP/1.1 504 No\r\nx-never-ran: 1\r\nContent-Length: 0\r\n\r\n"), Reply::Rejected);
    }

    /// A receipt goes into a line of its client's connection: more than one word there would be more than one answer.
    #[test]
    fn a_receipt_that_is_no_word_is_none() {
        for body in ["", "r1 r2", "r1\r\n", "r1\nHD O8 cr2", "r1\u{7f}", "r1\u{e9}", &"r".repeat(5000)] {
            let text = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
            let response = read(text.as_bytes(), 99).unwrap();
            assert!(response.done && reply(&response, true).is_err(), "{body:?}");
            assert!(matches!(reply(&response, false), Ok(Reply::Served(Answer::Value(_)))), "{body:?}");
        }
    }

    #[test]
    fn a_command_to_the_origin_keeps_its_key_and_id() {
        let mut out = BytesMut::new();
        let mut write = request("9b", Some(b"v\r\n".to_vec()));
        write.key = Bytes::from_static(b"a/b?c%");
        write_command(&mut out, &write, "127.0.0.1:1", Micros(79_500));
        let want =
            "PUT /a/b%3Fc%25 HTTP/1.1\r\nHost: 127.0.0.1:1\r\nX-Trace-Id: 9b\r\nX-Props: c=read,d=80\r\n\
            Content-Length: 3\r\n\r\nv\r\n";
        assert_eq!(out, want.as_bytes());
    }
}
