//! The schedule of a run: its faults and purges, and the changes that members are expected to learn of. The configuration
//! and the seed determine it before the run starts.

use std::net::SocketAddr;
use std::ops::Range;

use super::config::{FaultScenario, Mechanism, ScaleConfig};
use super::endpoint::StateQuery;
use super::network::{Network, PacketLoss, Partition, PartitionScope};
use super::topology::Topology;
use super::Micros;

/// The time at which every run starts. It is lower than the time of any real clock, and high enough that subtracting a
/// duration does not underflow.
pub const CLOCK_START: Micros = 1_000_000_000;
/// Share of the measured time that is the steady state, before the fault scenario.
const STEADY_STATE_TIME_SHARE: f64 = 1.0 / 3.0;
/// Share of the fault scenario's time after which crashed members restart and partitions heal.
const RECOVERY_TIME_SHARE: f64 = 0.45;
/// Share of the fault scenario's time after which a cache server stops answering.
const SERVER_SILENCE_TIME_SHARE: f64 = 0.7;
/// Share of packets lost in [`FaultScenario::Loss`].
const LOST_PACKET_SHARE: f64 = 0.01;
/// Share of members that restart in [`FaultScenario::RestartWave`].
const RESTARTED_MEMBER_SHARE: f64 = 0.4;
/// Time within which the members of a restart wave stop.
const RESTART_WAVE_DURATION: Micros = 5_000_000;
/// Time from the stop of a member of a restart wave to its start.
const RESTART_DOWNTIME: Micros = 1_000_000;
/// Number of seed members, which every member contacts first.
pub const SEED_MEMBER_COUNT: usize = 3;
/// Number of purge replicas killed in [`FaultScenario::ControlLoss`].
const KILLED_REPLICA_COUNT: usize = 2;
/// Time from the start of the run to the first purge.
const FIRST_PURGE_DELAY: Micros = 3_000_000;
/// Number of affected members that the expectations are about when a fault affects many members.
const SAMPLED_MEMBER_COUNT: usize = 3;

/// The kind of an [`Action`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ActionKind {
    /// Kills the member.
    Stop,
    /// Starts the member without any state.
    Start,
    /// Publishes the purge with this number at the member.
    Publish(u32),
}

/// A scheduled action on a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Action {
    /// Time of the action.
    pub at: Micros,
    /// The member.
    pub member: usize,
    /// The kind of action.
    pub kind: ActionKind,
}

/// A change that all observers are expected to learn of.
#[derive(Clone, Debug)]
pub struct Expectation {
    /// The name in results.
    pub name: &'static str,
    /// Time of the change.
    pub at: Micros,
    /// End of the checks.
    pub until: Micros,
    /// The query that an observer satisfies once it has learned of the change.
    pub query: StateQuery,
    /// Whether a member is an observer, by member number.
    pub observers: Vec<bool>,
}

/// The phases of a run; traffic and processor time are measured by phase.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(usize)]
pub enum Phase {
    /// The fleet forms; not part of the results.
    WarmUp,
    /// The steady state.
    SteadyState,
    /// The fault scenario, to the end of the run.
    FaultScenario,
}

impl Phase {
    /// Number of phases.
    pub const COUNT: usize = 3;
}

/// The schedule of a run.
#[derive(Clone, Debug)]
pub struct Schedule {
    /// End of the warm-up.
    pub warm_up_end: Micros,
    /// Start of the fault scenario; the end of the run if there is none.
    pub fault_start: Micros,
    /// End of the run.
    pub end: Micros,
    /// The actions on members, sorted by time.
    pub actions: Vec<Action>,
    /// The changes that members are expected to learn of.
    pub expectations: Vec<Expectation>,
    /// Each cache server that stops answering, with the period.
    pub silent_servers: Vec<(u64, Range<Micros>)>,
}

impl Schedule {
    /// Creates the schedule of a run and adds its network faults to `network`.
    pub fn new(config: &ScaleConfig, network: &mut Network, addresses: &[SocketAddr]) -> Schedule {
        let to_micros = |seconds: f64| (seconds * 1e6) as Micros;
        let warm_up_end = CLOCK_START + to_micros(config.warm_up_s);
        let end = warm_up_end + to_micros(config.seconds);
        let fault_start = match config.fault_scenario {
            FaultScenario::None => end,
            _ => warm_up_end + to_micros(config.seconds * STEADY_STATE_TIME_SHARE),
        };
        let schedule = Schedule {
            warm_up_end,
            fault_start,
            end,
            actions: Vec::new(),
            expectations: Vec::new(),
            silent_servers: Vec::new(),
        };
        let rng = fastrand::Rng::with_seed(config.seed ^ 0x5c4e_d01e);
        let first_stoppable_member =
            if config.replicas > 0 { config.replicas } else { SEED_MEMBER_COUNT.min(addresses.len() - 1) };
        let mut builder = ScheduleBuilder {
            schedule,
            network,
            addresses,
            rng,
            replicas: config.replicas,
            first_stoppable_member,
        };
        builder.add_fault_scenario(config.fault_scenario);
        builder.add_purges(config);
        if config.mechanism == Mechanism::Purge {
            // Members have no membership in this mechanism, so that they cannot satisfy any query.
            builder.schedule.expectations.clear();
        }
        builder.schedule.actions.sort_by_key(|action| action.at);
        builder.schedule
    }

    /// The phase at a time.
    pub fn phase(&self, now: Micros) -> Phase {
        if now < self.warm_up_end {
            Phase::WarmUp
        } else if now < self.fault_start {
            Phase::SteadyState
        } else {
            Phase::FaultScenario
        }
    }

    /// Duration of a phase, in seconds.
    pub fn phase_seconds(&self, phase: Phase) -> f64 {
        let span = match phase {
            Phase::WarmUp => self.warm_up_end - CLOCK_START,
            Phase::SteadyState => self.fault_start - self.warm_up_end,
            Phase::FaultScenario => self.end - self.fault_start,
        };
        span as f64 / 1e6
    }
}

/// Adds the actions, network faults and expectations of a fault scenario to a schedule.
struct ScheduleBuilder<'a> {
    schedule: Schedule,
    network: &'a mut Network,
    addresses: &'a [SocketAddr],
    rng: fastrand::Rng,
    /// Number of purge replicas; they have the lowest member numbers.
    replicas: usize,
    /// The lowest number of a member that [`FaultScenario::MemberLost`] may stop. Purge replicas and seeds are exempt,
    /// but at least one member can always be stopped.
    first_stoppable_member: usize,
}

impl ScheduleBuilder<'_> {
    fn topology(&self) -> &Topology {
        self.network.topology()
    }

    /// The time after this share of the fault scenario.
    fn time_at_share(&self, share: f64) -> Micros {
        let Schedule { fault_start, end, .. } = self.schedule;
        fault_start + ((end - fault_start) as f64 * share) as Micros
    }

    fn add_fault_scenario(&mut self, scenario: FaultScenario) {
        match scenario {
            FaultScenario::None => {}
            FaultScenario::MemberLost => self.add_member_lost(),
            FaultScenario::Loss => {
                let period = self.schedule.warm_up_end..self.schedule.end;
                self.network.add_packet_loss(PacketLoss { period, lost_share: LOST_PACKET_SHARE });
                self.add_member_lost();
            }
            FaultScenario::ZoneLost => self.add_zone_lost(),
            FaultScenario::RegionCut => self.add_region_cut(),
            FaultScenario::RestartWave => self.add_restart_wave(),
            FaultScenario::ControlLoss => self.add_control_loss(),
        }
    }

    fn add_member_lost(&mut self) {
        let count = self.topology().members();
        let member = self.rng.usize(self.first_stoppable_member..count);
        let (stop, start, silence) = (
            self.time_at_share(0.0),
            self.time_at_share(RECOVERY_TIME_SHARE),
            self.time_at_share(SERVER_SILENCE_TIME_SHARE),
        );
        self.add_action(stop, member, ActionKind::Stop);
        self.add_action(start, member, ActionKind::Start);
        let mut others = vec![true; count];
        others[member] = false;
        let address = self.addresses[member];
        self.add_expectation("member-gone", stop..start, StateQuery::NotAlive(address), others.clone());
        self.add_expectation(
            "member-back",
            start..self.schedule.end,
            StateQuery::Alive(address),
            others.clone(),
        );
        self.schedule.silent_servers.push((self.rng.u64(0..64), silence..self.schedule.end));
        self.add_expectation(
            "host-silent",
            silence..self.schedule.end,
            StateQuery::SilentServerAvoided,
            vec![true; count],
        );
    }

    fn add_zone_lost(&mut self) {
        let zone = self.rng.usize(0..self.topology().zones());
        let (stop, start) = (self.time_at_share(0.0), self.time_at_share(RECOVERY_TIME_SHARE));
        let lost: Vec<usize> =
            (0..self.topology().members()).filter(|member| self.topology().zone(*member) == zone).collect();
        for member in &lost {
            self.add_action(stop, *member, ActionKind::Stop);
            self.add_action(start, *member, ActionKind::Start);
        }
        let others = self.flags_of_others(&lost);
        for address in self.sample_addresses(&lost) {
            self.add_expectation("zone-gone", stop..start, StateQuery::NotAlive(address), others.clone());
            self.add_expectation(
                "zone-back",
                start..self.schedule.end,
                StateQuery::Alive(address),
                others.clone(),
            );
        }
    }

    fn add_region_cut(&mut self) {
        let region = self.rng.usize(0..self.topology().regions());
        let (partition_start, partition_end) =
            (self.time_at_share(0.0), self.time_at_share(RECOVERY_TIME_SHARE));
        self.network.add_partition(Partition {
            period: partition_start..partition_end,
            scope: PartitionScope::Region(region),
        });
        let inside: Vec<usize> = (0..self.topology().members())
            .filter(|member| self.topology().region(*member) == region)
            .collect();
        let outside = self.flags_of_others(&inside);
        for address in self.sample_addresses(&inside) {
            self.add_expectation(
                "region-gone",
                partition_start..partition_end,
                StateQuery::NotAlive(address),
                outside.clone(),
            );
            self.add_expectation(
                "region-back",
                partition_end..self.schedule.end,
                StateQuery::Alive(address),
                outside.clone(),
            );
        }
    }

    fn add_restart_wave(&mut self) {
        let mut members: Vec<usize> = (self.replicas..self.topology().members()).collect();
        self.rng.shuffle(&mut members);
        members.truncate((members.len() as f64 * RESTARTED_MEMBER_SHARE) as usize);
        for member in &members {
            let stop = self.time_at_share(0.0) + self.rng.u64(0..RESTART_WAVE_DURATION);
            self.add_action(stop, *member, ActionKind::Stop);
            self.add_action(stop + RESTART_DOWNTIME, *member, ActionKind::Start);
        }
        let all_restarted = self.time_at_share(0.0) + RESTART_WAVE_DURATION + RESTART_DOWNTIME;
        let all = vec![true; self.topology().members()];
        for address in self.sample_addresses(&members) {
            let mut others = all.clone();
            if let Some(member) = self.addresses.iter().position(|other| *other == address) {
                others[member] = false;
            }
            self.add_expectation(
                "restarted-known",
                all_restarted..self.schedule.end,
                StateQuery::Alive(address),
                others,
            );
        }
    }

    /// Two purge replicas crash at the same time and restart. Does nothing without purge replicas.
    fn add_control_loss(&mut self) {
        let mut replicas: Vec<usize> = (0..self.replicas).collect();
        self.rng.shuffle(&mut replicas);
        for replica in replicas.into_iter().take(KILLED_REPLICA_COUNT) {
            self.add_action(self.time_at_share(0.0), replica, ActionKind::Stop);
            self.add_action(self.time_at_share(RECOVERY_TIME_SHARE), replica, ActionKind::Start);
        }
    }

    /// Adds purges at a constant rate, published by the purge replicas round-robin.
    fn add_purges(&mut self, config: &ScaleConfig) {
        if self.replicas == 0 || config.publishes_per_s <= 0.0 {
            return;
        }
        let interval = (1e6 / config.publishes_per_s) as Micros;
        let times = (CLOCK_START + FIRST_PURGE_DELAY..self.schedule.end).step_by(interval.max(1) as usize);
        for (number, at) in times.enumerate() {
            self.add_action(at, number % self.replicas, ActionKind::Publish(number as u32));
        }
    }

    fn add_action(&mut self, at: Micros, member: usize, kind: ActionKind) {
        if at < self.schedule.end {
            self.schedule.actions.push(Action { at, member, kind });
        }
    }

    fn add_expectation(
        &mut self,
        name: &'static str,
        period: Range<Micros>,
        query: StateQuery,
        observers: Vec<bool>,
    ) {
        let Range { start: at, end: until } = period;
        if at < until {
            self.schedule.expectations.push(Expectation { name, at, until, query, observers });
        }
    }

    /// A flag by member number, which is set for all members except these.
    fn flags_of_others(&self, members: &[usize]) -> Vec<bool> {
        let mut others = vec![true; self.topology().members()];
        members.iter().for_each(|member| others[*member] = false);
        others
    }

    /// The addresses of [`SAMPLED_MEMBER_COUNT`] random members of these, or of all if they are fewer.
    fn sample_addresses(&mut self, members: &[usize]) -> Vec<SocketAddr> {
        let mut members = members.to_vec();
        self.rng.shuffle(&mut members);
        members.into_iter().take(SAMPLED_MEMBER_COUNT).map(|member| self.addresses[member]).collect()
    }
}
