//! A rate of events, as a mean that forgets exponentially: how often cache servers answer this balancer.

use crate::time::Micros;

/// Time constant of the mean, in microseconds: long enough for some requests even at a balancer with few.
const TIME_CONSTANT_MICROS: f64 = 8e6;
/// Shortest age of the estimator that a rate is computed over, in microseconds.
const MIN_AGE_MICROS: f64 = 1e6;

/// Counts events with exponentially decaying weight.
#[derive(Debug, Default)]
pub(super) struct RateEstimator {
    /// Events so far, each decayed by its age.
    decayed_count: f64,
    /// When the first event came; zero is not yet.
    first: Micros,
    /// When the count was last decayed.
    last_decay: Micros,
}

impl RateEstimator {
    /// Events a second. While the estimator is young, the rate is corrected for the time it has not seen.
    pub(super) fn per_second(&mut self, now: Micros) -> f64 {
        self.decay(now);
        let age = (now - self.first).as_f64().max(MIN_AGE_MICROS);
        let counted_share = 1.0 - (-age / TIME_CONSTANT_MICROS).exp();
        self.decayed_count / (TIME_CONSTANT_MICROS * counted_share) * Micros::SECOND.as_f64()
    }

    /// One more event.
    pub(super) fn on_event(&mut self, now: Micros) {
        if self.first == Micros::ZERO {
            self.first = now;
        }
        self.decay(now);
        self.decayed_count += 1.0;
    }

    fn decay(&mut self, now: Micros) {
        let elapsed = (now - self.last_decay).as_f64();
        self.decayed_count *= (-elapsed / TIME_CONSTANT_MICROS).exp();
        self.last_decay = now;
    }
}
