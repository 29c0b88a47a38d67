//! Streamed values on their way from a server to a client, chunk by chunk, as fast as the client takes them.
//!
//! Guarantee: the client gets the last byte only when the server has ended the value as its protocol says, so that one
//! that broke off is never complete.

use std::time::Duration;

use bytes::{BufMut, Bytes, BytesMut};
use juniperladder_dispatch::streamed_value::{ChunkSender, ReceiverGone};
use tokio::io::{AsyncRead, AsyncReadExt};
use tokio::time::timeout;

use super::read_error::{MalformedResponse, ReadError};
use super::READ_BYTES;
use crate::{http, memcache};

/// How long a server may bring nothing more of a value that it has begun to give: it may stand still, and one that
/// vanished says nothing for ever.
pub(super) const STALL_TIMEOUT: Duration = Duration::from_secs(10);

/// The body of a streamed value, in the server's protocol.
pub(super) enum ValueBody {
    /// Of a cache server.
    Memcache(memcache::RemainingValue),
    /// Of the origin.
    Http(http::Response),
}

impl ValueBody {
    /// Takes off what has come of the value, and returns whether its end has been seen.
    fn take(&mut self, input: &mut BytesMut) -> Result<(Bytes, bool), ReadError> {
        match self {
            ValueBody::Memcache(remaining) => Ok(remaining.take(input)?),
            ValueBody::Http(response) => {
                response.read(input)?;
                Ok((response.body.split().freeze(), response.is_complete))
            }
        }
    }

    /// Whether its connection ends with it.
    pub(super) fn closes_connection(&self) -> bool {
        match self {
            ValueBody::Memcache(_) => false,
            ValueBody::Http(response) => response.closes_connection(),
        }
    }
}

impl From<ReceiverGone> for ReadError {
    fn from(_: ReceiverGone) -> ReadError {
        ReadError::Disconnected
    }
}

/// Passes a streamed value on until its end, so many bytes at once.
///
/// # Errors
/// It broke off: a connection ended, the server's or the client's, or the value is malformed. The client has not had its
/// last byte then.
pub(super) async fn forward_value<S: AsyncRead + Unpin>(
    stream: &mut S,
    input: &mut BytesMut,
    body: &mut ValueBody,
    mut sender: ChunkSender,
    chunk_bytes: usize,
) -> Result<(), ReadError> {
    loop {
        let (chunk, is_complete) = body.take(input)?;
        sender.send(chunk).await?;
        if is_complete {
            if matches!(body, ValueBody::Http(_)) {
                check_nothing_behind(stream, input).await?;
            }
            return Ok(sender.finish().await?);
        }
        input.reserve(chunk_bytes);
        let mut limited = (&mut *input).limit(chunk_bytes);
        let read = tokio::select! {
            read = timeout(STALL_TIMEOUT, stream.read_buf(&mut limited)) => read,
            () = sender.wait_for_receiver_gone() => return Err(ReadError::Disconnected),
        };
        if !matches!(read, Ok(Ok(1..))) {
            return Err(ReadError::Disconnected);
        }
    }
}

/// Checks what stands behind a response of the origin. A length that is too short leaves the rest of the body there, which
/// cannot be distinguished from garbage behind a well-formed response: only the beginning of another one is neither.
///
/// # Errors
/// Something else stands there, or the connection broke.
pub(super) async fn check_nothing_behind<S: AsyncRead + Unpin>(
    stream: &mut S,
    input: &mut BytesMut,
) -> Result<(), ReadError> {
    input.reserve(READ_BYTES);
    // What has come already is taken in, without waiting for more.
    tokio::select! {
        biased;
        read = stream.read_buf(input) => {
            read.map_err(|_| ReadError::Disconnected)?;
        }
        () = std::future::ready(()) => {}
    }
    if http::may_begin_response(input) {
        Ok(())
    } else {
        Err(MalformedResponse::TrailingBytes.into())
    }
}

#[cfg(test)]
mod tests;
