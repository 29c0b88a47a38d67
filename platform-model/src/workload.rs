//! The workload, drawn in advance: the arrival time, balancer and key of each request. Arrivals do not depend on answers.

#[cfg(test)]
mod tests;

use rand::Rng;
use rand_distr::{Distribution, Zipf};

use crate::experiment::{Experiment, Load};
use crate::rng::{mix_bits, seeded_rng, RngStream, SeededRng};
use crate::{micros_from_seconds, Micros, MICROS_PER_SECOND};

/// The share of a request's deadline after which an impatient client disconnects.
const IMPATIENT_WAIT_SHARE: f64 = 0.1;
/// The smallest share of a request's deadline that any other client waits.
const MIN_PATIENT_WAIT_SHARE: f64 = 0.5;
/// The range by which the share for other clients varies above the minimum.
const PATIENT_WAIT_SHARE_RANGE: f64 = 0.3;

/// A client's first request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Arrival {
    /// Arrival time, from the beginning of the warm-up.
    pub at: Micros,
    /// The number of the balancer that receives the request.
    pub balancer: u32,
    /// The key's number.
    pub key: u64,
    /// Whether the request is a write.
    pub write: bool,
    /// The share of the request's deadline for which the client waits.
    pub wait_share: f64,
}

/// The name of a key on the wire.
pub fn key_name(key: u64) -> String {
    format!("{:016x}", mix_bits(key))
}

/// Draws all first requests of a run, in order. The same seed gives the same requests.
pub fn draw_arrivals(experiment: &Experiment) -> Vec<Arrival> {
    let mut workload = Workload::new(experiment);
    let mut arrivals = Vec::new();
    while let Some(at) = workload.next_candidate() {
        workload.apply_drift_until(at);
        if workload.draw_acceptance() {
            arrivals.push(workload.draw_arrival(at));
        }
    }
    arrivals
}

/// Draws arrivals one after the other by thinning: candidates arrive at the highest rate, and each is accepted with
/// a probability equal to the ratio of the current rate to the highest.
struct Workload<'a> {
    experiment: &'a Experiment,
    rng: SeededRng,
    zipf: Option<Zipf<f64>>,
    /// Keys by popularity, the most popular first.
    keys: Vec<u64>,
    /// Number of seconds for which the drift of keys has been applied.
    drifted_seconds: u64,
    /// Candidates a second.
    candidate_rate: f64,
    /// Time of the last candidate, in seconds from the beginning of the warm-up.
    candidate_at_s: f64,
    end: Micros,
}

impl<'a> Workload<'a> {
    fn new(experiment: &'a Experiment) -> Workload<'a> {
        let load = &experiment.load;
        let max_burst_factor = load.burst.iter().map(|burst| burst.rate_factor).fold(1.0, f64::max);
        Workload {
            experiment,
            rng: seeded_rng(experiment.seed, RngStream::Load),
            zipf: Zipf::new(load.keys as f64, load.zipf).ok(),
            keys: (0..load.keys).collect(),
            drifted_seconds: 0,
            candidate_rate: load.rate * load.ramp.max(1.0) * max_burst_factor,
            candidate_at_s: 0.0,
            end: micros_from_seconds(load.warm_up_s) + micros_from_seconds(experiment.seconds),
        }
    }

    /// The next candidate's time; `None` after the end of the load.
    fn next_candidate(&mut self) -> Option<Micros> {
        self.candidate_at_s += -(1.0 - self.rng.random::<f64>()).ln() / self.candidate_rate;
        Some(micros_from_seconds(self.candidate_at_s)).filter(|at| *at < self.end)
    }

    /// Swaps the popularity ranks of a share of the keys, once for each second.
    fn apply_drift_until(&mut self, now: Micros) {
        while self.drifted_seconds < now / MICROS_PER_SECOND {
            let swap_count = (self.keys.len() as f64 * self.experiment.load.drift) as usize;
            for _ in 0..swap_count {
                let first = self.rng.random_range(0..self.keys.len());
                let second = self.rng.random_range(0..self.keys.len());
                self.keys.swap(first, second);
            }
            self.drifted_seconds += 1;
        }
    }

    /// Seconds since the experiment's beginning; negative while the caches fill.
    fn experiment_time_s(&self) -> f64 {
        self.candidate_at_s - self.experiment.load.warm_up_s
    }

    fn draw_acceptance(&mut self) -> bool {
        let rate = rate_at(&self.experiment.load, self.experiment_time_s(), self.experiment.seconds);
        self.rng.random::<f64>() * self.candidate_rate < rate
    }

    fn draw_arrival(&mut self, at: Micros) -> Arrival {
        let key = self.draw_key();
        let write = self.rng.random::<f64>() < self.experiment.load.writes;
        let wait_share = MIN_PATIENT_WAIT_SHARE + PATIENT_WAIT_SHARE_RANGE * self.rng.random::<f64>();
        let is_impatient = self.rng.random::<f64>() < self.experiment.clients.impatient_share;
        Arrival {
            at,
            balancer: draw_balancer(self.experiment, &mut self.rng),
            key,
            write,
            wait_share: if is_impatient { IMPATIENT_WAIT_SHARE } else { wait_share },
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

    /// The currently hot key that a draw from 0 to 1 selects, if any.
    fn hot_key(&self, draw: f64) -> Option<u64> {
        let load = &self.experiment.load;
        let now_s = self.experiment_time_s();
        let mut remaining = draw;
        for (index, hot) in load.hot.iter().enumerate().filter(|(_, hot)| now_s >= hot.at) {
            remaining -= hot.share;
            if remaining < 0.0 {
                // Hot keys are numbered after the common ones, so that they were never requested before.
                return Some(load.keys + index as u64);
            }
        }
        None
    }
}

/// Requests a second at this time of the experiment.
fn rate_at(load: &Load, now_s: f64, seconds: f64) -> f64 {
    let ramp = 1.0 + (load.ramp - 1.0) * (now_s / seconds).clamp(0.0, 1.0);
    let bursts = load.burst.iter().filter(|burst| (burst.at..burst.at + burst.duration_s).contains(&now_s));
    load.rate * ramp * bursts.map(|burst| burst.rate_factor).product::<f64>()
}

/// Draws the balancer of a first request; those with the lowest numbers receive the given share of an uneven load.
fn draw_balancer(experiment: &Experiment, rng: &mut SeededRng) -> u32 {
    let count = experiment.fleet.balancers;
    let Some(uneven) = experiment.load.uneven else { return rng.random_range(0..count) as u32 };
    let busy_balancers = ((count as f64 * uneven.at).round() as usize).clamp(1, count);
    if rng.random::<f64>() < uneven.share || busy_balancers == count {
        rng.random_range(0..busy_balancers) as u32
    } else {
        rng.random_range(busy_balancers..count) as u32
    }
}
