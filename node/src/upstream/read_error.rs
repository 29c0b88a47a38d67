//! Errors in reading a response from a server's connection.

use thiserror::Error;

use crate::{http, memcache};

/// Why a response is malformed. Its connection closes.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub(super) enum MalformedResponse {
    /// A cache server's response.
    #[error(transparent)]
    Memcache(#[from] memcache::ResponseError),
    /// The origin's response.
    #[error(transparent)]
    Http(#[from] http::ResponseError),
    /// The origin's response names another request.
    #[error("the response names another request id")]
    OtherRequest,
    /// The origin's body exceeds the buffer limit and cannot be streamed.
    #[error("the body exceeds the buffer limit and cannot be streamed")]
    UnstreamableBodyTooLong,
    /// Bytes that do not begin another response follow the origin's body.
    #[error("unexpected bytes after the body")]
    TrailingBytes,
}

/// Why there is no complete response.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub(super) enum ReadError {
    /// The connection of the server ended, or that of the client to which a value is streamed.
    #[error("the connection of the server or of the client ended")]
    Disconnected,
    /// The response is malformed.
    #[error(transparent)]
    Malformed(#[from] MalformedResponse),
}

impl From<memcache::ResponseError> for ReadError {
    fn from(error: memcache::ResponseError) -> ReadError {
        ReadError::Malformed(error.into())
    }
}

impl From<http::ResponseError> for ReadError {
    fn from(error: http::ResponseError) -> ReadError {
        ReadError::Malformed(error.into())
    }
}
