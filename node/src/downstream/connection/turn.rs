//! Shares the event loop fairly among connections.
//!
//! Guarantee: however much a client sends, its connection does a bounded amount of work before all others that are ready
//! have had their turns.

use tokio::task::yield_now;

/// The requests that a connection may take in a turn.
const REQUESTS_PER_TURN: usize = 32;
/// The bytes that count as much as a request, which it takes to copy and skip them.
const BYTES_PER_REQUEST: usize = 2 << 10;

/// The work that a connection has done in its turn.
#[derive(Debug, Default)]
pub(super) struct Turn {
    requests: usize,
}

impl Turn {
    /// Counts a request, or anything else that is taken from the input.
    pub(super) fn count_request(&mut self) {
        self.requests += 1;
    }

    /// Counts bytes that were read.
    pub(super) fn count_bytes(&mut self, bytes: usize) {
        self.requests += bytes / BYTES_PER_REQUEST;
    }

    /// Whether the work of a turn is done.
    pub(super) fn is_over(&self) -> bool {
        self.requests >= REQUESTS_PER_TURN
    }

    /// Ends the turn and lets the other connections run.
    pub(super) async fn end(&mut self) {
        self.requests = 0;
        yield_now().await;
    }
}
