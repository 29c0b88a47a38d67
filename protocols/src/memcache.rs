//! The meta commands of the memcache text protocol: bytes to values and back, without I/O.
//!
//! Clients send requests, which [`RequestReader`] finds in the bytes as they come; the answers to them are written by
//! [`write_answer`]. The same requests go on to cache servers by [`write_request`], whose replies [`read_response`] reads.
//!
//! Guarantee: nothing that a peer sends makes a codec panic or buffer more than a line and a value; what is malformed is an
//! error or an answer that says so.

mod answer_writer;
mod line;
mod request_reader;
mod request_writer;
mod response_reader;

pub use answer_writer::{write_answer, write_reply};
pub use line::parse_decimal;
pub use request_reader::{Incoming, RequestReader};
pub use request_writer::{write_properties, write_request};
pub use response_reader::{
    parse_receipt, read_answer, read_reply, read_response, RemainingValue, Response, ResponseError,
};

/// The longest line in bytes; a key, an id and a few properties are far shorter.
const MAX_LINE_BYTES: usize = 4096;
/// The longest value in bytes that is buffered before it is forwarded.
pub const MAX_BUFFERED_VALUE_BYTES: usize = 64 * 1024;
/// The longest value in bytes: one over [`MAX_BUFFERED_VALUE_BYTES`] is streamed.
pub const MAX_VALUE_BYTES: usize = 4 * 1024 * 1024;
/// The longest value in bytes that is skipped to keep a connection in step.
const MAX_SKIPPED_BYTES: usize = 2 * MAX_VALUE_BYTES;
/// The longest key in bytes, as memcache has it.
const MAX_KEY_BYTES: usize = 250;
/// The longest receipt in bytes: with an id as long it fits into the longest line.
const MAX_RECEIPT_BYTES: usize = 1024;
/// The answer to a request that was rejected; how long to wait may follow.
pub const BUSY: &str = "SERVER_ERROR busy";
/// The answer to a write whose value is longer than any that is taken.
pub const VALUE_TOO_LARGE: &str = "SERVER_ERROR object too large for cache";
/// What ends a line that is written, and a value.
const LINE_END: &[u8] = b"\r\n";

#[cfg(test)]
mod tests;
