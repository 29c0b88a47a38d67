//! A cache server: cores, slots, a queue, work with noise, slow start, cached keys up to a size, load reports.
//!
//! A pure model: it takes the time of each request, no earlier than those before, and says when the answer goes out. The
//! same requests with the same generator give the same answers. Times are [`Micros`].

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

/// How long a miss counts as a fetch in flight, where nobody stores the key.
const FETCH_TIMEOUT: Micros = 3 * MICROS_PER_SECOND;
/// The longest work as a multiple of the mean of its varying half: beyond, the exponential draw is cut off.
const MAX_WORK_NOISE: f64 = 8.0;
/// Fetches in flight are forgotten where there are so many for each key that can be cached.
const MAX_FETCHES_PER_CACHED_KEY: usize = 4;

/// How a server answers a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The key is cached.
    Hit,
    /// It is not.
    Miss {
        /// Whether another fetch of it is in flight.
        fetching: bool,
    },
    /// Rejected; it was not executed.
    Rejected,
    /// It failed.
    Failed,
}

/// What becomes of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Response {
    /// The answer.
    pub answer: Answer,
    /// When it goes out.
    pub at: Micros,
    /// Whether the server was in slow start when the request came.
    pub in_slow_start: bool,
}

/// A load report.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Requests served in the last second.
    pub served_per_s: f64,
    /// Requests that wait for a core.
    pub waiting: f64,
}

/// One cache server, through its restarts.
#[derive(Debug)]
pub struct CacheServer {
    model: CacheServers,
    /// Cores; its weight in the endpoint list.
    pub cores: f64,
    /// How often it has started anew.
    pub incarnation: u32,
    /// When it last started; none, long ago.
    pub started_at: Option<Micros>,
    /// Draining or gone: new requests are rejected.
    pub closed: bool,
    /// How many times as long its work takes.
    slowdown: f64,
    /// The share of its requests that fail.
    failure_share: f64,
    /// When each core is free.
    core_free_at: Vec<Micros>,
    /// When the requests that wait for a core begin, in order.
    waiting_until: VecDeque<Micros>,
    /// When the requests in flight are done.
    in_flight_until: VecDeque<Micros>,
    cached_keys: LruCache<u64, ()>,
    /// Keys that missed and are being fetched, and since when.
    fetching_since: HashMap<u64, Micros>,
    /// When the requests of the last second came; in slow start alone.
    recent_requests: VecDeque<Micros>,
    has_collapsed: bool,
    last_report: LoadReport,
    last_report_at: Micros,
}

impl CacheServer {
    /// A server that has run for long and caches `max_keys` keys at the most; it has none yet.
    pub fn new(model: CacheServers, cores: f64, max_keys: usize) -> CacheServer {
        CacheServer {
            model,
            cores,
            incarnation: 0,
            started_at: None,
            closed: false,
            slowdown: 1.0,
            failure_share: 0.0,
            core_free_at: vec![0; (cores.ceil() as usize).max(1)],
            waiting_until: VecDeque::new(),
            in_flight_until: VecDeque::new(),
            cached_keys: LruCache::new(NonZeroUsize::new(max_keys).unwrap_or(NonZeroUsize::MIN)),
            fetching_since: HashMap::new(),
            recent_requests: VecDeque::new(),
            has_collapsed: false,
            last_report: LoadReport::default(),
            last_report_at: 0,
        }
    }

    /// Starts anew, in slow start and with nothing cached; requests in flight are lost. Faults stay.
    pub fn restart(&mut self, now: Micros) {
        let max_keys = self.cached_keys.cap().get();
        *self = CacheServer {
            incarnation: self.incarnation + 1,
            started_at: Some(now),
            slowdown: self.slowdown,
            failure_share: self.failure_share,
            ..CacheServer::new(self.model, self.cores, max_keys)
        };
        self.core_free_at.fill(now);
    }

    /// From now on its work takes so many times as long.
    pub fn set_slowdown(&mut self, times: f64) {
        self.slowdown = times;
    }

    /// From now on it fails this share of its requests.
    pub fn set_failure_share(&mut self, share: f64) {
        self.failure_share = share;
    }

    /// The share of its capacity that it has: below 1 in slow start.
    pub fn capacity_share(&self, now: Micros) -> f64 {
        let Some(started_at) = self.started_at else { return 1.0 };
        let progress = (now.saturating_sub(started_at)) as f64 / (self.model.cold_s * 1e6).max(1.0);
        (self.model.cold_from + (1.0 - self.model.cold_from) * progress).min(1.0)
    }

    /// Hits a second that it can serve now.
    pub fn capacity(&self, now: Micros) -> f64 {
        self.cores * 1e3 / self.model.work_ms / self.slowdown * self.capacity_share(now)
    }

    /// Whether it was sent too much in slow start, and rejects everything since.
    pub fn has_collapsed(&self) -> bool {
        self.has_collapsed
    }

    /// A read has come complete.
    pub fn on_request(&mut self, now: Micros, key: u64, rng: &mut SeededRng) -> Response {
        let capacity_share = self.capacity_share(now);
        let in_slow_start = capacity_share < 1.0;
        self.watch_slow_start_load(now, in_slow_start);
        let at_once = |answer| Response { answer, at: now, in_slow_start };
        if self.closed || self.has_collapsed {
            return at_once(Answer::Rejected);
        }
        self.forget_done(now);
        if self.in_flight_until.len() >= self.max_in_flight() {
            return at_once(Answer::Rejected);
        }
        if rng.random::<f64>() < self.failure_share {
            return at_once(Answer::Failed);
        }
        let answer = self.look_up(now, key);
        let work = self.draw_work(answer, capacity_share, rng);
        match self.run(now, work) {
            Some(at) => Response { answer, at, in_slow_start },
            None => at_once(Answer::Rejected),
        }
    }

    /// Over a second in slow start with more than it bears, a server collapses.
    fn watch_slow_start_load(&mut self, now: Micros, in_slow_start: bool) {
        if !in_slow_start {
            self.recent_requests.clear();
            return;
        }
        self.recent_requests.push_back(now);
        while self.recent_requests.front().is_some_and(|at| at + MICROS_PER_SECOND <= now) {
            self.recent_requests.pop_front();
        }
        let max_requests = self.capacity(now) * self.model.fall_times;
        let is_up_for_a_second = self.started_at.is_some_and(|at| at + MICROS_PER_SECOND <= now);
        if is_up_for_a_second && self.recent_requests.len() as f64 > max_requests {
            self.has_collapsed = true;
        }
    }

    fn forget_done(&mut self, now: Micros) {
        for times in [&mut self.waiting_until, &mut self.in_flight_until] {
            while times.front().is_some_and(|at| *at <= now) {
                times.pop_front();
            }
        }
    }

    /// How many requests may run or wait at once.
    fn max_in_flight(&self) -> usize {
        (self.cores * self.model.slots as f64) as usize + self.model.queue
    }

    fn look_up(&mut self, now: Micros, key: u64) -> Answer {
        if self.cached_keys.get(&key).is_some() {
            return Answer::Hit;
        }
        let since = self.fetching_since.insert(key, now);
        Answer::Miss { fetching: since.is_some_and(|since| now < since + FETCH_TIMEOUT) }
    }

    /// The work of one request on a complete core.
    fn draw_work(&self, answer: Answer, capacity_share: f64, rng: &mut SeededRng) -> Micros {
        let part = if answer == Answer::Hit { 1.0 } else { self.model.miss };
        let noise: f64 = Exp1.sample(rng);
        // Half of the work is always there, the other half varies.
        let varied = 0.5 + 0.5 * noise.min(MAX_WORK_NOISE);
        micros_from_millis(self.model.work_ms * part * varied * self.slowdown / capacity_share)
    }

    /// Runs work on the core that is free first; gives when it is done.
    fn run(&mut self, now: Micros, work: Micros) -> Option<Micros> {
        let core_free_at = self.core_free_at.iter_mut().min()?;
        let begin = (*core_free_at).max(now);
        // A part of a core does its work slower.
        let slower = self.cores.ceil().max(1.0) / self.cores;
        let done_at = begin + (work as f64 * slower) as Micros;
        *core_free_at = done_at;
        if begin > now {
            self.waiting_until.push_back(begin);
        }
        self.in_flight_until.push_back(done_at);
        Some(done_at)
    }

    /// The origin's answer has come here: the key is cached from now on.
    pub fn store(&mut self, key: u64) {
        self.fetching_since.remove(&key);
        if !self.closed {
            self.cached_keys.put(key, ());
        }
        if self.fetching_since.len() > MAX_FETCHES_PER_CACHED_KEY * self.cached_keys.cap().get() {
            self.fetching_since.clear();
        }
    }

    /// A write has made the cached value void.
    pub fn invalidate(&mut self, key: u64) {
        self.cached_keys.pop(&key);
    }

    /// The load report that an answer carries: late and noisy.
    pub fn load_report(&mut self, now: Micros, rng: &mut SeededRng) -> LoadReport {
        if now >= self.last_report_at + micros_from_millis(self.model.report_ms) {
            let served = self.in_flight_until.iter().filter(|at| **at <= now + MICROS_PER_SECOND).count();
            let waiting = self.waiting_until.iter().filter(|at| **at > now).count();
            let noise = self.model.report_noise;
            let mut noisy = |value: usize| value as f64 * (1.0 + noise * (2.0 * rng.random::<f64>() - 1.0));
            self.last_report = LoadReport { served_per_s: noisy(served), waiting: noisy(waiting) };
            self.last_report_at = now;
        }
        self.last_report
    }
}
