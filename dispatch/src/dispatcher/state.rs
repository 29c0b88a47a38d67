//! What the dispatcher keeps: open requests, attempts that are out, timers and the servers that serve.

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
use crate::numbers::AttemptId;
use crate::request::{ClientRequest, ClientRequestId, Over};
use crate::start_times::StartTimes;
use crate::values::Answer;

/// A time that does not come.
pub(super) const NEVER: Micros = Micros(u64::MAX);

/// A request that has no final answer yet.
pub(super) struct Open {
    pub(super) request: Rc<ClientRequest>,
    pub(super) answer: oneshot::Sender<Answer>,
    pub(super) deadline: Micros,
    pub(super) attempts: u32,
    pub(super) out: u32,
    /// The client sends no more and may be gone; the decisions has let go of it.
    pub(super) left: bool,
    /// Until when a repeat may go out, counted from the first attempt.
    pub(super) by: Micros,
    pub(super) over: Over,
}

/// An attempt that is out.
pub(super) struct Running {
    pub(super) request: ClientRequestId,
    pub(super) server: ServerId,
    pub(super) attempt: u32,
    pub(super) sent: Micros,
}

/// What a timer is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Due {
    Module(u64),
    Attempt(AttemptId),
    Request(ClientRequestId),
}

/// All that the dispatcher keeps.
pub(crate) struct Inner {
    pub(crate) balancer: Balancer,
    pub(super) carrier: Rc<dyn Carrier>,
    pub(super) requests: FxHashMap<ClientRequestId, Open>,
    /// The clients' ids of the open requests; peers choose them, so that their hash is seeded.
    pub(super) ids: HashSet<Bytes>,
    pub(super) attempts: FxHashMap<AttemptId, Running>,
    /// Attempts that have timed out and whose answer may still come.
    pub(super) late: FxHashMap<AttemptId, ClientRequestId>,
    pub(super) timers: BinaryHeap<Reverse<(Micros, Due)>>,
    pub(super) actions: Vec<Action>,
    pub(super) last: u64,
    pub(super) serving: FxHashMap<ServerId, (EndpointState, Option<SocketAddr>)>,
    pub(crate) bans: Bans,
    pub(super) start_times: StartTimes,
}

impl Inner {
    /// Forgets a request that is over, and tells its attempts.
    pub(super) fn close(&mut self, id: ClientRequestId) -> Option<Open> {
        let open = self.requests.remove(&id)?;
        self.ids.remove(&open.request.id);
        open.over.set(true);
        Some(open)
    }
}
