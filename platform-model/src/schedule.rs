//! Compiles an experiment's faults to a schedule of changes with their times and targets.

#[cfg(test)]
mod tests;

use rand::seq::SliceRandom;

use crate::experiment::{Experiment, Fault, FaultKind};
use crate::group::{resolve_group, GroupMembers};
use crate::links::Links;
use crate::rng::{mix_bits, seeded_rng, RngStream};
use crate::{micros_from_seconds, Micros};

/// Seconds from one step of a roll or a flapping server to the next, if the file does not set it.
const DEFAULT_STEP_S: f64 = 1.0;

/// A change of the platform.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// The links of this fault become faulty (`true`), or healthy again.
    Links(bool),
    /// Processes are killed.
    Kill(Vec<usize>),
    /// Processes receive SIGTERM.
    Term(Vec<usize>),
    /// Processes start again, once they have exited.
    Start(Vec<usize>),
    /// Processes are frozen.
    Freeze(Vec<usize>),
    /// Processes resume.
    Thaw(Vec<usize>),
    /// Servers stop answering (`true`), or answer again.
    Silent(Vec<usize>, bool),
    /// Servers take this factor longer for each request.
    Slow(Vec<usize>, f64),
    /// Servers fail this share of their requests.
    Failing(Vec<usize>, f64),
    /// Servers drain.
    Drain(Vec<usize>),
    /// Servers terminate.
    Gone(Vec<usize>),
    /// Servers restart, in slow start and with empty caches.
    Restart(Vec<usize>),
    /// The servers are replaced by others at the same addresses.
    Replace(Vec<usize>),
    /// The origin takes this factor longer for each request.
    OriginSlow(f64),
    /// Discovery goes down (`true`), or comes up again.
    DiscoveryDown(bool),
    /// Discovery delays its notices to each balancer by up to this time.
    ListLate(Micros),
}

/// A change with its time.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    /// Time of the change, from the experiment's beginning.
    pub at: Micros,
    /// Number of the fault that causes the change, from 0.
    pub fault: usize,
    /// The change.
    pub change: Change,
}

/// The compiled faults of an experiment.
#[derive(Clone, Debug, Default)]
pub struct Schedule {
    /// All changes, in order of time.
    pub steps: Vec<Step>,
    /// The links with their faults, all inactive.
    pub links: Links,
}

/// Compiles a checked experiment's faults. The same seed gives the same targets.
pub fn compile_schedule(experiment: &Experiment) -> Schedule {
    let mut rng = seeded_rng(experiment.seed, RngStream::Groups);
    let mut schedule = Schedule::default();
    for (number, fault) in experiment.fault.iter().enumerate() {
        // The groups of a checked file are valid and have members.
        let mut group_members =
            |text: &String| resolve_group(text, &experiment.fleet, &mut rng).unwrap_or_default();
        if let Some([first, second]) = &fault.link_ends {
            let from = group_members(first);
            let to = group_members(second);
            schedule.links.add_fault(number, fault, from, to);
        }
        let targets = fault.targets.as_ref().map(group_members).unwrap_or_default();
        let compiler = FaultCompiler { experiment, number, fault, targets };
        let steps = compiler.changes().into_iter();
        schedule.steps.extend(steps.map(|(at, change)| Step { at, fault: number, change }));
    }
    schedule.steps.sort_by_key(|step| step.at);
    schedule
}

/// Changes with their times.
type TimedChanges = Vec<(Micros, Change)>;

/// Compiles one fault; holds the members of its group.
struct FaultCompiler<'a> {
    experiment: &'a Experiment,
    number: usize,
    fault: &'a Fault,
    targets: GroupMembers,
}

impl FaultCompiler<'_> {
    fn changes(&self) -> TimedChanges {
        match self.fault.kind {
            FaultKind::Cut
            | FaultKind::Reset
            | FaultKind::Lose
            | FaultKind::Delay
            | FaultKind::Repeat
            | FaultKind::Reorder
            | FaultKind::Spoil => self.begin_and_end(Change::Links(true), Change::Links(false)),
            FaultKind::Kill | FaultKind::Term | FaultKind::Freeze | FaultKind::Roll => self.process_changes(),
            FaultKind::OriginSlow => {
                let factor = self.fault.slowdown_factor.unwrap_or(1.0);
                self.begin_and_end(Change::OriginSlow(factor), Change::OriginSlow(1.0))
            }
            FaultKind::DiscoveryDown => {
                self.begin_and_end(Change::DiscoveryDown(true), Change::DiscoveryDown(false))
            }
            FaultKind::ListLate => {
                let max_delay = micros_from_seconds(self.fault.max_notice_delay_s.unwrap_or(0.0));
                self.begin_and_end(Change::ListLate(max_delay), Change::ListLate(0))
            }
            _ => self.server_changes(),
        }
    }

    fn process_changes(&self) -> TimedChanges {
        let balancers = || self.targets.balancers.clone();
        match self.fault.kind {
            FaultKind::Kill => self.stop_and_start(Change::Kill(balancers())),
            FaultKind::Term => self.stop_and_start(Change::Term(balancers())),
            FaultKind::Roll => self.roll(),
            _ => self.begin_and_end(Change::Freeze(balancers()), Change::Thaw(balancers())),
        }
    }

    fn server_changes(&self) -> TimedChanges {
        let servers = || self.targets.servers.clone();
        let factor = self.fault.slowdown_factor.unwrap_or(1.0);
        let share = self.fault.share.unwrap_or(1.0);
        match self.fault.kind {
            FaultKind::Silent => {
                self.begin_and_end(Change::Silent(servers(), true), Change::Silent(servers(), false))
            }
            FaultKind::Slow => {
                self.begin_and_end(Change::Slow(servers(), factor), Change::Slow(servers(), 1.0))
            }
            FaultKind::Failing => {
                self.begin_and_end(Change::Failing(servers(), share), Change::Failing(servers(), 0.0))
            }
            FaultKind::Drain => self.begin_and_end(Change::Drain(servers()), Change::Restart(servers())),
            FaultKind::Gone => self.begin_and_end(Change::Gone(servers()), Change::Restart(servers())),
            FaultKind::Restart => vec![(self.start_time(), Change::Restart(servers()))],
            FaultKind::Replace => vec![(self.start_time(), Change::Replace(servers()))],
            _ => self.flap(),
        }
    }

    fn start_time(&self) -> Micros {
        micros_from_seconds(self.fault.at)
    }

    /// `None` if the fault lasts to the end of the run.
    fn end_time(&self) -> Option<Micros> {
        self.fault.duration_s.map(|duration_s| self.start_time() + micros_from_seconds(duration_s))
    }

    fn step_interval(&self) -> Micros {
        micros_from_seconds(self.fault.step_s.unwrap_or(DEFAULT_STEP_S))
    }

    /// A change at the start of the fault, and one at its end unless it lasts to the end of the run.
    fn begin_and_end(&self, begin: Change, end: Change) -> TimedChanges {
        let mut changes = vec![(self.start_time(), begin)];
        changes.extend(self.end_time().map(|at| (at, end)));
        changes
    }

    /// Stops processes, and starts them again if the file sets a time for it.
    fn stop_and_start(&self, stop: Change) -> TimedChanges {
        let mut changes = vec![(self.start_time(), stop)];
        let start = Change::Start(self.targets.balancers.clone());
        changes.extend(
            self.fault
                .restart_after_s
                .map(|delay_s| (self.start_time() + micros_from_seconds(delay_s), start)),
        );
        changes
    }

    /// Stops and restarts processes, a share at a time, in an order drawn with the seed.
    fn roll(&self) -> TimedChanges {
        let mut order = self.targets.balancers.clone();
        let seed = mix_bits(self.experiment.seed ^ self.number as u64);
        order.shuffle(&mut seeded_rng(seed, RngStream::Groups));
        let share = self.fault.share.unwrap_or(1.0);
        let batch_size = ((order.len() as f64 * share).round() as usize).max(1);
        let mut changes = Vec::new();
        for (batch_number, batch) in order.chunks(batch_size).enumerate() {
            let at = self.start_time() + batch_number as Micros * self.step_interval();
            changes.push((at, Change::Term(batch.to_vec())));
            changes.push((at, Change::Start(batch.to_vec())));
        }
        changes
    }

    /// Alternates between servers that do not answer and servers that do; at the end they answer.
    fn flap(&self) -> TimedChanges {
        let servers = || self.targets.servers.clone();
        let end = self.end_time().unwrap_or(micros_from_seconds(self.experiment.seconds));
        let mut changes: TimedChanges = (0..)
            .map(|step: Micros| {
                let is_silent = step.is_multiple_of(2);
                (self.start_time() + step * self.step_interval(), Change::Silent(servers(), is_silent))
            })
            .take_while(|(at, _)| *at < end)
            .collect();
        changes.push((end, Change::Silent(servers(), false)));
        changes
    }
}
