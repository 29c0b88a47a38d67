//! The input buffer of a connection: its size, and its reservation in the buffer pool.
//!
//! A buffer of [`READ_BYTES`] is paid for with the connection. A value that is received, and a line that is longer than the
//! buffer, get a buffer of their own size once that is reserved; until then the connection is not read.

use bytes::{Bytes, BytesMut};
use tokio::time::Instant;

use super::buffer_wait::BufferWait;
use super::DownstreamConnection;
use crate::buffer_pool::{set_capacity, BufferKind, Reservation};
use crate::downstream::stream::ClientReader;
use crate::memcache::MAX_LINE_BYTES;
use crate::resource_limits::{LARGE_CHUNK_BYTES, OPEN_REQUEST_BYTES, READ_BYTES};

/// The size of the buffer for a line that is longer than [`READ_BYTES`].
const LONG_LINE_BYTES: usize = MAX_LINE_BYTES + READ_BYTES;
/// The room for a line below which the next read gets a new buffer.
const MIN_READ_BYTES: usize = READ_BYTES / 4;

/// The buffer that the next read needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum NeededBuffer {
    /// The one that is paid for with the connection, for lines.
    Lines,
    /// One of this size, which is not larger than the one that is paid for.
    ShortValue(usize),
    /// One of this size, without which the connection cannot be read.
    Reserved(usize),
    /// One of this size for a chunk of a value, which may also arrive in small chunks.
    Chunk(usize),
}

impl DownstreamConnection<'_> {
    fn needed_buffer(&self) -> NeededBuffer {
        if let Some(bytes) = self.request_reader.awaited_value_bytes() {
            return if bytes > READ_BYTES {
                NeededBuffer::Reserved(bytes)
            } else {
                NeededBuffer::ShortValue(bytes)
            };
        }
        match self.request_reader.remaining_upload_bytes() {
            Some(bytes) if self.upload.is_some() => NeededBuffer::Chunk(bytes.min(LARGE_CHUNK_BYTES)),
            _ if self.input.len() + MIN_READ_BYTES > READ_BYTES => NeededBuffer::Reserved(LONG_LINE_BYTES),
            _ => NeededBuffer::Lines,
        }
    }

    /// Makes room for more input. Returns whether it has to wait for its buffer, as too little is left in the pool.
    pub(super) fn prepare_input(&mut self, reader: &impl ClientReader) -> bool {
        match self.needed_buffer() {
            NeededBuffer::Lines => {
                if self.input.capacity() < self.input.len() + MIN_READ_BYTES {
                    set_capacity(&mut self.input, READ_BYTES);
                }
            }
            NeededBuffer::ShortValue(bytes) => set_capacity(&mut self.input, bytes),
            NeededBuffer::Reserved(bytes) => {
                if !self.has_reserved_input(bytes) && self.must_await_buffer(reader, bytes) {
                    return true;
                }
                set_capacity(&mut self.input, bytes);
            }
            NeededBuffer::Chunk(bytes) => {
                let is_reserved = self.reserve_input(BufferKind::LargeChunk, bytes);
                let small_chunk_bytes = self.downstream.resource_limits.chunk_bytes;
                let chunk_bytes = if is_reserved { bytes } else { bytes.min(small_chunk_bytes) };
                let least_bytes = self.input.len() + 1;
                set_capacity(&mut self.input, chunk_bytes.max(least_bytes));
            }
        }
        false
    }

    fn has_reserved_input(&self, bytes: usize) -> bool {
        self.input_reservation.as_ref().is_some_and(|reservation| reservation.bytes() >= bytes)
    }

    /// Reserves a buffer of this size, or waits for it.
    fn must_await_buffer(&mut self, reader: &impl ClientReader, bytes: usize) -> bool {
        let now = Instant::now();
        if self.buffer_wait.as_ref().is_some_and(|wait| !wait.is_check_due(now)) {
            return true;
        }
        let is_value = self.request_reader.awaited_value_bytes().is_some();
        let first_kind = if is_value { BufferKind::IncompleteRequest } else { BufferKind::Line };
        if self.buffer_wait.is_none() && self.reserve_input(first_kind, bytes) {
            return false;
        }
        let unread_bytes = reader.unread_bytes();
        let missing_bytes = bytes.saturating_sub(self.input.len());
        // The last bytes may be held back until more is read.
        let is_complete = unread_bytes.is_none_or(|unread| unread + READ_BYTES >= missing_bytes);
        let kind = if is_value && is_complete { BufferKind::Request } else { first_kind };
        if kind != first_kind && self.reserve_input(kind, bytes) {
            return false;
        }
        self.on_buffer_awaited(now, unread_bytes, kind);
        let pool = &self.downstream.buffers;
        let wait = self.buffer_wait.take().filter(|wait| wait.kind() == kind);
        let wait = wait.unwrap_or_else(|| BufferWait::new(pool.reserve_later(kind, bytes)));
        self.buffer_wait = Some(wait.checked(now, unread_bytes));
        true
    }

    /// Notes what a check of a waiting connection has shown: whether its client has written all, or more than before.
    fn on_buffer_awaited(&mut self, now: Instant, unread_bytes: Option<usize>, kind: BufferKind) {
        if kind == BufferKind::Request && unread_bytes.is_some() {
            self.complete_since.get_or_insert(now);
        }
        if self.buffer_wait.as_ref().is_some_and(|wait| wait.has_grown_to(unread_bytes)) {
            self.last_received = now;
        }
    }

    /// Reserves this many bytes for the input, unless they are reserved already.
    fn reserve_input(&mut self, kind: BufferKind, bytes: usize) -> bool {
        let reserved_bytes = self.input_reservation.as_ref().map_or(0, Reservation::bytes);
        if reserved_bytes < bytes {
            self.input_reservation = None;
            self.input_reservation = self.downstream.buffers.try_reserve(kind, bytes);
        }
        self.input_reservation.is_some()
    }

    /// Takes the input's reservation, which pays from now on for what was taken from the input.
    pub(super) fn take_input_reservation(&mut self) -> Option<Reservation> {
        let reservation = self.input_reservation.take()?;
        // What follows must not keep the reserved buffer.
        self.input = BytesMut::from(&self.input[..]);
        Some(reservation)
    }

    /// Keeps the input's reservation until this value, which was taken from the input, is dropped.
    pub(super) fn hold_reservation_for(&mut self, value: Bytes) -> Bytes {
        match self.take_input_reservation() {
            Some(reservation) => reservation.hold_for(value),
            None => value,
        }
    }

    /// Whether the state of one more request is paid for: that of the first open one is paid for with the connection.
    pub(super) fn can_hold_request(&mut self) -> bool {
        if self.pending.is_empty() || self.input.is_empty() {
            return true;
        }
        if self.request_reservation.is_none() {
            let kind = BufferKind::PipelinedRequest;
            self.request_reservation = self.downstream.buffers.try_reserve(kind, OPEN_REQUEST_BYTES);
        }
        self.request_reservation.is_some()
    }

    /// Frees what an idle connection must not hold.
    pub(super) fn release_buffers(&mut self) {
        self.output.release_if_empty();
        if !self.input.is_empty() {
            return;
        }
        self.request_reservation = None;
        if self.input_reservation.is_some() && self.needed_buffer() == NeededBuffer::Lines {
            self.input = BytesMut::new();
            self.input_reservation = None;
        }
    }
}
