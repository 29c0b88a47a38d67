//! The figures second by second, for tables and charts.

use serde::{Deserialize, Serialize};

use super::{fate, limits, percentile, Fate, Terms};
use crate::event_log::{EventLog, Receiver};
use crate::{Micros, MICROS_PER_SECOND};

/// One second of a run.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Second {
    /// Its number, from the experiment's beginning.
    pub second: u64,
    /// Requests planned in it.
    #[serde(rename = "commands")]
    pub requests: u64,
    /// Of those, served.
    pub served: u64,
    /// Of those, refused.
    pub refused: u64,
    /// Of those, failed.
    pub failed: u64,
    /// Of those, lost.
    pub lost: u64,
    /// The median of the times of those served.
    pub p50_ms: f64,
    /// The 99th percentile of them.
    pub p99_ms: f64,
    /// Attempts that servers received.
    pub attempts: u64,
    /// Fetches that the origin received.
    pub fetches: u64,
    /// Fetches that were wanted.
    pub demand: f64,
}

/// A run over time.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Series {
    /// By second.
    pub seconds: Vec<Second>,
    /// For each server, what it began in each second over its fair part by weight.
    pub servers: Vec<Vec<f64>>,
}

/// The series of a run.
pub fn series(event_log: &EventLog, terms: &Terms) -> Series {
    let demand = limits::demand(event_log, terms);
    let mut seconds: Vec<Second> = demand
        .iter()
        .enumerate()
        .map(|(second, demand)| Second { second: second as u64, demand: *demand, ..Second::default() })
        .collect();
    let of = |at: Micros| ((at - terms.zero) / MICROS_PER_SECOND) as usize;
    let mut times: Vec<Vec<Micros>> = vec![Vec::new(); seconds.len()];
    for request in event_log.requests.iter().filter(|c| terms.counts(c.planned_at)) {
        let second = of(request.planned_at);
        let one = &mut seconds[second];
        one.requests += 1;
        match fate(request, terms) {
            Fate::Served => {
                one.served += 1;
                times[second].extend(request.ended_at.map(|at| at - request.sent_at));
            }
            Fate::Refused => one.refused += 1,
            Fate::Failed => one.failed += 1,
            Fate::Lost => one.lost += 1,
        }
    }
    for (second, times) in seconds.iter_mut().zip(&mut times) {
        second.p50_ms = percentile(times, 0.5) as f64 / 1e3;
        second.p99_ms = percentile(times, 0.99) as f64 / 1e3;
    }
    let mut servers = vec![vec![0.0; seconds.len()]; terms.weights.len()];
    for attempt in event_log.attempts.iter().filter(|a| terms.counts(a.received_at)) {
        let second = of(attempt.received_at);
        match attempt.receiver {
            Receiver::CacheServer(server) => {
                seconds[second].attempts += 1;
                servers[server as usize][second] += 1.0;
            }
            Receiver::Origin => seconds[second].fetches += 1,
        }
    }
    let sum: f64 = terms.weights.iter().sum();
    for (server, counts) in servers.iter_mut().enumerate() {
        for (count, second) in counts.iter_mut().zip(&seconds) {
            *count /= (second.attempts as f64 * terms.weights[server] / sum).max(1e-9);
        }
    }
    Series { seconds, servers }
}
