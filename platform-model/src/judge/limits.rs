//! What a limit of the whole fleet was used for, counted where it is used: fetches at the origin.

#[cfg(test)]
mod tests;

use std::collections::{HashMap, HashSet, VecDeque};

use super::{fate, Fate, Terms};
use crate::ledger::{At, Attempt, Became, Ended, Ill, Ledger};
use crate::summary::{Limit, OriginFigures};
use crate::{Micros, MICROS_PER_SECOND};

/// The origin's figures, as the origin's and as a limit's.
pub struct Origin {
    /// Peak and use.
    pub figures: OriginFigures,
    /// The same as a limit; without talk nobody states a bound.
    pub limit: Limit,
}

/// The figures of the limit `origin`: fetches in any second against its capacity.
pub fn origin(ledger: &Ledger, terms: &Terms) -> Origin {
    let fetches: Vec<&Attempt> =
        ledger.attempts.iter().filter(|a| a.at == At::Origin && terms.counts(a.begun)).collect();
    let whole = terms.stated.map_or(terms.capacity, |stated| stated.origin);
    let bound = terms.stated.map(|stated| stated.bound());
    let (mut near, mut most) = (VecDeque::new(), 0);
    for fetch in &fetches {
        near.push_back(fetch.begun);
        while near.front().is_some_and(|at| at + MICROS_PER_SECOND <= fetch.begun) {
            near.pop_front();
        }
        most = most.max(near.len());
    }
    let demand = demand(ledger, terms);
    let served: HashSet<u64> = ledger
        .requests
        .iter()
        .filter(|c| c.end == Ended::Served && fate(c, terms) == Fate::Served)
        .map(|c| c.id)
        .collect();
    let second = |at: Micros| ((at - terms.zero) / MICROS_PER_SECOND) as usize;
    let (mut used, mut useful, mut over, mut pressed) = (0.0, 0.0, 0, 0.0);
    let mut by_second = vec![(0.0, 0.0); demand.len()];
    for fetch in &fetches {
        let one = &mut by_second[second(fetch.begun)];
        one.0 += 1.0;
        one.1 += f64::from(fetch.became == Became::Served && served.contains(&fetch.id));
    }
    for ((begun, answered), demand) in by_second.iter().zip(&demand) {
        over += u64::from(*begun > whole);
        if *demand > whole {
            pressed += whole;
            used += begun;
            useful += answered;
        }
    }
    let share = |part: f64| (pressed > 0.0).then(|| part / pressed);
    let peak = most as f64 / whole;
    Origin {
        figures: OriginFigures { peak, useful: share(useful), fetches: fetches.len() as u64 },
        limit: Limit { whole, bound, peak, r#use: share(used), seconds_over: over },
    }
}

/// Second tries for each first try, and those that each balancer may save up, where no file says it.
const SECOND_SHARE: f64 = 0.4;
const SECOND_SAVED: f64 = 10.0;
/// For how long before a second a right to a second try may have been earned: what the program states, and what a first try
/// takes to its balancer at the most.
const EARNED: Micros = 2 * MICROS_PER_SECOND + MICROS_PER_SECOND / 4;

/// The figures of the limit `cold`: sends in any second to a server that warms up, against what it bears by its warmth at the end
/// of that second. Without a file that limits it, a warm server bears what it can serve.
pub fn cold(ledger: &Ledger, terms: &Terms) -> Limit {
    let limited = terms.stated.and_then(|stated| stated.cold.map(|per_s| (per_s, stated.bound())));
    let (cold_us, from) = (terms.servers.cold_s * 1e6, terms.servers.cold_from);
    let mut figures = Limit { bound: limited.map(|(_, bound)| bound), ..Limit::default() };
    for span in ledger.servers.iter().filter(|span| span.ill == Ill::Cold) {
        let cores = terms.weights.get(span.who as usize).copied().unwrap_or(1.0);
        let warm = limited.map_or(cores * 1e3 / terms.servers.work_ms, |(per_s, _)| per_s);
        figures.whole = figures.whole.max(warm);
        let mut near = VecDeque::new();
        let mut over = HashSet::new();
        let to = span.from + cold_us as Micros;
        let here = |a: &&Attempt| a.at == At::CacheServer(span.who) && (span.from..to).contains(&a.begun);
        for send in ledger.attempts.iter().filter(here).filter(|a| terms.counts(a.begun)) {
            near.push_back(send.begun);
            while near.front().is_some_and(|at| at + MICROS_PER_SECOND <= send.begun) {
                near.pop_front();
            }
            let warmth = from + (1.0 - from) * (send.begun - span.from) as f64 / cold_us.max(1.0);
            let peak = near.len() as f64 / (warm * warmth);
            figures.peak = figures.peak.max(peak);
            if peak > figures.bound.unwrap_or(1.0) {
                over.insert(send.begun / MICROS_PER_SECOND);
            }
        }
        figures.seconds_over += over.len() as u64;
    }
    figures
}

/// The figures of the limit `second`: tries of a request after its first that no miss led to, in any second, against the share
/// of the first tries of that second and of the time in which rights to them may have been earned, and what may be saved up.
/// The whole is the share of the mean rate of first tries.
pub fn second(ledger: &Ledger, terms: &Terms) -> Limit {
    let limited = terms.stated.and_then(|stated| stated.second);
    let (share, saved) = limited.unwrap_or((SECOND_SHARE, SECOND_SAVED * terms.balancers as f64));
    let mut firsts: Vec<Micros> =
        ledger.requests.iter().filter(|c| c.id == c.first).map(|c| c.sent).collect();
    firsts.sort_unstable();
    let mut all: Vec<&Attempt> = ledger.attempts.iter().chain(&ledger.unheard).collect();
    all.sort_by_key(|attempt| attempt.begun);
    // By request: whether there was a try, and whether one missed.
    let mut tried: HashMap<u64, bool> = HashMap::new();
    let mut seconds: Vec<Micros> = Vec::new();
    for attempt in all {
        match tried.get_mut(&attempt.id) {
            Some(missed) => {
                if !*missed && terms.counts(attempt.begun) {
                    seconds.push(attempt.begun);
                }
                *missed |= attempt.became == Became::Miss;
            }
            None => drop(tried.insert(attempt.id, attempt.became == Became::Miss)),
        }
    }
    let (mut near, mut over) = (VecDeque::new(), HashSet::new());
    let counted = firsts.iter().filter(|at| terms.counts(**at)).count() as f64;
    let length = (terms.end - terms.zero) as f64 / MICROS_PER_SECOND as f64;
    let mut figures =
        Limit { whole: share * counted / length, bound: limited.map(|_| 1.0), ..Limit::default() };
    let spread = terms.stated.map_or(0, |stated| stated.spread);
    for at in seconds {
        near.push_back(at);
        while near.front().is_some_and(|first| first + MICROS_PER_SECOND <= at) {
            near.pop_front();
        }
        let since = at.saturating_sub(MICROS_PER_SECOND + EARNED + spread);
        let earned =
            firsts.partition_point(|first| *first <= at) - firsts.partition_point(|first| *first < since);
        let peak = near.len() as f64 / (share * earned as f64 + saved);
        figures.peak = figures.peak.max(peak);
        if peak > 1.0 {
            over.insert(at / MICROS_PER_SECOND);
        }
    }
    figures.seconds_over = over.len() as u64;
    figures
}

/// What was wanted of the origin in each second: writes asked for, reads that missed at a server, and of the requests
/// that were refused before anybody was asked the part that usually misses.
pub fn demand(ledger: &Ledger, terms: &Terms) -> Vec<f64> {
    let mut by_second = vec![0.0; ((terms.end - terms.zero).div_ceil(MICROS_PER_SECOND)) as usize];
    let mut attempts: HashMap<u64, (bool, bool)> = HashMap::new();
    for attempt in &ledger.attempts {
        let (missed, at_origin) = attempts.entry(attempt.id).or_default();
        *missed |= attempt.became == Became::Miss;
        *at_origin |= attempt.at == At::Origin;
    }
    let reads = |of: &dyn Fn(&(bool, bool)) -> bool| {
        let reads = ledger.requests.iter().filter(|c| !c.write);
        reads.filter_map(|c| attempts.get(&c.id)).filter(|a| of(a)).count() as f64
    };
    let usual = reads(&|(missed, at_origin)| *missed || *at_origin) / reads(&|_| true).max(1.0);
    for request in ledger.requests.iter().filter(|c| terms.counts(c.planned)) {
        let wants = match attempts.get(&request.id) {
            _ if request.write => 1.0,
            Some((missed, at_origin)) => f64::from(u8::from(*missed || *at_origin)),
            None if request.end == Ended::Refused => usual,
            None => 0.0,
        };
        by_second[((request.planned - terms.zero) / MICROS_PER_SECOND) as usize] += wants;
    }
    by_second
}
