//! One downstream connection: its requests, taken as they come, and their answers in the same order.
//!
//! Guarantee: each request that was read completely gets its one answer, in the order of the requests, unless its client has
//! gone. What is buffered for the connection is bounded, and so is the time for which it may hold its slot without an
//! open request.

mod answers;
mod requests;
mod timing;

use std::collections::VecDeque;
use std::io;
use std::task::Poll;

use bytes::{Bytes, BytesMut};
use slog::debug;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::{sleep_until, timeout, Instant};

use super::slots::Slot;
use super::stream::{wait_for_disconnect, ClientReader, ClientStream};
use super::{Downstream, FinalRead, FINAL_READ_TIMEOUT, LINGER_TIMEOUT};
use crate::dispatcher::Answer;
use crate::downstream::upload::{self, StreamedUpload};
use crate::memcache::RequestReader;
use answers::{next_answer, next_chunk, Download, PendingAnswer};

/// Requests that one connection may have open: enough for any pipeline, a bound for one that runs away.
pub(super) const MAX_PENDING_ANSWERS: usize = 128;
/// Invalid requests on one connection before it ends: more is garbage, or a client that reads no answers.
pub(super) const MAX_INVALID_REQUESTS: usize = 64;
/// Bytes reserved for each read.
pub(super) const READ_BYTES: usize = 2048;
/// Bytes that a connection may buffer whatever the others do: a request as clients send it.
pub(super) const ALWAYS_ALLOWED_BYTES: usize = 8 * 1024;

/// One downstream connection.
pub(super) struct DownstreamConnection<'a> {
    downstream: &'a Downstream,
    slot: &'a Slot,
    request_reader: RequestReader,
    input: BytesMut,
    output: BytesMut,
    /// What the client is owed, in order.
    pending: VecDeque<PendingAnswer>,
    /// Bytes of the values of its open requests.
    request_bytes: usize,
    /// Bytes that the connection was last counted with in [`Downstream::buffered_bytes`].
    counted_bytes: usize,
    /// How many invalid requests it has brought.
    invalid_requests: usize,
    /// Since when a request has been coming that is not complete.
    incomplete_since: Option<Instant>,
    /// When bytes came last, or were last kept from coming.
    last_received: Instant,
    /// When the client last read a part of what waits for it.
    last_drained: Instant,
    /// When a part of an answer was last written to the client.
    last_written: Option<Instant>,
    /// The streamed value that is on its way to the client.
    download: Option<Download>,
    /// The streamed value that the client is writing.
    upload: Option<StreamedUpload>,
    /// No further request is taken: the client closed its side or sent `quit`, or the connection ends because of invalid or
    /// unfinished input.
    takes_no_more_requests: bool,
    /// The client has left, though not all that it sent has been read: none of that is forwarded.
    has_client_left: bool,
    /// The final phase of the shutdown: what has been read is answered, and no more is read.
    is_final_phase: bool,
}

/// What the connection waits for next, as its state allows.
struct Interests {
    /// Whether more answers may be put into the output: those to a client that does not read them wait unformatted.
    can_answer: bool,
    /// Whether more may be read.
    can_read: bool,
    /// Whether the client's leaving has to be noticed without a read.
    must_watch_disconnect: bool,
    /// Whether the upload waits for the origin's side.
    is_upload_blocked: bool,
    /// Whether the client is owed nothing and has sent no part of a request.
    is_idle: bool,
    /// Until when the connection may go on as it is.
    deadline: Option<Instant>,
}

/// What happened on the connection.
enum ConnectionEvent {
    /// The process ends, and reads no more.
    ReadingStopped,
    /// The first pending answer is there.
    Answered(PendingAnswer, Answer),
    /// Some of the output was written.
    Written,
    /// A chunk of the download; none where it broke off.
    Chunk(Option<Bytes>),
    /// The upload goes on.
    UploadUnblocked,
    /// So many bytes came.
    Received(usize),
    /// The client left while nothing was read.
    Disconnected,
    /// The idle connection is to close.
    CloseRequested(FinalRead),
    /// The time of the connection is up.
    TimedOut,
    /// The slot is needed though a part of a request has come.
    EvictedMidRequest,
}

impl<'a> DownstreamConnection<'a> {
    pub(super) fn new(downstream: &'a Downstream, slot: &'a Slot) -> DownstreamConnection<'a> {
        let now = Instant::now();
        DownstreamConnection {
            downstream,
            slot,
            request_reader: RequestReader::default(),
            input: BytesMut::new(),
            output: BytesMut::new(),
            pending: VecDeque::new(),
            request_bytes: 0,
            counted_bytes: 0,
            invalid_requests: 0,
            incomplete_since: None,
            last_received: now,
            last_drained: now,
            last_written: None,
            download: None,
            upload: None,
            takes_no_more_requests: false,
            has_client_left: false,
            is_final_phase: false,
        }
    }

    /// Serves the connection until its end. The reader that is returned may still bring something that crossed the close.
    pub(super) async fn serve<S: ClientStream>(&mut self, stream: S) -> io::Result<Option<S::Reader>> {
        let (mut reader, mut writer) = stream.halves();
        loop {
            self.take_requests();
            self.update_times();
            self.count_buffered_bytes();
            if (self.takes_no_more_requests || self.is_final_phase) && self.owes_nothing() {
                writer.shutdown().await?;
                return Ok(Some(reader));
            }
            let interests = self.interests();
            if interests.must_watch_disconnect && reader.has_disconnected() {
                self.on_disconnected();
                continue;
            }
            self.reserve_input(&interests);
            match self.next_event::<S>(&mut reader, &mut writer, &interests).await? {
                ConnectionEvent::CloseRequested(final_read) => {
                    if self.read_before_close(&mut reader, final_read).await? {
                        writer.shutdown().await?;
                        return Ok(Some(reader).filter(|_| self.has_answered_lately()));
                    }
                }
                ConnectionEvent::TimedOut | ConnectionEvent::EvictedMidRequest
                    if interests.can_read && self.output.is_empty() =>
                {
                    if !self.read_arrived(&mut reader)? {
                        self.end_mid_request();
                    }
                }
                event => self.on_event(event)?,
            }
        }
    }

    fn is_idle(&self) -> bool {
        self.owes_nothing() && self.input.is_empty() && !self.request_reader.has_incomplete_request()
    }

    fn owes_nothing(&self) -> bool {
        self.pending.is_empty() && self.output.is_empty() && self.download.is_none()
    }

    fn is_upload_blocked(&self) -> bool {
        self.upload.as_ref().is_some_and(StreamedUpload::is_blocked)
    }

    fn interests(&self) -> Interests {
        let limits = &self.downstream.resource_limits;
        let is_upload_blocked = self.is_upload_blocked();
        // Reading is allowed only once all complete requests have been taken, so that an end of input is never seen
        // before a request sent ahead of it.
        let has_room_for_requests = !self.takes_no_more_requests
            && !self.is_final_phase
            && !is_upload_blocked
            && self.pending.len() < MAX_PENDING_ANSWERS
            && self.may_buffer_more();
        let can_answer = self.output.len() < limits.unread_answer_bytes;
        let can_read = has_room_for_requests && can_answer;
        Interests {
            can_answer,
            can_read,
            must_watch_disconnect: !(can_read || self.takes_no_more_requests || self.has_client_left),
            is_upload_blocked,
            is_idle: self.is_idle(),
            deadline: self.deadline(),
        }
    }

    fn reserve_input(&mut self, interests: &Interests) {
        if interests.can_read {
            let chunk_bytes = self.downstream.resource_limits.chunk_bytes;
            self.input.reserve(if self.upload.is_some() { chunk_bytes } else { READ_BYTES });
        }
    }

    /// Waits for the first thing that happens. The end of the process comes before all that a client which never stops
    /// to send keeps ready.
    async fn next_event<S: ClientStream>(
        &mut self,
        reader: &mut S::Reader,
        writer: &mut S::Writer,
        interests: &Interests,
    ) -> io::Result<ConnectionEvent> {
        let downstream = self.downstream;
        let chunk_bytes = downstream.resource_limits.chunk_bytes;
        let is_reading_over = self.takes_no_more_requests || self.is_final_phase;
        let watch = interests.must_watch_disconnect;
        Ok(tokio::select! {
            biased;
            () = downstream.shutdown.wait_for_final_phase(), if !is_reading_over => ConnectionEvent::ReadingStopped,
            (pending, answer) = next_answer(&mut self.pending), if interests.can_answer && self.download.is_none() => {
                ConnectionEvent::Answered(pending, answer)
            }
            written = writer.write_buf(&mut self.output), if !self.output.is_empty() => {
                written?;
                ConnectionEvent::Written
            }
            chunk = next_chunk(&self.download), if self.output.len() < chunk_bytes => ConnectionEvent::Chunk(chunk),
            () = upload::wait_until_unblocked(&self.upload), if interests.is_upload_blocked => ConnectionEvent::UploadUnblocked,
            received = receive(reader, &mut self.input, watch), if interests.can_read || watch => received?,
            final_read = downstream.wait_for_close(self.slot, interests.deadline), if interests.is_idle => {
                ConnectionEvent::CloseRequested(final_read)
            }
            () = wait_until(interests.deadline), if !interests.is_idle => ConnectionEvent::TimedOut,
            // A connection in the middle of a request gives its slot up too, but only when no other can.
            () = self.slot.wait_for_eviction(&self.slot.evicted_mid_request),
                if !interests.is_idle && !self.slot.is_busy.get() => ConnectionEvent::EvictedMidRequest,
        })
    }

    fn on_event(&mut self, event: ConnectionEvent) -> io::Result<()> {
        match event {
            ConnectionEvent::ReadingStopped => self.is_final_phase = true,
            ConnectionEvent::Answered(pending, answer) => self.write_answer(pending, answer),
            ConnectionEvent::Written => self.on_written(),
            ConnectionEvent::Chunk(chunk) => self.write_chunk(chunk)?,
            ConnectionEvent::Received(length) => self.on_received(length),
            ConnectionEvent::Disconnected => self.on_disconnected(),
            ConnectionEvent::TimedOut if !self.output.is_empty() => {
                return Err(io::ErrorKind::TimedOut.into());
            }
            ConnectionEvent::TimedOut | ConnectionEvent::EvictedMidRequest => self.end_mid_request(),
            // UploadUnblocked only wakes the loop; `serve` handles CloseRequested itself.
            ConnectionEvent::UploadUnblocked | ConnectionEvent::CloseRequested(_) => {}
        }
        Ok(())
    }

    /// Reads an idle connection once more before it closes, and returns whether it may close. A request may have come that
    /// the runtime has not looked for yet: it is taken, and a close over unread bytes would reset the connection.
    async fn read_before_close(
        &mut self,
        reader: &mut impl ClientReader,
        final_read: FinalRead,
    ) -> io::Result<bool> {
        if let FinalRead::Wait = final_read {
            if let Ok(read) = timeout(FINAL_READ_TIMEOUT, reader.read_buf(&mut self.input)).await {
                self.on_received(read?);
                return Ok(false);
            }
        }
        if self.read_arrived(reader)? {
            return Ok(false);
        }
        if let FinalRead::AtOnce = final_read {
            debug!(self.downstream.log, "downstream connection evicted"; "had_request" => self.slot.has_had_request.get(),
                "accepted_ms_ago" => self.slot.accepted.elapsed().as_millis(),
                "backlog_wait_ms" => self.slot.backlog_wait.as_millis());
        }
        Ok(true)
    }

    /// Reads what has arrived already, whether or not the runtime has looked for it, and returns whether there was anything:
    /// however late the event loop is, nothing is concluded from a silence that was none.
    fn read_arrived(&mut self, reader: &mut impl ClientReader) -> io::Result<bool> {
        match reader.read_arrived(&mut self.input) {
            Poll::Ready(read) => {
                self.on_received(read?);
                Ok(true)
            }
            Poll::Pending => Ok(false),
        }
    }

    /// Whether an answer may still be on its way, which must not be lost to what crosses the close.
    fn has_answered_lately(&self) -> bool {
        self.last_written.is_some_and(|written| written.elapsed() < LINGER_TIMEOUT)
    }

    /// So many bytes came; none at the end of the input.
    fn on_received(&mut self, length: usize) {
        if length == 0 {
            self.on_input_ended();
        } else {
            self.last_received = Instant::now();
        }
    }

    /// The client has closed its side, and that has been read: it is gone, or waits for the answers that it is owed.
    fn on_input_ended(&mut self) {
        self.takes_no_more_requests = true;
        self.half_close_pending();
    }

    /// The client has closed its side while bytes are still unread. They are read and answered, but not forwarded.
    fn on_disconnected(&mut self) {
        self.has_client_left = true;
        if let Some(upload) = &mut self.upload {
            upload.discard();
        }
        self.half_close_pending();
    }

    /// Nothing new begins for the requests that are open.
    fn half_close_pending(&self) {
        for pending in &self.pending {
            if let PendingAnswer::Request(request) = pending {
                self.downstream.dispatcher.on_client_half_closed(request.id);
            }
        }
    }
}

impl Drop for DownstreamConnection<'_> {
    /// The connection has ended: clients of what is still pending are gone.
    fn drop(&mut self) {
        let buffered_bytes = &self.downstream.buffered_bytes;
        buffered_bytes.set(buffered_bytes.get() - self.counted_bytes);
        for pending in &self.pending {
            if let PendingAnswer::Request(request) = pending {
                self.downstream.dispatcher.on_client_gone(request.id);
            }
        }
    }
}

/// Waits until this time, or for ever.
pub(super) async fn wait_until(time: Option<Instant>) {
    match time {
        Some(time) => sleep_until(time).await,
        None => std::future::pending().await,
    }
}

/// Reads more. Where nothing may be read: waits until the client has left.
async fn receive(
    reader: &mut impl ClientReader,
    input: &mut BytesMut,
    must_watch_disconnect: bool,
) -> io::Result<ConnectionEvent> {
    if must_watch_disconnect {
        wait_for_disconnect(reader).await;
        return Ok(ConnectionEvent::Disconnected);
    }
    reader.read_buf(input).await.map(ConnectionEvent::Received)
}
