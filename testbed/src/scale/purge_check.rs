//! What a purge run shows: how long until all connected members act, how long until the publisher hears "done", and whether
//! anything that was called done was missing at a member that serves. Pure, over the members' events.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::endpoint::EndpointEvent;
use super::run::Run;
use super::schedule::Phase;
use super::shard::MemberEvent;
use super::Micros;

/// Purges that were published later than this before the end are not asked for.
const SETTLING_TIME: Micros = 5_000_000;
/// A member counts as connected to a publisher where their link is whole from the purge on for so long.
const CONNECTED_FOR: Micros = 3_000_000;
/// The step in which that is looked at.
const CONNECTED_STEP: Micros = 500_000;

/// Times in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Times {
    /// How many there are.
    pub count: usize,
    /// Half of them are no longer.
    pub p50_ms: f64,
    /// 99% of them are no longer.
    pub p99_ms: f64,
    /// The longest.
    pub max_ms: f64,
}

impl Times {
    fn of(mut times: Vec<Micros>) -> Times {
        times.sort_unstable();
        let at = |share: f64| {
            let rank = ((times.len() as f64 * share).ceil() as usize).max(1);
            times.get(rank - 1).map_or(0.0, |time| *time as f64 / 1e3)
        };
        Times { count: times.len(), p50_ms: at(0.5), p99_ms: at(0.99), max_ms: at(1.0) }
    }
}

/// The purges that were published in a phase.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PurgePhase {
    /// Purges accepted.
    pub accepted: usize,
    /// Purges rejected, or published at a control machine that was not there.
    pub rejected: usize,
    /// From the purge until a connected member acted, over all members and purges.
    pub acted: Times,
    /// From the purge until all connected members had acted, over purges.
    pub all_acted: Times,
    /// Connected members that never acted on a purge, over members and purges.
    pub never: usize,
    /// From the purge until its publisher heard that it is done.
    pub done: Times,
    /// Purges of which it never heard that, though the control machine ran on.
    pub not_done: usize,
    /// Purges whose control machine was killed before they were done: their publisher gets "unknown" and publishes again.
    pub orphaned: usize,
}

/// What a purge run shows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PurgeSummary {
    /// Purges published in the ordinary state.
    pub ordinary: PurgePhase,
    /// Purges published from the event on.
    pub after_event: PurgePhase,
    /// Cases in which a member served without a purge that had been called done. Any is a fault.
    pub done_missing: usize,
    /// Times at which a member voided all once it had served.
    pub voided: usize,
    /// Leases that ran out.
    pub lapses: usize,
    /// Members that serve at the end.
    pub serving: usize,
}

/// One start of a member.
#[derive(Debug, Default)]
struct MemberIncarnation {
    started: Micros,
    stopped: Option<Micros>,
    /// When it acted on each purge.
    purged: BTreeMap<u32, Micros>,
    voided: Vec<Micros>,
    /// When it served; the last span may be open.
    served: Vec<(Micros, Option<Micros>)>,
}

impl MemberIncarnation {
    fn is_alive(&self, at: Micros) -> bool {
        self.started <= at && self.stopped.is_none_or(|stopped| at < stopped)
    }

    /// From when on this life cannot hold what a purge published at this time concerns.
    fn covered_at(&self, number: u32, published: Micros) -> Option<Micros> {
        if self.started >= published {
            return Some(self.started);
        }
        let voided = self.voided.iter().find(|voided| **voided >= published);
        self.purged.get(&number).into_iter().chain(voided).min().copied()
    }

    /// Whether it served at some time from `done` on without being covered.
    fn served_without(&self, done: Micros, covered: Option<Micros>) -> bool {
        let covered = covered.unwrap_or(Micros::MAX);
        self.served.iter().any(|(from, until)| {
            let until = until.or(self.stopped).unwrap_or(Micros::MAX);
            (*from).max(done) < until.min(covered)
        })
    }
}

/// A purge as its publisher saw it.
#[derive(Clone, Copy, Debug)]
struct Published {
    at: Micros,
    by: usize,
    done: Option<Micros>,
}

/// The events of a run, in order.
#[derive(Debug, Default)]
struct Record {
    incarnations: BTreeMap<usize, Vec<MemberIncarnation>>,
    published: BTreeMap<u32, Published>,
    rejected: Vec<Micros>,
    lapses: usize,
}

impl Record {
    fn new(events: &[MemberEvent]) -> Record {
        let mut record = Record::default();
        for event in events {
            record.add(event);
        }
        record
    }

    fn add(&mut self, event: &MemberEvent) {
        let at = event.at;
        match event.event {
            EndpointEvent::Accepted(number) => {
                self.published.insert(number, Published { at, by: event.member, done: None });
                return;
            }
            EndpointEvent::Rejected(_) => {
                self.rejected.push(at);
                return;
            }
            EndpointEvent::Done(number) => {
                if let Some(published) = self.published.get_mut(&number) {
                    published.done.get_or_insert(at);
                }
                return;
            }
            EndpointEvent::Started => {
                let incarnations = self.incarnations.entry(event.member).or_default();
                incarnations.push(MemberIncarnation { started: at, ..MemberIncarnation::default() });
                return;
            }
            _ => {}
        }
        let Some(life) =
            self.incarnations.get_mut(&event.member).and_then(|incarnations| incarnations.last_mut())
        else {
            return;
        };
        match event.event {
            EndpointEvent::Stopped => life.stopped = Some(at),
            EndpointEvent::Purged(number) => {
                life.purged.entry(number).or_insert(at);
            }
            EndpointEvent::Voided => life.voided.push(at),
            EndpointEvent::ServesNow => life.served.push((at, None)),
            EndpointEvent::ServedUntil(last) => {
                self.lapses += 1;
                if let Some((_, until)) = life.served.last_mut() {
                    *until = Some(last);
                }
            }
            _ => {}
        }
    }
}

/// Checks the events of a run, which need not be in order.
pub fn check(run: &Run, mut events: Vec<MemberEvent>) -> PurgeSummary {
    events.sort_by_key(|event| event.at);
    let record = Record::new(&events);
    drop(events);
    let members = || record.incarnations.iter().filter(|(member, _)| **member >= run.config.replicas);
    let served_before =
        |life: &MemberIncarnation, at: Micros| life.served.first().is_some_and(|(from, _)| *from < at);
    let voids = |life: &MemberIncarnation| life.voided.iter().filter(|at| served_before(life, **at)).count();
    let serves = |life: &&MemberIncarnation| {
        life.stopped.is_none() && life.served.last().is_some_and(|s| s.1.is_none())
    };
    PurgeSummary {
        ordinary: of_phase(run, &record, Phase::Ordinary),
        after_event: of_phase(run, &record, Phase::Event),
        done_missing: done_missing(run, &record),
        voided: members().flat_map(|(_, incarnations)| incarnations).map(voids).sum(),
        lapses: record.lapses,
        serving: members().filter_map(|(_, incarnations)| incarnations.last()).filter(serves).count(),
    }
}

fn done_missing(run: &Run, record: &Record) -> usize {
    let members = record.incarnations.iter().filter(|(member, _)| **member >= run.config.replicas);
    let mut missing = 0;
    for life in members.flat_map(|(_, incarnations)| incarnations) {
        for (number, published) in &record.published {
            let Some(done) = published.done else { continue };
            let covered = life.covered_at(*number, published.at);
            missing += usize::from(life.served_without(done, covered));
        }
    }
    missing
}

fn of_phase(run: &Run, record: &Record, phase: Phase) -> PurgePhase {
    let in_phase = |at: Micros| run.schedule.phase(at) == phase && at + SETTLING_TIME < run.schedule.end;
    let mut result = PurgePhase {
        rejected: record.rejected.iter().filter(|at| in_phase(**at)).count(),
        ..PurgePhase::default()
    };
    let (mut acted, mut all_acted, mut done) = (Vec::new(), Vec::new(), Vec::new());
    for (number, published) in record.published.iter().filter(|(_, published)| in_phase(published.at)) {
        result.accepted += 1;
        let mut longest = None;
        for (member, incarnations) in
            record.incarnations.iter().filter(|(member, _)| **member >= run.config.replicas)
        {
            let Some(life) = incarnations.iter().find(|life| life.is_alive(published.at)) else { continue };
            if !is_connected(run, *member, published) {
                continue;
            }
            match life.covered_at(*number, published.at) {
                Some(at) => {
                    acted.push(at - published.at);
                    longest = longest.max(Some(at - published.at));
                }
                // Who ended before it could act holds nothing any more.
                None if life.stopped.is_some() => {}
                None => result.never += 1,
            }
        }
        all_acted.extend(longest);
        match published.done {
            Some(at) => done.push(at - published.at),
            None if was_stopped(record, published) => result.orphaned += 1,
            None => result.not_done += 1,
        }
    }
    (result.acted, result.all_acted, result.done) = (Times::of(acted), Times::of(all_acted), Times::of(done));
    result
}

/// Whether the control machine that took a purge was killed after it.
fn was_stopped(record: &Record, published: &Published) -> bool {
    let incarnations = record.incarnations.get(&published.by).into_iter().flatten();
    incarnations.into_iter().any(|life| life.stopped.is_some_and(|stopped| stopped >= published.at))
}

fn is_connected(run: &Run, member: usize, published: &Published) -> bool {
    let times = (published.at..published.at + CONNECTED_FOR).step_by(CONNECTED_STEP as usize);
    times.into_iter().all(|at| !run.network.is_cut(at, published.by, member))
}
