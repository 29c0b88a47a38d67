//! Writes answers to clients, and replies in the form of cache servers.

use bytes::{BufMut, BytesMut};
use juniperladder::Micros;
use juniperladder_dispatch::clock::to_ms;
use juniperladder_dispatch::values::{Answer, Reply};

use super::{BUSY, LINE_END};

/// Writes a final answer to a client. For a streamed value only the line before the value is written; the caller
/// sends the chunks and a line end after it.
pub fn write_answer(output: &mut BytesMut, id: &[u8], answer: &Answer) {
    match answer {
        Answer::Value(value) => {
            write_value_head(output, id, value.len());
            output.put_slice(value);
        }
        Answer::Streamed(value) => return write_value_head(output, id, value.length()),
        Answer::Receipt(receipt) => write_receipt(output, id, receipt),
        Answer::Rejected(Micros(0)) => output.put_slice(BUSY.as_bytes()),
        Answer::Rejected(retry_after) => {
            output.put_slice(format!("{BUSY} {}", to_ms(*retry_after)).as_bytes());
        }
        Answer::Failed => output.put_slice(b"SERVER_ERROR failed"),
    }
    output.put_slice(LINE_END);
}

/// Writes the line before a value of this length; the caller sends the value and [`LINE_END`] after it.
pub fn write_value_head(output: &mut BytesMut, id: &[u8], length: usize) {
    write_value_line(output, id, length);
    output.put_slice(LINE_END);
}

/// Writes a cache server's reply, which [`super::read_reply`] reads. `hit` states whether a read was a hit, if the
/// server reports that; `load` is an optional load report at the end of the line.
pub fn write_reply(output: &mut BytesMut, id: &[u8], reply: &Reply, hit: Option<bool>, load: Option<&str>) {
    match reply {
        Reply::Served(Answer::Value(value)) => write_value_line(output, id, value.len()),
        Reply::Served(Answer::Receipt(receipt)) => write_receipt(output, id, receipt),
        Reply::Miss { .. } => {
            output.put_slice(b"EN");
            write_id(output, id);
        }
        Reply::Rejected => output.put_slice(BUSY.as_bytes()),
        Reply::Error | Reply::Served(_) => output.put_slice(b"SERVER_ERROR failed"),
    }
    if let Some(hit) = hit {
        output.put_slice(if hit { b" h1" } else { b" h0" });
    }
    if matches!(reply, Reply::Miss { fetch_in_progress: true }) {
        output.put_slice(b" Z");
    }
    if let Some(load) = load {
        output.put_slice(b" L");
        output.put_slice(load.as_bytes());
    }
    output.put_slice(LINE_END);
    if let Reply::Served(Answer::Value(value)) = reply {
        output.put_slice(value);
        output.put_slice(LINE_END);
    }
}

fn write_value_line(output: &mut BytesMut, id: &[u8], length: usize) {
    output.put_slice(format!("VA {length}").as_bytes());
    write_id(output, id);
}

fn write_receipt(output: &mut BytesMut, id: &[u8], receipt: &[u8]) {
    output.put_slice(b"HD");
    write_id(output, id);
    output.put_slice(b" c");
    output.put_slice(receipt);
}

fn write_id(output: &mut BytesMut, id: &[u8]) {
    output.put_slice(b" O");
    output.put_slice(id);
}
