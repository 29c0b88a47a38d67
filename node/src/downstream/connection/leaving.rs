//! The end of a client's input, and of the client.
//!
//! Guarantee: no attempt begins for a client that has left, as far as the system knows of its end. The system learns of it
//! behind bytes that stand unread only if they leave room, so that input is read on, and discarded, where no more requests
//! are taken.

use tokio::time::{Duration, Instant};

use super::answers::PendingAnswer;
use super::{DownstreamConnection, Interests};
use crate::buffer_pool::set_capacity;
use crate::dispatcher::ClientRequestId;
use crate::downstream::download::Download;
use crate::resource_limits::READ_BYTES;

/// How long a connection may have waited for its slot for its client's end still to count as recent.
pub(super) const MAX_TIME_AFTER_LEAVING: Duration = Duration::from_millis(50);

impl DownstreamConnection<'_> {
    /// Whether a disconnect matters before more is read: it may stand behind requests that must not be forwarded any more.
    /// Requests that came right before it are read and forwarded, and so is one that is half read, as the client may have
    /// closed its sending side alone.
    pub(super) fn must_see_disconnect(&self, interests: &Interests) -> bool {
        let has_more_input = self.has_read_since_idle && !self.has_input_ended && !self.has_client_left;
        interests.must_watch_disconnect || has_more_input && !self.request_reader.has_incomplete_request()
    }

    /// Whether input is read only to see its end, as no more requests are taken while some are open.
    pub(super) fn must_discard_input(&self) -> bool {
        self.has_stopped_requests && !self.has_input_ended && self.open_requests().next().is_some()
    }

    /// Makes room for input that is discarded.
    pub(super) fn discard_input(&mut self) {
        self.input.clear();
        set_capacity(&mut self.input, READ_BYTES);
    }

    /// Handles a read of `length` bytes; 0 is the end of the input.
    pub(super) fn on_received(&mut self, length: usize) {
        self.turn.count_bytes(length);
        if self.has_stopped_requests {
            self.input.clear();
        }
        if length == 0 {
            self.on_input_ended();
        } else {
            self.last_received = Instant::now();
            self.has_read_since_idle = true;
        }
    }

    /// Handles the end of the input: the client has left, or waits for its remaining answers.
    fn on_input_ended(&mut self) {
        self.has_stopped_requests = true;
        self.has_input_ended = true;
        self.report_half_close();
    }

    /// Handles a disconnect with input still unread, which is read and answered but not forwarded.
    pub(super) fn on_disconnected(&mut self) {
        self.has_client_left = true;
        if let Some(upload) = &mut self.upload {
            upload.discard();
        }
        self.report_half_close();
    }

    /// The requests that the dispatcher has not answered.
    fn open_requests(&self) -> impl Iterator<Item = ClientRequestId> + '_ {
        let pending = self.pending.iter().filter_map(|pending| match pending {
            PendingAnswer::Request(request) => Some(request.id),
            PendingAnswer::Line(_) => None,
        });
        pending.chain(self.download.as_ref().and_then(Download::resumption))
    }

    /// Reports the half-close for all open requests, so that no new attempt begins for them.
    fn report_half_close(&self) {
        for id in self.open_requests() {
            self.downstream.dispatcher.on_client_half_closed(id);
        }
    }

    /// Reports the client of each open request as gone.
    pub(super) fn report_clients_gone(&self) {
        for id in self.open_requests() {
            self.downstream.dispatcher.on_client_gone(id);
        }
    }
}
