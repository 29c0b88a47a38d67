//! The actions that a [`Balancer`](crate::Balancer) asks of its caller.

use crate::endpoint::ServerId;
use crate::request::RequestId;
use crate::time::Micros;

/// Why a request is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectReason {
    /// An answer would be worth nothing any more.
    ObjectiveMissed,
    /// It has had all its attempts, or the retry budget is exhausted.
    AttemptsExhausted,
    /// No server is left that it may be sent to.
    NoEligibleServer,
    /// The useful time left is less than a share of the origin's baseline latency.
    DeadlineUnreachable,
    /// It has waited for capacity at the origin for as long as it may.
    QueueTimeout,
    /// Requests of higher priority fill the queue before the origin.
    Preempted,
    /// All its servers are gapped.
    AllServersGapped,
}

/// What a balancer asks of its caller.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt.
    Send {
        /// The request.
        id: RequestId,
        /// Where to.
        server: ServerId,
        /// The attempt's timeout; `Micros::ZERO` is the request's deadline.
        timeout: Micros,
    },
    /// Final answer: not served, and trying again is harmless.
    Reject {
        /// The request.
        id: RequestId,
        /// Retry-After for the client; `Micros::ZERO` is none.
        retry_after: Micros,
        /// For counters and logs only.
        reason: RejectReason,
    },
    /// Final answer: failed; whether it was executed is unknown.
    Fail {
        /// The request.
        id: RequestId,
    },
    /// Give an [`Event::Timer`](crate::Event::Timer) with this token at this time.
    Timer {
        /// When.
        at: Micros,
        /// Returned with the event.
        token: u64,
    },
    /// Watch discovery for changes of the endpoint list.
    WatchEndpoints,
    /// A line for the report.
    Log(String),
}
