//! What the dispatcher stores: open requests, attempts in flight, timers and the endpoint list in use.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use juniperladder::{Action, Balancer, EndpointState, Micros, ServerId};
use rustc_hash::FxHashMap;
use tokio::sync::oneshot;

use crate::bans::Bans;
use crate::carrier::Carrier;
use crate::identifiers::AttemptId;
use crate::request::{ClientRequest, ClientRequestId, ClosedFlag};
use crate::start_times::StartTimes;
use crate::values::Answer;

/// A time that does not come.
pub(super) const NO_DEADLINE: Micros = Micros(u64::MAX);

/// A request that has no final answer yet.
pub(super) struct OpenRequest {
    pub(super) request: Rc<ClientRequest>,
    pub(super) answer: oneshot::Sender<Answer>,
    pub(super) deadline: Micros,
    /// How many attempts have begun.
    pub(super) attempts: u32,
    pub(super) attempts_in_flight: u32,
    /// The client sends no more and may be gone; the decisions have closed the request.
    pub(super) is_half_closed: bool,
    /// Until when a retry may be written, as servers drop it until then; counted from the first attempt.
    pub(super) retry_write_deadline: Micros,
    pub(super) closed: ClosedFlag,
}

/// An attempt in flight.
pub(super) struct InFlightAttempt {
    pub(super) request: ClientRequestId,
    pub(super) server: ServerId,
    /// Which attempt of its request it is, from zero.
    pub(super) attempt: u32,
    pub(super) begun: Micros,
}

/// What a timer is for. At the same time they fire in this order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    /// One of the decisions', with their token.
    Decisions(u64),
    /// The deadline of an attempt.
    Attempt(AttemptId),
    /// The deadline of a request.
    Request(ClientRequestId),
}

/// A server of the endpoint list in use.
#[derive(Clone, Copy, Debug)]
pub(super) struct KnownServer {
    pub(super) state: EndpointState,
    pub(super) address: Option<SocketAddr>,
}

/// All that changes in the dispatcher.
pub(crate) struct DispatcherState {
    pub(crate) balancer: Balancer,
    pub(super) carrier: Rc<dyn Carrier>,
    pub(super) requests: FxHashMap<ClientRequestId, OpenRequest>,
    /// The clients' ids of the open requests; peers choose them, so that their hash is seeded.
    pub(super) client_ids: HashSet<Bytes>,
    pub(super) attempts: FxHashMap<AttemptId, InFlightAttempt>,
    /// Attempts that have timed out and whose answer may still come.
    pub(super) timed_out: FxHashMap<AttemptId, ClientRequestId>,
    pub(super) timers: BinaryHeap<Reverse<(Micros, Timer)>>,
    /// The buffer for the decisions' actions, empty between two events.
    pub(super) actions: Vec<Action>,
    /// The last number that was given to a request or an attempt.
    pub(super) last_id: u64,
    pub(super) servers: FxHashMap<ServerId, KnownServer>,
    pub(crate) bans: Bans,
    pub(super) start_times: StartTimes,
}

impl DispatcherState {
    /// The next number for a request or an attempt.
    pub(super) fn next_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }

    /// Removes a request, and cancels what of its attempts is not written yet.
    pub(super) fn remove_request(&mut self, id: ClientRequestId) -> Option<OpenRequest> {
        let open = self.requests.remove(&id)?;
        self.client_ids.remove(&open.request.id);
        open.closed.set(true);
        Some(open)
    }

    pub(super) fn add_timer(&mut self, at: Micros, timer: Timer) {
        self.timers.push(Reverse((at, timer)));
    }
}
