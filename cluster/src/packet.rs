//! Packets between balancers: a head of four bytes, then what `postcard` makes of the values. What goes to one member at one
//! time goes in as few packets as hold it.
//!
//! A packet that is truncated, too long, of another version or nonsense is an error of its reader, and nothing else.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::cold::Start;
use crate::{budget, shares, verdicts, LONGEST};

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
    Limit(u8, shares::Message),
    /// The limit of one start of a server that warms up.
    Cold(Start, shares::Message),
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

#[cfg(test)]
mod tests {
    use super::*;
    use crate::shares::{Hold, Lent, Message};

    fn all() -> Vec<Item> {
        let start = Start { server: u64::MAX, started: u64::MAX };
        let hold = Message::Hold(Hold { life: u64::MAX, sent: 12, units: 7 });
        let lent = Message::Lent(Lent { life: 1, sent: u64::MAX, units: 0, spare: u32::MAX });
        let entry = verdicts::Entry {
            start,
            witness: 7,
            zone: 1,
            stamp: u64::MAX,
            age: 9,
            silent: true,
            back: false,
        };
        let told = verdicts::Message::Told { sent: 1, entries: vec![entry; verdicts::MOST_TOLD] };
        let give = budget::Message::Give { life: 3, sent: 4, rights: 5 };
        let abouts = [
            About::Limit(3, hold),
            About::Cold(start, lent),
            About::Second(give),
            About::Verdicts(told),
            About::Verdicts(verdicts::Message::Ask {
                sent: 1,
                digest: u64::MAX,
                about: verdicts::What::HotBack,
            }),
        ];
        abouts.into_iter().map(|about| Item { terms: u32::MAX, about }).collect()
    }

    #[test]
    fn packets_are_read_as_they_were_written() {
        let to = SocketAddr::from(([127, 0, 0, 1], 9));
        let packets = talk(all().into_iter().map(|item| (to, item)));
        let read_back = packets.iter().flat_map(|(_, bytes)| match read(bytes) {
            Ok(Packet::Talk(items)) => items,
            other => panic!("{other:?}"),
        });
        let mut read_back: Vec<Item> = read_back.collect();
        // What fits goes into an earlier packet: the order between packets is free.
        read_back.sort_by_key(|item| format!("{item:?}"));
        let mut sent = all();
        sent.sort_by_key(|item| format!("{item:?}"));
        assert_eq!(read_back, sent);
        assert!(packets.len() <= 2 && packets.iter().all(|(_, bytes)| bytes.len() <= LONGEST));
    }

    #[test]
    fn what_is_truncated_longer_or_nonsense_is_an_error() {
        let to = SocketAddr::from(([127, 0, 0, 1], 9));
        for item in all() {
            let bytes = talk([(to, item)]).remove(0).1;
            for cut in 0..bytes.len() {
                assert!(read(&bytes[..cut]).is_err(), "truncated at {cut}");
            }
            let longer = [&bytes[..], &[0xff; 3]].concat();
            assert_eq!(read(&longer), Err(Wrong::Nonsense));
        }
        assert_eq!(read(&membership(b"abc")), Ok(Packet::Membership(b"abc")));
        assert_eq!(read(&[b'J'; LONGEST + 1]), Err(Wrong::TooLong));
        assert_eq!(read(b"JL\x01\x00"), Err(Wrong::Version));
        assert_eq!(read(b"JL\x02\x09"), Err(Wrong::Nonsense));
    }

    #[test]
    fn more_items_than_are_ever_sent_are_nonsense() {
        let to = SocketAddr::from(([127, 0, 0, 1], 9));
        let give = budget::Message::Give { life: 3, sent: 4, rights: 5 };
        let item = Item { terms: 1, about: About::Second(give) };
        let packets = talk(std::iter::repeat_n((to, item), MOST_ITEMS + 1));
        assert_eq!(packets.len(), 2);
        let both = [&packets[0].1[..], &packets[1].1[HEAD.len() + 1..]].concat();
        assert_eq!(read(&both), Err(Wrong::Nonsense));
    }
}
