//! One downstream connection: its requests are accepted as they arrive and answered in the same order.
//!
//! Guarantee: each request that was read completely gets exactly one answer, in the order of the requests,
//! unless its client has left. What is buffered for the connection is bounded, and so is the time for which
//! it may hold its slot without an open request.

mod answers;
mod buffer_wait;
mod delivery;
mod held_up;
mod input;
mod leaving;
mod requests;
mod timing;
mod turn;

use std::collections::VecDeque;
use std::io;
use std::task::Poll;

use bytes::{BufMut, BytesMut};
use slog::debug;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::{sleep_until, timeout, Instant};

use super::output::OutputQueue;
use super::slots::Slot;
use super::stream::{wait_for_disconnect, ClientReader, ClientStream};
use super::{Downstream, FinalRead, FINAL_READ_TIMEOUT};
use crate::buffer_pool::Reservation;
use crate::dispatcher::Answer;
use crate::downstream::download::{self, Download, DownloadEvent};
use crate::downstream::upload::{self, StreamedUpload};
use crate::memcache::RequestReader;
use answers::{next_answer, PendingAnswer};
use buffer_wait::BufferWait;
use turn::Turn;

/// Requests that one connection may have open: enough for any pipeline, and a bound for a runaway client.
pub(super) const MAX_PENDING_ANSWERS: usize = 128;
/// Invalid requests after which a connection ends: its client does not speak the protocol, or reads no
/// answers.
pub(super) const MAX_INVALID_REQUESTS: usize = 64;
/// Bytes that one call reads at most: each call clears the memory that it may fill.
const MAX_READ_BYTES: usize = 32 << 10;

/// One downstream connection.
pub(super) struct DownstreamConnection<'a> {
    downstream: &'a Downstream,
    slot: &'a Slot,
    request_reader: RequestReader,
    input: BytesMut,
    /// Pays for the input, if it is larger than [`READ_BYTES`](crate::resource_limits::READ_BYTES).
    input_reservation: Option<Reservation>,
    /// The wait for the input's buffer, without which no more can be read.
    buffer_wait: Option<BufferWait>,
    /// Since when the request that is being received has been known to stand complete in the socket.
    complete_since: Option<Instant>,
    /// Pays for the next request, if another is open.
    request_reservation: Option<Reservation>,
    output: OutputQueue,
    /// The answers that the client waits for, in order.
    pending: VecDeque<PendingAnswer>,
    /// The number of invalid requests received.
    invalid_requests: usize,
    /// Since when an incomplete request has been arriving; `None` if there is none.
    incomplete_since: Option<Instant>,
    /// When bytes were last received, or reading was last blocked by the upload.
    last_received: Instant,
    /// When part of the output was last written to the client, or the output was last empty.
    last_output_progress: Instant,
    /// What the connection has done since it last let others run.
    turn: Turn,
    /// When part of an answer was last written to the client.
    last_written: Option<Instant>,
    /// The streamed value that is being sent to the client.
    download: Option<Download>,
    /// The streamed value that is being received from the client.
    upload: Option<StreamedUpload>,
    /// When to check again whether the system has sent all answers; `None` if it holds none, as far as is known.
    next_delivery_check: Option<Instant>,
    /// Whether no further request is read, as the client closed its side or sent `quit`, or the connection
    /// ends because of invalid or unfinished input.
    has_stopped_requests: bool,
    /// Whether the end of the input was read.
    has_input_ended: bool,
    /// Whether part of the input was read since the connection was last idle.
    has_read_since_idle: bool,
    /// Whether the client has left before all its input was read; the rest is not forwarded.
    has_client_left: bool,
    /// Whether the shutdown is in its final phase: what has been read is answered, and no more is read.
    is_final_phase: bool,
}

/// The events that the connection waits for in its current state.
struct Interests {
    /// Whether answers may be added to the output. While the client leaves too much output unread, its answers
    /// stay unformatted.
    can_answer: bool,
    /// Whether more input may be read.
    can_read: bool,
    /// Whether more input may be read only when its buffer is reserved.
    is_awaiting_buffer: bool,
    /// Whether a disconnect has to be detected without reading.
    must_watch_disconnect: bool,
    /// Whether the upload waits for the origin side.
    is_upload_blocked: bool,
    /// Whether the client waits for no answer and has sent no part of a request.
    is_idle: bool,
    /// When the connection times out in its current state.
    deadline: Option<Instant>,
}

/// An event on the connection.
enum ConnectionEvent {
    /// The final phase of the shutdown has begun: no more is read.
    ReadingStopped,
    /// The first pending answer is available.
    Answered(PendingAnswer, Answer),
    /// Part of the output was written.
    Written,
    /// The next event of the download.
    Download(DownloadEvent),
    /// The upload is no longer blocked.
    UploadUnblocked,
    /// The buffer for more input is reserved, or the wait for it has to be checked.
    BufferWaitEnded(Option<Reservation>),
    /// This many bytes were received; 0 is the end of the input.
    Received(usize),
    /// The client disconnected while nothing was read.
    Disconnected,
    /// The idle connection has to close.
    CloseRequested(FinalRead),
    /// It is time to check whether the system has sent all answers.
    DeliveryCheckDue,
    /// The deadline of the connection has passed.
    TimedOut,
    /// The slot is needed although part of a request has been received.
    EvictedMidRequest,
    /// The slot or its buffers are needed, and the client has read no part of its answers for long.
    EvictedUnread,
}

impl<'a> DownstreamConnection<'a> {
    pub(super) fn new(downstream: &'a Downstream, slot: &'a Slot) -> DownstreamConnection<'a> {
        let now = Instant::now();
        DownstreamConnection {
            downstream,
            slot,
            request_reader: RequestReader::default(),
            input: BytesMut::new(),
            input_reservation: None,
            buffer_wait: None,
            complete_since: None,
            request_reservation: None,
            output: OutputQueue::default(),
            pending: VecDeque::new(),
            invalid_requests: 0,
            incomplete_since: None,
            last_received: now,
            last_output_progress: now,
            turn: Turn::default(),
            last_written: None,
            download: None,
            upload: None,
            next_delivery_check: None,
            has_stopped_requests: false,
            has_input_ended: false,
            has_read_since_idle: slot.backlog_wait > leaving::MAX_TIME_AFTER_LEAVING,
            has_client_left: false,
            is_final_phase: false,
        }
    }

    /// Serves the connection until its end. Returns the reader if the client may still send input before it sees
    /// the close.
    pub(super) async fn serve<S: ClientStream>(&mut self, stream: S) -> io::Result<Option<S::Reader>> {
        let (mut reader, mut writer) = stream.halves();
        loop {
            self.take_requests();
            if self.turn.is_over() {
                self.turn.end().await;
                continue;
            }
            self.release_buffers();
            self.update_times();
            if (self.has_stopped_requests || self.is_final_phase) && self.has_sent_all_answers() {
                if self.must_await_delivery(&reader) {
                    continue;
                }
                writer.shutdown().await?;
                return Ok(Some(reader));
            }
            let interests = self.interests(&reader);
            if self.must_see_disconnect(&interests) && reader.has_disconnected() {
                self.on_disconnected();
                continue;
            }
            match self.next_event::<S>(&mut reader, &mut writer, &interests).await? {
                ConnectionEvent::CloseRequested(_) if self.must_await_delivery(&reader) => {}
                ConnectionEvent::DeliveryCheckDue => self.check_delivery(&reader),
                ConnectionEvent::CloseRequested(final_read) => {
                    if self.read_before_close(&mut reader, final_read).await? {
                        writer.shutdown().await?;
                        return Ok(Some(reader).filter(|_| self.has_written_recently()));
                    }
                }
                ConnectionEvent::TimedOut | ConnectionEvent::EvictedMidRequest if interests.can_read => {
                    if !self.read_arrived(&mut reader)? {
                        self.end_mid_request();
                    }
                }
                event => self.on_event(event)?,
            }
        }
    }

    fn is_idle(&self) -> bool {
        self.has_sent_all_answers() && self.input.is_empty() && !self.request_reader.has_incomplete_request()
    }

    /// Whether all answers have been sent. One that the system has taken counts as sent until it is found there when the
    /// connection is about to close.
    fn has_sent_all_answers(&self) -> bool {
        let has_written_all = self.pending.is_empty() && self.output.is_empty() && self.download.is_none();
        has_written_all && self.next_delivery_check.is_none()
    }

    fn is_upload_blocked(&self) -> bool {
        self.upload.as_ref().is_some_and(StreamedUpload::is_blocked)
    }

    /// What to wait for. Allocates the buffer for more input if that may be read.
    fn interests(&mut self, reader: &impl ClientReader) -> Interests {
        self.check_upload(reader);
        let is_upload_blocked = self.is_upload_blocked();
        // Reading is allowed only once all complete requests have been taken, so that an end of input is never seen
        // before a request sent ahead of it.
        let has_room_for_requests = !self.has_stopped_requests
            && !self.is_final_phase
            && !is_upload_blocked
            && self.download.is_none()
            && self.pending.len() < MAX_PENDING_ANSWERS
            && self.can_hold_request();
        let can_answer = self.output.len() < self.downstream.resource_limits.unread_answer_bytes;
        let may_read = has_room_for_requests && can_answer;
        let is_awaiting_buffer = may_read && self.prepare_input(reader);
        if is_awaiting_buffer {
            self.downstream.evict_stalled();
        } else {
            // A buffer that is granted while nothing may be read would be kept from others.
            self.buffer_wait = None;
        }
        let must_discard = self.must_discard_input();
        if must_discard {
            self.discard_input();
        }
        let can_read = must_discard || may_read && !is_awaiting_buffer;
        Interests {
            can_answer,
            can_read,
            is_awaiting_buffer,
            must_watch_disconnect: !(can_read || self.has_input_ended || self.has_client_left),
            is_upload_blocked,
            is_idle: self.is_idle(),
            deadline: self.deadline(),
        }
    }

    /// Waits for the next event. The final phase of the shutdown has priority, so that a client that never
    /// stops sending cannot delay it.
    async fn next_event<S: ClientStream>(
        &mut self,
        reader: &mut S::Reader,
        writer: &mut S::Writer,
        interests: &Interests,
    ) -> io::Result<ConnectionEvent> {
        let downstream = self.downstream;
        let chunk_bytes = downstream.resource_limits.chunk_bytes;
        let is_reading_over = self.has_stopped_requests || self.is_final_phase;
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
            event = download::next_event(&mut self.download), if self.output.len() < chunk_bytes => {
                ConnectionEvent::Download(event)
            }
            () = upload::wait_until_unblocked(&self.upload), if interests.is_upload_blocked => ConnectionEvent::UploadUnblocked,
            reservation = buffer_wait::next(&mut self.buffer_wait), if interests.is_awaiting_buffer => {
                ConnectionEvent::BufferWaitEnded(reservation)
            }
            received = receive(reader, &mut self.input, watch), if interests.can_read || watch => received?,
            final_read = downstream.wait_for_close(self.slot, interests.deadline), if interests.is_idle => {
                ConnectionEvent::CloseRequested(final_read)
            }
            () = wait_until(interests.deadline), if !interests.is_idle => ConnectionEvent::TimedOut,
            () = wait_until(self.next_delivery_check), if self.next_delivery_check.is_some() => {
                ConnectionEvent::DeliveryCheckDue
            }
            // A connection in the middle of a request is evicted only when no other can be.
            () = self.slot.wait_for_eviction(&self.slot.evicted_mid_request),
                if !interests.is_idle && !self.slot.is_busy.get() => ConnectionEvent::EvictedMidRequest,
            () = self.slot.wait_for_eviction(&self.slot.evicted_unread), if self.slot.is_busy.get() => {
                ConnectionEvent::EvictedUnread
            }
        })
    }

    fn on_event(&mut self, event: ConnectionEvent) -> io::Result<()> {
        match event {
            ConnectionEvent::ReadingStopped => self.is_final_phase = true,
            ConnectionEvent::Answered(pending, answer) => self.write_answer(pending, answer),
            ConnectionEvent::Written => self.on_written(),
            ConnectionEvent::Download(event) => self.on_download_event(event),
            ConnectionEvent::BufferWaitEnded(Some(reservation)) => self.on_input_reserved(reservation),
            ConnectionEvent::Received(length) => self.on_received(length),
            ConnectionEvent::Disconnected => self.on_disconnected(),
            ConnectionEvent::EvictedUnread => return Err(io::ErrorKind::TimedOut.into()),
            ConnectionEvent::TimedOut if self.held_up_since().is_some() => self.reject_held_up(),
            ConnectionEvent::TimedOut | ConnectionEvent::EvictedMidRequest => self.end_mid_request(),
            // The first two only wake the loop; `serve` handles the others itself.
            ConnectionEvent::UploadUnblocked
            | ConnectionEvent::BufferWaitEnded(None)
            | ConnectionEvent::CloseRequested(_)
            | ConnectionEvent::DeliveryCheckDue => {}
        }
        Ok(())
    }

    /// Reads an idle connection once more before it closes, and returns whether it may close. A request may
    /// have arrived that the runtime has not polled for yet: it is accepted, and closing the socket with unread
    /// bytes would reset the connection.
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
        if let FinalRead::Immediate = final_read {
            debug!(self.downstream.log, "downstream connection evicted"; "had_request" => self.slot.has_had_request.get(),
                "accepted_ms_ago" => self.slot.accepted.elapsed().as_millis(),
                "backlog_wait_ms" => self.slot.backlog_wait.as_millis());
        }
        Ok(true)
    }

    /// Reads what has already arrived, even if the runtime has not polled for it yet, and returns whether
    /// there was anything. Even a long event loop delay must not make unread input look like silence.
    fn read_arrived(&mut self, reader: &mut impl ClientReader) -> io::Result<bool> {
        match reader.read_arrived(&mut self.input) {
            Poll::Ready(read) => {
                self.on_received(read?);
                Ok(true)
            }
            Poll::Pending => Ok(false),
        }
    }

    /// Handles the reservation of the input's buffer. The time without it does not count as a stall of the client.
    fn on_input_reserved(&mut self, reservation: Reservation) {
        self.input_reservation = Some(reservation);
        self.last_received = Instant::now();
    }
}

impl Drop for DownstreamConnection<'_> {
    /// Reports the client of each pending request as gone, as the connection has ended.
    fn drop(&mut self) {
        self.report_clients_gone();
    }
}

/// Waits until this time; forever if there is none.
pub(super) async fn wait_until(time: Option<Instant>) {
    match time {
        Some(time) => sleep_until(time).await,
        None => std::future::pending().await,
    }
}

/// Reads more input; if nothing may be read, waits until the client has disconnected.
async fn receive(
    reader: &mut impl ClientReader,
    input: &mut BytesMut,
    must_watch_disconnect: bool,
) -> io::Result<ConnectionEvent> {
    if must_watch_disconnect {
        wait_for_disconnect(reader).await;
        return Ok(ConnectionEvent::Disconnected);
    }
    let room = (input.capacity() - input.len()).clamp(1, MAX_READ_BYTES);
    reader.read_buf(&mut input.limit(room)).await.map(ConnectionEvent::Received)
}
