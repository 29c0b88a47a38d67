//! Whether a zone is unhealthy as a whole: the rejected share of this balancer's attempts, zone by zone.
//!
//! A zone that is lost is found by a few attempts there, not by each of its servers in turn. Only the
//! difference to the best zone counts, so that no zone is avoided while all fail alike.

use rustc_hash::FxHashMap;

/// Weight of one attempt in its zone's rejection rate.
const ATTEMPT_WEIGHT: f64 = 0.25;
/// Excess rejection rate above which servers of a zone are passed over.
pub(super) const UNHEALTHY_EXCESS_RATE: f64 = 0.4;
/// Largest share of the attempts that avoid an unhealthy zone; the rest find out whether it has recovered.
const MAX_AVOIDED_SHARE: f64 = 0.95;

/// The rejection rates of all zones.
#[derive(Debug, Default)]
pub(super) struct ZoneHealth {
    /// The recent rejected share of the attempts in a zone, from 0 to 1.
    rejection_rates: FxHashMap<u32, f64>,
}

impl ZoneHealth {
    /// An attempt at a server of this zone was rejected, or not.
    pub(super) fn on_attempt_completed(&mut self, zone: u32, is_rejected: bool) {
        let rate = self.rejection_rates.entry(zone).or_default();
        *rate += (f64::from(is_rejected) - *rate) * ATTEMPT_WEIGHT;
    }

    /// How much higher this zone's rejection rate is than that of the best zone.
    pub(super) fn excess_rejection_rate(&self, zone: u32) -> f64 {
        let rate = self.rejection_rates.get(&zone).copied().unwrap_or(0.0);
        let best = self.rejection_rates.values().fold(rate, |best, other| other.min(best));
        rate - best
    }

    /// The share of the attempts that should pass over this zone; zero for a healthy one.
    pub(super) fn avoided_share(&self, zone: u32) -> f64 {
        let excess = self.excess_rejection_rate(zone);
        if excess > UNHEALTHY_EXCESS_RATE {
            excess.min(MAX_AVOIDED_SHARE)
        } else {
            0.0
        }
    }
}
