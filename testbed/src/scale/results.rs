//! What a scale test found: the summary, and a row for each member.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::config::Mechanism;
use super::endpoint::{PacketKind, StateQuery};
use super::meter::{Lateness, MemberCounts, MemberPhases};
use super::purge_check::{check, PurgeSummary};
use super::run::Run;
use super::schedule::{Expectation, Phase};
use super::shard::{Observations, Reached};
use super::sockets::SocketRun;
use super::Micros;

/// The lateness of the test bed's timers over which a run does not count, at the 99th percentile.
pub const LATE_MS: f64 = 20.0;
/// What IPv4 and UDP add to each packet.
const HEADERS_LENGTH: f64 = 28.0;
/// Within this time nobody can have found out that a member is gone: who says so had not known it.
const NOT_KNOWN_WITHIN: Micros = 200_000;

/// Packets and bytes a second that a member sends.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Rate {
    /// Packets a second.
    pub packets_per_s: f64,
    /// Bytes a second, without the headers of IP and UDP.
    pub bytes_per_s: f64,
}

/// What members sent and cost in a phase of the run, on average over all members.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PhaseSummary {
    /// How long it lasted.
    pub seconds: f64,
    /// Sent, by kind.
    pub kinds: BTreeMap<String, Rate>,
    /// Sent, of all kinds.
    pub sent: Rate,
    /// Sent with the headers of IP and UDP.
    pub wire_bytes_per_s: f64,
    /// Bytes a second that the busiest member sends.
    pub bytes_per_s_max: f64,
    /// Bytes a second that a member receives.
    pub received_bytes_per_s: f64,
    /// Processor time of the control code alone, in percent of a core.
    pub cpu_percent: f64,
    /// The same of the busiest member.
    pub cpu_percent_max: f64,
    /// Processor time of a packet received, with the answers to it.
    pub us_per_datagram: f64,
    /// Processor time of a tick.
    pub us_per_tick: f64,
    /// Processor time of the test bed for a member, sockets included, in percent of a core; 0 in simulated time.
    pub test_bed_cpu_percent: f64,
}

/// How a change spread.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ChangeSummary {
    /// What changed.
    pub name: String,
    /// Members that should come to know it.
    pub observers: usize,
    /// Of these, those that had never known the member that is gone: they are not among the times.
    pub unaware: usize,
    /// Of the observers, those that did not come to know it before they were asked no more.
    pub never: usize,
    /// How long they were asked, in seconds.
    pub asked_s: f64,
    /// Milliseconds until half of them did, until 99% did, and until the last one did; none where fewer did.
    pub p50_ms: Option<f64>,
    /// The same of 99%.
    pub p99_ms: Option<f64>,
    /// The same of all.
    pub all_ms: Option<f64>,
}

/// How many members the members take for alive at the end.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct KnownMembers {
    /// At the member that knows the fewest.
    pub least: usize,
    /// At half of them no more than this.
    pub median: usize,
    /// At the member that knows the most.
    pub most: usize,
}

/// The result of a scale test.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Summary {
    /// What the members ran.
    pub mechanism: String,
    /// What happened.
    pub event: String,
    /// What the test bed broke on purpose.
    pub flaw: Option<String>,
    /// How many members there were.
    pub members: usize,
    /// In how many regions.
    pub regions: usize,
    /// In how many zones.
    pub zones: usize,
    /// The seed.
    pub seed: u64,
    /// Whether time was simulated.
    pub virtual_time: bool,
    /// Lateness of the test bed's timers at the 99th percentile; over [`LATE_MS`] the run does not count.
    pub lag_p99_ms: f64,
    /// Resident memory that a member added to the process, in bytes.
    pub memory_per_member: f64,
    /// The ordinary state.
    pub ordinary: PhaseSummary,
    /// From the event on.
    pub after_event: PhaseSummary,
    /// What control machines sent and cost in the ordinary state, and how many there were.
    pub control_ordinary: PhaseSummary,
    /// The same from the event on.
    pub control_after_event: PhaseSummary,
    /// How many control machines there were.
    pub replicas: usize,
    /// What became of the purges, where the mechanism has any.
    pub purge: Option<PurgeSummary>,
    /// How each change spread.
    pub changes: Vec<ChangeSummary>,
    /// What members know of each other at the end.
    pub known: KnownMembers,
    /// Packets to addresses of no member.
    pub unroutable: u64,
    /// Packets that a full socket buffer did not take.
    pub not_sent: u64,
}

impl Summary {
    /// Whether the test bed kept its times, so that the run counts.
    pub fn counts(&self) -> bool {
        self.lag_p99_ms <= LATE_MS
    }

    /// Whether every stated guarantee held.
    pub fn is_sound(&self) -> bool {
        self.purge.is_none_or(|purge| purge.done_missing == 0)
    }
}

/// A row of `members.csv`.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct MemberRow {
    /// The member.
    pub member: usize,
    /// Its zone.
    pub zone: usize,
    /// Its region.
    pub region: usize,
    /// Sent in the ordinary state, a second.
    pub packets_per_s: f64,
    /// The same in bytes.
    pub bytes_per_s: f64,
    /// Received, a second.
    pub received_bytes_per_s: f64,
    /// Processor time of its control code in percent of a core.
    pub cpu_percent: f64,
    /// The first two from the event on.
    pub event_packets_per_s: f64,
    /// The same in bytes.
    pub event_bytes_per_s: f64,
}

/// All that a run left.
#[derive(Debug, Default)]
pub struct Outcome {
    /// The summary.
    pub summary: Summary,
    /// A row for each member.
    pub members: Vec<MemberRow>,
}

impl Outcome {
    /// The outcome of a run over sockets.
    pub fn of_sockets(run: &Run, played: SocketRun) -> Outcome {
        let mut whole = Observations::default();
        for part in played.observations {
            whole.counts.extend(part.counts);
            whole.reached.extend(part.reached);
            whole.events.extend(part.events);
            whole.known.extend(part.known);
            whole.unroutable += part.unroutable;
        }
        let (before, after) = played.memory;
        let mut outcome = Outcome::new(run, whole, &played.lateness, after.saturating_sub(before));
        outcome.summary.not_sent = played.not_sent;
        for (phase, summary) in [
            (Phase::Ordinary, &mut outcome.summary.ordinary),
            (Phase::Event, &mut outcome.summary.after_event),
        ] {
            let whole = percent(played.cpu_ns[phase as usize], summary.seconds) / run.addresses.len() as f64;
            summary.test_bed_cpu_percent = (whole - summary.cpu_percent).max(0.0);
        }
        outcome
    }

    /// The outcome of what was observed, with the memory that the members took.
    pub fn new(run: &Run, mut observed: Observations, lateness: &Lateness, memory: u64) -> Outcome {
        observed.counts.sort_by_key(|(member, _)| *member);
        observed.known.sort_unstable();
        let config = &run.config;
        let known = std::mem::take(&mut observed.known);
        let (control, members) = observed.counts.split_at(config.replicas);
        let events = std::mem::take(&mut observed.events);
        let purge = (config.mechanism == Mechanism::Purge).then(|| check(run, events));
        let summary = Summary {
            mechanism: config.mechanism.name().to_owned(),
            event: config.event.name().to_owned(),
            flaw: config.flaw.map(|flaw| flaw.name().to_owned()),
            members: config.members,
            regions: run.network.topology().regions(),
            zones: run.network.topology().zones(),
            seed: config.seed,
            virtual_time: config.virtual_time,
            lag_p99_ms: lateness.quantile_ms(0.99),
            memory_per_member: memory as f64 / config.members.max(1) as f64,
            ordinary: phase_summary(run, members, Phase::Ordinary),
            after_event: phase_summary(run, members, Phase::Event),
            control_ordinary: phase_summary(run, control, Phase::Ordinary),
            control_after_event: phase_summary(run, control, Phase::Event),
            replicas: config.replicas,
            purge,
            changes: changes(run, &observed.reached),
            known: KnownMembers {
                least: known.first().copied().unwrap_or(0),
                median: known.get(known.len() / 2).copied().unwrap_or(0),
                most: known.last().copied().unwrap_or(0),
            },
            unroutable: observed.unroutable,
            not_sent: 0,
        };
        let members =
            observed.counts.iter().map(|(member, counts)| member_row(run, *member, counts)).collect();
        Outcome { summary, members }
    }
}

fn percent(cpu_ns: u64, seconds: f64) -> f64 {
    100.0 * cpu_ns as f64 / 1e9 / seconds.max(1e-9)
}

fn phase_summary(run: &Run, counts: &[(usize, MemberPhases)], phase: Phase) -> PhaseSummary {
    let seconds = run.schedule.phase_seconds(phase);
    if seconds <= 0.0 || counts.is_empty() {
        return PhaseSummary::default();
    }
    let of_phase: Vec<&MemberCounts> = counts.iter().map(|(_, phases)| &phases[phase as usize]).collect();
    let member_seconds = seconds * of_phase.len().max(1) as f64;
    let rate = |packets: u64, bytes: u64| Rate {
        packets_per_s: packets as f64 / member_seconds,
        bytes_per_s: bytes as f64 / member_seconds,
    };
    let mut kinds = BTreeMap::new();
    for kind in PacketKind::ALL {
        let packets = of_phase.iter().map(|one| one.sent[kind as usize].packets).sum::<u64>();
        let bytes = of_phase.iter().map(|one| one.sent[kind as usize].bytes).sum::<u64>();
        if bytes > 0 {
            kinds.insert(kind.name().to_owned(), rate(packets, bytes));
        }
    }
    let sum = |pick: fn(&MemberCounts) -> u64| of_phase.iter().map(|one| pick(one)).sum::<u64>();
    let most = |pick: fn(&MemberCounts) -> u64| of_phase.iter().map(|one| pick(one)).max().unwrap_or(0);
    let sent = rate(sum(|one| one.sent_total().packets), sum(|one| one.sent_total().bytes));
    let each = |cpu_ns: u64, count: u64| cpu_ns as f64 / 1e3 / count.max(1) as f64;
    PhaseSummary {
        seconds,
        kinds,
        sent,
        wire_bytes_per_s: sent.bytes_per_s + sent.packets_per_s * HEADERS_LENGTH,
        bytes_per_s_max: most(|one| one.sent_total().bytes) as f64 / seconds,
        received_bytes_per_s: sum(|one| one.received.bytes) as f64 / member_seconds,
        cpu_percent: percent(sum(MemberCounts::cpu_ns), member_seconds),
        cpu_percent_max: percent(most(MemberCounts::cpu_ns), seconds),
        us_per_datagram: each(sum(|one| one.datagrams.cpu_ns), sum(|one| one.datagrams.count)),
        us_per_tick: each(sum(|one| one.ticks.cpu_ns), sum(|one| one.ticks.count)),
        test_bed_cpu_percent: 0.0,
    }
}

/// Expectations of one name and time are one change: their observers are taken together.
fn changes(run: &Run, reached: &[Reached]) -> Vec<ChangeSummary> {
    let expectations = &run.schedule.expectations;
    let mut groups: Vec<(&Expectation, Vec<usize>)> = Vec::new();
    for (number, expectation) in expectations.iter().enumerate() {
        let same = |(first, _): &&mut (&Expectation, Vec<usize>)| {
            first.name == expectation.name && first.at == expectation.at
        };
        match groups.iter_mut().find(same) {
            Some((_, numbers)) => numbers.push(number),
            None => groups.push((expectation, vec![number])),
        }
    }
    groups.into_iter().map(|(first, numbers)| change(run, first, &numbers, reached)).collect()
}

fn change(run: &Run, first: &Expectation, numbers: &[usize], reached: &[Reached]) -> ChangeSummary {
    let observers: usize = numbers
        .iter()
        .map(|number| run.schedule.expectations[*number].observers.iter().filter(|asked| **asked).count())
        .sum();
    let mut times: Vec<Micros> = reached
        .iter()
        .filter(|one| numbers.contains(&one.expectation))
        .map(|one| one.at.saturating_sub(first.at))
        .collect();
    times.sort_unstable();
    let never = observers - times.len();
    let gone = matches!(first.query, StateQuery::Gone(_));
    let unaware = if gone { times.iter().filter(|time| **time < NOT_KNOWN_WITHIN).count() } else { 0 };
    times.drain(..unaware);
    let aware = observers - unaware;
    let at_share = |share: f64| {
        let rank = ((aware as f64 * share).ceil() as usize).max(1);
        times.get(rank - 1).map(|time| *time as f64 / 1e3)
    };
    ChangeSummary {
        name: first.name.to_owned(),
        observers,
        unaware,
        never,
        asked_s: (first.until - first.at) as f64 / 1e6,
        p50_ms: at_share(0.5),
        p99_ms: at_share(0.99),
        all_ms: at_share(1.0),
    }
}

fn member_row(run: &Run, member: usize, phases: &MemberPhases) -> MemberRow {
    let (ordinary, event) = (&phases[Phase::Ordinary as usize], &phases[Phase::Event as usize]);
    let per_s = |count: u64, phase: Phase| count as f64 / run.schedule.phase_seconds(phase).max(1e-9);
    MemberRow {
        member,
        zone: run.network.topology().zone(member),
        region: run.network.topology().region(member),
        packets_per_s: per_s(ordinary.sent_total().packets, Phase::Ordinary),
        bytes_per_s: per_s(ordinary.sent_total().bytes, Phase::Ordinary),
        received_bytes_per_s: per_s(ordinary.received.bytes, Phase::Ordinary),
        cpu_percent: percent(ordinary.cpu_ns(), run.schedule.phase_seconds(Phase::Ordinary)),
        event_packets_per_s: per_s(event.sent_total().packets, Phase::Event),
        event_bytes_per_s: per_s(event.sent_total().bytes, Phase::Event),
    }
}
