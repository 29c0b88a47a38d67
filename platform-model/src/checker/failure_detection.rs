//! How soon the whole fleet acts on a server that falls silent: from the change to the last send of each balancer that
//! the change should have stopped, what was lost meanwhile, and when the server is used again.

#[cfg(test)]
mod tests;

use std::collections::HashMap;

use super::statistics::percentile;
use super::CheckTerms;
use crate::event_log::{Attempt, AttemptResult, EventLog, ImpairedSpan, Impairment, Receiver};
use crate::summary::FailureDetection;
use crate::{Micros, MICROS_PER_SECOND};

/// A server is avoided once it gets less than this share of its fair part, second for second until it is back.
const AVOIDED_BELOW_SHARE: f64 = 0.1;
/// A server that is back is used again once it gets this share of its fair part in a second.
const USED_AGAIN_SHARE: f64 = 0.5;

/// The figures of all changes that should have stopped sends: servers that fell silent for more than a second.
/// `server_loads` has the attempts of each server in each second, over its fair part.
pub fn failure_detection(
    event_log: &EventLog,
    terms: &CheckTerms,
    server_loads: &[Vec<f64>],
) -> FailureDetection {
    let silences = silences(event_log, terms);
    let loads = ServerLoads { measured_from: terms.measured_from, by_server: server_loads };
    let mut last_sends = last_sends(event_log, &silences);
    let avoided_after = |silence: &&ImpairedSpan| loads.avoided_after(silence, terms);
    let mut avoided: Vec<Micros> = silences.iter().filter_map(avoided_after).collect();
    let used_again_after = |silence: &&ImpairedSpan| loads.used_again_after(silence, terms);
    let mut used_again: Vec<Micros> = silences.iter().filter_map(used_again_after).collect();
    let stated = terms.stated.and_then(|stated| stated.failure_detection);
    FailureDetection {
        bound_ms: stated.map(|stated| millis(stated.reaction_time)),
        spread_p50_ms: percentile_ms(&mut last_sends, 0.5),
        spread_p99_ms: percentile_ms(&mut last_sends, 0.99),
        stale_bound_ms: stated.map(|stated| millis(stated.report_expiry)),
        stale_max_ms: None,
        wrongly_avoided: 0,
        lost_sends: lost_sends(event_log, terms),
        avoided_ms: percentile_ms(&mut avoided, 1.0),
        used_again_ms: percentile_ms(&mut used_again, 1.0),
    }
}

/// The measured silences of servers that last longer than a second.
fn silences<'a>(event_log: &'a EventLog, terms: &CheckTerms) -> Vec<&'a ImpairedSpan> {
    let counts = |span: &&ImpairedSpan| {
        span.impairment == Impairment::Silent
            && terms.is_measured(span.from)
            && span.to.is_none_or(|to| to > span.from + MICROS_PER_SECOND)
    };
    event_log.server_impairments.iter().filter(counts).collect()
}

/// For each silence and each balancer that sent to the server meanwhile, the time from the change to its last send.
fn last_sends(event_log: &EventLog, silences: &[&ImpairedSpan]) -> Vec<Micros> {
    let mut last: HashMap<(usize, u32), Micros> = HashMap::new();
    for attempt in &event_log.attempts {
        for (number, silence) in silences.iter().enumerate() {
            if is_sent_during(attempt, silence) {
                last.insert((number, attempt.balancer), attempt.received_at - silence.from);
            }
        }
    }
    last.into_values().collect()
}

fn is_sent_during(attempt: &Attempt, silence: &ImpairedSpan) -> bool {
    attempt.receiver == Receiver::CacheServer(silence.number)
        && attempt.received_at > silence.from
        && silence.to.is_none_or(|to| attempt.received_at < to)
}

/// Measured attempts that no server answered, or that a cut link swallowed.
fn lost_sends(event_log: &EventLog, terms: &CheckTerms) -> u64 {
    let measured = |attempt: &&Attempt| terms.is_measured(attempt.received_at);
    let unanswered = event_log
        .attempts
        .iter()
        .filter(|attempt| attempt.receiver != Receiver::Origin && attempt.result == AttemptResult::NoAnswer);
    let lost = event_log.undelivered.iter().filter(measured).count() + unanswered.filter(measured).count();
    lost as u64
}

fn millis(micros: Micros) -> f64 {
    micros as f64 / 1e3
}

fn percentile_ms(values: &mut [Micros], share: f64) -> Option<f64> {
    (!values.is_empty()).then(|| millis(percentile(values, share)))
}

/// The attempts of each server in each measured second, over its fair part.
struct ServerLoads<'a> {
    measured_from: Micros,
    by_server: &'a [Vec<f64>],
}

impl ServerLoads<'_> {
    /// How long after the change the server is avoided for good, to a second; never counts as the whole silence.
    fn avoided_after(&self, silence: &ImpairedSpan, terms: &CheckTerms) -> Option<Micros> {
        let end = silence.to.unwrap_or(terms.measured_until).min(terms.measured_until);
        let first = (silence.from - self.measured_from).div_ceil(MICROS_PER_SECOND) as usize;
        let last = ((end - self.measured_from) / MICROS_PER_SECOND) as usize;
        let loads = self.by_server.get(silence.number as usize)?.get(first..last)?;
        let seconds_used = loads.iter().rposition(|load| *load >= AVOIDED_BELOW_SHARE).map_or(0, |at| at + 1);
        Some(seconds_used as Micros * MICROS_PER_SECOND)
    }

    /// How long after its return the server is used again; never counts as until the end.
    fn used_again_after(&self, silence: &ImpairedSpan, terms: &CheckTerms) -> Option<Micros> {
        let back_at = silence.to?;
        let first = back_at.checked_sub(self.measured_from)?.div_ceil(MICROS_PER_SECOND) as usize;
        let loads = self.by_server.get(silence.number as usize)?.get(first..)?;
        let used_at = loads.iter().position(|load| *load >= USED_AGAIN_SHARE);
        let until_end = terms.measured_until.saturating_sub(back_at);
        Some(used_at.map_or(until_end, |second| (second as Micros + 1) * MICROS_PER_SECOND))
    }
}
