//! The origin: slow, takes far less than all requests, stops when it is sent far too much.
//!
//! A pure model: it takes the time of each request, no earlier than those before, and says what becomes of it. Times are
//! [`Micros`].

#[cfg(test)]
mod tests;

use std::collections::{HashMap, VecDeque};

use rand_distr::{Distribution, Exp1};

use crate::experiment::Origin as OriginModel;
use crate::rng::SeededRng;
use crate::{micros_from_millis, micros_from_seconds, Micros, MICROS_PER_SECOND};

/// Sent too much for so long, it stops for as long.
const OVERLOAD_TIME: Micros = 3 * MICROS_PER_SECOND;
/// For how long a repeat of a write with an idempotency key is known.
const DEDUPLICATION_WINDOW: Micros = 6 * MICROS_PER_SECOND;
/// How long the answer to a repeated write takes, in milliseconds.
const REPEAT_WORK_MS: f64 = 1.0;
/// The longest work as a multiple of the mean of its varying half: beyond, the exponential draw is cut off.
const MAX_WORK_NOISE: f64 = 8.0;

/// What becomes of a fetch or a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It runs and is answered then.
    Runs {
        /// When the answer goes out.
        at: Micros,
        /// Whether it is a write that has run before, which runs no more.
        repeat: bool,
    },
    /// Rejected; it was not executed.
    Rejected,
    /// The origin has stopped: nothing is answered, connections end.
    Stopped,
}

/// A fetch or a write that the origin has received complete.
#[derive(Clone, Copy, Debug)]
pub struct OriginRequest {
    /// The idempotency key of a write; none of a fetch.
    pub idempotency_key: Option<u64>,
    /// Whether it is the miss of a server in slow start.
    pub in_slow_start: bool,
    /// Nobody waits for it after this.
    pub deadline: Micros,
}

/// The origin.
#[derive(Debug)]
pub struct Origin {
    model: OriginModel,
    /// How many times as long its work takes.
    slowdown: f64,
    /// When each worker is free.
    worker_free_at: Vec<Micros>,
    /// What came lately, and whether each was a miss of a server in slow start.
    recent: VecDeque<(Micros, bool)>,
    stopped_until: Micros,
    /// Writes by idempotency key, and when they ran.
    executed_writes: HashMap<u64, Micros>,
    /// Each stop: when, and the share of misses of servers in slow start in what was sent.
    pub stops: Vec<(Micros, f64)>,
    /// Nothing is too much: the caches are filling before the experiment begins.
    pub unbounded: bool,
}

impl Origin {
    /// An origin at rest.
    pub fn new(model: OriginModel) -> Origin {
        let workers = (model.capacity * model.work_ms / 1e3).round().max(1.0) as usize;
        Origin {
            model,
            slowdown: 1.0,
            worker_free_at: vec![0; workers],
            recent: VecDeque::new(),
            stopped_until: 0,
            executed_writes: HashMap::new(),
            stops: Vec::new(),
            unbounded: false,
        }
    }

    /// From now on its work takes so many times as long.
    pub fn set_slowdown(&mut self, times: f64) {
        self.slowdown = times;
    }

    /// A request has come complete.
    pub fn on_request(&mut self, now: Micros, request: OriginRequest, rng: &mut SeededRng) -> Outcome {
        let noise: f64 = Exp1.sample(rng);
        let work_ms = self.model.work_ms * (0.5 + 0.5 * noise.min(MAX_WORK_NOISE));
        if self.is_repeat(now, request.idempotency_key) {
            return Outcome::Runs { at: now + micros_from_millis(REPEAT_WORK_MS), repeat: true };
        }
        if self.unbounded {
            self.remember_write(now, request.idempotency_key);
            return Outcome::Runs { at: now + micros_from_millis(work_ms), repeat: false };
        }
        if now < self.stopped_until {
            return Outcome::Stopped;
        }
        self.watch_load(now, request.in_slow_start);
        if now < self.stopped_until {
            return Outcome::Stopped;
        }
        match self.run(now, work_ms, request.deadline) {
            Some(at) => {
                self.remember_write(now, request.idempotency_key);
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

    fn remember_write(&mut self, now: Micros, idempotency_key: Option<u64>) {
        if let Some(key) = idempotency_key {
            self.executed_writes.insert(key, now);
        }
    }

    /// Runs work on the worker that is free first; none where it would wait too long.
    fn run(&mut self, now: Micros, work_ms: f64, deadline: Micros) -> Option<Micros> {
        let max_wait = micros_from_seconds(self.model.queue_s);
        let worker_free_at = self.worker_free_at.iter_mut().min()?;
        let begin = (*worker_free_at).max(now);
        // It drops at once what nobody would wait for until its turn.
        if begin >= deadline || begin > now + max_wait {
            return None;
        }
        let queue_use = (begin - now) as f64 / max_wait.max(1) as f64;
        let thrash = 1.0 + self.model.thrash * queue_use;
        *worker_free_at = begin + micros_from_millis(work_ms * self.slowdown * thrash);
        Some(*worker_free_at)
    }

    /// Counts what is sent; far too much for three seconds stops it.
    fn watch_load(&mut self, now: Micros, in_slow_start: bool) {
        self.recent.push_back((now, in_slow_start));
        while self.recent.front().is_some_and(|(at, _)| at + OVERLOAD_TIME <= now) {
            self.recent.pop_front();
        }
        let capacity = self.model.capacity / self.slowdown;
        let max_requests = capacity * self.model.fall_times * 3.0;
        if self.recent.len() as f64 > max_requests {
            self.stop(now);
        }
    }

    fn stop(&mut self, now: Micros) {
        let in_slow_start = self.recent.iter().filter(|(_, in_slow_start)| *in_slow_start).count();
        let share = in_slow_start as f64 / self.recent.len() as f64;
        self.stops.push((now, share));
        self.stopped_until = now + OVERLOAD_TIME;
        self.recent.clear();
        self.worker_free_at.fill(self.stopped_until);
    }
}
