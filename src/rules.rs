//! Every decision of the balancer; the types of its interface stand in src/interface.rs.
//!
//! The mechanism is the gapping flow control of "Overload Control Strategies for Database Nodes in
//! a Transaction Network", section 3: see docs/design.md for what is kept and what is changed. This
//! file takes events and says what is done; what it asks stands in a file for each concern.

mod gap;
mod measure;
mod members;
mod pending;
mod placement;

use rustc_hash::FxHashMap;

use crate::interface::*;
use gap::Ladder;
use measure::{Latency, Rate};
use members::{is_origin, Members, Server};
use pending::{class_of, Attempt, Fate, Pending};
use placement::{mix, Placement, MAX_HOMES};

/// What a time-out counts as, in its own length: for a tail without memory, one more mean or so.
const CENSORED: f64 = 2.0;
/// Largest part of the time left to the aim that one cache attempt may use while others remain.
const ATTEMPT_SHARE: f64 = 0.6;
/// One in so many reads of such a key still asks a cache, to see when it is kept again.
const RECHECK: u32 = 4;
/// Part of the time left that a request waits, on average, before it asks a full server again.
const PAUSE: f64 = 0.15;
/// Rungs by which a write's gap is shorter than a read's: origin pressure holds back reads first.
const WRITE_RUNGS: u32 = 2;
/// The reserved timer token for discovery; held requests use higher ones.
const DISCOVERY: u64 = 0;

/// Where a request goes next.
enum Path {
    Send(usize, Micros),
    Hold(Micros),
    End(Micros),
}

/// One router's decisions; see the crate's documentation for its use.
#[derive(Debug)]
pub struct Balancer {
    settings: Settings,
    ladder: Ladder,
    rng: fastrand::Rng,
    members: Members,
    placement: Placement,
    cache: Latency,
    origin: Latency,
    answers: Rate,
    requests: FxHashMap<RequestId, Pending>,
    held: FxHashMap<u64, RequestId>,
    next_token: u64,
    salt: u64,
    begun: bool,
}

impl Balancer {
    /// A balancer that knows nothing yet but its settings.
    pub fn new(mut settings: Settings, seed: u64) -> Balancer {
        if settings.classes.is_empty() {
            // Nothing is known of such requests: they are never repeated, and may take a second.
            settings.classes.push(Class {
                aim: Micros(1_000_000),
                aim_stretch: 0.0,
                deadline: Micros(1_000_000),
                effect: Effect::Unsafe,
                group: Group::All,
                window: Micros(0),
                worth: 1.0,
                late_worth: 0.0,
            });
        }
        Balancer {
            ladder: Ladder::new(&settings),
            settings,
            rng: fastrand::Rng::with_seed(seed),
            members: Members::default(),
            placement: Placement::default(),
            cache: Latency::default(),
            origin: Latency::default(),
            answers: Rate::default(),
            requests: FxHashMap::default(),
            held: FxHashMap::default(),
            next_token: DISCOVERY + 1,
            salt: mix(seed.wrapping_add(1)),
            begun: false,
        }
    }

    /// Takes one event in and appends what is to be done.
    pub fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Endpoints(kind, list) => self.listed(now, kind, list, actions),
            Event::Request(request) => self.arrived(now, request, actions),
            Event::Started(id) => {
                if let Some(pending) = self.requests.get_mut(&id) {
                    pending.streaming = true;
                }
            }
            Event::Outcome(outcome) => self.ended(now, outcome, actions),
            Event::Timer(DISCOVERY) => {
                if self.settings.subscribe && !self.members.subscribed {
                    actions.push(Action::Watch);
                }
            }
            Event::Timer(token) => {
                let due = self.held.remove(&token).and_then(|id| self.requests.remove(&id));
                if let Some(pending) = due {
                    self.route(now, pending, actions);
                }
            }
            Event::Gone(id) => {
                if let Some(pending) = self.requests.remove(&id) {
                    self.held.remove(&pending.token);
                }
            }
        }
    }

    fn listed(&mut self, now: Micros, kind: ListKind, list: &[Entry], actions: &mut Vec<Action>) {
        let spread = self.settings.rules.ask_within;
        if kind == ListKind::Unavailable {
            // Calls that failed together are tried again apart, within what the rules allow.
            self.members.subscribed = false;
            self.members.failures = (self.members.failures + 1).min(3);
            let part = 0.1 * f64::from(1 << self.members.failures);
            let at = now.plus(spread.times(part * (0.25 + 0.5 * self.rng.f64())));
            actions.push(Action::Timer { at, token: DISCOVERY });
            return;
        }
        self.members.follow(kind, list);
        if kind == ListKind::Restored && !self.begun {
            self.begun = true;
            if self.settings.subscribe {
                // Hundreds of routers start at once before one discovery service of fixed size.
                let at = now.plus(spread.times(0.6 * self.rng.f64())).plus(self.settings.tick);
                actions.push(Action::Timer { at, token: DISCOVERY });
            }
        } else {
            (self.members.subscribed, self.members.failures) = (true, 0);
        }
    }

    fn arrived(&mut self, now: Micros, request: Request, actions: &mut Vec<Action>) {
        let class = class_of(&self.settings, &request);
        let work = request.hint.unwrap_or(Micros(0));
        let aim = class.aim.plus(work.times(class.aim_stretch)).min(class.deadline.max(class.aim));
        let aim = now.plus(aim).min(request.deadline);
        let useful = if class.late_worth > 0.0 { request.deadline } else { aim };
        if let Some(key) = request.key.filter(|_| !request.write) {
            self.placement.count(key);
        }
        let pending = Pending {
            request,
            aim,
            useful,
            attempts: vec![],
            missed: false,
            full: false,
            waited: 0,
            streaming: false,
            token: 0,
        };
        self.route(now, pending, actions);
    }

    /// Finds the request's next step and takes it.
    fn route(&mut self, now: Micros, mut pending: Pending, actions: &mut Vec<Action>) {
        let path = self.path(now, &pending);
        let id = pending.request.id;
        match path {
            Path::Send(at, timeout) => {
                let source = self.source(&pending.request);
                let server = &mut self.members.servers[at];
                if let Some((left, _)) = &mut server.budget {
                    *left -= 1.0;
                }
                server.gap.pass(now, source);
                let entry = &server.entry;
                pending.attempts.push(Attempt {
                    server: entry.server,
                    zone: entry.zone,
                    cell: entry.cell,
                    sent: now,
                    fate: Fate::Out,
                });
                actions.push(Action::Send { id, server: entry.server, timeout });
                self.requests.insert(id, pending);
            }
            Path::Hold(wait) => {
                pending.waited = pending.attempts.len();
                let at = now.plus(wait).min(pending.request.deadline).max(now.plus(Micros(1)));
                pending.token = self.next_token;
                self.next_token += 1;
                actions.push(Action::Timer { at, token: pending.token });
                self.held.insert(pending.token, id);
                self.requests.insert(id, pending);
            }
            Path::End(wait) => {
                if pending.may_refuse(class_of(&self.settings, &pending.request)) {
                    let limits = &self.settings.limits;
                    let most = if limits.retry_after { limits.max_retry_after } else { Micros(0) };
                    actions.push(Action::Refuse { id, retry_after: wait.min(most) });
                } else {
                    actions.push(Action::Fail { id });
                }
            }
        }
    }

    fn source(&self, request: &Request) -> u32 {
        if self.settings.tenants.is_empty() {
            0
        } else {
            request.tenant.min(self.settings.tenants.len() as u32)
        }
    }

    fn path(&mut self, now: Micros, pending: &Pending) -> Path {
        let request = &pending.request;
        if now >= pending.useful {
            return Path::End(Micros(0));
        }
        let aside = matches!(self.settings.mode, Mode::Aside(_));
        let used = pending.attempts.len() as u32;
        let left = self.settings.limits.max_attempts.max(1).saturating_sub(used);
        if left == 0 {
            return Path::End(Micros(0));
        }
        if aside && used == 0 && self.reads_directly(now, request) {
            if let path @ Path::Send(..) = self.at_origin(now, pending) {
                return path;
            }
        }
        if !aside || !(request.write || pending.missed || left == 1 || used as usize >= MAX_HOMES) {
            match self.at_cache(now, pending, left) {
                Some(path) => return path,
                None if !aside => return Path::End(Micros(0)),
                None => {}
            }
        }
        self.at_origin(now, pending)
    }

    /// Whether a read skips the caches: they do not keep its key, and the origin has no gap.
    fn reads_directly(&mut self, now: Micros, request: &Request) -> bool {
        let uncacheable = request.key.is_some_and(|key| self.placement.uncacheable(key));
        let pressed = |s: &Server| is_origin(&s.entry, &self.settings) && s.gap.active(now);
        !request.write
            && uncacheable
            && !self.members.servers.iter().any(pressed)
            && self.rng.u32(..RECHECK) > 0
    }

    /// The first of the key's servers that its gap lets through; none if the list has no more.
    fn at_cache(&mut self, now: Micros, pending: &Pending, left: u32) -> Option<Path> {
        let source = self.source(&pending.request);
        let key = pending.request.key.unwrap_or(Key(self.rng.u64(..)));
        let homes = self.placement.rank(key, now, &self.members.servers, &self.settings);
        let gapped = self.members.servers.iter().filter(|s| s.gap.active(now)).count();
        // When most servers' r rose together, moved keys only miss elsewhere: they are held.
        let hold = gapped * 2 > self.members.servers.len();
        let fair = self.answers.per_s(now) / self.members.servers.len().max(1) as f64;
        if homes > 1 {
            // Among a hot key's homes the ones in this zone come first: the copies are there anyway.
            let (servers, zone) = (&self.members.servers, self.settings.zone);
            let homes = &mut self.placement.order[..homes];
            // Each router stays with its own one of them, so that a key keeps its server here too.
            homes.rotate_left((mix(key.0 ^ self.salt) % homes.len() as u64) as usize);
            homes.sort_by_key(|(_, at)| servers[*at].entry.zone != zone);
        }
        // A full home is no reason to move a key: elsewhere it misses, and a burst at hundreds of
        // routers then reaches the origin. Only a gapped or silent home sends keys to fallbacks.
        let open = |(_, at): &(f64, usize)| !self.members.servers[*at].gap.active(now);
        let stay = pending.full && self.placement.order[..homes].iter().any(open);
        let reach = if stay { homes } else { self.placement.order.len() };
        let mut least = None;
        for place in 0..reach {
            let at = self.placement.order[place].1;
            let server = &mut self.members.servers[at];
            if pending.attempts[pending.waited..].iter().any(|a| a.server == server.entry.server) {
                continue;
            }
            server.gap.want(now);
            let wait = server.gap.wait(now, source, &self.ladder, 0);
            if wait.0 > 0 {
                least = Some(least.unwrap_or(wait).min(wait));
                if hold {
                    break;
                }
                continue;
            }
            if !server.spare(now, fair, &self.settings.rules, &mut self.rng) {
                continue;
            }
            let class = class_of(&self.settings, &pending.request);
            let entry = &self.members.servers[at].entry;
            if !pending.may_send(now, entry, class, &self.settings.limits) {
                continue;
            }
            let timeout = if class.effect == Effect::Safe && left > 1 {
                let room = if now < pending.aim { pending.aim } else { pending.useful }.minus(now);
                let most = room.times(ATTEMPT_SHARE);
                self.cache.bound(most).max(self.settings.tick.times(2.0)).min(most).max(Micros(1))
            } else {
                Micros(0)
            };
            return Some(Path::Send(at, timeout));
        }
        if stay {
            let pause = pending.useful.minus(now).times(PAUSE * (0.5 + self.rng.f64()));
            return Some(Path::Hold(pause));
        }
        // The origin has a gap of its own to refuse by. While that lets a read pass, the caches' gaps, which
        // most of them have after a moment's pause, are no reason to turn it away.
        least.filter(|_| self.settings.mode == Mode::Through).map(Path::End)
    }

    fn at_origin(&mut self, now: Micros, pending: &Pending) -> Path {
        let request = &pending.request;
        let source = self.source(request);
        let jitter = self.rng.f64();
        let class = class_of(&self.settings, request);
        let ease = if request.write { WRITE_RUNGS } else { 0 };
        let refused = pending.attempts.last().filter(|a| a.fate == Fate::NeverRan && !pending.missed);
        let pause = pending.useful.minus(now).times(0.1 + 0.1 * jitter);
        let settings = &self.settings;
        let mut origins = self.members.servers.iter_mut().enumerate();
        let found = origins.find(|(_, s)| {
            is_origin(&s.entry, settings) && pending.may_send(now, &s.entry, class, &settings.limits)
        });
        let Some((at, server)) = found else { return Path::End(Micros(0)) };
        if refused.is_some_and(|a| a.server == server.entry.server && now.minus(a.sent) < pause) {
            return Path::Hold(pause);
        }
        server.gap.want(now);
        let wait = server.gap.wait(now, source, &self.ladder, ease);
        if wait.0 > 0 && !(request.write && now.plus(wait) < pending.useful) {
            return Path::End(wait);
        }
        if wait.0 > 0 {
            return Path::Hold(wait);
        }
        Path::Send(at, Micros(0))
    }

    fn ended(&mut self, now: Micros, outcome: Outcome, actions: &mut Vec<Action>) {
        let known = self.requests.remove(&outcome.id);
        let rejected = match outcome.status {
            Status::Full | Status::Timeout | Status::ConnectFailed => Some(true),
            Status::Ok => Some(known.as_ref().is_some_and(|p| now > p.aim)),
            // A connection that breaks under a request tells of the connection: a server that is gone shows
            // itself by the next one, which does not come up.
            Status::Miss | Status::Error | Status::Reset => Some(false),
            Status::Cancelled | Status::Moot => None,
        };
        let key = known.as_ref().filter(|p| !p.request.write).and_then(|p| p.request.key);
        if let Some(server) = self.members.find(outcome.server) {
            if let Some(rejected) = rejected {
                server.gap.outcome(now, rejected, &self.ladder, &mut self.rng);
            }
            let origin = is_origin(&server.entry, &self.settings);
            if !origin && matches!(outcome.status, Status::Ok | Status::Miss) {
                self.answers.add(now);
                if let Some(key) = key {
                    self.placement.looked_up(key, outcome.status == Status::Ok);
                }
            }
            let latency = if origin { &mut self.origin } else { &mut self.cache };
            match outcome.status {
                Status::Ok => latency.add(outcome.latency),
                // The answer would have come later still. Without this the slow ones never count,
                // the bound shrinks, and work that nothing stops is sent twice.
                Status::Timeout => latency.add(outcome.latency.times(CENSORED)),
                _ => {}
            }
        }
        let Some(mut pending) = known else { return };
        if outcome.closed {
            self.held.remove(&pending.token);
            return;
        }
        if let Some(attempt) = pending.attempts.get_mut(outcome.attempt as usize) {
            let never = [Status::Full, Status::ConnectFailed, Status::Moot, Status::Miss];
            attempt.fate = if never.contains(&outcome.status) { Fate::NeverRan } else { Fate::MayHaveRun };
        }
        pending.full = outcome.status == Status::Full;
        pending.missed |= outcome.status == Status::Miss;
        let waiting = pending.attempts.iter().any(|a| a.fate == Fate::Out);
        if waiting || pending.streaming || self.held.contains_key(&pending.token) {
            self.requests.insert(outcome.id, pending);
            return;
        }
        self.route(now, pending, actions);
    }
}

#[cfg(test)]
mod tests;
