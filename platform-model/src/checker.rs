//! The judge: reads a run's event log and counts every breach of the four rules, and the fleet's figures.
//!
//! Nothing here trusts what a balancer says of itself: what a limit used is counted at the origin and at the servers,
//! what was lost at the clients.

#[cfg(test)]
mod tests;

pub mod failure_detection;
pub mod limits;
pub mod rules;
pub mod self_reports;
pub mod series;
pub mod spread;

#[cfg(test)]
pub(crate) mod test_log;

use std::collections::HashMap;

use crate::event_log::{ClientRequest, EventLog, RequestResult};
use crate::experiment::{CacheServers, Experiment};
use crate::summary::{Latency, Summary};
use crate::{micros_from_seconds, Micros, MICROS_PER_SECOND};

/// Whether a request may run again once it may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// As often as one likes.
    Safe,
    /// With its idempotency key, for so long after the first attempt that may have run.
    Keyed(Micros),
    /// Never.
    Unsafe,
}

/// A class of request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Class {
    /// Its name on the wire.
    pub name: &'static str,
    /// An answer within this time earns its worth.
    pub aim: Micros,
    /// The longest that a client waits, over all its tries.
    pub deadline: Micros,
    /// What one is worth.
    pub worth: f64,
    /// Whether it may run again.
    pub effect: Effect,
}

/// What the judge goes by.
#[derive(Clone, Debug, PartialEq)]
pub struct Terms {
    /// The experiment's beginning: what comes before only fills the caches.
    pub zero: Micros,
    /// The end of the load.
    pub end: Micros,
    /// Reads and writes.
    pub classes: [Class; 2],
    /// The most attempts of a request.
    pub attempts: usize,
    /// Sends to a server end so soon after its drain was told.
    pub drain_grace: Micros,
    /// By so much each time limit grows.
    pub slack: Micros,
    /// The servers' weights.
    pub weights: Vec<f64>,
    /// Fetches a second at the origin.
    pub capacity: f64,
    /// The servers' figures.
    pub servers: CacheServers,
    /// What the program states, by the operators' file; nothing without talk.
    pub stated: Option<Stated>,
    /// Processes of the program.
    pub balancers: usize,
    /// From it follow the fair draws.
    pub seed: u64,
}

impl Terms {
    /// The terms of an experiment.
    pub fn of(e: &Experiment) -> Terms {
        let zero = micros_from_seconds(e.load.warm);
        let class = |name, aim, deadline, worth, effect| Class { name, aim, deadline, worth, effect };
        Terms {
            zero,
            end: zero + micros_from_seconds(e.seconds),
            classes: [
                class("read", 750_000, 1_500_000, 1.0, Effect::Safe),
                class("put", 1_200_000, 3_000_000, 10.0, Effect::Keyed(6 * MICROS_PER_SECOND)),
            ],
            attempts: 3,
            drain_grace: MICROS_PER_SECOND / 2,
            slack: 50_000,
            weights: (0..e.fleet.servers).map(|n| e.fleet.weights[n % e.fleet.weights.len()]).collect(),
            capacity: e.origin.capacity,
            servers: e.servers,
            stated: None,
            balancers: e.fleet.balancers,
            seed: e.seed,
        }
    }

    /// The class of reads or of writes.
    pub fn class(&self, write: bool) -> &Class {
        &self.classes[usize::from(write)]
    }

    /// Whether this time counts.
    pub fn counts(&self, at: Micros) -> bool {
        (self.zero..self.end).contains(&at)
    }
}

/// What the program states of what its balancers share.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Stated {
    /// The whole of the limit `origin`, a second.
    pub origin: f64,
    /// By how much requests may differ in the time that they take to a server or the origin.
    pub spread: Micros,
    /// Sends a second that a warm server bears, where sends to cold ones are limited.
    pub cold: Option<f64>,
    /// Second tries for each first try, and how many may be saved up in all.
    pub second: Option<(f64, f64)>,
    /// Verdicts: within which time all connected act on a change, and how long a word acts.
    pub verdicts: Option<(Micros, Micros)>,
}

impl Stated {
    /// The most in any second as a multiple of what is limited to so much a second.
    pub fn bound(&self) -> f64 {
        1.0 + self.spread as f64 / MICROS_PER_SECOND as f64
    }
}

/// What the judge finds.
#[derive(Clone, Debug)]
pub struct Verdict {
    /// The figures.
    pub summary: Summary,
    /// Each breach of a rule, with its story.
    pub breaches: Vec<rules::Breach>,
    /// The figures over time.
    pub series: series::Series,
}

/// Judges a run. What the processes and the machine cost is filled in by the caller.
pub fn check_run(event_log: &EventLog, terms: &Terms) -> Verdict {
    let breaches = rules::breaches(event_log, terms);
    let mut summary = Summary::default();
    let count = |rule| breaches.iter().filter(|b| b.rule == rule).count() as u64;
    summary.rules.answers = count(rules::Rule::Answers);
    summary.rules.attempts = count(rules::Rule::Attempts);
    summary.rules.drains = count(rules::Rule::Drains);
    summary.rules.cold = count(rules::Rule::Cold);
    let mut late: Vec<Micros> = Vec::new();
    let mut latencies: Vec<Micros> = Vec::new();
    for request in event_log.requests.iter().filter(|c| terms.counts(c.planned_at)) {
        summary.requests += 1;
        late.push(request.sent_at.saturating_sub(request.planned_at));
        match fate(request, terms) {
            Fate::Served => {
                summary.served += 1;
                latencies.extend(request.ended_at.map(|at| at - request.sent_at));
            }
            Fate::Refused => summary.refused += 1,
            Fate::Failed => summary.failed += 1,
            Fate::Lost => summary.lost += 1,
        }
    }
    summary.lag_p99_ms = percentile(&mut late, 0.99) as f64 / 1e3;
    summary.latency_ms = Latency {
        p50: percentile(&mut latencies, 0.5) as f64 / 1e3,
        p99: percentile(&mut latencies, 0.99) as f64 / 1e3,
        p999: percentile(&mut latencies, 0.999) as f64 / 1e3,
    };
    summary.service = service(event_log, terms);
    summary.attempts_per_request = event_log.attempts.iter().filter(|a| terms.counts(a.received_at)).count()
        as f64
        / (summary.requests.max(1)) as f64;
    summary.spread = spread::spread(event_log, terms);
    let origin = limits::origin(event_log, terms);
    summary.origin = origin.figures;
    summary.limits.insert("origin".into(), origin.limit);
    summary.limits.insert("cold".into(), limits::cold(event_log, terms));
    summary.limits.insert("second".into(), limits::second(event_log, terms));
    let series = series::series(event_log, terms);
    summary.verdicts = failure_detection::verdicts(event_log, terms, &series.servers);
    Verdict { summary, breaches, series }
}

/// How a request counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    /// Served before its deadline.
    Served,
    /// Refused, or shut out at the door.
    Refused,
    /// Failed, never taken, or its client left.
    Failed,
    /// Taken and never finally answered, or after the deadline.
    Lost,
}

/// How this request counts.
pub fn fate(request: &ClientRequest, terms: &Terms) -> Fate {
    let late = request.ended_at.is_some_and(|at| at > request.deadline + terms.slack);
    match request.result {
        RequestResult::NoAnswer | RequestResult::ConnectionClosed | RequestResult::WrongValue => Fate::Lost,
        RequestResult::Served | RequestResult::Rejected | RequestResult::Failed if late => Fate::Lost,
        RequestResult::Served => Fate::Served,
        RequestResult::Rejected | RequestResult::ConnectionRejected => Fate::Refused,
        RequestResult::Failed | RequestResult::NotAccepted | RequestResult::ClientLeft => Fate::Failed,
    }
}

/// Worth that was served within its aim over worth that was asked for; a client's tries count as one.
fn service(event_log: &EventLog, terms: &Terms) -> f64 {
    let (mut asked, mut served) = (0.0, 0.0);
    let firsts = first_tries(event_log);
    for request in &event_log.requests {
        let Some(first) = firsts.get(&request.first_id).filter(|first| terms.counts(first.planned_at)) else {
            continue;
        };
        let class = terms.class(request.write);
        if request.id == request.first_id {
            asked += class.worth;
        }
        let in_time = request.ended_at.is_some_and(|at| at <= first.sent_at + class.aim + terms.slack);
        if request.result == RequestResult::Served && in_time {
            served += class.worth;
        }
    }
    if asked > 0.0 {
        served / asked
    } else {
        1.0
    }
}

/// The first tries by their ids.
fn first_tries(event_log: &EventLog) -> HashMap<u64, &ClientRequest> {
    event_log.requests.iter().filter(|c| c.id == c.first_id).map(|c| (c.id, c)).collect()
}

/// The value at this part of the sorted whole; 0 where there is none.
pub(crate) fn percentile(values: &mut [Micros], part: f64) -> Micros {
    values.sort_unstable();
    at_part(values, part)
}

/// The same for numbers with a fraction.
pub(crate) fn quantile(values: &mut [f64], part: f64) -> f64 {
    values.sort_unstable_by(f64::total_cmp);
    at_part(values, part)
}

fn at_part<T: Copy + Default>(sorted: &[T], part: f64) -> T {
    let place = ((sorted.len() as f64 * part).ceil() as usize).clamp(1, sorted.len().max(1)) - 1;
    sorted.get(place).copied().unwrap_or_default()
}
