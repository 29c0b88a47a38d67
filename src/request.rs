//! Requests and the results of their attempts.

use crate::endpoint::ServerId;
use crate::time::Micros;

/// What a request is about; equal keys ask for the same object.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key(pub u64);

/// A request's id: the 36 characters of a UUID, never interpreted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub [u8; 36]);

/// A client's request.
#[derive(Clone, Debug)]
pub struct Request {
    /// Its id, never used again.
    pub id: RequestId,
    /// When its client gives up.
    pub deadline: Micros,
    /// Expected work, where known.
    pub expected_work: Option<Micros>,
    /// What it is about.
    pub key: Option<Key>,
    /// Whether it writes.
    pub is_write: bool,
    /// Its class.
    pub class: u32,
    /// Its tenant.
    pub tenant: u32,
    /// Whether the client marked it as a retry of its own.
    pub is_client_retry: bool,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    /// Served.
    Served,
    /// The server failed it; it may have been executed.
    Error,
    /// The server was overloaded and rejected it; it was not executed.
    Rejected,
    /// No answer in time; it may have been or may still be executed.
    Timeout,
    /// No connection, or not fully written when the connection broke or its deadline came; it was not
    /// executed.
    ConnectFailed,
    /// The connection broke; it may have been executed.
    Reset,
    /// Cancelled by the balancer; it may have been executed.
    Cancelled,
    /// Never sent.
    NotSent,
    /// The server does not have the key; nothing was executed.
    Miss,
}

/// The end of one attempt.
#[derive(Clone, Debug)]
pub struct CompletedAttempt {
    /// The request.
    pub id: RequestId,
    /// The server the attempt went to.
    pub server: ServerId,
    /// The attempt's number, from zero.
    pub attempt: u32,
    /// Time since the send.
    pub latency: Micros,
    /// How it ended.
    pub result: AttemptResult,
    /// Whether the decisions have nothing more to do with the request.
    pub is_request_over: bool,
    /// On a miss: whether the server has asked another request to fetch the key.
    pub fetch_in_progress: bool,
}
