//! How soon the whole fleet acts on a server that stops answering: the time from the start of the silence to each
//! balancer's last attempt at the server, the attempts lost in between, and the time until the server is used again.

#[cfg(test)]
mod tests;

use std::collections::HashMap;

use super::statistics::percentile;
use super::CheckConfig;
use crate::event_log::{Attempt, AttemptResult, EventLog, ImpairedSpan, Impairment, Receiver};
use crate::summary::FailureDetection;
use crate::{Micros, MICROS_PER_SECOND};

/// A server counts as avoided once it receives less than this ratio of its fair share in every second until the end of
/// its silence.
const AVOIDED_BELOW_LOAD_RATIO: f64 = 0.1;
/// A server that answers again counts as used again once it receives this ratio of its fair share in a second.
const USED_AGAIN_MIN_LOAD_RATIO: f64 = 0.5;

/// Computes the figures over all servers that were silent for more than a second. `server_loads` holds the attempts
/// at each server in each second, divided by its fair share.
pub fn failure_detection(
    event_log: &EventLog,
    config: &CheckConfig,
    server_loads: &[Vec<f64>],
) -> FailureDetection {
    let silences = silences(event_log, config);
    let loads = ServerLoads { measured_from: config.measured_from, by_server: server_loads };
    let mut last_attempt_delays = last_attempt_delays(event_log, &silences);
    let avoided_after = |silence: &&ImpairedSpan| loads.avoided_after(silence, config);
    let mut avoided: Vec<Micros> = silences.iter().filter_map(avoided_after).collect();
    let used_again_after = |silence: &&ImpairedSpan| loads.used_again_after(silence, config);
    let mut used_again: Vec<Micros> = silences.iter().filter_map(used_again_after).collect();
    let bounds = config.stated.and_then(|stated_bounds| stated_bounds.failure_detection);
    FailureDetection {
        bound_ms: bounds.map(|bounds| millis(bounds.reaction_time)),
        spread_p50_ms: percentile_ms(&mut last_attempt_delays, 0.5),
        spread_p99_ms: percentile_ms(&mut last_attempt_delays, 0.99),
        stale_bound_ms: bounds.map(|bounds| millis(bounds.report_expiry)),
        stale_max_ms: None,
        wrongly_avoided: 0,
        lost_sends: count_lost_attempts(event_log, config),
        avoided_ms: percentile_ms(&mut avoided, 1.0),
        used_again_ms: percentile_ms(&mut used_again, 1.0),
    }
}

/// The silences that began in the measured time and lasted longer than a second, of all servers.
fn silences<'a>(event_log: &'a EventLog, config: &CheckConfig) -> Vec<&'a ImpairedSpan> {
    let is_relevant = |span: &&ImpairedSpan| {
        span.impairment == Impairment::Silent
            && config.is_measured(span.from)
            && span.to.is_none_or(|to| to > span.from + MICROS_PER_SECOND)
    };
    event_log.server_impairments.iter().filter(is_relevant).collect()
}

/// For each silence, and each balancer that sent attempts to the server in that time, the time from the start of the
/// silence to the balancer's last attempt.
fn last_attempt_delays(event_log: &EventLog, silences: &[&ImpairedSpan]) -> Vec<Micros> {
    let mut last_delays: HashMap<(usize, u32), Micros> = HashMap::new();
    for attempt in &event_log.attempts {
        for (silence_index, silence) in silences.iter().enumerate() {
            if is_received_during(attempt, silence) {
                last_delays.insert((silence_index, attempt.balancer), attempt.received_at - silence.from);
            }
        }
    }
    last_delays.into_values().collect()
}

fn is_received_during(attempt: &Attempt, silence: &ImpairedSpan) -> bool {
    attempt.receiver == Receiver::CacheServer(silence.number)
        && attempt.received_at > silence.from
        && silence.to.is_none_or(|to| attempt.received_at < to)
}

/// The number of measured attempts that a server did not answer or a cut link did not deliver.
fn count_lost_attempts(event_log: &EventLog, config: &CheckConfig) -> u64 {
    let measured = |attempt: &&Attempt| config.is_measured(attempt.received_at);
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

/// The attempts at each server in each measured second, divided by its fair share.
struct ServerLoads<'a> {
    measured_from: Micros,
    by_server: &'a [Vec<f64>],
}

impl ServerLoads<'_> {
    /// Time from the start of the silence until the server is avoided for the rest of the silence, as a number of full
    /// seconds; all full seconds of the silence if that never happens. Seconds that lie only partly in the silence are
    /// not counted.
    fn avoided_after(&self, silence: &ImpairedSpan, config: &CheckConfig) -> Option<Micros> {
        let end = silence.to.unwrap_or(config.measured_until).min(config.measured_until);
        let first = (silence.from - self.measured_from).div_ceil(MICROS_PER_SECOND) as usize;
        let last = ((end - self.measured_from) / MICROS_PER_SECOND) as usize;
        let loads = self.by_server.get(silence.number as usize)?.get(first..last)?;
        let seconds_used =
            loads.iter().rposition(|load| *load >= AVOIDED_BELOW_LOAD_RATIO).map_or(0, |at| at + 1);
        Some(seconds_used as Micros * MICROS_PER_SECOND)
    }

    /// Time from the end of the silence until the server is used again; the remaining measured time if that never
    /// happens.
    fn used_again_after(&self, silence: &ImpairedSpan, config: &CheckConfig) -> Option<Micros> {
        let returned_at = silence.to?;
        let first = returned_at.checked_sub(self.measured_from)?.div_ceil(MICROS_PER_SECOND) as usize;
        let loads = self.by_server.get(silence.number as usize)?.get(first..)?;
        let used_at = loads.iter().position(|load| *load >= USED_AGAIN_MIN_LOAD_RATIO);
        let until_end = config.measured_until.saturating_sub(returned_at);
        Some(used_at.map_or(until_end, |second| (second as Micros + 1) * MICROS_PER_SECOND))
    }
}
