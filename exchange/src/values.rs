//! The values that every protocol and every side shares: commands, answers, replies and hosts.

use std::net::SocketAddr;

use bytes::Bytes;
use juniperladder::{Entry, Micros};

use crate::long::{Long, Ticket};

/// What a client asks for.
#[derive(Clone, Debug, PartialEq)]
pub struct Command {
    /// The client's id for it.
    pub id: Bytes,
    /// What it is about.
    pub key: Bytes,
    /// The value that it writes; none for a read, and empty for a long one.
    pub value: Option<Bytes>,
    /// For a long value that it writes: what sends the last byte of it, where the rest is on its way already.
    pub ticket: Option<Ticket>,
    /// Its class, by its place in the settings.
    pub class: u32,
    /// Whose it is, by the tenant's place in the settings; beyond them for one that they do not name, and for nobody's.
    pub tenant: u32,
    /// Whether the client marked it as a retry of its own.
    pub retry: bool,
    /// How long the client waits; none if it does not say.
    pub wait: Option<Micros>,
    /// All names and values that came with it.
    pub properties: Vec<(Bytes, Bytes)>,
}

/// A command's final answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// Served: the value read.
    Value(Bytes),
    /// Served: a value read that is passed on while it still comes.
    Long(Long),
    /// Served: the receipt of a write.
    Receipt(Bytes),
    /// A rejection: trying again is harmless, after this time if it is not zero.
    Rejected(Micros),
    /// Failed.
    Failed,
}

/// What a host replied to an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// A final answer.
    Served(Answer),
    /// The host lacks the key.
    Miss {
        /// Whether another fetch of the key is out.
        fetching: bool,
    },
    /// It failed; it may have run.
    Error,
    /// Turned away; it never ran.
    Full,
}

/// A host of the name table.
#[derive(Clone, Debug)]
pub struct Host {
    /// What the module is told of it.
    pub entry: Entry,
    /// Where it listens.
    pub address: Option<SocketAddr>,
}
