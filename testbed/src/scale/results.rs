//! The results of a scale test: the summary, and a row for each member and purge replica.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::config::Mechanism;
use super::endpoint::{PacketKind, StateQuery};
use super::meter::{Lateness, MemberCounts, MemberPhases};
use super::purge_check::{evaluate, PurgeSummary};
use super::run::Run;
use super::schedule::{Expectation, Phase};
use super::shard::{Observations, SatisfiedExpectation};
use super::sockets::SocketRun;
use super::Micros;

/// Maximum lateness of the testbed's timers at the 99th percentile, in milliseconds. A run that exceeds it is invalid.
pub const MAX_TIMER_LATENESS_MS: f64 = 20.0;
/// Length of the IPv4 and UDP headers of a packet, in bytes.
const IP_UDP_HEADER_BYTES: f64 = 28.0;
/// Minimum time to detect the loss of a member. A member that reports the loss earlier had never known the lost member.
const MIN_LOSS_DETECTION_TIME: Micros = 200_000;

/// Packets and bytes per second that a member sends.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Rate {
    /// Packets per second.
    pub packets_per_s: f64,
    /// Bytes per second, without IP and UDP headers.
    pub bytes_per_s: f64,
}

/// Traffic and processor time of a member in a phase of the run, on average over all members unless stated otherwise.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PhaseSummary {
    /// Duration of the phase.
    pub seconds: f64,
    /// Sent traffic by kind.
    pub kinds: BTreeMap<String, Rate>,
    /// Sent traffic of all kinds.
    pub sent: Rate,
    /// Bytes per second sent, with IP and UDP headers.
    pub wire_bytes_per_s: f64,
    /// Bytes per second sent by the member that sends the most.
    pub bytes_per_s_max: f64,
    /// Bytes per second received.
    pub received_bytes_per_s: f64,
    /// Processor time of the control code, in percent of a core.
    pub cpu_percent: f64,
    /// As `cpu_percent`, of the member with the highest value.
    pub cpu_percent_max: f64,
    /// Processor time per received packet, including the responses to it, in microseconds.
    pub us_per_datagram: f64,
    /// Processor time per tick, in microseconds.
    pub us_per_tick: f64,
    /// Processor time of the testbed per member, including sockets, in percent of a core; 0 in simulated time.
    pub test_bed_cpu_percent: f64,
}

/// Propagation of a change.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ChangeSummary {
    /// Name of the change.
    pub name: String,
    /// Number of members expected to learn of the change.
    pub observers: usize,
    /// Number of observers that had never known the lost member; the times exclude them.
    #[serde(rename = "unaware")]
    pub never_knew_member: usize,
    /// Number of observers that did not learn of the change before the checks ended.
    #[serde(rename = "never")]
    pub not_reached: usize,
    /// Duration of the checks, in seconds.
    #[serde(rename = "asked_s")]
    pub checked_s: f64,
    /// Milliseconds until half the observers had learned of the change; `None` if fewer did.
    pub p50_ms: Option<f64>,
    /// Milliseconds until 99% of the observers had learned of the change; `None` if fewer did.
    pub p99_ms: Option<f64>,
    /// Milliseconds until all observers had learned of the change; `None` if fewer did.
    pub all_ms: Option<f64>,
}

/// The number of members that each member considers alive at the end, over all members.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct KnownMembers {
    /// The minimum.
    #[serde(rename = "least")]
    pub min: usize,
    /// The median.
    pub median: usize,
    /// The maximum.
    #[serde(rename = "most")]
    pub max: usize,
}

/// The summary of a scale test.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Summary {
    /// Name of the mechanism that the members ran.
    pub mechanism: String,
    /// Name of the fault scenario.
    pub event: String,
    /// Name of the injected defect, if any.
    pub flaw: Option<String>,
    /// Number of members.
    pub members: usize,
    /// Number of regions.
    pub regions: usize,
    /// Number of zones.
    pub zones: usize,
    /// The seed of all random choices.
    pub seed: u64,
    /// Whether time was simulated.
    pub virtual_time: bool,
    /// Lateness of the testbed's timers at the 99th percentile, in milliseconds; over [`MAX_TIMER_LATENESS_MS`] the run is
    /// invalid.
    pub lag_p99_ms: f64,
    /// Resident memory that the run added to the process, per member, in bytes.
    pub memory_per_member: f64,
    /// Members in the steady state.
    #[serde(rename = "ordinary")]
    pub steady_state: PhaseSummary,
    /// Members from the start of the fault scenario on.
    pub after_event: PhaseSummary,
    /// Purge replicas in the steady state.
    #[serde(rename = "control_ordinary")]
    pub control_steady_state: PhaseSummary,
    /// Purge replicas from the start of the fault scenario on.
    pub control_after_event: PhaseSummary,
    /// Number of purge replicas.
    pub replicas: usize,
    /// Results of the purges, if the mechanism has any.
    pub purge: Option<PurgeSummary>,
    /// Propagation of each change.
    pub changes: Vec<ChangeSummary>,
    /// Number of members known to each member at the end.
    pub known: KnownMembers,
    /// Number of packets to addresses of no member.
    pub unroutable: u64,
    /// Number of packets whose send failed, for example because the socket buffer was full.
    pub not_sent: u64,
}

impl Summary {
    /// Whether the testbed's timers were on time, so that the run is valid.
    pub fn is_valid(&self) -> bool {
        self.lag_p99_ms <= MAX_TIMER_LATENESS_MS
    }

    /// Whether no guarantee of the mechanism was violated.
    pub fn is_sound(&self) -> bool {
        self.purge.is_none_or(|purge| purge.missed_completed_purges == 0)
    }
}

/// A row of `members.csv`.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct MemberRow {
    /// Number of the member.
    pub member: usize,
    /// Zone of the member.
    pub zone: usize,
    /// Region of the member.
    pub region: usize,
    /// Packets per second sent in the steady state.
    pub packets_per_s: f64,
    /// Bytes per second sent in the steady state.
    pub bytes_per_s: f64,
    /// Bytes per second received in the steady state.
    pub received_bytes_per_s: f64,
    /// Processor time of the control code in the steady state, in percent of a core.
    pub cpu_percent: f64,
    /// Packets per second sent from the start of the fault scenario on.
    pub event_packets_per_s: f64,
    /// Bytes per second sent from the start of the fault scenario on.
    pub event_bytes_per_s: f64,
}

/// The results of a run.
#[derive(Debug, Default)]
pub struct Outcome {
    /// The summary.
    pub summary: Summary,
    /// A row for each member and purge replica.
    pub members: Vec<MemberRow>,
}

impl Outcome {
    /// Merges the results of the worker threads of a run over sockets.
    pub fn from_socket_run(run: &Run, result: SocketRun) -> Outcome {
        let mut total = Observations::default();
        for shard in result.observations {
            total.counts.extend(shard.counts);
            total.satisfied.extend(shard.satisfied);
            total.events.extend(shard.events);
            total.known_members.extend(shard.known_members);
            total.unroutable += shard.unroutable;
        }
        let (before, after) = result.memory;
        let mut outcome =
            Outcome::from_observations(run, total, &result.lateness, after.saturating_sub(before));
        outcome.summary.not_sent = result.not_sent;
        for (phase, summary) in [
            (Phase::SteadyState, &mut outcome.summary.steady_state),
            (Phase::FaultScenario, &mut outcome.summary.after_event),
        ] {
            let total =
                cpu_percent(result.cpu_ns[phase as usize], summary.seconds) / run.addresses.len() as f64;
            summary.test_bed_cpu_percent = (total - summary.cpu_percent).max(0.0);
        }
        outcome
    }

    /// Evaluates the observations of a run whose members used `memory` bytes.
    pub fn from_observations(
        run: &Run,
        mut observed: Observations,
        lateness: &Lateness,
        memory: u64,
    ) -> Outcome {
        observed.counts.sort_by_key(|(member, _)| *member);
        observed.known_members.sort_unstable();
        let config = &run.config;
        let known = std::mem::take(&mut observed.known_members);
        let (control, members) = observed.counts.split_at(config.replicas);
        let events = std::mem::take(&mut observed.events);
        let purge = (config.mechanism == Mechanism::Purge).then(|| evaluate(run, events));
        let summary = Summary {
            mechanism: config.mechanism.name().to_owned(),
            event: config.fault_scenario.name().to_owned(),
            flaw: config.defect.map(|defect| defect.name().to_owned()),
            members: config.members,
            regions: run.network.topology().regions(),
            zones: run.network.topology().zones(),
            seed: config.seed,
            virtual_time: config.virtual_time,
            lag_p99_ms: lateness.quantile_ms(0.99),
            memory_per_member: memory as f64 / config.members.max(1) as f64,
            steady_state: phase_summary(run, members, Phase::SteadyState),
            after_event: phase_summary(run, members, Phase::FaultScenario),
            control_steady_state: phase_summary(run, control, Phase::SteadyState),
            control_after_event: phase_summary(run, control, Phase::FaultScenario),
            replicas: config.replicas,
            purge,
            changes: summarise_changes(run, &observed.satisfied),
            known: KnownMembers {
                min: known.first().copied().unwrap_or(0),
                median: known.get(known.len() / 2).copied().unwrap_or(0),
                max: known.last().copied().unwrap_or(0),
            },
            unroutable: observed.unroutable,
            not_sent: 0,
        };
        let members =
            observed.counts.iter().map(|(member, counts)| member_row(run, *member, counts)).collect();
        Outcome { summary, members }
    }
}

fn cpu_percent(cpu_ns: u64, seconds: f64) -> f64 {
    100.0 * cpu_ns as f64 / 1e9 / seconds.max(1e-9)
}

fn phase_summary(run: &Run, counts: &[(usize, MemberPhases)], phase: Phase) -> PhaseSummary {
    let seconds = run.schedule.phase_seconds(phase);
    if seconds <= 0.0 || counts.is_empty() {
        return PhaseSummary::default();
    }
    let phase_counts: Vec<&MemberCounts> = counts.iter().map(|(_, phases)| &phases[phase as usize]).collect();
    let member_seconds = seconds * phase_counts.len().max(1) as f64;
    let rate = |packets: u64, bytes: u64| Rate {
        packets_per_s: packets as f64 / member_seconds,
        bytes_per_s: bytes as f64 / member_seconds,
    };
    let mut kinds = BTreeMap::new();
    for kind in PacketKind::ALL {
        let packets = phase_counts.iter().map(|counts| counts.sent[kind as usize].packets).sum::<u64>();
        let bytes = phase_counts.iter().map(|counts| counts.sent[kind as usize].bytes).sum::<u64>();
        if bytes > 0 {
            kinds.insert(kind.name().to_owned(), rate(packets, bytes));
        }
    }
    let sum = |pick: fn(&MemberCounts) -> u64| phase_counts.iter().map(|counts| pick(counts)).sum::<u64>();
    let max =
        |pick: fn(&MemberCounts) -> u64| phase_counts.iter().map(|counts| pick(counts)).max().unwrap_or(0);
    let sent = rate(sum(|counts| counts.sent_total().packets), sum(|counts| counts.sent_total().bytes));
    let mean_us = |cpu_ns: u64, count: u64| cpu_ns as f64 / 1e3 / count.max(1) as f64;
    PhaseSummary {
        seconds,
        kinds,
        sent,
        wire_bytes_per_s: sent.bytes_per_s + sent.packets_per_s * IP_UDP_HEADER_BYTES,
        bytes_per_s_max: max(|counts| counts.sent_total().bytes) as f64 / seconds,
        received_bytes_per_s: sum(|counts| counts.received.bytes) as f64 / member_seconds,
        cpu_percent: cpu_percent(sum(MemberCounts::cpu_ns), member_seconds),
        cpu_percent_max: cpu_percent(max(MemberCounts::cpu_ns), seconds),
        us_per_datagram: mean_us(sum(|counts| counts.datagrams.cpu_ns), sum(|counts| counts.datagrams.count)),
        us_per_tick: mean_us(sum(|counts| counts.ticks.cpu_ns), sum(|counts| counts.ticks.count)),
        test_bed_cpu_percent: 0.0,
    }
}

/// Summarises the changes. Expectations with the same name and time are one change, whose observers are counted together.
fn summarise_changes(run: &Run, satisfied: &[SatisfiedExpectation]) -> Vec<ChangeSummary> {
    let expectations = &run.schedule.expectations;
    let mut groups: Vec<(&Expectation, Vec<usize>)> = Vec::new();
    for (index, expectation) in expectations.iter().enumerate() {
        let same = |(first, _): &&mut (&Expectation, Vec<usize>)| {
            first.name == expectation.name && first.at == expectation.at
        };
        match groups.iter_mut().find(same) {
            Some((_, indices)) => indices.push(index),
            None => groups.push((expectation, vec![index])),
        }
    }
    groups.into_iter().map(|(first, indices)| summarise_change(run, first, &indices, satisfied)).collect()
}

fn summarise_change(
    run: &Run,
    first: &Expectation,
    indices: &[usize],
    satisfied: &[SatisfiedExpectation],
) -> ChangeSummary {
    let observers: usize = indices
        .iter()
        .map(|index| {
            run.schedule.expectations[*index].observers.iter().filter(|is_observer| **is_observer).count()
        })
        .sum();
    let mut times: Vec<Micros> = satisfied
        .iter()
        .filter(|expectation| indices.contains(&expectation.expectation_index))
        .map(|expectation| expectation.at.saturating_sub(first.at))
        .collect();
    times.sort_unstable();
    let not_reached = observers - times.len();
    let is_loss = matches!(first.query, StateQuery::NotAlive(_));
    let never_knew_member =
        if is_loss { times.iter().filter(|time| **time < MIN_LOSS_DETECTION_TIME).count() } else { 0 };
    times.drain(..never_knew_member);
    let aware = observers - never_knew_member;
    let at_share = |share: f64| {
        let rank = ((aware as f64 * share).ceil() as usize).max(1);
        times.get(rank - 1).map(|time| *time as f64 / 1e3)
    };
    ChangeSummary {
        name: first.name.to_owned(),
        observers,
        never_knew_member,
        not_reached,
        checked_s: (first.until - first.at) as f64 / 1e6,
        p50_ms: at_share(0.5),
        p99_ms: at_share(0.99),
        all_ms: at_share(1.0),
    }
}

fn member_row(run: &Run, member: usize, phases: &MemberPhases) -> MemberRow {
    let (steady_state, fault_scenario) =
        (&phases[Phase::SteadyState as usize], &phases[Phase::FaultScenario as usize]);
    let per_s = |count: u64, phase: Phase| count as f64 / run.schedule.phase_seconds(phase).max(1e-9);
    MemberRow {
        member,
        zone: run.network.topology().zone(member),
        region: run.network.topology().region(member),
        packets_per_s: per_s(steady_state.sent_total().packets, Phase::SteadyState),
        bytes_per_s: per_s(steady_state.sent_total().bytes, Phase::SteadyState),
        received_bytes_per_s: per_s(steady_state.received.bytes, Phase::SteadyState),
        cpu_percent: cpu_percent(steady_state.cpu_ns(), run.schedule.phase_seconds(Phase::SteadyState)),
        event_packets_per_s: per_s(fault_scenario.sent_total().packets, Phase::FaultScenario),
        event_bytes_per_s: per_s(fault_scenario.sent_total().bytes, Phase::FaultScenario),
    }
}
