//! How evenly the servers were used, from what they received, beside what fair draws of the same attempts would give.
//!
//! Windows of 5 s; in each, the servers that were healthy, listed and warm from end to end. A server's load is what it
//! received over its part by weight of what all of these received. Small numbers are uneven by chance, so each figure
//! stands beside the mean of the same figure over [`FAIR_DRAWS`] deals of the same attempts by independent draws.

#[cfg(test)]
mod tests;

use rand::Rng;

use super::sliding_window::SlidingWindow;
use super::statistics::quantile;
use super::CheckTerms;
use crate::event_log::{EventLog, Receiver};
use crate::rng::{seeded_rng, RngStream, SeededRng};
use crate::summary::Spread;
use crate::{Micros, MICROS_PER_SECOND};

/// The windows' length.
const WINDOW_LENGTH: Micros = 5 * MICROS_PER_SECOND;
/// The time within which attempts at one server are a herd.
const HERD_LENGTH: Micros = MICROS_PER_SECOND / 10;
/// How often the attempts are dealt anew.
const FAIR_DRAWS: usize = 100;
/// Where so many attempts were due and none came, a server was idle.
const IDLE_MIN_DUE: f64 = 5.0;
/// The share of windows whose greatest load is no greater than the peak.
const PEAK_QUANTILE: f64 = 0.95;
/// The share of windows whose smallest load is no greater than the least.
const LEAST_QUANTILE: f64 = 0.05;

/// One window: the servers that count in it, and the attempts that they received.
struct Window {
    /// Their parts by weight, which sum up to 1.
    parts: Vec<f64>,
    /// The attempts, in order: when, and the place in `parts` of the server.
    attempts: Vec<(Micros, usize)>,
}

/// The figures of one deal of the attempts.
#[derive(Default)]
struct Deal {
    /// The greatest load of each window.
    peaks: Vec<f64>,
    /// The smallest load of each window.
    leasts: Vec<f64>,
    /// Servers with no attempt in a window where enough were due.
    idle: u64,
    /// The most attempts at one server within a herd's length, over what is due in it.
    herd: f64,
}

/// The spread of a run.
pub fn spread(event_log: &EventLog, terms: &CheckTerms) -> Spread {
    let windows = windows(event_log, terms);
    let mut rng = seeded_rng(terms.seed, RngStream::Fair);
    let mut spread = Spread { windows: windows.len() as u64, ..Spread::default() };
    for _ in 0..FAIR_DRAWS {
        let mut fair = deal(&windows, |window, _| draw_server(&window.parts, &mut rng));
        spread.fair_peak += quantile(&mut fair.peaks, PEAK_QUANTILE) / FAIR_DRAWS as f64;
        spread.fair_least += quantile(&mut fair.leasts, LEAST_QUANTILE) / FAIR_DRAWS as f64;
        spread.fair_herd += fair.herd / FAIR_DRAWS as f64;
    }
    let mut as_received = deal(&windows, |_, server| server);
    spread.peak = quantile(&mut as_received.peaks, PEAK_QUANTILE);
    spread.least = quantile(&mut as_received.leasts, LEAST_QUANTILE);
    spread.idle = as_received.idle;
    spread.herd = as_received.herd;
    spread
}

/// The complete windows with attempts at more than one server that counts.
fn windows(event_log: &EventLog, terms: &CheckTerms) -> Vec<Window> {
    let count = terms.measured_until.saturating_sub(terms.measured_from) / WINDOW_LENGTH;
    let healthy: Vec<Vec<usize>> =
        (0..count).map(|number| healthy_servers(event_log, terms, number)).collect();
    let mut windows: Vec<Window> =
        healthy.iter().map(|servers| Window { parts: parts(servers, terms), attempts: Vec::new() }).collect();
    for attempt in &event_log.attempts {
        let Receiver::CacheServer(server) = attempt.receiver else { continue };
        let Some(since) = attempt.received_at.checked_sub(terms.measured_from) else { continue };
        let number = (since / WINDOW_LENGTH) as usize;
        let place = healthy.get(number).and_then(|servers| servers.binary_search(&(server as usize)).ok());
        if let Some(place) = place {
            windows[number].attempts.push((attempt.received_at, place));
        }
    }
    windows.retain(|window| window.parts.len() > 1 && !window.attempts.is_empty());
    windows.iter_mut().for_each(|window| window.attempts.sort_unstable());
    windows
}

/// The servers, in order, that were not impaired at any time of a window.
fn healthy_servers(event_log: &EventLog, terms: &CheckTerms, window: Micros) -> Vec<usize> {
    let from = terms.measured_from + window * WINDOW_LENGTH;
    let is_impaired = |server: usize| {
        let mut spans = event_log.server_impairments.iter();
        spans.any(|span| span.number == server as u32 && span.overlaps(from, from + WINDOW_LENGTH))
    };
    (0..terms.server_weights.len()).filter(|server| !is_impaired(*server)).collect()
}

/// The parts of these servers by weight.
fn parts(servers: &[usize], terms: &CheckTerms) -> Vec<f64> {
    let total: f64 = servers.iter().map(|server| terms.server_weights[*server]).sum();
    servers.iter().map(|server| terms.server_weights[*server] / total).collect()
}

/// Deals the attempts out by this choice, which is given the server that received each, and counts.
fn deal(windows: &[Window], mut choose: impl FnMut(&Window, usize) -> usize) -> Deal {
    let mut deal = Deal::default();
    for window in windows {
        let total = window.attempts.len() as f64;
        let mut counts = vec![0.0; window.parts.len()];
        let mut herds: Vec<SlidingWindow> =
            window.parts.iter().map(|_| SlidingWindow::new(HERD_LENGTH)).collect();
        for (at, server) in &window.attempts {
            let server = choose(window, *server);
            counts[server] += 1.0;
            let herd = herds[server].push(*at) as f64;
            let due = total * window.parts[server] * HERD_LENGTH as f64 / WINDOW_LENGTH as f64;
            deal.herd = deal.herd.max(herd / due);
        }
        deal.add_loads(&counts, &window.parts, total);
    }
    deal
}

impl Deal {
    /// Counts one window by what each server received.
    fn add_loads(&mut self, counts: &[f64], parts: &[f64], total: f64) {
        let loads = counts.iter().zip(parts).map(|(count, part)| count / (total * part));
        self.peaks.push(loads.clone().fold(0.0, f64::max));
        self.leasts.push(loads.fold(f64::INFINITY, f64::min));
        let is_idle = |(count, part): &(&f64, &f64)| **count == 0.0 && total * **part >= IDLE_MIN_DUE;
        self.idle += counts.iter().zip(parts).filter(is_idle).count() as u64;
    }
}

/// A server's place, drawn by weight.
fn draw_server(parts: &[f64], rng: &mut SeededRng) -> usize {
    let mut left: f64 = rng.random();
    for (place, part) in parts.iter().enumerate() {
        left -= part;
        if left < 0.0 {
            return place;
        }
    }
    parts.len() - 1
}
