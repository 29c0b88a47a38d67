//! The values that every protocol and every side shares: answers, replies and servers.

use std::net::SocketAddr;

use bytes::Bytes;
use juniperladder::{Endpoint, Micros};

use crate::long::Long;

/// A request's final answer.
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

impl Answer {
    /// What the log calls it.
    pub fn label(&self) -> &'static str {
        match self {
            Answer::Value(_) => "value",
            Answer::Long(_) => "streamed value",
            Answer::Receipt(_) => "receipt",
            Answer::Rejected(_) => "busy",
            Answer::Failed => "failed",
        }
    }
}

/// What a server replied to an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// A final answer.
    Served(Answer),
    /// The server lacks the key.
    Miss {
        /// Whether another fetch of the key is out.
        fetch_in_progress: bool,
    },
    /// It failed; it may have run.
    Error,
    /// Turned away; it never ran.
    Full,
}

/// A server of the endpoint list.
#[derive(Clone, Debug)]
pub struct ListedServer {
    /// What the decisions is told of it.
    pub endpoint: Endpoint,
    /// Where it listens.
    pub address: Option<SocketAddr>,
}
