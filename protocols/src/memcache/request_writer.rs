//! Writes requests to cache servers.

use bytes::{BufMut, BytesMut};
use juniperladder::Micros;
use juniperladder_dispatch::clock::to_ms;
use juniperladder_dispatch::request::ClientRequest;

use super::LINE_END;

/// Writes a request to a cache server, with the time left until its deadline.
pub fn write_request(output: &mut BytesMut, request: &ClientRequest, time_left: Micros) {
    write_request_line(output, request, time_left);
    if let Some(value) = &request.value {
        output.put_slice(value);
        output.put_slice(LINE_END);
    }
}

/// Writes the line of a request to a cache server; the value of a write and [`LINE_END`] have to follow.
pub fn write_request_line(output: &mut BytesMut, request: &ClientRequest, time_left: Micros) {
    output.put_slice(if request.value.is_some() { b"ms " } else { b"mg " });
    output.put_slice(&request.key);
    match &request.value {
        Some(value) => output.put_slice(format!(" {}", value.len()).as_bytes()),
        None => output.put_slice(b" v"),
    }
    output.put_slice(b" O");
    output.put_slice(&request.id);
    if !request.properties.is_empty() {
        output.put_slice(b" P");
        write_properties(output, request, time_left);
    }
    output.put_slice(LINE_END);
}

/// Writes the request's properties as received, except `d`, which becomes the time left in milliseconds,
/// at least 1.
pub fn write_properties(output: &mut BytesMut, request: &ClientRequest, time_left: Micros) {
    for (position, (name, value)) in request.properties.iter().enumerate() {
        if position > 0 {
            output.put_u8(b',');
        }
        output.put_slice(name);
        output.put_u8(b'=');
        if name.as_ref() == b"d" {
            output.put_slice(to_ms(time_left).max(1).to_string().as_bytes());
        } else {
            output.put_slice(value);
        }
    }
}
