//! The process that serves at a cache server's address from one start of it to the next.

use juniperladder::{mix_bits, Micros, ServerId, ServingServer};
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
        mix_bits(self.server.0 ^ mix_bits(self.started.0))
    }
}

impl From<&ServingServer> for ServerIncarnation {
    fn from(serving: &ServingServer) -> ServerIncarnation {
        ServerIncarnation { server: serving.server, started: serving.started }
    }
}
