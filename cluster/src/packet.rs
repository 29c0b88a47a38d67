//! Packets between balancers: a header of four bytes, followed by values encoded with `postcard`. Messages to one member are
//! batched into as few packets as possible.
//!
//! Decoding a packet that is truncated, too long, of another version or malformed is an error, and none of its messages is
//! handled.
//!
//! The order of fields and variants is part of the protocol.

#[cfg(test)]
mod tests;

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::server_incarnation::ServerIncarnation;
use crate::{failure_detector, rate_limit, retry_budget, MAX_PACKET_BYTES};

/// The first bytes of every packet: two identify the program, one the protocol version.
const MAGIC_BYTES: [u8; 3] = [b'J', b'L', 2];
/// The length of a packet's header: the magic bytes and the kind.
pub const HEADER_BYTES: usize = MAGIC_BYTES.len() + 1;
/// The kind of a membership packet.
const KIND_MEMBERSHIP: u8 = 0;
/// The kind of a packet with coordination messages.
const KIND_COORDINATION: u8 = 1;
/// The maximum number of messages in a packet, sent or received.
const MAX_MESSAGES: usize = 64;

/// The payload of a coordination message, by the module that it is for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// A message of a rate limit, given by its index in the configuration.
    RateLimit(u8, rate_limit::Message),
    /// A message of the limit on a server in slow start.
    SlowStart(ServerIncarnation, rate_limit::Message),
    /// A message of the retry budget.
    RetryBudget(retry_budget::Message),
    /// A message of the failure detector.
    FailureDetector(failure_detector::Message),
}

/// A message from one balancer to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CoordinationMessage {
    /// A digest of the sender's terms: members whose configurations differ do not coordinate.
    pub terms_digest: u32,
    /// The payload.
    pub payload: Payload,
}

/// The contents of a packet.
#[derive(Clone, Debug, PartialEq)]
pub enum Packet<'a> {
    /// The encoded bytes of the membership protocol.
    Membership(&'a [u8]),
    /// Coordination messages, in order.
    Coordination(Vec<CoordinationMessage>),
}

/// Why a packet was dropped.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PacketError {
    /// The packet exceeds the maximum length.
    #[error("the packet is longer than {MAX_PACKET_BYTES} bytes")]
    TooLong,
    /// The packet was sent by another program or version.
    #[error("the packet is not of this version of the protocol")]
    UnknownVersion,
    /// The packet's kind is not known to this version.
    #[error("the packet is of an unknown kind")]
    UnknownKind,
    /// The packet holds no message.
    #[error("the packet holds no message")]
    Empty,
    /// The packet exceeds the maximum number of messages.
    #[error("the packet holds more than {MAX_MESSAGES} messages")]
    TooManyMessages,
    /// The packet's bytes cannot be decoded into messages.
    #[error("the packet's messages cannot be decoded")]
    Malformed(#[from] postcard::Error),
}

/// Decodes a packet.
///
/// # Errors
/// The reason why the packet has to be dropped.
pub fn decode(bytes: &[u8]) -> Result<Packet<'_>, PacketError> {
    if bytes.len() > MAX_PACKET_BYTES {
        return Err(PacketError::TooLong);
    }
    let rest = bytes.strip_prefix(&MAGIC_BYTES).ok_or(PacketError::UnknownVersion)?;
    match rest {
        [KIND_MEMBERSHIP, rest @ ..] => Ok(Packet::Membership(rest)),
        [KIND_COORDINATION, rest @ ..] => decode_messages(rest).map(Packet::Coordination),
        _ => Err(PacketError::UnknownKind),
    }
}

/// Decodes all messages, or none if any of them is malformed.
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

/// Encodes a membership packet.
pub fn encode_membership(bytes: &[u8]) -> Vec<u8> {
    [&MAGIC_BYTES[..], &[KIND_MEMBERSHIP], bytes].concat()
}

/// A packet to one member that messages can still be added to.
struct OpenPacket {
    to: SocketAddr,
    bytes: Vec<u8>,
    message_count: usize,
}

impl OpenPacket {
    fn with_message(to: SocketAddr, message: &[u8]) -> OpenPacket {
        let bytes = [&MAGIC_BYTES[..], &[KIND_COORDINATION], message].concat();
        OpenPacket { to, bytes, message_count: 1 }
    }

    fn fits(&self, message: &[u8]) -> bool {
        self.bytes.len() + message.len() <= MAX_PACKET_BYTES && self.message_count < MAX_MESSAGES
    }

    fn add(&mut self, message: &[u8]) {
        self.bytes.extend_from_slice(message);
        self.message_count += 1;
    }
}

/// Encodes messages into packets, batching messages to one member as far as they fit.
pub fn encode_messages(
    messages: impl IntoIterator<Item = (SocketAddr, CoordinationMessage)>,
) -> Vec<(SocketAddr, Vec<u8>)> {
    let mut packets: Vec<OpenPacket> = Vec::new();
    for (to, message) in messages {
        // No message of the modules fails to encode or is too long; such a message would be lost, as any packet may be.
        let Ok(message) = postcard::to_stdvec(&message) else { continue };
        if HEADER_BYTES + message.len() > MAX_PACKET_BYTES {
            continue;
        }
        match packets.iter_mut().find(|packet| packet.to == to && packet.fits(&message)) {
            Some(packet) => packet.add(&message),
            None => packets.push(OpenPacket::with_message(to, &message)),
        }
    }
    packets.into_iter().map(|packet| (packet.to, packet.bytes)).collect()
}
