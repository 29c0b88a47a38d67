//! Serves a connection to its end and then lets it linger: its remaining input is discarded for a moment.
//!
//! Closing a socket with unread bytes would reset the connection and could lose the last answer. A lingering
//! connection has freed its slot, but still counts as a descriptor.

use std::rc::Rc;

use tokio::io::{AsyncRead, AsyncReadExt};
use tokio::time::timeout;

use super::connection::DownstreamConnection;
use super::slots::OccupiedSlot;
use super::stream::ClientStream;
use super::{Downstream, LINGER_TIMEOUT};

/// Bytes that a lingering connection discards at most.
const MAX_LINGER_BYTES: u64 = 256 * 1024;
/// The share of the client connections (one in this many) above which no more may linger, as their
/// descriptors still count.
const LINGERING_DIVISOR: usize = 16;

impl OccupiedSlot {
    /// Serves this connection to its end, frees the slot and discards the remaining input for a moment.
    pub(super) async fn serve(self, stream: impl ClientStream) -> std::io::Result<()> {
        let reader = DownstreamConnection::new(&self.downstream, &self.slot).serve(stream).await?;
        let downstream = Rc::clone(&self.downstream);
        if let Some(reader) = reader.filter(|_| downstream.can_linger()) {
            // Created before the slot is freed, so that the descriptor stays counted.
            let _lingering = LingeringConnection::new(&downstream);
            drop(self);
            linger(reader).await;
        }
        Ok(())
    }
}

/// Counts a lingering connection until dropped.
struct LingeringConnection(Rc<Downstream>);

impl LingeringConnection {
    fn new(downstream: &Rc<Downstream>) -> LingeringConnection {
        downstream.lingering.set(downstream.lingering.get() + 1);
        LingeringConnection(Rc::clone(downstream))
    }
}

impl Drop for LingeringConnection {
    fn drop(&mut self) {
        self.0.lingering.set(self.0.lingering.get() - 1);
        self.0.on_connection_closed();
    }
}

impl Downstream {
    fn can_linger(&self) -> bool {
        self.lingering.get() <= self.resource_limits.client_connections / LINGERING_DIVISOR
    }
}

/// Discards what a client still sends after its last answer, for a limited time and number of bytes.
async fn linger(reader: impl AsyncRead + Unpin) {
    let (mut rest, mut sink) = (reader.take(MAX_LINGER_BYTES), tokio::io::sink());
    let _ = timeout(LINGER_TIMEOUT, tokio::io::copy(&mut rest, &mut sink)).await;
}
