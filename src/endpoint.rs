//! The endpoint list: the servers that discovery names, and how a change relates to the list in use.

use crate::time::Micros;

/// A cache server or the origin, as the endpoint list names it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerId(pub u64);

/// A server's state in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    /// Takes requests.
    Serving,
    /// Finishes what it has; nothing new may be sent.
    Draining,
    /// No longer there.
    Deleted,
}

/// One server of the endpoint list.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// The server.
    pub server: ServerId,
    /// Its zone.
    pub zone: u32,
    /// Its kind of machine.
    pub kind: u32,
    /// Its cell.
    pub cell: u32,
    /// Its state.
    pub state: EndpointState,
    /// Its relative size.
    pub weight: f64,
    /// When it last started; zero is long ago.
    pub started: Micros,
}

/// How given endpoints relate to the list in use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointUpdate {
    /// Changed endpoints only.
    Delta,
    /// The complete list.
    Snapshot,
    /// The complete list as last stored, possibly stale.
    Restored,
    /// Endpoints that an operator changed. They say nothing of discovery: neither that it answers nor that a
    /// watch on it is open.
    OperatorOverride,
    /// A call to discovery failed or a watch broke; the list in use stays.
    Unavailable,
}

impl EndpointUpdate {
    /// Whether it names every server, so that those it does not name are gone.
    pub fn is_complete(self) -> bool {
        matches!(self, EndpointUpdate::Snapshot | EndpointUpdate::Restored)
    }
}
