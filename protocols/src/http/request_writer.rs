//! Writes requests to the origin and to discovery.

use bytes::{BufMut, Bytes, BytesMut};
use juniperladder::Micros;
use juniperladder_dispatch::request::ClientRequest;

use crate::memcache::write_properties;

/// Graphic ASCII characters that would end a path or are not allowed in a URI.
const ESCAPED_IN_PATH: &[u8] = b"%?#\"<>\\^`{|}";

/// Writes a request to the origin, with the time left until its deadline.
pub fn write_request(output: &mut BytesMut, request: &ClientRequest, host: &str, time_left: Micros) {
    write_request_head(output, request, host, time_left, request.value.as_ref().map(Bytes::len));
    if let Some(value) = &request.value {
        output.put_slice(value);
    }
}

/// Writes the head of a request to the origin. The request is a write if it has a value length; the value has to follow.
pub fn write_request_head(
    output: &mut BytesMut,
    request: &ClientRequest,
    host: &str,
    time_left: Micros,
    value_length: Option<usize>,
) {
    output.put_slice(if value_length.is_some() { b"PUT /" } else { b"GET /" });
    write_path(output, &request.key);
    output.put_slice(format!(" HTTP/1.1\r\nHost: {host}\r\nX-Trace-Id: ").as_bytes());
    output.put_slice(&request.id);
    output.put_slice(b"\r\nX-Props: ");
    write_properties(output, request, time_left);
    if let Some(length) = value_length {
        output.put_slice(format!("\r\nContent-Length: {length}").as_bytes());
    }
    output.put_slice(b"\r\n\r\n");
}

fn write_path(output: &mut BytesMut, key: &[u8]) {
    for byte in key {
        if byte.is_ascii_graphic() && !ESCAPED_IN_PATH.contains(byte) {
            output.put_u8(*byte);
        } else {
            output.put_slice(format!("%{byte:02X}").as_bytes());
        }
    }
}

/// Writes a request to discovery.
pub fn write_discovery_request(output: &mut BytesMut, path: &str, host: &str) {
    let request = format!("GET {path} HTTP/1.1\r\nHost: {host}\r\nAccept: application/json\r\n\r\n");
    output.put_slice(request.as_bytes());
}
