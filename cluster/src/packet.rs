//! Packets between balancers: a head of four bytes, then what `postcard` makes of the values. What goes to one member at one
//! time goes in as few packets as hold it.
//!
//! A packet that is truncated, too long, of another version or nonsense is an error of its reader, and nothing else.

#[cfg(test)]
mod tests;

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::cold::Start;
use crate::{budget, rate_limit, verdicts, LONGEST};

/// The first bytes of every packet: whose, and of which version.
const HEAD: [u8; 3] = [b'J', b'L', 2];
/// What follows the head.
const MEMBERSHIP: u8 = 0;
const TALK: u8 = 1;
/// Items in a packet; more than those that are sent have.
const MOST_ITEMS: usize = 64;

/// What one item is about.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum About {
    /// A limit, by its number.
    Limit(u8, rate_limit::Message),
    /// The limit of one start of a server that warms up.
    Cold(Start, rate_limit::Message),
    /// The budget of second tries.
    Second(budget::Message),
    /// Verdicts on servers.
    Verdicts(verdicts::Message),
}

/// One item of talk.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    /// The terms in brief: members whose files differ do not share.
    pub terms: u32,
    /// What it says.
    pub about: About,
}

/// What a packet holds.
#[derive(Clone, Debug, PartialEq)]
pub enum Packet<'a> {
    /// The membership's own bytes.
    Membership(&'a [u8]),
    /// Items of talk, in order.
    Talk(Vec<Item>),
}

/// Why a packet was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wrong {
    /// Longer than any that is sent.
    TooLong,
    /// Another program's, or another version's.
    Version,
    /// It makes no sense.
    Nonsense,
}

/// Reads a packet.
///
/// # Errors
/// Why it is dropped.
pub fn read(bytes: &[u8]) -> Result<Packet<'_>, Wrong> {
    if bytes.len() > LONGEST {
        return Err(Wrong::TooLong);
    }
    let rest = bytes.strip_prefix(&HEAD).ok_or(Wrong::Version)?;
    match rest {
        [MEMBERSHIP, rest @ ..] => Ok(Packet::Membership(rest)),
        [TALK, rest @ ..] => items(rest).map(Packet::Talk),
        _ => Err(Wrong::Nonsense),
    }
}

/// All items, or nothing: half a packet is no packet.
fn items(mut rest: &[u8]) -> Result<Vec<Item>, Wrong> {
    let mut items = Vec::new();
    while !rest.is_empty() {
        let (item, more) = postcard::take_from_bytes(rest).map_err(|_| Wrong::Nonsense)?;
        if items.len() == MOST_ITEMS {
            return Err(Wrong::Nonsense);
        }
        items.push(item);
        rest = more;
    }
    if items.is_empty() {
        return Err(Wrong::Nonsense);
    }
    Ok(items)
}

/// Writes a packet of the membership.
pub fn membership(bytes: &[u8]) -> Vec<u8> {
    [&HEAD[..], &[MEMBERSHIP], bytes].concat()
}

/// Writes items into packets, those to one member together as far as they fit.
pub fn talk(items: impl IntoIterator<Item = (SocketAddr, Item)>) -> Vec<(SocketAddr, Vec<u8>)> {
    let mut packets: Vec<(SocketAddr, Vec<u8>, usize)> = Vec::new();
    for (to, item) in items {
        // Neither can happen with what the modules say; what cannot be sent is lost, as any packet may be.
        let Ok(bytes) = postcard::to_stdvec(&item) else { continue };
        if HEAD.len() + 1 + bytes.len() > LONGEST {
            continue;
        }
        let room = |packet: &&mut (SocketAddr, Vec<u8>, usize)| {
            packet.0 == to && packet.1.len() + bytes.len() <= LONGEST && packet.2 < MOST_ITEMS
        };
        match packets.iter_mut().find(room) {
            Some((_, packet, count)) => {
                packet.extend_from_slice(&bytes);
                *count += 1;
            }
            None => packets.push((to, [&HEAD[..], &[TALK], &bytes].concat(), 1)),
        }
    }
    packets.into_iter().map(|(to, packet, _)| (to, packet)).collect()
}
