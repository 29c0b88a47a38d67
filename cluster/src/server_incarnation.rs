//! Identifies a process of a cache server.

use juniperladder::{mix_bits, Micros, ServerId, ServingServer};
use serde::{Deserialize, Serialize};

/// One process of a cache server, from one start to the next. Reports and limits of an earlier process do not apply to a
/// restarted server. The order of the fields is part of the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ServerIncarnation {
    /// The server.
    #[serde(with = "crate::wire::server_id")]
    pub server: ServerId,
    /// The start time of the process, from the endpoint list.
    #[serde(with = "crate::wire::micros")]
    pub started: Micros,
}

impl ServerIncarnation {
    /// A hash that is the same at every member, spread over all 64 bits.
    pub(crate) fn hash(&self) -> u64 {
        mix_bits(self.server.0 ^ mix_bits(self.started.0))
    }
}

impl From<&ServingServer> for ServerIncarnation {
    fn from(serving: &ServingServer) -> ServerIncarnation {
        ServerIncarnation { server: serving.server, started: serving.started }
    }
}
