//! Limit on this balancer's own attempts in flight at one server: the paper's internal control (section 2).
//!
//! Inputs are the latencies and timeouts of the attempts at the server. Fast responses raise the limit while
//! it is in use, and timeouts lower it; no information from the server or from other balancers is needed.
//! Latencies are in microseconds; the limit is a number of attempts and may be fractional.

use crate::time::Micros;

/// Initial limit of all balancers together, in addition to one attempt for each balancer.
const INITIAL_FLEET_LIMIT: f64 = 6.0;
/// Lower bound on the limit of all balancers together.
const MIN_FLEET_LIMIT: f64 = 3.0;
/// Increase of a limit in use per fast response, until the first timeout.
const INITIAL_LIMIT_INCREASE: f64 = 1.0;
/// Increase of a limit in use per fast response, after the first timeout.
const LIMIT_INCREASE: f64 = 0.12;
/// The limit counts as in use if this many more attempts would exceed it.
const IN_USE_MARGIN: f64 = 2.0;
/// Factor by which a timeout reduces the limit.
const LIMIT_DECREASE_FACTOR: f64 = 0.8;
/// Lower bound on the limit after a timeout at a server that drops abandoned work, as a share of the recent
/// peak limit.
const RETAINED_PEAK_SHARE: f64 = 0.9;
/// Share by which each response reduces the recent peak limit if the minimum limit is one. A lower minimum
/// limit increases the share in proportion, because in a larger fleet a balancer sees fewer of the server's
/// responses.
const PEAK_DECAY_SHARE: f64 = 0.001;
/// Share of the limit that remains available to reads while writes take all that they can.
const READ_SHARE: f64 = 0.3;

/// Latency up to which a response is fast, as a ratio to the baseline.
const FAST_RESPONSE_RATIO: f64 = 1.6;
/// Latency from which a timeout is evidence about the server, as a ratio to the baseline.
const CONCLUSIVE_TIMEOUT_RATIO: f64 = 1.5;
/// Minimum remaining time for a request to be sent at all, as a ratio to the baseline.
const MIN_TIME_LEFT_RATIO: f64 = 0.3;
/// Mean latency from which a sample is an outlier that hardly changes the baseline, as a ratio to the
/// baseline.
const OUTLIER_RATIO: f64 = 2.0;

/// Number of latencies in a sample; the mean of a complete sample updates the baseline.
const SAMPLES_PER_MEAN: f64 = 4.0;
/// Weight of a sample mean in the baseline, if the mean is below it.
const BASELINE_DECREASE_WEIGHT: f64 = 0.1;
/// Weight of a sample mean in the baseline, if the mean is above it.
const BASELINE_INCREASE_WEIGHT: f64 = 0.03;
/// Time in which outliers, such as the latencies of a queue, double the baseline, in microseconds. This
/// covers a server that has become permanently slower.
const BASELINE_DOUBLING_MICROS: f64 = 600e6;
/// Weight of one latency in the recent latency.
const RECENT_LATENCY_WEIGHT: f64 = 0.15;
/// Share of the limit in flight from which latencies may contain queueing delay.
const QUEUEING_SHARE: f64 = 0.5;
/// Lower bound on the recent latency in estimates, in microseconds, since it is zero while unknown.
const MIN_RECENT_LATENCY_MICROS: f64 = 1e5;

/// The latest latencies, collected until there are enough to update the baseline.
#[derive(Debug, Default)]
struct LatencySample {
    /// Sum of the latencies in microseconds.
    sum: f64,
    /// Number of latencies.
    count: f64,
    /// Whether a latency was measured while the server may have had a queue.
    may_include_queueing: bool,
}

/// The limit on the attempts in flight at one server, and the observations that change it.
#[derive(Debug, Default)]
pub(super) struct ConcurrencyLimit {
    /// This balancer's reads in flight.
    reads_in_flight: f64,
    /// This balancer's writes in flight.
    writes_in_flight: f64,
    /// Time until which the server is assumed to work on each abandoned attempt.
    abandoned_until: Vec<Micros>,
    /// Limit on attempts in flight. One attempt is always allowed; `paced_until` enforces a limit below one.
    pub(super) limit: f64,
    /// Lower bound on the limit.
    minimum_limit: f64,
    /// End of the pause between two sends that enforces a limit below one. Until then, no read is sent, and a
    /// write is sent only if nothing else is in flight.
    paced_until: Micros,
    /// The highest limit in use, decaying with each response since.
    recent_peak_limit: f64,
    /// Time of the last decrease of the limit; `Micros::ZERO` before the first.
    last_decrease: Micros,
    /// Latency of the server without queueing, in microseconds; zero while unknown.
    pub(super) baseline_latency: f64,
    /// Moving average of the latency, in microseconds; zero while unknown.
    pub(super) recent_latency: f64,
    /// The latencies since the last update of the baseline.
    sample: LatencySample,
    /// Time of the last update of the baseline.
    baseline_updated: Micros,
}

impl ConcurrencyLimit {
    /// Creates the limit for a server without observations, at one of this number of balancers.
    pub(super) fn new(balancers: u32) -> ConcurrencyLimit {
        let balancers = f64::from(balancers.max(1));
        ConcurrencyLimit {
            limit: 1.0 + INITIAL_FLEET_LIMIT / balancers,
            minimum_limit: (MIN_FLEET_LIMIT / balancers).min(1.0),
            ..ConcurrencyLimit::default()
        }
    }

    /// This balancer's attempts in flight, including abandoned ones that the server may still work on.
    pub(super) fn in_flight(&self) -> f64 {
        self.reads_in_flight + self.writes_in_flight + self.abandoned_until.len() as f64
    }

    /// Number of attempts that the server can be expected to complete within this time.
    pub(super) fn completions_within(&self, time: Micros) -> usize {
        (self.limit * time.as_f64() / self.recent_latency.max(MIN_RECENT_LATENCY_MICROS)) as usize
    }

    /// Whether the pause that enforces a limit below one is in effect.
    pub(super) fn is_paced(&self, now: Micros) -> bool {
        now < self.paced_until
    }

    /// Whether one more attempt may be sent now. Reads may always use their share of the limit.
    pub(super) fn has_capacity(&mut self, now: Micros, is_write: bool) -> bool {
        self.abandoned_until.retain(|until| *until > now);
        let is_paused = !is_write && self.is_paced(now);
        let is_under_limit = self.in_flight() + 1.0 <= self.limit.max(1.0);
        let is_under_read_share = !is_write && self.reads_in_flight + 1.0 <= READ_SHARE * self.limit;
        !is_paused && is_under_limit || is_under_read_share
    }

    /// Counts an attempt as in flight.
    pub(super) fn reserve(&mut self, is_write: bool) {
        *self.in_flight_of(is_write) += 1.0;
    }

    /// Counts an attempt as completed. `abandoned_for` is the time for which the server is assumed to
    /// continue an abandoned attempt.
    pub(super) fn release(&mut self, now: Micros, is_write: bool, abandoned_for: Option<Micros>) {
        let in_flight = self.in_flight_of(is_write);
        *in_flight = (*in_flight - 1.0).max(0.0);
        if self.limit < 1.0 {
            let pause = self.recent_latency * (1.0 / self.limit - 1.0);
            self.paced_until = now + Micros(pause as u64);
        }
        if let Some(abandoned_for) = abandoned_for {
            self.abandoned_until.push(now + abandoned_for);
        }
    }

    /// Counts one write in flight as a read from now on.
    pub(super) fn count_write_as_read(&mut self) {
        self.writes_in_flight = (self.writes_in_flight - 1.0).max(0.0);
        self.reads_in_flight += 1.0;
    }

    /// The count of the reads or of the writes in flight.
    fn in_flight_of(&mut self, is_write: bool) -> &mut f64 {
        if is_write {
            &mut self.writes_in_flight
        } else {
            &mut self.reads_in_flight
        }
    }

    /// Whether a timeout after this time is evidence about the server. An earlier timeout may be due to a
    /// client whose deadline was close.
    pub(super) fn is_timeout_conclusive(&self, latency: Micros) -> bool {
        latency.as_f64() >= CONCLUSIVE_TIMEOUT_RATIO * self.baseline_latency
    }

    /// Whether a response within this time is likely enough to send the request at all.
    pub(super) fn is_worth_sending_within(&self, time_left: Micros) -> bool {
        time_left.as_f64() >= MIN_TIME_LEFT_RATIO * self.baseline_latency
    }

    /// Records a response after this time. A fast response raises a limit that is in use.
    pub(super) fn on_response(&mut self, now: Micros, latency: Micros) {
        self.record_latency(now, latency);
        let is_fast =
            self.baseline_latency == 0.0 || latency.as_f64() < FAST_RESPONSE_RATIO * self.baseline_latency;
        let is_in_use = self.in_flight() + IN_USE_MARGIN > self.limit;
        if is_fast && is_in_use {
            let was_never_decreased = self.last_decrease == Micros::ZERO;
            self.limit += if was_never_decreased { INITIAL_LIMIT_INCREASE } else { LIMIT_INCREASE };
            self.recent_peak_limit = self.recent_peak_limit.max(self.limit);
        }
    }

    /// Records a timeout after this time. The timeout of an attempt that was sent after the last decrease
    /// reduces the limit, less so at a server that drops abandoned work.
    pub(super) fn on_timeout(&mut self, now: Micros, latency: Micros, drops_abandoned: bool) {
        self.record_latency(now, latency);
        let sent = now - latency;
        if sent < self.last_decrease {
            return;
        }
        let retained_limit = if drops_abandoned { self.recent_peak_limit * RETAINED_PEAK_SHARE } else { 0.0 };
        self.limit = (self.limit * LIMIT_DECREASE_FACTOR).max(retained_limit).max(self.minimum_limit);
        self.last_decrease = now;
    }

    /// Adds the latency of a response or of a timeout to the averages.
    fn record_latency(&mut self, now: Micros, latency: Micros) {
        let latency = latency.as_f64();
        let weight = if self.recent_latency == 0.0 { 1.0 } else { RECENT_LATENCY_WEIGHT };
        self.recent_latency += (latency - self.recent_latency) * weight;

        self.sample.sum += latency;
        self.sample.count += 1.0;
        self.sample.may_include_queueing |= self.in_flight() > QUEUEING_SHARE * self.limit;
        self.recent_peak_limit *= (1.0 - PEAK_DECAY_SHARE / self.minimum_limit).max(0.0);
        if self.sample.count >= SAMPLES_PER_MEAN {
            self.update_baseline(now);
        }
    }

    /// Updates the baseline with the mean of the sample. Outliers and samples that may include queueing delay
    /// raise it only slowly, so that a growing queue does not become the baseline.
    fn update_baseline(&mut self, now: Micros) {
        let mean = self.sample.sum / self.sample.count;
        let difference = mean - self.baseline_latency;
        let is_outlier = mean >= OUTLIER_RATIO * self.baseline_latency;
        self.baseline_latency += if self.baseline_latency == 0.0 {
            mean
        } else if difference < 0.0 {
            difference * BASELINE_DECREASE_WEIGHT
        } else if !is_outlier && !self.sample.may_include_queueing {
            difference * BASELINE_INCREASE_WEIGHT
        } else {
            self.baseline_latency * (now - self.baseline_updated).as_f64() / BASELINE_DOUBLING_MICROS
        };
        self.sample = LatencySample::default();
        self.baseline_updated = now;
    }
}
