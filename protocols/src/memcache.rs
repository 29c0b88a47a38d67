//! Codec for the meta commands of the memcache text protocol, without I/O.
//!
//! [`RequestReader`] reads the requests of clients, and [`write_answer`] writes the answers. [`write_request`] forwards
//! a request to a cache server, and [`read_response`] reads the server's reply.
//!
//! Guarantee: no input from a peer makes a codec panic or buffer more than a line and a value. Malformed input yields an
//! error, or an answer that reports the error.

mod answer_writer;
mod line;
mod request_reader;
mod request_writer;
mod response_reader;

pub use answer_writer::{write_answer, write_reply, write_value_head};
pub use line::parse_decimal;
pub use request_reader::{Incoming, RequestReader};
pub use request_writer::{write_properties, write_request, write_request_line};
pub use response_reader::{
    parse_receipt, read_answer, read_reply, read_response, RemainingValue, Response, ResponseError,
};

/// Maximum length of a line in bytes; a key, an id and a few properties are far shorter.
pub const MAX_LINE_BYTES: usize = 4096;
/// Maximum length in bytes of a value that is buffered before it is forwarded.
pub const MAX_BUFFERED_VALUE_BYTES: usize = 64 * 1024;
/// Maximum length of a value in bytes; a value longer than [`MAX_BUFFERED_VALUE_BYTES`] is streamed.
pub const MAX_VALUE_BYTES: usize = 4 * 1024 * 1024;
/// Maximum length in bytes of a rejected value that is skipped to keep the connection usable.
const MAX_SKIPPED_BYTES: usize = 2 * MAX_VALUE_BYTES;
/// Maximum length of a key in bytes, as in memcache.
const MAX_KEY_BYTES: usize = 250;
/// Maximum length of a receipt in bytes; with an id of the same length it fits into the longest line.
const MAX_RECEIPT_BYTES: usize = 1024;
/// The answer to a rejected request; a Retry-After delay in milliseconds may follow.
pub const BUSY: &str = "SERVER_ERROR busy";
/// The answer to a write whose value exceeds [`MAX_VALUE_BYTES`].
pub const VALUE_TOO_LARGE: &str = "SERVER_ERROR object too large for cache";
/// Terminates each line written, and each value.
pub const LINE_END: &[u8] = b"\r\n";

#[cfg(test)]
mod tests;
