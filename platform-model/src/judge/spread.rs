//! How evenly the servers were used, from their own ledgers, beside what fair draws of the same begins would give.
//!
//! Windows of 5 s; in each, the servers that were sound, listed and warm from end to end. A server's load is what it began
//! over its part by weight of what all of these began. Small numbers are uneven by chance, so each figure stands beside
//! the mean of the same figure over [`DRAWS`] deals of the same begins by independent draws.

use std::collections::VecDeque;

use rand::Rng;

use super::{quantile, Terms};
use crate::ledger::{At, Ledger};
use crate::rng::{seeded_rng, RngStream, SeededRng};
use crate::summary::Spread;
use crate::{Us, SECOND};

/// The windows' length.
const WINDOW: Us = 5 * SECOND;
/// In which a herd is counted.
const HERD: Us = SECOND / 10;
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
    begins: Vec<(Us, usize)>,
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
pub fn spread(ledger: &Ledger, terms: &Terms) -> Spread {
    let windows = windows(ledger, terms);
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

fn windows(ledger: &Ledger, terms: &Terms) -> Vec<Window> {
    let count = (terms.end.saturating_sub(terms.zero) / WINDOW) as usize;
    let mut place_of = vec![vec![None; terms.weights.len()]; count];
    let mut all: Vec<Window> = (0..count)
        .map(|number| {
            let from = terms.zero + number as Us * WINDOW;
            let ill = |server: usize| {
                ledger.servers.iter().any(|s| s.who == server as u32 && s.meets(from, from + WINDOW))
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
    for attempt in &ledger.attempts {
        let At::CacheServer(server) = attempt.at else { continue };
        let Some(since) = attempt.begun.checked_sub(terms.zero) else { continue };
        let number = (since / WINDOW) as usize;
        let place = place_of.get(number).and_then(|places| places.get(server as usize)).copied().flatten();
        if let Some(place) = place {
            all[number].begins.push((attempt.begun, place));
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
        let mut near: Vec<VecDeque<Us>> = vec![VecDeque::new(); window.servers.len()];
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

#[cfg(test)]
mod tests {
    use super::super::hand::{attempt, terms, Hand};
    use super::*;
    use crate::ledger::{Ill, Span};
    use crate::us;

    /// Each window has 100 begins, dealt by weight (20, 20, 20, 40) but for what `moved` takes from server 0 to server 1.
    fn hand(moved: usize) -> Hand {
        let mut hand = Hand::default();
        for n in 0..600 {
            let place = n % 100;
            let server = match place % 5 {
                0 if place / 5 < moved => 1,
                3 | 4 => 3,
                other => other as u32,
            };
            hand.ledger.attempts.push(attempt(n as u64, At::CacheServer(server), 5.0 + n as f64 * 0.05));
        }
        hand
    }

    #[test]
    fn loads_are_taken_by_weight() {
        let even = spread(&hand(0).ledger, &terms());
        assert_eq!((even.peak, even.least, even.idle, even.windows), (1.0, 1.0, 0, 6));
        let one = spread(&hand(1).ledger, &terms());
        assert_eq!((one.peak, one.least), (1.05, 0.95), "one of twenty due moved from one host to another");
        assert!(even.fair_peak > 1.1 && even.fair_least < 0.9 && even.fair_peak < 1.6, "{even:?}");
    }

    #[test]
    fn a_host_that_had_nothing_is_idle_where_five_were_due() {
        assert_eq!(spread(&hand(20).ledger, &terms()).idle, 6);
        let mut few = hand(20);
        few.ledger.attempts.retain(|a| a.id % 20 < 5);
        assert_eq!(spread(&few.ledger, &terms()).idle, 6, "five of 25 were due");
        few.ledger.attempts.retain(|a| a.id % 100 != 4);
        assert_eq!(spread(&few.ledger, &terms()).idle, 0, "4.8 of 24 were due");
    }

    #[test]
    fn hosts_that_are_not_sound_do_not_count_in_their_windows() {
        let mut hand = hand(20);
        hand.ledger.servers.push(Span { who: 0, ill: Ill::Cold, from: us(5.0), to: Some(us(34.9)) });
        let seen = spread(&hand.ledger, &terms());
        assert_eq!(seen.idle, 0);
        assert!(
            (seen.peak - 1.6).abs() < 1e-9,
            "of 100 that three hosts of 4 parts began, host 1 had 40: {seen:?}"
        );
        hand.ledger.servers[0].to = Some(us(29.9));
        assert_eq!(spread(&hand.ledger, &terms()).idle, 1, "the last window counts again");
    }

    /// All begins of a second in one instant are a herd; as many apart are none.
    #[test]
    fn a_herd_is_what_comes_at_once_to_one_host() {
        let mut hand = hand(0);
        let even = spread(&hand.ledger, &terms());
        assert!(
            (even.herd - 2.5).abs() < 1e-9,
            "one in 100 ms where 0.4 were due, two where 0.8 were: {even:?}"
        );
        for a in hand.ledger.attempts.iter_mut().filter(|a| a.at == At::CacheServer(2) && a.id < 50) {
            a.begun = us(6.0);
        }
        let herd = spread(&hand.ledger, &terms());
        assert!((herd.herd - 25.0).abs() < 1e-9, "ten at once where 0.4 were due: {herd:?}");
        assert!(herd.herd > 2.0 * herd.fair_herd, "fair draws of the same times have no such herd: {herd:?}");
    }
}
