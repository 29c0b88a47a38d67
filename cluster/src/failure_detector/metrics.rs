//! What operators see of the failure detector.

use juniperladder::Micros;

/// What operators see of the failure detector. Reports, servers and reporters are counted now, the rest since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FailureDetectorMetrics {
    /// Stored reports of silence.
    pub silent_reports: usize,
    /// Stored reports of answers.
    pub answer_reports: usize,
    /// Servers that are suspected.
    pub suspected_servers: usize,
    /// Servers that would be suspected, were it not for the most that may be.
    pub servers_beyond_limit: usize,
    /// Reporters that are not believed now.
    pub discredited_reporters: usize,
    /// Requests that passed over a suspected server.
    pub avoided_requests: u64,
    /// Trials of suspected servers.
    pub trials: u64,
    /// Reports of this member.
    pub own_reports: u64,
    /// The greatest age of a report that made a request pass over a server.
    pub oldest_used_report: Micros,
}
