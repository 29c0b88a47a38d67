//! Plays an experiment: prepares the world, starts the processes, sends the load, makes the faults, ends everything.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use juniperladder_platform_model::checker::{CheckTerms, StatedBounds};
use juniperladder_platform_model::discovery::{Endpoint, Lifecycle};
use juniperladder_platform_model::event_log::{EventLog, ImpairedSpan, Impairment};
use juniperladder_platform_model::experiment::Experiment;
use juniperladder_platform_model::rng::{seeded_rng, RngStream};
use juniperladder_platform_model::schedule::{schedule, Change, Step};
use juniperladder_platform_model::workload::draw_arrivals;
use juniperladder_platform_model::{micros_from_seconds, Micros};
use nix::sys::resource::{getrusage, UsageWho};
use nix::sys::signal::Signal;
use rand::Rng;
use tokio::task::{spawn_local, JoinHandle, LocalSet};
use tokio::time::{sleep, sleep_until};

use crate::child_reaper::ChildReaper;
use crate::clients::Clients;
use crate::discovery::{self, Addresses};
use crate::doors::Door;
use crate::holders::{self, SelfReport};
use crate::operator::Operator;
use crate::peers::{Relay, Sent};
use crate::processes::Processes;
use crate::rig::{host_id, Rig};
use crate::{cache_servers, origin, room, Problem};

/// How often the rig looks whether it is late itself, and from which lateness on it notes that.
const BEAT: Duration = Duration::from_millis(5);
const STALL: Micros = 8_000;

/// How a run is played.
pub struct Options<'a> {
    /// The folder for logs and the processes' files.
    pub out: &'a Path,
    /// Told as the run goes on.
    pub progress: &'a mut dyn FnMut(Progress),
    /// Ends the processes should the rig be killed outright.
    pub child_reaper: Option<ChildReaper>,
    /// The run ends with what it has once this is set.
    pub stop: tokio::sync::watch::Receiver<bool>,
}

/// How far a run is.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Progress {
    /// So many processes are ready.
    Ready(usize),
    /// The load has gone on for so many seconds, from the beginning of the warming up.
    Load(f64),
}

/// What a run leaves.
pub struct Played {
    /// What clients, servers and discovery saw.
    pub event_log: EventLog,
    /// Processes started, restarts included.
    pub started: u64,
    /// Processes that ended without being told to, each with its last log lines.
    pub crashes: Vec<String>,
    /// Processor time of all balancers, in seconds.
    pub balancers_cpu_s: f64,
    /// Processor time of the rig, in seconds.
    pub rig_cpu_s: f64,
    /// Packets and bytes that a balancer sent to others in a second, on average; none without talk.
    pub talk: Option<(f64, f64)>,
    /// What each process said it holds, once a second; empty without talk.
    pub holders: Vec<SelfReport>,
    /// What the program states of what its balancers share; none without talk.
    pub stated: Option<StatedBounds>,
    /// Whether it was stopped before its end.
    pub stopped: bool,
    /// When it ended: the end of the load, or when it was stopped.
    pub end: Micros,
}

/// Plays an experiment to its end.
///
/// # Errors
/// What the machine does not allow (nothing was started then), or what kept the run from going on.
pub fn play(experiment: &Experiment, options: Options<'_>) -> Result<Played, Problem> {
    let plan = schedule(experiment);
    let sides = plan.links.sides(experiment).iter().max().map_or(1, |most| most + 1);
    room::check(experiment, sides)?;
    let operator = Operator::read(experiment)?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| Problem::NotAllowed(format!("cannot start: {e}")))?;
    LocalSet::new().block_on(&runtime, async {
        let rig = Rig::new(experiment.clone(), plan.links.clone());
        let mut options = options;
        let stated = operator.as_ref().map(|table| Operator::stated(table, experiment));
        let relay = match &operator {
            Some(_) => Some(Relay::new(Rc::clone(&rig), experiment.fleet.balancers).await.map_err(no_door)?),
            None => None,
        };
        let operator = operator.zip(relay.clone()).map(|(table, relay)| Operator::new(table, relay));
        let run = Run::prepare(rig, options.out, operator, options.child_reaper.take())?;
        let mut played = run.play(plan.steps, relay.clone(), options).await?;
        played.stated = stated;
        Ok(played)
    })
}

fn no_door(e: std::io::Error) -> Problem {
    Problem::NotAllowed(format!("no door can be opened: {e}"))
}

struct Run {
    rig: Rc<Rig>,
    processes: Rc<Processes>,
    /// The doors of each server, the origin last, by side.
    doors: Vec<Vec<Door>>,
    /// Who listens at each of them.
    listeners: Vec<Vec<JoinHandle<()>>>,
}

impl Run {
    fn prepare(
        rig: Rc<Rig>,
        out: &Path,
        operator: Option<Operator>,
        child_reaper: Option<ChildReaper>,
    ) -> Result<Run, Problem> {
        let machines = rig.servers.len() + 1;
        let sides = rig.sides.len();
        let doors: Vec<Vec<Door>> = (0..machines)
            .map(|_| (0..sides).map(|_| Door::new()).collect())
            .collect::<Result<_, _>>()
            .map_err(no_door)?;
        let addresses: Vec<Addresses> = (0..sides)
            .map(|side| Rc::new(doors.iter().map(|of| of[side].address()).collect::<Vec<_>>()))
            .collect();
        let side_of = rig.links.borrow().sides(&rig.experiment);
        let addresses: Vec<Addresses> = side_of.iter().map(|side| Rc::clone(&addresses[*side])).collect();
        let mut told: Vec<SocketAddr> = Vec::new();
        for (balancer, addresses) in addresses.iter().enumerate() {
            let door = Door::new().map_err(no_door)?;
            told.push(door.address());
            let listener = door.open().map_err(no_door)?;
            let (rig, addresses) = (Rc::clone(&rig), Rc::clone(addresses));
            spawn_local(async move {
                // The door stays this balancer's for as long as it is listened at.
                let _door = door;
                discovery::accept(rig, balancer, addresses, listener).await;
            });
        }
        let processes = Processes::prepare(&rig, out, &told, &addresses, operator, child_reaper)?;
        let listeners = (0..machines).map(|_| Vec::new()).collect();
        let mut run = Run { rig, processes, doors, listeners };
        for machine in 0..machines {
            run.open(machine).map_err(no_door)?;
        }
        Ok(run)
    }

    /// Listens at a machine's doors.
    fn open(&mut self, machine: usize) -> std::io::Result<()> {
        for (side, door) in self.doors[machine].iter().enumerate() {
            let listener = door.open()?;
            let rig = Rc::clone(&self.rig);
            self.listeners[machine].push(if machine < self.rig.servers.len() {
                spawn_local(cache_servers::accept(rig, machine, side, listener))
            } else {
                spawn_local(origin::accept(rig, side, listener))
            });
        }
        Ok(())
    }

    /// Ends a server's machine: its doors refuse, its connections are reset.
    async fn close(&mut self, server: usize) {
        for listener in self.listeners[server].drain(..) {
            listener.abort();
            let _ = listener.await;
        }
        self.rig.lives[server].set(self.rig.lives[server].get() + 1);
    }

    async fn play(
        mut self,
        steps: Vec<Step>,
        relay: Option<Rc<Relay>>,
        options: Options<'_>,
    ) -> Result<Played, Problem> {
        let Options { progress, mut stop, .. } = options;
        // Several runs may be played in one process, one after the other: each counts its own time.
        let before = [UsageWho::RUSAGE_CHILDREN, UsageWho::RUSAGE_SELF].map(cpu);
        let experiment = self.rig.experiment.clone();
        self.processes.start_all(|ready| progress(Progress::Ready(ready))).await?;
        let beat = spawn_local(beat(Rc::clone(&self.rig)));
        let holders: Rc<RefCell<Vec<SelfReport>>> = Rc::default();
        let operators = self.processes.operators();
        let watching = (!operators.is_empty())
            .then(|| spawn_local(holders::watch(Rc::clone(&self.rig), operators, Rc::clone(&holders))));
        let terms = CheckTerms::of(&experiment);
        // The load's times count from now on, all others from the run's beginning: the event log is moved at the end.
        let begun = self.rig.now();
        let mut load = draw_arrivals(&experiment);
        load.iter_mut().for_each(|arrival| arrival.at += begun);
        let clients = Clients::new(Rc::clone(&self.rig), terms, self.processes.addresses());
        let sending = spawn_local(Rc::clone(&clients).send(Rc::new(load)));
        let zero = begun + micros_from_seconds(experiment.load.warm);
        let end = zero + micros_from_seconds(experiment.seconds);
        let mut steps = steps.into_iter().peekable();
        let mut warm = false;
        let mut talked = sent(&relay);
        self.rig.origin.borrow_mut().unbounded = true;
        let stopped = loop {
            let now = self.rig.now();
            if !warm && now >= zero {
                warm = true;
                talked = sent(&relay);
                self.rig.origin.borrow_mut().unbounded = false;
            }
            while let Some(step) = steps.next_if(|step| zero + step.at <= now) {
                self.make(&step).await;
            }
            if now >= end {
                break false;
            }
            progress(Progress::Load((now - begun) as f64 / 1e6));
            let next = steps.peek().map_or(end, |step| zero + step.at);
            let next = if warm { next } else { zero };
            let next = next.min(now + 250_000).min(end);
            tokio::select! {
                () = sleep_until(self.rig.instant(next)) => {}
                Ok(()) = stop.changed() => break true,
            }
        };
        let load_end = self.rig.now().min(end);
        sending.abort();
        let span = load_end.saturating_sub(zero).max(1) as f64 / 1e6 * experiment.fleet.balancers as f64;
        let talk = sent(&relay).zip(talked).map(|(end, begin)| {
            ((end.packets - begin.packets) as f64 / span, (end.bytes - begin.bytes) as f64 / span)
        });
        // What is out has its time; nothing new begins.
        for _ in 0..60 {
            if clients.out() == 0 || stopped {
                break;
            }
            sleep(Duration::from_millis(100)).await;
        }
        let crashes = self.processes.crashes.borrow().clone();
        self.processes.end().await;
        let started = self.processes.started();
        beat.abort();
        watching.iter().for_each(JoinHandle::abort);
        let mut holders = holders.take();
        holders.iter_mut().for_each(|one| one.at = one.at.saturating_sub(begun));
        let mut event_log = std::mem::take(&mut *self.rig.event_log.borrow_mut());
        event_log.origin_stops = self.rig.origin.borrow().stops.clone();
        // Those still out when the run was stopped have no end to be judged by.
        let end = if stopped { load_end.saturating_sub(micros_from_seconds(4.0)) } else { load_end };
        event_log.requests.retain(|c| !stopped || c.planned_at < end);
        move_times(&mut event_log, begun);
        Ok(Played {
            event_log,
            started,
            crashes,
            balancers_cpu_s: cpu(UsageWho::RUSAGE_CHILDREN) - before[0],
            rig_cpu_s: cpu(UsageWho::RUSAGE_SELF) - before[1],
            talk,
            holders,
            stated: None,
            stopped,
            end: end.saturating_sub(begun),
        })
    }

    /// Makes one change of the world.
    async fn make(&mut self, step: &Step) {
        let rig = Rc::clone(&self.rig);
        let now = rig.now();
        let ill = |servers: &[usize], ill, on: bool| {
            let spans = &mut rig.event_log.borrow_mut().server_impairments;
            for server in servers {
                if on {
                    EventLog::begin_impairment(spans, *server, ill, now);
                } else {
                    EventLog::end_impairment(spans, *server, ill, now);
                }
            }
        };
        match &step.change {
            Change::Links(on) => {
                rig.links.borrow_mut().set_active(step.fault, *on);
                let touched = rig.links.borrow().servers_of(step.fault);
                ill(&touched, Impairment::LinkFault, *on);
            }
            Change::Kill(who) => self.processes.signal(who, Signal::SIGKILL),
            Change::Term(who) => self.processes.signal(who, Signal::SIGTERM),
            Change::Start(who) => self.processes.start_again(who),
            Change::Freeze(who) => self.processes.signal(who, Signal::SIGSTOP),
            Change::Thaw(who) => self.processes.signal(who, Signal::SIGCONT),
            Change::Silent(who, on) => {
                for server in who {
                    rig.silent[*server].set(*on);
                    if !*on {
                        // What was open is reset when the machine is back.
                        rig.lives[*server].set(rig.lives[*server].get() + 1);
                    }
                }
                ill(who, Impairment::Silent, *on);
            }
            Change::Slow(who, times) => {
                who.iter().for_each(|server| rig.servers[*server].borrow_mut().set_slowdown(*times));
                ill(who, Impairment::Slow, *times != 1.0);
            }
            Change::Failing(who, share) => {
                who.iter().for_each(|server| rig.servers[*server].borrow_mut().set_failure_share(*share));
                ill(who, Impairment::Failing, *share > 0.0);
            }
            Change::Drain(who) => {
                for server in who {
                    rig.servers[*server].borrow_mut().closed = true;
                    self.list(*server, Lifecycle::Terminating);
                }
                ill(who, Impairment::OutOfService, true);
            }
            Change::Gone(who) => {
                for server in who {
                    self.close(*server).await;
                    self.list(*server, Lifecycle::Terminated);
                }
                ill(who, Impairment::OutOfService, true);
            }
            Change::Restart(who) => {
                for server in who {
                    self.restart(*server, now).await;
                    self.list(*server, Lifecycle::InService);
                }
                ill(who, Impairment::OutOfService, false);
            }
            Change::Replace(who) => {
                for server in who {
                    self.list(*server, Lifecycle::Terminated);
                    rig.replaced[*server].set(rig.replaced[*server].get() + 1);
                    self.restart(*server, now).await;
                    self.list(*server, Lifecycle::InService);
                }
            }
            Change::OriginSlow(times) => rig.origin.borrow_mut().set_slowdown(*times),
            Change::DiscoveryDown(on) => rig.down.set(*on),
            Change::ListLate(most) => {
                let mut rng = seeded_rng(rig.experiment.seed, RngStream::Lists);
                rig.late.borrow_mut().iter_mut().for_each(|late| *late = rng.random_range(0..=*most));
            }
        }
        rig.stir();
    }

    /// A server's machine starts anew, cold and empty, at its old address.
    async fn restart(&mut self, server: usize, now: Micros) {
        self.close(server).await;
        self.rig.servers[server].borrow_mut().restart(now);
        self.rig.silent[server].set(false);
        // Its port is kept, so that it is there to be opened again.
        let _ = self.open(server);
        let e = &self.rig.experiment;
        // It counts as sound once it is warm, and listed to the last balancer.
        let late = self.rig.late.borrow().iter().copied().max().unwrap_or(0);
        let to = Some(
            now + micros_from_seconds(e.servers.cold_s).max(micros_from_seconds(e.discovery.notice_s) + late),
        );
        let mut event_log = self.rig.event_log.borrow_mut();
        event_log.server_impairments.push(ImpairedSpan {
            number: server as u32,
            impairment: Impairment::SlowStart,
            from: now,
            to,
        });
    }

    /// Discovery's list changes for a server.
    fn list(&self, server: usize, life: Lifecycle) {
        let id = host_id(self.rig.experiment.seed, server, self.rig.replaced[server].get());
        let started = self.rig.servers[server].borrow().started_at;
        self.rig.list(Endpoint { id, slot: server, lifecycle: life, started_at: started });
    }
}

/// What all balancers together have sent to each other.
fn sent(relay: &Option<Rc<Relay>>) -> Option<Sent> {
    let all = relay.as_ref()?.sent();
    Some(all.iter().fold(Sent::default(), |sum, one| Sent {
        packets: sum.packets + one.packets,
        bytes: sum.bytes + one.bytes,
    }))
}

/// Notes when the rig itself is late.
async fn beat(rig: Rc<Rig>) {
    loop {
        let due = rig.now() + BEAT.as_micros() as Micros;
        sleep_until(rig.instant(due)).await;
        let late = rig.now().saturating_sub(due);
        if late > STALL {
            let now = rig.now();
            rig.event_log.borrow_mut().testbed_stalls.push((now, late));
        }
    }
}

/// Counts all times of a event log from the beginning of the load.
fn move_times(event_log: &mut EventLog, by: Micros) {
    let back = |at: &mut Micros| *at = at.saturating_sub(by);
    for command in &mut event_log.requests {
        [&mut command.planned_at, &mut command.sent_at, &mut command.deadline].into_iter().for_each(back);
        command.ended_at.iter_mut().for_each(back);
    }
    for attempt in event_log.attempts.iter_mut().chain(&mut event_log.undelivered) {
        [&mut attempt.first_byte_at, &mut attempt.received_at].into_iter().for_each(back);
        attempt.answered_at.iter_mut().for_each(back);
    }
    event_log.notices.iter_mut().for_each(|told| back(&mut told.at));
    for span in event_log.server_impairments.iter_mut().chain(&mut event_log.process_impairments) {
        back(&mut span.from);
        span.to.iter_mut().for_each(back);
    }
    event_log.server_collapses.iter_mut().for_each(|(_, at)| back(at));
    event_log.origin_stops.iter_mut().for_each(|(at, _)| back(at));
    event_log.testbed_stalls.iter_mut().for_each(|(at, _)| back(at));
}

/// Processor time in seconds.
fn cpu(who: UsageWho) -> f64 {
    let seconds = |time: nix::sys::time::TimeVal| time.tv_sec() as f64 + time.tv_usec() as f64 / 1e6;
    getrusage(who).map_or(0.0, |usage| seconds(usage.user_time()) + seconds(usage.system_time()))
}
