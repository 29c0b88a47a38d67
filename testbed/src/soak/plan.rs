//! The plan of one run of the soak, drawn from its seed.

#[cfg(test)]
mod tests;

use std::fmt;
use std::time::Duration;

use juniperladder_platform_model::checker::CheckConfig;
use juniperladder_platform_model::experiment::{DeadlineProfile, Experiment};
use juniperladder_platform_model::reader::read;
use juniperladder_platform_model::rng::{seeded_rng, RngStream, SeededRng};
use juniperladder_platform_model::schedule::Change;
use juniperladder_platform_model::Micros;
use nix::sys::signal::Signal;
use rand::seq::SliceRandom;
use rand::Rng;

/// Maximum deadline that the protocol takes into account for the time between SIGTERM and SIGKILL.
const MAX_COUNTED_DEADLINE: Micros = 3_000_000;
/// Time between SIGTERM and SIGKILL in addition to the longest deadline, as in the protocol.
const TIME_AFTER_LONGEST_DEADLINE: Micros = 700_000;
/// Time after SIGTERM for which clients still open connections: the protocol's maximum.
const CONNECT_TIME_AFTER_SIGTERM: Micros = 400_000;
/// Time of the first SIGTERM after the start of the load, in microseconds.
const TERMINATE_AT: std::ops::Range<Micros> = 1_200_000..1_700_000;
/// Maximum time between the first SIGTERM and the first SIGTERM of each other balancer.
const MAX_TERMINATION_SPREAD: Micros = 300_000;
/// Time for which a run continues after the last kill.
const TIME_AFTER_KILL: Micros = 300_000;
/// Duration of a stall of a process, in milliseconds.
const STALL_MS: std::ops::RangeInclusive<u64> = 60..=300;
/// Number of connections in a crowd: more than the slots that a balancer has for clients.
const CROWD_CONNECTIONS: usize = 480;
/// Number of connections in a crowd that send one byte at a time; the others are silent.
const SLOW_CONNECTIONS: usize = 40;
/// Share of runs with a crowd.
const CROWD_SHARE: f64 = 0.3;
/// Probability of a stall at each termination.
const STALL_SHARE: f64 = 0.5;
/// Share of runs with a change of an endpoint.
const ENDPOINT_CHANGE_SHARE: f64 = 0.5;
/// Share of runs with a low rate limit at discovery.
const RATE_LIMITED_DISCOVERY_SHARE: f64 = 0.3;

/// The plan of a run.
#[derive(Clone, Debug)]
pub struct SoakPlan {
    /// The experiment that defines the platform.
    pub experiment: Experiment,
    /// Number of client connections to each balancer.
    pub connections_per_balancer: usize,
    /// Planned terminations of balancers.
    pub terminations: Vec<Termination>,
    /// Timed actions, in order of time.
    pub steps: Vec<SoakStep>,
    /// Crowd of silent and slow connections, if any.
    pub crowd: Option<Crowd>,
    /// End of the run, from the start of the load.
    pub end: Micros,
}

/// The planned termination of a balancer.
#[derive(Clone, Copy, Debug)]
pub struct Termination {
    /// Number of the balancer.
    pub balancer: usize,
    /// Time of the first SIGTERM.
    pub at: Micros,
    /// Time of SIGKILL.
    pub kill_at: Micros,
}

/// A crowd of connections without a complete request.
#[derive(Clone, Copy, Debug)]
pub struct Crowd {
    /// Number of the balancer to which the crowd connects.
    pub balancer: usize,
    /// Number of connections that send nothing.
    pub silent: usize,
    /// Number of connections that send one byte at a time.
    pub slow: usize,
}

/// An action with its time.
#[derive(Clone, Debug)]
pub struct SoakStep {
    /// Time from the start of the load.
    pub at: Micros,
    /// The action.
    pub action: SoakAction,
}

/// An action of a plan.
#[derive(Clone, Debug)]
pub enum SoakAction {
    /// Sends a signal to a process.
    Signal(usize, Signal),
    /// Stalls a process for this time.
    Stall(usize, Duration),
    /// Makes a process's configuration file malformed (`true`) or restores it (`false`).
    BreakConfig(usize, bool),
    /// Applies a change to the platform.
    Change(Change),
}

impl SoakPlan {
    /// Draws the plan for this seed and program.
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

    /// End of the time in which clients open connections to a balancer.
    pub fn connect_until(&self, balancer: usize) -> Micros {
        let termination = self.terminations.iter().find(|termination| termination.balancer == balancer);
        termination.map_or(self.end, |termination| termination.at + CONNECT_TIME_AFTER_SIGTERM)
    }

    /// End of the time in which clients send requests to a balancer: its kill, or the end of the run.
    pub fn load_until(&self, balancer: usize) -> Micros {
        let termination = self.terminations.iter().find(|termination| termination.balancer == balancer);
        termination.map_or(self.end, |termination| termination.kill_at)
    }

    fn add(&mut self, at: Micros, action: SoakAction) {
        self.steps.push(SoakStep { at, action });
    }

    /// Adds the signals of a termination: SIGTERM, in some runs a second one, SIGHUP and SIGUSR1, and at last SIGKILL.
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

    /// Adds a SIGHUP with a valid or a malformed configuration.
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

    /// Adds, with the probability [`STALL_SHARE`], a stall that ends well before the process is killed.
    fn add_stall(&mut self, termination: Termination, rng: &mut SeededRng) {
        if !rng.random_bool(STALL_SHARE) {
            return;
        }
        let latest = termination.kill_at - 900_000;
        let at = rng.random_range(termination.at - 200_000..latest);
        let duration = Duration::from_millis(rng.random_range(STALL_MS));
        self.add(at, SoakAction::Stall(termination.balancer, duration));
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
    let calls_per_s = if rng.random_bool(RATE_LIMITED_DISCOVERY_SHARE) { 2.0 } else { 500.0 };
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
    let longest = CheckConfig::for_experiment(experiment).longest_deadline().min(MAX_COUNTED_DEADLINE);
    let mut balancers: Vec<usize> = (0..experiment.fleet.balancers).collect();
    balancers.shuffle(rng);
    balancers.truncate(rng.random_range(1..experiment.fleet.balancers));
    let first = rng.random_range(TERMINATE_AT);
    let terminate = |(index, balancer): (usize, usize)| {
        let at = if index == 0 { first } else { first + rng.random_range(0..MAX_TERMINATION_SPREAD) };
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
