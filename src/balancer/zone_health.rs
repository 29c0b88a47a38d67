//! Detects unhealthy zones by the rejected share of this balancer's attempts in each zone.
//!
//! The outage of a zone is detected by a few attempts there, not server by server. Only the difference from
//! the best zone counts, so that no zone is avoided while all fail alike.

use rustc_hash::FxHashMap;

/// Weight of one attempt in its zone's rejection rate.
const ATTEMPT_WEIGHT: f64 = 0.25;
/// Excess over the rejection rate of the best zone above which a zone is unhealthy.
pub(super) const UNHEALTHY_EXCESS_RATE: f64 = 0.4;
/// Largest share of the attempts that avoid an unhealthy zone; the remaining attempts probe whether it has
/// recovered.
const MAX_AVOIDED_SHARE: f64 = 0.95;

/// The rejection rates of all zones.
#[derive(Debug, Default)]
pub(super) struct ZoneHealth {
    /// Recent rejected share of the attempts, from 0 to 1, by zone.
    rejection_rates: FxHashMap<u32, f64>,
}

impl ZoneHealth {
    /// Records whether an attempt at a server of this zone was rejected.
    pub(super) fn on_attempt_completed(&mut self, zone: u32, is_rejected: bool) {
        let rate = self.rejection_rates.entry(zone).or_default();
        *rate += (f64::from(is_rejected) - *rate) * ATTEMPT_WEIGHT;
    }

    /// The difference between the rejection rate of this zone and that of the best zone.
    pub(super) fn excess_rejection_rate(&self, zone: u32) -> f64 {
        let rate = self.rejection_rates.get(&zone).copied().unwrap_or(0.0);
        let best = self.rejection_rates.values().fold(rate, |best, other| other.min(best));
        rate - best
    }

    /// The share of the attempts that should avoid this zone; zero for a healthy zone.
    pub(super) fn avoided_share(&self, zone: u32) -> f64 {
        let excess = self.excess_rejection_rate(zone);
        if excess > UNHEALTHY_EXCESS_RATE {
            excess.min(MAX_AVOIDED_SHARE)
        } else {
            0.0
        }
    }
}
