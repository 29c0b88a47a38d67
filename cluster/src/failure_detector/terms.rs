//! The terms of the failure detector.

use juniperladder::Micros;

/// The terms. They have to be the same at every member; members whose terms differ ignore each other's reports.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FailureDetectorTerms {
    /// How many members have to report a server silent before others suspect it.
    pub min_reporters: usize,
    /// How long a report acts after its reporter saw what it says.
    pub report_lifetime: Micros,
    /// The share of all servers that are suspected at the most.
    pub max_suspected_share: f64,
    /// Trials a second of one suspected server by all members together.
    pub trials_per_s: f64,
    /// By which ratio clocks may run faster or slower than each other.
    pub clock_drift: f64,
}

impl FailureDetectorTerms {
    /// How long a report acts by the own clock, so that by every clock it is no longer than stated.
    pub(super) fn local_lifetime(&self) -> Micros {
        self.report_lifetime.mul_f64(1.0 - 2.0 * self.clock_drift)
    }
}
