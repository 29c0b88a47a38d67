//! The event loop of the simulation: arrivals, attempts, responses and client retries.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, HashSet};

use super::*;

/// Work of a miss at a cache server, as a share of the work of a hit.
const MISS_WORK_SHARE: f64 = 0.45;
/// Latency objective: requests answered within this time in microseconds count as served.
const OBJECTIVE: u64 = 750_000;
/// Total time that a client waits over all its attempts, in microseconds.
const CLIENT_DEADLINE: u64 = 1_500_000;
/// Time that a client waits for one of its attempts, in microseconds.
const CLIENT_ATTEMPT_DEADLINE: u64 = 1_100_000;
/// Maximum number of retries by a client.
const MAX_CLIENT_RETRIES: usize = 2;
/// Share of its capacity that a cache server has when it starts.
const INITIAL_SHARE: f64 = 0.32;
/// Growth of the share of its capacity during slow start.
const SHARE_GROWTH: f64 = 0.68;
/// Seconds from a cache server's start until it has its full capacity.
const SLOW_START_SECONDS: u64 = 9;
/// Load that a server in slow start tolerates, as a ratio to its capacity.
const TOLERABLE_LOAD_RATIO: f64 = 1.5;

/// A scheduled event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum ScheduledEvent {
    Arrival,
    ClientRetry {
        request: u64,
        balancer: usize,
    },
    Timer {
        balancer: usize,
        token: u64,
    },
    /// A server completes its work on an attempt.
    Done {
        request: u64,
        attempt: u32,
    },
    /// The time limit of an attempt is reached.
    Expired {
        request: u64,
        attempt: u32,
    },
    /// A balancer receives the update that cache servers have restarted.
    RestartUpdate {
        balancer: usize,
    },
}

struct SimulatedAttempt {
    server: u64,
    sent: u64,
    is_in_flight: bool,
}

/// One attempt of a client, which is one request to a balancer.
struct ClientAttempt {
    /// Time of the client's first attempt.
    first_sent: u64,
    retries: usize,
    key: u64,
    is_write: bool,
    deadline: u64,
    balancer: usize,
    /// Cache servers that responded with a miss.
    missed_at: Vec<u64>,
    attempts: Vec<SimulatedAttempt>,
    is_open: bool,
}

pub struct Simulation {
    rng: fastrand::Rng,
    now: u64,
    /// Scheduled events, each with its time and a number that orders events at the same time.
    events: BinaryHeap<Reverse<(u64, u64, ScheduledEvent)>>,
    /// Counter that numbers scheduled events and requests.
    last_number: u64,
    balancers: Vec<Balancer>,
    /// Attempts of clients, by the number in their request id.
    requests: HashMap<u64, ClientAttempt>,
    /// Cached keys, by cache server.
    cached: Vec<HashSet<u64>>,
    /// Time at which each worker is free, by server; the origin is the last server.
    workers: Vec<BinaryHeap<Reverse<u64>>>,
    scenario: Scenario,
    scale: Scale,
    /// Cache servers that have restarted.
    restarted: HashSet<u64>,
    /// Balancers that have received the update about the restarts.
    informed: HashSet<usize>,
    /// Sends to servers in slow start, by server and second.
    slow_start_sends: HashMap<(u64, u64), f64>,
    /// Sends of informed balancers to servers in slow start, by server and second.
    informed_sends: HashMap<(u64, u64), f64>,
    result: SimulationResult,
}

fn balancer_settings(balancers: usize) -> Settings {
    let mut settings = idempotent_settings();
    settings.balancers = balancers as u32;
    settings.limits.max_attempts = 3;
    settings.limits.may_duplicate = true;
    settings.rules.slow_start_initial_share = INITIAL_SHARE;
    settings.rules.slow_start_duration = Micros(SLOW_START_SECONDS * SECOND);
    settings.classes[0].latency_objective = Micros(OBJECTIVE);
    settings.classes[0].deadline = Micros(CLIENT_DEADLINE);
    settings
}

fn request_number(id: &RequestId) -> u64 {
    u64::from_be_bytes(id.0[..8].try_into().expect("eight bytes"))
}

impl Simulation {
    pub fn new(scenario: Scenario, scale: Scale) -> Simulation {
        let settings = balancer_settings(scenario.balancers);
        let new_balancer = |n| {
            let mut balancer = Balancer::new(settings.clone(), scenario.seed * 10 + n);
            let list = endpoints(scenario.caches);
            handle(&mut balancer, 1, Event::EndpointsChanged(EndpointUpdate::Restored, &list));
            balancer
        };
        let workers = |server| {
            let is_origin = server == scenario.caches;
            let worker_count = if is_origin { scale.workers() * scenario.caches } else { scale.workers() };
            (0..worker_count).map(|_| Reverse(0)).collect()
        };
        Simulation {
            rng: fastrand::Rng::with_seed(scenario.seed),
            now: SECOND,
            events: BinaryHeap::new(),
            last_number: 0,
            balancers: (0..scenario.balancers as u64).map(new_balancer).collect(),
            requests: HashMap::new(),
            cached: vec![(0..scale.keys()).collect(); scenario.caches as usize],
            workers: (0..=scenario.caches).map(workers).collect(),
            scenario,
            scale,
            restarted: HashSet::new(),
            informed: HashSet::new(),
            slow_start_sends: HashMap::new(),
            informed_sends: HashMap::new(),
            result: SimulationResult::new(scenario.seconds, scenario.caches),
        }
    }

    /// Processes scheduled events until none is left.
    pub fn run(mut self) -> SimulationResult {
        self.schedule(SECOND, ScheduledEvent::Arrival);
        self.schedule_restart_updates();
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            self.now = at;
            self.on_scheduled_event(event);
        }
        self.result
    }

    fn schedule(&mut self, at: u64, event: ScheduledEvent) {
        self.last_number += 1;
        self.events.push(Reverse((at, self.last_number, event)));
    }

    fn schedule_restart_updates(&mut self) {
        if self.scenario.outage.to == 0 {
            return;
        }
        for balancer in 0..self.scenario.balancers {
            let delay = self.rng.u64(..2 * SECOND);
            self.schedule(
                self.scenario.outage.to * SECOND + delay,
                ScheduledEvent::RestartUpdate { balancer },
            );
        }
    }

    fn on_scheduled_event(&mut self, event: ScheduledEvent) {
        match event {
            ScheduledEvent::Arrival => self.on_arrival(),
            ScheduledEvent::ClientRetry { request, balancer } => {
                let ClientAttempt { first_sent, retries, key, is_write, .. } = self.requests[&request];
                self.send_request(first_sent, retries + 1, key, is_write, balancer);
            }
            ScheduledEvent::Timer { balancer, token } => self.handle(balancer, Event::Timer(token)),
            ScheduledEvent::Done { request, attempt } => self.on_done(request, attempt),
            ScheduledEvent::Expired { request, attempt } => {
                self.end_attempt(request, attempt, AttemptResult::Timeout);
            }
            ScheduledEvent::RestartUpdate { balancer } => self.deliver_restart_update(balancer),
        }
    }

    /// Sends the first attempt of a client and schedules the next arrival.
    fn on_arrival(&mut self) {
        if self.now >= (self.scenario.seconds + 1) * SECOND {
            return;
        }
        let pause_seconds = -(1.0 - self.rng.f64()).ln() / self.scenario.rate;
        self.schedule(self.now + (pause_seconds * 1e6) as u64, ScheduledEvent::Arrival);
        // A few keys are far more popular than the others.
        let key = ((self.scale.keys() as f64).powf(self.rng.f64()) - 1.0) as u64;
        let is_write = self.rng.f64() < 0.1;
        let balancer = self.rng.usize(..self.scenario.balancers);
        self.result.requested[(self.now / SECOND - 1) as usize] += 1.0;
        self.send_request(self.now, 0, key, is_write, balancer);
    }

    fn deliver_restart_update(&mut self, balancer: usize) {
        let Outage { to, every, .. } = self.scenario.outage;
        let started = Micros(to * SECOND);
        let restarted = (0..self.scenario.caches).filter(|server| server.is_multiple_of(every));
        let list: Vec<_> = restarted.map(|server| Endpoint { started, ..endpoint(server) }).collect();
        self.informed.insert(balancer);
        self.handle(balancer, Event::EndpointsChanged(EndpointUpdate::Delta, &list));
    }

    fn send_request(&mut self, first_sent: u64, retries: usize, key: u64, is_write: bool, balancer: usize) {
        self.last_number += 1;
        let number = self.last_number;
        let deadline = (self.now + CLIENT_ATTEMPT_DEADLINE).min(first_sent + CLIENT_DEADLINE);
        if deadline <= self.now {
            return;
        }
        let attempt = ClientAttempt {
            first_sent,
            retries,
            key,
            is_write,
            deadline,
            balancer,
            missed_at: vec![],
            attempts: vec![],
            is_open: true,
        };
        self.requests.insert(number, attempt);
        let request = Request {
            is_write,
            is_client_retry: retries > 0,
            deadline: Micros(deadline),
            ..request(number, self.now, key)
        };
        self.handle(balancer, Event::Request(request));
    }

    fn handle(&mut self, balancer: usize, event: Event) {
        for action in handle(&mut self.balancers[balancer], self.now, event) {
            match action {
                Action::Send { id, server, timeout } => {
                    self.start_attempt(request_number(&id), server.0, timeout.0);
                }
                Action::Reject { id, retry_after, .. } => {
                    self.on_not_served(request_number(&id), retry_after.0);
                }
                Action::Fail { id } => self.on_not_served(request_number(&id), 0),
                Action::Timer { at, token } => self.schedule(at.0, ScheduledEvent::Timer { balancer, token }),
                Action::WatchEndpoints | Action::Log(_) => {}
            }
        }
    }

    fn start_attempt(&mut self, number: u64, server: u64, timeout: u64) {
        let is_origin = ServerId(server) == ORIGIN;
        let second = self.now / SECOND;
        let is_unresponsive = !is_origin && self.apply_outage(number, server, second);
        self.result.sends += 1.0;

        let index = if is_origin { self.scenario.caches } else { server } as usize;
        let request = self.requests.get_mut(&number).expect("requested");
        let is_hit = is_origin || self.cached[index].contains(&request.key);
        request.attempts.push(SimulatedAttempt { server, sent: self.now, is_in_flight: true });
        let attempt = request.attempts.len() as u32 - 1;
        let deadline = request.deadline;
        let expires = if timeout == 0 { deadline } else { deadline.min(self.now + timeout) };
        let done = self.occupy_worker(index, server, is_hit, expires);
        let by_second = second as usize - 1;
        if is_origin {
            self.result.fetches[by_second] += 1.0;
        } else {
            self.result.cache_sends[by_second][index] += 1.0;
        }
        if is_unresponsive {
            self.result.lost_sends[by_second] += 1.0;
            self.schedule(expires, ScheduledEvent::Expired { request: number, attempt });
            return;
        }
        self.result.hits += f64::from(!is_origin && is_hit);
        if done < expires {
            self.schedule(done, ScheduledEvent::Done { request: number, attempt });
        } else {
            self.schedule(expires, ScheduledEvent::Expired { request: number, attempt });
        }
    }

    /// Applies the outage to a send: empties the cache of a restarted server, counts a send to a server in
    /// slow start, and returns whether the server currently does not respond.
    fn apply_outage(&mut self, number: u64, server: u64, second: u64) -> bool {
        let Outage { from, to, every } = self.scenario.outage;
        if to == 0 || !server.is_multiple_of(every) {
            return false;
        }
        if second >= to && self.restarted.insert(server) {
            self.cached[server as usize].clear();
        }
        if (to..to + SLOW_START_SECONDS).contains(&second) {
            self.count_slow_start_send(number, server, second);
        }
        (from..to).contains(&second)
    }

    fn count_slow_start_send(&mut self, number: u64, server: u64, second: u64) {
        let age = self.now - self.scenario.outage.to * SECOND;
        let capacity_share = INITIAL_SHARE + SHARE_GROWTH * age as f64 / (SLOW_START_SECONDS * SECOND) as f64;
        let capacity = self.scale.cache_rate() * capacity_share;
        let sends = self.slow_start_sends.entry((server, second)).or_default();
        *sends += 1.0;
        self.result.peak_slow_start_load = self.result.peak_slow_start_load.max(*sends / capacity);
        if self.informed.contains(&self.requests[&number].balancer) {
            let sends = self.informed_sends.entry((server, second)).or_default();
            *sends += 1.0;
            let tolerable_load = TOLERABLE_LOAD_RATIO * capacity;
            let excess = *sends - (tolerable_load + 2.0 * tolerable_load.sqrt() + 2.0);
            self.result.excess_over_chance = self.result.excess_over_chance.max(excess);
        }
    }

    /// Queues work at a server in order of arrival; returns the time of its completion.
    fn occupy_worker(&mut self, index: usize, server: u64, is_hit: bool, expires: u64) -> u64 {
        let is_origin = ServerId(server) == ORIGIN;
        let second = self.now / SECOND;
        let origin_factor = if is_origin { self.scenario.slow_origin.factor_at(second) } else { 1.0 };
        let cache_factor = if server == 1 { self.scale.slow_cache.factor_at(second) } else { 1.0 };
        let mean = if is_origin { FETCH_SECONDS } else { HIT_SECONDS } * (origin_factor * cache_factor);
        let drawn = mean * (0.4 - 0.6 * (1.0 - self.rng.f64()).ln());
        let work = (drawn * if is_hit { 1.0 } else { MISS_WORK_SHARE } * 1e6) as u64;
        let mut free = self.workers[index].peek_mut().expect("workers");
        let begin = free.0.max(self.now);
        // The origin drops abandoned work; a cache server continues it.
        if !is_origin || begin < expires {
            *free = Reverse(begin + work);
        }
        begin + work
    }

    fn on_done(&mut self, number: u64, attempt: u32) {
        let request = self.requests.get_mut(&number).expect("requested");
        let server = request.attempts[attempt as usize].server;
        let is_origin = ServerId(server) == ORIGIN;
        if !is_origin && !self.cached[server as usize].contains(&request.key) {
            request.missed_at.push(server);
            self.end_attempt(number, attempt, AttemptResult::Miss);
            return;
        }
        if request.is_open {
            for server in request.missed_at.iter().take(2) {
                self.cached[*server as usize].insert(request.key);
            }
        }
        if request.is_write {
            for cached in &mut self.cached {
                cached.remove(&request.key);
            }
        }
        self.end_attempt(number, attempt, AttemptResult::Served);
    }

    fn end_attempt(&mut self, number: u64, attempt: u32, result: AttemptResult) {
        let request = self.requests.get_mut(&number).expect("requested");
        let ended = &mut request.attempts[attempt as usize];
        if !ended.is_in_flight {
            return;
        }
        ended.is_in_flight = false;
        let (server, latency) = (ServerId(ended.server), Micros(self.now - ended.sent));
        if result == AttemptResult::Served && request.is_open {
            request.is_open = false;
            if self.now <= request.first_sent + OBJECTIVE {
                self.result.served[(request.first_sent / SECOND - 1) as usize] += 1.0;
            }
        }
        let (balancer, is_request_closed) = (request.balancer, !request.is_open);
        let ended = completed_attempt(number, attempt, server, result);
        let ended = CompletedAttempt { latency, is_request_closed, ..ended };
        self.handle(balancer, Event::AttemptCompleted(ended));
    }

    /// Schedules a client's retry of a rejected or failed request, up to the maximum number of retries.
    fn on_not_served(&mut self, number: u64, retry_after: u64) {
        let request = self.requests.get_mut(&number).expect("requested");
        request.is_open = false;
        if request.retries < MAX_CLIENT_RETRIES {
            let backoff = (100_000 << request.retries) * self.rng.u64(50..150) / 100;
            let balancer = self.rng.usize(..self.balancers.len());
            let at = self.now + backoff.max(retry_after);
            self.schedule(at, ScheduledEvent::ClientRetry { request: number, balancer });
        }
    }
}
