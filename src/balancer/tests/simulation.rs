//! A deterministic simulation of balancers, cache servers whose copies writes invalidate, an origin and
//! clients that retry, in virtual time and seeded.
//!
//! It reproduces a feedback loop: a rejected miss stays a miss for all who ask for the key, and their retries
//! ask again.

mod engine;

use super::*;
use engine::Simulation;

/// Keys at scale 1.
const KEYS: u64 = 120;
/// Mean seconds of work for a hit at a cache server, and for a request at the origin.
const HIT_SECONDS: f64 = 0.1;
const FETCH_SECONDS: f64 = 0.15;

/// Between these seconds work takes so many times as long.
#[derive(Clone, Copy)]
pub struct Slowdown {
    pub from: u64,
    pub to: u64,
    pub factor: f64,
}

impl Slowdown {
    pub const NONE: Slowdown = Slowdown { from: 0, to: 0, factor: 1.0 };

    fn factor_at(&self, second: u64) -> f64 {
        if (self.from..self.to).contains(&second) {
            self.factor
        } else {
            1.0
        }
    }
}

/// Between these seconds the cache servers answer nothing whose number is a multiple of `every`. Then they
/// have restarted empty, and balancers hear of it within two seconds.
#[derive(Clone, Copy)]
pub struct Silence {
    pub from: u64,
    pub to: u64,
    pub every: u64,
}

impl Silence {
    pub const NONE: Silence = Silence { from: 0, to: 0, every: 1 };
}

/// What is simulated.
#[derive(Clone, Copy)]
pub struct Plan {
    pub seed: u64,
    pub balancers: usize,
    pub caches: u64,
    /// Requests a second, of all balancers together.
    pub rate: f64,
    pub seconds: u64,
    pub slow_origin: Slowdown,
    pub silence: Silence,
}

/// How large the model is: the tests simulate one time its base, the capacity figures more.
#[derive(Clone, Copy)]
pub struct Scale {
    /// Factor on the workers of each cache and of the origin, and on the keys.
    pub factor: u64,
    /// When cache server 1 is slow.
    pub slow_cache: Slowdown,
}

impl Default for Scale {
    fn default() -> Scale {
        Scale { factor: 1, slow_cache: Slowdown::NONE }
    }
}

impl Scale {
    fn keys(&self) -> u64 {
        KEYS * self.factor
    }

    /// The workers of a cache server.
    fn workers(&self) -> u64 {
        2 * self.factor
    }

    /// Requests a second that a cache server with all its capacity can serve.
    pub fn cache_rate(&self) -> f64 {
        self.workers() as f64 / HIT_SECONDS
    }
}

/// What happened, by second where it is a list.
#[derive(Default)]
pub struct Day {
    /// First attempts of clients.
    pub requested: Vec<f64>,
    /// Those of them that were served within the objective.
    pub served: Vec<f64>,
    /// Sends to the origin.
    pub fetches: Vec<f64>,
    /// Sends to cache servers while they were silent.
    pub lost_sends: Vec<f64>,
    pub hits: f64,
    pub sends: f64,
    /// The most sends in a second to one server in slow start, relative to what it can do then.
    pub peak_slow_start_load: f64,
    /// The most by which those of balancers that had heard of its start were over what it bears, and what
    /// chance adds to that, 2 roots and 2.
    pub excess_over_chance: f64,
    /// Sends to each cache server, by second.
    pub cache_sends: Vec<Vec<f64>>,
}

impl Day {
    fn new(seconds: u64, caches: u64) -> Day {
        let zeros = vec![0.0; seconds as usize + 5];
        Day {
            requested: zeros.clone(),
            served: zeros.clone(),
            fetches: zeros.clone(),
            lost_sends: zeros.clone(),
            cache_sends: vec![vec![0.0; caches as usize]; zeros.len()],
            ..Day::default()
        }
    }

    /// The share of requests that was served in time between these seconds.
    pub fn served_share(&self, from: usize, to: usize) -> f64 {
        self.served[from..to].iter().sum::<f64>() / self.requested[from..to].iter().sum::<f64>()
    }
}

/// Simulates three balancers and six cache servers.
fn play_small(seed: u64, rate: f64, seconds: u64, slow_origin: Slowdown) -> Day {
    play(Plan { seed, balancers: 3, caches: 6, rate, seconds, slow_origin, silence: Silence::NONE })
}

pub fn play(plan: Plan) -> Day {
    play_scaled(plan, Scale::default())
}

pub fn play_scaled(plan: Plan, scale: Scale) -> Day {
    Simulation::new(plan, scale).run()
}

/// A rejected miss stays a miss for all who ask for the key, and their retries ask again: the collapse once
/// outlived a slow origin for the rest of the day.
#[test]
fn service_recovers_with_a_slow_origin() {
    for seed in 0..6 {
        let day = play_small(seed, 75.0, 40, Slowdown { from: 10, to: 18, factor: 7.0 });
        let before = day.served_share(2, 10);
        let during = day.served_share(10, 18);
        let after = day.served_share(21, 40);
        assert!(before > 0.93, "seed {seed}: {before:.3} before");
        assert!(during > 0.25, "seed {seed}: {during:.3} while it is slow: caches are kept filled");
        assert!(after > 0.95, "seed {seed}: {after:.3} from three seconds after it was slow");
    }
}

/// Six caches of two workers can do 120 hits a second: the excess is rejected in time to leave them work that
/// still counts.
#[test]
fn overloaded_caches_shed_the_excess_and_serve_the_rest() {
    for seed in 0..4 {
        let day = play_small(seed, 260.0, 20, Slowdown::NONE);
        let served = day.served[5..20].iter().sum::<f64>() / 15.0;
        assert!(served > 100.0, "seed {seed}: {served:.0} a second served of 260 requested");
    }
}
