//! Estimates an event rate by an exponentially weighted count. The events are cache servers' responses to
//! this balancer.

use crate::time::Micros;

/// Time constant of the decay, in microseconds: long enough to cover several requests even at a balancer with
/// little traffic.
const TIME_CONSTANT_MICROS: f64 = 8e6;
/// Lower bound on the age of the estimator in the computation of a rate, in microseconds.
const MIN_AGE_MICROS: f64 = 1e6;

/// Counts events with exponentially decaying weight.
#[derive(Debug, Default)]
pub(super) struct RateEstimator {
    /// Events, each decayed by its age.
    decayed_count: f64,
    /// Time of the first event; zero before it.
    first_event: Micros,
    /// Time to which the count is decayed.
    last_decay: Micros,
}

impl RateEstimator {
    /// Events per second, corrected for the short observation time of a young estimator.
    pub(super) fn per_second(&mut self, now: Micros) -> f64 {
        self.decay(now);
        let age = (now - self.first_event).as_f64().max(MIN_AGE_MICROS);
        let observed_share = 1.0 - (-age / TIME_CONSTANT_MICROS).exp();
        self.decayed_count / (TIME_CONSTANT_MICROS * observed_share) * Micros::SECOND.as_f64()
    }

    /// Counts one event.
    pub(super) fn on_event(&mut self, now: Micros) {
        if self.first_event == Micros::ZERO {
            self.first_event = now;
        }
        self.decay(now);
        self.decayed_count += 1.0;
    }

    /// Decays the count by the time since it was last decayed.
    fn decay(&mut self, now: Micros) {
        let elapsed = (now - self.last_decay).as_f64();
        self.decayed_count *= (-elapsed / TIME_CONSTANT_MICROS).exp();
        self.last_decay = now;
    }
}
