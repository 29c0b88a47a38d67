//! The identifiers of servers, keys and attempts.
//!
//! Guarantee: identifiers of servers and keys are derived from their names alone, and so are equal at every balancer
//! and after every restart. Identifiers of attempts are local to this process.

use std::fmt;

use juniperladder::{Key, ServerId};

/// Identifies one attempt for the lifetime of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AttemptId(pub u64);

/// A 64-bit hash that is equal at every balancer and after every restart (FNV-1a with a final mix).
pub fn hash(bytes: &[u8]) -> u64 {
    let mixed = bytes.iter().fold(0xcbf2_9ce4_8422_2325_u64, |sum, byte| {
        (sum ^ u64::from(*byte)).wrapping_mul(0x0000_0100_0000_01b3)
    });
    let mixed = (mixed ^ (mixed >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    mixed ^ (mixed >> 33)
}

/// A key's identifier: the numeric value of a key of sixteen hexadecimal digits, so that no two such keys collide, and
/// a hash of any other key. Placement relies on the identifier being equal at every balancer.
pub fn key(text: &[u8]) -> Key {
    Key(parse_hexadecimal(text, 16).unwrap_or_else(|| hash(text)))
}

/// A server's identifier, derived from its name alone: nothing has to be stored for servers that are gone, and
/// all balancers agree on it whatever lists they have received. A name of the form `s-` with eight hexadecimal digits
/// has their value, below 2^32; any other name has a hash above 2^63, so that the two forms never collide.
pub fn server_id(name: &str) -> ServerId {
    let digits = name.strip_prefix("s-").and_then(|digits| parse_hexadecimal(digits.as_bytes(), 8));
    ServerId(digits.unwrap_or_else(|| hash(name.as_bytes()) | 1 << 63))
}

/// A server in a log line: its name if that has the usual form, and its identifier otherwise. Formatted only if the
/// line is written, as the debug lines of single requests mostly are not.
#[derive(Clone, Copy, Debug)]
pub struct ServerLabel(pub ServerId);

impl fmt::Display for ServerLabel {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match u32::try_from(self.0 .0) {
            Ok(digits) => write!(out, "s-{digits:08x}"),
            Err(_) => write!(out, "#{:x}", self.0 .0),
        }
    }
}

/// The value of a text of exactly `digits` lower-case hexadecimal digits.
fn parse_hexadecimal(text: &[u8], digits: usize) -> Option<u64> {
    let plain = text.len() == digits && text.iter().all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f'));
    let text = std::str::from_utf8(text).ok().filter(|_| plain)?;
    u64::from_str_radix(text, 16).ok()
}
