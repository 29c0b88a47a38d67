//! How many of this balancer's own attempts may be in flight at one server: the paper's internal control
//! (section 2).
//!
//! Inputs are the latencies of the attempts there and which of them timed out. Fast responses raise the limit
//! while it is in use, and timeouts lower it; it needs no information from the server or from other
//! balancers. Latencies are in microseconds; the limit counts attempts and may be a fraction.

use crate::time::Micros;

/// Limit for a server of which nothing is known: one, and this divided among all balancers.
const INITIAL_LIMIT_OF_ALL: f64 = 6.0;
/// Smallest limit of all balancers together.
const MINIMUM_LIMIT_OF_ALL: f64 = 3.0;
/// What a fast response adds to a limit in use until the first timeout.
const INITIAL_LIMIT_INCREASE: f64 = 1.0;
/// What it adds from then on.
const LIMIT_INCREASE: f64 = 0.12;
/// The limit counts as in use if this many more attempts would exceed it.
const IN_USE_MARGIN: f64 = 2.0;
/// What a timeout leaves of the limit.
const LIMIT_DECREASE_FACTOR: f64 = 0.8;
/// Share of the recent peak limit that timeouts leave at a server that drops abandoned work.
const RETAINED_PEAK_SHARE: f64 = 0.9;
/// Share that the recent peak loses with each response where the minimum limit is one; more in proportion
/// where it is less, as a balancer sees fewer of the server's responses then.
const PEAK_DECAY_SHARE: f64 = 0.001;
/// Share of the limit that reads may use while writes take all that they can.
const READ_SHARE: f64 = 0.3;

/// Latency up to which a response is fast, as a ratio to the baseline.
const FAST_RESPONSE_RATIO: f64 = 1.6;
/// Latency from which a timeout says something about the server, as a ratio to the baseline.
const MEANINGFUL_TIMEOUT_RATIO: f64 = 1.5;
/// Time that must be left to send at all, as a ratio to the baseline.
const MIN_TIME_LEFT_RATIO: f64 = 0.3;
/// Mean latency from which a sample is an outlier that hardly moves the baseline, as a ratio to the baseline.
const OUTLIER_RATIO: f64 = 2.0;

/// Responses whose mean moves the baseline.
const SAMPLES_PER_MEAN: f64 = 4.0;
/// Weight of such a mean in the baseline where it is lower.
const BASELINE_DECREASE_WEIGHT: f64 = 0.1;
/// Weight of such a mean in the baseline where it is higher.
const BASELINE_INCREASE_WEIGHT: f64 = 0.03;
/// Microseconds in which outliers, as of a queue, double the baseline: a server that is slower for good.
const BASELINE_DOUBLING_MICROS: f64 = 600e6;
/// Weight of a latency in the recent latency.
const RECENT_LATENCY_WEIGHT: f64 = 0.15;
/// Share of the limit in flight from which latencies may hold a queue's delay.
const CROWDED_SHARE: f64 = 0.5;
/// Lower bound on the recent latency in estimates, in microseconds: it is zero while unknown.
const MIN_RECENT_LATENCY_MICROS: f64 = 1e5;

/// The mean of the latest latencies, until there are enough of them to move the baseline.
#[derive(Debug, Default)]
struct LatencySample {
    /// Sum of the latencies in microseconds.
    sum: f64,
    /// Their number.
    count: f64,
    /// Whether one of them was taken while the server was crowded.
    is_crowded: bool,
}

/// The limit on one server's attempts in flight, and the observations that move it.
#[derive(Debug, Default)]
pub(super) struct ConcurrencyLimit {
    /// Reads that the server works on for this balancer.
    reads_in_flight: f64,
    /// Writes that the server works on for this balancer.
    writes_in_flight: f64,
    /// Until when the server is assumed to work on each attempt that was abandoned.
    abandoned_until: Vec<Micros>,
    /// Attempts that may be in flight. One always may; a limit below one is kept by `paced_until`.
    pub(super) limit: f64,
    /// The limit never falls below this.
    minimum_limit: f64,
    /// A limit below one is kept by a pause between two sends: no read goes before this time, and a write
    /// only when nothing else is in flight.
    paced_until: Micros,
    /// The highest limit in use, decaying with the responses since.
    recent_peak_limit: f64,
    /// When the limit was last cut; `Micros::ZERO` is never.
    last_decrease: Micros,
    /// Latency of the server when it is not crowded, in microseconds; zero while unknown.
    pub(super) baseline_latency: f64,
    /// Mean latency of late, in microseconds; zero while unknown.
    pub(super) recent_latency: f64,
    /// The latencies since the baseline last moved.
    sample: LatencySample,
    /// When the baseline last moved.
    baseline_updated: Micros,
}

impl ConcurrencyLimit {
    /// The limit for a server of which nothing is known, at one of so many balancers.
    pub(super) fn new(balancers: u32) -> ConcurrencyLimit {
        let balancers = f64::from(balancers.max(1));
        ConcurrencyLimit {
            limit: 1.0 + INITIAL_LIMIT_OF_ALL / balancers,
            minimum_limit: (MINIMUM_LIMIT_OF_ALL / balancers).min(1.0),
            ..ConcurrencyLimit::default()
        }
    }

    /// Attempts that the server works on for this balancer, abandoned ones with them.
    pub(super) fn in_flight(&self) -> f64 {
        self.reads_in_flight + self.writes_in_flight + self.abandoned_until.len() as f64
    }

    /// Attempts that the server can be expected to complete within this time.
    pub(super) fn completions_within(&self, time: Micros) -> usize {
        (self.limit * time.as_f64() / self.recent_latency.max(MIN_RECENT_LATENCY_MICROS)) as usize
    }

    /// Whether the pause between two sends that keeps a limit below one still lasts.
    pub(super) fn is_paced(&self, now: Micros) -> bool {
        now < self.paced_until
    }

    /// Whether one more attempt may go out now. Reads may always use their share of the limit.
    pub(super) fn has_capacity(&mut self, now: Micros, is_write: bool) -> bool {
        self.abandoned_until.retain(|until| *until > now);
        let is_paused = !is_write && self.is_paced(now);
        let is_under_limit = self.in_flight() + 1.0 <= self.limit.max(1.0);
        let is_under_read_share = !is_write && self.reads_in_flight + 1.0 <= READ_SHARE * self.limit;
        !is_paused && is_under_limit || is_under_read_share
    }

    /// An attempt goes out.
    pub(super) fn reserve(&mut self, is_write: bool) {
        *self.in_flight_of(is_write) += 1.0;
    }

    /// An attempt ended. `abandoned_for` is for how much longer the server is taken to work on it all the
    /// same.
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

    /// A write that is out counts as a read from now on.
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

    /// Whether a timeout after this time says something about the server: an earlier one may be due to a
    /// client that was about to leave.
    pub(super) fn is_timeout_meaningful(&self, latency: Micros) -> bool {
        latency.as_f64() >= MEANINGFUL_TIMEOUT_RATIO * self.baseline_latency
    }

    /// Whether a response within this time is likely enough to send the request at all.
    pub(super) fn is_worth_sending_within(&self, time_left: Micros) -> bool {
        time_left.as_f64() >= MIN_TIME_LEFT_RATIO * self.baseline_latency
    }

    /// The server responded after this time. A fast response raises a limit that is in use.
    pub(super) fn on_response(&mut self, now: Micros, latency: Micros) {
        self.record_latency(now, latency);
        let is_fast =
            self.baseline_latency == 0.0 || latency.as_f64() < FAST_RESPONSE_RATIO * self.baseline_latency;
        let is_in_use = self.in_flight() + IN_USE_MARGIN > self.limit;
        if is_fast && is_in_use {
            let was_never_cut = self.last_decrease == Micros::ZERO;
            self.limit += if was_never_cut { INITIAL_LIMIT_INCREASE } else { LIMIT_INCREASE };
            self.recent_peak_limit = self.recent_peak_limit.max(self.limit);
        }
    }

    /// The server has not responded within this time. A timeout of an attempt that went out after the last
    /// decrease cuts the limit, less so at a server that drops abandoned work.
    pub(super) fn on_timeout(&mut self, now: Micros, latency: Micros, drops_abandoned: bool) {
        self.record_latency(now, latency);
        let sent = now - latency;
        if sent < self.last_decrease {
            return;
        }
        let kept = if drops_abandoned { self.recent_peak_limit * RETAINED_PEAK_SHARE } else { 0.0 };
        self.limit = (self.limit * LIMIT_DECREASE_FACTOR).max(kept).max(self.minimum_limit);
        self.last_decrease = now;
    }

    /// Adds a latency to the means, be it that of a response or of a timeout.
    fn record_latency(&mut self, now: Micros, latency: Micros) {
        let latency = latency.as_f64();
        let weight = if self.recent_latency == 0.0 { 1.0 } else { RECENT_LATENCY_WEIGHT };
        self.recent_latency += (latency - self.recent_latency) * weight;

        self.sample.sum += latency;
        self.sample.count += 1.0;
        self.sample.is_crowded |= self.in_flight() > CROWDED_SHARE * self.limit;
        self.recent_peak_limit *= (1.0 - PEAK_DECAY_SHARE / self.minimum_limit).max(0.0);
        if self.sample.count >= SAMPLES_PER_MEAN {
            self.update_baseline(now);
        }
    }

    /// Moves the baseline towards the sample's mean. It is learnt upwards only from samples without a queue,
    /// so that a queue cannot become the baseline by growing slowly.
    fn update_baseline(&mut self, now: Micros) {
        let mean = self.sample.sum / self.sample.count;
        let difference = mean - self.baseline_latency;
        let is_outlier = mean >= OUTLIER_RATIO * self.baseline_latency;
        self.baseline_latency += if self.baseline_latency == 0.0 {
            mean
        } else if difference < 0.0 {
            difference * BASELINE_DECREASE_WEIGHT
        } else if !is_outlier && !self.sample.is_crowded {
            difference * BASELINE_INCREASE_WEIGHT
        } else {
            self.baseline_latency * (now - self.baseline_updated).as_f64() / BASELINE_DOUBLING_MICROS
        };
        self.sample = LatencySample::default();
        self.baseline_updated = now;
    }
}
