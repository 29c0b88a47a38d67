//! The state that balancers share: limits on all balancers together, and their reports about servers. If
//! nothing is shared, every method of [`OptionalCoordination`] permits the balancer to proceed.

use crate::action::RejectReason;
use crate::endpoint::{Endpoint, EndpointState, ServerId};
use crate::request::AttemptResult;
use crate::time::Micros;

/// A limit on all balancers together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SharedLimit {
    /// Rate of attempts at the origin.
    OriginRate,
    /// Attempts at a server in slow start, which is identified by its id and start time.
    SlowStart(ServerId, Micros),
    /// Retries and hedged requests, as a budget relative to first attempts.
    RetryBudget,
}

/// A serving cache server of the current endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServingServer {
    /// The server.
    pub server: ServerId,
    /// Time of the last start; a restarted server counts as another server.
    pub started: Micros,
    /// Zone of the server.
    pub zone: u32,
}

/// The limits that a balancer shares with others, and the others' reports about servers. Without an
/// implementation, only the balancer's own limits and observations apply.
pub trait Coordination: std::fmt::Debug {
    /// Time until one more use of the limit may begin: `Some(Micros::ZERO)` if it may begin now, `None` if
    /// the limit is not shared. A query counts as demand: if the use has to wait, this balancer requests
    /// tokens, or credits for the retry budget, from others.
    fn wait_time(&mut self, limit: SharedLimit, now: Micros) -> Option<Micros>;
    /// Takes one use of the limit. [`Coordination::wait_time`] returned `Some(Micros::ZERO)` or `None` at the
    /// same time.
    fn acquire(&mut self, limit: SharedLimit, now: Micros);
    /// Records that a request that needed the limit was rejected, or that the limit denied it an attempt.
    fn on_denied(&mut self, limit: SharedLimit, now: Micros);
    /// Records a new request that is not a client's retry.
    fn on_new_request(&mut self, now: Micros);
    /// Records the cache servers that serve after a change of the endpoint list.
    fn on_endpoints_changed(&mut self, servers: &[ServingServer]);
    /// Records whether the server with this start time failed to respond to this balancer's own attempt
    /// (`is_silent`) or responded.
    fn on_server_observed(&mut self, server: ServerId, started: Micros, is_silent: bool, now: Micros);
    /// Whether this attempt should avoid the server because other balancers report that it does not respond.
    /// A suspected server still gets occasional trial attempts, and each call may select the attempt as a
    /// trial. `last_response` is the time of the server's last response to this balancer.
    /// `responses_per_second` is the mean rate at which one server responds to this balancer, an estimate of
    /// the rate of its attempts.
    fn should_avoid(
        &mut self,
        server: ServerId,
        started: Micros,
        last_response: Micros,
        responses_per_second: f64,
        now: Micros,
    ) -> bool;
}

/// The evidence that a completed attempt gives about the load of its server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LoadEvidence {
    /// The server accepts requests.
    Accepted,
    /// The server is overloaded or unreachable.
    Rejected,
    /// No evidence either way.
    Inconclusive,
}

impl LoadEvidence {
    /// Whether the server rejected the attempt; `None` if unknown.
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
    /// Time until one more use of the limit may begin; `Micros::ZERO` if it is not shared.
    pub(crate) fn wait_time(&mut self, limit: SharedLimit, now: Micros) -> Micros {
        self.0.as_mut().and_then(|shared| shared.wait_time(limit, now)).unwrap_or_default()
    }

    /// Whether a hedged request is within its budget: the shared budget if there is one, otherwise the
    /// balancer's own.
    pub(crate) fn allows_hedge(&mut self, now: Micros, own_budget: f64) -> bool {
        self.0
            .as_mut()
            .and_then(|shared| shared.wait_time(SharedLimit::RetryBudget, now))
            .map_or(own_budget >= 1.0, |wait| wait.0 == 0)
    }

    /// Records a rejection, if its reason means that the request needed the shared rate limit of the origin.
    pub(crate) fn on_rejected(&mut self, now: Micros, reason: RejectReason) {
        let needed_origin = matches!(
            reason,
            RejectReason::QueueTimeout | RejectReason::Preempted | RejectReason::DeadlineUnreachable
        );
        if !needed_origin {
            return;
        }
        if let Some(shared) = &mut self.0 {
            shared.on_denied(SharedLimit::OriginRate, now);
        }
    }

    /// Records a new request that is not a client's retry.
    pub(crate) fn on_new_request(&mut self, now: Micros) {
        if let Some(shared) = &mut self.0 {
            shared.on_new_request(now);
        }
    }

    /// Takes one use of each shared limit that applies to an attempt: the origin's rate limit or the limit of
    /// slow start, and the retry budget.
    pub(crate) fn on_send(&mut self, now: Micros, to: &Endpoint, is_origin: bool, uses_retry_budget: bool) {
        let Some(shared) = &mut self.0 else { return };
        let limit =
            if is_origin { SharedLimit::OriginRate } else { SharedLimit::SlowStart(to.server, to.started) };
        shared.acquire(limit, now);
        if uses_retry_budget {
            shared.acquire(SharedLimit::RetryBudget, now);
        }
    }

    /// Passes on the serving cache servers of a changed endpoint list.
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

    /// Whether this attempt should avoid the cache server because other balancers report that it does not
    /// respond.
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

    /// Whether the shared limit on slow start allows an attempt at this cache server. A denied attempt counts
    /// as demand.
    pub(crate) fn allows_slow_start(&mut self, now: Micros, server: &Endpoint) -> bool {
        let Some(shared) = &mut self.0 else { return true };
        let limit = SharedLimit::SlowStart(server.server, server.started);
        let is_exhausted = shared.wait_time(limit, now).is_some_and(|wait| wait > Micros::ZERO);
        if is_exhausted {
            shared.on_denied(limit, now);
        }
        !is_exhausted
    }

    /// Reports whether the server responded to an attempt. A server that rejects does respond, but a
    /// rejection is no evidence about the other balancers' attempts, so it is not reported.
    pub(crate) fn on_attempt_completed(
        &mut self,
        now: Micros,
        server: &Endpoint,
        result: AttemptResult,
        evidence: LoadEvidence,
    ) {
        let is_silent = match result {
            AttemptResult::Served | AttemptResult::Miss if evidence == LoadEvidence::Accepted => false,
            AttemptResult::Timeout | AttemptResult::ConnectFailed if evidence == LoadEvidence::Rejected => {
                true
            }
            _ => return,
        };
        if let Some(shared) = &mut self.0 {
            shared.on_server_observed(server.server, server.started, is_silent, now);
        }
    }
}
