//! Every decision of the balancer; the types of its interface stand in src/interface.rs.
//!
//! The mechanism is the gapping flow control of "Overload Control Strategies for Database Nodes in
//! a Transaction Network", section 3: see docs/design.md for what is kept and what is changed.

use rustc_hash::FxHashMap;

use crate::interface::*;

/// Ratio y of the ladder: a finer one settles nearer the right gap, a coarser one gets there sooner.
const RATIO: f64 = 1.5;
/// Low threshold on r: any steady rejection above a chance one is a sign of overload.
const LOW: f64 = 0.05;
/// Outcomes a window needs: with fewer, one chance rejection would pass `high`.
const MIN_OUTCOMES: f64 = 3.0;
/// The same under a gap, where outcomes come one a gap and the next answer may be long in coming.
const MIN_GAPPED: f64 = 2.0;
/// Duration d in gaps: long enough that the trickle's own outcomes renew it before it ends.
const HOLD_GAPS: f64 = 8.0;
/// Served outcomes taken to be hidden behind a window of rejections only.
const UNSEEN: f64 = 0.25;
/// Rungs down after a window without rejections: one a window takes a slow sender longer than any
/// overload lasts, and the balancers' spread settling keeps the fleet from stepping down as one.
const RELEASE_RUNGS: u32 = 3;
/// Longest duration d in longest client deadlines: a router that sends a server one request in ten
/// seconds would otherwise shun it for minutes on two rejections.
const HOLD_DEADLINES: f64 = 6.0;
/// Longest gap in longest client deadlines: a dead server then costs each source one try in it.
const MAX_GAP_DEADLINES: f64 = 4.0;
/// Weight of a new sample in running means: about the last eight samples count.
const BLEND: f64 = 0.125;
/// Samples under which nothing is known of a latency: the first quick ones would cut all others short.
const FEW_SAMPLES: u32 = 24;
/// Deviations above the mean latency at which an attempt is given up, as TCP has it.
const TIMEOUT_DEVIATIONS: f64 = 4.0;
/// Sends to a cold server over what its warmth allows: above one, as chance bunches few sends.
const COLD_SHARE: f64 = 1.25;
/// What a time-out counts as, in its own length: for a tail without memory, one more mean or so.
const CENSORED: f64 = 2.0;
/// Largest part of the time left to the aim that one cache attempt may use while others remain.
const ATTEMPT_SHARE: f64 = 0.6;
/// Span in microseconds of the own rate of answers: some requests even at a quiet balancer.
const RATE_SPAN: f64 = 8e6;
/// Requests counted before all popularity counts are halved: bounds the table, ages old favourites.
const POPULARITY_SPAN: f64 = 2048.0;
/// Share of one average server's requests that one key may bring before it gets one more home.
const HOT_SHARE: f64 = 0.25;
/// Weight of one look-up in a key's share of hits: three misses running are told from one.
const HIT_BLEND: f64 = 0.3;
/// Share of hits under which a key is read from the origin at once, if its gap lets it pass.
const FEW_HITS: f64 = 0.65;
/// One in so many reads of such a key still asks a cache, to see when it is kept again.
const RECHECK: u32 = 4;
/// Part of the time left that a request waits, on average, before it asks a full server again.
const PAUSE: f64 = 0.15;
/// Homes tried in the order that all routers share before the origin is asked outright.
const MAX_HOMES: usize = 3;
/// Rungs by which a write's gap is shorter than a read's: origin pressure holds back reads first.
const WRITE_RUNGS: u32 = 2;
/// The reserved timer token for discovery; held requests use higher ones.
const DISCOVERY: u64 = 0;

/// Which part of all sends a server turned away, and the gap that answers it (section 3.2).
#[derive(Debug, Default)]
struct Gap {
    rung: u32,
    until: Micros,
    settled: Micros,
    opened: Micros,
    last: Micros,
    outcomes: f64,
    rejected: f64,
    passes: Vec<(u32, Micros)>,
    wanted: Micros,
    pace: f64,
}

/// The gap's constants, derived from the settings once.
#[derive(Debug)]
struct Ladder {
    base: f64,
    window: Micros,
    top: u32,
    longest: Micros,
}

impl Ladder {
    fn new(settings: &Settings) -> Ladder {
        let base = settings.tick.0.max(1_000) as f64;
        let aims = settings.classes.iter().map(|c| c.aim).min();
        let longest = settings.classes.iter().map(|c| c.deadline).max().unwrap_or(Micros(1_000_000));
        let most = longest.times(MAX_GAP_DEADLINES).0.max(1) as f64;
        let top = ((most / base).ln() / RATIO.ln()).clamp(1.0, 64.0) as u32;
        Ladder { base, window: aims.unwrap_or(Micros(250_000)), top, longest }
    }

    fn length(&self, rung: u32) -> Micros {
        if rung == 0 {
            return Micros(0);
        }
        Micros((self.base * RATIO.powi(rung as i32)) as u64)
    }

    /// The first rung that cuts a source of this pace by the rejected share r: by the paper's rate
    /// 1 / (1 / rate + gap) that is a gap of r / (1 - r) times the mean time between requests.
    fn binding(&self, pace: f64, r: f64) -> u32 {
        let gap = pace * r / (1.0 - r).max(0.05);
        let rung = (gap.max(1.0) / self.base).ln() / RATIO.ln();
        (rung.ceil().max(1.0) as u32).min(self.top)
    }
}

impl Gap {
    /// Notes that a source would like to send, for the pace of this balancer's own demand.
    fn want(&mut self, now: Micros) {
        if self.wanted.0 > 0 {
            let step = now.minus(self.wanted).0 as f64;
            self.pace += if self.pace == 0.0 { step } else { (step - self.pace) * BLEND };
        }
        self.wanted = now;
    }

    fn active(&self, now: Micros) -> bool {
        self.rung > 0 && now < self.until
    }

    /// Time until this source may pass; zero is now.
    fn wait(&self, now: Micros, source: u32, ladder: &Ladder, ease: u32) -> Micros {
        if !self.active(now) {
            return Micros(0);
        }
        let gap = ladder.length(self.rung.saturating_sub(ease));
        let last = self.passes.iter().find(|(s, _)| *s == source).map_or(Micros(0), |(_, at)| *at);
        last.plus(gap).minus(now)
    }

    fn pass(&mut self, now: Micros, source: u32) {
        match self.passes.iter_mut().find(|(s, _)| *s == source) {
            Some((_, at)) => *at = now,
            None => self.passes.push((source, now)),
        }
    }

    /// Counts an outcome; closes the window when it has lasted long enough *and* holds enough.
    fn outcome(&mut self, now: Micros, rejected: bool, ladder: &Ladder, rng: &mut fastrand::Rng) {
        let g = ladder.length(self.rung);
        let stale = ladder.window.times(8.0).max(g.times(HOLD_GAPS));
        if now.minus(self.last) > stale {
            // Evidence that nobody added to for so long tells of another time.
            (self.outcomes, self.rejected, self.opened) = (0.0, 0.0, now);
        }
        if self.rung > 0 && now >= self.until {
            self.rung = 0;
        }
        self.last = now;
        self.outcomes += 1.0;
        self.rejected += f64::from(rejected);
        let high = 1.0 - 1.0 / RATIO;
        let least = if self.rung > 0 { MIN_GAPPED } else { MIN_OUTCOMES };
        let plain = self.outcomes >= least && now.minus(self.opened) >= ladder.window;
        // Sure before its end is a first window only if it is over high whatever the rest of it brings: a
        // busy server that stands still for a moment rejects a handful in a row.
        let first = self.rung == 0 && self.pace > 0.0;
        let whole = if first { ladder.window.0 as f64 / self.pace } else { 0.0 };
        let sure = self.rejected > high * self.outcomes.max(MIN_OUTCOMES).max(whole);
        if !(plain || sure) || now < self.settled {
            return;
        }
        // Less than one served outcome more than seen keeps r below one, so that a few samples never
        // ask for the top rung, yet a source whose sends all fail drops to a ninth in one step.
        let unseen = UNSEEN * f64::from(self.rejected == self.outcomes);
        let r = self.rejected / (self.outcomes + unseen);
        let before = self.rung;
        let pace = self.pace * self.passes.len().max(1) as f64;
        if r > high {
            let steps = (-(1.0 - r).ln() / RATIO.ln()) as u32;
            let first = ladder.binding(pace, r);
            self.rung = if before == 0 { first } else { (before + steps.max(1)).min(ladder.top) };
        } else if r < LOW && before > 0 {
            // A rung that no longer holds this balancer's own demand back is none.
            self.rung =
                if before <= ladder.binding(pace, 0.1) { 0 } else { before.saturating_sub(RELEASE_RUNGS) };
        }
        let g = ladder.length(self.rung);
        if self.rung != before {
            // The wait differs by balancer, so that hundreds neither climb nor release together.
            self.settled = now.plus(ladder.window.max(g).times(0.5 + rng.f64()));
        }
        if r > LOW || self.rung != before {
            let hold = ladder.window.max(g).times(HOLD_GAPS).min(ladder.longest.times(HOLD_DEADLINES)).max(g);
            self.until = now.plus(hold.times(1.0 + rng.f64()));
        }
        (self.outcomes, self.rejected, self.opened) = (0.0, 0.0, now);
    }
}

/// A running mean of latencies with its deviation.
#[derive(Debug, Default)]
struct Latency {
    mean: f64,
    deviation: f64,
    samples: u32,
}

impl Latency {
    fn add(&mut self, sample: Micros) {
        self.samples = self.samples.saturating_add(1);
        let sample = sample.0 as f64;
        if self.mean == 0.0 {
            (self.mean, self.deviation) = (sample, sample / 2.0);
        }
        self.deviation += ((sample - self.mean).abs() - self.deviation) * BLEND;
        self.mean += (sample - self.mean) * BLEND;
    }

    fn bound(&self, unknown: Micros) -> Micros {
        if self.samples < FEW_SAMPLES {
            return unknown;
        }
        Micros((self.mean + TIMEOUT_DEVIATIONS * self.deviation) as u64)
    }
}

/// Events per second over about the last `RATE_SPAN`.
#[derive(Debug, Default)]
struct Rate {
    count: f64,
    first: Micros,
    last: Micros,
}

impl Rate {
    fn per_s(&mut self, now: Micros) -> f64 {
        self.count *= (-(now.minus(self.last).0 as f64) / RATE_SPAN).exp();
        self.last = now;
        let age = (now.minus(self.first).0 as f64).max(1e6);
        self.count / (RATE_SPAN * (1.0 - (-age / RATE_SPAN).exp())) * 1e6
    }

    fn add(&mut self, now: Micros) {
        if self.first.0 == 0 {
            self.first = now;
        }
        self.per_s(now);
        self.count += 1.0;
    }
}

#[derive(Debug)]
struct Server {
    entry: Entry,
    gap: Gap,
    /// Once it was cold: sends that it may still get from here, and when that was counted.
    budget: Option<(f64, Micros)>,
}

impl Server {
    fn new(entry: Entry) -> Server {
        Server { entry, gap: Gap::default(), budget: None }
    }

    /// Whether a cold server can take one more send. What gapped servers shed must not all land on
    /// it: it gets no more than this balancer's warm servers answer, cut by its warmth (rule 4).
    fn spare(&mut self, now: Micros, per_s: f64, rules: &Rules, rng: &mut fastrand::Rng) -> bool {
        let warm = warmth(&self.entry, now, rules);
        if warm >= 1.0 {
            return true;
        }
        // It begins with a part of a send, by chance: hundreds of routers then don't all spend one at once.
        let (left, counted) = self.budget.unwrap_or_else(|| (rng.f64(), now));
        let passed = now.minus(counted).0 as f64 / 1e6;
        let left = (left + passed * per_s * warm * COLD_SHARE).min(1.0);
        self.budget = Some((left, now));
        left >= 1.0
    }
}

/// The server list in hand, sorted by id, with what this balancer saw of each server.
#[derive(Debug, Default)]
struct Members {
    servers: Vec<Server>,
    subscribed: bool,
    failures: u32,
}

impl Members {
    fn find(&mut self, id: ServerId) -> Option<&mut Server> {
        let at = self.servers.binary_search_by_key(&id, |s| s.entry.server).ok()?;
        Some(&mut self.servers[at])
    }

    fn follow(&mut self, kind: ListKind, list: &[Entry]) {
        if matches!(kind, ListKind::Replace | ListKind::Restored) {
            let mut named: Vec<ServerId> = list.iter().map(|e| e.server).collect();
            named.sort_unstable();
            self.servers.retain(|s| named.binary_search(&s.entry.server).is_ok());
        }
        for entry in list {
            let place = self.servers.binary_search_by_key(&entry.server, |s| s.entry.server);
            match (place, entry.state) {
                (Ok(at), State::Deleted) => drop(self.servers.remove(at)),
                (Err(_), State::Deleted) => {}
                (Ok(at), _) => {
                    let server = &mut self.servers[at];
                    if entry.started > server.entry.started {
                        // A new start is another process: nothing known of the old one holds.
                        *server = Server::new(entry.clone());
                    } else {
                        server.entry = entry.clone();
                    }
                }
                (Err(at), _) => self.servers.insert(at, Server::new(entry.clone())),
            }
        }
    }
}

/// The part of its capacity that a server may be taken to have, by its age alone, so that every
/// router ramps it alike and rule 4 holds without talk.
fn warmth(entry: &Entry, now: Micros, rules: &Rules) -> f64 {
    let (age, whole) = (now.minus(entry.started).0 as f64, rules.warm_up.0 as f64);
    if entry.started.0 == 0 || age >= whole {
        return 1.0;
    }
    let cold = if rules.cold_share > 0.0 { rules.cold_share.min(1.0) } else { 0.05 };
    cold + (1.0 - cold) * age / whole
}

/// How often this balancer asked for a key, and which part of its cache attempts lately hit.
#[derive(Debug)]
struct Heat {
    asked: f64,
    hits: f64,
}

/// Weighted rendezvous hashing with popularity: every router finds the same order for a key.
#[derive(Debug, Default)]
struct Placement {
    counts: FxHashMap<Key, Heat>,
    total: f64,
    order: Vec<(f64, usize)>,
}

fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

impl Placement {
    fn count(&mut self, key: Key) {
        self.counts.entry(key).or_insert(Heat { asked: 0.0, hits: 1.0 }).asked += 1.0;
        self.total += 1.0;
        if self.total >= POPULARITY_SPAN {
            self.counts.retain(|_, heat| {
                heat.asked /= 2.0;
                heat.asked >= 1.0
            });
            self.total /= 2.0;
        }
    }

    /// The key's share of this balancer's requests, less what chance alone would show.
    fn share(&self, key: Key) -> f64 {
        let n = self.counts.get(&key).map_or(0.0, |heat| heat.asked);
        (n - 1.0).max(0.0) / (self.total + 8.0)
    }

    fn looked_up(&mut self, key: Key, hit: bool) {
        if let Some(heat) = self.counts.get_mut(&key) {
            heat.hits += (f64::from(hit) - heat.hits) * HIT_BLEND;
        }
    }

    /// Whether caches do not keep the key: one that is written faster than it is fetched misses at
    /// every home, and each look-up there is work for nothing.
    fn uncacheable(&self, key: Key) -> bool {
        self.counts.get(&key).is_some_and(|heat| heat.hits < FEW_HITS)
    }

    /// Fills `order` with the key's servers, best first, and returns how many of the first are its
    /// homes: a key that alone would fill a good part of a server gets several.
    fn rank(&mut self, key: Key, now: Micros, servers: &[Server], settings: &Settings) -> usize {
        self.order.clear();
        let share = self.share(key) * servers.len() as f64;
        for (at, server) in servers.iter().enumerate() {
            let entry = &server.entry;
            if entry.state != State::Serving || is_origin(entry, settings) {
                continue;
            }
            let warm = warmth(entry, now, &settings.rules);
            if warm < 1.0 && share > warm {
                // A hot key would push a cold server over by itself (rule 4).
                continue;
            }
            let ok = settings.weighted && entry.weight.is_finite() && entry.weight > 0.0;
            let weight = if ok { entry.weight } else { 1.0 } * warm;
            let spot = mix(mix(key.0).wrapping_add(entry.server.0));
            let uniform = ((spot >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
            self.order.push((-uniform.ln() / weight, at));
        }
        let homes = ((share / HOT_SHARE) as usize + 1).min(self.order.len());
        let keep = (homes + MAX_HOMES).min(self.order.len());
        if keep < self.order.len() {
            self.order.select_nth_unstable_by(keep, |a, b| a.0.total_cmp(&b.0));
            self.order.truncate(keep);
        }
        self.order.sort_unstable_by(|a, b| a.0.total_cmp(&b.0));
        homes
    }
}

fn is_origin(entry: &Entry, settings: &Settings) -> bool {
    settings.mode == Mode::Aside(entry.kind)
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fate {
    Out,
    NeverRan,
    MayHaveRun,
}

#[derive(Debug)]
struct Attempt {
    server: ServerId,
    zone: u32,
    cell: u32,
    sent: Micros,
    fate: Fate,
}

/// A request in hand. Every send and refusal asks it first: rules 1 and 2 hold here or nowhere.
#[derive(Debug)]
struct Pending {
    request: Request,
    aim: Micros,
    useful: Micros,
    attempts: Vec<Attempt>,
    missed: bool,
    /// Whether the last attempt was turned away as full.
    full: bool,
    /// How many attempts came before the last wait: their servers may be asked again.
    waited: usize,
    streaming: bool,
    token: u64,
}

impl Pending {
    fn may_have_run(&self) -> impl Iterator<Item = &Attempt> {
        self.attempts.iter().filter(|a| a.fate != Fate::NeverRan)
    }

    fn may_send(&self, now: Micros, to: &Entry, class: &Class, limits: &Limits) -> bool {
        let out = self.attempts.iter().any(|a| a.fate == Fate::Out);
        let left = (self.attempts.len() as u32) < limits.max_attempts.max(1);
        let open = !self.streaming && now < self.request.deadline && to.state == State::Serving;
        if out || !left || !open {
            return false;
        }
        match class.effect {
            Effect::Safe => true,
            Effect::Unsafe => self.may_have_run().next().is_none(),
            Effect::Keyed => self.may_have_run().all(|a| {
                let near = match class.group {
                    Group::All => true,
                    Group::Zone => a.zone == to.zone,
                    Group::Cell => a.cell == to.cell,
                };
                near && now.minus(a.sent) < class.window
            }),
        }
    }

    fn may_refuse(&self, class: &Class) -> bool {
        match class.effect {
            Effect::Safe => true,
            Effect::Unsafe => self.may_have_run().next().is_none(),
            Effect::Keyed => class.group == Group::All || self.may_have_run().next().is_none(),
        }
    }
}

/// A class index that the settings lack names the last class.
fn class_of<'a>(settings: &'a Settings, request: &Request) -> &'a Class {
    let last = settings.classes.len() - 1;
    &settings.classes[(request.class as usize).min(last)]
}

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
