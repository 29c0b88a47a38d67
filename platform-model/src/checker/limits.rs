//! What a limit of the whole fleet was used for, counted where it is used: fetches at the origin.

#[cfg(test)]
mod tests;

use std::collections::{HashMap, HashSet, VecDeque};

use super::{fate, Fate, Terms};
use crate::event_log::{Attempt, AttemptResult, EventLog, Impairment, Receiver, RequestResult};
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
pub fn origin(event_log: &EventLog, terms: &Terms) -> Origin {
    let fetches: Vec<&Attempt> = event_log
        .attempts
        .iter()
        .filter(|a| a.receiver == Receiver::Origin && terms.counts(a.received_at))
        .collect();
    let whole = terms.stated.map_or(terms.capacity, |stated| stated.origin);
    let bound = terms.stated.map(|stated| stated.bound());
    let (mut near, mut most) = (VecDeque::new(), 0);
    for fetch in &fetches {
        near.push_back(fetch.received_at);
        while near.front().is_some_and(|at| at + MICROS_PER_SECOND <= fetch.received_at) {
            near.pop_front();
        }
        most = most.max(near.len());
    }
    let demand = demand(event_log, terms);
    let served: HashSet<u64> = event_log
        .requests
        .iter()
        .filter(|c| c.result == RequestResult::Served && fate(c, terms) == Fate::Served)
        .map(|c| c.id)
        .collect();
    let second = |at: Micros| ((at - terms.zero) / MICROS_PER_SECOND) as usize;
    let (mut used, mut useful, mut over, mut pressed) = (0.0, 0.0, 0, 0.0);
    let mut by_second = vec![(0.0, 0.0); demand.len()];
    for fetch in &fetches {
        let one = &mut by_second[second(fetch.received_at)];
        one.0 += 1.0;
        one.1 += f64::from(fetch.result == AttemptResult::Served && served.contains(&fetch.id));
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
pub fn cold(event_log: &EventLog, terms: &Terms) -> Limit {
    let limited = terms.stated.and_then(|stated| stated.cold.map(|per_s| (per_s, stated.bound())));
    let (cold_us, from) = (terms.servers.cold_s * 1e6, terms.servers.cold_from);
    let mut figures = Limit { bound: limited.map(|(_, bound)| bound), ..Limit::default() };
    for span in event_log.server_impairments.iter().filter(|span| span.impairment == Impairment::SlowStart) {
        let cores = terms.weights.get(span.number as usize).copied().unwrap_or(1.0);
        let warm = limited.map_or(cores * 1e3 / terms.servers.work_ms, |(per_s, _)| per_s);
        figures.whole = figures.whole.max(warm);
        let mut near = VecDeque::new();
        let mut over = HashSet::new();
        let to = span.from + cold_us as Micros;
        let here = |a: &&Attempt| {
            a.receiver == Receiver::CacheServer(span.number) && (span.from..to).contains(&a.received_at)
        };
        for send in event_log.attempts.iter().filter(here).filter(|a| terms.counts(a.received_at)) {
            near.push_back(send.received_at);
            while near.front().is_some_and(|at| at + MICROS_PER_SECOND <= send.received_at) {
                near.pop_front();
            }
            let warmth = from + (1.0 - from) * (send.received_at - span.from) as f64 / cold_us.max(1.0);
            let peak = near.len() as f64 / (warm * warmth);
            figures.peak = figures.peak.max(peak);
            if peak > figures.bound.unwrap_or(1.0) {
                over.insert(send.received_at / MICROS_PER_SECOND);
            }
        }
        figures.seconds_over += over.len() as u64;
    }
    figures
}

/// The figures of the limit `second`: tries of a request after its first that no miss led to, in any second, against the share
/// of the first tries of that second and of the time in which rights to them may have been earned, and what may be saved up.
/// The whole is the share of the mean rate of first tries.
pub fn second(event_log: &EventLog, terms: &Terms) -> Limit {
    let limited = terms.stated.and_then(|stated| stated.second);
    let (share, saved) = limited.unwrap_or((SECOND_SHARE, SECOND_SAVED * terms.balancers as f64));
    let mut firsts: Vec<Micros> =
        event_log.requests.iter().filter(|c| c.id == c.first_id).map(|c| c.sent_at).collect();
    firsts.sort_unstable();
    let mut all: Vec<&Attempt> = event_log.attempts.iter().chain(&event_log.undelivered).collect();
    all.sort_by_key(|attempt| attempt.received_at);
    // By request: whether there was a try, and whether one missed.
    let mut tried: HashMap<u64, bool> = HashMap::new();
    let mut seconds: Vec<Micros> = Vec::new();
    for attempt in all {
        match tried.get_mut(&attempt.id) {
            Some(missed) => {
                if !*missed && terms.counts(attempt.received_at) {
                    seconds.push(attempt.received_at);
                }
                *missed |= attempt.result == AttemptResult::Miss;
            }
            None => drop(tried.insert(attempt.id, attempt.result == AttemptResult::Miss)),
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
pub fn demand(event_log: &EventLog, terms: &Terms) -> Vec<f64> {
    let mut by_second = vec![0.0; ((terms.end - terms.zero).div_ceil(MICROS_PER_SECOND)) as usize];
    let mut attempts: HashMap<u64, (bool, bool)> = HashMap::new();
    for attempt in &event_log.attempts {
        let (missed, at_origin) = attempts.entry(attempt.id).or_default();
        *missed |= attempt.result == AttemptResult::Miss;
        *at_origin |= attempt.receiver == Receiver::Origin;
    }
    let reads = |of: &dyn Fn(&(bool, bool)) -> bool| {
        let reads = event_log.requests.iter().filter(|c| !c.write);
        reads.filter_map(|c| attempts.get(&c.id)).filter(|a| of(a)).count() as f64
    };
    let usual = reads(&|(missed, at_origin)| *missed || *at_origin) / reads(&|_| true).max(1.0);
    for request in event_log.requests.iter().filter(|c| terms.counts(c.planned_at)) {
        let wants = match attempts.get(&request.id) {
            _ if request.write => 1.0,
            Some((missed, at_origin)) => f64::from(u8::from(*missed || *at_origin)),
            None if request.result == RequestResult::Rejected => usual,
            None => 0.0,
        };
        by_second[((request.planned_at - terms.zero) / MICROS_PER_SECOND) as usize] += wants;
    }
    by_second
}
