//! Slow start: limits the attempts at a recently started server.
//!
//! The server's capacity is assumed to grow linearly with its age, so that all balancers ramp up its load
//! alike without coordination. The weight is a factor in placement; the credit bounds this balancer's own
//! attempts.

use crate::endpoint::Endpoint;
use crate::settings::Rules;
use crate::time::Micros;

/// Factor on the credit that a server in slow start earns by its weight. The factor is above one because a
/// small number of attempts is not evenly spread.
pub(super) const CREDIT_FACTOR: f64 = 1.25;
/// Upper bound on the credit, in attempts.
const MAX_CREDIT: f64 = 1.0;
/// Initial share of a started server's capacity, if the site configures none.
const DEFAULT_INITIAL_SHARE: f64 = 0.05;

/// The share of its capacity that a server is assumed to have, from the site's initial share up to 1.
pub(super) fn slow_start_weight(endpoint: &Endpoint, now: Micros, rules: &Rules) -> f64 {
    let started_long_ago = endpoint.started == Micros::ZERO;
    let elapsed_share = if started_long_ago {
        1.0
    } else {
        let age = now - endpoint.started;
        (age.as_f64() / rules.slow_start_duration.as_f64()).min(1.0)
    };
    let initial_share = if rules.slow_start_initial_share > 0.0 {
        rules.slow_start_initial_share.min(1.0)
    } else {
        DEFAULT_INITIAL_SHARE
    };
    1.0 - (1.0 - initial_share) * (1.0 - elapsed_share)
}

/// This balancer's credit for attempts at a server in slow start.
#[derive(Debug)]
pub(super) struct SlowStartCredit {
    /// Attempts available; a send needs at least one.
    pub(super) attempts: f64,
    /// Time of the last refill.
    pub(super) updated: Micros,
}

impl SlowStartCredit {
    /// Adds the credit earned since the last refill: the mean response rate of one server, scaled by the
    /// weight and [`CREDIT_FACTOR`].
    pub(super) fn refill(&mut self, now: Micros, weight: f64, responses_per_second: f64) {
        let elapsed_seconds = (now - self.updated).as_f64() / Micros::SECOND.as_f64();
        let earned = elapsed_seconds * responses_per_second * weight * CREDIT_FACTOR;
        self.attempts = (self.attempts + earned).min(MAX_CREDIT);
        self.updated = now;
    }

    /// Whether one attempt may be sent.
    pub(super) fn is_sufficient(&self) -> bool {
        self.attempts >= 1.0
    }

    /// Charges one attempt to the credit.
    pub(super) fn spend(&mut self) {
        self.attempts -= 1.0;
    }
}
