//! What processes said of themselves once a second, held against what was true: the only figures that rest on it are those that
//! nobody else can see, who they think is there and which servers they pass by on others' word.

#[cfg(test)]
mod tests;

use std::collections::BTreeMap;

use super::Terms;
use crate::event_log::{EventLog, Impairment};
use crate::{Micros, MICROS_PER_SECOND};

/// What one process said.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Holder {
    /// When.
    pub at: Micros,
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

/// Holds what was said against the event log. `cut` tells that links between balancers had a fault.
pub fn told(event_log: &EventLog, terms: &Terms, holders: &[Holder], cut: bool) -> Told {
    let expiry = terms.stated.and_then(|stated| stated.verdicts).map_or(0, |(_, expiry)| expiry);
    let holders: Vec<&Holder> = holders.iter().filter(|one| terms.counts(one.at)).collect();
    let unwell = |at: Micros| {
        let near =
            event_log.server_impairments.iter().filter(|span| span.overlaps(at.saturating_sub(expiry), at));
        near.map(|span| span.number).collect::<std::collections::HashSet<_>>().len() as f64
    };
    let beyond = |one: &&Holder| (one.passed_by - unwell(one.at)).max(0.0) as u64;
    let oldest = holders.iter().map(|one| one.oldest * 1e3).fold(0.0, f64::max);
    let frozen = event_log.process_impairments.iter().any(|span| span.impairment == Impairment::Frozen);
    Told {
        members_wrong_s: (!cut && !frozen && !holders.is_empty())
            .then(|| wrong_for(event_log, terms, &holders)),
        wrong: holders.iter().map(beyond).sum(),
        oldest_ms: (oldest > 0.0).then_some(oldest),
    }
}

/// The longest stretch of wrong counts of one process, from the first of them to the first right one after.
fn wrong_for(event_log: &EventLog, terms: &Terms, holders: &[&Holder]) -> f64 {
    let mut since: BTreeMap<usize, Micros> = BTreeMap::new();
    let mut longest = 0;
    for one in holders {
        let dead = |span: &&crate::event_log::ImpairedSpan| {
            span.impairment == Impairment::Dead && span.overlaps(one.at, one.at)
        };
        let there =
            terms.balancers - event_log.process_impairments.iter().filter(dead).count().min(terms.balancers);
        if one.members == there as f64 {
            if let Some(since) = since.remove(&one.balancer) {
                longest = longest.max(one.at - since);
            }
        } else {
            let since = since.entry(one.balancer).or_insert(one.at);
            longest = longest.max(one.at - *since);
        }
    }
    longest as f64 / MICROS_PER_SECOND as f64
}
