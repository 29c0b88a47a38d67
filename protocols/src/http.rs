//! HTTP/1.1 codec for the origin and discovery, without I/O.
//!
//! Guarantee: no input from a peer makes the codec panic, and the size of a response head is bounded. The body is not
//! bounded: the caller has to drain it or close the connection.

mod framing;
mod headers;
mod request_writer;
mod response;

pub use request_writer::{write_discovery_request, write_request, write_request_head};
pub use response::{may_begin_response, Head, Response, ResponseError};

#[cfg(test)]
mod tests;
