//! The requests of a connection, which are dispatched, rejected, or forwarded while they arrive.

use bytes::Bytes;
use juniperladder::Micros;
use tokio::time::Duration;

use super::answers::{PendingAnswer, PendingRequest};
use super::{DownstreamConnection, MAX_INVALID_REQUESTS, MAX_PENDING_ANSWERS};
use crate::clock;
use crate::counters::increment;
use crate::dispatcher::{ClientRequest, UnreadWait};
use crate::downstream::upload::StreamedUpload;
use crate::memcache::{Incoming, BUSY, VALUE_TOO_LARGE};

/// Requests read within this time after the accept may have waited in the backlog with their connection.
const EARLY_REQUEST_WINDOW: Duration = Duration::from_millis(20);

impl DownstreamConnection<'_> {
    /// Takes the complete requests from the input, up to the limits on pending answers and unread output, and up to the end
    /// of the connection's turn.
    pub(super) fn take_requests(&mut self) {
        while !self.turn.is_over() && self.can_take_request() {
            let Some(incoming) = self.request_reader.next(&mut self.input) else { return };
            self.turn.count_request();
            self.on_incoming(incoming);
        }
    }

    /// Whether the next request may be taken. One behind a value that is being streamed is not, as the end of the connection,
    /// should the value break off, would lose its answer.
    fn can_take_request(&mut self) -> bool {
        !self.has_stopped_requests
            && !self.is_upload_blocked()
            && self.download.is_none()
            && self.pending.len() < MAX_PENDING_ANSWERS
            && self.output.len() < self.downstream.resource_limits.unread_answer_bytes
            && self.can_hold_request()
    }

    fn on_incoming(&mut self, incoming: Incoming) {
        match incoming {
            Incoming::ReadinessCheck => self.answer_readiness(),
            Incoming::Request { request, class } => {
                if let Some(request) = self.classify(request, &class) {
                    self.dispatch_request(*request);
                }
            }
            Incoming::Upload { request, class, length } => self.begin_upload(request, &class, length),
            Incoming::UploadChunk { chunk, is_last } => self.on_upload_chunk(chunk, is_last),
            Incoming::Malformed(answer_line) => self.reject_invalid(answer_line),
            Incoming::Unrecoverable(answer_line) => {
                self.reject_invalid(answer_line);
                self.has_stopped_requests = true;
            }
            Incoming::Quit => self.has_stopped_requests = true,
        }
    }

    fn answer_readiness(&mut self) {
        let is_ready = self.downstream.dispatcher.is_ready();
        self.pending.push_back(PendingAnswer::Line(if is_ready { "MN" } else { "SERVER_ERROR not ready" }));
    }

    fn begin_upload(&mut self, request: Box<ClientRequest>, class: &[u8], length: usize) {
        if !self.downstream.dispatcher.can_upload() {
            return self.reject_invalid(VALUE_TOO_LARGE);
        }
        let request = self.classify(request, class);
        self.upload =
            request.map(|request| StreamedUpload::new(request, length, self.downstream.buffers.clone()));
        if let Some(upload) = self.upload.as_mut().filter(|_| self.has_client_left) {
            upload.discard();
        }
    }

    /// Forwards a chunk of an upload. If the request line was rejected, the value is skipped.
    fn on_upload_chunk(&mut self, chunk: Bytes, is_last: bool) {
        let chunk = self.hold_reservation_for(chunk);
        if let Some(upload) = &mut self.upload {
            upload.on_chunk(&self.downstream.dispatcher, chunk, is_last);
        }
        if let Some(upload) = self.upload.take_if(|_| is_last) {
            self.dispatch_request(upload.into_request());
        }
    }

    /// Sets the class and the tenant of a request. A request of a class that the settings lack is rejected with
    /// an error line, and `None` is returned: without a class, it has no deadline and no idempotency, and servers
    /// would reject it too. A request with a tenant that the settings lack, or with none, is served like all
    /// others and counts for no tenant's quota.
    fn classify(&mut self, mut request: Box<ClientRequest>, class: &[u8]) -> Option<Box<ClientRequest>> {
        let labels = &self.downstream.labels;
        let Some(class) = position_of(&labels.classes, class) else {
            self.reject_invalid("CLIENT_ERROR unknown class");
            return None;
        };
        request.class = class;
        let tenant_property = request.properties.iter().find(|(name, _)| name.as_ref() == b"t");
        let tenant = tenant_property.and_then(|(_, tenant)| position_of(&labels.tenants, tenant));
        request.tenant = tenant.unwrap_or(labels.tenants.len() as u32);
        Some(request)
    }

    /// Dispatches a request whose last byte has been received.
    fn dispatch_request(&mut self, mut request: ClientRequest) {
        self.incomplete_since = None;
        request.value = request.value.map(|value| self.hold_reservation_for(value));
        if self.has_client_left {
            return self.answer_abandoned();
        }
        let client_id = request.id.clone();
        let accepted = self.downstream.dispatcher.accept_delayed(request, self.take_unread_wait());
        let Some((id, answer)) = accepted else { return self.reject_invalid("CLIENT_ERROR id in use") };
        let reservations = [self.request_reservation.take(), self.take_input_reservation()];
        let pending = PendingRequest { id, client_id, answer, _reservations: reservations };
        self.pending.push_back(PendingAnswer::Request(pending));
        self.slot.is_busy.set(true);
        if !self.slot.has_had_request.replace(true) {
            self.downstream.close_surplus_idle_connections();
        }
    }

    /// How long the request that was just received has waited unread.
    fn take_unread_wait(&mut self) -> UnreadWait {
        let known_wait = self.complete_since.take().map(|since| since.elapsed());
        let at_least = clock::micros(known_wait.unwrap_or_default());
        UnreadWait { at_least, at_most: self.longest_unread_wait() }
    }

    /// The longest that a request read now may have waited unread: one read right after the accept of its
    /// connection may have arrived long before.
    fn longest_unread_wait(&self) -> Micros {
        if self.slot.accepted.elapsed() < EARLY_REQUEST_WINDOW {
            clock::micros(self.slot.backlog_wait)
        } else {
            Micros(0)
        }
    }

    /// Answers invalid input with `answer_line`. The connection ends after [`MAX_INVALID_REQUESTS`].
    fn reject_invalid(&mut self, answer_line: &'static str) {
        // The wait was that of this request, and not of the next.
        self.complete_since = None;
        increment(&self.downstream.dispatcher.counters().malformed_requests);
        self.pending.push_back(PendingAnswer::Line(answer_line));
        self.invalid_requests += 1;
        self.has_stopped_requests |= self.invalid_requests >= MAX_INVALID_REQUESTS;
    }

    /// Answers a request with busy instead of forwarding it, because its client has already left.
    fn answer_abandoned(&mut self) {
        increment(&self.downstream.dispatcher.counters().requests_abandoned);
        self.pending.push_back(PendingAnswer::Line(BUSY));
    }

    /// Ends a connection whose client waits for no answer and has sent part of a request.
    pub(super) fn end_mid_request(&mut self) {
        increment(&self.downstream.dispatcher.counters().connections_cut);
        self.pending.push_back(PendingAnswer::Line("CLIENT_ERROR command not finished in time"));
        self.has_stopped_requests = true;
    }
}

/// The position of this name in the settings.
pub(super) fn position_of(names: &[String], name: &[u8]) -> Option<u32> {
    names.iter().position(|known| known.as_bytes() == name).map(|position| position as u32)
}
