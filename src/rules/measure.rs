//! Running measures: a latency with its deviation, and a rate of events.

use crate::interface::*;

/// Weight of a new sample in running means: about the last eight samples count.
pub(super) const BLEND: f64 = 0.125;
/// Samples under which nothing is known of a latency: the first quick ones would cut all others short.
pub(super) const FEW_SAMPLES: u32 = 24;
/// Deviations above the mean latency at which an attempt is given up, as TCP has it.
pub(super) const TIMEOUT_DEVIATIONS: f64 = 4.0;
/// Span in microseconds of the own rate of answers: some requests even at a quiet balancer.
pub(super) const RATE_SPAN: f64 = 8e6;

/// A running mean of latencies with its deviation.
#[derive(Debug, Default)]
pub(super) struct Latency {
    pub(super) mean: f64,
    pub(super) deviation: f64,
    pub(super) samples: u32,
}

impl Latency {
    pub(super) fn add(&mut self, sample: Micros) {
        self.samples = self.samples.saturating_add(1);
        let sample = sample.0 as f64;
        if self.mean == 0.0 {
            (self.mean, self.deviation) = (sample, sample / 2.0);
        }
        self.deviation += ((sample - self.mean).abs() - self.deviation) * BLEND;
        self.mean += (sample - self.mean) * BLEND;
    }

    pub(super) fn bound(&self, unknown: Micros) -> Micros {
        if self.samples < FEW_SAMPLES {
            return unknown;
        }
        Micros((self.mean + TIMEOUT_DEVIATIONS * self.deviation) as u64)
    }
}

/// Events per second over about the last `RATE_SPAN`.
#[derive(Debug, Default)]
pub(super) struct Rate {
    pub(super) count: f64,
    pub(super) first: Micros,
    pub(super) last: Micros,
}

impl Rate {
    pub(super) fn per_s(&mut self, now: Micros) -> f64 {
        self.count *= (-(now.minus(self.last).0 as f64) / RATE_SPAN).exp();
        self.last = now;
        let age = (now.minus(self.first).0 as f64).max(1e6);
        self.count / (RATE_SPAN * (1.0 - (-age / RATE_SPAN).exp())) * 1e6
    }

    pub(super) fn add(&mut self, now: Micros) {
        if self.first.0 == 0 {
            self.first = now;
        }
        self.per_s(now);
        self.count += 1.0;
    }
}
