//! The origin: it is slow, has a capacity far below the rate of all requests, and stops under heavy overload.
//!
//! The model has no I/O: callers pass the time of each request, no earlier than the previous one, and get its
//! outcome. Times are [`Micros`].

#[cfg(test)]
mod tests;

use std::collections::{HashMap, VecDeque};

use rand_distr::{Distribution, Exp1};

use crate::experiment::Origin as OriginModel;
use crate::rng::SeededRng;
use crate::{micros_from_millis, micros_from_seconds, Micros, MICROS_PER_SECOND};

/// Duration of the overload after which the origin stops, and duration of the stop.
const OVERLOAD_DURATION: Micros = 3 * MICROS_PER_SECOND;
/// Time for which a repeated write is recognized by its idempotency key.
const DEDUPLICATION_WINDOW: Micros = 6 * MICROS_PER_SECOND;
/// Time to answer a repeated write, in milliseconds.
const REPEATED_WRITE_WORK_MS: f64 = 1.0;
/// Upper bound of the exponential draw by which the varying half of the work is multiplied.
const MAX_WORK_NOISE_FACTOR: f64 = 8.0;

/// The outcome of a fetch or a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The request runs and is answered.
    Runs {
        /// Time at which the answer is sent.
        at: Micros,
        /// Whether the request repeats a write that has already run, and is not executed again.
        repeat: bool,
    },
    /// Rejected without being executed.
    Rejected,
    /// The origin has stopped: requests are not answered, and connections are closed.
    Stopped,
}

/// A fetch or a write that the origin has received completely.
#[derive(Clone, Copy, Debug)]
pub struct OriginRequest {
    /// The idempotency key of a write; `None` for a fetch.
    pub idempotency_key: Option<u64>,
    /// Whether the request follows a miss at a server in slow start.
    pub in_slow_start: bool,
    /// Time after which the answer is no longer needed.
    pub deadline: Micros,
}

/// The model of the origin.
#[derive(Debug)]
pub struct Origin {
    model: OriginModel,
    /// Factor by which work takes longer.
    slowdown: f64,
    /// Time at which each worker becomes free.
    worker_free_at: Vec<Micros>,
    /// Recent requests: the time, and whether each followed a miss at a server in slow start.
    recent_requests: VecDeque<(Micros, bool)>,
    stopped_until: Micros,
    /// Times at which writes were executed, by idempotency key.
    executed_writes: HashMap<u64, Micros>,
    /// Stops: the time, and the share of the requests in the overload that followed misses at servers in slow start.
    pub stops: Vec<(Micros, f64)>,
    /// Whether the capacity is unlimited, as while the caches fill before the experiment begins.
    pub has_unlimited_capacity: bool,
}

impl Origin {
    /// An idle origin.
    pub fn new(model: OriginModel) -> Origin {
        let workers = (model.capacity * model.work_ms / 1e3).round().max(1.0) as usize;
        Origin {
            model,
            slowdown: 1.0,
            worker_free_at: vec![0; workers],
            recent_requests: VecDeque::new(),
            stopped_until: 0,
            executed_writes: HashMap::new(),
            stops: Vec::new(),
            has_unlimited_capacity: false,
        }
    }

    /// Sets the factor by which work takes longer from now on.
    pub fn set_slowdown(&mut self, factor: f64) {
        self.slowdown = factor;
    }

    /// Handles a request that has been received completely, and returns the outcome.
    pub fn on_request(&mut self, now: Micros, request: OriginRequest, rng: &mut SeededRng) -> Outcome {
        let noise: f64 = Exp1.sample(rng);
        let work_ms = self.model.work_ms * (0.5 + 0.5 * noise.min(MAX_WORK_NOISE_FACTOR));
        if self.is_repeat(now, request.idempotency_key) {
            return Outcome::Runs { at: now + micros_from_millis(REPEATED_WRITE_WORK_MS), repeat: true };
        }
        if self.has_unlimited_capacity {
            self.record_write(now, request.idempotency_key);
            return Outcome::Runs { at: now + micros_from_millis(work_ms), repeat: false };
        }
        if now < self.stopped_until {
            return Outcome::Stopped;
        }
        self.track_load(now, request.in_slow_start);
        if now < self.stopped_until {
            return Outcome::Stopped;
        }
        match self.schedule_work(now, work_ms, request.deadline) {
            Some(at) => {
                self.record_write(now, request.idempotency_key);
                Outcome::Runs { at, repeat: false }
            }
            None => Outcome::Rejected,
        }
    }

    fn is_repeat(&mut self, now: Micros, idempotency_key: Option<u64>) -> bool {
        let Some(key) = idempotency_key else { return false };
        self.executed_writes.retain(|_, at| *at + DEDUPLICATION_WINDOW > now);
        self.executed_writes.contains_key(&key)
    }

    fn record_write(&mut self, now: Micros, idempotency_key: Option<u64>) {
        if let Some(key) = idempotency_key {
            self.executed_writes.insert(key, now);
        }
    }

    /// Runs work on the worker that becomes free first and returns the time of completion; `None` if the wait would
    /// be too long.
    fn schedule_work(&mut self, now: Micros, work_ms: f64, deadline: Micros) -> Option<Micros> {
        let max_wait = micros_from_seconds(self.model.queue_s);
        let worker_free_at = self.worker_free_at.iter_mut().min()?;
        let begin = (*worker_free_at).max(now);
        // Rejects at once a request whose deadline would pass before it begins.
        if begin >= deadline || begin > now + max_wait {
            return None;
        }
        let queue_fill_ratio = (begin - now) as f64 / max_wait.max(1) as f64;
        let thrash_factor = 1.0 + self.model.thrash * queue_fill_ratio;
        *worker_free_at = begin + micros_from_millis(work_ms * self.slowdown * thrash_factor);
        Some(*worker_free_at)
    }

    /// Counts the request, and stops the origin after heavy overload for three seconds.
    fn track_load(&mut self, now: Micros, in_slow_start: bool) {
        self.recent_requests.push_back((now, in_slow_start));
        while self.recent_requests.front().is_some_and(|(at, _)| at + OVERLOAD_DURATION <= now) {
            self.recent_requests.pop_front();
        }
        let capacity = self.model.capacity / self.slowdown;
        let max_requests = capacity * self.model.stop_load_factor * 3.0;
        if self.recent_requests.len() as f64 > max_requests {
            self.stop(now);
        }
    }

    fn stop(&mut self, now: Micros) {
        let in_slow_start = self.recent_requests.iter().filter(|(_, in_slow_start)| *in_slow_start).count();
        let share = in_slow_start as f64 / self.recent_requests.len() as f64;
        self.stops.push((now, share));
        self.stopped_until = now + OVERLOAD_DURATION;
        self.recent_requests.clear();
        self.worker_free_at.fill(self.stopped_until);
    }
}
