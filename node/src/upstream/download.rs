//! Streams values from a server to a client, chunk by chunk, as fast as the client reads them.
//!
//! Guarantee: the client gets the last byte only when the server has ended the value as its protocol
//! requires, so that the client never takes an interrupted value for a complete one.

use std::time::Duration;

use bytes::{BufMut, Bytes, BytesMut};
use juniperladder_dispatch::streamed_value::{ChunkSendError, ChunkSender};
use tokio::io::{AsyncRead, AsyncReadExt};
use tokio::time::timeout;

use super::read_error::{MalformedResponse, ReadError};
use crate::buffer_pool::{BufferKind, BufferPool, Reservation};
use crate::resource_limits::{LARGE_CHUNK_BYTES, SERVER_READ_BYTES};
use crate::{http, memcache};

/// Maximum time for which a streamed value may make no progress. A server may stall for a while, but one that
/// has vanished sends nothing more, not even the end of the connection.
pub(super) const STALL_TIMEOUT: Duration = Duration::from_secs(10);

/// The body of a streamed value, in the server's protocol.
pub(super) enum ValueBody {
    /// The value of a cache server's response.
    Memcache(memcache::RemainingValue),
    /// The body of a response of the origin.
    Http(http::Response),
}

impl ValueBody {
    /// Takes the received part of the value from the input, and returns whether its end was reached.
    fn take(&mut self, input: &mut BytesMut) -> Result<(Bytes, bool), ReadError> {
        match self {
            ValueBody::Memcache(remaining) => Ok(remaining.take(input)?),
            ValueBody::Http(response) => {
                response.read(input)?;
                Ok((response.body.split().freeze(), response.is_complete))
            }
        }
    }

    /// Whether the connection closes after the value.
    pub(super) fn closes_connection(&self) -> bool {
        match self {
            ValueBody::Memcache(_) => false,
            ValueBody::Http(response) => response.closes_connection(),
        }
    }

    /// Whether the response names the request that it answers. A cache server's values always do.
    pub(super) fn names_request(&self) -> bool {
        match self {
            ValueBody::Memcache(_) => true,
            ValueBody::Http(response) => response.names_request(),
        }
    }
}

impl From<ChunkSendError> for ReadError {
    fn from(_: ChunkSendError) -> ReadError {
        ReadError::Disconnected
    }
}

/// The buffers for the chunks of a streamed value.
#[derive(Clone, Debug)]
pub(super) struct ChunkBuffers {
    /// The size of a chunk when the pool is used up.
    pub(super) small_chunk_bytes: usize,
    /// The pool for chunks of [`LARGE_CHUNK_BYTES`].
    pub(super) pool: BufferPool,
}

impl ChunkBuffers {
    /// Moves the input to a buffer for the next chunk. Returns the number of bytes to read, and the reservation of a large
    /// chunk.
    fn allocate(&self, input: &mut BytesMut) -> (usize, Option<Reservation>) {
        let reservation = self.pool.try_reserve(BufferKind::LargeChunk, LARGE_CHUNK_BYTES);
        let chunk_bytes = if reservation.is_some() { LARGE_CHUNK_BYTES } else { self.small_chunk_bytes };
        let mut buffer = BytesMut::with_capacity(chunk_bytes + input.len());
        buffer.extend_from_slice(input);
        *input = buffer;
        (chunk_bytes, reservation)
    }
}

/// Forwards a streamed value until its end, in chunks of bounded size.
///
/// # Errors
/// The value was interrupted: the connection of the server or of the client ended, the server sent nothing for
/// [`STALL_TIMEOUT`], or the value is malformed. In each case the client has not received the last byte of the
/// value.
pub(super) async fn forward_value<S: AsyncRead + Unpin>(
    stream: &mut S,
    input: &mut BytesMut,
    body: &mut ValueBody,
    mut sender: ChunkSender,
    buffers: &ChunkBuffers,
) -> Result<(), ReadError> {
    let mut reservation: Option<Reservation> = None;
    loop {
        let (chunk, is_complete) = body.take(input)?;
        let chunk = match reservation.take() {
            Some(reservation) => reservation.hold_for(chunk),
            None => chunk,
        };
        sender.send(chunk).await?;
        if is_complete {
            if matches!(body, ValueBody::Http(_)) {
                check_following_bytes(stream, input).await?;
            }
            return Ok(sender.finish().await?);
        }
        let chunk_bytes;
        (chunk_bytes, reservation) = buffers.allocate(input);
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

/// Checks the bytes that follow a response of the origin. If the stated length is too short, the rest of the
/// body follows, which cannot be distinguished from garbage after a well-formed response. Only the beginning
/// of another response is accepted.
///
/// # Errors
/// Other bytes follow, or the connection broke.
pub(super) async fn check_following_bytes<S: AsyncRead + Unpin>(
    stream: &mut S,
    input: &mut BytesMut,
) -> Result<(), ReadError> {
    input.reserve(SERVER_READ_BYTES);
    // Reads what has already arrived, without waiting for more.
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
