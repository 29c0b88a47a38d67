//! How evenly the servers were used, from the attempts that they received, compared with fair random draws of the
//! same attempts.
//!
//! Figures are computed over windows of 5 s; a window includes the servers that were healthy, listed and warm for all
//! of it. A server's load is its attempts divided by its share by weight of the attempts at all of these servers.
//! Small numbers are uneven by chance, so each figure is reported with its mean over [`FAIR_DRAWS`] independent
//! random draws of the same attempts.

#[cfg(test)]
mod tests;

use rand::Rng;

use super::sliding_window::SlidingWindow;
use super::statistics::quantile;
use super::CheckConfig;
use crate::event_log::{EventLog, Receiver};
use crate::rng::{seeded_rng, RngStream, SeededRng};
use crate::summary::Spread;
use crate::{Micros, MICROS_PER_SECOND};

/// Length of a window.
const WINDOW_LENGTH: Micros = 5 * MICROS_PER_SECOND;
/// Length of the window in which attempts at one server are counted as a herd.
const HERD_WINDOW_LENGTH: Micros = MICROS_PER_SECOND / 10;
/// Number of fair random draws of the attempts.
const FAIR_DRAWS: usize = 100;
/// A server without attempts in a window counts as idle if at least this many were expected.
const IDLE_MIN_EXPECTED_ATTEMPTS: f64 = 5.0;
/// Quantile of the windows' highest loads that is reported as the peak.
const PEAK_QUANTILE: f64 = 0.95;
/// Quantile of the windows' lowest loads that is reported as the least.
const LEAST_QUANTILE: f64 = 0.05;

/// A window: its servers, and the attempts that they received.
struct Window {
    /// The servers' shares by weight, which add up to 1.
    fair_shares: Vec<f64>,
    /// The attempts, in order: the time, and the server's index in `fair_shares`.
    attempts: Vec<(Micros, usize)>,
}

/// The figures of one assignment of the attempts to servers.
#[derive(Default)]
struct Assignment {
    /// Highest load of each window.
    highest_loads: Vec<f64>,
    /// Lowest load of each window.
    lowest_loads: Vec<f64>,
    /// Number of servers without attempts in a window in which enough were expected, summed over the windows.
    idle: u64,
    /// Highest number of attempts at one server within [`HERD_WINDOW_LENGTH`], divided by the expected number.
    herd: f64,
}

/// Computes the spread of a run.
pub fn spread(event_log: &EventLog, config: &CheckConfig) -> Spread {
    let windows = windows(event_log, config);
    let mut rng = seeded_rng(config.seed, RngStream::FairDraws);
    let mut spread = Spread { windows: windows.len() as u64, ..Spread::default() };
    for _ in 0..FAIR_DRAWS {
        let mut fair_assignment =
            assign_attempts(&windows, |window, _| draw_server(&window.fair_shares, &mut rng));
        spread.fair_peak += quantile(&mut fair_assignment.highest_loads, PEAK_QUANTILE) / FAIR_DRAWS as f64;
        spread.fair_least += quantile(&mut fair_assignment.lowest_loads, LEAST_QUANTILE) / FAIR_DRAWS as f64;
        spread.fair_herd += fair_assignment.herd / FAIR_DRAWS as f64;
    }
    let mut actual_assignment = assign_attempts(&windows, |_, server| server);
    spread.peak = quantile(&mut actual_assignment.highest_loads, PEAK_QUANTILE);
    spread.least = quantile(&mut actual_assignment.lowest_loads, LEAST_QUANTILE);
    spread.idle = actual_assignment.idle;
    spread.herd = actual_assignment.herd;
    spread
}

/// The complete windows with more than one healthy server and with attempts.
fn windows(event_log: &EventLog, config: &CheckConfig) -> Vec<Window> {
    let count = config.measured_until.saturating_sub(config.measured_from) / WINDOW_LENGTH;
    let healthy: Vec<Vec<usize>> =
        (0..count).map(|number| healthy_servers(event_log, config, number)).collect();
    let mut windows: Vec<Window> = healthy
        .iter()
        .map(|servers| Window { fair_shares: fair_shares(servers, config), attempts: Vec::new() })
        .collect();
    for attempt in &event_log.attempts {
        let Receiver::CacheServer(server) = attempt.receiver else { continue };
        let Some(since) = attempt.received_at.checked_sub(config.measured_from) else { continue };
        let number = (since / WINDOW_LENGTH) as usize;
        let index = healthy.get(number).and_then(|servers| servers.binary_search(&(server as usize)).ok());
        if let Some(index) = index {
            windows[number].attempts.push((attempt.received_at, index));
        }
    }
    windows.retain(|window| window.fair_shares.len() > 1 && !window.attempts.is_empty());
    windows.iter_mut().for_each(|window| window.attempts.sort_unstable());
    windows
}

/// The servers, in order, that were not impaired at any time in a window.
fn healthy_servers(event_log: &EventLog, config: &CheckConfig, window: Micros) -> Vec<usize> {
    let from = config.measured_from + window * WINDOW_LENGTH;
    let is_impaired = |server: usize| {
        let mut spans = event_log.server_impairments.iter();
        spans.any(|span| span.number == server as u32 && span.overlaps(from, from + WINDOW_LENGTH))
    };
    (0..config.server_weights.len()).filter(|server| !is_impaired(*server)).collect()
}

/// The shares of these servers by weight.
fn fair_shares(servers: &[usize], config: &CheckConfig) -> Vec<f64> {
    let total: f64 = servers.iter().map(|server| config.server_weights[*server]).sum();
    servers.iter().map(|server| config.server_weights[*server] / total).collect()
}

/// Assigns each attempt to the server that `choose` returns, and computes the figures. `choose` gets the index of the
/// server that received the attempt.
fn assign_attempts(windows: &[Window], mut choose: impl FnMut(&Window, usize) -> usize) -> Assignment {
    let mut assignment = Assignment::default();
    for window in windows {
        let total = window.attempts.len() as f64;
        let mut counts = vec![0.0; window.fair_shares.len()];
        let mut herd_windows: Vec<SlidingWindow> =
            window.fair_shares.iter().map(|_| SlidingWindow::new(HERD_WINDOW_LENGTH)).collect();
        for (at, server) in &window.attempts {
            let server = choose(window, *server);
            counts[server] += 1.0;
            let herd = herd_windows[server].push(*at) as f64;
            let expected =
                total * window.fair_shares[server] * HERD_WINDOW_LENGTH as f64 / WINDOW_LENGTH as f64;
            assignment.herd = assignment.herd.max(herd / expected);
        }
        assignment.add_loads(&counts, &window.fair_shares, total);
    }
    assignment
}

impl Assignment {
    /// Adds the figures of one window with these attempts by server.
    fn add_loads(&mut self, counts: &[f64], fair_shares: &[f64], total: f64) {
        let loads = counts.iter().zip(fair_shares).map(|(count, fair_share)| count / (total * fair_share));
        self.highest_loads.push(loads.clone().fold(0.0, f64::max));
        self.lowest_loads.push(loads.fold(f64::INFINITY, f64::min));
        let is_idle = |(count, fair_share): &(&f64, &f64)| {
            **count == 0.0 && total * **fair_share >= IDLE_MIN_EXPECTED_ATTEMPTS
        };
        self.idle += counts.iter().zip(fair_shares).filter(is_idle).count() as u64;
    }
}

/// Draws the index of a server by weight.
fn draw_server(fair_shares: &[f64], rng: &mut SeededRng) -> usize {
    let mut remaining: f64 = rng.random();
    for (index, fair_share) in fair_shares.iter().enumerate() {
        remaining -= fair_share;
        if remaining < 0.0 {
            return index;
        }
    }
    fair_shares.len() - 1
}
