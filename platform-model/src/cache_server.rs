//! A cache server: cores, slots, a queue, work with noise, slow start, a cache of limited size, and load reports.
//!
//! The model has no I/O: callers pass the time of each request, no earlier than the previous one, and get the answer
//! and its time. The same requests with the same generator give the same answers. Times are [`Micros`].

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

/// Time for which a miss counts as a fetch in flight if the key is not stored.
const FETCH_TIMEOUT: Micros = 3 * MICROS_PER_SECOND;
/// Upper bound of the exponential draw by which the varying half of the work is multiplied.
const MAX_WORK_NOISE_FACTOR: f64 = 8.0;
/// Maximum ratio of the fetches in flight to the keys that can be cached. Beyond it all fetches in flight are
/// forgotten.
const MAX_FETCHES_PER_CACHED_KEY: usize = 4;

/// How a server answers a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The key is cached.
    Hit,
    /// The key is not cached.
    Miss {
        /// Whether another fetch of the key is in flight.
        fetching: bool,
    },
    /// Rejected without being executed.
    Rejected,
    /// Failed.
    Failed,
}

/// The response to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Response {
    /// The answer.
    pub answer: Answer,
    /// Time at which the answer is sent.
    pub at: Micros,
    /// Whether the server was in slow start when it received the request.
    pub in_slow_start: bool,
}

/// A load report.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Requests in flight that will be completed within a second.
    pub completing_within_1_s: f64,
    /// Requests waiting for a core.
    pub waiting: f64,
}

/// A cache server, over all its incarnations.
#[derive(Debug)]
pub struct CacheServer {
    model: CacheServers,
    /// Number of cores; also the server's weight in the endpoint list.
    pub cores: f64,
    /// Number of restarts.
    pub incarnation: u32,
    /// Time of the last start; `None` if it is long ago.
    pub started_at: Option<Micros>,
    /// Whether the server is draining or gone, and rejects new requests.
    pub rejects_requests: bool,
    /// Factor by which work takes longer.
    slowdown: f64,
    /// The share of requests that fail.
    failure_share: f64,
    /// Time at which each core becomes free.
    core_free_at: Vec<Micros>,
    /// Times at which the requests waiting for a core begin, in order.
    waiting_until: VecDeque<Micros>,
    /// Times at which the requests in flight are completed.
    in_flight_until: VecDeque<Micros>,
    cached_keys: LruCache<u64, ()>,
    /// Keys being fetched after a miss, with the time of the miss.
    fetching_since: HashMap<u64, Micros>,
    /// Times of the requests of the last second; filled only in slow start.
    recent_requests: VecDeque<Micros>,
    has_collapsed: bool,
    last_report: LoadReport,
    last_report_at: Micros,
}

impl CacheServer {
    /// A server past its slow start with an empty cache for up to `max_keys` keys.
    pub fn new(model: CacheServers, cores: f64, max_keys: usize) -> CacheServer {
        CacheServer {
            model,
            cores,
            incarnation: 0,
            started_at: None,
            rejects_requests: false,
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

    /// Restarts the server in slow start and with an empty cache. Requests in flight are lost; slowdown and failures
    /// stay.
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

    /// Sets the factor by which work takes longer from now on.
    pub fn set_slowdown(&mut self, factor: f64) {
        self.slowdown = factor;
    }

    /// Sets the share of requests that fail from now on.
    pub fn set_failure_share(&mut self, share: f64) {
        self.failure_share = share;
    }

    /// The share of the full capacity that is available: below 1 in slow start.
    pub fn capacity_share(&self, now: Micros) -> f64 {
        let Some(started_at) = self.started_at else { return 1.0 };
        let progress = (now.saturating_sub(started_at)) as f64 / (self.model.slow_start_s * 1e6).max(1.0);
        (self.model.slow_start_initial_share + (1.0 - self.model.slow_start_initial_share) * progress)
            .min(1.0)
    }

    /// Current capacity in hits a second.
    pub fn capacity(&self, now: Micros) -> f64 {
        self.cores * 1e3 / self.model.work_ms / self.slowdown * self.capacity_share(now)
    }

    /// Whether the server was overloaded in slow start and has rejected all requests since.
    pub fn has_collapsed(&self) -> bool {
        self.has_collapsed
    }

    /// Handles a read that has been received completely, and returns the response.
    pub fn on_request(&mut self, now: Micros, key: u64, rng: &mut SeededRng) -> Response {
        let capacity_share = self.capacity_share(now);
        let in_slow_start = capacity_share < 1.0;
        self.track_slow_start_load(now, in_slow_start);
        let respond_now = |answer| Response { answer, at: now, in_slow_start };
        if self.rejects_requests || self.has_collapsed {
            return respond_now(Answer::Rejected);
        }
        self.remove_completed(now);
        if self.in_flight_until.len() >= self.max_in_flight() {
            return respond_now(Answer::Rejected);
        }
        if rng.random::<f64>() < self.failure_share {
            return respond_now(Answer::Failed);
        }
        let answer = self.look_up_key(now, key);
        let work = self.draw_work(answer, capacity_share, rng);
        match self.schedule_work(now, work) {
            Some(at) => Response { answer, at, in_slow_start },
            None => respond_now(Answer::Rejected),
        }
    }

    /// Marks the server as collapsed if it was overloaded for a second in slow start.
    fn track_slow_start_load(&mut self, now: Micros, in_slow_start: bool) {
        if !in_slow_start {
            self.recent_requests.clear();
            return;
        }
        self.recent_requests.push_back(now);
        while self.recent_requests.front().is_some_and(|at| at + MICROS_PER_SECOND <= now) {
            self.recent_requests.pop_front();
        }
        let max_requests = self.capacity(now) * self.model.collapse_load_factor;
        let has_run_for_a_second = self.started_at.is_some_and(|at| at + MICROS_PER_SECOND <= now);
        if has_run_for_a_second && self.recent_requests.len() as f64 > max_requests {
            self.has_collapsed = true;
        }
    }

    fn remove_completed(&mut self, now: Micros) {
        for end_times in [&mut self.waiting_until, &mut self.in_flight_until] {
            while end_times.front().is_some_and(|at| *at <= now) {
                end_times.pop_front();
            }
        }
    }

    /// Maximum number of requests that run or wait at the same time.
    fn max_in_flight(&self) -> usize {
        (self.cores * self.model.slots_per_core as f64) as usize + self.model.max_waiting
    }

    /// Looks up a key in the cache; a miss counts as a fetch in flight.
    fn look_up_key(&mut self, now: Micros, key: u64) -> Answer {
        if self.cached_keys.get(&key).is_some() {
            return Answer::Hit;
        }
        let previous_miss_at = self.fetching_since.insert(key, now);
        Answer::Miss { fetching: previous_miss_at.is_some_and(|at| now < at + FETCH_TIMEOUT) }
    }

    /// Draws the work of a request, as time on a whole core.
    fn draw_work(&self, answer: Answer, capacity_share: f64, rng: &mut SeededRng) -> Micros {
        let work_ratio = if answer == Answer::Hit { 1.0 } else { self.model.miss_work_ratio };
        let noise: f64 = Exp1.sample(rng);
        // Half of the work is fixed, the other half varies.
        let noise_factor = 0.5 + 0.5 * noise.min(MAX_WORK_NOISE_FACTOR);
        micros_from_millis(self.model.work_ms * work_ratio * noise_factor * self.slowdown / capacity_share)
    }

    /// Runs work on the core that becomes free first and returns the time of completion.
    fn schedule_work(&mut self, now: Micros, work: Micros) -> Option<Micros> {
        let core_free_at = self.core_free_at.iter_mut().min()?;
        let begin = (*core_free_at).max(now);
        // A server with a fractional number of cores runs on the next whole number of slower cores.
        let core_slowdown = self.cores.ceil().max(1.0) / self.cores;
        let completed_at = begin + (work as f64 * core_slowdown) as Micros;
        *core_free_at = completed_at;
        if begin > now {
            self.waiting_until.push_back(begin);
        }
        self.in_flight_until.push_back(completed_at);
        Some(completed_at)
    }

    /// Caches a key whose value has been fetched from the origin.
    pub fn store(&mut self, key: u64) {
        self.fetching_since.remove(&key);
        if !self.rejects_requests {
            self.cached_keys.put(key, ());
        }
        if self.fetching_since.len() > MAX_FETCHES_PER_CACHED_KEY * self.cached_keys.cap().get() {
            self.fetching_since.clear();
        }
    }

    /// Removes a cached value after a write.
    pub fn invalidate(&mut self, key: u64) {
        self.cached_keys.pop(&key);
    }

    /// The load report attached to an answer. The report is noisy, and up to `report_ms` old.
    pub fn load_report(&mut self, now: Micros, rng: &mut SeededRng) -> LoadReport {
        if now >= self.last_report_at + micros_from_millis(self.model.report_ms) {
            let served_count =
                self.in_flight_until.iter().filter(|at| **at <= now + MICROS_PER_SECOND).count();
            let waiting_count = self.waiting_until.iter().filter(|at| **at > now).count();
            let noise = self.model.report_noise;
            let mut add_noise =
                |value: usize| value as f64 * (1.0 + noise * (2.0 * rng.random::<f64>() - 1.0));
            self.last_report = LoadReport {
                completing_within_1_s: add_noise(served_count),
                waiting: add_noise(waiting_count),
            };
            self.last_report_at = now;
        }
        self.last_report
    }
}
