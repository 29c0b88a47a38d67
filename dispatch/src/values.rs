//! Types shared by all protocols, the client side and the server side: answers, replies and servers.

use std::net::SocketAddr;

use bytes::Bytes;
use juniperladder::{Endpoint, Micros};

use crate::streamed_value::ChunkReceiver;

/// A request's final answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// Served: the value read.
    Value(Bytes),
    /// Served: a value read that is forwarded to the client while the server still sends it.
    Streamed(ChunkReceiver),
    /// Served: the receipt of a write.
    Receipt(Bytes),
    /// Rejected: a retry is safe, after this Retry-After delay if it is not zero.
    Rejected(Micros),
    /// Failed: neither served nor rejected.
    Failed,
}

impl Answer {
    /// The answer's name in the log.
    pub fn label(&self) -> &'static str {
        match self {
            Answer::Value(_) => "value",
            Answer::Streamed(_) => "streamed value",
            Answer::Receipt(_) => "receipt",
            Answer::Rejected(_) => "busy",
            Answer::Failed => "failed",
        }
    }
}

/// A server's reply to an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// A final answer.
    Served(Answer),
    /// The server does not have the key.
    Miss {
        /// Whether another fetch of the key is in flight.
        fetch_in_progress: bool,
    },
    /// The attempt failed and may have been executed.
    Error,
    /// The server rejected the attempt without executing it.
    Rejected,
}

/// A server of the endpoint list.
#[derive(Clone, Debug)]
pub struct ListedServer {
    /// The server as the decision core knows it.
    pub endpoint: Endpoint,
    /// Listening address; none if discovery names none.
    pub address: Option<SocketAddr>,
}
