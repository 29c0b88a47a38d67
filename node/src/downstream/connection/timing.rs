//! The deadlines of a connection.

use tokio::time::{Duration, Instant};

use super::DownstreamConnection;

/// How long a connection may be without an open request: one that is silent, kept open for good or in the
/// middle of a request holds a descriptor that others need. A partial request does not restart the timeout.
const IDLE_TIMEOUT: Duration = Duration::from_millis(2200);
/// How long a request line may take from its first byte to its last. The idle timeout applies instead if it
/// ends later.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(2500);
/// How long an incomplete value may make no progress.
const VALUE_STALL_TIMEOUT: Duration = Duration::from_millis(2200);
/// How long a value may take in total while its chunks keep arriving.
const VALUE_TIMEOUT: Duration = Duration::from_secs(15);

impl DownstreamConnection<'_> {
    /// When this connection times out in its current state; `None` while its client waits for the dispatcher or
    /// has answers to read. A client reads as slowly as it likes: one that reads a little at a time cannot be told from
    /// one that does not, as the socket accepts more only once much of its buffer is free.
    pub(super) fn deadline(&self) -> Option<Instant> {
        if !self.has_sent_all_answers() {
            return None;
        }
        if let Some(held_up_until) = self.held_up_until() {
            return Some(held_up_until);
        }
        let idle_until = self.slot.idle_since.get() + IDLE_TIMEOUT;
        let incomplete_until = match self.incomplete_since {
            // A value may arrive slowly, but must not stall.
            Some(since) if self.request_reader.has_incomplete_request() => {
                (self.last_received + VALUE_STALL_TIMEOUT).min(since + VALUE_TIMEOUT)
            }
            Some(since) => since + REQUEST_TIMEOUT,
            None => idle_until,
        };
        Some(incomplete_until.max(idle_until))
    }

    /// Updates the times that the deadline depends on.
    pub(super) fn update_times(&mut self) {
        let now = Instant::now();
        let is_busy = !self.has_sent_all_answers();
        if self.slot.is_busy.replace(is_busy) && !is_busy {
            self.slot.idle_since.set(now);
            self.has_read_since_idle = false;
        }
        let has_incomplete_request = !self.input.is_empty() || self.request_reader.has_incomplete_request();
        self.slot.has_incomplete_request.set(has_incomplete_request);
        if is_busy || has_incomplete_request {
            self.withdraw_eviction();
        }
        self.incomplete_since = has_incomplete_request.then(|| self.incomplete_since.unwrap_or(now));
        if self.is_upload_blocked() {
            // The connection waits for the origin side and not for the client.
            self.last_received = now;
        }
        let has_unread_output = !self.output.is_empty() || self.next_delivery_check.is_some();
        self.slot.unread_since.set(has_unread_output.then_some(self.last_output_progress));
        if !has_unread_output {
            self.last_output_progress = now;
        }
    }

    /// Withdraws a pending eviction, as the connection stays open. Another is evicted if a slot is still
    /// needed.
    fn withdraw_eviction(&self) {
        if self.slot.withdraw_eviction() {
            self.downstream.connection_closed.notify_one();
        }
    }
}
