//! The actions that a [`Balancer`](crate::Balancer) asks of its caller.

use crate::endpoint::ServerId;
use crate::request::RequestId;
use crate::time::Micros;

/// Why a request is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectReason {
    /// A response would come too late to be useful.
    ObjectiveMissed,
    /// The request has no attempts left, or the retry budget is exhausted.
    AttemptsExhausted,
    /// No server is left that the request may be sent to.
    NoEligibleServer,
    /// The remaining useful time is less than a share of the origin's baseline latency.
    DeadlineUnreachable,
    /// The request has waited in the origin queue for its maximum time.
    QueueTimeout,
    /// Requests of higher priority fill the origin queue.
    Preempted,
    /// No server can take the request, and at least one is gapped.
    AllServersGapped,
}

/// An instruction to the caller.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt.
    Send {
        /// The request.
        id: RequestId,
        /// The server of the attempt.
        server: ServerId,
        /// Timeout of the attempt; `Micros::ZERO` if the attempt may take until the request's deadline.
        timeout: Micros,
    },
    /// Final answer: not served; repeating the request is harmless.
    Reject {
        /// The request.
        id: RequestId,
        /// Retry-After for the client; `Micros::ZERO` if the client gets none.
        retry_after: Micros,
        /// Reason of the rejection, for counters and logs only.
        reason: RejectReason,
    },
    /// Final answer: failed; whether the request was executed is unknown.
    Fail {
        /// The request.
        id: RequestId,
    },
    /// Report an [`Event::Timer`](crate::Event::Timer) with this token at this time.
    Timer {
        /// Time at which the timer is due.
        at: Micros,
        /// Token of the event.
        token: u64,
    },
    /// Poll discovery for the endpoint list, and watch for its changes.
    WatchEndpoints,
    /// Log a line.
    Log(String),
}
