//! Answers that the system has taken and not yet sent, as the client reads slowly.
//!
//! Guarantee: a connection closes only once the system has sent every answer. Until then it is neither idle nor closed: input
//! that arrives after a close would reset the connection, and what the system still held would be lost.

use tokio::time::Instant;

use super::DownstreamConnection;
use crate::downstream::stream::ClientReader;
use crate::downstream::{DELIVERY_CHECK_INTERVAL, LINGER_TIMEOUT};

impl DownstreamConnection<'_> {
    /// Whether the connection, all answers of which are written, must not close yet. If so, it is checked again later.
    pub(super) fn must_await_delivery(&mut self, reader: &impl ClientReader) -> bool {
        let has_unsent = self.last_written.is_some() && reader.has_unsent_output();
        self.next_delivery_check = has_unsent.then(|| Instant::now() + DELIVERY_CHECK_INTERVAL);
        has_unsent
    }

    /// Checks again whether the system has sent all answers.
    pub(super) fn check_delivery(&mut self, reader: &impl ClientReader) {
        if !self.must_await_delivery(reader) {
            self.last_written = Some(Instant::now());
        }
    }

    /// Whether an answer may still be in transit: input that arrives after the close would reset the connection,
    /// and the answer would be lost.
    pub(super) fn has_written_recently(&self) -> bool {
        self.last_written.is_some_and(|written| written.elapsed() < LINGER_TIMEOUT)
    }
}
