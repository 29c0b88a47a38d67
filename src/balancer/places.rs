//! How many own sends may be out at one server: the paper's internal control (section 2).

use crate::*;

/// The bound for a server of which nothing is known: one, and this shared out to all balancers.
const FIRST: f64 = 6.0;
/// By how much a quick answer raises a bound in use (by one until the first silence), and what that leaves.
const RAISE: f64 = 0.12;
const CUT: f64 = 0.8;
/// In usual latencies: what is quick, what a time-out must have lasted to tell of the server, what time
/// must be left to send at all, and from where a mean of so many answers teaches nothing of the usual.
const QUICK: f64 = 1.6;
const FAIR: f64 = 1.5;
const LEAST: f64 = 0.3;
const ODD: f64 = 2.0;
const SAMPLES: f64 = 4.0;
/// Weights of such a mean in the usual latency; the microseconds in which odd ones, as of a queue, double it.
const DOWN: f64 = 0.1;
const UP: f64 = 0.03;
const CREEP: f64 = 600e6;
/// Part of the bound lately in use that silence leaves where given-up work is dropped; its memory.
const KEEPS: f64 = 0.9;
const FORGETS: f64 = 0.001;
/// Part of the places that reads keep while writes take all they can.
const READS: f64 = 0.3;

#[derive(Debug, Default)]
pub(super) struct Places {
    reads: f64,
    writes: f64,
    ghosts: Vec<Micros>,
    pub(super) most: f64,
    /// The least bound of one of so many balancers; under one place it rests between sends, until then, but
    /// for writes to the origin, which go when nothing else is out.
    part: f64,
    pub(super) rest: Micros,
    used: f64,
    cut: Micros,
    pub(super) usual: f64,
    pub(super) lately: f64,
    sum: f64,
    count: f64,
    taught: Micros,
    pressed: bool,
}

impl Places {
    pub(super) fn new(balancers: u32) -> Places {
        let part = (3.0 / f64::from(balancers.max(1))).min(1.0);
        Places { most: 1.0 + FIRST / f64::from(balancers.max(1)), part, ..Places::default() }
    }

    pub(super) fn out(&self) -> f64 {
        self.reads + self.writes + self.ghosts.len() as f64
    }

    pub(super) fn freed(&self, time: Micros) -> usize {
        (self.most * time.0 as f64 / self.lately.max(1e5)) as usize
    }

    pub(super) fn room(&mut self, now: Micros, write: bool) -> bool {
        self.ghosts.retain(|until| *until > now);
        (write || now >= self.rest) && self.out() + 1.0 <= self.most.max(1.0)
            || !write && self.reads + 1.0 <= READS * self.most
    }

    pub(super) fn take(&mut self, write: bool) {
        *(if write { &mut self.writes } else { &mut self.reads }) += 1.0;
    }

    pub(super) fn free(&mut self, now: Micros, write: bool, goes_on: Option<Micros>) {
        let out = if write { &mut self.writes } else { &mut self.reads };
        *out = (*out - 1.0).max(0.0);
        if self.most < 1.0 {
            self.rest = now.saturating_add(Micros((self.lately * (1.0 / self.most - 1.0)) as u64));
        }
        self.ghosts.extend(goes_on.map(|more| now.saturating_add(more)));
    }

    /// Whether a time-out of this length tells of the server: its client may have been about to leave.
    pub(super) fn fair(&self, latency: Micros) -> bool {
        latency.0 as f64 >= FAIR * self.usual
    }

    pub(super) fn hopeful(&self, left: Micros) -> bool {
        left.0 as f64 >= LEAST * self.usual
    }

    fn sample(&mut self, now: Micros, latency: Micros) {
        let latency = latency.0 as f64;
        self.lately += (latency - self.lately) * if self.lately == 0.0 { 1.0 } else { 0.15 };
        (self.sum, self.count) = (self.sum + latency, self.count + 1.0);
        self.pressed |= self.out() > 0.5 * self.most;
        self.used *= (1.0 - FORGETS / self.part).max(0.0);
        if self.count >= SAMPLES {
            let mean = self.sum / self.count;
            self.usual += match mean - self.usual {
                _ if self.usual == 0.0 => mean,
                less if less < 0.0 => less * DOWN,
                more if mean < ODD * self.usual && !self.pressed => more * UP,
                _ => self.usual * now.saturating_sub(self.taught).0 as f64 / CREEP,
            };
            (self.sum, self.count, self.pressed, self.taught) = (0.0, 0.0, false, now);
        }
    }

    pub(super) fn answered(&mut self, now: Micros, latency: Micros) {
        self.sample(now, latency);
        let quick = self.usual == 0.0 || (latency.0 as f64) < QUICK * self.usual;
        if quick && self.out() + 2.0 > self.most {
            self.most += if self.cut.0 == 0 { 1.0 } else { RAISE };
            self.used = self.used.max(self.most);
        }
    }

    pub(super) fn silent(&mut self, now: Micros, latency: Micros, dropped: bool) {
        self.sample(now, latency);
        if now.saturating_sub(latency) >= self.cut {
            let least = if dropped { self.used * KEEPS } else { 0.0 };
            self.most = (self.most * CUT).max(least).max(self.part);
            self.cut = now;
        }
    }
}
