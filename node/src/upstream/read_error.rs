//! Why a response cannot be read from a server's connection.

use thiserror::Error;

use crate::{http, memcache};

/// What is malformed in a response. Its connection closes.
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
    /// The origin's body is longer than what is buffered.
    #[error("the body is longer than what is buffered and cannot be streamed")]
    UnstreamableBodyTooLong,
    /// Something else than another response stands behind the origin's body.
    #[error("unexpected bytes after the body")]
    TrailingBytes,
}

/// Why there is no complete response.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub(super) enum ReadError {
    /// A connection ended: the server's, or that of the client for whom a value is streamed.
    #[error("a connection ended")]
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
