//! Runs one plan of the soak on the platform.

use std::path::Path;
use std::rc::Rc;

use juniperladder_platform_model::event_log::EventLog;
use juniperladder_platform_model::rng::{mix_bits, seeded_rng, RngStream};
use juniperladder_platform_model::schedule::{schedule, Step};
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

/// Connections that never rest, to each balancer that is told to end.
const RESTLESS_CONNECTIONS: usize = 2;
/// What stands in a configuration that can't be read.
const BROKEN_CONFIG: &str = "{\"name\": ";

/// What a run of the soak leaves. Times count from the beginning of the load.
pub struct SoakRecord {
    /// What clients, servers and discovery saw.
    pub event_log: EventLog,
    /// How the processes ended that were told to.
    pub planned_ends: Vec<PlannedEnd>,
    /// Processes that ended by themselves, each with its last log lines.
    pub crashes: Vec<String>,
}

/// Runs a plan to its end.
///
/// # Errors
/// What the machine does not allow (nothing was started then), or what kept the run from going on.
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
    let links = schedule(&plan.experiment).links;
    let testbed = Testbed::new(plan.experiment.clone(), links);
    let platform = Platform::prepare(Rc::clone(&testbed), out, None, child_reaper)?;
    platform.processes.start_all(|_| ()).await?;
    let mut run = SoakRun::begin_load(plan, platform);
    for step in &plan.steps {
        sleep_until(testbed.instant(run.began_at + step.at)).await;
        run.act(&step.action).await;
    }
    sleep_until(testbed.instant(run.began_at + plan.end)).await;
    Ok(run.finish().await)
}

/// A run whose load has begun.
struct SoakRun {
    testbed: Rc<Testbed>,
    platform: Platform,
    began_at: Micros,
    /// Configurations that are broken now, as they were.
    sound_configs: Vec<(usize, String)>,
    clients: Vec<JoinHandle<()>>,
    watchers: Vec<JoinHandle<()>>,
}

impl SoakRun {
    fn begin_load(plan: &SoakPlan, platform: Platform) -> SoakRun {
        let testbed = Rc::clone(&platform.testbed);
        let began_at = testbed.now();
        let addresses = platform.processes.addresses();
        let clients = SoakClients::new(Rc::clone(&testbed));
        let mut tasks = Vec::new();
        for (balancer, address) in addresses.iter().enumerate() {
            let is_terminated = plan.terminations.iter().any(|termination| termination.balancer == balancer);
            for number in 0..plan.connections_per_balancer {
                let target = ClientTarget {
                    balancer,
                    address: *address,
                    connect_until: began_at + plan.front_until(balancer),
                    load_until: began_at + plan.load_until(balancer),
                    is_restless: is_terminated && number < RESTLESS_CONNECTIONS,
                };
                let seed = mix_bits(plan.experiment.seed) ^ mix_bits((balancer * 1_000 + number) as u64);
                let rng = seeded_rng(seed, RngStream::SoakClients);
                tasks.push(spawn_local(Rc::clone(&clients).run_client(target, rng)));
            }
        }
        let mut watchers = vec![spawn_local(watch_stalls(Rc::clone(&testbed)))];
        if let Some(crowd) = plan.crowd {
            let address = addresses[crowd.balancer];
            let until = began_at + plan.load_until(crowd.balancer);
            for number in 0..crowd.silent + crowd.slow {
                let is_slow = number < crowd.slow;
                let behaviour = if is_slow { CrowdBehaviour::Slow } else { CrowdBehaviour::Silent };
                let connection = run_crowd_connection(Rc::clone(&testbed), address, behaviour, until);
                watchers.push(spawn_local(connection));
            }
        }
        SoakRun { testbed, platform, began_at, sound_configs: Vec::new(), clients: tasks, watchers }
    }

    async fn act(&mut self, action: &SoakAction) {
        match action {
            SoakAction::Signal(balancer, signal) => self.platform.processes.signal(&[*balancer], *signal),
            SoakAction::Stall(balancer, lasts) => {
                let (processes, balancer, lasts) = (Rc::clone(&self.platform.processes), *balancer, *lasts);
                self.watchers.push(spawn_local(async move { processes.stall(balancer, lasts).await }));
            }
            SoakAction::BreakConfig(balancer, true) => self.break_config(*balancer),
            SoakAction::BreakConfig(balancer, false) => self.restore_config(*balancer),
            SoakAction::Change(change) => {
                let step = Step { at: 0, fault: 0, change: change.clone() };
                self.platform.make_change(&step).await;
            }
        }
    }

    fn break_config(&mut self, balancer: usize) {
        if self.sound_configs.iter().any(|(broken, _)| *broken == balancer) {
            return;
        }
        if let Ok(sound) = self.platform.processes.replace_config(balancer, BROKEN_CONFIG) {
            self.sound_configs.push((balancer, sound));
        }
    }

    fn restore_config(&mut self, balancer: usize) {
        if let Some(place) = self.sound_configs.iter().position(|(broken, _)| *broken == balancer) {
            let (_, sound) = self.sound_configs.swap_remove(place);
            let _ = self.platform.processes.replace_config(balancer, &sound);
        }
    }

    /// Waits for the clients' last answers, ends all processes and gives the record.
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
        shift_times(&mut event_log, self.began_at);
        SoakRecord { event_log, planned_ends, crashes }
    }
}
