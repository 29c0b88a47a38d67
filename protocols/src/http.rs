//! HTTP/1.1 as the origin and discovery speak it: bytes to values and back, without I/O.
//!
//! Guarantee: nothing that a peer sends makes the codec panic, and the head of a response is bounded. The body is not: the
//! caller takes from it, or ends the connection.

mod request_writer;
mod response;

pub use request_writer::{write_discovery_call, write_request, write_request_head};
pub use response::{may_begin_response, Head, Response, ResponseError};

#[cfg(test)]
mod tests;
