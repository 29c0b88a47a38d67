use bytes::{Bytes, BytesMut};
use juniperladder::Micros;
use juniperladder_dispatch::values::{Answer, Reply};

use super::*;

fn read_all(text: &[u8], piece_bytes: usize) -> Vec<Incoming> {
    let (mut requests, mut input, mut found) = (RequestReader::default(), BytesMut::new(), Vec::new());
    for piece in text.chunks(piece_bytes) {
        input.extend_from_slice(piece);
        while let Some(incoming) = requests.next(&mut input) {
            found.push(incoming);
        }
    }
    assert!(input.is_empty() && !requests.has_incomplete_request());
    found
}

#[test]
fn requests_are_read_from_pieces_of_any_size() {
    let text =
        b"mg 7f3a v O9b1f Pc=read,d=480,r=1\r\nmn\r\nms 7f3a 7 O9b20 Pc=put,d=480,k=5c\r\na\r\nmn\r\n\r\n";
    let incoming = read_all(text, text.len());
    for piece_bytes in 1..text.len() {
        assert_eq!(read_all(text, piece_bytes), incoming);
    }
    let [Incoming::Request { request: read, class }, Incoming::ReadinessCheck, Incoming::Request { request: write, .. }] =
        &incoming[..]
    else {
        panic!("{incoming:?}")
    };
    assert_eq!((&class[..], &read.id[..], read.timeout), (&b"read"[..], &b"9b1f"[..], Some(Micros(480_000))));
    assert_eq!(write.value.as_deref(), Some(&b"a\r\nmn\r\n"[..7]));
}

#[test]
fn a_request_is_forwarded_unchanged_except_for_the_time_left() {
    let text = b"ms 7f3a 5 O9b20 Pc=put,x=a=b,d=480,k=5c\r\nhello\r\n";
    let Incoming::Request { request, .. } = read_all(text, 3).remove(0) else { panic!() };
    let mut output = BytesMut::new();
    write_request(&mut output, &request, Micros(120_001));
    assert_eq!(output, b"ms 7f3a 5 O9b20 Pc=put,x=a=b,d=121,k=5c\r\nhello\r\n"[..]);
}

#[test]
fn malformed_input_is_answered_and_later_requests_are_read_unless_its_end_is_unknown() {
    let long = [b"mg ".to_vec(), vec![b'k'; 300], b" v O1 Pd=1\r\nmn\r\n".to_vec()].concat();
    assert_eq!(
        read_all(&long, 64),
        [Incoming::Malformed("CLIENT_ERROR key too long"), Incoming::ReadinessCheck]
    );
    let line = format!("ms k {} O1 Pd=1\r\n", MAX_VALUE_BYTES + 1);
    let large = [line.into_bytes(), vec![b'\n'; MAX_VALUE_BYTES + 3], b"mn\r\n".to_vec()].concat();
    let too_large = Incoming::Malformed("SERVER_ERROR object too large for cache");
    assert_eq!(read_all(&large, 4096), [too_large, Incoming::ReadinessCheck]);
    assert_eq!(read_all(b"mg k v O1 Pd=x\r\n", 99), [Incoming::Malformed("CLIENT_ERROR bad properties")]);
    assert_eq!(read_all(b"\r\n\xff\r\n", 99), [Incoming::Malformed("ERROR"), Incoming::Malformed("ERROR")]);
    assert_eq!(read_all(b"ms k five O1\r\n", 99), [Incoming::Unrecoverable("CLIENT_ERROR bad data chunk")]);
    let (mut requests, mut input) =
        (RequestReader::default(), BytesMut::from(&[b'x'; MAX_LINE_BYTES + 1][..]));
    assert_eq!(requests.next(&mut input), Some(Incoming::Unrecoverable("CLIENT_ERROR line too long")));
}

/// Guards against a line of a few bytes for each property that takes many times its length in memory.
#[test]
fn the_number_of_properties_is_bounded() {
    let line = |count: usize| format!("mg k v O1 Pd=1{}\r\n", ",a=".repeat(count - 1));
    assert!(matches!(&read_all(line(32).as_bytes(), 99)[..], [Incoming::Request { .. }]));
    let too_many = [Incoming::Malformed("CLIENT_ERROR bad properties")];
    assert_eq!(read_all(line(33).as_bytes(), 99), too_many);
}

#[test]
fn a_reply_is_read_only_once_complete() {
    let Incoming::Request { request, .. } = read_all(b"mg k v O1 Pd=9\r\n", 99).remove(0) else { panic!() };
    let text = b"VA 4 O1 h1 Lqps=7,queue=2\r\n\r\n\r\n\r\nEN";
    for end in 0..text.len() - 2 {
        assert_eq!(read_reply(&mut BytesMut::from(&text[..end]), &request), Ok(None));
    }
    let mut input = BytesMut::from(&text[..]);
    let value = Answer::Value(Bytes::from_static(b"\r\n\r\n"));
    assert_eq!(read_reply(&mut input, &request), Ok(Some(Reply::Served(value))));
    assert_eq!(input, b"EN"[..]);
}

#[test]
fn a_rejection_contains_the_retry_after_delay() {
    let mut output = BytesMut::new();
    write_answer(&mut output, b"1", &Answer::Rejected(Micros(1)));
    write_answer(&mut output, b"1", &Answer::Rejected(Micros(0)));
    assert_eq!(output, b"SERVER_ERROR busy 1\r\nSERVER_ERROR busy\r\n"[..]);
}
