//! The meta commands of the memcache text protocol: bytes to values and back, nothing else.

use bytes::{Buf, BufMut, Bytes, BytesMut};
use juniperladder::Micros;
use winnow::combinator::{preceded, repeat, separated_pair, terminated};
use winnow::prelude::*;
use winnow::token::take_while;

use juniperladder_dispatch::clock::{from_ms, to_ms};
use juniperladder_dispatch::request::ClientRequest;
use juniperladder_dispatch::values::{Answer, Reply};

/// The longest line; a key, an id and a few properties are far shorter.
const MAX_LINE: usize = 4096;
/// The longest value that is taken in whole before it goes on.
pub const MAX_VALUE: usize = 64 * 1024;
/// The longest value: one over [`MAX_VALUE`] goes on while it comes.
pub const MAX_LONG: usize = 4 * 1024 * 1024;
/// The longest value that is skipped to keep a connection in step.
const MAX_SKIPPED: usize = 2 * MAX_LONG;
/// The longest key, as memcache has it.
const MAX_KEY: usize = 250;
/// The longest receipt: with an id as long it leaves room in the longest line.
const MAX_RECEIPT: usize = 1024;

/// What a client's connection brought next.
#[derive(Debug, PartialEq)]
pub enum Incoming {
    /// `mn`.
    Ready,
    /// A request, and its class by name.
    Request(Box<ClientRequest>, Bytes),
    /// The line of a write whose value is long: its class, and the value's length. Its pieces follow.
    Upload(Box<ClientRequest>, Bytes, usize),
    /// A piece of a long value, and whether the value is whole with it.
    Piece(Bytes, bool),
    /// No request; this is the whole answer.
    Malformed(&'static str),
    /// The same, and what follows cannot be told apart from it: the connection has to end.
    Lost(&'static str),
    /// `quit`.
    Quit,
}

/// The requests on one connection, found in the bytes as they come.
#[derive(Debug, Default)]
pub struct RequestReader {
    /// Bytes of a refused value that are still to come.
    skip: usize,
    /// A write whose value is not there yet, so that its line is read once.
    pending: Option<(Box<ClientRequest>, Bytes, usize)>,
    /// A long value that is coming.
    rest: Option<Rest>,
}

type Flags<'a> = Vec<&'a [u8]>;

fn word<'a>(input: &mut &'a [u8]) -> winnow::Result<&'a [u8]> {
    take_while(1.., |byte: u8| byte > b' ' && byte != 0x7f).parse_next(input)
}

fn words<'a>(input: &mut &'a [u8]) -> winnow::Result<Flags<'a>> {
    terminated(repeat(0.., preceded(take_while(1.., b' '), word)), take_while(0.., b' ')).parse_next(input)
}

fn line<'a>(input: &mut &'a [u8]) -> winnow::Result<(&'a [u8], Flags<'a>)> {
    (word, words).parse_next(input)
}

/// The words of a server's line, whatever their bytes: a load report that cannot be read spoils no answer.
fn told<'a>(input: &mut &'a [u8]) -> winnow::Result<(&'a [u8], Flags<'a>)> {
    let any = |input: &mut &'a [u8]| take_while(1.., |byte: u8| byte != b' ').parse_next(input);
    (word, terminated(repeat(0.., preceded(take_while(1.., b' '), any)), take_while(0.., b' ')))
        .parse_next(input)
}

fn property<'a>(input: &mut &'a [u8]) -> winnow::Result<(&'a [u8], &'a [u8])> {
    separated_pair(take_while(1.., |b| b != b'='), b'=', take_while(0.., |_| true)).parse_next(input)
}

/// A decimal number that is nothing but digits.
pub fn number(text: &[u8]) -> Option<u64> {
    winnow::ascii::dec_uint::<_, u64, winnow::error::ContextError>.parse(text).ok()
}

/// Where the first line ends, as (length without its end, length with it).
fn line_end(input: &[u8]) -> Option<(usize, usize)> {
    let end = memchr::memchr(b'\n', input)?;
    let bare = if end > 0 && input[end - 1] == b'\r' { end - 1 } else { end };
    Some((bare, end + 1))
}

impl RequestReader {
    /// Whether a request has begun that is not whole.
    pub fn unfinished(&self) -> bool {
        self.pending.is_some() || self.rest.is_some() || self.skip > 0
    }

    /// Takes the next request off the input; none until more has come.
    pub fn next(&mut self, input: &mut BytesMut) -> Option<Incoming> {
        if self.skip > 0 {
            let part = self.skip.min(input.len());
            input.advance(part);
            self.skip -= part;
            if self.skip > 0 {
                return None;
            }
        }
        if let Some(rest) = &mut self.rest {
            let Ok((piece, end)) = rest.take(input) else {
                self.rest = None;
                return Some(Incoming::Lost("CLIENT_ERROR bad data chunk"));
            };
            if end {
                self.rest = None;
            }
            return (end || !piece.is_empty()).then_some(Incoming::Piece(piece, end));
        }
        if self.pending.is_none() {
            let Some((bare, whole)) = line_end(input) else {
                // A line that never ends must not fill the memory.
                return (input.len() > MAX_LINE).then_some(Incoming::Lost("CLIENT_ERROR line too long"));
            };
            let text = input.split_to(whole).freeze().slice(..bare);
            if bare > MAX_LINE {
                return Some(Incoming::Malformed("CLIENT_ERROR line too long"));
            }
            match request(&text) {
                Ok(Line::Whole(incoming)) => return Some(incoming),
                Ok(Line::Write(request, class, length)) if length > MAX_VALUE => {
                    self.rest = Some(Rest(length));
                    return Some(Incoming::Upload(request, class, length));
                }
                Ok(Line::Write(request, class, length)) => self.pending = Some((request, class, length)),
                Ok(Line::TooLarge(length)) if length <= MAX_SKIPPED => {
                    self.skip = length + 2;
                    return Some(Incoming::Malformed("SERVER_ERROR object too large for cache"));
                }
                Ok(Line::TooLarge(_)) => {
                    return Some(Incoming::Lost("SERVER_ERROR object too large for cache"))
                }
                Err(problem) => return Some(problem),
            }
        }
        let length = self.pending.as_ref()?.2;
        if input.len() < length + 2 {
            return None;
        }
        let (mut request, class, _) = self.pending.take()?;
        if &input[length..length + 2] != b"\r\n" {
            return Some(Incoming::Lost("CLIENT_ERROR bad data chunk"));
        }
        request.value = Some(input.split_to(length).freeze());
        input.advance(2);
        Some(Incoming::Request(request, class))
    }
}

enum Line {
    Whole(Incoming),
    Write(Box<ClientRequest>, Bytes, usize),
    TooLarge(usize),
}

fn request(text: &Bytes) -> Result<Line, Incoming> {
    let Ok((name, rest)) = line.parse(text) else { return Err(Incoming::Malformed("ERROR")) };
    match (name, rest.as_slice()) {
        (b"mn", []) => Ok(Line::Whole(Incoming::Ready)),
        (b"quit", []) => Ok(Line::Whole(Incoming::Quit)),
        (b"mg", [key, flags @ ..]) => {
            let (request, class) = described(text, key, flags).map_err(Incoming::Malformed)?;
            Ok(Line::Whole(Incoming::Request(request, class)))
        }
        (b"ms", [key, length, flags @ ..]) => {
            // Without a length nobody can tell where the value ends.
            let length = number(length).ok_or(Incoming::Lost("CLIENT_ERROR bad data chunk"))?;
            let length = usize::try_from(length).unwrap_or(usize::MAX);
            if length > MAX_LONG {
                return Ok(Line::TooLarge(length));
            }
            // The value follows all the same, and read as a line it would be another error.
            let (request, class) = described(text, key, flags).map_err(Incoming::Lost)?;
            Ok(Line::Write(request, class, length))
        }
        (b"mg" | b"ms", _) => Err(Incoming::Malformed("CLIENT_ERROR bad command line format")),
        _ => Err(Incoming::Malformed("ERROR")),
    }
}

fn described(text: &Bytes, key: &[u8], flags: &[&[u8]]) -> Result<(Box<ClientRequest>, Bytes), &'static str> {
    let find = |name: u8| flags.iter().find(|f| f[0] == name).map(|f| text.slice_ref(&f[1..]));
    if key.len() > MAX_KEY {
        return Err("CLIENT_ERROR key too long");
    }
    let id = find(b'O').filter(|id| !id.is_empty()).ok_or("CLIENT_ERROR no id")?;
    let list = find(b'P').unwrap_or_default();
    let mut properties = Vec::new();
    for item in list.split(|b| *b == b',').filter(|item| !item.is_empty()) {
        let (name, value) = property.parse(item).map_err(|_| "CLIENT_ERROR bad properties")?;
        properties.push((list.slice_ref(name), list.slice_ref(value)));
    }
    let value_of = |name: &[u8]| properties.iter().find(|(n, _)| n == name).map(|(_, v)| v.clone());
    let wait = value_of(b"d").ok_or("CLIENT_ERROR no deadline")?;
    let wait = Some(from_ms(number(&wait).ok_or("CLIENT_ERROR bad properties")?));
    let class = value_of(b"c").unwrap_or_default();
    let retry = value_of(b"r").is_some_and(|mark| mark.as_ref() == b"1");
    let request = ClientRequest {
        id,
        key: text.slice_ref(key),
        value: None,
        upload: None,
        class: 0,
        tenant: 0,
        retry,
        wait,
        properties,
    };
    Ok((Box::new(request), class))
}

/// Writes a final answer to a client.
pub fn write_answer(out: &mut BytesMut, id: &[u8], answer: &Answer) {
    match answer {
        Answer::Value(value) => {
            out.put_slice(format!("VA {} O", value.len()).as_bytes());
            out.put_slice(id);
            out.put_slice(b"\r\n");
            out.put_slice(value);
        }
        Answer::Streamed(long) => {
            // The value follows by pieces, and then the end of its line.
            out.put_slice(format!("VA {} O", long.length()).as_bytes());
            out.put_slice(id);
        }
        Answer::Receipt(receipt) => {
            out.put_slice(b"HD O");
            out.put_slice(id);
            out.put_slice(b" c");
            out.put_slice(receipt);
        }
        Answer::Rejected(Micros(0)) => out.put_slice(b"SERVER_ERROR busy"),
        Answer::Rejected(wait) => out.put_slice(format!("SERVER_ERROR busy {}", to_ms(*wait)).as_bytes()),
        Answer::Failed => out.put_slice(b"SERVER_ERROR failed"),
    }
    out.put_slice(b"\r\n");
}

/// The list of names and values as it came, but for `d`, which tells the wait that is left.
pub fn write_properties(out: &mut BytesMut, request: &ClientRequest, wait: Micros) {
    for (place, (name, value)) in request.properties.iter().enumerate() {
        if place > 0 {
            out.put_u8(b',');
        }
        out.put_slice(name);
        out.put_u8(b'=');
        if name.as_ref() == b"d" {
            out.put_slice(to_ms(wait).max(1).to_string().as_bytes());
        } else {
            out.put_slice(value);
        }
    }
}

/// Writes a request to a cache server.
pub fn write_command(out: &mut BytesMut, request: &ClientRequest, wait: Micros) {
    out.put_slice(if request.value.is_some() { b"ms " } else { b"mg " });
    out.put_slice(&request.key);
    match &request.value {
        Some(value) => out.put_slice(format!(" {}", value.len()).as_bytes()),
        None => out.put_slice(b" v"),
    }
    out.put_slice(b" O");
    out.put_slice(&request.id);
    if !request.properties.is_empty() {
        out.put_slice(b" P");
        write_properties(out, request, wait);
    }
    out.put_slice(b"\r\n");
    if let Some(value) = &request.value {
        out.put_slice(value);
        out.put_slice(b"\r\n");
    }
}

/// A cache server's answer, as far as it has come.
#[derive(Debug, PartialEq)]
pub enum Answered {
    /// Whole.
    Whole(Reply),
    /// The line of a value that goes on while it comes: its length, and what takes the rest off the input.
    Streamed(usize, Rest),
}

/// The rest of a long value whose line has been read.
#[derive(Debug, PartialEq)]
pub struct Rest(usize);

impl Rest {
    /// Takes off what has come of the value, and tells whether its end has been seen. An error if something else
    /// stands there.
    pub fn take(&mut self, input: &mut BytesMut) -> Result<(Bytes, bool), String> {
        let piece = input.split_to(self.0.min(input.len())).freeze();
        self.0 -= piece.len();
        if self.0 > 0 || input.len() < 2 {
            return Ok((piece, false));
        }
        if &input[..2] != b"\r\n" {
            return Err("a value without its end".into());
        }
        input.advance(2);
        Ok((piece, true))
    }
}

/// A receipt as it may stand in an answer's line, where it is one word: with anything else in it the line would be another
/// answer to its client, or several.
pub fn receipt(text: &[u8]) -> Option<Bytes> {
    let word = (1..=MAX_RECEIPT).contains(&text.len()) && text.iter().all(u8::is_ascii_graphic);
    word.then(|| Bytes::copy_from_slice(text))
}

/// Takes a cache server's answer to this request off the input, a value only once it is whole: none until then, an
/// error when it cannot be one.
pub fn answer(input: &mut BytesMut, request: &ClientRequest) -> Result<Option<Reply>, String> {
    match answered(input, request)? {
        Some(Answered::Whole(reply)) => Ok(Some(reply)),
        Some(Answered::Streamed(length, _)) => {
            Err(format!("a value of {length} bytes, too long to be taken whole"))
        }
        None => Ok(None),
    }
}

/// Takes a cache server's answer to this request off the input, of a long value its line: none until it is whole, an
/// error when it cannot be one.
pub fn answered(input: &mut BytesMut, request: &ClientRequest) -> Result<Option<Answered>, String> {
    let Some((bare, whole)) = line_end(input) else {
        return if input.len() > MAX_LINE { Err("an answer's line has no end".into()) } else { Ok(None) };
    };
    // The log shows the beginning of what made no sense, not all of it.
    let shown = |text: &[u8]| format!("{:?}", String::from_utf8_lossy(&text[..text.len().min(80)]));
    let strange = |text: &[u8]| format!("not an answer: {}", shown(text));
    let text = &input[..bare];
    let (name, flags) = told.parse(text).map_err(|_| strange(text))?;
    let flag = |name: u8| flags.iter().find(|f| f[0] == name).map(|f| &f[1..]);
    if matches!(name, b"VA" | b"HD" | b"EN") && flag(b'O') != Some(&request.id[..]) {
        return Err(format!("an answer for another id: {}", shown(text)));
    }
    let write = request.value.is_some();
    let mut value = None;
    let reply = match (name, flags.first().copied()) {
        (b"VA", Some(length)) if !write => {
            let length = number(length).and_then(|n| usize::try_from(n).ok()).ok_or_else(|| strange(text))?;
            // A value far too long is refused at its line: it would keep coming and fill the memory.
            if length > MAX_LONG {
                return Err(strange(text));
            }
            if length > MAX_VALUE {
                input.advance(whole);
                return Ok(Some(Answered::Streamed(length, Rest(length))));
            }
            if input.len() < whole + length + 2 {
                return Ok(None);
            }
            if &input[whole + length..whole + length + 2] != b"\r\n" {
                return Err("a value without its end".into());
            }
            value = Some(length);
            None
        }
        (b"HD", _) if write => {
            let receipt = flag(b'c').and_then(receipt).ok_or_else(|| strange(text))?;
            Some(Reply::Served(Answer::Receipt(receipt)))
        }
        (b"EN", _) => Some(Reply::Miss { fetch_in_progress: flags.contains(&&b"Z"[..]) }),
        (b"SERVER_ERROR", Some(b"failed")) => Some(Reply::Error),
        (b"SERVER_ERROR", Some(b"busy")) => Some(Reply::Rejected),
        _ => return Err(strange(text)),
    };
    input.advance(whole);
    if let Some(length) = value {
        let value = input.split_to(length).freeze();
        input.advance(2);
        return Ok(Some(Answered::Whole(Reply::Served(Answer::Value(value)))));
    }
    Ok(reply.map(Answered::Whole))
}

/// Writes a cache server's answer, which [`answer`] reads. `hit` tells how a read went where servers tell that,
/// and `load` is the report that may end the line.
pub fn write_reply(out: &mut BytesMut, id: &[u8], reply: &Reply, hit: Option<bool>, load: Option<&str>) {
    let named = |out: &mut BytesMut| {
        out.put_slice(b" O");
        out.put_slice(id);
    };
    match reply {
        Reply::Served(Answer::Value(value)) => {
            out.put_slice(format!("VA {}", value.len()).as_bytes());
            named(out);
        }
        Reply::Served(Answer::Receipt(receipt)) => {
            out.put_slice(b"HD");
            named(out);
            out.put_slice(b" c");
            out.put_slice(receipt);
        }
        Reply::Miss { .. } => {
            out.put_slice(b"EN");
            named(out);
        }
        Reply::Rejected => out.put_slice(b"SERVER_ERROR busy"),
        Reply::Error | Reply::Served(_) => out.put_slice(b"SERVER_ERROR failed"),
    }
    if let Some(hit) = hit {
        out.put_slice(if hit { b" h1" } else { b" h0" });
    }
    if matches!(reply, Reply::Miss { fetch_in_progress: true }) {
        out.put_slice(b" Z");
    }
    if let Some(load) = load {
        out.put_slice(b" L");
        out.put_slice(load.as_bytes());
    }
    out.put_slice(b"\r\n");
    if let Reply::Served(Answer::Value(value)) = reply {
        out.put_slice(value);
        out.put_slice(b"\r\n");
    }
}

/// Takes a balancer's answer to this request off the input, as its client reads it: none until it is whole, an
/// error when it cannot be one.
pub fn client_answer(input: &mut BytesMut, request: &ClientRequest) -> Result<Option<Answer>, String> {
    let Some((bare, whole)) = line_end(input) else {
        return if input.len() > MAX_LINE { Err("an answer's line has no end".into()) } else { Ok(None) };
    };
    let told: Vec<&[u8]> = input[..bare].split(|b| *b == b' ').filter(|word| !word.is_empty()).collect();
    let plain = match told[..] {
        [b"SERVER_ERROR", b"busy"] => Answer::Rejected(Micros(0)),
        [b"SERVER_ERROR", b"busy", ms] => Answer::Rejected(number(ms).map_or(Micros(0), from_ms)),
        [b"VA" | b"HD", ..] => {
            return Ok(answer(input, request)?.map(|reply| match reply {
                Reply::Served(answer) => answer,
                _ => Answer::Failed,
            }));
        }
        _ => Answer::Failed,
    };
    input.advance(whole);
    Ok(Some(plain))
}

#[cfg(test)]
mod tests {
    use super::*;

    fn all(text: &[u8], cut: usize) -> Vec<Incoming> {
        let (mut requests, mut input, mut found) = (RequestReader::default(), BytesMut::new(), Vec::new());
        for piece in text.chunks(cut) {
            input.extend_from_slice(piece);
            while let Some(incoming) = requests.next(&mut input) {
                found.push(incoming);
            }
        }
        assert!(input.is_empty() && !requests.unfinished());
        found
    }

    #[test]
    fn commands_are_found_in_whatever_pieces_they_come() {
        let text = b"mg 7f3a v O9b1f Pc=read,d=480,r=1\r\nmn\r\nms 7f3a 7 O9b20 Pc=put,d=480,k=5c\r\na\r\nmn\r\n\r\n";
        let whole = all(text, text.len());
        for cut in 1..text.len() {
            assert_eq!(all(text, cut), whole);
        }
        let [Incoming::Request(read, class), Incoming::Ready, Incoming::Request(write, _)] = &whole[..]
        else {
            panic!("{whole:?}")
        };
        assert_eq!(
            (&class[..], &read.id[..], read.wait),
            (&b"read"[..], &b"9b1f"[..], Some(Micros(480_000)))
        );
        assert_eq!(write.value.as_deref(), Some(&b"a\r\nmn\r\n"[..7]));
    }

    #[test]
    fn a_command_passes_on_unchanged_but_for_the_wait() {
        let text = b"ms 7f3a 5 O9b20 Pc=put,x=a=b,d=480,k=5c\r\nhello\r\n";
        let Incoming::Request(request, _) = all(text, 3).remove(0) else { panic!() };
        let mut out = BytesMut::new();
        write_command(&mut out, &request, Micros(120_001));
        assert_eq!(out, b"ms 7f3a 5 O9b20 Pc=put,x=a=b,d=121,k=5c\r\nhello\r\n"[..]);
    }

    #[test]
    fn bad_input_is_told_and_harms_nothing_behind_it() {
        let long = [b"mg ".to_vec(), vec![b'k'; 300], b" v O1 Pd=1\r\nmn\r\n".to_vec()].concat();
        assert_eq!(all(&long, 64), [Incoming::Malformed("CLIENT_ERROR key too long"), Incoming::Ready]);
        let line = format!("ms k {} O1 Pd=1\r\n", MAX_LONG + 1);
        let large = [line.into_bytes(), vec![b'\n'; MAX_LONG + 3], b"mn\r\n".to_vec()].concat();
        let told = Incoming::Malformed("SERVER_ERROR object too large for cache");
        assert_eq!(all(&large, 4096), [told, Incoming::Ready]);
        assert_eq!(all(b"mg k v O1 Pd=x\r\n", 99), [Incoming::Malformed("CLIENT_ERROR bad properties")]);
        assert_eq!(all(b"\r\n\xff\r\n", 99), [Incoming::Malformed("ERROR"), Incoming::Malformed("ERROR")]);
        assert_eq!(all(b"ms k five O1\r\n", 99), [Incoming::Lost("CLIENT_ERROR bad data chunk")]);
        let (mut requests, mut input) = (RequestReader::default(), BytesMut::from(&[b'x'; MAX_LINE + 1][..]));
        assert_eq!(requests.next(&mut input), Some(Incoming::Lost("CLIENT_ERROR line too long")));
    }

    #[test]
    fn an_answer_waits_for_its_last_byte() {
        let Incoming::Request(request, _) = all(b"mg k v O1 Pd=9\r\n", 99).remove(0) else { panic!() };
        let text = b"VA 4 O1 h1 Lqps=7,queue=2\r\n\r\n\r\n\r\nEN";
        for end in 0..text.len() - 2 {
            assert_eq!(answer(&mut BytesMut::from(&text[..end]), &request), Ok(None));
        }
        let mut input = BytesMut::from(&text[..]);
        let value = Answer::Value(Bytes::from_static(b"\r\n\r\n"));
        assert_eq!(answer(&mut input, &request), Ok(Some(Reply::Served(value))));
        assert_eq!(input, b"EN"[..]);
    }

    #[test]
    fn a_rejected_tells_when_to_come_back() {
        let mut out = BytesMut::new();
        write_answer(&mut out, b"1", &Answer::Rejected(Micros(1)));
        write_answer(&mut out, b"1", &Answer::Rejected(Micros(0)));
        assert_eq!(out, b"SERVER_ERROR busy 1\r\nSERVER_ERROR busy\r\n"[..]);
    }
}
