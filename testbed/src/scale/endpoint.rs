//! The interface to a member's control code, the same over sockets and in simulated time.

use std::net::SocketAddr;

use super::Micros;

/// An outgoing packet: destination address and payload.
pub type Datagram = (SocketAddr, Vec<u8>);

/// The protocol that a packet, or a part of a packet, belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(usize)]
pub enum PacketKind {
    /// Membership gossip.
    Membership,
    /// Rate limits shared by all members.
    RateLimit,
    /// Rate limits of cache servers in slow start.
    SlowStart,
    /// The retry budget shared by all members.
    RetryBudget,
    /// Failure reports on cache servers.
    FailureDetector,
    /// Purges, their acknowledgements, and registrations of members.
    Purge,
    /// Calibration traffic of the testbed.
    Calibration,
    /// Not decodable as any of the above.
    Unknown,
}

impl PacketKind {
    /// Number of kinds.
    pub const COUNT: usize = 8;
    /// All kinds, in declaration order.
    pub const ALL: [PacketKind; PacketKind::COUNT] = [
        PacketKind::Membership,
        PacketKind::RateLimit,
        PacketKind::SlowStart,
        PacketKind::RetryBudget,
        PacketKind::FailureDetector,
        PacketKind::Purge,
        PacketKind::Calibration,
        PacketKind::Unknown,
    ];

    /// The name in results.
    pub fn name(self) -> &'static str {
        match self {
            PacketKind::Membership => "membership",
            PacketKind::RateLimit => "limits",
            PacketKind::SlowStart => "warm_up",
            PacketKind::RetryBudget => "retries",
            PacketKind::FailureDetector => "verdicts",
            PacketKind::Purge => "purge",
            PacketKind::Calibration => "calibration",
            PacketKind::Unknown => "unknown",
        }
    }
}

/// A condition on a member's state. The testbed checks it periodically to measure how fast a change propagates.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StateQuery {
    /// The member considers the member at this address alive.
    Alive(SocketAddr),
    /// The member does not consider the member at this address alive.
    NotAlive(SocketAddr),
    /// The member avoids the silent cache server.
    SilentServerAvoided,
}

/// An event at a member or purge replica that the checks of a run evaluate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointEvent {
    /// The member applied the purge with this number.
    PurgeApplied(u32),
    /// The member discarded all its cached values.
    CacheCleared,
    /// The member began to serve.
    ServingStarted,
    /// The member stopped serving. It was last observed serving at the given time.
    ServingEnded(Micros),
    /// The member was started, without any state.
    Started,
    /// The member was killed.
    Stopped,
    /// The purge replica accepted the purge with this number.
    PurgeAccepted(u32),
    /// The purge replica rejected the purge with this number, or was not running.
    PurgeRejected(u32),
    /// The purge replica reported the purge with this number as applied by all members.
    PurgeCompleted(u32),
}

/// The control code of a member or purge replica: a state machine without I/O and without a clock.
pub trait Endpoint {
    /// Handles a received packet.
    fn on_datagram(&mut self, now: Micros, from: SocketAddr, payload: &[u8]);
    /// Handles timers that are due; called periodically.
    fn on_tick(&mut self, now: Micros);
    /// Takes the packets to send.
    fn drain_datagrams(&mut self) -> Vec<Datagram>;
    /// Publishes the purge with this number at a purge replica; has no effect on a member.
    fn publish_purge(&mut self, _now: Micros, _number: u32) {}
    /// Takes the events since the last call.
    fn drain_events(&mut self, _now: Micros) -> Vec<EndpointEvent> {
        Vec::new()
    }
    /// Whether the state satisfies the query.
    fn satisfies(&mut self, _query: &StateQuery) -> bool {
        false
    }
    /// Number of members considered alive, this member included, or `None` if the mechanism has no membership.
    fn known_member_count(&self) -> Option<usize> {
        None
    }
}
