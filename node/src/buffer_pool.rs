//! The memory that all connections share for buffers whose size depends on what peers send.
//!
//! A buffer is allocated only after its bytes are reserved, and they are released when the last handle to the buffer is
//! dropped. Guarantee: the reserved bytes never exceed the size of the pool. Which kinds of buffers draw from the pool, and
//! which are paid for with their connection, is listed in [`crate::resource_limits`].

use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// What a buffer is for, which decides how much of the pool has to stay free for others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BufferKind {
    /// A value that a client writes, or an unusually long request line. There is no other way to read it, so that all of
    /// the pool may be used.
    Request,
    /// The state of a request that a client sends before an earlier one is answered, and that otherwise waits for it.
    PipelinedRequest,
    /// A value that could also be streamed.
    Value,
    /// A chunk of a streamed value that is larger than the chunk paid for with the connection.
    LargeChunk,
}

impl BufferKind {
    /// The part of the pool, one in this many, that has to stay free; `None` if nothing has to.
    fn spared_divisor(self) -> Option<usize> {
        match self {
            BufferKind::Request => None,
            BufferKind::PipelinedRequest => Some(8),
            BufferKind::Value => Some(4),
            BufferKind::LargeChunk => Some(2),
        }
    }
}

/// The shared memory, of which each byte is a permit.
#[derive(Clone, Debug)]
pub struct BufferPool {
    permits: Arc<Semaphore>,
    bytes: usize,
}

impl BufferPool {
    /// A pool of this many bytes, at most [`u32::MAX`].
    pub fn new(bytes: usize) -> BufferPool {
        let bytes = bytes.min(u32::MAX as usize).min(Semaphore::MAX_PERMITS);
        BufferPool { permits: Arc::new(Semaphore::new(bytes)), bytes }
    }

    /// The size of the pool in bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// The bytes that are reserved now.
    pub fn reserved_bytes(&self) -> usize {
        self.bytes - self.permits.available_permits()
    }

    /// Reserves this many bytes if they are available now.
    pub fn try_reserve(&self, kind: BufferKind, bytes: usize) -> Option<Reservation> {
        let spared = kind.spared_divisor().map_or(0, |divisor| self.bytes / divisor);
        if self.permits.available_permits() < spared.saturating_add(bytes) {
            return None;
        }
        let permits = u32::try_from(bytes).ok()?;
        Arc::clone(&self.permits).try_acquire_many_owned(permits).ok().map(Reservation)
    }

    /// Reserves this many bytes of the whole pool, after all that wait already. More than the pool holds is reduced to all of
    /// it.
    pub async fn reserve(&self, bytes: usize) -> Reservation {
        let permits = bytes.min(self.bytes) as u32;
        match Arc::clone(&self.permits).acquire_many_owned(permits).await {
            Ok(permit) => Reservation(permit),
            // The semaphore is never closed.
            Err(_) => std::future::pending().await,
        }
    }
}

/// Reserved bytes, which are released when this value, or the buffer that holds it, is dropped.
#[derive(Debug)]
pub struct Reservation(OwnedSemaphorePermit);

impl Reservation {
    /// The number of reserved bytes.
    pub fn bytes(&self) -> usize {
        self.0.num_permits()
    }

    /// Keeps the bytes reserved until the last handle to this buffer is dropped.
    pub fn hold_for(self, buffer: Bytes) -> Bytes {
        Bytes::from_owner(ReservedBuffer { buffer, _reservation: self })
    }
}

/// A buffer with its reservation.
struct ReservedBuffer {
    buffer: Bytes,
    _reservation: Reservation,
}

impl AsRef<[u8]> for ReservedBuffer {
    fn as_ref(&self) -> &[u8] {
        &self.buffer
    }
}

/// Moves what `buffer` holds to an allocation of exactly this capacity, unless it has room for that many bytes already.
pub fn set_capacity(buffer: &mut BytesMut, capacity: usize) {
    if buffer.capacity() >= capacity {
        return;
    }
    let mut moved = BytesMut::with_capacity(capacity);
    moved.extend_from_slice(buffer);
    *buffer = moved;
}

#[cfg(test)]
mod tests;
