//! Packets between balancers: a header of four bytes, then what `postcard` makes of the values. Messages to one member go in as
//! few packets as hold them.
//!
//! A packet that is truncated, too long, of another version or malformed is an error of its reader, and nothing else: none of
//! its messages is taken.
//!
//! The order of fields and variants is part of the protocol.

#[cfg(test)]
mod tests;

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::server_incarnation::ServerIncarnation;
use crate::{failure_detector, rate_limit, retry_budget, MAX_PACKET_BYTES};

/// The first bytes of every packet: two for the program, one for the version.
const MAGIC: [u8; 3] = [b'J', b'L', 2];
/// The length of a packet's header: the magic bytes and the kind.
pub const HEADER_BYTES: usize = MAGIC.len() + 1;
/// The kind of a packet of the membership.
const KIND_MEMBERSHIP: u8 = 0;
/// The kind of a packet of coordination messages.
const KIND_COORDINATION: u8 = 1;
/// The most messages in a packet; those that are sent have no more.
const MAX_MESSAGES: usize = 64;

/// What a coordination message is for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// A rate limit, by its number in the configuration.
    RateLimit(u8, rate_limit::Message),
    /// The limit of a server in slow start.
    SlowStart(ServerIncarnation, rate_limit::Message),
    /// The retry budget.
    RetryBudget(retry_budget::Message),
    /// The failure detector.
    FailureDetector(failure_detector::Message),
}

/// A message from one balancer to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CoordinationMessage {
    /// A digest of the terms: members whose configurations differ do not coordinate.
    pub terms_digest: u32,
    /// What it says.
    pub payload: Payload,
}

/// What a packet holds.
#[derive(Clone, Debug, PartialEq)]
pub enum Packet<'a> {
    /// The membership protocol's own bytes.
    Membership(&'a [u8]),
    /// Coordination messages, in order.
    Coordination(Vec<CoordinationMessage>),
}

/// Why a packet was dropped.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PacketError {
    /// It is longer than any that is sent.
    #[error("the packet is longer than {MAX_PACKET_BYTES} bytes")]
    TooLong,
    /// Another program or another version sent it.
    #[error("the packet is not of this version of the protocol")]
    UnknownVersion,
    /// Its kind is none of this version.
    #[error("the packet is of an unknown kind")]
    UnknownKind,
    /// It has no message.
    #[error("the packet holds no message")]
    Empty,
    /// It has more messages than any that is sent.
    #[error("the packet holds more than {MAX_MESSAGES} messages")]
    TooManyMessages,
    /// Its bytes are no messages.
    #[error("the packet's messages cannot be decoded")]
    Malformed(#[from] postcard::Error),
}

/// Decodes a packet.
///
/// # Errors
/// Why it is dropped.
pub fn decode(bytes: &[u8]) -> Result<Packet<'_>, PacketError> {
    if bytes.len() > MAX_PACKET_BYTES {
        return Err(PacketError::TooLong);
    }
    let rest = bytes.strip_prefix(&MAGIC).ok_or(PacketError::UnknownVersion)?;
    match rest {
        [KIND_MEMBERSHIP, rest @ ..] => Ok(Packet::Membership(rest)),
        [KIND_COORDINATION, rest @ ..] => decode_messages(rest).map(Packet::Coordination),
        _ => Err(PacketError::UnknownKind),
    }
}

/// All messages, or an error: half a packet is no packet.
fn decode_messages(mut rest: &[u8]) -> Result<Vec<CoordinationMessage>, PacketError> {
    let mut messages = Vec::new();
    while !rest.is_empty() {
        let (message, more) = postcard::take_from_bytes(rest)?;
        if messages.len() == MAX_MESSAGES {
            return Err(PacketError::TooManyMessages);
        }
        messages.push(message);
        rest = more;
    }
    if messages.is_empty() {
        return Err(PacketError::Empty);
    }
    Ok(messages)
}

/// Encodes a packet of the membership.
pub fn encode_membership(bytes: &[u8]) -> Vec<u8> {
    [&MAGIC[..], &[KIND_MEMBERSHIP], bytes].concat()
}

/// A packet that is filled with messages to one member.
struct OpenPacket {
    to: SocketAddr,
    bytes: Vec<u8>,
    messages: usize,
}

impl OpenPacket {
    fn with_message(to: SocketAddr, message: &[u8]) -> OpenPacket {
        let bytes = [&MAGIC[..], &[KIND_COORDINATION], message].concat();
        OpenPacket { to, bytes, messages: 1 }
    }

    fn has_room_for(&self, message: &[u8]) -> bool {
        self.bytes.len() + message.len() <= MAX_PACKET_BYTES && self.messages < MAX_MESSAGES
    }

    fn add(&mut self, message: &[u8]) {
        self.bytes.extend_from_slice(message);
        self.messages += 1;
    }
}

/// Encodes messages into packets, those to one member together as far as they fit.
pub fn encode_messages(
    messages: impl IntoIterator<Item = (SocketAddr, CoordinationMessage)>,
) -> Vec<(SocketAddr, Vec<u8>)> {
    let mut packets: Vec<OpenPacket> = Vec::new();
    for (to, message) in messages {
        // Neither can happen with what the modules send; what cannot be sent is lost, as any packet may be.
        let Ok(message) = postcard::to_stdvec(&message) else { continue };
        if HEADER_BYTES + message.len() > MAX_PACKET_BYTES {
            continue;
        }
        match packets.iter_mut().find(|packet| packet.to == to && packet.has_room_for(&message)) {
            Some(packet) => packet.add(&message),
            None => packets.push(OpenPacket::with_message(to, &message)),
        }
    }
    packets.into_iter().map(|packet| (packet.to, packet.bytes)).collect()
}
