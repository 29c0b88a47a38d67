//! The figures of each second, for tables and charts.

use serde::{Deserialize, Serialize};

use super::statistics::percentile;
use super::{limits, outcome_of, CheckConfig, RequestOutcome};
use crate::event_log::{EventLog, Receiver};
use crate::Micros;

/// Lower bound of the fair share by which a number of attempts is divided, so that a second without attempts gives a
/// load of 0.
const MIN_FAIR_SHARE: f64 = 1e-9;

/// The figures of one second of a run, as stored in `seconds.csv`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Second {
    /// Number of the second from the experiment's beginning.
    pub second: u64,
    /// Requests planned in this second.
    #[serde(rename = "commands")]
    pub requests: u64,
    /// Of those, served.
    pub served: u64,
    /// Of those, rejected.
    #[serde(rename = "refused")]
    pub rejected: u64,
    /// Of those, failed.
    pub failed: u64,
    /// Of those, lost.
    pub lost: u64,
    /// Median latency of the served requests, in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile of the latency of the served requests, in milliseconds.
    pub p99_ms: f64,
    /// Attempts that servers received.
    pub attempts: u64,
    /// Fetches that the origin received.
    pub fetches: u64,
    /// Demand for the origin, in requests.
    pub demand: f64,
}

/// A run over time.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Series {
    /// The figures of each second.
    pub seconds: Vec<Second>,
    /// For each server, its attempts in each second divided by its fair share by weight.
    pub server_loads: Vec<Vec<f64>>,
}

/// Computes the series of a run.
pub fn series(event_log: &EventLog, config: &CheckConfig) -> Series {
    let demand = limits::origin_demand(event_log, config).into_iter().enumerate();
    let second = |(number, demand)| Second { second: number as u64, demand, ..Second::default() };
    let mut seconds: Vec<Second> = demand.map(second).collect();
    count_requests(&mut seconds, event_log, config);
    let attempts = count_attempts(&mut seconds, event_log, config);
    let server_loads = server_loads(attempts, &seconds, config);
    Series { seconds, server_loads }
}

fn count_requests(seconds: &mut [Second], event_log: &EventLog, config: &CheckConfig) {
    let mut latencies: Vec<Vec<Micros>> = vec![Vec::new(); seconds.len()];
    for request in event_log.requests.iter().filter(|request| config.is_measured(request.planned_at)) {
        let number = config.second_of(request.planned_at);
        let second = &mut seconds[number];
        second.requests += 1;
        match outcome_of(request, config) {
            RequestOutcome::Served => {
                second.served += 1;
                latencies[number].extend(request.ended_at.map(|at| at - request.sent_at));
            }
            RequestOutcome::Rejected => second.rejected += 1,
            RequestOutcome::Failed => second.failed += 1,
            RequestOutcome::Lost => second.lost += 1,
        }
    }
    for (second, latencies) in seconds.iter_mut().zip(&mut latencies) {
        second.p50_ms = percentile(latencies, 0.5) as f64 / 1e3;
        second.p99_ms = percentile(latencies, 0.99) as f64 / 1e3;
    }
}

/// Counts attempts and fetches by second; returns the attempts at each server by second.
fn count_attempts(seconds: &mut [Second], event_log: &EventLog, config: &CheckConfig) -> Vec<Vec<f64>> {
    let mut by_server = vec![vec![0.0; seconds.len()]; config.server_weights.len()];
    for attempt in event_log.attempts.iter().filter(|attempt| config.is_measured(attempt.received_at)) {
        let second = config.second_of(attempt.received_at);
        match attempt.receiver {
            Receiver::CacheServer(server) => {
                seconds[second].attempts += 1;
                by_server[server as usize][second] += 1.0;
            }
            Receiver::Origin => seconds[second].fetches += 1,
        }
    }
    by_server
}

/// Divides the attempts at each server by its fair share of all attempts of that second.
fn server_loads(mut attempts: Vec<Vec<f64>>, seconds: &[Second], config: &CheckConfig) -> Vec<Vec<f64>> {
    let total_weight: f64 = config.server_weights.iter().sum();
    for (counts, weight) in attempts.iter_mut().zip(&config.server_weights) {
        for (count, second) in counts.iter_mut().zip(seconds) {
            *count /= (second.attempts as f64 * weight / total_weight).max(MIN_FAIR_SHARE);
        }
    }
    attempts
}
