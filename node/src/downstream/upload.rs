//! The client side of a streamed upload, whose chunks are forwarded to the origin as they arrive.
//!
//! The transport of attempts implements the origin side, and the dispatcher connects the two. A value that cannot be
//! forwarded is still read to its end, and its request is dispatched then: its attempt fails as not sent.

use bytes::{BufMut, Bytes, BytesMut};
use juniperladder::ServerId;
use juniperladder_dispatch::request::{upload_handle, UploadHandle};
use juniperladder_dispatch::streamed_value::ChunkSender;

use crate::buffer_pool::{BufferKind, BufferPool, Reservation};
use crate::dispatcher::{ClientRequest, Dispatcher};
use crate::resource_limits::LARGE_CHUNK_BYTES;

/// Bytes of a value to receive before a connection to the origin is opened for it.
const BYTES_BEFORE_CONNECTION: usize = 16 * 1024;
/// The size of the buffer for the first bytes of a value: those and the chunk with which they are complete.
const BUFFER_BYTES: usize = BYTES_BEFORE_CONNECTION + LARGE_CHUNK_BYTES;

/// What happens to the chunks of the value.
enum UploadState {
    /// No chunk has arrived.
    Empty,
    /// The chunks are buffered, as too few have arrived to open a connection.
    Buffering(BytesMut, Reservation),
    /// The chunks are sent on a connection to the origin.
    Sending(UploadHandle, ChunkSender),
    /// The chunks are discarded: the origin side accepts no more of them, or the client has left.
    Discarding,
}

/// A request whose streamed value is being received.
pub struct StreamedUpload {
    request: Box<ClientRequest>,
    /// The length of the value in bytes.
    length: usize,
    buffers: BufferPool,
    state: UploadState,
}

impl StreamedUpload {
    /// Creates the upload of a request whose line has been received and whose value has `length` bytes.
    pub fn new(mut request: Box<ClientRequest>, length: usize, buffers: BufferPool) -> StreamedUpload {
        // Marks the request as a write; its value is streamed separately.
        request.value = Some(Bytes::new());
        StreamedUpload { request, length, buffers, state: UploadState::Empty }
    }

    /// The request, without its value.
    pub fn request(&self) -> &ClientRequest {
        &self.request
    }

    /// Discards the value, as its client has left. The value is still read to its end.
    pub fn discard(&mut self) {
        self.state = UploadState::Discarding;
    }

    /// Whether the next chunk has to wait for the origin side.
    pub fn is_blocked(&self) -> bool {
        matches!(&self.state, UploadState::Sending(_, sender) if !sender.is_ready())
    }

    /// Buffers or sends a chunk of the value. If the origin side accepts no more chunks, the value is discarded and
    /// the request is answered at its end.
    pub fn on_chunk(&mut self, dispatcher: &Dispatcher, chunk: Bytes, is_last: bool) {
        let state = std::mem::replace(&mut self.state, UploadState::Discarding);
        match self.buffer_chunk(state, &chunk) {
            UploadState::Empty => self.begin(dispatcher, chunk),
            UploadState::Buffering(buffered, reservation)
                if is_last || buffered.len() >= BYTES_BEFORE_CONNECTION =>
            {
                self.begin(dispatcher, reservation.hold_for(buffered.freeze()));
            }
            state @ UploadState::Buffering(..) => self.state = state,
            state @ (UploadState::Sending(..) | UploadState::Discarding) => {
                self.state = state;
                self.send(chunk);
            }
        }
    }

    /// Adds a chunk to the buffer, which is allocated for the first one. The state stays [`UploadState::Empty`] if there is
    /// no room for a buffer.
    fn buffer_chunk(&self, state: UploadState, chunk: &Bytes) -> UploadState {
        let (mut buffered, reservation) = match state {
            UploadState::Buffering(buffered, reservation) => (buffered, reservation),
            UploadState::Empty => match self.buffers.try_reserve(BufferKind::LargeChunk, BUFFER_BYTES) {
                Some(reservation) => (BytesMut::with_capacity(BUFFER_BYTES), reservation),
                None => return state,
            },
            UploadState::Sending(..) | UploadState::Discarding => return state,
        };
        buffered.put_slice(chunk);
        UploadState::Buffering(buffered, reservation)
    }

    /// Opens a connection to the origin for the value, and sends the first bytes of it.
    fn begin(&mut self, dispatcher: &Dispatcher, first_chunk: Bytes) {
        if let Some((handle, sender)) = dispatcher.begin_upload(&self.request, self.length) {
            self.state = UploadState::Sending(handle, sender);
            self.send(first_chunk);
        }
    }

    fn send(&mut self, chunk: Bytes) {
        if let UploadState::Sending(_, sender) = &mut self.state {
            if sender.try_send(chunk).is_err() {
                self.state = UploadState::Discarding;
            }
        }
    }

    /// The request, once its value is complete.
    pub fn into_request(self) -> ClientRequest {
        let (handle, last_byte) = match self.state {
            UploadState::Sending(handle, sender) => (handle, sender.last_byte()),
            // The request is still dispatched, with a disconnected handle, so that its attempt fails as not
            // sent and the client gets an answer.
            UploadState::Empty | UploadState::Buffering(..) | UploadState::Discarding => {
                (upload_handle(ServerId(0)).0, None)
            }
        };
        let upload = Some(handle.with_last_byte(last_byte.unwrap_or_default()));
        ClientRequest { upload, ..*self.request }
    }
}

/// Waits until the next chunk of the upload can be sent; forever if none is being sent.
pub async fn wait_until_unblocked(upload: &Option<StreamedUpload>) {
    match upload.as_ref().map(|upload| &upload.state) {
        Some(UploadState::Sending(_, sender)) => sender.wait_until_ready().await,
        _ => std::future::pending().await,
    }
}
