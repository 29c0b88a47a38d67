//! Requests that the balancer holds up: their clients have written them, and they stand unread for want of a buffer, or as
//! the origin takes no more of a streamed value.
//!
//! Guarantee: such a request is answered before its deadline, which counts from its last byte wherever that stands. It is
//! rejected, as no server has received it whole, and the rest of it is skipped.

use tokio::time::{Duration, Instant};

use super::answers::PendingAnswer;
use super::requests::position_of;
use super::DownstreamConnection;
use crate::clock;
use crate::downstream::stream::ClientReader;
use crate::memcache::BUSY;

/// The share of its time (one in this many) for which a request may wait for a buffer: its client can then try again.
const BUFFER_WAIT_DIVISOR: u32 = 2;
/// How long before its deadline the request of a streamed value is rejected.
const REJECTION_MARGIN: Duration = Duration::from_millis(20);

impl DownstreamConnection<'_> {
    /// Since when the request that is being received has been held up, though its client may have written all of it.
    pub(super) fn held_up_since(&self) -> Option<Instant> {
        self.complete_since.filter(|_| self.buffer_wait.is_some() || self.is_upload_blocked())
    }

    /// When the request that is held up has to be rejected.
    pub(super) fn held_up_until(&self) -> Option<Instant> {
        let since = self.held_up_since()?;
        let dispatcher = &self.downstream.dispatcher;
        if let Some(upload) = &self.upload {
            let request = upload.request();
            let time_limit = clock::duration(dispatcher.time_limit(request.class, request.timeout));
            return Some(since + time_limit.saturating_sub(REJECTION_MARGIN));
        }
        let (request, class) = self.request_reader.awaited_write()?;
        let class = position_of(&self.downstream.labels.classes, class).unwrap_or(u32::MAX);
        let time_limit = clock::duration(dispatcher.time_limit(class, request.timeout));
        Some(since + time_limit / BUFFER_WAIT_DIVISOR)
    }

    /// Notes whether the client of a streamed value may have written all of it: while the origin takes no more, and until
    /// the socket is found empty.
    pub(super) fn check_upload(&mut self, reader: &impl ClientReader) {
        if self.upload.is_none() {
            return;
        }
        let is_drained = || reader.unread_bytes().is_none_or(|unread| unread == 0);
        match (self.complete_since, self.is_upload_blocked()) {
            (None, true) if !is_drained() => self.complete_since = Some(Instant::now()),
            (Some(_), false) if is_drained() => self.complete_since = None,
            _ => {}
        }
    }

    /// Rejects the request that is held up and skips what follows of it.
    pub(super) fn reject_held_up(&mut self) {
        let class = match (self.upload.take(), self.request_reader.awaited_write()) {
            (Some(upload), _) => Some(upload.request().class),
            (None, Some((_, class))) => position_of(&self.downstream.labels.classes, class),
            (None, None) => None,
        };
        if let Some(class) = class {
            self.downstream.dispatcher.count_unread_rejection(class);
        }
        self.request_reader.skip_value();
        self.complete_since = None;
        self.incomplete_since = None;
        self.last_received = Instant::now();
        self.pending.push_back(PendingAnswer::Line(BUSY));
    }
}
