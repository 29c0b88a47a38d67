//! The events that the caller reports to its [`Balancer`](crate::Balancer).

use crate::endpoint::{Endpoint, EndpointUpdate};
use crate::request::{CompletedAttempt, Request, RequestId};

/// What the caller reports to its balancer.
#[derive(Clone, Debug)]
pub enum Event<'a> {
    /// Discovery answered or failed, or an operator changed endpoints.
    EndpointsChanged(EndpointUpdate, &'a [Endpoint]),
    /// A request has come in.
    Request(Request),
    /// A streamed response has begun; no other attempt may answer the request now.
    ResponseStarted(RequestId),
    /// An attempt has ended.
    AttemptCompleted(CompletedAttempt),
    /// The timer with this token is due.
    Timer(u64),
    /// The caller decides this request from now on: its client has left or sends no more, or it has been
    /// answered otherwise. Attempts in flight still report their completion.
    RequestAbandoned(RequestId),
}
