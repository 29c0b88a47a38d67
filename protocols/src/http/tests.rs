use bytes::{Bytes, BytesMut};
use juniperladder::Micros;
use juniperladder_dispatch::values::{Answer, Reply};

use super::*;
use juniperladder_dispatch::testing::request;

fn read(text: &[u8], piece_bytes: usize) -> Result<Response, ResponseError> {
    let (mut response, mut input) = (Response::default(), BytesMut::new());
    for piece in text.chunks(piece_bytes) {
        input.extend_from_slice(piece);
        response.read(&mut input)?;
    }
    assert!(!response.is_complete || input.is_empty());
    Ok(response)
}

#[test]
fn bodies_of_either_framing_are_read_from_pieces_of_any_size() {
    let plain = &b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\nEndpoint-Load-Metrics: qps=7\r\n\r\nhello"[..];
    let chunked =
        &b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhe\r\n3;x=y\r\nllo\r\n0\r\nA: b\r\n\r\n"
            [..];
    for text in [plain, chunked] {
        for piece_bytes in 1..text.len() {
            let response = read(text, piece_bytes).unwrap();
            assert!(response.is_complete && response.body == b"hello"[..], "pieces of {piece_bytes} bytes");
        }
        assert!(!read(&text[..text.len() - 1], 7).unwrap().is_complete);
    }
}

#[test]
fn a_body_without_a_length_is_complete_when_the_connection_ends() {
    let mut response = read(b"HTTP/1.1 200 OK\r\n\r\nhello", 4).unwrap();
    assert!(!response.is_complete);
    response.on_connection_ended();
    assert!(response.is_complete && response.head.unwrap().closes_connection);
}

#[test]
fn a_malformed_response_is_rejected() {
    for text in [
        &b"SSH-2.0\r\n\r\n"[..],
        b"HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nab\r\n",
    ] {
        assert!(read(text, 99).is_err());
    }
}

/// Guards against a part of a value that is served as the whole: two readers of these heads would see different bodies.
#[test]
fn a_response_with_ambiguous_framing_is_rejected() {
    for headers in [
        "Content-Length: 3\r\nContent-Length: 5",
        "Content-Length: 3, 5",
        "Content-Length: 5\r\nTransfer-Encoding: chunked",
        "Transfer-Encoding: chunked\r\nContent-Length: 5",
        "Transfer-Encoding: gzip, chunked",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
        "Transfer-Encoding: gzip",
        "Content-Length: 5\r\nX-Trace-Id: a\r\nX-Trace-Id: b",
    ] {
        let text = format!("HTTP/1.1 200 OK\r\n{headers}\r\n\r\nhello");
        assert!(matches!(read(text.as_bytes(), 99), Err(ResponseError::MalformedHead(_))), "{headers}");
    }
    for chunk_line in ["5 3", "5x", "5,3", "0x5", "+5", " 5"] {
        let text = format!(
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{chunk_line}\r\nhello\r\n0\r\n\r\n"
        );
        assert_eq!(read(text.as_bytes(), 99).unwrap_err(), ResponseError::MalformedChunkSize, "{chunk_line}");
    }
}

#[test]
fn a_length_that_is_stated_twice_alike_is_accepted() {
    for headers in ["Content-Length: 5\r\nContent-Length: 5", "Content-Length: 5, 5"] {
        let response = read(format!("HTTP/1.1 200 OK\r\n{headers}\r\n\r\nhello").as_bytes(), 99).unwrap();
        assert!(response.is_complete && response.body == b"hello"[..], "{headers}");
    }
}

#[test]
fn the_origins_status_maps_to_the_reply() {
    let reply_for_write_request = |text: &[u8]| read(text, 99).unwrap().reply(true).unwrap();
    let receipt = Reply::Served(Answer::Receipt(Bytes::from_static(b"r1")));
    assert_eq!(reply_for_write_request(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nr1"), receipt);
    assert_eq!(reply_for_write_request(b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"), Reply::Error);
    assert_eq!(reply_for_write_request(b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n"), Reply::Error);
    assert_eq!(
        reply_for_write_request(b"HTTP/1.1 504 No\r\nx-never-ran: 1\r\nContent-Length: 0\r\n\r\n"),
        Reply::Rejected
    );
}

/// A receipt is written into the answer line to the client. Guards against a receipt that is empty, too long for that
/// line, or would add tokens or answers to it. The same body is a valid value of a read.
#[test]
fn a_receipt_that_is_not_one_token_of_valid_length_is_rejected() {
    for body in ["", "r1 r2", "r1\r\n", "r1\nHD O8 cr2", "r1\u{7f}", "r1\u{e9}", &"r".repeat(5000)] {
        let text = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        let mut response = read(text.as_bytes(), 99).unwrap();
        assert!(response.is_complete && response.reply(true).is_err(), "{body:?}");
        assert!(matches!(response.reply(false), Ok(Reply::Served(Answer::Value(_)))), "{body:?}");
    }
}

#[test]
fn a_request_to_the_origin_contains_its_key_and_id() {
    let mut output = BytesMut::new();
    let mut write = request("9b", Some(b"v\r\n".to_vec()));
    write.key = Bytes::from_static(b"a/b?c%");
    write_request(&mut output, &write, "127.0.0.1:1", Micros(79_500));
    let expected =
        "PUT /a/b%3Fc%25 HTTP/1.1\r\nHost: 127.0.0.1:1\r\nX-Trace-Id: 9b\r\nX-Props: c=read,d=80\r\n\
        Content-Length: 3\r\n\r\nv\r\n";
    assert_eq!(output, expected.as_bytes());
}
