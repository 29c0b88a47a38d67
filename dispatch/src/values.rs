//! The values that every protocol and both sides share: answers, replies and servers.

use std::net::SocketAddr;

use bytes::Bytes;
use juniperladder::{Endpoint, Micros};

use crate::streamed_value::ChunkReceiver;

/// A request's final answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// Served: the value read.
    Value(Bytes),
    /// Served: a value read that is passed on while it still comes.
    Streamed(ChunkReceiver),
    /// Served: the receipt of a write.
    Receipt(Bytes),
    /// Rejected: a retry is harmless, after this time if it is not zero.
    Rejected(Micros),
    /// Failed.
    Failed,
}

impl Answer {
    /// Its name in the log.
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
    /// It failed; the attempt may have been executed.
    Error,
    /// It rejected the attempt, which was not executed.
    Rejected,
}

/// A server of the endpoint list.
#[derive(Clone, Debug)]
pub struct ListedServer {
    /// What the decisions know of it.
    pub endpoint: Endpoint,
    /// Where it listens; none if discovery names no address.
    pub address: Option<SocketAddr>,
}
