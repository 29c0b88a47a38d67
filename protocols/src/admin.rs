//! The operators' calls: one line in, one line out, and nothing else on the connection.
//!
//! A call is `HEALTH`, `DUMP`, `OFFLINE ID` or `ONLINE ID`, ended by `\n` (a `\r` before it is allowed). The
//! reply is one line that starts with `ACK` or `NAK`; `DUMP` follows its `ACK` with the figures and a line `--`.

use winnow::ascii::space1;
use winnow::combinator::{alt, eof, opt, preceded, terminated};
use winnow::prelude::*;
use winnow::token::take_while;

/// The longest line that a call may be, its end included.
pub const MAX_LINE: usize = 256;

/// What an operator asks for.
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

/// Where a line stands that comes in pieces.
#[derive(Debug, PartialEq, Eq)]
pub enum Read {
    /// A whole line: the call, or why it is none.
    Call(Result<Call, &'static str>),
    /// Not whole yet; more may come.
    More,
    /// Too long to be a call, whatever comes.
    TooLong,
}

/// Looks for a whole call at the start of what came so far.
pub fn read(input: &[u8]) -> Read {
    match memchr::memchr(b'\n', input) {
        Some(end) if end < MAX_LINE => Read::Call(parse(&input[..end])),
        Some(_) => Read::TooLong,
        None if input.len() >= MAX_LINE => Read::TooLong,
        None => Read::More,
    }
}

fn id<'a>(input: &mut &'a [u8]) -> winnow::Result<&'a [u8]> {
    take_while(1..=MAX_LINE, |b: u8| b.is_ascii_graphic()).parse_next(input)
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

/// Reads one line without its `\n`.
pub fn parse(line: &[u8]) -> Result<Call, &'static str> {
    if line.trim_ascii().is_empty() {
        return Err("empty line; calls are HEALTH, DUMP, OFFLINE ID and ONLINE ID");
    }
    if !line.is_ascii() {
        return Err("not text; calls are HEALTH, DUMP, OFFLINE ID and ONLINE ID");
    }
    call.parse(line)
        .map_err(|_| "unknown call or a malformed id; calls are HEALTH, DUMP, OFFLINE ID and ONLINE ID")
}

/// A yes, with what it says.
pub fn ack(text: &str) -> String {
    format!("ACK {}\n", one_line(text))
}

/// A no, with why.
pub fn nak(why: &str) -> String {
    format!("NAK {}\n", one_line(why))
}

fn one_line(text: &str) -> String {
    text.chars().map(|c| if c.is_control() { ' ' } else { c }).collect()
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    #[test]
    fn the_four_calls_are_read() {
        assert_eq!(read(b"HEALTH\n"), Read::Call(Ok(Call::Health)));
        assert_eq!(read(b"DUMP\r\nmore"), Read::Call(Ok(Call::Dump)));
        assert_eq!(read(b"OFFLINE s-5be2a07c\n"), Read::Call(Ok(Call::Offline("s-5be2a07c".into()))));
        assert_eq!(read(b"ONLINE  s-1\n"), Read::Call(Ok(Call::Online("s-1".into()))));
    }

    #[test]
    fn what_is_no_call_is_told_why() {
        for line in
            [&b"\n"[..], b"health\n", b"OFFLINE\n", b"OFFLINE a b\n", b"ONLINE \xff\n", b"DUMPS\n", b"\0\n"]
        {
            let Read::Call(Err(why)) = read(line) else { panic!("{line:?} was taken") };
            assert!(why.contains("HEALTH"), "{why}");
        }
        assert_eq!(read(b"HEAL"), Read::More);
        assert_eq!(read(&[b'x'; MAX_LINE]), Read::TooLong);
        assert_eq!(read(&[&[b'x'; MAX_LINE][..], b"\n"].concat()), Read::TooLong);
    }

    #[test]
    fn a_reply_is_one_line() {
        assert_eq!(nak("no\nsuch\rhost"), "NAK no such host\n");
        assert_eq!(ack("ready"), "ACK ready\n");
    }

    proptest! {
        /// However a call is cut, its first pieces are never taken for a call, and the whole is the same call.
        #[test]
        fn a_call_cut_anywhere_is_read_whole_or_not_at_all(id in "[a-z0-9-]{1,40}", cut in 0usize..60, junk in proptest::collection::vec(any::<u8>(), 0..300)) {
            let line = format!("OFFLINE {id}\n");
            let cut = cut.min(line.len() - 1);
            prop_assert_eq!(read(&line.as_bytes()[..cut]), Read::More);
            prop_assert_eq!(read(line.as_bytes()), Read::Call(Ok(Call::Offline(id))));
            // Nothing that a peer sends panics the reader.
            let _ = read(&junk);
        }
    }
}
