//! The four rules: a final answer in time, attempts, drains, cold servers. Each breach comes with its request's story.

#[cfg(test)]
mod tests;

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use super::{Effect, Terms};
use crate::event_log::{Attempt, ClientRequest, EndpointNotice, EventLog, Impairment, RequestResult};
use crate::{Micros, MICROS_PER_SECOND};

/// A rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Rule {
    /// Each request taken has one final answer before its deadline, made for it.
    Answers,
    /// At most three attempts, and again only as the class allows.
    Attempts,
    /// Nothing new to a server that was told to drain or to be gone.
    Drains,
    /// No cold server pushed over, no origin stopped by cold servers' misses.
    Cold,
}

/// One breach.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Breach {
    /// The rule.
    pub rule: Rule,
    /// When, from the run's beginning.
    pub at: Micros,
    /// What broke it.
    pub what: String,
    /// What happened to the request, line by line.
    pub story: Vec<String>,
}

/// The part of cold servers' misses in what stopped the origin from which on the stop breaks the rule.
const MUCH: f64 = 0.5;

/// A platform's balancers may shut the door on so many of their requests: one in 200. Beyond, these are lost.
const SHUT: usize = 200;

/// All breaches, in the order of the event log.
pub fn breaches(event_log: &EventLog, terms: &Terms) -> Vec<Breach> {
    let mut attempts: HashMap<u64, Vec<&Attempt>> = HashMap::new();
    for attempt in &event_log.attempts {
        attempts.entry(attempt.id).or_default().push(attempt);
    }
    let mut found = Vec::new();
    let mut shut = event_log.requests.len() / SHUT;
    for request in &event_log.requests {
        if request.result == RequestResult::ConnectionRejected && shut > 0 {
            shut -= 1;
            continue;
        }
        let own = attempts.get(&request.id).map_or(&[][..], Vec::as_slice);
        let wrongs = [answer(event_log, terms, request, own), tries(terms, request, own)];
        for (rule, at, what) in wrongs.into_iter().flatten() {
            found.push(Breach { rule, at, what, story: story(terms, request, own) });
        }
    }
    drains(event_log, terms, &attempts, &mut found);
    let plain = |at, what| Breach { rule: Rule::Cold, at, what, story: Vec::new() };
    for (server, at) in &event_log.server_collapses {
        found.push(plain(
            *at,
            format!("host {server} was cold and was pushed over by all balancers together"),
        ));
    }
    for (at, cold) in event_log.origin_stops.iter().filter(|(_, cold)| *cold >= MUCH) {
        found.push(plain(
            *at,
            format!("the origin stopped, {:.0}% of what it was sent were cold hosts' misses", cold * 100.0),
        ));
    }
    found
}

type Wrong = Option<(Rule, Micros, String)>;

/// One final answer, in time, made for the request.
fn answer(event_log: &EventLog, terms: &Terms, request: &ClientRequest, own: &[&Attempt]) -> Wrong {
    let wrong = |at, what: String| Some((Rule::Answers, at, what));
    // A byte that a link spoilt within a value looks like any other to whoever passes it on.
    if request.result == RequestResult::WrongValue && own.iter().any(|attempt| attempt.corrupted) {
        return None;
    }
    if request.result == RequestResult::WrongValue {
        return wrong(request.ended_at?, "it was served with what nobody made for it".into());
    }
    if request.extra_lines > 0 {
        return wrong(
            request.ended_at?,
            format!("{} more lines came behind its answer", request.extra_lines),
        );
    }
    // A process that a fault killed or froze cannot answer: that is told as lost, and breaks no rule.
    let excused = event_log
        .process_impairments
        .iter()
        .any(|s| s.number == request.balancer && s.overlaps(request.sent_at, request.deadline + terms.slack));
    if excused {
        return None;
    }
    // What the rig itself was late by, in the second before, it cannot hold against the program.
    let due = request.deadline + terms.slack;
    let near = |at: &&(Micros, Micros)| {
        at.0 + MICROS_PER_SECOND >= request.sent_at && at.0 <= due + MICROS_PER_SECOND
    };
    let stall = event_log.testbed_stalls.iter().filter(near).map(|(_, by)| *by).max().unwrap_or(0);
    match request.result {
        RequestResult::NoAnswer => wrong(due, "it was taken and had no final answer".into()),
        RequestResult::ConnectionClosed => {
            wrong(request.ended_at?, "its connection ended without a whole answer".into())
        }
        RequestResult::ConnectionRejected => {
            wrong(request.ended_at?, format!("it was shut out at the door, beyond one command in {SHUT}"))
        }
        RequestResult::Served | RequestResult::Rejected | RequestResult::Failed => {
            let late = request.ended_at?.checked_sub(due + stall).filter(|late| *late > 0)?;
            wrong(
                request.ended_at?,
                format!("its answer came {:.0} ms after its deadline", (late + stall) as f64 / 1e3),
            )
        }
        RequestResult::WrongValue | RequestResult::NotAccepted | RequestResult::ClientLeft => None,
    }
}

/// At most so many attempts, and again only as the class allows.
fn tries(terms: &Terms, request: &ClientRequest, own: &[&Attempt]) -> Wrong {
    let wrong = |at, what: String| Some((Rule::Attempts, at, what));
    if let Some(last) = own.get(terms.attempts) {
        return wrong(last.received_at, format!("{} attempts", own.len()));
    }
    let ran = own.iter().position(|attempt| attempt.may_have_executed())?;
    let again = own.get(ran + 1)?;
    match terms.class(request.write).effect {
        Effect::Safe => None,
        Effect::Keyed(window) => {
            let last = own.last()?;
            (last.received_at > own[ran].received_at + window + terms.slack).then(|| {
                (Rule::Attempts, last.received_at, "it was sent again after its key's window".into())
            })
        }
        Effect::Unsafe => wrong(again.received_at, "it was sent again though it may have run".into()),
    }
}

/// Nothing new to a server later than its grace after its drain or end was told.
fn drains(
    event_log: &EventLog,
    terms: &Terms,
    attempts: &HashMap<u64, Vec<&Attempt>>,
    found: &mut Vec<Breach>,
) {
    let mut told: HashMap<(u32, u32), Vec<&EndpointNotice>> = HashMap::new();
    for one in &event_log.notices {
        told.entry((one.balancer, one.server)).or_default().push(one);
    }
    let requests: HashMap<u64, &ClientRequest> = event_log.requests.iter().map(|c| (c.id, c)).collect();
    for attempt in &event_log.attempts {
        let crate::event_log::Receiver::CacheServer(server) = attempt.receiver else { continue };
        let Some(told) = told.get(&(attempt.balancer, server)) else { continue };
        // A process that has started anew knows what was told since its start alone.
        let born = event_log
            .process_impairments
            .iter()
            .filter(|s| s.number == attempt.balancer && s.impairment == Impairment::Dead)
            .filter_map(|s| s.to.filter(|to| *to <= attempt.first_byte_at))
            .max()
            .unwrap_or(0);
        // The drain that held last: told, and no return told since, up to the send.
        let mut since = None;
        for one in told.iter().filter(|one| one.at >= born && one.at <= attempt.first_byte_at) {
            since = if one.in_service { None } else { since.or(Some(one.at)) };
        }
        let Some(since) = since else { continue };
        if attempt.first_byte_at > since + terms.drain_grace + terms.slack {
            let late = (attempt.first_byte_at - since) as f64 / 1e3;
            let what = format!(
                "balancer {} sent to host {server} {late:.0} ms after its drain was told",
                attempt.balancer
            );
            let own = attempts.get(&attempt.id).map_or(&[][..], Vec::as_slice);
            let story =
                requests.get(&attempt.id).map(|request| story(terms, request, own)).unwrap_or_default();
            found.push(Breach { rule: Rule::Drains, at: attempt.first_byte_at, what, story });
        }
    }
}

/// What happened to a request, line by line.
pub fn story(terms: &Terms, request: &ClientRequest, own: &[&Attempt]) -> Vec<String> {
    let second = |at: Micros| (at as f64 - terms.zero as f64) / 1e6;
    let kind = terms.class(request.write).name;
    let mut lines = vec![(
        request.sent_at,
        format!(
            "{:016x}: {kind} of key {} sent to balancer {}, wanted within {:.0} ms{}",
            request.id,
            request.key,
            request.balancer,
            (request.deadline - request.sent_at) as f64 / 1e3,
            if request.first_id == request.id { "" } else { ", a client's retry" }
        ),
    )];
    for attempt in own {
        lines.push((
            attempt.received_at,
            format!("received by {}{}", attempt.receiver, if attempt.in_slow_start { ", cold" } else { "" }),
        ));
        lines.extend(
            attempt.answered_at.map(|at| (at, format!("{} answers: {}", attempt.receiver, attempt.result))),
        );
    }
    lines.extend(request.ended_at.map(|at| (at, format!("its client sees: {}", request.result))));
    lines.push((request.deadline, "its deadline".into()));
    lines.sort_by_key(|(at, _)| *at);
    lines.into_iter().map(|(at, line)| format!("{:9.3} s  {line}", second(at))).collect()
}
