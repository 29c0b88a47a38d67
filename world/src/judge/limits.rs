//! What a limit of the whole fleet was used for, counted where it is used: fetches at the origin.

use std::collections::{HashMap, HashSet, VecDeque};

use super::{fate, Fate, Terms};
use crate::ledger::{At, Attempt, Became, Ended, Ledger};
use crate::summary::{Limit, OriginFigures};
use crate::{Us, SECOND};

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
    let whole = terms.whole.unwrap_or(terms.capacity);
    let (mut near, mut most) = (VecDeque::new(), 0);
    for fetch in &fetches {
        near.push_back(fetch.begun);
        while near.front().is_some_and(|at| at + SECOND <= fetch.begun) {
            near.pop_front();
        }
        most = most.max(near.len());
    }
    let demand = demand(ledger, terms);
    let served: HashSet<u64> = ledger
        .commands
        .iter()
        .filter(|c| c.end == Ended::Served && fate(c, terms) == Fate::Served)
        .map(|c| c.id)
        .collect();
    let second = |at: Us| ((at - terms.zero) / SECOND) as usize;
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
        limit: Limit { whole, bound: terms.bound, peak, r#use: share(used), seconds_over: over },
    }
}

/// What was wanted of the origin in each second: writes asked for, reads that missed at a host, and of the commands
/// that were refused before anybody was asked the part that usually misses.
pub fn demand(ledger: &Ledger, terms: &Terms) -> Vec<f64> {
    let mut by_second = vec![0.0; ((terms.end - terms.zero).div_ceil(SECOND)) as usize];
    let mut attempts: HashMap<u64, (bool, bool)> = HashMap::new();
    for attempt in &ledger.attempts {
        let (missed, at_origin) = attempts.entry(attempt.id).or_default();
        *missed |= attempt.became == Became::Miss;
        *at_origin |= attempt.at == At::Origin;
    }
    let reads = |of: &dyn Fn(&(bool, bool)) -> bool| {
        let reads = ledger.commands.iter().filter(|c| !c.write);
        reads.filter_map(|c| attempts.get(&c.id)).filter(|a| of(a)).count() as f64
    };
    let usual = reads(&|(missed, at_origin)| *missed || *at_origin) / reads(&|_| true).max(1.0);
    for command in ledger.commands.iter().filter(|c| terms.counts(c.planned)) {
        let wants = match attempts.get(&command.id) {
            _ if command.write => 1.0,
            Some((missed, at_origin)) => f64::from(u8::from(*missed || *at_origin)),
            None if command.end == Ended::Refused => usual,
            None => 0.0,
        };
        by_second[((command.planned - terms.zero) / SECOND) as usize] += wants;
    }
    by_second
}

#[cfg(test)]
mod tests {
    use super::super::hand::{attempt, served, terms, Hand};
    use super::*;
    use crate::ledger::Command;

    /// In the second from 10 s on, so many fetches, evenly.
    fn hand(fetches: usize, served_of_them: usize) -> Hand {
        let mut hand = Hand::default();
        for n in 0..fetches {
            let at = 10.0 + n as f64 / fetches as f64;
            let end = if n < served_of_them { Ended::Served } else { Ended::Failed };
            let id = hand.command(Command { end, ..served(at) });
            hand.ledger.attempts.push(attempt(id, At::Origin, at));
        }
        hand
    }

    #[test]
    fn the_peak_is_the_most_in_any_second() {
        let mut hand = hand(10, 10);
        let at_it = origin(&hand.ledger, &terms());
        assert_eq!((at_it.limit.peak, at_it.limit.seconds_over, at_it.limit.r#use), (1.0, 0, None));
        // One more, half a second into the next: no second of the clock has more, a second in between has.
        hand.ledger.attempts.push(attempt(99, At::Origin, 10.95));
        let over = origin(&hand.ledger, &terms());
        assert_eq!((over.limit.peak, over.limit.seconds_over), (1.1, 1));
        hand.ledger.attempts.last_mut().unwrap().begun = 11_000_000;
        assert_eq!(origin(&hand.ledger, &terms()).limit.peak, 1.0);
    }

    #[test]
    fn use_counts_while_more_was_wanted_than_can_be() {
        let seen = origin(&hand(12, 6).ledger, &terms());
        assert_eq!((seen.limit.r#use, seen.figures.useful), (Some(1.2), Some(0.6)));
        let mut refused = hand(8, 8);
        for _ in 0..4 {
            refused.command(Command { end: Ended::Refused, ..served(10.5) });
        }
        let seen = origin(&refused.ledger, &terms());
        assert_eq!(
            seen.limit.r#use,
            Some(0.8),
            "all reads go to the origin here, those refused would have too"
        );
        assert_eq!(origin(&hand(10, 10).ledger, &terms()).limit.r#use, None, "no more was wanted");
    }
}
