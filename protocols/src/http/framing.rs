//! How the body of a response is delimited.
//!
//! Guarantee: a head from which two readers could derive different ends of the body is an error. A body whose end is in
//! doubt must not be passed on, since the rest of it would be taken for the next response, or be missing.

use winnow::ascii::{hex_digit1, space0};
use winnow::combinator::{opt, preceded, terminated};
use winnow::prelude::*;
use winnow::token::take_till;

use super::headers::Headers;
use crate::memcache::parse_decimal;

/// How a response's body is delimited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Framing {
    /// By its length in bytes, stated in the head.
    Length(usize),
    /// By chunk sizes.
    Chunked,
    /// By the end of the connection.
    UntilClose,
}

/// The framing of the body; none if it is malformed or ambiguous: lengths that differ, a length beside a transfer
/// encoding, or another transfer encoding than chunks.
pub(super) fn framing(status: &[u8], headers: &Headers<'_>) -> Option<Framing> {
    let stated_length = stated_length(headers)?;
    let mut transfer_encodings = headers.items("transfer-encoding");
    match (transfer_encodings.next(), stated_length) {
        (Some(encoding), None) => {
            let is_chunked = encoding.eq_ignore_ascii_case(b"chunked") && transfer_encodings.next().is_none();
            is_chunked.then_some(Framing::Chunked)
        }
        (Some(_), Some(_)) => None,
        (None, _) if status == b"204" || status == b"304" => Some(Framing::Length(0)),
        (None, Some(length)) => Some(Framing::Length(length)),
        (None, None) => Some(Framing::UntilClose),
    }
}

/// The length that the headers state, or `Some(None)` if they state none. None if a length is malformed or two differ.
fn stated_length(headers: &Headers<'_>) -> Option<Option<usize>> {
    let mut stated = None;
    for item in headers.items("content-length") {
        let length = usize::try_from(parse_decimal(item)?).ok()?;
        if *stated.get_or_insert(length) != length {
            return None;
        }
    }
    Some(stated)
}

/// Parses the size of a chunk from its line; none if it is malformed. Extensions are ignored.
pub(super) fn chunk_size(line: &[u8]) -> Option<usize> {
    let digits = chunk_size_digits.parse(line).ok()?;
    usize::from_str_radix(std::str::from_utf8(digits).ok()?, 16).ok()
}

/// Parses the end of a line.
pub(super) fn line_end(input: &mut &[u8]) -> winnow::Result<()> {
    (opt(b'\r'), b'\n').void().parse_next(input)
}

fn chunk_size_digits<'a>(input: &mut &'a [u8]) -> winnow::Result<&'a [u8]> {
    let extensions = opt(preceded(b';', take_till(0.., (b'\r', b'\n'))));
    terminated(hex_digit1, (space0, extensions, line_end)).parse_next(input)
}
