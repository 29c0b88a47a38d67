//! A whole balancer on a clock that stands still, between clients and servers that do what real ones do on bad days, all drawn
//! from a seed. It is judged by what clients and servers see, and by nothing that it tells of itself.
//!
//! # The invariant
//!
//! Every request whose last byte has come on a connection that was accepted gets one whole final answer, made for it by a
//! server or the origin or saying that there is none, before its client's time is up, wherever the balancer is in its life; or
//! its client can tell that a value is not whole. No byte of it reaches a server after that answer, after its client has gone,
//! or after that server's end was told; no more attempts than the settings say; never again once one may have run, but as its
//! class allows.

mod clients;
mod servers;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use fastrand::Rng;
use juniperladder::{CacheMode, Class, EndpointUpdate, Idempotency, Micros, Settings};
use tokio::task::{spawn_local, JoinHandle};
use tokio::time::{sleep, sleep_until, Instant};

use crate::connect::Connect;
use crate::counters::Counters;
use crate::dispatcher::{Carrier, Dispatcher, ListedServer};
use crate::downstream::{Downstream, Labels};
use crate::graceful_shutdown::{time_for_answers, GracefulShutdown, EXIT_DELAY};
use crate::resource_limits::ResourceLimits;
use crate::testing::{self, log, ORIGIN};
use crate::upstream::{Limits, Upstream};
use servers::Servers;

const SEEDS: u64 = 250;
/// Classes by their effect: their names, and their deadlines in milliseconds.
const CLASSES: [(&str, Idempotency, u64); 3] = [
    ("read", Idempotency::Idempotent, 400),
    ("put", Idempotency::WithIdempotencyKey, 900),
    ("once", Idempotency::NotIdempotent, 700),
];
const ATTEMPTS: u32 = 3;
const WINDOW: Duration = Duration::from_millis(250);

/// What is known of one request from outside.
#[derive(Debug, Default)]
struct Seen {
    class: usize,
    /// When its client had its answer, or left.
    over: Option<Instant>,
    /// When it reached servers whole, and whether it may have run there.
    runs: Vec<(Instant, Rc<Cell<bool>>)>,
}

/// What clients and servers see.
#[derive(Debug, Default)]
struct Ledger {
    seen: RefCell<HashMap<String, Seen>>,
    broken: RefCell<Vec<String>>,
    /// Clients that wait for answers.
    waiting: Cell<usize>,
    /// How often something took place, so that a test that meets nothing is found out.
    met: RefCell<HashMap<&'static str, u64>>,
}

impl Ledger {
    fn broken(&self, id: &str, what: impl Into<String>) {
        self.broken.borrow_mut().push(format!("{id}: {}", what.into()));
    }

    fn met(&self, what: &'static str) {
        *self.met.borrow_mut().entry(what).or_default() += 1;
    }

    fn sends(&self, id: &str, class: usize) {
        self.seen.borrow_mut().insert(id.to_owned(), Seen { class, ..Seen::default() });
    }

    fn over(&self, id: &str) {
        self.seen.borrow_mut().entry(id.to_owned()).or_default().over.get_or_insert(Instant::now());
    }

    /// A server has it whole. What is returned says whether it may have run there, until the server knows better.
    fn arrives(&self, id: &str, now: Instant) -> Rc<Cell<bool>> {
        let mut seen = self.seen.borrow_mut();
        let Some(seen) = seen.get_mut(id) else {
            self.broken(id, "no client sent it");
            return Rc::default();
        };
        if seen.over.is_some_and(|over| over < now) {
            self.broken(id, "reached a host after it was over");
        }
        if seen.runs.len() >= ATTEMPTS as usize {
            self.broken(id, "more attempts than the settings say");
        }
        let earlier =
            seen.runs.iter().filter(|(_, may_have_run)| may_have_run.get()).map(|(at, _)| *at).min();
        let allowed = match CLASSES[seen.class].1 {
            Idempotency::Idempotent => true,
            Idempotency::WithIdempotencyKey => earlier.is_none_or(|first| now - first < WINDOW),
            Idempotency::NotIdempotent => earlier.is_none(),
        };
        if !allowed {
            self.broken(id, "sent again though it may have run");
        }
        let may_have_run = Rc::new(Cell::new(true));
        seen.runs.push((now, Rc::clone(&may_have_run)));
        may_have_run
    }
}

fn settings() -> Settings {
    let class = |(_, effect, ms)| Class {
        latency_objective: Micros(ms * 800),
        deadline: Micros(ms * 1000),
        idempotency: effect,
        deduplication_window: Micros(WINDOW.as_micros() as u64),
        ..Class::default()
    };
    let mode = CacheMode::Aside(ORIGIN);
    Settings {
        classes: CLASSES.map(class).into(),
        mode,
        ..testing::settings(ATTEMPTS, Idempotency::Idempotent)
    }
}

/// A balancer, its clients and its servers.
struct World {
    dispatcher: Rc<Dispatcher>,
    downstream: Rc<Downstream>,
    shutdown: Rc<GracefulShutdown>,
    servers: Rc<Servers>,
    ledger: Rc<Ledger>,
}

impl World {
    fn new(seed: u64) -> World {
        let ledger = Rc::new(Ledger::default());
        let servers = Rc::new(Servers::new(Rng::with_seed(seed), Rc::clone(&ledger)));
        let (connect_timeout, idle) = (Duration::from_millis(150), Duration::from_secs(2));
        let (connections, late) = (24, Duration::from_millis(900));
        let limits = Limits {
            connections,
            piece: 1024,
            connect_timeout,
            idle,
            late,
            may_duplicate: true,
            origin: Some(ORIGIN),
        };
        let counters = Rc::new(Counters::default());
        let clock = crate::clock::Clock::start();
        let ways = Rc::clone(&servers) as Rc<dyn Connect>;
        let upstream = Upstream::new(limits, ways, clock, Rc::clone(&counters), log());
        let carrier = Rc::clone(&upstream) as Rc<dyn Carrier>;
        let dispatcher = Dispatcher::new(settings(), seed, carrier, clock, counters, log());
        upstream.attach(&dispatcher);
        dispatcher.on_endpoints_changed(EndpointUpdate::Restored, &servers.listed());
        let shutdown = Rc::new(GracefulShutdown::default());
        let classes = CLASSES.map(|(name, ..)| name.to_owned()).into();
        let labels = Labels { classes, tenants: vec![] };
        let resource_limits = ResourceLimits {
            client_connections: 16,
            idle_client_connections: 12,
            server_connections: 24,
            admin_connections: 8,
            client_buffer_bytes: 1 << 17,
            unread_answer_bytes: 1 << 16,
            chunk_bytes: 1 << 12,
        };
        let downstream =
            Downstream::new(Rc::clone(&dispatcher), labels, Rc::clone(&shutdown), resource_limits, log());
        // The pools live as long as the dispatcher, which holds them.
        World { dispatcher, downstream, shutdown, servers, ledger }
    }

    /// Discovery's news: servers drain, end, and others start at their addresses; now and then nothing is heard of it.
    async fn discovery(&self, mut rng: Rng) {
        loop {
            sleep(Duration::from_millis(rng.u64(50..400))).await;
            if rng.u8(..8) == 0 {
                self.dispatcher.on_endpoints_changed(EndpointUpdate::Unavailable, &[]);
            }
            let news: ListedServer = self.servers.turn(rng.usize(1..servers::PLACES));
            self.ledger.met("lists");
            self.dispatcher.on_endpoints_changed(EndpointUpdate::Delta, &[news]);
        }
    }

    /// Plays one life of the balancer to its end.
    async fn play(self, seed: u64) -> Rc<Ledger> {
        let mut rng = Rng::with_seed(seed ^ 0x5eed);
        let world = Rc::new(self);
        let (timers, news) = (Rc::clone(&world), Rc::clone(&world));
        spawn_local(async move { timers.dispatcher.run_timers().await });
        let draw = rng.fork();
        spawn_local(async move { news.discovery(draw).await });
        let mut clients: Vec<JoinHandle<()>> = Vec::new();
        for n in 0..7 {
            let (world, draw) = (Rc::clone(&world), rng.fork());
            clients.push(match n {
                0..5 => spawn_local(clients::serve(world, n, draw)),
                _ => spawn_local(clients::harm(world, n, draw)),
            });
        }
        sleep(Duration::from_millis(rng.u64(1500..3000))).await;
        let signal = Instant::now();
        let longest = Duration::from_millis(CLASSES.iter().map(|(.., ms)| *ms).max().unwrap_or(0));
        let last = time_for_answers(longest);
        world
            .dispatcher
            .set_final_deadline(world.dispatcher.clock().now().saturating_add(crate::clock::micros(last)));
        world.shutdown.run(signal, last + EXIT_DELAY).await;
        world.dispatcher.wait_until_idle().await;
        // The protocol's time for a planned end: whoever waits still has lost its request.
        sleep_until(signal + longest + Duration::from_millis(700)).await;
        if world.ledger.waiting.get() > 0 {
            world.ledger.broken("-", "a client still waits at the end of the process");
        }
        clients.iter().for_each(JoinHandle::abort);
        Rc::clone(&world.ledger)
    }
}

/// The invariant, in lives drawn from seeds.
#[test]
fn every_command_taken_has_one_whole_answer_in_time() {
    let mut met: HashMap<&'static str, u64> = HashMap::new();
    for seed in 0..SEEDS {
        let ledger = testing::run(async move { World::new(seed).play(seed).await });
        let broken = ledger.broken.take();
        assert!(broken.is_empty(), "seed {seed}: {broken:#?}");
        ledger.met.take().into_iter().for_each(|(what, n)| *met.entry(what).or_default() += n);
    }
    let ends = ["served", "refused", "failed", "left", "closed", "lists", "half-closed", "noise"];
    for what in ends.into_iter().chain(servers::DEEDS.map(|(what, _)| what)) {
        assert!(met.get(what).is_some_and(|n| *n >= SEEDS / 10), "{what}: {met:?}");
    }
}
