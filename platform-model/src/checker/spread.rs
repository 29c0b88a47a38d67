//! How evenly the servers were used, from their own event log, beside what fair draws of the same begins would give.
//!
//! Windows of 5 s; in each, the servers that were sound, listed and warm from end to end. A server's load is what it began
//! over its part by weight of what all of these began. Small numbers are uneven by chance, so each figure stands beside
//! the mean of the same figure over [`DRAWS`] deals of the same begins by independent draws.

#[cfg(test)]
mod tests;

use std::collections::VecDeque;

use rand::Rng;

use super::{quantile, Terms};
use crate::event_log::{EventLog, Receiver};
use crate::rng::{seeded_rng, RngStream, SeededRng};
use crate::summary::Spread;
use crate::{Micros, MICROS_PER_SECOND};

/// The windows' length.
const WINDOW: Micros = 5 * MICROS_PER_SECOND;
/// In which a herd is counted.
const HERD: Micros = MICROS_PER_SECOND / 10;
/// How often the begins are dealt anew.
const DRAWS: usize = 100;
/// Where so many were due and nothing came, a server was idle.
const IDLE_DUE: f64 = 5.0;

/// One window: the servers that count in it, and what they began.
struct Window {
    /// Their numbers.
    servers: Vec<usize>,
    /// Their parts, which sum up to 1.
    parts: Vec<f64>,
    /// What they began, in order: when, and at which place of `servers`.
    begins: Vec<(Micros, usize)>,
}

/// The figures of one deal of the begins.
#[derive(Default)]
struct Deal {
    peaks: Vec<f64>,
    leasts: Vec<f64>,
    idle: u64,
    herd: f64,
}

/// The spread of a run.
pub fn spread(event_log: &EventLog, terms: &Terms) -> Spread {
    let windows = windows(event_log, terms);
    let seen = deal(&windows, |_, place, _| place, &mut seeded_rng(terms.seed, RngStream::Fair));
    let mut fair = [0.0; 3];
    let mut draw = seeded_rng(terms.seed, RngStream::Fair);
    for _ in 0..DRAWS {
        let mut one = deal(&windows, |window, _, rng| pick(&window.parts, rng), &mut draw);
        fair[0] += quantile(&mut one.peaks, 0.95) / DRAWS as f64;
        fair[1] += quantile(&mut one.leasts, 0.05) / DRAWS as f64;
        fair[2] += one.herd / DRAWS as f64;
    }
    let Deal { mut peaks, mut leasts, idle, herd } = seen;
    Spread {
        peak: quantile(&mut peaks, 0.95),
        least: quantile(&mut leasts, 0.05),
        idle,
        herd,
        fair_peak: fair[0],
        fair_least: fair[1],
        fair_herd: fair[2],
        windows: windows.len() as u64,
    }
}

fn windows(event_log: &EventLog, terms: &Terms) -> Vec<Window> {
    let count = (terms.end.saturating_sub(terms.zero) / WINDOW) as usize;
    let mut place_of = vec![vec![None; terms.weights.len()]; count];
    let mut all: Vec<Window> = (0..count)
        .map(|number| {
            let from = terms.zero + number as Micros * WINDOW;
            let ill = |server: usize| {
                event_log
                    .server_impairments
                    .iter()
                    .any(|s| s.number == server as u32 && s.overlaps(from, from + WINDOW))
            };
            let servers: Vec<usize> = (0..terms.weights.len()).filter(|server| !ill(*server)).collect();
            let sum: f64 = servers.iter().map(|server| terms.weights[*server]).sum();
            for (place, server) in servers.iter().enumerate() {
                place_of[number][*server] = Some(place);
            }
            Window {
                parts: servers.iter().map(|server| terms.weights[*server] / sum).collect(),
                servers,
                begins: Vec::new(),
            }
        })
        .collect();
    for attempt in &event_log.attempts {
        let Receiver::CacheServer(server) = attempt.receiver else { continue };
        let Some(since) = attempt.received_at.checked_sub(terms.zero) else { continue };
        let number = (since / WINDOW) as usize;
        let place = place_of.get(number).and_then(|places| places.get(server as usize)).copied().flatten();
        if let Some(place) = place {
            all[number].begins.push((attempt.received_at, place));
        }
    }
    all.retain(|window| window.servers.len() > 1 && !window.begins.is_empty());
    all.iter_mut().for_each(|window| window.begins.sort_unstable());
    all
}

/// Deals the begins out by this choice and counts.
fn deal(
    windows: &[Window],
    choose: impl Fn(&Window, usize, &mut SeededRng) -> usize,
    rng: &mut SeededRng,
) -> Deal {
    let mut deal = Deal::default();
    for window in windows {
        let mut counts = vec![0.0; window.servers.len()];
        let mut near: Vec<VecDeque<Micros>> = vec![VecDeque::new(); window.servers.len()];
        let all = window.begins.len() as f64;
        for (at, place) in &window.begins {
            let place = choose(window, *place, rng);
            counts[place] += 1.0;
            let near = &mut near[place];
            near.push_back(*at);
            while near.front().is_some_and(|first| first + HERD <= *at) {
                near.pop_front();
            }
            let due = all * window.parts[place] * HERD as f64 / WINDOW as f64;
            deal.herd = deal.herd.max(near.len() as f64 / due);
        }
        let loads: Vec<f64> =
            counts.iter().zip(&window.parts).map(|(count, part)| count / (all * part)).collect();
        deal.peaks.push(loads.iter().copied().fold(0.0, f64::max));
        deal.leasts.push(loads.iter().copied().fold(f64::INFINITY, f64::min));
        deal.idle += counts
            .iter()
            .zip(&window.parts)
            .filter(|(count, part)| **count == 0.0 && all * **part >= IDLE_DUE)
            .count() as u64;
    }
    deal
}

/// One place, by weight.
fn pick(parts: &[f64], rng: &mut SeededRng) -> usize {
    let mut left: f64 = rng.random();
    for (place, part) in parts.iter().enumerate() {
        left -= part;
        if left < 0.0 {
            return place;
        }
    }
    parts.len() - 1
}
