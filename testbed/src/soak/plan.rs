//! What one run of the soak does, drawn from its seed.

#[cfg(test)]
mod tests;

use std::fmt;
use std::time::Duration;

use juniperladder_platform_model::checker::CheckTerms;
use juniperladder_platform_model::experiment::{DeadlineProfile, Experiment};
use juniperladder_platform_model::reader::read;
use juniperladder_platform_model::rng::{seeded_rng, RngStream, SeededRng};
use juniperladder_platform_model::schedule::Change;
use juniperladder_platform_model::Micros;
use nix::sys::signal::Signal;
use rand::seq::SliceRandom;
use rand::Rng;

/// The longest deadline that the protocol counts for the time between SIGTERM and SIGKILL.
const MAX_COUNTED_DEADLINE: Micros = 3_000_000;
/// The protocol's time between SIGTERM and SIGKILL, beyond that deadline.
const TIME_AFTER_LONGEST_DEADLINE: Micros = 700_000;
/// For how long after SIGTERM new connections go on coming: the protocol's longest.
const FRONT_TIME: Micros = 400_000;
/// When the first SIGTERM comes, in microseconds of the load.
const TERMINATE_AT: std::ops::Range<Micros> = 1_200_000..1_700_000;
/// The time between two SIGTERMs to different balancers, at the most.
const MAX_TERMINATION_SPREAD: Micros = 300_000;
/// What a run goes on for after the kill.
const TIME_AFTER_KILL: Micros = 300_000;
/// How long a late turn lasts, in milliseconds.
const STALL_MS: std::ops::RangeInclusive<u64> = 60..=300;
/// Connections of a crowd: more than the slots that a balancer has for clients.
const CROWD_CONNECTIONS: usize = 480;
/// How many of a crowd send a byte at a time; the others say nothing.
const SLOW_CONNECTIONS: usize = 40;
/// The shares of runs in which each of these happens.
const CROWD_SHARE: f64 = 0.3;
const STALL_SHARE: f64 = 0.5;
const ENDPOINT_CHANGE_SHARE: f64 = 0.5;
const CROWDED_DISCOVERY_SHARE: f64 = 0.3;

/// One run.
#[derive(Clone, Debug)]
pub struct SoakPlan {
    /// The platform.
    pub experiment: Experiment,
    /// Connections of clients to each balancer.
    pub connections_per_balancer: usize,
    /// The balancers that are told to end.
    pub terminations: Vec<Termination>,
    /// What happens when, in order.
    pub steps: Vec<SoakStep>,
    /// The balancer that a crowd of silent and slow connections comes to.
    pub crowd: Option<Crowd>,
    /// When the run ends.
    pub end: Micros,
}

/// A balancer that is told to end.
#[derive(Clone, Copy, Debug)]
pub struct Termination {
    /// Its number.
    pub balancer: usize,
    /// When the first SIGTERM comes.
    pub at: Micros,
    /// When SIGKILL comes.
    pub kill_at: Micros,
}

/// A crowd of connections that bring no request.
#[derive(Clone, Copy, Debug)]
pub struct Crowd {
    /// The balancer that they come to.
    pub balancer: usize,
    /// Those that say nothing.
    pub silent: usize,
    /// Those that send a byte at a time.
    pub slow: usize,
}

/// Something that happens at its time.
#[derive(Clone, Debug)]
pub struct SoakStep {
    /// When, from the beginning of the load.
    pub at: Micros,
    /// What.
    pub action: SoakAction,
}

/// What happens.
#[derive(Clone, Debug)]
pub enum SoakAction {
    /// A process gets a signal.
    Signal(usize, Signal),
    /// A process stands still for so long.
    Stall(usize, Duration),
    /// A process's configuration can't be read from now on, or can again.
    BreakConfig(usize, bool),
    /// The platform changes.
    Change(Change),
}

impl SoakPlan {
    /// Draws the run of this seed, with this program.
    pub fn draw(seed: u64, deadlines: DeadlineProfile, program: &str) -> SoakPlan {
        let mut rng = seeded_rng(seed, RngStream::Soak);
        let experiment = draw_experiment(seed, deadlines, program, &mut rng);
        let terminations = draw_terminations(&experiment, &mut rng);
        let last_kill = terminations.iter().map(|termination| termination.kill_at).max().unwrap_or(0);
        let mut plan = SoakPlan {
            connections_per_balancer: rng.random_range(3..=8),
            crowd: draw_crowd(&terminations, &mut rng),
            steps: Vec::new(),
            end: last_kill + TIME_AFTER_KILL,
            experiment,
            terminations,
        };
        for termination in plan.terminations.clone() {
            plan.add_signals(termination, &mut rng);
            plan.add_stall(termination, &mut rng);
        }
        plan.add_endpoint_change(&mut rng);
        plan.steps.sort_by_key(|step| step.at);
        plan
    }

    /// Until when new connections come to a balancer.
    pub fn front_until(&self, balancer: usize) -> Micros {
        let own = self.terminations.iter().find(|termination| termination.balancer == balancer);
        own.map_or(self.end, |termination| termination.at + FRONT_TIME)
    }

    /// Until when clients begin requests at a balancer: at one that is told to end, up to the kill.
    pub fn load_until(&self, balancer: usize) -> Micros {
        let own = self.terminations.iter().find(|termination| termination.balancer == balancer);
        own.map_or(self.end, |termination| termination.kill_at)
    }

    fn add(&mut self, at: Micros, action: SoakAction) {
        self.steps.push(SoakStep { at, action });
    }

    /// The signals of a planned end, SIGHUP and SIGUSR1 among them, and a second SIGTERM.
    fn add_signals(&mut self, termination: Termination, rng: &mut SeededRng) {
        let Termination { balancer, at, kill_at } = termination;
        self.add(at, SoakAction::Signal(balancer, Signal::SIGTERM));
        if rng.random_bool(0.5) {
            let again = at + rng.random_range(1_000..1_000_000);
            self.add(again, SoakAction::Signal(balancer, Signal::SIGTERM));
        }
        for window in [at - 300_000..at, at..at + 30_000, at + 30_000..kill_at - 500_000] {
            if rng.random_bool(0.5) {
                let reload_at = rng.random_range(window.clone());
                self.add_reload(balancer, reload_at, rng);
            }
            if rng.random_bool(0.5) {
                let report_at = rng.random_range(window);
                for number in 0..rng.random_range(1..=20) {
                    self.add(report_at + number * 200, SoakAction::Signal(balancer, Signal::SIGUSR1));
                }
            }
        }
        self.add(kill_at, SoakAction::Signal(balancer, Signal::SIGKILL));
    }

    /// A SIGHUP with a good configuration or a broken one.
    fn add_reload(&mut self, balancer: usize, at: Micros, rng: &mut SeededRng) {
        let is_broken = rng.random_bool(0.5);
        if is_broken {
            self.add(at, SoakAction::BreakConfig(balancer, true));
        }
        self.add(at, SoakAction::Signal(balancer, Signal::SIGHUP));
        if is_broken {
            self.add(at + 100_000, SoakAction::BreakConfig(balancer, false));
        }
    }

    /// A late turn, which is over well before the process has to have ended.
    fn add_stall(&mut self, termination: Termination, rng: &mut SeededRng) {
        if !rng.random_bool(STALL_SHARE) {
            return;
        }
        let latest = termination.kill_at - 900_000;
        let at = rng.random_range(termination.at - 200_000..latest);
        let lasts = Duration::from_millis(rng.random_range(STALL_MS));
        self.add(at, SoakAction::Stall(termination.balancer, lasts));
    }

    fn add_endpoint_change(&mut self, rng: &mut SeededRng) {
        if !rng.random_bool(ENDPOINT_CHANGE_SHARE) {
            return;
        }
        let server = rng.random_range(0..self.experiment.fleet.servers);
        let first = self.terminations[0].at;
        let at = rng.random_range(first - 600_000..first + 800_000);
        let change =
            if rng.random_bool(0.5) { Change::Drain(vec![server]) } else { Change::Replace(vec![server]) };
        self.add(at, SoakAction::Change(change));
    }
}

impl fmt::Display for SoakPlan {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let fleet = &self.experiment.fleet;
        writeln!(
            out,
            "seed {}: {} balancers, {} servers, {} connections to each balancer, discovery {:.0} calls/s",
            self.experiment.seed,
            fleet.balancers,
            fleet.servers,
            self.connections_per_balancer,
            self.experiment.discovery.calls_per_s,
        )?;
        if let Some(crowd) = self.crowd {
            writeln!(out, "  {crowd:?}")?;
        }
        for step in &self.steps {
            writeln!(out, "  {:.3} s {:?}", step.at as f64 / 1e6, step.action)?;
        }
        Ok(())
    }
}

fn draw_experiment(seed: u64, deadlines: DeadlineProfile, program: &str, rng: &mut SeededRng) -> Experiment {
    let balancers = rng.random_range(2..=4);
    let servers = rng.random_range(4..=8);
    let calls_per_s = if rng.random_bool(CROWDED_DISCOVERY_SHARE) { 2.0 } else { 500.0 };
    let profile = match deadlines {
        DeadlineProfile::Long => "long",
        DeadlineProfile::Short => "short",
    };
    let text = format!(
        "name = \"soak\"\nseed = {seed}\nseconds = 10\ndeadlines = \"{profile}\"\n\
         [fleet]\nbalancers = {balancers}\nhosts = {servers}\nzones = 2\nprogram = {program:?}\n\
         [load]\nrate = 400\nkeys = 300\nwrites = 0.1\nwarm = 0\n[hosts]\nwork_ms = 4\n\
         [origin]\ncapacity = 2000\nwork_ms = 30\n[discovery]\nnotice_s = 0.1\ncalls_per_s = {calls_per_s}\n"
    );
    read(&text, &[]).expect("the text has every field that an experiment needs")
}

fn draw_terminations(experiment: &Experiment, rng: &mut SeededRng) -> Vec<Termination> {
    let longest = CheckTerms::of(experiment).longest_deadline().min(MAX_COUNTED_DEADLINE);
    let mut balancers: Vec<usize> = (0..experiment.fleet.balancers).collect();
    balancers.shuffle(rng);
    balancers.truncate(rng.random_range(1..experiment.fleet.balancers));
    let first = rng.random_range(TERMINATE_AT);
    let terminate = |(place, balancer): (usize, usize)| {
        let at = if place == 0 { first } else { first + rng.random_range(0..MAX_TERMINATION_SPREAD) };
        Termination { balancer, at, kill_at: at + longest + TIME_AFTER_LONGEST_DEADLINE }
    };
    balancers.into_iter().enumerate().map(terminate).collect()
}

fn draw_crowd(terminations: &[Termination], rng: &mut SeededRng) -> Option<Crowd> {
    let crowd = Crowd {
        balancer: terminations[0].balancer,
        silent: CROWD_CONNECTIONS - SLOW_CONNECTIONS,
        slow: SLOW_CONNECTIONS,
    };
    rng.random_bool(CROWD_SHARE).then_some(crowd)
}
