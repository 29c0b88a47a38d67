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
const CONNECTION_CHECK_WINDOW: Micros = 3_000_000;
/// Interval between two checks of the connection within [`CONNECTION_CHECK_WINDOW`].
const CONNECTION_CHECK_INTERVAL: Micros = 500_000;

/// Distribution of durations, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DurationDistribution {
    /// Number of durations.
    pub count: usize,
    /// The 50th percentile.
    pub p50_ms: f64,
    /// The 99th percentile.
    pub p99_ms: f64,
    /// The maximum.
    pub max_ms: f64,
}

impl DurationDistribution {
    fn from_durations(mut times: Vec<Micros>) -> DurationDistribution {
        times.sort_unstable();
        let at = |share: f64| {
            let rank = ((times.len() as f64 * share).ceil() as usize).max(1);
            times.get(rank - 1).map_or(0.0, |time| *time as f64 / 1e3)
        };
        DurationDistribution { count: times.len(), p50_ms: at(0.5), p99_ms: at(0.99), max_ms: at(1.0) }
    }
}

/// Results of the purges published in a phase.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PurgePhase {
    /// Number of accepted purges.
    pub accepted: usize,
    /// Number of purges rejected by a replica, or published at one that was not running.
    pub rejected: usize,
    /// Time from the purge until a connected member applied it, over all members and purges.
    #[serde(rename = "acted")]
    pub time_to_apply: DurationDistribution,
    /// Time from the purge until all connected members had applied it, over all purges.
    #[serde(rename = "all_acted")]
    pub time_to_apply_everywhere: DurationDistribution,
    /// Number of pairs of a purge and a connected member that never applied it.
    #[serde(rename = "never")]
    pub never_applied: usize,
    /// Time from the purge until its publisher was notified of its completion.
    #[serde(rename = "done")]
    pub time_to_completion: DurationDistribution,
    /// Number of purges never reported as completed although the replica was not killed.
    #[serde(rename = "not_done")]
    pub not_completed: usize,
    /// Number of purges whose replica was killed before their completion. The publisher gets the status "unknown"
    /// and publishes the purge again.
    pub orphaned: usize,
}

/// Results of a purge run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PurgeSummary {
    /// Purges published in the steady state.
    #[serde(rename = "ordinary")]
    pub steady_state: PurgePhase,
    /// Purges published from the start of the fault scenario on.
    pub after_event: PurgePhase,
    /// Number of cases in which a member served without a purge that had been reported as completed. Each one violates the
    /// guarantee of the mechanism.
    #[serde(rename = "done_missing")]
    pub missed_completed_purges: usize,
    /// Number of times that a member discarded all its cached values after its incarnation had begun to serve.
    #[serde(rename = "voided")]
    pub cache_clears: usize,
    /// Number of expired leases.
    #[serde(rename = "lapses")]
    pub expired_leases: usize,
    /// Number of members serving at the end.
    pub serving: usize,
}

/// One incarnation of a member.
#[derive(Debug, Default)]
struct MemberIncarnation {
    started: Micros,
    stopped: Option<Micros>,
    /// Time at which the member applied each purge, by the purge's number.
    applied: BTreeMap<u32, Micros>,
    /// Times at which the member discarded all its cached values.
    cleared: Vec<Micros>,
    /// The periods in which the member served; the last one may be open.
    serving_periods: Vec<(Micros, Option<Micros>)>,
}

impl MemberIncarnation {
    fn is_alive(&self, at: Micros) -> bool {
        self.started <= at && self.stopped.is_none_or(|stopped| at < stopped)
    }

    /// Time from which this incarnation cannot hold a value older than the purge, which was published at `published`;
    /// `None` if there is no such time.
    fn effective_at(&self, number: u32, published: Micros) -> Option<Micros> {
        if self.started >= published {
            return Some(self.started);
        }
        let cleared = self.cleared.iter().find(|cleared| **cleared >= published);
        self.applied.get(&number).into_iter().chain(cleared).min().copied()
    }

    /// Whether the member served at any time from `completed` on and before `effective_at`, so that it may have served a
    /// purged value.
    fn may_have_served_purged_value(&self, completed: Micros, effective_at: Option<Micros>) -> bool {
        let effective_at = effective_at.unwrap_or(Micros::MAX);
        self.serving_periods.iter().any(|(from, until)| {
            let until = until.or(self.stopped).unwrap_or(Micros::MAX);
            (*from).max(completed) < until.min(effective_at)
        })
    }
}

/// A purge from the view of its publisher.
#[derive(Clone, Copy, Debug)]
struct PublishedPurge {
    /// Time at which the replica accepted the purge.
    at: Micros,
    /// Member number of the replica.
    publisher: usize,
    /// Time at which the replica reported the purge as completed.
    completed: Option<Micros>,
}

/// The events of a run by member and by purge.
#[derive(Debug, Default)]
struct PurgeHistory {
    /// Incarnations of each member in order of time, by member number; purge replicas included.
    incarnations: BTreeMap<usize, Vec<MemberIncarnation>>,
    /// Accepted purges by number.
    published: BTreeMap<u32, PublishedPurge>,
    /// Times of rejected purges.
    rejected: Vec<Micros>,
    expired_leases: usize,
}

impl PurgeHistory {
    fn new(events: &[MemberEvent]) -> PurgeHistory {
        let mut history = PurgeHistory::default();
        for event in events {
            history.add(event);
        }
        history
    }

    fn add(&mut self, event: &MemberEvent) {
        let at = event.at;
        match event.event {
            EndpointEvent::PurgeAccepted(number) => {
                self.published
                    .insert(number, PublishedPurge { at, publisher: event.member, completed: None });
                return;
            }
            EndpointEvent::PurgeRejected(_) => {
                self.rejected.push(at);
                return;
            }
            EndpointEvent::PurgeCompleted(number) => {
                if let Some(published) = self.published.get_mut(&number) {
                    published.completed.get_or_insert(at);
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
        let Some(incarnation) =
            self.incarnations.get_mut(&event.member).and_then(|incarnations| incarnations.last_mut())
        else {
            return;
        };
        match event.event {
            EndpointEvent::Stopped => incarnation.stopped = Some(at),
            EndpointEvent::PurgeApplied(number) => {
                incarnation.applied.entry(number).or_insert(at);
            }
            EndpointEvent::CacheCleared => incarnation.cleared.push(at),
            EndpointEvent::ServingStarted => incarnation.serving_periods.push((at, None)),
            EndpointEvent::ServingEnded(last) => {
                self.expired_leases += 1;
                if let Some((_, until)) = incarnation.serving_periods.last_mut() {
                    *until = Some(last);
                }
            }
            _ => {}
        }
    }
}

/// Evaluates the events of a run, which may be in any order.
pub fn evaluate(run: &Run, mut events: Vec<MemberEvent>) -> PurgeSummary {
    events.sort_by_key(|event| event.at);
    let history = PurgeHistory::new(&events);
    drop(events);
    let members = || history.incarnations.iter().filter(|(member, _)| **member >= run.config.replicas);
    let served_before = |incarnation: &MemberIncarnation, at: Micros| {
        incarnation.serving_periods.first().is_some_and(|(from, _)| *from < at)
    };
    let count_clears_after_first_service = |incarnation: &MemberIncarnation| {
        incarnation.cleared.iter().filter(|at| served_before(incarnation, **at)).count()
    };
    let is_serving = |incarnation: &&MemberIncarnation| {
        incarnation.stopped.is_none() && incarnation.serving_periods.last().is_some_and(|s| s.1.is_none())
    };
    PurgeSummary {
        steady_state: evaluate_phase(run, &history, Phase::SteadyState),
        after_event: evaluate_phase(run, &history, Phase::FaultScenario),
        missed_completed_purges: count_missed_completed_purges(run, &history),
        cache_clears: members()
            .flat_map(|(_, incarnations)| incarnations)
            .map(count_clears_after_first_service)
            .sum(),
        expired_leases: history.expired_leases,
        serving: members().filter_map(|(_, incarnations)| incarnations.last()).filter(is_serving).count(),
    }
}

fn count_missed_completed_purges(run: &Run, history: &PurgeHistory) -> usize {
    let members = history.incarnations.iter().filter(|(member, _)| **member >= run.config.replicas);
    let mut missing = 0;
    for incarnation in members.flat_map(|(_, incarnations)| incarnations) {
        for (number, published) in &history.published {
            let Some(completed) = published.completed else { continue };
            let effective_at = incarnation.effective_at(*number, published.at);
            missing += usize::from(incarnation.may_have_served_purged_value(completed, effective_at));
        }
    }
    missing
}

fn evaluate_phase(run: &Run, history: &PurgeHistory, phase: Phase) -> PurgePhase {
    let in_phase = |at: Micros| run.schedule.phase(at) == phase && at + SETTLING_TIME < run.schedule.end;
    let mut result = PurgePhase {
        rejected: history.rejected.iter().filter(|at| in_phase(**at)).count(),
        ..PurgePhase::default()
    };
    let (mut apply_times, mut last_apply_times, mut completion_times) = (Vec::new(), Vec::new(), Vec::new());
    for (number, published) in history.published.iter().filter(|(_, published)| in_phase(published.at)) {
        result.accepted += 1;
        let mut last_applied = None;
        for (member, incarnations) in
            history.incarnations.iter().filter(|(member, _)| **member >= run.config.replicas)
        {
            let Some(incarnation) =
                incarnations.iter().find(|incarnation| incarnation.is_alive(published.at))
            else {
                continue;
            };
            if !is_connected(run, *member, published) {
                continue;
            }
            match incarnation.effective_at(*number, published.at) {
                Some(at) => {
                    apply_times.push(at - published.at);
                    last_applied = last_applied.max(Some(at - published.at));
                }
                // A member killed before it applied the purge holds no values any more.
                None if incarnation.stopped.is_some() => {}
                None => result.never_applied += 1,
            }
        }
        last_apply_times.extend(last_applied);
        match published.completed {
            Some(at) => completion_times.push(at - published.at),
            None if was_publisher_killed(history, published) => result.orphaned += 1,
            None => result.not_completed += 1,
        }
    }
    (result.time_to_apply, result.time_to_apply_everywhere, result.time_to_completion) = (
        DurationDistribution::from_durations(apply_times),
        DurationDistribution::from_durations(last_apply_times),
        DurationDistribution::from_durations(completion_times),
    );
    result
}

/// Whether the replica that accepted the purge was killed afterwards.
fn was_publisher_killed(history: &PurgeHistory, published: &PublishedPurge) -> bool {
    let incarnations = history.incarnations.get(&published.publisher).into_iter().flatten();
    incarnations
        .into_iter()
        .any(|incarnation| incarnation.stopped.is_some_and(|stopped| stopped >= published.at))
}

fn is_connected(run: &Run, member: usize, published: &PublishedPurge) -> bool {
    let times =
        (published.at..published.at + CONNECTION_CHECK_WINDOW).step_by(CONNECTION_CHECK_INTERVAL as usize);
    times.into_iter().all(|at| !run.network.is_partitioned(at, published.publisher, member))
}
