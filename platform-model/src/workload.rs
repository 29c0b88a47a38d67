//! The workload, drawn ahead: when each request comes, at which balancer, for which key. It does not wait for answers.

#[cfg(test)]
mod tests;

use rand::Rng;
use rand_distr::{Distribution, Zipf};

use crate::experiment::{Experiment, Load};
use crate::rng::{mix_bits, seeded_rng, RngStream, SeededRng};
use crate::{micros_from_seconds, Micros, MICROS_PER_SECOND};

/// The share of its time after which an impatient client leaves.
const IMPATIENT_SHARE: f64 = 0.1;
/// The smallest share of its time that any other client waits.
const LEAST_PATIENT_SHARE: f64 = 0.5;
/// By how much that share varies.
const PATIENT_SHARE_RANGE: f64 = 0.3;

/// A client's first request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Arrival {
    /// When, from the beginning of the warming up.
    pub at: Micros,
    /// The balancer that it comes to.
    pub balancer: u32,
    /// The key's number.
    pub key: u64,
    /// Whether it writes.
    pub write: bool,
    /// The share of the time that a request may take which its client waits.
    pub patience: f64,
}

/// The name of a key on the wire.
pub fn key_name(key: u64) -> String {
    format!("{:016x}", mix_bits(key))
}

/// Draws all first requests of a run, in order. The same seed gives the same ones.
pub fn draw_arrivals(experiment: &Experiment) -> Vec<Arrival> {
    let mut workload = Workload::new(experiment);
    let mut arrivals = Vec::new();
    while let Some(at) = workload.next_candidate() {
        workload.drift_keys_until(at);
        if workload.is_accepted() {
            arrivals.push(workload.draw_arrival(at));
        }
    }
    arrivals
}

/// Draws arrivals one after the other: candidates at the greatest rate, of which the share due at each time is accepted.
struct Workload<'a> {
    experiment: &'a Experiment,
    rng: SeededRng,
    zipf: Option<Zipf<f64>>,
    /// Keys by popularity, the most popular first.
    keys: Vec<u64>,
    /// Seconds in which keys have changed places.
    drifted_seconds: u64,
    /// Candidates a second.
    candidate_rate: f64,
    /// The time of the last candidate, in seconds from the beginning of the warming up.
    candidate_at_s: f64,
    end: Micros,
}

impl<'a> Workload<'a> {
    fn new(experiment: &'a Experiment) -> Workload<'a> {
        let load = &experiment.load;
        let greatest_burst = load.burst.iter().map(|burst| burst.times).fold(1.0, f64::max);
        Workload {
            experiment,
            rng: seeded_rng(experiment.seed, RngStream::Load),
            zipf: Zipf::new(load.keys as f64, load.zipf).ok(),
            keys: (0..load.keys).collect(),
            drifted_seconds: 0,
            candidate_rate: load.rate * load.ramp.max(1.0) * greatest_burst,
            candidate_at_s: 0.0,
            end: micros_from_seconds(load.warm) + micros_from_seconds(experiment.seconds),
        }
    }

    /// The next candidate's time; none after the load's end.
    fn next_candidate(&mut self) -> Option<Micros> {
        self.candidate_at_s += -(1.0 - self.rng.random::<f64>()).ln() / self.candidate_rate;
        Some(micros_from_seconds(self.candidate_at_s)).filter(|at| *at < self.end)
    }

    /// Once a second a share of the keys change places with others.
    fn drift_keys_until(&mut self, now: Micros) {
        while self.drifted_seconds < now / MICROS_PER_SECOND {
            let amount = (self.keys.len() as f64 * self.experiment.load.drift) as usize;
            for _ in 0..amount {
                let first = self.rng.random_range(0..self.keys.len());
                let second = self.rng.random_range(0..self.keys.len());
                self.keys.swap(first, second);
            }
            self.drifted_seconds += 1;
        }
    }

    /// Seconds since the experiment's beginning; negative while the caches fill.
    fn experiment_time_s(&self) -> f64 {
        self.candidate_at_s - self.experiment.load.warm
    }

    fn is_accepted(&mut self) -> bool {
        let rate = rate(&self.experiment.load, self.experiment_time_s(), self.experiment.seconds);
        self.rng.random::<f64>() * self.candidate_rate < rate
    }

    fn draw_arrival(&mut self, at: Micros) -> Arrival {
        let key = self.draw_key();
        let write = self.rng.random::<f64>() < self.experiment.load.writes;
        let patience = LEAST_PATIENT_SHARE + PATIENT_SHARE_RANGE * self.rng.random::<f64>();
        let is_impatient = self.rng.random::<f64>() < self.experiment.clients.impatient;
        Arrival {
            at,
            balancer: draw_balancer(self.experiment, &mut self.rng),
            key,
            write,
            patience: if is_impatient { IMPATIENT_SHARE } else { patience },
        }
    }

    fn draw_key(&mut self) -> u64 {
        let rank = match &self.zipf {
            Some(zipf) => zipf.sample(&mut self.rng) as usize,
            None => 1,
        };
        let key = self.keys[rank.clamp(1, self.keys.len()) - 1];
        let hot_draw: f64 = self.rng.random();
        self.hot_key(hot_draw).unwrap_or(key)
    }

    /// The hot key that this draw from 0 to 1 falls on, of those that are hot now.
    fn hot_key(&self, draw: f64) -> Option<u64> {
        let load = &self.experiment.load;
        let now_s = self.experiment_time_s();
        let mut left = draw;
        for (place, hot) in load.hot.iter().enumerate().filter(|(_, hot)| now_s >= hot.at) {
            left -= hot.share;
            if left < 0.0 {
                // Keys beyond the common ones: nobody asked for them before.
                return Some(load.keys + place as u64);
            }
        }
        None
    }
}

/// Requests a second at this time of the experiment.
fn rate(load: &Load, now_s: f64, seconds: f64) -> f64 {
    let ramp = 1.0 + (load.ramp - 1.0) * (now_s / seconds).clamp(0.0, 1.0);
    let bursts = load.burst.iter().filter(|burst| (burst.at..burst.at + burst.lasts).contains(&now_s));
    load.rate * ramp * bursts.map(|burst| burst.times).product::<f64>()
}

/// The balancer of a first request; the first ones are those with most of an uneven load.
fn draw_balancer(experiment: &Experiment, rng: &mut SeededRng) -> u32 {
    let count = experiment.fleet.balancers;
    let Some(uneven) = experiment.load.uneven else { return rng.random_range(0..count) as u32 };
    let busy = ((count as f64 * uneven.at).round() as usize).clamp(1, count);
    if rng.random::<f64>() < uneven.share || busy == count {
        rng.random_range(0..busy) as u32
    } else {
        rng.random_range(busy..count) as u32
    }
}
