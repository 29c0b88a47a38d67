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
    /// Number of the server's zone.
    pub zone: u32,
    /// Number of the kind of machine. In cache-aside mode, the settings name the kind that is the origin.
    pub kind: u32,
    /// Number of the server's cell, a group of servers that may share the detection of repeated requests.
    pub cell: u32,
    /// State of the server.
    pub state: EndpointState,
    /// Capacity relative to other servers; ignored unless the settings declare weights comparable.
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
    /// No endpoints: discovery is unavailable, as a poll failed or a watch broke. The current list stays in
    /// use.
    Unavailable,
}

impl EndpointUpdate {
    /// Whether the update contains every server, so that servers missing from it are gone.
    pub fn is_complete(self) -> bool {
        matches!(self, EndpointUpdate::Snapshot | EndpointUpdate::Restored)
    }
}
