//! Splits input into lines and lines into tokens.

use winnow::combinator::{preceded, repeat, terminated};
use winnow::prelude::*;
use winnow::token::take_while;

/// The first token of a line, and the remaining ones.
pub(super) type Tokens<'a> = (&'a [u8], Vec<&'a [u8]>);

/// The extent of the first line of an input.
pub(super) struct LineBounds {
    /// Length in bytes without the line end.
    pub(super) text: usize,
    /// Length in bytes with the line end.
    pub(super) total: usize,
}

/// The bounds of the first line; none while it is incomplete.
pub(super) fn first_line(input: &[u8]) -> Option<LineBounds> {
    let end = memchr::memchr(b'\n', input)?;
    let text = if input[..end].ends_with(b"\r") { end - 1 } else { end };
    Some(LineBounds { text, total: end + 1 })
}

/// Parses a decimal number that consists of digits only.
pub fn parse_decimal(text: &[u8]) -> Option<u64> {
    winnow::ascii::dec_uint::<_, u64, winnow::error::ContextError>.parse(text).ok()
}

/// Splits a client's line into tokens; none if it is empty, begins with a space or contains control characters.
pub(super) fn request_tokens(text: &[u8]) -> Option<Tokens<'_>> {
    (token, tokens(token)).parse(text).ok()
}

/// Splits a server's line into tokens. All but the first may contain any bytes except spaces: an unreadable load report
/// does not make the reply malformed.
pub(super) fn response_tokens(text: &[u8]) -> Option<Tokens<'_>> {
    (token, tokens(any_token)).parse(text).ok()
}

fn token<'a>(input: &mut &'a [u8]) -> winnow::Result<&'a [u8]> {
    take_while(1.., |byte: u8| byte > b' ' && byte != 0x7f).parse_next(input)
}

fn any_token<'a>(input: &mut &'a [u8]) -> winnow::Result<&'a [u8]> {
    take_while(1.., |byte: u8| byte != b' ').parse_next(input)
}

/// Parses tokens up to the end of the line, each preceded by spaces.
fn tokens<'a>(
    token: impl FnMut(&mut &'a [u8]) -> winnow::Result<&'a [u8]>,
) -> impl FnMut(&mut &'a [u8]) -> winnow::Result<Vec<&'a [u8]>> {
    let mut token = token;
    move |input| {
        let separated = preceded(take_while(1.., b' '), &mut token);
        terminated(repeat(0.., separated), take_while(0.., b' ')).parse_next(input)
    }
}
