//! What a scale test drives: a member's control code behind one trait, the same over sockets and in virtual time.

use std::net::SocketAddr;

use super::Micros;

/// A packet on its way out.
pub type Datagram = (SocketAddr, Vec<u8>);

/// What a packet, or a part of it, is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(usize)]
pub enum PacketKind {
    /// Who is there.
    Membership,
    /// Limits that hold for all members together.
    Limits,
    /// Limits on sends to a cache server that warms up.
    WarmUp,
    /// The retry budget.
    Retries,
    /// Reports on cache servers.
    Verdicts,
    /// Purges, their acknowledgements and the registrations.
    Purge,
    /// Calibration traffic of the test bed.
    Calibration,
    /// None of these.
    Unknown,
}

impl PacketKind {
    /// How many kinds there are.
    pub const COUNT: usize = 8;
    /// All kinds, in the order of their numbers.
    pub const ALL: [PacketKind; PacketKind::COUNT] = [
        PacketKind::Membership,
        PacketKind::Limits,
        PacketKind::WarmUp,
        PacketKind::Retries,
        PacketKind::Verdicts,
        PacketKind::Purge,
        PacketKind::Calibration,
        PacketKind::Unknown,
    ];

    /// The name in tables.
    pub fn name(self) -> &'static str {
        match self {
            PacketKind::Membership => "membership",
            PacketKind::Limits => "limits",
            PacketKind::WarmUp => "warm_up",
            PacketKind::Retries => "retries",
            PacketKind::Verdicts => "verdicts",
            PacketKind::Purge => "purge",
            PacketKind::Calibration => "calibration",
            PacketKind::Unknown => "unknown",
        }
    }
}

/// A question about a member's state, asked from outside while a change spreads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StateQuery {
    /// Whether the member at this address is taken for alive.
    Alive(SocketAddr),
    /// Whether it is not.
    Gone(SocketAddr),
    /// Whether the member passes by the silent cache server.
    HostAvoided,
}

/// What a member did that the checks of a run need.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointEvent {
    /// It acted on the purge of this number.
    Purged(u32),
    /// It dropped all values that it held.
    Voided,
    /// It began to serve.
    ServesNow,
    /// It does not serve any more; it was last seen to at this time.
    ServedUntil(Micros),
    /// It was started, without memory.
    Started,
    /// It was killed.
    Stopped,
    /// As a publisher: the purge was accepted.
    Accepted(u32),
    /// As a publisher: the purge was rejected.
    Rejected(u32),
    /// As a publisher: the purge was reported as done everywhere.
    Done(u32),
}

/// A member's control code: a state machine without I/O and without a clock.
pub trait Endpoint {
    /// A packet has come.
    fn on_datagram(&mut self, now: Micros, from: SocketAddr, bytes: &[u8]);
    /// Does what is due.
    fn on_tick(&mut self, now: Micros);
    /// The packets to send.
    fn drain(&mut self) -> Vec<Datagram>;
    /// Publishes the purge of this number, as a control machine does.
    fn publish(&mut self, _now: Micros, _number: u32) {}
    /// What happened since the last call.
    fn drain_events(&mut self, _now: Micros) -> Vec<EndpointEvent> {
        Vec::new()
    }
    /// Whether the state is as asked.
    fn satisfies(&mut self, _query: &StateQuery) -> bool {
        false
    }
    /// Members that it takes for alive, itself included, where it counts them.
    fn known_members(&self) -> Option<usize> {
        None
    }
}
