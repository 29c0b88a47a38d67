//! A cache server: cores, slots, a waiting room, work with noise, a cold start, keys kept to a size, load reports.

#[cfg(test)]
mod tests;

use std::collections::{HashMap, VecDeque};
use std::num::NonZeroUsize;

use lru::LruCache;
use rand::Rng;
use rand_distr::{Distribution, Exp1};

use crate::experiment::CacheServers;
use crate::rng::SeededRng;
use crate::{micros_from_millis, Micros, MICROS_PER_SECOND};

/// How long a miss counts as a fetch that is out, where nobody stores the key.
const FETCHING: Micros = 3 * MICROS_PER_SECOND;

/// How a server answers a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The key is kept.
    Hit,
    /// It is not; whether another fetch of it is out.
    Miss {
        /// Another fetch is out.
        fetching: bool,
    },
    /// Turned away; it never ran.
    Busy,
    /// It failed.
    Failed,
}

/// What becomes of a request that has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Outcome {
    /// The answer.
    pub answer: Answer,
    /// When it goes out.
    pub at: Micros,
    /// Whether the server was not warm yet when it came.
    pub cold: bool,
}

/// A load report.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Report {
    /// Requests served in the last second.
    pub served_per_s: f64,
    /// Requests that wait for a core.
    pub waiting: f64,
}

/// One cache server, through its restarts.
#[derive(Debug)]
pub struct CacheServer {
    figures: CacheServers,
    /// Cores; its weight in the list.
    pub cores: f64,
    /// How often it has started anew.
    pub incarnation: u32,
    /// When it last started; none, long ago.
    pub started: Option<Micros>,
    /// Draining or gone: what comes new is turned away.
    pub closed: bool,
    slow: f64,
    failing: f64,
    /// When each core is free.
    free: Vec<Micros>,
    /// When what waits begins, in order.
    begins: VecDeque<Micros>,
    /// When what has begun or waits is done.
    ends: VecDeque<Micros>,
    kept: LruCache<u64, ()>,
    fetching: HashMap<u64, Micros>,
    /// What came in the last second, for the push that a cold server bears.
    recent: VecDeque<Micros>,
    fallen: bool,
    report: Report,
    reported: Micros,
}

impl CacheServer {
    /// A server that has run for long and keeps `keys` keys at the most; it keeps none yet.
    pub fn new(figures: CacheServers, cores: f64, keys: usize) -> CacheServer {
        CacheServer {
            figures,
            cores,
            incarnation: 0,
            started: None,
            closed: false,
            slow: 1.0,
            failing: 0.0,
            free: vec![0; (cores.ceil() as usize).max(1)],
            begins: VecDeque::new(),
            ends: VecDeque::new(),
            kept: LruCache::new(NonZeroUsize::new(keys).unwrap_or(NonZeroUsize::MIN)),
            fetching: HashMap::new(),
            recent: VecDeque::new(),
            fallen: false,
            report: Report::default(),
            reported: 0,
        }
    }

    /// Starts anew, cold and empty; what it had in hand is lost.
    pub fn restart(&mut self, now: Micros) {
        let (cores, keys) = (self.cores, self.kept.cap().get());
        let (slow, failing) = (self.slow, self.failing);
        let incarnation = self.incarnation + 1;
        *self = CacheServer {
            incarnation,
            started: Some(now),
            slow,
            failing,
            ..CacheServer::new(self.figures, cores, keys)
        };
        self.free.fill(now);
    }

    /// From now on it takes so many times as long.
    pub fn slow(&mut self, times: f64) {
        self.slow = times;
    }

    /// From now on it fails this share of its requests.
    pub fn fail(&mut self, share: f64) {
        self.failing = share;
    }

    /// The part of its capacity that it has.
    pub fn warmth(&self, now: Micros) -> f64 {
        let Some(started) = self.started else { return 1.0 };
        let part = (now.saturating_sub(started)) as f64 / (self.figures.cold_s * 1e6).max(1.0);
        (self.figures.cold_from + (1.0 - self.figures.cold_from) * part).min(1.0)
    }

    /// Hits a second that it can serve now.
    pub fn capacity(&self, now: Micros) -> f64 {
        self.cores * 1e3 / self.figures.work_ms / self.slow * self.warmth(now)
    }

    /// Whether it was pushed over while it was cold, and lies there.
    pub fn fallen(&self) -> bool {
        self.fallen
    }

    /// A read has come, whole.
    pub fn begin(&mut self, now: Micros, key: u64, rng: &mut SeededRng) -> Outcome {
        let warmth = self.warmth(now);
        let cold = warmth < 1.0;
        self.pushed(now, cold);
        let turned_away = |answer| Outcome { answer, at: now, cold };
        if self.closed || self.fallen {
            return turned_away(Answer::Busy);
        }
        while self.begins.front().is_some_and(|at| *at <= now) {
            self.begins.pop_front();
        }
        while self.ends.front().is_some_and(|at| *at <= now) {
            self.ends.pop_front();
        }
        let room = (self.cores * self.figures.slots as f64) as usize + self.figures.queue;
        if self.ends.len() >= room {
            return turned_away(Answer::Busy);
        }
        if rng.random::<f64>() < self.failing {
            return turned_away(Answer::Failed);
        }
        let answer = if self.kept.get(&key).is_some() {
            Answer::Hit
        } else {
            let out = self.fetching.get(&key).is_some_and(|since| now < since + FETCHING);
            self.fetching.insert(key, now);
            Answer::Miss { fetching: out }
        };
        let part = if answer == Answer::Hit { 1.0 } else { self.figures.miss };
        let noise: f64 = Exp1.sample(rng);
        // Half of the work is always there, the other half varies.
        let work = micros_from_millis(
            self.figures.work_ms * part * (0.5 + 0.5 * noise.min(8.0)) * self.slow / warmth,
        );
        let Some(core) = self.free.iter_mut().min() else { return turned_away(Answer::Busy) };
        let begin = (*core).max(now);
        // A part of a core does its work slower.
        let whole = self.cores.ceil().max(1.0) / self.cores;
        *core = begin + (work as f64 * whole) as Micros;
        let at = *core;
        if begin > now {
            self.begins.push_back(begin);
        }
        self.ends.push_back(at);
        Outcome { answer, at, cold }
    }

    /// Watches the push on a cold server: over a second with more than it bears, it falls.
    fn pushed(&mut self, now: Micros, cold: bool) {
        if !cold {
            self.recent.clear();
            return;
        }
        self.recent.push_back(now);
        while self.recent.front().is_some_and(|at| at + MICROS_PER_SECOND <= now) {
            self.recent.pop_front();
        }
        let bears = self.capacity(now) * self.figures.fall_times;
        let for_long = self.started.is_some_and(|started| started + MICROS_PER_SECOND <= now);
        if for_long && self.recent.len() as f64 > bears {
            self.fallen = true;
        }
    }

    /// The origin's answer has come here: the key is kept from now on.
    pub fn store(&mut self, key: u64) {
        self.fetching.remove(&key);
        if !self.closed {
            self.kept.put(key, ());
        }
        if self.fetching.len() > 4 * self.kept.cap().get() {
            self.fetching.clear();
        }
    }

    /// A write has voided the copy.
    pub fn void(&mut self, key: u64) {
        self.kept.pop(&key);
    }

    /// The load report that an answer carries: late and noisy.
    pub fn report(&mut self, now: Micros, rng: &mut SeededRng) -> Report {
        if now >= self.reported + micros_from_millis(self.figures.report_ms) {
            let mut noisy =
                |value: f64| value * (1.0 + self.figures.report_noise * (2.0 * rng.random::<f64>() - 1.0));
            let served = self.ends.iter().filter(|at| **at <= now + MICROS_PER_SECOND).count();
            let waiting = self.begins.iter().filter(|at| **at > now).count();
            self.report = Report { served_per_s: noisy(served as f64), waiting: noisy(waiting as f64) };
            self.reported = now;
        }
        self.report
    }
}
