//! Runs one plan of the soak on the platform.

use std::path::Path;
use std::rc::Rc;

use juniperladder_platform_model::event_log::EventLog;
use juniperladder_platform_model::rng::{mix_bits, seeded_rng, RngStream};
use juniperladder_platform_model::schedule::{compile_schedule, Step};
use juniperladder_platform_model::Micros;
use tokio::task::{spawn_local, JoinHandle, LocalSet};
use tokio::time::sleep_until;

use super::clients::{ClientTarget, SoakClients};
use super::crowd::{run_crowd_connection, CrowdBehaviour};
use super::plan::{SoakAction, SoakPlan};
use crate::child_reaper::ChildReaper;
use crate::experiment_run::measurement::{shift_times, watch_stalls};
use crate::experiment_run::platform::Platform;
use crate::processes::PlannedEnd;
use crate::resource_check::check_resources;
use crate::testbed::Testbed;
use crate::{SetupError, TestbedError};

/// Number of busy connections to each balancer that is terminated.
const BUSY_CONNECTIONS: usize = 2;
/// Text of a malformed configuration.
const MALFORMED_CONFIG: &str = "{\"name\": ";

/// The record of a run of the soak. Times count from the start of the load.
pub struct SoakRecord {
    /// Events of clients, servers and discovery.
    pub event_log: EventLog,
    /// Exits of the processes that were signalled to end.
    pub planned_ends: Vec<PlannedEnd>,
    /// Descriptions of unexpected exits of processes, each with the last log lines.
    pub crashes: Vec<String>,
}

/// Runs a plan to its end.
///
/// # Errors
/// The setup failed and no process was started, or the run was aborted.
pub fn run_soak(
    plan: &SoakPlan,
    out: &Path,
    child_reaper: Option<ChildReaper>,
) -> Result<SoakRecord, TestbedError> {
    check_resources(&plan.experiment, 1)?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(SetupError::Runtime)?;
    LocalSet::new().block_on(&runtime, run(plan, out, child_reaper))
}

async fn run(
    plan: &SoakPlan,
    out: &Path,
    child_reaper: Option<ChildReaper>,
) -> Result<SoakRecord, TestbedError> {
    let links = compile_schedule(&plan.experiment).links;
    let testbed = Testbed::new(plan.experiment.clone(), links);
    let platform = Platform::prepare(Rc::clone(&testbed), out, None, child_reaper)?;
    platform.processes.start_all(|_| ()).await?;
    let mut run = SoakRun::begin_load(plan, platform);
    for step in &plan.steps {
        sleep_until(testbed.instant(run.load_began_at + step.at)).await;
        run.apply_action(&step.action).await;
    }
    sleep_until(testbed.instant(run.load_began_at + plan.end)).await;
    Ok(run.finish().await)
}

/// A run after the start of its load.
struct SoakRun {
    testbed: Rc<Testbed>,
    platform: Platform,
    load_began_at: Micros,
    /// Balancer number and original text of each configuration that is malformed now.
    original_configs: Vec<(usize, String)>,
    clients: Vec<JoinHandle<()>>,
    /// Tasks that are aborted at the end: the observation of stalls, the stalls of processes, and the crowd.
    watchers: Vec<JoinHandle<()>>,
}

impl SoakRun {
    fn begin_load(plan: &SoakPlan, platform: Platform) -> SoakRun {
        let testbed = Rc::clone(&platform.testbed);
        let load_began_at = testbed.now();
        let addresses = platform.processes.addresses();
        let clients = SoakClients::new(Rc::clone(&testbed));
        let mut tasks = Vec::new();
        for (balancer, address) in addresses.iter().enumerate() {
            let is_terminated = plan.terminations.iter().any(|termination| termination.balancer == balancer);
            for number in 0..plan.connections_per_balancer {
                let target = ClientTarget {
                    balancer,
                    address: *address,
                    connect_until: load_began_at + plan.connect_until(balancer),
                    load_until: load_began_at + plan.load_until(balancer),
                    is_busy: is_terminated && number < BUSY_CONNECTIONS,
                };
                let seed = mix_bits(plan.experiment.seed) ^ mix_bits((balancer * 1_000 + number) as u64);
                let rng = seeded_rng(seed, RngStream::SoakClients);
                tasks.push(spawn_local(Rc::clone(&clients).run_client(target, rng)));
            }
        }
        let mut watchers = vec![spawn_local(watch_stalls(Rc::clone(&testbed)))];
        if let Some(crowd) = plan.crowd {
            let address = addresses[crowd.balancer];
            let until = load_began_at + plan.load_until(crowd.balancer);
            for number in 0..crowd.silent + crowd.slow {
                let is_slow = number < crowd.slow;
                let behaviour = if is_slow { CrowdBehaviour::Slow } else { CrowdBehaviour::Silent };
                let connection = run_crowd_connection(Rc::clone(&testbed), address, behaviour, until);
                watchers.push(spawn_local(connection));
            }
        }
        SoakRun { testbed, platform, load_began_at, original_configs: Vec::new(), clients: tasks, watchers }
    }

    async fn apply_action(&mut self, action: &SoakAction) {
        match action {
            SoakAction::Signal(balancer, signal) => self.platform.processes.signal(&[*balancer], *signal),
            SoakAction::Stall(balancer, duration) => {
                let (processes, balancer, duration) =
                    (Rc::clone(&self.platform.processes), *balancer, *duration);
                self.watchers.push(spawn_local(async move { processes.stall(balancer, duration).await }));
            }
            SoakAction::BreakConfig(balancer, true) => self.break_config(*balancer),
            SoakAction::BreakConfig(balancer, false) => self.restore_config(*balancer),
            SoakAction::Change(change) => {
                let step = Step { at: 0, fault: 0, change: change.clone() };
                self.platform.apply_change(&step).await;
            }
        }
    }

    fn break_config(&mut self, balancer: usize) {
        if self.original_configs.iter().any(|(other, _)| *other == balancer) {
            return;
        }
        if let Ok(original) = self.platform.processes.replace_config(balancer, MALFORMED_CONFIG) {
            self.original_configs.push((balancer, original));
        }
    }

    fn restore_config(&mut self, balancer: usize) {
        if let Some(index) = self.original_configs.iter().position(|(other, _)| *other == balancer) {
            let (_, original) = self.original_configs.swap_remove(index);
            let _ = self.platform.processes.replace_config(balancer, &original);
        }
    }

    /// Waits for the clients' last answers, ends all processes and returns the record.
    async fn finish(mut self) -> SoakRecord {
        for client in self.clients.drain(..) {
            let _ = client.await;
        }
        let processes = &self.platform.processes;
        let planned_ends = processes.planned_ends.borrow().clone();
        let crashes = processes.crashes.borrow().clone();
        processes.end_all().await;
        self.watchers.iter().for_each(JoinHandle::abort);
        let mut event_log = std::mem::take(&mut *self.testbed.event_log.borrow_mut());
        event_log.origin_stops = self.testbed.origin.borrow().stops.clone();
        shift_times(&mut event_log, self.load_began_at);
        SoakRecord { event_log, planned_ends, crashes }
    }
}
