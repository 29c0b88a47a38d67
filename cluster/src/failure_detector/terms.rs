//! The terms of the failure detector.

use juniperladder::Micros;

/// The terms of the failure detector. They have to be the same at every member; members that differ in `min_reporters`,
/// `report_lifetime` or `max_suspected_share` ignore each other's reports.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FailureDetectorTerms {
    /// The number of members that have to report a server silent before others suspect it.
    pub min_reporters: usize,
    /// The lifetime of a report, counted from the reporter's observation.
    pub report_lifetime: Micros,
    /// The maximum share of all servers that are suspected.
    pub max_suspected_share: f64,
    /// The number of trial requests a second to one suspected server by all members together.
    pub trials_per_s: f64,
    /// The maximum ratio by which the clock rates of members differ.
    pub clock_drift: f64,
}

impl FailureDetectorTerms {
    /// The lifetime of a report by the own clock, shortened by the drift so that it does not exceed `report_lifetime` by
    /// any clock.
    pub(super) fn local_lifetime(&self) -> Micros {
        self.report_lifetime.mul_f64(1.0 - 2.0 * self.clock_drift)
    }
}
