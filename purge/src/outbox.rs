//! The datagrams of a replica or member that wait to be sent, bounded, with a count of what left.

use std::net::SocketAddr;

use crate::limits::MAX_OUTBOX;
use crate::metrics::Traffic;
use crate::wire::{encode, Message};

/// Datagrams that wait to be drained.
#[derive(Clone, Debug, Default)]
pub(crate) struct Outbox {
    datagrams: Vec<(SocketAddr, Vec<u8>)>,
    /// What left so far.
    pub(crate) sent: Traffic,
    /// Datagrams dropped because [`MAX_OUTBOX`] waited.
    pub(crate) dropped: u64,
}

impl Outbox {
    /// Encodes a message once and sends it to all of these.
    pub(crate) fn send(&mut self, to: impl IntoIterator<Item = SocketAddr>, message: &Message) {
        let Some(bytes) = encode(message) else { return };
        for address in to {
            if self.datagrams.len() >= MAX_OUTBOX {
                self.dropped += 1;
                continue;
            }
            self.sent.add(bytes.len());
            self.datagrams.push((address, bytes.clone()));
        }
    }

    /// Takes out all that waits.
    pub(crate) fn drain(&mut self) -> Vec<(SocketAddr, Vec<u8>)> {
        std::mem::take(&mut self.datagrams)
    }
}
