//! The memory that all connections share for buffers whose size depends on what peers send.
//!
//! A buffer is allocated only after its bytes are reserved, and they are released when the last handle to the buffer is
//! dropped. Guarantee: the reserved bytes never exceed the size of the pool. Which kinds of buffers draw from the pool, and
//! which are paid for with their connection, is listed in [`crate::resource_limits`].

mod waiting;

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::{Bytes, BytesMut};
pub use waiting::PendingReservation;
use waiting::WaitingReservations;

/// What a buffer is for, which decides how much of the pool has to stay free for others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BufferKind {
    /// What there is no other way to hold, so that all of the pool may be used: a value that a client has written whole, a
    /// body of unknown length, the state of listed servers.
    Request,
    /// An unusually long request line.
    Line,
    /// The state of a request that a client sends before an earlier one is answered, and that otherwise waits for it.
    PipelinedRequest,
    /// A value that a client is still writing, at a pace of its own.
    IncompleteRequest,
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
            BufferKind::Line | BufferKind::PipelinedRequest => Some(8),
            BufferKind::IncompleteRequest | BufferKind::Value => Some(4),
            BufferKind::LargeChunk => Some(2),
        }
    }
}

/// The shared memory.
#[derive(Clone, Debug)]
pub struct BufferPool {
    bytes: usize,
    state: Arc<Mutex<PoolState>>,
}

#[derive(Debug)]
struct PoolState {
    available_bytes: usize,
    waiting: WaitingReservations,
}

impl BufferPool {
    /// A pool of this many bytes.
    pub fn new(bytes: usize) -> BufferPool {
        let state = PoolState { available_bytes: bytes, waiting: WaitingReservations::default() };
        BufferPool { bytes, state: Arc::new(Mutex::new(state)) }
    }

    /// The size of the pool in bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// The bytes that are reserved now.
    pub fn reserved_bytes(&self) -> usize {
        self.bytes - self.lock().available_bytes
    }

    /// Reserves this many bytes if they are available now.
    pub fn try_reserve(&self, kind: BufferKind, bytes: usize) -> Option<Reservation> {
        let mut state = self.lock();
        let has_turn = !state.waiting.has_priority_over(kind);
        let has_room = state.available_bytes >= self.spared_bytes(kind).saturating_add(bytes);
        (has_turn && has_room).then(|| self.take(&mut state, bytes))
    }

    /// Reserves this many bytes of the whole pool, after all that wait already. More than the pool holds is reduced to all of
    /// it.
    pub async fn reserve(&self, bytes: usize) -> Reservation {
        self.reserve_later(BufferKind::Request, bytes).granted().await
    }

    /// Reserves this many bytes as soon as they are available, after all of this kind that wait already. More than the kind
    /// may use is reduced to that.
    pub fn reserve_later(&self, kind: BufferKind, bytes: usize) -> PendingReservation {
        let bytes = bytes.min(self.bytes - self.spared_bytes(kind));
        let pending = self.lock().waiting.push(kind, bytes);
        self.grant_waiting();
        pending
    }

    fn lock(&self) -> MutexGuard<'_, PoolState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn spared_bytes(&self, kind: BufferKind) -> usize {
        kind.spared_divisor().map_or(0, |divisor| self.bytes / divisor)
    }

    fn take(&self, state: &mut PoolState, bytes: usize) -> Reservation {
        state.available_bytes -= bytes;
        Reservation { bytes, pool: self.clone() }
    }

    fn release(&self, bytes: usize) {
        self.lock().available_bytes += bytes;
        self.grant_waiting();
    }

    /// Grants what waits and has room. A reservation that nobody waits for any more is released again at once.
    fn grant_waiting(&self) {
        loop {
            let mut state = self.lock();
            let available_bytes = state.available_bytes;
            let has_room = |kind, bytes| available_bytes >= self.spared_bytes(kind).saturating_add(bytes);
            let Some(kind) = state.waiting.next(has_room) else { return };
            let Some(waiter) = state.waiting.pop(kind) else { return };
            let reservation = self.take(&mut state, waiter.bytes);
            // A reservation that is dropped here locks the state again.
            drop(state);
            waiter.grant(reservation);
        }
    }
}

/// Reserved bytes, which are released when this value, or the buffer that holds it, is dropped.
#[derive(Debug)]
pub struct Reservation {
    bytes: usize,
    pool: BufferPool,
}

impl Reservation {
    /// The number of reserved bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Keeps the bytes reserved until the last handle to this buffer is dropped.
    pub fn hold_for(self, buffer: Bytes) -> Bytes {
        Bytes::from_owner(ReservedBuffer { buffer, _reservation: self })
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.pool.release(self.bytes);
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
