//! How soon the whole fleet acts on a change at a server: from the change to the last send of each balancer that the
//! change should have stopped, what was lost meanwhile, and when the server is used again.

use std::collections::HashMap;

use super::{percentile, Terms};
use crate::ledger::{At, Became, Ill, Ledger, Span};
use crate::summary::Verdicts;
use crate::{Us, SECOND};

/// A server is avoided once it gets less than this part of its fair part, second for second until it is back.
const AVOIDED: f64 = 0.1;
/// A server that is back is used again once it gets this part of its fair part in a second.
const USED: f64 = 0.5;

/// The figures of all changes that should have stopped sends: servers that fell silent. `rates` has what each server began in
/// each second, over its fair part.
pub fn verdicts(ledger: &Ledger, terms: &Terms, rates: &[Vec<f64>]) -> Verdicts {
    let changes: Vec<&Span> = ledger
        .servers
        .iter()
        .filter(|s| {
            s.ill == Ill::Silent && terms.counts(s.from) && s.to.is_none_or(|to| to > s.from + SECOND)
        })
        .collect();
    let mut last: HashMap<(usize, u32), Us> = HashMap::new();
    let mut lost = ledger.unheard.iter().filter(|a| terms.counts(a.begun)).count() as u64;
    for attempt in &ledger.attempts {
        let At::CacheServer(server) = attempt.at else { continue };
        lost += u64::from(attempt.became == Became::Nothing && terms.counts(attempt.begun));
        for (number, change) in changes.iter().enumerate() {
            if change.who == server
                && attempt.begun > change.from
                && change.to.is_none_or(|to| attempt.begun < to)
            {
                last.insert((number, attempt.balancer), attempt.begun - change.from);
            }
        }
    }
    let mut spread: Vec<Us> = last.into_values().collect();
    let (mut avoided, mut again): (Vec<Us>, Vec<Us>) = (Vec::new(), Vec::new());
    let rates = Rates { zero: terms.zero, of: rates };
    for change in &changes {
        let end = change.to.unwrap_or(terms.end).min(terms.end);
        avoided.extend(rates.avoided(change, end));
        again.extend(change.to.and_then(|to| rates.used_again(change.who, to, terms)));
    }
    let ms = |us: Us| us as f64 / 1e3;
    let some = |values: &mut Vec<Us>, part: f64| (!values.is_empty()).then(|| ms(percentile(values, part)));
    Verdicts {
        bound_ms: terms.stated.and_then(|stated| stated.verdicts).map(|(act, _)| ms(act)),
        spread_p50_ms: some(&mut spread, 0.5),
        spread_p99_ms: some(&mut spread, 0.99),
        stale_bound_ms: terms.stated.and_then(|stated| stated.verdicts).map(|(_, expiry)| ms(expiry)),
        stale_max_ms: None,
        wrong: 0,
        lost_sends: lost,
        avoided_ms: some(&mut avoided, 1.0),
        used_again_ms: some(&mut again, 1.0),
    }
}

/// What each server began in each second, over its fair part.
struct Rates<'a> {
    zero: Us,
    of: &'a [Vec<f64>],
}

impl Rates<'_> {
    /// How long after the change the server is avoided for good, to a second; never counts as its whole length.
    fn avoided(&self, change: &Span, end: Us) -> Option<Us> {
        let (from, to) = ((change.from - self.zero).div_ceil(SECOND), (end - self.zero) / SECOND);
        let seconds = self.of.get(change.who as usize)?.get(from as usize..to as usize)?;
        let used = seconds.iter().rposition(|rate| *rate >= AVOIDED).map_or(0, |place| place + 1);
        Some(used as Us * SECOND)
    }

    /// How long after its return the server is used again; never counts as until the end.
    fn used_again(&self, server: u32, to: Us, terms: &Terms) -> Option<Us> {
        let from = to.checked_sub(self.zero)?.div_ceil(SECOND) as usize;
        let seconds = self.of.get(server as usize)?.get(from..)?;
        let used = seconds.iter().position(|rate| *rate >= USED);
        Some(used.map_or(terms.end.saturating_sub(to), |place| (place as Us + 1) * SECOND))
    }
}

#[cfg(test)]
mod tests {
    use super::super::hand::{attempt, terms, Hand};
    use super::*;
    use crate::ledger::Attempt;
    use crate::us;

    fn verdicts(ledger: &Ledger, terms: &Terms) -> Verdicts {
        super::verdicts(ledger, terms, &super::super::series::series(ledger, terms).servers)
    }

    /// Server 0 is silent from 10 to 20 s; the others get ten a second each.
    fn hand(at_silent: &[(u32, f64)]) -> Hand {
        let mut hand = Hand::default();
        hand.ledger.servers.push(Span { who: 0, ill: Ill::Silent, from: us(10.0), to: Some(us(20.0)) });
        for n in 0..1200 {
            hand.ledger.attempts.push(attempt(n, At::CacheServer(n as u32 % 4), 5.0 + n as f64 / 40.0));
        }
        hand.ledger
            .attempts
            .retain(|a| a.at != At::CacheServer(0) || !(us(10.0)..us(23.0)).contains(&a.begun));
        for (balancer, at) in at_silent {
            let became = Became::Nothing;
            hand.ledger.attempts.push(Attempt {
                balancer: *balancer,
                became,
                ..attempt(0, At::CacheServer(0), *at)
            });
        }
        hand
    }

    #[test]
    fn the_last_send_of_each_balancer_counts_from_the_change() {
        let seen = verdicts(&hand(&[(1, 10.2), (1, 10.5), (2, 12.0)]).ledger, &terms());
        assert_eq!((seen.spread_p50_ms, seen.spread_p99_ms, seen.lost_sends), (Some(500.0), Some(2000.0), 3));
        let mut cut = hand(&[]);
        cut.ledger.unheard.push(attempt(0, At::CacheServer(1), 12.0));
        assert_eq!(verdicts(&cut.ledger, &terms()).lost_sends, 1, "what a cut link swallowed is lost, too");
        let none = verdicts(&hand(&[]).ledger, &terms());
        assert_eq!((none.spread_p50_ms, none.lost_sends), (None, 0));
    }

    #[test]
    fn a_host_is_avoided_and_used_again_by_its_part() {
        let seen = verdicts(&hand(&[]).ledger, &terms());
        assert_eq!((seen.avoided_ms, seen.used_again_ms), (Some(0.0), Some(4000.0)));
        let sent: Vec<(u32, f64)> = (0..3).map(|n| (1, 12.3 + f64::from(n) / 10.0)).collect();
        assert_eq!(verdicts(&hand(&sent).ledger, &terms()).avoided_ms, Some(3000.0));
        assert_eq!(verdicts(&hand(&sent[..0]).ledger, &terms()).avoided_ms, Some(0.0));
    }
}
