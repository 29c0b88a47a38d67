//! Who is called for which event: the events stand in `src/event.rs`, the actions in `src/action.rs`.
//!
//! Each decision and each state machine has a file of its own in `src/balancer/`; docs/design.md describes
//! how they work together. The same events at the same times give the same actions for the same seed.

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
use admission::Admission;
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

/// Token of the timer for the next call to discovery.
const DISCOVERY_TIMER: u64 = 0;
/// Token of the timer at which the queue before the origin is drained.
const ORIGIN_QUEUE_TIMER: u64 = 1;
/// Token of the first timer of a request; later ones count up from here.
const FIRST_REQUEST_TIMER: u64 = 2;

/// The decisions of one balancer; see the crate's documentation for its use.
#[derive(Debug)]
pub struct Balancer {
    settings: Settings,
    rng: fastrand::Rng,
    coordination: OptionalCoordination,
    discovery: DiscoverySchedule,
    endpoints: EndpointSet,
    zones: ZoneHealth,
    /// How often cache servers respond to this balancer.
    response_rate: RateEstimator,
    placement: Placement,
    cache_ladder: GapLadder,
    /// Nothing stands in for the origin: what is not sent there is lost as well, so that its gaps are
    /// shorter.
    origin_ladder: GapLadder,
    origin_queue: OriginQueue,
    admission: Admission,
    hedge_budget: HedgeBudget,
    open_requests: RequestTable,
}

impl Balancer {
    /// A balancer that knows nothing yet but its settings.
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
            admission: Admission::new(settings.classes.len()),
            hedge_budget: HedgeBudget::new(),
            open_requests: RequestTable::new(FIRST_REQUEST_TIMER),
            settings,
        }
    }

    /// From now on this balancer keeps to the limits that it shares with others, and acts on what they
    /// report.
    pub fn join(&mut self, coordination: Box<dyn Coordination>) {
        self.coordination = OptionalCoordination(Some(coordination));
    }

    /// The origin that requests go to now, if one serves.
    pub fn origin_server(&self) -> Option<ServerId> {
        let origin = &self.endpoints.servers[self.endpoints.origin_index?];
        Some(origin.endpoint.server)
    }

    /// Takes one event in and appends what is to be done.
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

    /// Discovery answered or failed, or an operator changed endpoints.
    fn on_endpoints_changed(
        &mut self,
        now: Micros,
        update: EndpointUpdate,
        endpoints: &[Endpoint],
        actions: &mut Vec<Action>,
    ) {
        let next_call = if update == EndpointUpdate::Unavailable {
            Some(self.discovery.on_unavailable(now, &mut self.rng))
        } else {
            self.endpoints.apply_update(update, endpoints, &self.settings);
            self.coordination.on_endpoints_changed(self.endpoints.cache_servers());
            self.discovery.on_endpoints(now, update, &mut self.rng)
        };
        if let Some(at) = next_call {
            actions.push(Action::Timer { at, token: DISCOVERY_TIMER });
        }
    }

    /// A streamed response has begun.
    fn on_response_started(&mut self, id: &RequestId) {
        if let Some(open) = self.open_requests.get_mut(id) {
            open.has_response_started = true;
        }
    }

    /// The timer with this token is due.
    fn on_timer(&mut self, now: Micros, token: u64, actions: &mut Vec<Action>) {
        match token {
            DISCOVERY_TIMER => {
                if self.discovery.is_call_due(now) {
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

    /// A request has waited long enough for an answer, or for the origin.
    fn on_request_timer(&mut self, now: Micros, open: OpenRequest, actions: &mut Vec<Action>) {
        self.origin_queue.remove(&open.request.id);
        if open.attempt_in_flight().is_some() {
            self.hedge(now, open, actions);
        } else {
            self.route(now, open, actions);
        }
    }

    /// The caller decides this request from now on: it is forgotten.
    fn on_request_abandoned(&mut self, id: &RequestId) {
        let Some(open) = self.open_requests.take(id) else { return };
        self.origin_queue.remove(id);
        self.on_closed_with_attempts(&open);
    }

    /// A request is closed whose attempts may still be in flight. Their ends will release reads, since the
    /// request is not known any more then.
    fn on_closed_with_attempts(&mut self, open: &OpenRequest) {
        if !open.request.is_write {
            return;
        }
        for attempt in open.attempts_in_flight() {
            if let Some(server) = self.endpoints.server_mut(attempt.endpoint.server) {
                server.concurrency.count_write_as_read();
            }
        }
    }

    /// Keeps a request until the end of an attempt or, after `wait`, a timer.
    fn park(&mut self, now: Micros, wait: Micros, open: OpenRequest, actions: &mut Vec<Action>) {
        let (at, token) = self.open_requests.park(now, wait, open);
        actions.push(Action::Timer { at, token });
    }
}

#[cfg(test)]
mod tests;
