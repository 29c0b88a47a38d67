//! The identifiers of servers, keys and attempts.
//!
//! Guarantee: those of servers and keys are made from their names alone, and so are the same at every balancer and after
//! every restart. Those of attempts are this process's own.

use std::fmt;

use juniperladder::{Key, ServerId};

/// Identifies one attempt for as long as the process runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AttemptId(pub u64);

/// A hash of 64 bits that is the same at every balancer and after every restart (FNV-1a, then mixed).
pub fn hash(bytes: &[u8]) -> u64 {
    let mixed = bytes.iter().fold(0xcbf2_9ce4_8422_2325_u64, |sum, byte| {
        (sum ^ u64::from(*byte)).wrapping_mul(0x0000_0100_0000_01b3)
    });
    let mixed = (mixed ^ (mixed >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    mixed ^ (mixed >> 33)
}

/// A key's identifier: its own value where it is sixteen hexadecimal digits, so that no two of them meet,
/// and a hash otherwise. Placement rests on its being the same everywhere.
pub fn key(text: &[u8]) -> Key {
    Key(hexadecimal(text, 16).unwrap_or_else(|| hash(text)))
}

/// A server's identifier, from its name alone: nothing is stored for servers that have gone, and every balancer has the
/// same one whatever it has seen before. Names of the usual form have the value of their digits, below
/// 2^32; the others have a hash above 2^63, so that the two kinds never meet.
pub fn server_id(name: &str) -> ServerId {
    let digits = name.strip_prefix("s-").and_then(|digits| hexadecimal(digits.as_bytes(), 8));
    ServerId(digits.unwrap_or_else(|| hash(name.as_bytes()) | 1 << 63))
}

/// How the log names a server: by the name itself where it has the usual form, and by its identifier otherwise. Formatted only
/// where a line is written, as the lines of single requests mostly are not.
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

/// The value of exactly so many lower-case hexadecimal digits.
fn hexadecimal(text: &[u8], digits: usize) -> Option<u64> {
    let plain = text.len() == digits && text.iter().all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f'));
    let text = std::str::from_utf8(text).ok().filter(|_| plain)?;
    u64::from_str_radix(text, 16).ok()
}
