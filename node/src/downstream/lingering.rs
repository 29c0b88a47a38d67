//! A connection's service from its start to the moment after its close, in which it still counts as a descriptor.
//!
//! A close over unread bytes would reset the connection and could take the last answer with it, so that what still comes is
//! read off for a moment. The connection's slot is free meanwhile.

use std::rc::Rc;

use tokio::io::{AsyncRead, AsyncReadExt};
use tokio::time::timeout;

use super::connection::DownstreamConnection;
use super::slots::OccupiedSlot;
use super::stream::ClientStream;
use super::{Downstream, LINGER_TIMEOUT};

/// How many bytes are read off then at most.
const LINGER_BYTES: u64 = 256 * 1024;
/// The part of the clients' connections (one in so many) above which no more may linger: their descriptors still count.
const LINGERING_DIVISOR: usize = 16;

impl OccupiedSlot {
    /// Serves this connection to its end, and reads it off for a moment after the slot is free.
    pub(super) async fn serve(self, stream: impl ClientStream) -> std::io::Result<()> {
        let reader = DownstreamConnection::new(&self.downstream, &self.slot).serve(stream).await?;
        let downstream = Rc::clone(&self.downstream);
        if let Some(reader) = reader.filter(|_| downstream.may_linger()) {
            // The descriptor is still counted.
            let _lingering = LingeringConnection::new(&downstream);
            drop(self);
            linger(reader).await;
        }
        Ok(())
    }
}

/// Counts a connection that is over but for what may cross its close.
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
    fn may_linger(&self) -> bool {
        self.lingering.get() <= self.resource_limits.client_connections / LINGERING_DIVISOR
    }
}

/// Reads off for a moment what a client still sends that has its last answer.
async fn linger(reader: impl AsyncRead + Unpin) {
    let (mut rest, mut sink) = (reader.take(LINGER_BYTES), tokio::io::sink());
    let _ = timeout(LINGER_TIMEOUT, tokio::io::copy(&mut rest, &mut sink)).await;
}
