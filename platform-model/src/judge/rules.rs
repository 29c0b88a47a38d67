//! The four rules: a final answer in time, attempts, drains, cold servers. Each breach comes with its request's story.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use super::{Effect, Terms};
use crate::ledger::{Attempt, ClientRequest, Ended, Ill, Ledger, Told};
use crate::{Us, SECOND};

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
    pub at: Us,
    /// What broke it.
    pub what: String,
    /// What happened to the request, line by line.
    pub story: Vec<String>,
}

/// The part of cold servers' misses in what stopped the origin from which on the stop breaks the rule.
const MUCH: f64 = 0.5;

/// A platform's balancers may shut the door on so many of their requests: one in 200. Beyond, these are lost.
const SHUT: usize = 200;

/// All breaches, in the order of the ledger.
pub fn breaches(ledger: &Ledger, terms: &Terms) -> Vec<Breach> {
    let mut attempts: HashMap<u64, Vec<&Attempt>> = HashMap::new();
    for attempt in &ledger.attempts {
        attempts.entry(attempt.id).or_default().push(attempt);
    }
    let mut found = Vec::new();
    let mut shut = ledger.requests.len() / SHUT;
    for request in &ledger.requests {
        if request.end == Ended::Shut && shut > 0 {
            shut -= 1;
            continue;
        }
        let own = attempts.get(&request.id).map_or(&[][..], Vec::as_slice);
        let wrongs = [answer(ledger, terms, request, own), tries(terms, request, own)];
        for (rule, at, what) in wrongs.into_iter().flatten() {
            found.push(Breach { rule, at, what, story: story(terms, request, own) });
        }
    }
    drains(ledger, terms, &attempts, &mut found);
    let plain = |at, what| Breach { rule: Rule::Cold, at, what, story: Vec::new() };
    for (server, at) in &ledger.falls {
        found.push(plain(
            *at,
            format!("host {server} was cold and was pushed over by all balancers together"),
        ));
    }
    for (at, cold) in ledger.stops.iter().filter(|(_, cold)| *cold >= MUCH) {
        found.push(plain(
            *at,
            format!("the origin stopped, {:.0}% of what it was sent were cold hosts' misses", cold * 100.0),
        ));
    }
    found
}

type Wrong = Option<(Rule, Us, String)>;

/// One final answer, in time, made for the request.
fn answer(ledger: &Ledger, terms: &Terms, request: &ClientRequest, own: &[&Attempt]) -> Wrong {
    let wrong = |at, what: String| Some((Rule::Answers, at, what));
    // A byte that a link spoilt within a value looks like any other to whoever passes it on.
    if request.end == Ended::Wrong && own.iter().any(|attempt| attempt.spoilt) {
        return None;
    }
    if request.end == Ended::Wrong {
        return wrong(request.ended?, "it was served with what nobody made for it".into());
    }
    if request.more > 0 {
        return wrong(request.ended?, format!("{} more lines came behind its answer", request.more));
    }
    // A process that a fault killed or froze cannot answer: that is told as lost, and breaks no rule.
    let excused = ledger
        .processes
        .iter()
        .any(|s| s.who == request.balancer && s.meets(request.sent, request.deadline + terms.slack));
    if excused {
        return None;
    }
    // What the rig itself was late by, in the second before, it cannot hold against the program.
    let due = request.deadline + terms.slack;
    let near = |at: &&(Us, Us)| at.0 + SECOND >= request.sent && at.0 <= due + SECOND;
    let stall = ledger.stalls.iter().filter(near).map(|(_, by)| *by).max().unwrap_or(0);
    match request.end {
        Ended::Silent => wrong(due, "it was taken and had no final answer".into()),
        Ended::Closed => wrong(request.ended?, "its connection ended without a whole answer".into()),
        Ended::Shut => {
            wrong(request.ended?, format!("it was shut out at the door, beyond one command in {SHUT}"))
        }
        Ended::Served | Ended::Refused | Ended::Failed => {
            let late = request.ended?.checked_sub(due + stall).filter(|late| *late > 0)?;
            wrong(
                request.ended?,
                format!("its answer came {:.0} ms after its deadline", (late + stall) as f64 / 1e3),
            )
        }
        Ended::Wrong | Ended::Untaken | Ended::Left => None,
    }
}

/// At most so many attempts, and again only as the class allows.
fn tries(terms: &Terms, request: &ClientRequest, own: &[&Attempt]) -> Wrong {
    let wrong = |at, what: String| Some((Rule::Attempts, at, what));
    if let Some(last) = own.get(terms.attempts) {
        return wrong(last.begun, format!("{} attempts", own.len()));
    }
    let ran = own.iter().position(|attempt| attempt.may_have_run())?;
    let again = own.get(ran + 1)?;
    match terms.class(request.write).effect {
        Effect::Safe => None,
        Effect::Keyed(window) => {
            let last = own.last()?;
            (last.begun > own[ran].begun + window + terms.slack)
                .then(|| (Rule::Attempts, last.begun, "it was sent again after its key's window".into()))
        }
        Effect::Unsafe => wrong(again.begun, "it was sent again though it may have run".into()),
    }
}

/// Nothing new to a server later than its grace after its drain or end was told.
fn drains(ledger: &Ledger, terms: &Terms, attempts: &HashMap<u64, Vec<&Attempt>>, found: &mut Vec<Breach>) {
    let mut told: HashMap<(u32, u32), Vec<&Told>> = HashMap::new();
    for one in &ledger.told {
        told.entry((one.balancer, one.server)).or_default().push(one);
    }
    let requests: HashMap<u64, &ClientRequest> = ledger.requests.iter().map(|c| (c.id, c)).collect();
    for attempt in &ledger.attempts {
        let crate::ledger::At::CacheServer(server) = attempt.at else { continue };
        let Some(told) = told.get(&(attempt.balancer, server)) else { continue };
        // A process that has started anew knows what was told since its start alone.
        let born = ledger
            .processes
            .iter()
            .filter(|s| s.who == attempt.balancer && s.ill == Ill::Dead)
            .filter_map(|s| s.to.filter(|to| *to <= attempt.first_byte))
            .max()
            .unwrap_or(0);
        // The drain that held last: told, and no return told since, up to the send.
        let mut since = None;
        for one in told.iter().filter(|one| one.at >= born && one.at <= attempt.first_byte) {
            since = if one.in_service { None } else { since.or(Some(one.at)) };
        }
        let Some(since) = since else { continue };
        if attempt.first_byte > since + terms.drain_grace + terms.slack {
            let late = (attempt.first_byte - since) as f64 / 1e3;
            let what = format!(
                "balancer {} sent to host {server} {late:.0} ms after its drain was told",
                attempt.balancer
            );
            let own = attempts.get(&attempt.id).map_or(&[][..], Vec::as_slice);
            let story =
                requests.get(&attempt.id).map(|request| story(terms, request, own)).unwrap_or_default();
            found.push(Breach { rule: Rule::Drains, at: attempt.first_byte, what, story });
        }
    }
}

/// What happened to a request, line by line.
pub fn story(terms: &Terms, request: &ClientRequest, own: &[&Attempt]) -> Vec<String> {
    let second = |at: Us| (at as f64 - terms.zero as f64) / 1e6;
    let kind = terms.class(request.write).name;
    let mut lines = vec![(
        request.sent,
        format!(
            "{:016x}: {kind} of key {} sent to balancer {}, wanted within {:.0} ms{}",
            request.id,
            request.key,
            request.balancer,
            (request.deadline - request.sent) as f64 / 1e3,
            if request.first == request.id { "" } else { ", a client's retry" }
        ),
    )];
    for attempt in own {
        lines.push((
            attempt.begun,
            format!("received by {}{}", attempt.at, if attempt.cold { ", cold" } else { "" }),
        ));
        lines
            .extend(attempt.answered.map(|at| (at, format!("{} answers: {:?}", attempt.at, attempt.became))));
    }
    lines.extend(request.ended.map(|at| (at, format!("its client sees: {:?}", request.end))));
    lines.push((request.deadline, "its deadline".into()));
    lines.sort_by_key(|(at, _)| *at);
    lines.into_iter().map(|(at, line)| format!("{:9.3} s  {line}", second(at))).collect()
}

#[cfg(test)]
mod tests {
    use super::super::hand::{attempt, served, terms, Hand};
    use super::*;
    use crate::ledger::{At, Became, Span};
    use crate::us;

    fn rules(hand: &Hand) -> Vec<Rule> {
        breaches(&hand.ledger, &terms()).iter().map(|b| b.rule).collect()
    }

    #[test]
    fn an_answer_has_to_come_in_time_once_and_be_made_for_its_command() {
        let sound = served(10.0);
        let due = sound.deadline + 50_000;
        let cases = [
            (ClientRequest { ended: Some(due), ..sound.clone() }, false),
            (ClientRequest { ended: Some(due + 1), ..sound.clone() }, true),
            (ClientRequest { ended: Some(due + 1), end: Ended::Refused, ..sound.clone() }, true),
            (ClientRequest { end: Ended::Silent, ended: None, ..sound.clone() }, true),
            (ClientRequest { end: Ended::Closed, ..sound.clone() }, true),
            (ClientRequest { end: Ended::Wrong, ..sound.clone() }, true),
            (ClientRequest { more: 1, ..sound.clone() }, true),
            (ClientRequest { end: Ended::Untaken, ..sound.clone() }, false),
            (ClientRequest { end: Ended::Left, ..sound.clone() }, false),
        ];
        for (request, breaks) in cases {
            let mut hand = Hand::default();
            hand.request(request.clone());
            assert_eq!(rules(&hand), vec![Rule::Answers; usize::from(breaks)], "{request:?}");
        }
    }

    #[test]
    fn a_value_that_a_link_spoilt_is_not_held_against_who_passed_it_on() {
        let mut hand = Hand::default();
        let id = hand.request(ClientRequest { end: Ended::Wrong, ..served(10.0) });
        hand.ledger.attempts.push(Attempt { spoilt: true, ..attempt(id, At::CacheServer(0), 10.0) });
        assert_eq!(rules(&hand), []);
        hand.ledger.attempts[0].spoilt = false;
        assert_eq!(rules(&hand), [Rule::Answers]);
    }

    #[test]
    fn one_command_in_two_hundred_may_be_shut_out_at_the_door() {
        let mut hand = Hand::default();
        for _ in 0..398 {
            hand.request(served(10.0));
        }
        hand.request(ClientRequest { end: Ended::Shut, ..served(10.0) });
        hand.request(ClientRequest { end: Ended::Shut, ..served(10.0) });
        assert_eq!(rules(&hand), []);
        hand.ledger.requests.pop();
        assert_eq!(rules(&hand), [], "one of 399");
        hand.request(ClientRequest { end: Ended::Shut, ..served(10.0) });
        hand.request(ClientRequest { end: Ended::Shut, ..served(10.0) });
        assert_eq!(rules(&hand), [Rule::Answers], "three of 401");
    }

    #[test]
    fn a_process_that_is_dead_or_frozen_and_a_rig_that_is_late_excuse_an_answer() {
        let mut hand = Hand::default();
        hand.request(ClientRequest { end: Ended::Silent, ended: None, ..served(10.0) });
        let dead = |who, from, to| Span { who, ill: Ill::Dead, from: us(from), to: Some(us(to)) };
        for (span, breaks) in [
            (dead(0, 10.9, 12.0), 0),
            (dead(0, 11.1, 12.0), 1),
            (dead(1, 10.0, 12.0), 1),
            (dead(0, 5.0, 9.9), 1),
        ] {
            hand.ledger.processes = vec![span];
            assert_eq!(rules(&hand).len(), breaks, "{:?}", hand.ledger.processes);
        }
        let mut hand = Hand::default();
        hand.request(ClientRequest { ended: Some(us(11.1)), ..served(10.0) });
        assert_eq!(rules(&hand), [Rule::Answers]);
        hand.ledger.stalls = vec![(us(11.0), 49_000)];
        assert_eq!(rules(&hand), [Rule::Answers]);
        hand.ledger.stalls = vec![(us(11.0), 50_000)];
        assert_eq!(rules(&hand), []);
    }

    #[test]
    fn three_attempts_are_allowed_and_repeats_as_the_class_has_it() {
        let played = |effect, write, attempts: &[(f64, Became)]| {
            let mut hand = Hand::default();
            let id = hand.request(ClientRequest { write, ..served(10.0) });
            for (at, became) in attempts {
                hand.ledger
                    .attempts
                    .push(Attempt { became: *became, ..attempt(id, At::CacheServer(0), *at) });
            }
            let mut terms = terms();
            terms.classes[1].effect = effect;
            breaches(&hand.ledger, &terms).len()
        };
        use Became::{Busy, Failed, Miss, Served};
        let (safe, keyed) = (Effect::Safe, Effect::Keyed(6 * SECOND));
        assert_eq!(played(safe, false, &[(10.0, Failed), (10.1, Miss), (10.2, Served)]), 0);
        assert_eq!(played(safe, false, &[(10.0, Busy), (10.1, Miss), (10.2, Busy), (10.3, Served)]), 1);
        assert_eq!(played(keyed, true, &[(10.0, Failed), (16.05, Served)]), 0);
        assert_eq!(played(keyed, true, &[(10.0, Failed), (16.06, Served)]), 1);
        assert_eq!(played(keyed, true, &[(10.0, Busy), (16.06, Served)]), 0, "it never ran");
        assert_eq!(played(Effect::Unsafe, true, &[(10.0, Busy), (10.1, Served)]), 0);
        assert_eq!(played(Effect::Unsafe, true, &[(10.0, Became::Nothing), (10.1, Served)]), 1);
    }

    #[test]
    fn a_drain_holds_from_its_grace_until_the_return_is_told() {
        let mut hand = Hand::default();
        let told = |at, in_service| Told { balancer: 0, server: 2, in_service, at: us(at) };
        hand.ledger.told = vec![told(10.0, false), told(10.4, false), told(20.0, true)];
        for (at, server, breaks) in
            [(10.55, 2, 0), (10.56, 2, 1), (10.56, 1, 0), (19.99, 2, 1), (20.0, 2, 0), (9.0, 2, 0)]
        {
            hand.ledger.attempts = vec![attempt(1, At::CacheServer(server), at)];
            assert_eq!(rules(&hand), vec![Rule::Drains; breaks], "{at} {server}");
        }
        // Started anew at 12 s, the process was told nothing.
        hand.ledger.attempts = vec![attempt(1, At::CacheServer(2), 13.0)];
        hand.ledger.processes = vec![Span { who: 0, ill: Ill::Dead, from: us(11.0), to: Some(us(12.0)) }];
        assert_eq!(rules(&hand), []);
    }

    #[test]
    fn cold_hosts_that_fall_and_their_misses_at_a_stopped_origin_break_the_rule() {
        let mut hand = Hand::default();
        hand.ledger.stops = vec![(us(9.0), 0.49)];
        assert_eq!(rules(&hand), []);
        hand.ledger.stops = vec![(us(9.0), 0.5)];
        hand.ledger.falls = vec![(3, us(9.0))];
        assert_eq!(rules(&hand), [Rule::Cold, Rule::Cold]);
    }

    #[test]
    fn a_breach_tells_the_whole_story_in_order() {
        let mut hand = Hand::default();
        let id = hand.request(ClientRequest { end: Ended::Silent, ended: None, ..served(10.0) });
        hand.ledger.attempts.push(Attempt { became: Became::Miss, ..attempt(id, At::CacheServer(3), 10.1) });
        let story = &breaches(&hand.ledger, &terms())[0].story;
        let parts = [
            "5.000 s  0000000000000001: read",
            "5.100 s  received by Host(3)",
            "answers: Miss",
            "6.000 s  its deadline",
        ];
        assert_eq!(story.len(), 4, "{story:?}");
        assert!(story.iter().zip(parts).all(|(line, part)| line.contains(part)), "{story:?}");
    }
}
