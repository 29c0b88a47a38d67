//! The four rules: a final answer in time, limits on attempts, drains, and servers in slow start. Each violation
//! contains the trace of its request.

#[cfg(test)]
mod tests;

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use super::{CheckConfig, Idempotency};
use crate::event_log::{
    Attempt, ClientRequest, EndpointNotice, EventLog, Impairment, Receiver, RequestResult,
};
use crate::{Micros, MICROS_PER_SECOND};

/// A rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Rule {
    /// Each accepted request gets exactly one final answer, produced for it and before its deadline.
    Answers,
    /// A request has at most three attempts, and is retried only as its class allows.
    Attempts,
    /// A balancer sends no new attempts to a server after it was notified that the server drains or is gone.
    Drains,
    /// No server collapses in slow start, and misses of servers in slow start do not stop the origin.
    Cold,
}

/// A violation, as stored in `breaches.json`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Violation {
    /// The rule.
    pub rule: Rule,
    /// Time of the violation, from the start of the run.
    pub at: Micros,
    /// Description of the violation.
    #[serde(rename = "what")]
    pub description: String,
    /// Trace of the request, line by line; empty if the violation concerns no request.
    #[serde(rename = "story")]
    pub request_trace: Vec<String>,
}

/// A stop of the origin violates the rule if at least this share of the requests before it were misses of servers in
/// slow start.
const MIN_SLOW_START_MISS_SHARE: f64 = 0.5;

/// Balancers may reject the connection of one request in this many; further rejections violate the rule on answers.
const REQUESTS_PER_REJECTED_CONNECTION: usize = 200;

/// Finds all violations: those of requests in the order of the log, then those of drains, then those of slow start.
pub fn find_violations(event_log: &EventLog, config: &CheckConfig) -> Vec<Violation> {
    let run = Run {
        event_log,
        config,
        attempts: by_id(&event_log.attempts, |attempt| attempt.id),
        requests: by_id(&event_log.requests, |request| request.id),
    };
    let mut violations = run.request_violations();
    violations.extend(run.drain_violations());
    violations.extend(run.slow_start_violations());
    violations
}

fn by_id<T>(entries: &[T], id: impl Fn(&T) -> u64) -> HashMap<u64, Vec<&T>> {
    let mut by_id: HashMap<u64, Vec<&T>> = HashMap::new();
    for entry in entries {
        by_id.entry(id(entry)).or_default().push(entry);
    }
    by_id
}

/// Time and description of a violation. The descriptions in this file are stored in `breaches.json`; their wording
/// therefore stays the same.
type Finding = (Micros, String);

/// A run under check.
struct Run<'a> {
    event_log: &'a EventLog,
    config: &'a CheckConfig,
    /// The attempts of each request, by its id.
    attempts: HashMap<u64, Vec<&'a Attempt>>,
    /// Requests by their ids.
    requests: HashMap<u64, Vec<&'a ClientRequest>>,
}

impl<'a> Run<'a> {
    fn attempts_of(&self, request: u64) -> &[&'a Attempt] {
        self.attempts.get(&request).map_or(&[][..], Vec::as_slice)
    }

    fn request_violations(&self) -> Vec<Violation> {
        let mut remaining_rejections = self.event_log.requests.len() / REQUESTS_PER_REJECTED_CONNECTION;
        let mut violations = Vec::new();
        for request in &self.event_log.requests {
            if request.result == RequestResult::ConnectionRejected && remaining_rejections > 0 {
                remaining_rejections -= 1;
                continue;
            }
            let attempts = self.attempts_of(request.id);
            let answer = self.check_answer(request, attempts).map(|finding| (Rule::Answers, finding));
            let retry =
                check_attempts(self.config, request, attempts).map(|finding| (Rule::Attempts, finding));
            for (rule, (at, description)) in [answer, retry].into_iter().flatten() {
                let request_trace = request_trace(self.config, request, attempts);
                violations.push(Violation { rule, at, description, request_trace });
            }
        }
        violations
    }

    /// Checks for exactly one final answer, produced for the request and in time.
    fn check_answer(&self, request: &ClientRequest, attempts: &[&Attempt]) -> Option<Finding> {
        if request.result == RequestResult::WrongValue {
            // A balancer cannot detect a byte that a link corrupted within a value.
            let is_corrupted = attempts.iter().any(|attempt| attempt.corrupted);
            let finding = (request.ended_at?, "it was served with what nobody made for it".into());
            return (!is_corrupted).then_some(finding);
        }
        if request.extra_lines > 0 {
            let description = format!("{} more lines came behind its answer", request.extra_lines);
            return Some((request.ended_at?, description));
        }
        if self.is_excused(request) {
            return None;
        }
        let latest = request.deadline + self.config.tolerance;
        match request.result {
            RequestResult::NoAnswer => Some((latest, "it was taken and had no final answer".into())),
            RequestResult::ConnectionClosed => {
                Some((request.ended_at?, "its connection ended without a whole answer".into()))
            }
            RequestResult::ConnectionRejected => Some((
                request.ended_at?,
                format!(
                    "it was shut out at the door, beyond one command in {REQUESTS_PER_REJECTED_CONNECTION}"
                ),
            )),
            RequestResult::Served | RequestResult::Rejected | RequestResult::Failed => {
                self.check_deadline(request, latest)
            }
            RequestResult::WrongValue | RequestResult::NotAccepted | RequestResult::ClientLeft => None,
        }
    }

    /// Whether the balancer's process was killed or frozen by a fault at any time while the request was open. Such a
    /// request counts as lost, but does not violate the rule on answers.
    fn is_excused(&self, request: &ClientRequest) -> bool {
        let latest = request.deadline + self.config.tolerance;
        self.event_log
            .process_impairments
            .iter()
            .filter(|span| span.impairment != Impairment::ShutDown)
            .any(|span| span.number == request.balancer && span.overlaps(request.sent_at, latest))
    }

    /// Upper bound of the time for which the balancer's process was stalled while the request was open.
    fn stalled_time(&self, request: &ClientRequest, until: Micros) -> Micros {
        let stalls = self.event_log.process_stalls.iter();
        let overlapping = stalls.filter(|stall| {
            stall.balancer == request.balancer && stall.from <= until && stall.to >= request.sent_at
        });
        overlapping.map(|stall| stall.to - stall.from).sum()
    }

    fn check_deadline(&self, request: &ClientRequest, latest: Micros) -> Option<Finding> {
        let ended_at = request.ended_at?;
        // An answer may be later by the longest delay of the testbed itself that was recorded from a second before the
        // request to a second after its deadline.
        let is_near = |stall: &&(Micros, Micros)| {
            stall.0 + MICROS_PER_SECOND >= request.sent_at && stall.0 <= latest + MICROS_PER_SECOND
        };
        let stalls = self.event_log.testbed_stalls.iter().filter(is_near);
        let testbed_stall = stalls.map(|(_, delay)| *delay).max().unwrap_or(0);
        let stall = testbed_stall + self.stalled_time(request, latest);
        let late = ended_at.checked_sub(latest + stall).filter(|late| *late > 0)?;
        let late_ms = (late + stall) as f64 / 1e3;
        Some((ended_at, format!("its answer came {late_ms:.0} ms after its deadline")))
    }

    /// Finds attempts begun at a server after the grace period that follows the notice of its drain or end to the
    /// balancer.
    fn drain_violations(&self) -> Vec<Violation> {
        let mut notices: HashMap<(u32, u32), Vec<&EndpointNotice>> = HashMap::new();
        for notice in &self.event_log.endpoint_notices {
            notices.entry((notice.balancer, notice.server)).or_default().push(notice);
        }
        let mut violations = Vec::new();
        for attempt in &self.event_log.attempts {
            let Receiver::CacheServer(server) = attempt.receiver else { continue };
            let Some(notices) = notices.get(&(attempt.balancer, server)) else { continue };
            let Some(since) = self.drain_notified_at(attempt, notices) else { continue };
            if attempt.first_byte_at > since + self.config.drain_grace + self.config.tolerance {
                violations.push(self.drain_violation(attempt, server, since));
            }
        }
        violations
    }

    /// Time at which the balancer was notified of the drain in effect when it began this attempt; `None` without such
    /// a drain.
    fn drain_notified_at(&self, attempt: &Attempt, notices: &[&EndpointNotice]) -> Option<Micros> {
        let known_since = self.process_started_at(attempt.balancer, attempt.first_byte_at);
        let mut since = None;
        for notice in notices {
            if notice.at < known_since || notice.at > attempt.first_byte_at {
                continue;
            }
            since = if notice.in_service { None } else { since.or(Some(notice.at)) };
        }
        since
    }

    /// Start time of the balancer's process that ran at this time; the process knows only the notices since then.
    fn process_started_at(&self, balancer: u32, time: Micros) -> Micros {
        let starts = self.event_log.process_starts.iter();
        let starts_of_balancer = starts.filter(|start| start.balancer == balancer && start.at <= time);
        starts_of_balancer.map(|start| start.at).max().unwrap_or(0)
    }

    /// The request of an attempt: the last one with its id that was sent before the attempt was received.
    fn request_of(&self, attempt: &Attempt) -> Option<&'a ClientRequest> {
        let requests = self.requests.get(&attempt.id)?.iter().copied();
        requests
            .filter(|request| request.sent_at <= attempt.received_at)
            .max_by_key(|request| request.sent_at)
    }

    fn drain_violation(&self, attempt: &Attempt, server: u32, since: Micros) -> Violation {
        let late_ms = (attempt.first_byte_at - since) as f64 / 1e3;
        let trace = |request| request_trace(self.config, request, self.attempts_of(attempt.id));
        Violation {
            rule: Rule::Drains,
            at: attempt.first_byte_at,
            description: format!(
                "balancer {} sent to host {server} {late_ms:.0} ms after its drain was told",
                attempt.balancer
            ),
            request_trace: self.request_of(attempt).map(trace).unwrap_or_default(),
        }
    }

    /// Finds collapses of servers in slow start, and stops of the origin caused by the misses of such servers.
    fn slow_start_violations(&self) -> Vec<Violation> {
        let violation =
            |at, description| Violation { rule: Rule::Cold, at, description, request_trace: Vec::new() };
        let collapses = self.event_log.server_collapses.iter().map(|(server, at)| {
            let description = format!("host {server} was cold and was pushed over by all balancers together");
            violation(*at, description)
        });
        let stops =
            self.event_log.origin_stops.iter().filter(|(_, share)| *share >= MIN_SLOW_START_MISS_SHARE);
        let stops = stops.map(|(at, share)| {
            let percent = share * 100.0;
            let description =
                format!("the origin stopped, {percent:.0}% of what it was sent were cold hosts' misses");
            violation(*at, description)
        });
        collapses.chain(stops).collect()
    }
}

/// Checks the number of attempts, and that the request was retried only as its class allows.
fn check_attempts(config: &CheckConfig, request: &ClientRequest, attempts: &[&Attempt]) -> Option<Finding> {
    if let Some(excess) = attempts.get(config.max_attempts) {
        return Some((excess.received_at, format!("{} attempts", attempts.len())));
    }
    let first_executed = attempts.iter().position(|attempt| attempt.may_have_executed())?;
    let next = attempts.get(first_executed + 1)?;
    match config.class(request.write).idempotency {
        Idempotency::Idempotent => None,
        Idempotency::WithIdempotencyKey(window) => {
            let last = attempts.last()?;
            let until = attempts[first_executed].received_at + window + config.tolerance;
            (last.received_at > until)
                .then(|| (last.received_at, "it was sent again after its key's window".into()))
        }
        Idempotency::NotIdempotent => {
            Some((next.received_at, "it was sent again though it may have run".into()))
        }
    }
}

/// The trace of a request, line by line, with times in seconds from the experiment's beginning.
pub fn request_trace(config: &CheckConfig, request: &ClientRequest, attempts: &[&Attempt]) -> Vec<String> {
    let mut lines = vec![(request.sent_at, sent_line(config, request))];
    for attempt in attempts {
        let slow_start = if attempt.in_slow_start { ", cold" } else { "" };
        lines.push((attempt.received_at, format!("received by {}{slow_start}", attempt.receiver)));
        let answer = |at| (at, format!("{} answers: {}", attempt.receiver, attempt.result));
        lines.extend(attempt.answered_at.map(answer));
    }
    lines.extend(request.ended_at.map(|at| (at, format!("its client sees: {}", request.result))));
    lines.push((request.deadline, "its deadline".into()));
    lines.sort_by_key(|(at, _)| *at);
    let seconds = |at: Micros| (at as f64 - config.measured_from as f64) / 1e6;
    lines.into_iter().map(|(at, line)| format!("{:9.3} s  {line}", seconds(at))).collect()
}

fn sent_line(config: &CheckConfig, request: &ClientRequest) -> String {
    format!(
        "{:016x}: {} of key {} sent to balancer {}, wanted within {:.0} ms{}",
        request.id,
        config.class(request.write).name,
        request.key,
        request.balancer,
        (request.deadline - request.sent_at) as f64 / 1e3,
        if request.is_first() { "" } else { ", a client's retry" }
    )
}
