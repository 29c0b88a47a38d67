//! The dispatcher's state: open requests, attempts in flight, timers and the endpoint list in use.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use juniperladder::{Action, Balancer, EndpointState, Micros, ServerId};
use rustc_hash::FxHashMap;
use tokio::sync::oneshot;

use crate::attempt_transport::AttemptTransport;
use crate::executed_ids::ExecutedIds;
use crate::identifiers::AttemptId;
use crate::overrides::OperatorOverrides;
use crate::request::{CancellationFlag, ClientRequest, ClientRequestId, StreamedRead};
use crate::start_times::StartTimes;
use crate::values::{Answer, ListedServer};

/// A time that is never reached.
pub(super) const NO_DEADLINE: Micros = Micros(u64::MAX);

/// A request that has no final answer yet.
pub(super) struct OpenRequest {
    pub(super) request: Rc<ClientRequest>,
    /// Sends the final answer to the client's connection.
    pub(super) answer: oneshot::Sender<Answer>,
    pub(super) deadline: Micros,
    /// The number of attempts begun.
    pub(super) attempts: u32,
    /// The number of attempts begun before, if this request resumes a value that broke off.
    pub(super) earlier_attempts: Option<u32>,
    pub(super) attempts_in_flight: u32,
    /// Whether the client has closed its sending side. It may be gone or still wait for the answer. The decision core
    /// then counts the request as abandoned, so that no new attempt begins.
    pub(super) is_half_closed: bool,
    /// When to stop writing a retry: the end of the deduplication window, which begins with the first attempt. Until
    /// then servers recognize a retry as a duplicate. `NO_DEADLINE` before the first attempt, and for a class without
    /// a window.
    pub(super) retry_write_deadline: Micros,
    /// Shared with the request's attempts; once it is set, no more bytes of them are written.
    pub(super) attempts_cancelled: CancellationFlag,
}

/// An attempt in flight.
pub(super) struct InFlightAttempt {
    pub(super) request: ClientRequestId,
    pub(super) server: ServerId,
    /// The attempt's number within its request, from zero.
    pub(super) number: u32,
    pub(super) begun_at: Micros,
}

/// The purpose of a timer. Timers due at the same time fire in the order of these variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    /// A timer of the decision core, with its token.
    DecisionCore(u64),
    /// The deadline of an attempt.
    Attempt(AttemptId),
    /// The deadline of a request.
    Request(ClientRequestId),
}

/// A server of the endpoint list in use.
#[derive(Clone, Copy, Debug)]
pub(crate) struct KnownServer {
    pub(crate) state: EndpointState,
    pub(crate) address: Option<SocketAddr>,
    /// When it started, by the local clock; zero for long ago.
    pub(crate) started: Micros,
}

impl KnownServer {
    pub(crate) fn new(listed: &ListedServer) -> KnownServer {
        let endpoint = &listed.endpoint;
        KnownServer { state: endpoint.state, address: listed.address, started: endpoint.started }
    }
}

/// The mutable state of the dispatcher.
pub(crate) struct DispatcherState {
    /// The decision core, which decides to which servers requests are sent.
    pub(crate) balancer: Balancer,
    pub(super) transport: Rc<dyn AttemptTransport>,
    pub(super) requests: FxHashMap<ClientRequestId, OpenRequest>,
    /// The client-chosen ids of the open requests. The set has a seeded hash, as clients could choose ids that collide.
    pub(super) client_ids: HashSet<Bytes>,
    /// The ids of closed requests that must not be executed again.
    pub(super) executed_ids: ExecutedIds,
    pub(super) attempts: FxHashMap<AttemptId, InFlightAttempt>,
    /// The requests of attempts that have timed out and whose reply may still arrive.
    pub(super) timed_out: FxHashMap<AttemptId, ClientRequestId>,
    /// Timers by the time at which they fire, earliest first.
    pub(super) timers: BinaryHeap<Reverse<(Micros, Timer)>>,
    /// Reused buffer for the actions of the decision core, empty between events.
    pub(super) actions: Vec<Action>,
    /// The last number assigned to a request or an attempt.
    pub(super) last_id: u64,
    pub(super) servers: FxHashMap<ServerId, KnownServer>,
    pub(crate) overrides: OperatorOverrides,
    pub(super) start_times: StartTimes,
}

impl OpenRequest {
    /// Whether the request resumes a value that broke off, and so was counted before.
    pub(super) fn is_resumption(&self) -> bool {
        self.earlier_attempts.is_some()
    }

    /// What is needed to read the value once more if it breaks off while it is streamed.
    pub(super) fn streamed_read(&self) -> StreamedRead {
        let request = Rc::clone(&self.request);
        StreamedRead { request, deadline: self.deadline, attempts: self.total_attempts() }
    }

    /// The number of attempts begun for the client's request.
    pub(super) fn total_attempts(&self) -> u32 {
        self.attempts + self.earlier_attempts.unwrap_or_default()
    }
}

impl DispatcherState {
    /// Assigns the next number for a request or an attempt.
    pub(super) fn next_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }

    /// Removes a request and cancels its attempts that are not fully written.
    pub(super) fn remove_request(&mut self, id: ClientRequestId) -> Option<OpenRequest> {
        let open = self.requests.remove(&id)?;
        self.client_ids.remove(&open.request.id);
        open.attempts_cancelled.set(true);
        Some(open)
    }

    pub(super) fn add_timer(&mut self, at: Micros, timer: Timer) {
        self.timers.push(Reverse((at, timer)));
    }
}
