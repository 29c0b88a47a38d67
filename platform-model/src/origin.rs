//! The origin: slow, takes far less than all requests, stops when it is sent far too much.

#[cfg(test)]
mod tests;

use std::collections::{HashMap, VecDeque};

use rand_distr::{Distribution, Exp1};

use crate::experiment::Origin as Figures;
use crate::rng::SeededRng;
use crate::{micros_from_millis, micros_from_seconds, Micros, MICROS_PER_SECOND};

/// Sent too much for so long, it stops for as long.
const FALL: Micros = 3 * MICROS_PER_SECOND;
/// For how long a repeat of a keyed write is known.
const REPEATS: Micros = 6 * MICROS_PER_SECOND;

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
    /// Turned away; it never ran.
    Busy,
    /// The origin has stopped: nothing is answered, connections end.
    Stopped,
}

/// The origin.
#[derive(Debug)]
pub struct Origin {
    figures: Figures,
    slow: f64,
    /// When each worker is free.
    free: Vec<Micros>,
    /// What came lately, and whether each was a miss of a cold server.
    recent: VecDeque<(Micros, bool)>,
    stopped_until: Micros,
    /// Writes by idempotency key, and when they ran.
    ran: HashMap<u64, Micros>,
    /// Each stop: when, and the share of misses of cold servers in what was sent.
    pub stops: Vec<(Micros, f64)>,
    /// Nothing is too much: the caches are filling before the experiment begins.
    pub unbounded: bool,
}

impl Origin {
    /// An origin at rest.
    pub fn new(figures: Figures) -> Origin {
        let workers = (figures.capacity * figures.work_ms / 1e3).round().max(1.0) as usize;
        Origin {
            figures,
            slow: 1.0,
            free: vec![0; workers],
            recent: VecDeque::new(),
            stopped_until: 0,
            ran: HashMap::new(),
            stops: Vec::new(),
            unbounded: false,
        }
    }

    /// From now on it takes so many times as long.
    pub fn slow(&mut self, times: f64) {
        self.slow = times;
    }

    /// Something has come, whole: `write` has the idempotency key of a write, `cold` says that it is the miss of a
    /// cold server, and nobody waits for it after `until`.
    pub fn begin(
        &mut self,
        now: Micros,
        write: Option<u64>,
        cold: bool,
        until: Micros,
        rng: &mut SeededRng,
    ) -> Outcome {
        let noise: f64 = Exp1.sample(rng);
        let work = self.figures.work_ms * (0.5 + 0.5 * noise.min(8.0));
        if let Some(key) = write {
            self.ran.retain(|_, at| *at + REPEATS > now);
            if self.ran.contains_key(&key) {
                return Outcome::Runs { at: now + micros_from_millis(1.0), repeat: true };
            }
        }
        if self.unbounded {
            let at = now + micros_from_millis(work);
            self.ran.extend(write.map(|key| (key, now)));
            return Outcome::Runs { at, repeat: false };
        }
        if now < self.stopped_until {
            return Outcome::Stopped;
        }
        self.sent(now, cold);
        if now < self.stopped_until {
            return Outcome::Stopped;
        }
        let Some(worker) = self.free.iter_mut().min() else { return Outcome::Busy };
        let begin = (*worker).max(now);
        // It drops at once what nobody would wait for until its turn.
        if begin >= until || begin > now + micros_from_seconds(self.figures.queue_s) {
            return Outcome::Busy;
        }
        let full = (begin - now) as f64 / micros_from_seconds(self.figures.queue_s).max(1) as f64;
        *worker = begin + micros_from_millis(work * self.slow * (1.0 + self.figures.thrash * full));
        let at = *worker;
        self.ran.extend(write.map(|key| (key, now)));
        Outcome::Runs { at, repeat: false }
    }

    /// Counts what is sent; far too much for three seconds stops it.
    fn sent(&mut self, now: Micros, cold: bool) {
        self.recent.push_back((now, cold));
        while self.recent.front().is_some_and(|(at, _)| at + FALL <= now) {
            self.recent.pop_front();
        }
        let bears = self.figures.capacity / self.slow * self.figures.fall_times * 3.0;
        if self.recent.len() as f64 > bears {
            let cold = self.recent.iter().filter(|(_, cold)| *cold).count() as f64 / self.recent.len() as f64;
            self.stops.push((now, cold));
            self.stopped_until = now + FALL;
            self.recent.clear();
            self.free.fill(now + FALL);
        }
    }
}
