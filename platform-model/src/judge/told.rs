//! What processes said of themselves once a second, held against what was true: the only figures that rest on it are those that
//! nobody else can see, who they think is there and which servers they pass by on others' word.

use std::collections::BTreeMap;

use super::Terms;
use crate::ledger::{Ill, Ledger};
use crate::{Us, SECOND};

/// What one process said.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Holder {
    /// When.
    pub at: Us,
    /// The balancer.
    pub balancer: usize,
    /// Units of the origin's limit that it may use.
    pub held: f64,
    /// Requests begun in the last window.
    pub used: f64,
    /// Members that it thinks are there.
    pub members: f64,
    /// Servers that it passes by on others' word.
    pub passed_by: f64,
    /// The oldest word that it has acted on, in seconds.
    pub oldest: f64,
}

/// What follows from it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Told {
    /// The longest time in which a process that was there was wrong about how many are, in seconds; none where links between
    /// balancers had a fault, so that more than one view is right, or a process was frozen.
    pub members_wrong_s: Option<f64>,
    /// Servers that were passed by beyond those that were unwell then or within a word's time before, summed over what was said.
    pub wrong: u64,
    /// The oldest word that acted, in milliseconds; none where none did.
    pub oldest_ms: Option<f64>,
}

/// Holds what was said against the ledger. `cut` tells that links between balancers had a fault.
pub fn told(ledger: &Ledger, terms: &Terms, holders: &[Holder], cut: bool) -> Told {
    let expiry = terms.stated.and_then(|stated| stated.verdicts).map_or(0, |(_, expiry)| expiry);
    let holders: Vec<&Holder> = holders.iter().filter(|one| terms.counts(one.at)).collect();
    let unwell = |at: Us| {
        let near = ledger.servers.iter().filter(|span| span.meets(at.saturating_sub(expiry), at));
        near.map(|span| span.who).collect::<std::collections::HashSet<_>>().len() as f64
    };
    let beyond = |one: &&Holder| (one.passed_by - unwell(one.at)).max(0.0) as u64;
    let oldest = holders.iter().map(|one| one.oldest * 1e3).fold(0.0, f64::max);
    let frozen = ledger.processes.iter().any(|span| span.ill == Ill::Frozen);
    Told {
        members_wrong_s: (!cut && !frozen && !holders.is_empty()).then(|| wrong_for(ledger, terms, &holders)),
        wrong: holders.iter().map(beyond).sum(),
        oldest_ms: (oldest > 0.0).then_some(oldest),
    }
}

/// The longest stretch of wrong counts of one process, from the first of them to the first right one after.
fn wrong_for(ledger: &Ledger, terms: &Terms, holders: &[&Holder]) -> f64 {
    let mut since: BTreeMap<usize, Us> = BTreeMap::new();
    let mut longest = 0;
    for one in holders {
        let dead = |span: &&crate::ledger::Span| span.ill == Ill::Dead && span.meets(one.at, one.at);
        let there = terms.balancers - ledger.processes.iter().filter(dead).count().min(terms.balancers);
        if one.members == there as f64 {
            if let Some(since) = since.remove(&one.balancer) {
                longest = longest.max(one.at - since);
            }
        } else {
            let since = since.entry(one.balancer).or_insert(one.at);
            longest = longest.max(one.at - *since);
        }
    }
    longest as f64 / SECOND as f64
}

#[cfg(test)]
mod tests {
    use super::super::hand::{terms, Hand};
    use super::super::Stated;
    use super::*;
    use crate::ledger::Span;
    use crate::us;

    fn said(second: f64, balancer: usize, members: f64, passed_by: f64) -> Holder {
        Holder { at: us(second), balancer, members, passed_by, oldest: passed_by, ..Holder::default() }
    }

    #[test]
    fn a_view_is_wrong_until_it_counts_those_that_are_there() {
        let mut hand = Hand::default();
        hand.ledger.processes = vec![Span { who: 3, ill: Ill::Dead, from: us(10.0), to: Some(us(20.0)) }];
        let mut all: Vec<Holder> = (6..30).map(|s| said(f64::from(s), 0, 4.0, 0.0)).collect();
        // It still counts the dead one for 4 s, and counts it again at once.
        all.iter_mut().filter(|one| (us(14.0)..us(20.5)).contains(&one.at)).for_each(|one| one.members = 3.0);
        let seen = told(&hand.ledger, &terms(), &all, false);
        assert_eq!(seen.members_wrong_s, Some(4.0));
        assert_eq!(told(&hand.ledger, &terms(), &all, true).members_wrong_s, None);
        assert_eq!(told(&hand.ledger, &terms(), &[], false).members_wrong_s, None);
    }

    #[test]
    fn hosts_passed_by_beyond_those_that_were_unwell_are_wrong() {
        let mut hand = Hand::default();
        hand.ledger.servers = vec![Span { who: 1, ill: Ill::Silent, from: us(10.0), to: Some(us(15.0)) }];
        let verdicts = Some((SECOND, 6 * SECOND));
        let stated = Stated { origin: 1.0, spread: 0, cold: None, second: None, verdicts };
        let terms = Terms { stated: Some(stated), ..terms() };
        let all = [said(12.0, 0, 4.0, 1.0), said(20.0, 0, 4.0, 1.0)];
        let seen = told(&hand.ledger, &terms, &all, false);
        assert_eq!((seen.wrong, seen.oldest_ms), (0, Some(1000.0)));
        let late = [said(12.0, 0, 4.0, 2.0), said(22.0, 1, 4.0, 1.0)];
        assert_eq!(told(&hand.ledger, &terms, &late, false).wrong, 2);
    }
}
