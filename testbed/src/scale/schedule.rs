//! The schedule of a run: its faults and purges, and the changes that members are expected to learn of. The configuration
//! and the seed determine it before the run starts.

use std::net::SocketAddr;
use std::ops::Range;

use super::config::{Event, Mechanism, ScaleConfig};
use super::endpoint::StateQuery;
use super::network::{Network, PacketLoss, Partition, PartitionScope};
use super::topology::Topology;
use super::Micros;

/// The time at which every run starts. It is lower than the time of any real clock, and high enough that subtracting a
/// duration does not underflow.
pub const CLOCK_START: Micros = 1_000_000_000;
/// Share of the measured time that is the steady state, before the fault scenario.
const ORDINARY_SHARE: f64 = 1.0 / 3.0;
/// Share of the fault scenario's time after which crashed members restart and partitions heal.
const RETURN_PART: f64 = 0.45;
/// Share of the fault scenario's time after which a cache server stops answering.
const SILENCE_PART: f64 = 0.7;
/// Share of packets lost in [`Event::Loss`].
const LOSS_SHARE: f64 = 0.01;
/// Share of members that restart in [`Event::RestartWave`].
const WAVE_SHARE: f64 = 0.4;
/// Time within which these members stop.
const WAVE_SPREAD: Micros = 5_000_000;
/// Time from the stop of each of these members to its start.
const WAVE_AWAY: Micros = 1_000_000;
/// Number of seed members, which every member contacts first.
pub const SEED_COUNT: usize = 3;
/// Number of control machines killed in [`Event::ControlLoss`].
const REPLICAS_LOST: usize = 2;
/// Time from the start of the run to the first purge.
const PUBLISHED_AFTER: Micros = 3_000_000;
/// Number of members whose state the others are checked for when a fault affects many members.
const SAMPLED_MEMBERS: usize = 3;

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
    Ordinary,
    /// The fault scenario, to the end of the run.
    Event,
}

impl Phase {
    /// Number of phases.
    pub const COUNT: usize = 3;
}

/// The schedule of a run.
#[derive(Clone, Debug)]
pub struct Schedule {
    /// End of the warm-up.
    pub warm: Micros,
    /// Start of the fault scenario.
    pub event: Micros,
    /// End of the run.
    pub end: Micros,
    /// The actions on members, sorted by time.
    pub actions: Vec<Action>,
    /// The changes that members are expected to learn of.
    pub expectations: Vec<Expectation>,
    /// Cache servers that stop answering, and for which period.
    pub silent_hosts: Vec<(u64, Range<Micros>)>,
}

impl Schedule {
    /// Creates the schedule of a run and adds its network faults to `network`.
    pub fn new(config: &ScaleConfig, network: &mut Network, addresses: &[SocketAddr]) -> Schedule {
        let micros = |seconds: f64| (seconds * 1e6) as Micros;
        let warm = CLOCK_START + micros(config.warm_up_s);
        let end = warm + micros(config.seconds);
        let event = match config.event {
            Event::None => end,
            _ => warm + micros(config.seconds * ORDINARY_SHARE),
        };
        let schedule = Schedule {
            warm,
            event,
            end,
            actions: Vec::new(),
            expectations: Vec::new(),
            silent_hosts: Vec::new(),
        };
        let rng = fastrand::Rng::with_seed(config.seed ^ 0x5c4e_d01e);
        let first = if config.replicas > 0 { config.replicas } else { SEED_COUNT.min(addresses.len() - 1) };
        let mut builder = Builder { schedule, network, addresses, rng, replicas: config.replicas, first };
        builder.add(config.event);
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
        if now < self.warm {
            Phase::WarmUp
        } else if now < self.event {
            Phase::Ordinary
        } else {
            Phase::Event
        }
    }

    /// Duration of a phase, in seconds.
    pub fn phase_seconds(&self, phase: Phase) -> f64 {
        let span = match phase {
            Phase::WarmUp => self.warm - CLOCK_START,
            Phase::Ordinary => self.event - self.warm,
            Phase::Event => self.end - self.event,
        };
        span as f64 / 1e6
    }
}

/// Adds the actions, network faults and expectations of a fault scenario to a schedule.
struct Builder<'a> {
    schedule: Schedule,
    network: &'a mut Network,
    addresses: &'a [SocketAddr],
    rng: fastrand::Rng,
    /// Number of control machines; they have the lowest member numbers.
    replicas: usize,
    /// The lowest number of a member that [`Event::MemberLost`] may stop: control machines and seeds are exempt, except that
    /// one member always remains.
    first: usize,
}

impl Builder<'_> {
    fn topology(&self) -> &Topology {
        self.network.topology()
    }

    /// The time after this share of the fault scenario.
    fn part(&self, part: f64) -> Micros {
        let Schedule { event, end, .. } = self.schedule;
        event + ((end - event) as f64 * part) as Micros
    }

    fn add(&mut self, event: Event) {
        match event {
            Event::None => {}
            Event::MemberLost => self.add_member_lost(),
            Event::Loss => {
                let period = self.schedule.warm..self.schedule.end;
                self.network.add_packet_loss(PacketLoss { period, lost_share: LOSS_SHARE });
                self.add_member_lost();
            }
            Event::ZoneLost => self.add_zone_lost(),
            Event::RegionCut => self.add_region_cut(),
            Event::RestartWave => self.add_restart_wave(),
            Event::ControlLoss => self.add_control_loss(),
        }
    }

    fn add_member_lost(&mut self) {
        let count = self.topology().members();
        let member = self.rng.usize(self.first..count);
        let (stop, start, silence) = (self.part(0.0), self.part(RETURN_PART), self.part(SILENCE_PART));
        self.act(stop, member, ActionKind::Stop);
        self.act(start, member, ActionKind::Start);
        let mut others = vec![true; count];
        others[member] = false;
        let address = self.addresses[member];
        self.expect("member-gone", stop..start, StateQuery::NotAlive(address), others.clone());
        self.expect("member-back", start..self.schedule.end, StateQuery::Alive(address), others.clone());
        self.schedule.silent_hosts.push((self.rng.u64(0..64), silence..self.schedule.end));
        self.expect(
            "host-silent",
            silence..self.schedule.end,
            StateQuery::SilentServerAvoided,
            vec![true; count],
        );
    }

    fn add_zone_lost(&mut self) {
        let zone = self.rng.usize(0..self.topology().zones());
        let (stop, start) = (self.part(0.0), self.part(RETURN_PART));
        let lost: Vec<usize> =
            (0..self.topology().members()).filter(|member| self.topology().zone(*member) == zone).collect();
        for member in &lost {
            self.act(stop, *member, ActionKind::Stop);
            self.act(start, *member, ActionKind::Start);
        }
        let others = self.others(&lost);
        for address in self.sample(&lost) {
            self.expect("zone-gone", stop..start, StateQuery::NotAlive(address), others.clone());
            self.expect("zone-back", start..self.schedule.end, StateQuery::Alive(address), others.clone());
        }
    }

    fn add_region_cut(&mut self) {
        let region = self.rng.usize(0..self.topology().regions());
        let (partition_start, partition_end) = (self.part(0.0), self.part(RETURN_PART));
        self.network.add_partition(Partition {
            period: partition_start..partition_end,
            scope: PartitionScope::Region(region),
        });
        let inside: Vec<usize> = (0..self.topology().members())
            .filter(|member| self.topology().region(*member) == region)
            .collect();
        let outside = self.others(&inside);
        for address in self.sample(&inside) {
            self.expect(
                "region-gone",
                partition_start..partition_end,
                StateQuery::NotAlive(address),
                outside.clone(),
            );
            self.expect(
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
        members.truncate((members.len() as f64 * WAVE_SHARE) as usize);
        for member in &members {
            let stop = self.part(0.0) + self.rng.u64(0..WAVE_SPREAD);
            self.act(stop, *member, ActionKind::Stop);
            self.act(stop + WAVE_AWAY, *member, ActionKind::Start);
        }
        let over = self.part(0.0) + WAVE_SPREAD + WAVE_AWAY;
        let all = vec![true; self.topology().members()];
        for address in self.sample(&members) {
            let mut others = all.clone();
            if let Some(member) = self.addresses.iter().position(|other| *other == address) {
                others[member] = false;
            }
            self.expect("restarted-known", over..self.schedule.end, StateQuery::Alive(address), others);
        }
    }

    /// Two control machines crash at the same time and restart. Does nothing without control machines.
    fn add_control_loss(&mut self) {
        let mut replicas: Vec<usize> = (0..self.replicas).collect();
        self.rng.shuffle(&mut replicas);
        for replica in replicas.into_iter().take(REPLICAS_LOST) {
            self.act(self.part(0.0), replica, ActionKind::Stop);
            self.act(self.part(RETURN_PART), replica, ActionKind::Start);
        }
    }

    /// Adds purges at a constant rate, published by the control machines round-robin.
    fn add_purges(&mut self, config: &ScaleConfig) {
        if self.replicas == 0 || config.publishes_per_s <= 0.0 {
            return;
        }
        let between = (1e6 / config.publishes_per_s) as Micros;
        let times = (CLOCK_START + PUBLISHED_AFTER..self.schedule.end).step_by(between.max(1) as usize);
        for (number, at) in times.enumerate() {
            self.act(at, number % self.replicas, ActionKind::Publish(number as u32));
        }
    }

    fn act(&mut self, at: Micros, member: usize, kind: ActionKind) {
        if at < self.schedule.end {
            self.schedule.actions.push(Action { at, member, kind });
        }
    }

    fn expect(&mut self, name: &'static str, during: Range<Micros>, query: StateQuery, observers: Vec<bool>) {
        let Range { start: at, end: until } = during;
        if at < until {
            self.schedule.expectations.push(Expectation { name, at, until, query, observers });
        }
    }

    /// All members except these, as a flag by member number.
    fn others(&self, members: &[usize]) -> Vec<bool> {
        let mut others = vec![true; self.topology().members()];
        members.iter().for_each(|member| others[*member] = false);
        others
    }

    /// The addresses of [`SAMPLED_MEMBERS`] random members of these, or of all if they are fewer.
    fn sample(&mut self, members: &[usize]) -> Vec<SocketAddr> {
        let mut members = members.to_vec();
        self.rng.shuffle(&mut members);
        members.into_iter().take(SAMPLED_MEMBERS).map(|member| self.addresses[member]).collect()
    }
}
