//! Evaluates a purge run from the members' events: the time until all connected members have applied a purge, the time until
//! the publisher is notified of its completion, and whether a member served without a purge reported as completed.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::endpoint::EndpointEvent;
use super::run::Run;
use super::schedule::Phase;
use super::shard::MemberEvent;
use super::Micros;

/// Purges published less than this before the end of the run are not evaluated.
const SETTLING_TIME: Micros = 5_000_000;
/// A member counts as connected to a publisher if no partition separates them for this long after the purge.
const CONNECTED_FOR: Micros = 3_000_000;
/// Interval between two checks of the connection within [`CONNECTED_FOR`].
const CONNECTED_STEP: Micros = 500_000;

/// Distribution of durations, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Times {
    /// Number of durations.
    pub count: usize,
    /// The 50th percentile.
    pub p50_ms: f64,
    /// The 99th percentile.
    pub p99_ms: f64,
    /// The maximum.
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

/// Results of the purges published in a phase.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PurgePhase {
    /// Number of accepted purges.
    pub accepted: usize,
    /// Number of purges rejected by a control machine, or published at one that was not running.
    pub rejected: usize,
    /// Time from the purge until a connected member applied it, over all members and purges.
    pub acted: Times,
    /// Time from the purge until all connected members had applied it, over all purges.
    pub all_acted: Times,
    /// Number of pairs of a purge and a connected member that never applied it.
    pub never: usize,
    /// Time from the purge until its publisher was notified of its completion.
    pub done: Times,
    /// Number of purges never reported as completed although the control machine was not killed.
    pub not_done: usize,
    /// Number of purges whose control machine was killed before their completion. The publisher gets the status "unknown"
    /// and publishes the purge again.
    pub orphaned: usize,
}

/// Results of a purge run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PurgeSummary {
    /// Purges published in the steady state.
    pub ordinary: PurgePhase,
    /// Purges published from the start of the fault scenario on.
    pub after_event: PurgePhase,
    /// Number of cases in which a member served without a purge that had been reported as completed. Each one violates the
    /// guarantee of the mechanism.
    pub done_missing: usize,
    /// Number of times that a member discarded all its cached values after it had begun to serve.
    pub voided: usize,
    /// Number of expired leases.
    pub lapses: usize,
    /// Number of members serving at the end.
    pub serving: usize,
}

/// One incarnation of a member.
#[derive(Debug, Default)]
struct MemberIncarnation {
    started: Micros,
    stopped: Option<Micros>,
    /// Time at which the member applied each purge, by the purge's number.
    purged: BTreeMap<u32, Micros>,
    voided: Vec<Micros>,
    /// The periods in which the member served; the last one may be open.
    served: Vec<(Micros, Option<Micros>)>,
}

impl MemberIncarnation {
    fn is_alive(&self, at: Micros) -> bool {
        self.started <= at && self.stopped.is_none_or(|stopped| at < stopped)
    }

    /// Time from which this incarnation cannot hold a value older than the purge, which was published at `published`.
    fn covered_at(&self, number: u32, published: Micros) -> Option<Micros> {
        if self.started >= published {
            return Some(self.started);
        }
        let voided = self.voided.iter().find(|voided| **voided >= published);
        self.purged.get(&number).into_iter().chain(voided).min().copied()
    }

    /// Whether the member served at any time from `done` on and before `covered`, so that it may have served a purged value.
    fn served_without(&self, done: Micros, covered: Option<Micros>) -> bool {
        let covered = covered.unwrap_or(Micros::MAX);
        self.served.iter().any(|(from, until)| {
            let until = until.or(self.stopped).unwrap_or(Micros::MAX);
            (*from).max(done) < until.min(covered)
        })
    }
}

/// A purge from the view of its publisher.
#[derive(Clone, Copy, Debug)]
struct Published {
    at: Micros,
    by: usize,
    done: Option<Micros>,
}

/// The events of a run by member and by purge.
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
            EndpointEvent::PurgeAccepted(number) => {
                self.published.insert(number, Published { at, by: event.member, done: None });
                return;
            }
            EndpointEvent::PurgeRejected(_) => {
                self.rejected.push(at);
                return;
            }
            EndpointEvent::PurgeCompleted(number) => {
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
            EndpointEvent::PurgeApplied(number) => {
                life.purged.entry(number).or_insert(at);
            }
            EndpointEvent::CacheCleared => life.voided.push(at),
            EndpointEvent::ServingStarted => life.served.push((at, None)),
            EndpointEvent::ServingEnded(last) => {
                self.lapses += 1;
                if let Some((_, until)) = life.served.last_mut() {
                    *until = Some(last);
                }
            }
            _ => {}
        }
    }
}

/// Evaluates the events of a run, in any order.
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
        ordinary: of_phase(run, &record, Phase::SteadyState),
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
                // A member killed before it applied the purge holds no values any more.
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

/// Whether the control machine that accepted the purge was killed afterwards.
fn was_stopped(record: &Record, published: &Published) -> bool {
    let incarnations = record.incarnations.get(&published.by).into_iter().flatten();
    incarnations.into_iter().any(|life| life.stopped.is_some_and(|stopped| stopped >= published.at))
}

fn is_connected(run: &Run, member: usize, published: &Published) -> bool {
    let times = (published.at..published.at + CONNECTED_FOR).step_by(CONNECTED_STEP as usize);
    times.into_iter().all(|at| !run.network.is_partitioned(at, published.by, member))
}
