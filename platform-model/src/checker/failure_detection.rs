//! How soon the whole fleet acts on a change at a server: from the change to the last send of each balancer that the
//! change should have stopped, what was lost meanwhile, and when the server is used again.

#[cfg(test)]
mod tests;

use std::collections::HashMap;

use super::{percentile, Terms};
use crate::event_log::{AttemptResult, EventLog, ImpairedSpan, Impairment, Receiver};
use crate::summary::Verdicts;
use crate::{Micros, MICROS_PER_SECOND};

/// A server is avoided once it gets less than this part of its fair part, second for second until it is back.
const AVOIDED: f64 = 0.1;
/// A server that is back is used again once it gets this part of its fair part in a second.
const USED: f64 = 0.5;

/// The figures of all changes that should have stopped sends: servers that fell silent. `rates` has what each server began in
/// each second, over its fair part.
pub fn verdicts(event_log: &EventLog, terms: &Terms, rates: &[Vec<f64>]) -> Verdicts {
    let changes: Vec<&ImpairedSpan> = event_log
        .server_impairments
        .iter()
        .filter(|s| {
            s.impairment == Impairment::Silent
                && terms.counts(s.from)
                && s.to.is_none_or(|to| to > s.from + MICROS_PER_SECOND)
        })
        .collect();
    let mut last: HashMap<(usize, u32), Micros> = HashMap::new();
    let mut lost = event_log.undelivered.iter().filter(|a| terms.counts(a.received_at)).count() as u64;
    for attempt in &event_log.attempts {
        let Receiver::CacheServer(server) = attempt.receiver else { continue };
        lost += u64::from(attempt.result == AttemptResult::NoAnswer && terms.counts(attempt.received_at));
        for (number, change) in changes.iter().enumerate() {
            if change.number == server
                && attempt.received_at > change.from
                && change.to.is_none_or(|to| attempt.received_at < to)
            {
                last.insert((number, attempt.balancer), attempt.received_at - change.from);
            }
        }
    }
    let mut spread: Vec<Micros> = last.into_values().collect();
    let (mut avoided, mut again): (Vec<Micros>, Vec<Micros>) = (Vec::new(), Vec::new());
    let rates = Rates { zero: terms.zero, of: rates };
    for change in &changes {
        let end = change.to.unwrap_or(terms.end).min(terms.end);
        avoided.extend(rates.avoided(change, end));
        again.extend(change.to.and_then(|to| rates.used_again(change.number, to, terms)));
    }
    let ms = |micros: Micros| micros as f64 / 1e3;
    let some =
        |values: &mut Vec<Micros>, part: f64| (!values.is_empty()).then(|| ms(percentile(values, part)));
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
    zero: Micros,
    of: &'a [Vec<f64>],
}

impl Rates<'_> {
    /// How long after the change the server is avoided for good, to a second; never counts as its whole length.
    fn avoided(&self, change: &ImpairedSpan, end: Micros) -> Option<Micros> {
        let (from, to) =
            ((change.from - self.zero).div_ceil(MICROS_PER_SECOND), (end - self.zero) / MICROS_PER_SECOND);
        let seconds = self.of.get(change.number as usize)?.get(from as usize..to as usize)?;
        let used = seconds.iter().rposition(|rate| *rate >= AVOIDED).map_or(0, |place| place + 1);
        Some(used as Micros * MICROS_PER_SECOND)
    }

    /// How long after its return the server is used again; never counts as until the end.
    fn used_again(&self, server: u32, to: Micros, terms: &Terms) -> Option<Micros> {
        let from = to.checked_sub(self.zero)?.div_ceil(MICROS_PER_SECOND) as usize;
        let seconds = self.of.get(server as usize)?.get(from..)?;
        let used = seconds.iter().position(|rate| *rate >= USED);
        Some(used.map_or(terms.end.saturating_sub(to), |place| (place as Micros + 1) * MICROS_PER_SECOND))
    }
}
