//! What balancers share, seen from the decisions: limits that hold for all of them together, and what they
//! report to one another of servers. Where nothing is shared, every method of [`OptionalCoordination`] lets
//! the balancer go on.

use crate::action::RejectReason;
use crate::endpoint::{Endpoint, EndpointState, ServerId};
use crate::request::AttemptResult;
use crate::time::Micros;

/// A limit on all balancers together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SharedLimit {
    /// Attempts at the origin.
    OriginRate,
    /// Attempts at a server in slow start: which, and when it started.
    SlowStart(ServerId, Micros),
    /// Retries and hedged requests, as a budget relative to first attempts.
    RetryBudget,
}

/// A cache server that serves, by the endpoint list in use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServingServer {
    /// The server.
    pub server: ServerId,
    /// When it last started; a server that started anew counts as another.
    pub started: Micros,
    /// Its zone.
    pub zone: u32,
}

/// The limits that a balancer shares with others, and what these report of servers. Without one only the
/// balancer's own limits and observations hold.
pub trait Coordination: std::fmt::Debug {
    /// How long one more use of the limit has to wait: `Some(Micros::ZERO)` if it may begin now, `None` if
    /// the limit is not shared. Asking counts as need: where it has to wait, this member asks others for
    /// tokens (credits).
    fn wait_time(&mut self, limit: SharedLimit, now: Micros) -> Option<Micros>;
    /// One use begins. [`Coordination::wait_time`] was `Some(Micros::ZERO)` or `None` at the same time.
    fn acquire(&mut self, limit: SharedLimit, now: Micros);
    /// A request that needed the limit was rejected.
    fn on_rejected(&mut self, limit: SharedLimit, now: Micros);
    /// A request has come in that is not a client's retry.
    fn on_new_request(&mut self, now: Micros);
    /// The endpoint list changed; these cache servers serve.
    fn on_endpoints_changed(&mut self, servers: &[ServingServer]);
    /// An own attempt showed that the server with this start is silent, or that it answers.
    fn on_server_observed(&mut self, server: ServerId, started: Micros, silent: bool, now: Micros);
    /// Whether this attempt avoids the server because others report it silent. A suspected server is tried
    /// now and then; each call may draw such a trial. `last_response` is when the server last answered this
    /// balancer, `responses_per_second` the mean rate at which one server responds to this balancer; it
    /// stands in for the rate of its attempts.
    fn should_avoid(
        &mut self,
        server: ServerId,
        started: Micros,
        last_response: Micros,
        responses_per_second: f64,
        now: Micros,
    ) -> bool;
}

/// What a completed attempt shows of its server's load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LoadEvidence {
    /// It takes requests.
    Accepted,
    /// It is overloaded or out of reach.
    Rejected,
    /// Nothing.
    Inconclusive,
}

impl LoadEvidence {
    /// Whether the server rejected the attempt; `None` where that is not known.
    pub(crate) fn is_rejected(self) -> Option<bool> {
        match self {
            LoadEvidence::Accepted => Some(false),
            LoadEvidence::Rejected => Some(true),
            LoadEvidence::Inconclusive => None,
        }
    }
}

/// The [`Coordination`] in use, if there is any.
#[derive(Debug, Default)]
pub(crate) struct OptionalCoordination(pub(crate) Option<Box<dyn Coordination>>);

impl OptionalCoordination {
    /// How long one more use of the limit has to wait; `Micros::ZERO` where nothing is shared.
    pub(crate) fn wait_time(&mut self, limit: SharedLimit, now: Micros) -> Micros {
        self.0.as_mut().and_then(|shared| shared.wait_time(limit, now)).unwrap_or_default()
    }

    /// Whether a hedged request is within its budget: the shared one where there is one, otherwise the
    /// balancer's own.
    pub(crate) fn allows_hedge(&mut self, now: Micros, own_budget: f64) -> bool {
        self.0
            .as_mut()
            .and_then(|shared| shared.wait_time(SharedLimit::RetryBudget, now))
            .map_or(own_budget >= 1.0, |wait| wait.0 == 0)
    }

    /// A request was rejected; some reasons mean that it needed the origin's limit.
    pub(crate) fn on_rejected(&mut self, now: Micros, reason: RejectReason) {
        let needed_origin = matches!(
            reason,
            RejectReason::QueueTimeout | RejectReason::Preempted | RejectReason::DeadlineUnreachable
        );
        if !needed_origin {
            return;
        }
        if let Some(shared) = &mut self.0 {
            shared.on_rejected(SharedLimit::OriginRate, now);
        }
    }

    /// A request has come in that is not a client's retry.
    pub(crate) fn on_new_request(&mut self, now: Micros) {
        if let Some(shared) = &mut self.0 {
            shared.on_new_request(now);
        }
    }

    /// An attempt goes out: to the origin or to a cache server, as a retry or as the first.
    pub(crate) fn on_send(&mut self, now: Micros, to: &Endpoint, is_origin: bool, uses_retry_budget: bool) {
        let Some(shared) = &mut self.0 else { return };
        let limit =
            if is_origin { SharedLimit::OriginRate } else { SharedLimit::SlowStart(to.server, to.started) };
        shared.acquire(limit, now);
        if uses_retry_budget {
            shared.acquire(SharedLimit::RetryBudget, now);
        }
    }

    /// The endpoint list in use has changed.
    pub(crate) fn on_endpoints_changed<'a>(&mut self, servers: impl Iterator<Item = &'a Endpoint>) {
        let Some(shared) = &mut self.0 else { return };
        let serving: Vec<ServingServer> = servers
            .filter(|endpoint| endpoint.state == EndpointState::Serving)
            .map(|endpoint| ServingServer {
                server: endpoint.server,
                started: endpoint.started,
                zone: endpoint.zone,
            })
            .collect();
        shared.on_endpoints_changed(&serving);
    }

    /// Whether this attempt avoids the cache server because other balancers report it silent.
    pub(crate) fn should_avoid(
        &mut self,
        now: Micros,
        server: &Endpoint,
        last_response: Micros,
        responses_per_second: f64,
    ) -> bool {
        let Some(shared) = &mut self.0 else { return false };
        shared.should_avoid(server.server, server.started, last_response, responses_per_second, now)
    }

    /// Whether an attempt may go to this cache server by the limit that balancers share while it is in slow
    /// start. Being denied counts as need.
    pub(crate) fn allows_slow_start(&mut self, now: Micros, server: &Endpoint) -> bool {
        let Some(shared) = &mut self.0 else { return true };
        let limit = SharedLimit::SlowStart(server.server, server.started);
        let is_exhausted = shared.wait_time(limit, now).is_some_and(|wait| wait > Micros::ZERO);
        if is_exhausted {
            shared.on_rejected(limit, now);
        }
        !is_exhausted
    }

    /// Reports whether an attempt showed a server as silent. One that rejects is not silent, and what it
    /// rejects says nothing of the other balancers' attempts.
    pub(crate) fn on_attempt_completed(
        &mut self,
        now: Micros,
        at: &Endpoint,
        result: AttemptResult,
        evidence: LoadEvidence,
    ) {
        let silent = match result {
            AttemptResult::Served | AttemptResult::Miss if evidence == LoadEvidence::Accepted => false,
            AttemptResult::Timeout | AttemptResult::ConnectFailed if evidence == LoadEvidence::Rejected => {
                true
            }
            _ => return,
        };
        if let Some(shared) = &mut self.0 {
            shared.on_server_observed(at.server, at.started, silent, now);
        }
    }
}
