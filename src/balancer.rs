//! Who is asked for which event. The events stand in `src/event.rs`, the actions in `src/action.rs`; the
//! mechanism is that of docs/design.md, and each concern has a file of its own in `src/balancer/`.

mod concurrency_limit;
mod discovery_schedule;
mod endpoint_set;
mod gap_ladder;
mod open_request;
mod placement;
mod rate_estimator;
mod request_table;
mod slow_start;
pub(crate) mod view;
mod zone_health;

pub use discovery_schedule::{
    BackoffRange, DiscoveryBackoff, DISCOVERY_BACKOFF, MAX_POLL_INTERVAL, MIN_DISCOVERY_PAUSE,
    START_SPREAD_SHARE,
};

use crate::coordination::OptionalCoordination;
use crate::*;
use discovery_schedule::DiscoverySchedule;
use endpoint_set::EndpointSet;
use gap_ladder::{GapLadder, SendOutcome, EVIDENCE_LIFETIME_IN_WINDOWS, MAX_BALANCERS_AT_SHORTEST_TOP};
use open_request::{Attempt, AttemptState, OpenRequest, QueueState};
use placement::{Placement, MAX_CACHE_ATTEMPTS};
use rate_estimator::RateEstimator;
use request_table::RequestTable;
use zone_health::ZoneHealth;

/// Part of the time left after which an unanswered read goes elsewhere too; what an unheard server takes off.
const HEDGE_AFTER: f64 = 0.65;
const HEDGE_SOONER: f64 = 0.22;
/// Such second copies for each first try where a server is met seldom, and how many may be saved up.
const HEDGES: f64 = 0.4;
const HEDGES_SAVED: f64 = 10.0;
/// Parts of their time that reads and writes wait for the origin, the time at its pace for all, and that
/// over which those come back who were refused together.
const READ_WAITS: f64 = 0.3;
const WRITE_WAITS: f64 = 0.8;
const QUEUE: Micros = Micros(400_000);
const SPREAD: Micros = Micros(250_000);
/// The timer tokens of discovery and of the origin's gap; requests use higher ones.
const DISCOVERY_TIMER: u64 = 0;
const PASS: u64 = 1;
const FIRST_REQUEST_TIMER: u64 = PASS + 1;

/// Where a request goes next: to a server, into the queue before the origin, or to its end.
enum Path {
    Send(usize),
    Queue(Micros),
    End(Micros, RejectReason),
}

/// One router's decisions; see the crate's documentation for its use.
#[derive(Debug)]
pub struct Balancer {
    settings: Settings,
    ladder: GapLadder,
    /// That of the origin, which nothing stands in for: what is not sent there is lost as well.
    at_origin: GapLadder,
    rng: fastrand::Rng,
    endpoints: EndpointSet,
    zones: ZoneHealth,
    discovery: DiscoverySchedule,
    placement: Placement,
    response_rate: RateEstimator,
    /// What waits for a place at the origin, with its worth; the longest wait of first tries, by class.
    queue: Vec<(f64, RequestId)>,
    first_waits: Vec<Micros>,
    open_requests: RequestTable,
    passing: bool,
    hedges: f64,
    coordination: OptionalCoordination,
}

impl Balancer {
    /// A balancer that knows nothing yet but its settings.
    pub fn new(settings: Settings, seed: u64) -> Balancer {
        let settings = settings.sanitized();
        Balancer {
            ladder: GapLadder::new(&settings, settings.balancers),
            at_origin: GapLadder::new(&settings, settings.balancers.min(MAX_BALANCERS_AT_SHORTEST_TOP)),
            first_waits: vec![Micros(0); settings.classes.len()],
            endpoints: EndpointSet::new(settings.balancers),
            zones: ZoneHealth::default(),
            discovery: DiscoverySchedule::new(&settings),
            settings,
            rng: fastrand::Rng::with_seed(seed),
            placement: Placement::default(),
            response_rate: RateEstimator::default(),
            queue: vec![],
            open_requests: RequestTable::new(),
            passing: false,
            hedges: HEDGES_SAVED,
            coordination: OptionalCoordination::default(),
        }
    }

    /// Takes one event in and appends what is to be done.
    pub fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::EndpointsChanged(kind, list) => self.on_endpoints_changed(now, kind, list, actions),
            Event::Request(request) => self.arrived(now, request, actions),
            Event::ResponseStarted(id) => self.on_response_started(&id),
            Event::AttemptCompleted(outcome) => self.ended(now, outcome, actions),
            Event::Timer(DISCOVERY_TIMER) => {
                if self.discovery.is_call_due(now) {
                    actions.push(Action::WatchEndpoints);
                }
            }
            Event::Timer(PASS) => {
                self.passing = false;
                self.pass(now, actions);
            }
            Event::Timer(token) => {
                if let Some(pending) = self.open_requests.take_due(token) {
                    self.queue.retain(|(_, queued)| *queued != pending.request.id);
                    match pending.attempt_in_flight() {
                        Some(_) => self.hedge(now, pending, actions),
                        None => self.route(now, pending, actions),
                    }
                }
            }
            Event::ClientDisconnected(id) => {
                if let Some(pending) = self.open_requests.take(&id) {
                    self.queue.retain(|(_, queued)| *queued != id);
                    if let Some(server) =
                        pending.attempt_in_flight().and_then(|a| self.endpoints.server_mut(a.endpoint.server))
                    {
                        server.concurrency.release(now, pending.request.is_write, None);
                        server.concurrency.reserve(false);
                    }
                }
            }
        }
    }

    fn on_response_started(&mut self, id: &RequestId) {
        if let Some(open) = self.open_requests.get_mut(id) {
            open.has_response_started = true;
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

    fn arrived(&mut self, now: Micros, mut request: Request, actions: &mut Vec<Action>) {
        request.tenant = request.tenant.min(self.settings.tenants.len() as u32);
        let spent = self.spent(now, &request);
        let class = self.settings.class(request.class);
        let work = request.expected_work.unwrap_or(Micros(0));
        let aim = class
            .latency_objective
            .saturating_add(work.mul_f64(class.latency_objective_per_work))
            .min(class.deadline.max(class.latency_objective));
        let aim = now.saturating_add(aim.saturating_sub(spent)).min(request.deadline);
        let useful = if class.late_priority_weight > 0.0 { request.deadline } else { aim };
        request.key.filter(|_| !request.is_write).into_iter().for_each(|key| self.placement.on_read(key));
        self.route(now, OpenRequest::new(request, useful), actions);
    }

    /// The time since the client's first try: a client waits as long as its class has it over all its
    /// tries, so that a retry with less time left than first tries have tells how much is gone.
    fn spent(&mut self, now: Micros, request: &Request) -> Micros {
        let class = self.settings.class(request.class);
        let left = request.deadline.saturating_sub(now);
        let first = &mut self.first_waits[(request.class as usize).min(self.settings.classes.len() - 1)];
        if !request.is_client_retry {
            *first = left.max(*first);
            self.coordination.on_first_attempt(now);
            self.hedges = (self.hedges + HEDGES / self.ladder.window_outcomes).min(HEDGES_SAVED);
            return Micros(0);
        }
        let gone = class.deadline.saturating_sub(left);
        gone.mul_f64(if left.saturating_add(self.settings.tick.mul_f64(2.0)) < *first { 1.0 } else { 0.5 })
    }

    fn route(&mut self, now: Micros, mut pending: OpenRequest, actions: &mut Vec<Action>) {
        let id = pending.request.id;
        match self.path(now, &pending) {
            Path::Send(at) => self.send(now, at, pending, actions),
            Path::Queue(wait) => {
                pending.queue_state = QueueState::Waiting;
                let share = pending.request.key.map_or(0.0, |key| self.placement.popularity(key));
                self.queue.push((share + f64::from(pending.request.is_write), id));
                self.hold(now, wait, pending, actions);
                self.next_pass(now, actions);
                let most = self.endpoints.origin_mut().map_or(0, |s| s.concurrency.completions_within(QUEUE));
                if self.queue.len() > most + 2 {
                    // What is worth least is given up, and told so now.
                    let worth = |at: &usize| self.queue[*at].0;
                    let least = (0..self.queue.len()).min_by(|a, b| worth(a).total_cmp(&worth(b)));
                    self.take_on(now, least.unwrap_or(0), QueueState::Preempted, actions);
                }
            }
            Path::End(wait, reason) => {
                self.coordination.on_rejected(now, reason);
                if pending.may_reject(self.settings.class(pending.request.class)) {
                    let limits = &self.settings.limits;
                    let most = if limits.retry_after { limits.max_retry_after } else { Micros(0) };
                    let spread = SPREAD.mul_f64(self.rng.f64());
                    actions.push(Action::Reject {
                        id,
                        retry_after: wait.saturating_add(spread).min(most),
                        reason,
                    });
                } else {
                    actions.push(Action::Fail { id });
                }
            }
        }
    }

    /// Sends a read that waits for a cache elsewhere as well, if there is a place to spare.
    fn hedge(&mut self, now: Micros, pending: OpenRequest, actions: &mut Vec<Action>) {
        let out = pending
            .attempt_in_flight()
            .filter(|_| self.ladder.is_one_outcome_enough())
            .map(|a| (a.endpoint.clone(), a.sent));
        if let Some((to, sent)) = out {
            if let Some(server) = self
                .endpoints
                .server_mut(to.server)
                .filter(|s| s.concurrency.is_timeout_meaningful(now.saturating_sub(sent)))
            {
                server.gap.on_outcome(
                    SendOutcome { sent, completed: now, is_rejected: true },
                    &self.ladder,
                    self.rng.f64(),
                );
                self.zones.on_attempt_completed(to.zone, true);
                self.coordination.on_attempt_completed(now, &to, AttemptResult::Timeout, Some(true));
            }
        }
        match self.path(now, &pending) {
            Path::Send(at) if self.queue.is_empty() && self.coordination.allows_hedge(now, self.hedges) => {
                self.hedges -= 1.0;
                self.send(now, at, pending, actions);
            }
            _ => self.open_requests.insert(pending),
        }
    }

    fn send(&mut self, now: Micros, at: usize, mut pending: OpenRequest, actions: &mut Vec<Action>) {
        let id = pending.request.id;
        let server = &mut self.endpoints.servers[at];
        server.on_send(now, pending.request.tenant, pending.request.is_write);
        let entry = &server.endpoint;
        let second = pending.is_retry();
        pending.queue_state = QueueState::NotQueued;
        pending.attempts.push(Attempt { endpoint: entry.clone(), sent: now, state: AttemptState::InFlight });
        let class = self.settings.class(pending.request.class);
        let origin = self.settings.is_origin(entry);
        self.coordination.on_send(now, entry, origin, second);
        let again = class.idempotency == Idempotency::Idempotent && !origin;
        let unheard = now.saturating_sub(server.last_response).0 as f64
            / (EVIDENCE_LIFETIME_IN_WINDOWS * self.ladder.window.0 as f64);
        let after = HEDGE_AFTER - HEDGE_SOONER * unheard.min(1.0);
        let wait = pending.useful_until.saturating_sub(now).mul_f64(after).max(Micros(1));
        let twice = self.settings.limits.may_duplicate;
        let timeout = if again && !twice { wait } else { Micros(0) };
        actions.push(Action::Send { id, server: entry.server, timeout });
        if again && twice {
            return self.hold(now, wait, pending, actions);
        }
        self.open_requests.insert(pending);
    }

    fn hold(&mut self, now: Micros, wait: Micros, pending: OpenRequest, actions: &mut Vec<Action>) {
        let (at, token) = self.open_requests.park(now, wait, pending);
        actions.push(Action::Timer { at, token });
    }

    fn take_on(&mut self, now: Micros, at: usize, step: QueueState, actions: &mut Vec<Action>) {
        let (_, id) = self.queue.swap_remove(at);
        if let Some(mut pending) = self.open_requests.take(&id) {
            pending.queue_state = step;
            self.route(now, pending, actions);
        }
    }

    /// How long the origin's gap, or the own part of the fleet's limit there, keeps the next send back.
    fn closed(&mut self, now: Micros, tenant: u32) -> Micros {
        let part = self.coordination.wait_time(SharedLimit::OriginRate, now);
        self.endpoints.origin_mut().map_or(part, |s| s.gap.wait(now, tenant, &self.at_origin).max(part))
    }

    fn next_pass(&mut self, now: Micros, actions: &mut Vec<Action>) {
        let wait = if self.queue.is_empty() { Micros(0) } else { self.closed(now, 0) };
        if !self.passing && wait.0 > 0 {
            self.passing = true;
            actions.push(Action::Timer { at: now.saturating_add(wait), token: PASS });
        }
    }

    /// Gives free places at the origin to what is worth most: writes, then reads of popular keys.
    fn pass(&mut self, now: Micros, actions: &mut Vec<Action>) {
        while !self.queue.is_empty() && self.closed(now, 0).0 == 0 {
            let Some(server) = self.endpoints.origin_mut() else { break };
            let room = [false, true].map(|write| server.concurrency.has_capacity(now, write));
            let fitting = (0..self.queue.len()).filter(|at| room[usize::from(self.queue[*at].0 >= 1.0)]);
            let best = fitting.max_by(|a, b| self.queue[*a].0.total_cmp(&self.queue[*b].0));
            let Some(at) = best else { break };
            self.take_on(now, at, QueueState::CapacityReserved, actions);
        }
        self.next_pass(now, actions);
    }

    fn path(&mut self, now: Micros, pending: &OpenRequest) -> Path {
        let used = pending.attempts.len() as u32;
        let left = self.settings.limits.max_attempts.max(1).saturating_sub(used);
        let second = pending.is_retry();
        let spent = left == 0 || second && self.coordination.wait_time(SharedLimit::RetryBudget, now).0 > 0;
        if now >= pending.useful_until || spent {
            return Path::End(
                Micros(0),
                if spent { RejectReason::AttemptsExhausted } else { RejectReason::ObjectiveMissed },
            );
        }
        let tried = pending.has_missed
            || pending.attempt_in_flight().is_some()
            || used as usize >= MAX_CACHE_ATTEMPTS;
        if self.settings.mode == CacheMode::ReadThrough || !(pending.request.is_write || tried || left == 1) {
            if let Some(path) = self.at_cache(now, pending) {
                return path;
            }
        }
        self.at_origin(now, pending)
    }

    /// The first of the key's servers that its gap lets through; none if the list has no more.
    fn at_cache(&mut self, now: Micros, pending: &OpenRequest) -> Option<Path> {
        let key = pending.request.key.unwrap_or(Key(self.rng.u64(..)));
        let homes = self.placement.rank(key, now, &self.endpoints.servers, &self.settings);
        let fair = self.response_rate.per_second(now) / self.endpoints.servers.len().max(1) as f64;
        let mut least = None;
        for place in 0..self.placement.candidates.len() {
            let at = self.placement.candidates[place].server;
            let avoided = self.zones.avoided_share(self.endpoints.servers[at].endpoint.zone);
            let lost = avoided > 0.0 && self.rng.f64() < avoided;
            let server = &mut self.endpoints.servers[at];
            if lost || pending.has_tried(server.endpoint.server) {
                continue;
            }
            let wait = server.gap.wait(now, pending.request.tenant, &self.ladder);
            if wait.0 > 0 {
                least = Some(least.unwrap_or(wait).min(wait));
                continue;
            }
            if now < server.concurrency.paced_until || !server.concurrency.has_capacity(now, true) {
                // A crowded home is no reason to move a key where the origin can serve it.
                if place + 1 >= homes && self.settings.mode != CacheMode::ReadThrough {
                    break;
                }
                continue;
            }
            let class = self.settings.class(pending.request.class);
            if server.has_slow_start_credit(now, fair, &self.settings.rules, &mut self.rng)
                && self.coordination.admits(now, &server.endpoint, server.last_response, fair)
                && pending.may_send(now, &server.endpoint, class, &self.settings.limits)
            {
                return Some(Path::Send(at));
            }
        }
        least
            .filter(|_| self.settings.mode == CacheMode::ReadThrough)
            .map(|wait| Path::End(wait, RejectReason::AllServersGapped))
    }

    fn at_origin(&mut self, now: Micros, pending: &OpenRequest) -> Path {
        let request = &pending.request;
        let wait = self.closed(now, request.tenant);
        let (settings, room) = (&self.settings, pending.useful_until.saturating_sub(now));
        let class = settings.class(request.class);
        let Some(at) = self.endpoints.origin else {
            return Path::End(Micros(0), RejectReason::NoEligibleServer);
        };
        let server = &mut self.endpoints.servers[at];
        if !pending.may_send(now, &server.endpoint, class, &settings.limits) {
            return Path::End(Micros(0), RejectReason::NoEligibleServer);
        }
        let full = wait.0 > 0 || !server.concurrency.has_capacity(now, request.is_write);
        match pending.queue_state {
            QueueState::CapacityReserved => Path::Send(at),
            QueueState::Preempted => Path::End(wait, RejectReason::Preempted),
            QueueState::Waiting => Path::End(wait, RejectReason::QueueTimeout),
            _ if !server.concurrency.can_respond_within(room) => {
                Path::End(wait, RejectReason::DeadlineUnreachable)
            }
            _ if full || !(request.is_write || self.queue.is_empty()) => {
                Path::Queue(room.mul_f64(if request.is_write { WRITE_WAITS } else { READ_WAITS }))
            }
            _ => Path::Send(at),
        }
    }

    fn ended(&mut self, now: Micros, outcome: CompletedAttempt, actions: &mut Vec<Action>) {
        let known = self.open_requests.take(&outcome.id);
        let write = known.as_ref().is_some_and(|p| p.request.is_write);
        if let Some(server) = self.endpoints.server_mut(outcome.server) {
            let (origin, zone) = (self.settings.is_origin(&server.endpoint), server.endpoint.zone);
            let (latency, concurrency) = (outcome.latency, &mut server.concurrency);
            // The origin drops what nobody waits for; a cache server goes on with it.
            let goes_on = (outcome.result == AttemptResult::Timeout && !origin).then_some(latency);
            concurrency.release(now, write, goes_on);
            let rejected = match outcome.result {
                AttemptResult::Rejected | AttemptResult::ConnectFailed => Some(true),
                AttemptResult::Timeout if concurrency.is_timeout_meaningful(latency) => {
                    concurrency.on_timeout(now, latency, origin);
                    // A slow origin still refills caches, and its places bound what waits there.
                    (!origin).then_some(true)
                }
                // A connection that breaks tells of itself; a server that is gone, by the next one.
                AttemptResult::Served | AttemptResult::Miss | AttemptResult::Error | AttemptResult::Reset => {
                    Some(false)
                }
                AttemptResult::Timeout | AttemptResult::Cancelled | AttemptResult::NotSent => None,
            };
            if outcome.result == AttemptResult::Served {
                concurrency.on_response(now, latency);
            }
            if let Some(rejected) = rejected {
                let ladder = if origin { &self.at_origin } else { &self.ladder };
                server.gap.on_outcome(
                    SendOutcome { sent: now.saturating_sub(latency), completed: now, is_rejected: rejected },
                    ladder,
                    self.rng.f64(),
                );
            }
            let rejected = rejected.filter(|_| !origin);
            self.coordination.on_attempt_completed(now, &server.endpoint, outcome.result, rejected);
            if !origin && matches!(outcome.result, AttemptResult::Served | AttemptResult::Miss) {
                server.last_response = now;
                self.response_rate.on_event(now);
            }
            rejected.into_iter().for_each(|rejected| self.zones.on_attempt_completed(zone, rejected));
        }
        if let Some(pending) = known {
            self.go_on(now, pending, &outcome, actions);
        }
        self.pass(now, actions);
    }

    fn go_on(
        &mut self,
        now: Micros,
        mut pending: OpenRequest,
        outcome: &CompletedAttempt,
        actions: &mut Vec<Action>,
    ) {
        if outcome.request_closed {
            return;
        }
        if let Some(attempt) = pending.attempts.get_mut(outcome.attempt as usize) {
            attempt.state = AttemptState::after(outcome.result);
        }
        pending.has_missed |= outcome.result == AttemptResult::Miss;
        pending.queue_state = QueueState::NotQueued;
        if pending.attempt_in_flight().is_some() || pending.has_response_started {
            self.open_requests.insert(pending);
        } else {
            self.route(now, pending, actions);
        }
    }
}

#[cfg(test)]
mod tests;
