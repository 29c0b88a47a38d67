//! Reads values that are held whole before they are passed on, so that an attempt that breaks off can be repeated.
//!
//! Each has a buffer of exactly its size, reserved in the buffer pool before the value is read.

use bytes::{BufMut, Bytes, BytesMut};
use tokio::io::{AsyncRead, AsyncReadExt};

use super::read_error::{MalformedResponse, ReadError};
use crate::buffer_pool::{BufferKind, BufferPool, Reservation};
use crate::memcache::{LINE_END, MAX_BUFFERED_VALUE_BYTES};
use crate::resource_limits::SERVER_READ_BYTES;
use crate::{http, memcache};

/// Room for bytes that follow an answer, which shows at once that its connection is of no further use.
const FOLLOWING_BYTES: usize = 32;
/// Bytes that one call reads at most: each call clears the memory that it may fill.
const MAX_READ_BYTES: usize = 32 << 10;

/// Reserves the buffer for a cache server's value of this length. `None` if the value has to be streamed.
pub(super) fn try_reserve_value(buffers: &BufferPool, length: usize) -> Option<Reservation> {
    if length > MAX_BUFFERED_VALUE_BYTES {
        return None;
    }
    buffers.try_reserve(BufferKind::Value, length + LINE_END.len() + FOLLOWING_BYTES)
}

/// Reads the rest of a cache server's value of this length, the beginning of which is in the input. Bytes that follow the
/// value are left in the input, and so is a value that breaks off.
///
/// # Errors
/// The connection ended before the value was complete, or no line end follows it.
pub(super) async fn read_value<S: AsyncRead + Unpin>(
    stream: &mut S,
    input: &mut BytesMut,
    length: usize,
    reservation: Reservation,
) -> Result<Bytes, ReadError> {
    let total = length + LINE_END.len();
    let mut value = BytesMut::with_capacity(total + FOLLOWING_BYTES);
    value.extend_from_slice(&input.split_to(input.len().min(total)));
    while value.len() < total {
        let space = (total + FOLLOWING_BYTES - value.len()).min(MAX_READ_BYTES);
        if let Err(error) = read_some(stream, &mut (&mut value).limit(space)).await {
            // The input shows that the connection broke in the middle of an answer.
            *input = value;
            return Err(error);
        }
    }
    input.extend_from_slice(&value[total..]);
    if value[length..total] != *LINE_END {
        return Err(MalformedResponse::from(memcache::ResponseError::MissingValueEnd).into());
    }
    value.truncate(length);
    Ok(reservation.hold_for(value.freeze()))
}

/// How the body of an origin's response is held.
pub(super) enum BodyBuffer {
    /// In the input's buffer, as it is short so far.
    Input,
    /// In a buffer of its own.
    Reserved(Reservation),
    /// It is a value that has to be streamed, as the pool is used up.
    Streamed,
}

/// Reserves and allocates the buffer for the body of an origin's response, which is longer than what is copied. A value of
/// stated length is streamed if there is no room for it; any other body waits for room.
pub(super) async fn reserve_body(
    buffers: &BufferPool,
    response: &mut http::Response,
    is_write: bool,
) -> BodyBuffer {
    let reservation = match response.value_length().filter(|_| !is_write) {
        Some(length) if length > MAX_BUFFERED_VALUE_BYTES => return BodyBuffer::Streamed,
        Some(length) => match buffers.try_reserve(BufferKind::Value, length) {
            Some(reservation) => reservation,
            None => return BodyBuffer::Streamed,
        },
        None => buffers.reserve(MAX_BUFFERED_VALUE_BYTES + SERVER_READ_BYTES).await,
    };
    response.allocate_body(reservation.bytes());
    BodyBuffer::Reserved(reservation)
}

/// Reads more of a body of stated length into its own buffer.
///
/// # Errors
/// The connection ended.
pub(super) async fn read_body<S: AsyncRead + Unpin>(
    stream: &mut S,
    response: &mut http::Response,
) -> Result<(), ReadError> {
    let read = read_some(stream, &mut response.body_space().limit(MAX_READ_BYTES)).await?;
    response.on_body_received(read);
    Ok(())
}

/// Reads some bytes.
///
/// # Errors
/// The connection ended.
async fn read_some<S: AsyncRead + Unpin>(
    stream: &mut S,
    space: &mut impl BufMut,
) -> Result<usize, ReadError> {
    match stream.read_buf(space).await {
        Ok(read @ 1..) => Ok(read),
        _ => Err(ReadError::Disconnected),
    }
}

#[cfg(test)]
mod tests;
