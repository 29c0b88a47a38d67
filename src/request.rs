//! Requests and the results of their attempts.

use crate::endpoint::ServerId;
use crate::time::Micros;

/// Key of the requested object; equal keys refer to the same object.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key(pub u64);

/// Id of a request: the 36 characters of a UUID, not interpreted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub [u8; 36]);

/// A client's request.
#[derive(Clone, Debug)]
pub struct Request {
    /// Id of the request, never reused.
    pub id: RequestId,
    /// Time at which the client stops waiting.
    pub deadline: Micros,
    /// Expected processing time, if known.
    pub expected_work: Option<Micros>,
    /// Key of the requested object, if any.
    pub key: Option<Key>,
    /// Whether the request is a write.
    pub is_write: bool,
    /// Index of the class in the settings.
    pub class: u32,
    /// Index of the tenant in the settings; an index out of range stands for an unknown tenant.
    pub tenant: u32,
    /// Whether the client marked the request as its own retry.
    pub is_client_retry: bool,
}

/// Result of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    /// The server served the request.
    Served,
    /// The server reported an error; the request may have been executed.
    Error,
    /// The server was overloaded and rejected the request; it was not executed.
    Rejected,
    /// No response in time; the request may have been executed or may still be.
    Timeout,
    /// The connection failed, or the request was not fully written when the connection broke or its deadline
    /// passed; it was not executed.
    ConnectFailed,
    /// The connection broke; the request may have been executed.
    Reset,
    /// The balancer cancelled the attempt; the request may have been executed.
    Cancelled,
    /// The attempt was never sent.
    NotSent,
    /// The server does not have the key; nothing was executed.
    Miss,
}

/// A completed attempt.
#[derive(Clone, Debug)]
pub struct CompletedAttempt {
    /// The request.
    pub id: RequestId,
    /// The server of the attempt.
    pub server: ServerId,
    /// Number of the attempt within its request, from zero.
    pub attempt: u32,
    /// Time since the send.
    pub latency: Micros,
    /// Result of the attempt.
    pub result: AttemptResult,
    /// Whether the request is closed and needs no further decisions.
    pub is_request_closed: bool,
    /// On a miss: whether the server has already asked another request to fetch the key.
    pub fetch_in_progress: bool,
}
