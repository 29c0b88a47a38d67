//! The events that the caller reports to its [`Balancer`](crate::Balancer).

use crate::endpoint::{Endpoint, EndpointUpdate};
use crate::request::{CompletedAttempt, Request, RequestId};

/// An event that the caller reports to its balancer.
#[derive(Clone, Debug)]
pub enum Event<'a> {
    /// Discovery returned endpoints or failed, or an operator changed endpoints.
    EndpointsChanged(EndpointUpdate, &'a [Endpoint]),
    /// A client sent a request.
    Request(Request),
    /// A streamed response has begun; from now on no other attempt may answer the request.
    ResponseStarted(RequestId),
    /// An attempt has completed.
    AttemptCompleted(CompletedAttempt),
    /// The timer with this token is due.
    Timer(u64),
    /// The caller needs no further decisions on the request: its client has disconnected or stopped sending,
    /// or the request has been answered otherwise. Attempts in flight still report their completion.
    RequestAbandoned(RequestId),
}
