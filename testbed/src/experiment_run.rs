//! Runs an experiment: prepares the platform, starts the processes, sends the load, injects the faults, ends all processes
//! and returns the record.

pub(crate) mod measurement;
pub(crate) mod platform;

use std::iter::Peekable;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use juniperladder_platform_model::checker::self_reports::SelfReport;
use juniperladder_platform_model::checker::{CheckConfig, StatedBounds};
use juniperladder_platform_model::event_log::EventLog;
use juniperladder_platform_model::experiment::Experiment;
use juniperladder_platform_model::schedule::{compile_schedule, Schedule, Step};
use juniperladder_platform_model::workload::draw_arrivals;
use juniperladder_platform_model::{micros_from_seconds, Micros};
use tokio::sync::watch;
use tokio::task::{spawn_local, JoinHandle, LocalSet};
use tokio::time::{sleep, sleep_until};

use crate::child_reaper::ChildReaper;
use crate::clients::Clients;
use crate::operator_file::OperatorFile;
use crate::peer_relay::{PeerRelay, SentTraffic};
use crate::processes::PeerSetup;
use crate::resource_check::check_resources;
use crate::self_reports::{poll_self_reports, SharedReports};
use crate::testbed::Testbed;
use crate::{SetupError, TestbedError};
use measurement::{shift_times, watch_stalls, CpuTimes};
use platform::Platform;

/// Maximum time between two reports of progress.
const PROGRESS_INTERVAL: Micros = 250_000;
/// Interval at which the number of requests in flight is polled after the load.
const IN_FLIGHT_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum number of polls for requests in flight; requests in flight after the last poll have no end in the event log.
const MAX_IN_FLIGHT_POLLS: usize = 60;
/// Time before the stop of a run, in seconds; requests planned within it may still have been in flight.
const UNFINISHED_TIME_S: f64 = 4.0;

/// Options of a run.
pub struct RunOptions<'a> {
    /// Folder for logs and the files of the processes.
    pub out: &'a Path,
    /// Called with the progress of the run.
    pub progress: &'a mut dyn FnMut(Progress),
    /// Kills the processes if the testbed itself is killed.
    pub child_reaper: Option<ChildReaper>,
    /// Stops the run early when set; the record then has the results up to that time.
    pub stop: watch::Receiver<bool>,
}

/// Progress of a run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Progress {
    /// Number of processes that are ready.
    Ready(usize),
    /// Time since the start of the load, warm-up included, in seconds.
    Load(f64),
}

/// Average traffic per second that a balancer sends to its peers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PeerTrafficRates {
    /// Number of packets per second.
    pub packets_per_s: f64,
    /// Payload in bytes per second.
    pub bytes_per_s: f64,
}

/// The result of a run. Times count from the start of the load.
pub struct RunRecord {
    /// Events of clients, servers and discovery.
    pub event_log: EventLog,
    /// Number of process starts, restarts included.
    pub process_starts: u64,
    /// Descriptions of unexpected exits of processes, each with the last log lines.
    pub crashes: Vec<String>,
    /// CPU time of all balancers, in seconds.
    pub balancers_cpu_s: f64,
    /// CPU time of the testbed, in seconds.
    pub testbed_cpu_s: f64,
    /// Traffic between balancers; `None` where they do not communicate as peers.
    pub peer_traffic: Option<PeerTrafficRates>,
    /// Reports of each process's own state, once a second; empty where balancers do not communicate as peers.
    pub self_reports: Vec<SelfReport>,
    /// Bounds that the program states for shared limits; `None` where balancers do not communicate as peers.
    pub stated_bounds: Option<StatedBounds>,
    /// Whether the run was stopped before its planned end.
    pub stopped: bool,
    /// End of the load, or the end of the evaluated time of a run that was stopped.
    pub ended_at: Micros,
}

/// Runs an experiment to its end.
///
/// # Errors
/// The setup failed and no process was started, or the run was aborted.
pub fn run_experiment(experiment: &Experiment, options: RunOptions<'_>) -> Result<RunRecord, TestbedError> {
    let schedule = compile_schedule(experiment);
    let listener_group_count =
        schedule.links.listener_groups(experiment).iter().max().map_or(1, |last| last + 1);
    check_resources(experiment, listener_group_count)?;
    let operator_file = OperatorFile::read(experiment)?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(SetupError::Runtime)?;
    LocalSet::new().block_on(&runtime, run(experiment, schedule, operator_file, options))
}

async fn run(
    experiment: &Experiment,
    schedule: Schedule,
    operator_file: Option<OperatorFile>,
    options: RunOptions<'_>,
) -> Result<RunRecord, TestbedError> {
    let RunOptions { out, progress, child_reaper, mut stop } = options;
    let testbed = Testbed::new(experiment.clone(), schedule.links);
    let stated = operator_file.as_ref().map(|file| file.stated_bounds(experiment));
    let peers = match operator_file {
        Some(operator_file) => {
            let relay = PeerRelay::new(Rc::clone(&testbed), experiment.fleet.balancers).await;
            Some(PeerSetup { operator_file, relay: relay.map_err(SetupError::Listener)? })
        }
        None => None,
    };
    let relay = peers.as_ref().map(|peers| Rc::clone(&peers.relay));
    let platform = Platform::prepare(testbed, out, peers, child_reaper)?;
    // Several runs may take place in one process, one after the other; each counts only its own CPU time.
    let cpu_before = CpuTimes::now();
    platform.processes.start_all(|ready| progress(Progress::Ready(ready))).await?;
    let mut run = ExperimentRun::begin_load(platform, relay, schedule.steps);
    let stopped = run.send_load(progress, &mut stop).await;
    let mut record = run.finish(stopped, cpu_before).await;
    record.stated_bounds = stated;
    Ok(record)
}

/// A run after the start of its load.
struct ExperimentRun {
    testbed: Rc<Testbed>,
    platform: Platform,
    relay: Option<Rc<PeerRelay>>,
    clients: Rc<Clients>,
    /// Remaining changes by faults, in order of time.
    steps: Peekable<std::vec::IntoIter<Step>>,
    /// Start of the load; all times of the record count from it.
    load_began_at: Micros,
    /// Start of the measurement, after the warm-up that fills the caches.
    measured_from: Micros,
    measured_until: Micros,
    /// Whether the measurement has started.
    is_measuring: bool,
    /// Traffic between balancers up to the start of the measurement; `None` where they do not communicate as peers.
    sent_before: Option<SentTraffic>,
    load_task: JoinHandle<()>,
    /// Tasks that observe the run until its end.
    watchers: Vec<JoinHandle<()>>,
    self_reports: SharedReports,
}

impl ExperimentRun {
    /// Starts the load and the tasks that observe the run. The origin has unlimited capacity until the measurement starts.
    fn begin_load(platform: Platform, relay: Option<Rc<PeerRelay>>, steps: Vec<Step>) -> ExperimentRun {
        let testbed = Rc::clone(&platform.testbed);
        let experiment = &testbed.experiment;
        let self_reports = SharedReports::default();
        let watchers = spawn_watchers(&platform, &self_reports);
        let load_began_at = testbed.now();
        let mut arrivals = draw_arrivals(experiment);
        for arrival in &mut arrivals {
            arrival.at += load_began_at;
        }
        let check_config = CheckConfig::for_experiment(experiment);
        let clients = Clients::new(Rc::clone(&testbed), check_config, platform.processes.addresses());
        let load_task = spawn_local(Rc::clone(&clients).send_arrivals(arrivals));
        let measured_from = load_began_at + micros_from_seconds(experiment.load.warm_up_s);
        let measured_until = measured_from + micros_from_seconds(experiment.seconds);
        testbed.origin.borrow_mut().has_unlimited_capacity = true;
        ExperimentRun {
            sent_before: total_sent(relay.as_ref()),
            platform,
            relay,
            clients,
            steps: steps.into_iter().peekable(),
            load_began_at,
            measured_from,
            measured_until,
            is_measuring: false,
            load_task,
            watchers,
            self_reports,
            testbed,
        }
    }

    /// Waits for the end of the load and injects the faults at their times; returns whether the run was stopped.
    async fn send_load(
        &mut self,
        progress: &mut dyn FnMut(Progress),
        stop: &mut watch::Receiver<bool>,
    ) -> bool {
        loop {
            let now = self.testbed.now();
            if !self.is_measuring && now >= self.measured_from {
                self.begin_measuring();
            }
            while let Some(step) = self.steps.next_if(|step| self.measured_from + step.at <= now) {
                self.platform.apply_change(&step).await;
            }
            if now >= self.measured_until {
                return false;
            }
            progress(Progress::Load((now - self.load_began_at) as f64 / 1e6));
            let next = self.next_event().min(now + PROGRESS_INTERVAL).min(self.measured_until);
            tokio::select! {
                () = sleep_until(self.testbed.instant(next)) => {}
                Ok(()) = stop.changed() => return true,
            }
        }
    }

    /// Starts the measurement after the warm-up: applies the origin's limits and starts counting traffic.
    fn begin_measuring(&mut self) {
        self.is_measuring = true;
        self.sent_before = total_sent(self.relay.as_ref());
        self.testbed.origin.borrow_mut().has_unlimited_capacity = false;
    }

    /// Start of the measurement; once measuring, the time of the next change by a fault, or the end of the measurement.
    fn next_event(&mut self) -> Micros {
        if !self.is_measuring {
            return self.measured_from;
        }
        self.steps.peek().map_or(self.measured_until, |step| self.measured_from + step.at)
    }

    /// Ends the load, waits for requests in flight, ends all processes and returns the record.
    async fn finish(mut self, stopped: bool, cpu_before: CpuTimes) -> RunRecord {
        let load_ended_at = self.testbed.now().min(self.measured_until);
        self.load_task.abort();
        let peer_traffic = self.peer_traffic(load_ended_at);
        if !stopped {
            self.wait_for_in_flight().await;
        }
        let crashes = self.platform.processes.crashes.borrow().clone();
        self.platform.processes.end_all().await;
        self.watchers.iter().for_each(JoinHandle::abort);
        // Requests in flight when the run was stopped have no result that the checker could evaluate.
        let unfinished = if stopped { micros_from_seconds(UNFINISHED_TIME_S) } else { 0 };
        let end = load_ended_at.saturating_sub(unfinished);
        let cpu = CpuTimes::now();
        RunRecord {
            event_log: self.take_event_log(stopped.then_some(end)),
            process_starts: self.platform.processes.start_count(),
            crashes,
            balancers_cpu_s: cpu.children_s - cpu_before.children_s,
            testbed_cpu_s: cpu.own_s - cpu_before.own_s,
            peer_traffic,
            self_reports: self.take_self_reports(),
            stated_bounds: None,
            stopped,
            ended_at: end.saturating_sub(self.load_began_at),
        }
    }

    /// Average traffic per second and balancer since the start of the measurement.
    fn peer_traffic(&self, load_ended_at: Micros) -> Option<PeerTrafficRates> {
        let sent = total_sent(self.relay.as_ref())?;
        let before = self.sent_before?;
        let seconds = load_ended_at.saturating_sub(self.measured_from).max(1) as f64 / 1e6;
        let balancer_seconds = seconds * self.testbed.experiment.fleet.balancers as f64;
        Some(PeerTrafficRates {
            packets_per_s: (sent.packets - before.packets) as f64 / balancer_seconds,
            bytes_per_s: (sent.bytes - before.bytes) as f64 / balancer_seconds,
        })
    }

    async fn wait_for_in_flight(&self) {
        for _ in 0..MAX_IN_FLIGHT_POLLS {
            if self.clients.in_flight() == 0 {
                return;
            }
            sleep(IN_FLIGHT_POLL_INTERVAL).await;
        }
    }

    /// Returns the event log without requests planned at or after `cut_off`; its times count from the start of the load.
    fn take_event_log(&mut self, cut_off: Option<Micros>) -> EventLog {
        let mut event_log = std::mem::take(&mut *self.testbed.event_log.borrow_mut());
        event_log.origin_stops = self.testbed.origin.borrow().stops.clone();
        if let Some(cut_off) = cut_off {
            event_log.requests.retain(|request| request.planned_at < cut_off);
        }
        shift_times(&mut event_log, self.load_began_at);
        event_log
    }

    fn take_self_reports(&mut self) -> Vec<SelfReport> {
        let mut reports = self.self_reports.take();
        for report in &mut reports {
            report.at = report.at.saturating_sub(self.load_began_at);
        }
        reports
    }
}

fn spawn_watchers(platform: &Platform, self_reports: &SharedReports) -> Vec<JoinHandle<()>> {
    let testbed = &platform.testbed;
    let mut watchers = vec![spawn_local(watch_stalls(Rc::clone(testbed)))];
    let addresses = platform.processes.admin_addresses();
    if !addresses.is_empty() {
        let poll = poll_self_reports(Rc::clone(testbed), addresses, Rc::clone(self_reports));
        watchers.push(spawn_local(poll));
    }
    watchers
}

/// Total traffic between balancers; `None` where they do not communicate as peers.
fn total_sent(relay: Option<&Rc<PeerRelay>>) -> Option<SentTraffic> {
    relay.map(|relay| relay.total_sent())
}
