//! Packets between balancers: a head of four bytes, then what `postcard` makes of the values.
//!
//! A packet that is truncated, too long, of another version or nonsense is an error of its reader, and nothing else.

use serde::{Deserialize, Serialize};

use crate::shares::Message;
use crate::LONGEST;

/// The first bytes of every packet: whose, and of which version.
const HEAD: [u8; 3] = [b'J', b'L', 1];
/// What follows the head.
const MEMBERSHIP: u8 = 0;
const LIMIT: u8 = 1;

/// A message about a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OfLimit {
    /// Which limit, by its number.
    pub limit: u8,
    /// The limit's terms in brief: members whose files differ do not share.
    pub terms: u32,
    /// What is said.
    pub message: Message,
}

/// What a packet holds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Packet<'a> {
    /// The membership's own bytes.
    Membership(&'a [u8]),
    /// A message about a limit.
    Limit(OfLimit),
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
        [LIMIT, rest @ ..] => match postcard::take_from_bytes(rest) {
            Ok((message, [])) => Ok(Packet::Limit(message)),
            _ => Err(Wrong::Nonsense),
        },
        _ => Err(Wrong::Nonsense),
    }
}

/// Writes a packet of the membership.
pub fn membership(bytes: &[u8]) -> Vec<u8> {
    [&HEAD[..], &[MEMBERSHIP], bytes].concat()
}

/// Writes a message about a limit; none where it cannot be written, which its few numbers always can.
pub fn of_limit(message: &OfLimit) -> Option<Vec<u8>> {
    let rest = postcard::to_stdvec(message).ok()?;
    Some([&HEAD[..], &[LIMIT], &rest].concat())
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::shares::{Hold, Lent};

    #[test]
    fn packets_are_read_as_they_were_written() {
        let hold = Message::Hold(Hold { life: u64::MAX, sent: 12, units: 7 });
        let lent = Message::Lent(Lent { life: 1, sent: u64::MAX, units: 0, spare: u32::MAX });
        for message in [hold, lent] {
            let message = OfLimit { limit: 3, terms: 0xdead_beef, message };
            let bytes = of_limit(&message).unwrap();
            assert_eq!(read(&bytes), Ok(Packet::Limit(message)));
            assert!(bytes.len() < 40);
            for cut in 0..bytes.len() {
                assert!(read(&bytes[..cut]).is_err(), "truncated at {cut}");
            }
            let longer = [&bytes[..], &[0]].concat();
            assert_eq!(read(&longer), Err(Wrong::Nonsense));
        }
        assert_eq!(read(&membership(b"abc")), Ok(Packet::Membership(b"abc")));
        assert_eq!(read(&[b'J'; LONGEST + 1]), Err(Wrong::TooLong));
        assert_eq!(read(b"JL\x02\x00"), Err(Wrong::Version));
        assert_eq!(read(b"JL\x01\x09"), Err(Wrong::Nonsense));
    }
}
