//! The bounded queue of datagrams that a replica or member is about to send, with traffic counters.

use std::net::SocketAddr;

use crate::limits::MAX_OUTBOX_DATAGRAMS;
use crate::metrics::Traffic;
use crate::wire::{encode, Message};

/// Queue of datagrams to be drained by the caller.
#[derive(Clone, Debug, Default)]
pub(crate) struct Outbox {
    datagrams: Vec<(SocketAddr, Vec<u8>)>,
    /// Traffic queued for sending so far.
    pub(crate) sent: Traffic,
    /// Datagrams dropped because [`MAX_OUTBOX_DATAGRAMS`] datagrams were queued.
    pub(crate) dropped: u64,
}

impl Outbox {
    /// Encodes a message once and queues it for each address.
    pub(crate) fn send(&mut self, to: impl IntoIterator<Item = SocketAddr>, message: &Message) {
        let Some(bytes) = encode(message) else { return };
        for address in to {
            if self.datagrams.len() >= MAX_OUTBOX_DATAGRAMS {
                self.dropped += 1;
                continue;
            }
            self.sent.record(bytes.len());
            self.datagrams.push((address, bytes.clone()));
        }
    }

    /// Drains the queue.
    pub(crate) fn drain(&mut self) -> Vec<(SocketAddr, Vec<u8>)> {
        std::mem::take(&mut self.datagrams)
    }
}
