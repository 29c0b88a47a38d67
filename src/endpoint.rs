//! The endpoint list: the servers that discovery returns, and the updates of the list.

use crate::time::Micros;

/// Id of a cache server or of the origin in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerId(pub u64);

/// A server's state in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    /// The server accepts requests.
    Serving,
    /// The server completes its open requests; no new ones may be sent to it.
    Draining,
    /// The server is gone.
    Deleted,
}

/// One server of the endpoint list.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// Id of the server.
    pub server: ServerId,
    /// Zone of the server.
    pub zone: u32,
    /// Kind of machine.
    pub kind: u32,
    /// Cell of the server.
    pub cell: u32,
    /// State of the server.
    pub state: EndpointState,
    /// Relative capacity.
    pub weight: f64,
    /// Time of the last start; zero if that was long ago.
    pub started: Micros,
}

/// How the endpoints of an update relate to the current list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointUpdate {
    /// Changed endpoints only.
    Delta,
    /// The complete list.
    Snapshot,
    /// The complete list as last stored, possibly stale.
    Restored,
    /// Endpoints that an operator changed. They give no information about discovery: neither that it responds
    /// nor that a watch is open.
    OperatorOverride,
    /// A call to discovery failed or a watch broke; the current list stays in use.
    Unavailable,
}

impl EndpointUpdate {
    /// Whether the update contains every server, so that servers missing from it are gone.
    pub fn is_complete(self) -> bool {
        matches!(self, EndpointUpdate::Snapshot | EndpointUpdate::Restored)
    }
}
