//! The process that serves at a cache server's address from one start of it to the next.

use juniperladder::{Micros, ServerId, ServingServer};
use serde::{Deserialize, Serialize};

/// One start of a cache server. A server that started again is another one: nothing that was reported or limited for the
/// earlier process concerns it. The order of the fields is part of the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ServerIncarnation {
    /// The server.
    #[serde(with = "crate::wire::server_id")]
    pub server: ServerId,
    /// When it started, by the endpoint list.
    #[serde(with = "crate::wire::micros")]
    pub started: Micros,
}

impl ServerIncarnation {
    /// A number that is the same at every member, and spread over all 64 bits.
    pub(crate) fn hash(&self) -> u64 {
        mix(self.server.0 ^ mix(self.started.0))
    }
}

impl From<&ServingServer> for ServerIncarnation {
    fn from(serving: &ServingServer) -> ServerIncarnation {
        ServerIncarnation { server: serving.server, started: serving.started }
    }
}

/// Mixes the bits of a number (the finalizer of SplitMix64).
pub(crate) fn mix(number: u64) -> u64 {
    let number = (number ^ (number >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let number = (number ^ (number >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    number ^ (number >> 31)
}
