//! Metrics of the failure detector.

use juniperladder::Micros;

/// Metrics of the failure detector. Reports, servers and reporters are current numbers; the rest accumulates since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FailureDetectorMetrics {
    /// The number of stored reports of silence.
    pub silent_reports: usize,
    /// The number of stored reports of answers.
    pub answer_reports: usize,
    /// The number of suspected servers.
    pub suspected_servers: usize,
    /// The number of servers that are not suspected only because the limit on suspected servers is reached.
    pub servers_over_suspicion_limit: usize,
    /// The number of discredited reporters.
    pub discredited_reporters: usize,
    /// The number of requests that avoided a suspected server.
    pub avoided_requests: u64,
    /// The number of trial requests to suspected servers.
    pub trials: u64,
    /// The number of reports that this member made.
    pub own_reports: u64,
    /// The greatest age of a report on which a request avoided a server.
    pub max_used_report_age: Micros,
}
