//! Passes each event of `src/event.rs` to its handler, which appends actions of `src/action.rs`.
//!
//! Each decision and each state machine has its own file in `src/balancer/`; docs/design.md describes how
//! they work together. Decisions are deterministic: the same events at the same times with the same seed give
//! the same actions.

mod admission;
mod concurrency_limit;
mod discovery_schedule;
mod endpoint_set;
mod forwarding;
mod gap_ladder;
mod hedging;
mod limit_view;
mod open_request;
mod origin;
mod origin_queue;
mod placement;
mod rate_estimator;
mod request_table;
mod retry;
mod routing;
mod slow_start;
mod zone_health;

pub use discovery_schedule::{
    BackoffRange, DiscoveryBackoff, DISCOVERY_BACKOFF, MAX_POLL_INTERVAL, MIN_DISCOVERY_PAUSE,
    START_SPREAD_SHARE,
};
pub use limit_view::{BindingLimit, LimitView, LimitsView};

use crate::action::Action;
use crate::coordination::{Coordination, OptionalCoordination};
use crate::endpoint::{Endpoint, EndpointUpdate, ServerId};
use crate::event::Event;
use crate::request::RequestId;
use crate::settings::Settings;
use crate::time::Micros;
use admission::ClientWaitEstimator;
use discovery_schedule::DiscoverySchedule;
use endpoint_set::EndpointSet;
use gap_ladder::{GapLadder, BALANCERS_WITHOUT_LONGER_GAPS};
use hedging::HedgeBudget;
use open_request::OpenRequest;
use origin_queue::OriginQueue;
use placement::Placement;
use rate_estimator::RateEstimator;
use request_table::RequestTable;
use zone_health::ZoneHealth;

/// Token of the timer for the next poll of discovery.
const DISCOVERY_TIMER: u64 = 0;
/// Token of the timer that drains the origin queue.
const ORIGIN_QUEUE_TIMER: u64 = 1;
/// First token of the request timers; later tokens count up from here.
const FIRST_REQUEST_TIMER: u64 = 2;

/// The decision core of one balancer; see the crate's documentation for its use.
#[derive(Debug)]
pub struct Balancer {
    settings: Settings,
    rng: fastrand::Rng,
    coordination: OptionalCoordination,
    discovery: DiscoverySchedule,
    endpoints: EndpointSet,
    zones: ZoneHealth,
    /// Rate of responses from cache servers to this balancer.
    response_rate: RateEstimator,
    placement: Placement,
    cache_ladder: GapLadder,
    /// Unlike at cache servers, the longest gap at the origin does not grow with the number of balancers: no
    /// other server can take the origin's requests, so every attempt that a gap holds back is lost.
    origin_ladder: GapLadder,
    origin_queue: OriginQueue,
    client_wait: ClientWaitEstimator,
    hedge_budget: HedgeBudget,
    open_requests: RequestTable,
}

impl Balancer {
    /// Creates a balancer with an empty endpoint list. Equal seeds give equal random numbers.
    pub fn new(settings: Settings, seed: u64) -> Balancer {
        let settings = settings.sanitized();
        let origin_balancers = settings.balancers.min(BALANCERS_WITHOUT_LONGER_GAPS);
        Balancer {
            rng: fastrand::Rng::with_seed(seed),
            coordination: OptionalCoordination::default(),
            discovery: DiscoverySchedule::new(&settings),
            endpoints: EndpointSet::new(settings.balancers),
            zones: ZoneHealth::default(),
            response_rate: RateEstimator::default(),
            placement: Placement::default(),
            cache_ladder: GapLadder::new(&settings, settings.balancers),
            origin_ladder: GapLadder::new(&settings, origin_balancers),
            origin_queue: OriginQueue::default(),
            client_wait: ClientWaitEstimator::new(settings.classes.len()),
            hedge_budget: HedgeBudget::new(),
            open_requests: RequestTable::new(FIRST_REQUEST_TIMER),
            settings,
        }
    }

    /// Makes this balancer obey the limits that it shares with other balancers, and act on their reports.
    pub fn set_coordination(&mut self, coordination: Box<dyn Coordination>) {
        self.coordination = OptionalCoordination(Some(coordination));
    }

    /// The origin that requests currently go to; `None` if no origin is serving.
    pub fn origin_server(&self) -> Option<ServerId> {
        let origin = &self.endpoints.servers[self.endpoints.origin_index?];
        Some(origin.endpoint.server)
    }

    /// Handles one event and appends the resulting actions.
    pub fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::EndpointsChanged(update, endpoints) => {
                self.on_endpoints_changed(now, update, endpoints, actions);
            }
            Event::Request(request) => self.on_request(now, request, actions),
            Event::ResponseStarted(id) => self.on_response_started(&id),
            Event::AttemptCompleted(completed) => self.on_attempt_completed(now, &completed, actions),
            Event::Timer(token) => self.on_timer(now, token, actions),
            Event::RequestAbandoned(id) => self.on_request_abandoned(&id),
        }
    }

    /// Applies an endpoint update, or the failure of discovery, and schedules the next poll of discovery.
    fn on_endpoints_changed(
        &mut self,
        now: Micros,
        update: EndpointUpdate,
        endpoints: &[Endpoint],
        actions: &mut Vec<Action>,
    ) {
        let next_poll = if update == EndpointUpdate::Unavailable {
            Some(self.discovery.on_unavailable(now, &mut self.rng))
        } else {
            self.endpoints.apply_update(update, endpoints, &self.settings);
            self.coordination.on_endpoints_changed(self.endpoints.cache_servers());
            self.discovery.on_endpoints(now, update, &mut self.rng)
        };
        if let Some(at) = next_poll {
            actions.push(Action::Timer { at, token: DISCOVERY_TIMER });
        }
    }

    /// Records that a streamed response has begun, so that no other attempt may answer the request.
    fn on_response_started(&mut self, id: &RequestId) {
        if let Some(open) = self.open_requests.get_mut(id) {
            open.has_response_started = true;
        }
    }

    /// Handles a timer that is due. Tokens for which no request waits any longer are ignored.
    fn on_timer(&mut self, now: Micros, token: u64, actions: &mut Vec<Action>) {
        match token {
            DISCOVERY_TIMER => {
                if self.discovery.is_poll_due(now) {
                    actions.push(Action::WatchEndpoints);
                }
            }
            ORIGIN_QUEUE_TIMER => self.on_drain_timer(now, actions),
            _ => {
                if let Some(open) = self.open_requests.take_due(token) {
                    self.on_request_timer(now, open, actions);
                }
            }
        }
    }

    /// Handles the timer of a request: hedges an attempt without a response, or, if the request has waited in
    /// the origin queue for its maximum time, routes it again.
    fn on_request_timer(&mut self, now: Micros, open: OpenRequest, actions: &mut Vec<Action>) {
        self.origin_queue.remove(&open.request.id);
        if open.attempt_in_flight().is_some() {
            self.hedge(now, open, actions);
        } else {
            self.route(now, open, actions);
        }
    }

    /// Forgets a request on which the caller needs no further decisions.
    fn on_request_abandoned(&mut self, id: &RequestId) {
        let Some(open) = self.open_requests.take(id) else { return };
        self.origin_queue.remove(id);
        self.on_request_closed(&open);
    }

    /// Counts the attempts of a closed write that are still in flight as reads. When they complete, the
    /// request is no longer known, and they are released as reads.
    fn on_request_closed(&mut self, open: &OpenRequest) {
        if !open.request.is_write {
            return;
        }
        for attempt in open.attempts_in_flight() {
            if let Some(server) = self.endpoints.server_mut(attempt.endpoint.server) {
                server.concurrency.count_write_as_read();
            }
        }
    }

    /// Keeps a request open until an attempt completes or, after `wait`, a timer is due.
    fn park(&mut self, now: Micros, wait: Micros, open: OpenRequest, actions: &mut Vec<Action>) {
        let (at, token) = self.open_requests.park(now, wait, open);
        actions.push(Action::Timer { at, token });
    }
}

#[cfg(test)]
mod tests;
