//! Lines and the tokens in them.

use winnow::combinator::{preceded, repeat, terminated};
use winnow::prelude::*;
use winnow::token::take_while;

/// The first token of a line, and the others.
pub(super) type Tokens<'a> = (&'a [u8], Vec<&'a [u8]>);

/// Where a line stands in the input.
pub(super) struct LineBounds {
    /// Its length without its end.
    pub(super) text: usize,
    /// Its length with its end.
    pub(super) total: usize,
}

/// The bounds of the first line; none until its end has come.
pub(super) fn first_line(input: &[u8]) -> Option<LineBounds> {
    let end = memchr::memchr(b'\n', input)?;
    let text = if input[..end].ends_with(b"\r") { end - 1 } else { end };
    Some(LineBounds { text, total: end + 1 })
}

/// A decimal number that is nothing but digits.
pub fn parse_decimal(text: &[u8]) -> Option<u64> {
    winnow::ascii::dec_uint::<_, u64, winnow::error::ContextError>.parse(text).ok()
}

/// The tokens of a client's line; none if there are bytes in it that no token has.
pub(super) fn request_tokens(text: &[u8]) -> Option<Tokens<'_>> {
    (token, tokens(token)).parse(text).ok()
}

/// The tokens of a server's line, whatever their bytes but for the first: a load report that cannot be read makes no
/// answer malformed.
pub(super) fn response_tokens(text: &[u8]) -> Option<Tokens<'_>> {
    (token, tokens(any_token)).parse(text).ok()
}

fn token<'a>(input: &mut &'a [u8]) -> winnow::Result<&'a [u8]> {
    take_while(1.., |byte: u8| byte > b' ' && byte != 0x7f).parse_next(input)
}

fn any_token<'a>(input: &mut &'a [u8]) -> winnow::Result<&'a [u8]> {
    take_while(1.., |byte: u8| byte != b' ').parse_next(input)
}

/// Tokens of one kind, each behind spaces, up to the end of the line.
fn tokens<'a>(
    token: impl FnMut(&mut &'a [u8]) -> winnow::Result<&'a [u8]>,
) -> impl FnMut(&mut &'a [u8]) -> winnow::Result<Vec<&'a [u8]>> {
    let mut token = token;
    move |input| {
        let separated = preceded(take_while(1.., b' '), &mut token);
        terminated(repeat(0.., separated), take_while(0.., b' ')).parse_next(input)
    }
}
