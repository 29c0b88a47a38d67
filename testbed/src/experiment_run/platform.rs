//! The platform of a run: the machines with their listeners, the processes, and the changes that faults make to both.

use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;

use juniperladder_platform_model::discovery::Lifecycle;
use juniperladder_platform_model::event_log::{EventLog, ImpairedSpan, Impairment};
use juniperladder_platform_model::rng::{seeded_rng, RngStream};
use juniperladder_platform_model::schedule::{Change, Step};
use juniperladder_platform_model::{micros_from_seconds, Micros};
use nix::sys::signal::Signal;
use rand::Rng;
use tokio::task::{spawn_local, JoinHandle};

use crate::child_reaper::ChildReaper;
use crate::discovery::ServerAddresses;
use crate::listeners::ReservedAddress;
use crate::processes::{PeerSetup, Processes};
use crate::testbed::Testbed;
use crate::{cache_servers, discovery, origin, SetupError};

/// The machines and processes of a run.
pub struct Platform {
    /// State shared by machines and processes.
    pub testbed: Rc<Testbed>,
    /// The processes of the program under test.
    pub processes: Rc<Processes>,
    /// The servers in order, with the origin as the last.
    machines: Vec<Machine>,
}

/// The addresses of a server or of the origin, and the tasks that listen at them.
struct Machine {
    /// Address of the machine for each listener group.
    addresses: Vec<ReservedAddress>,
    /// Tasks that listen at these addresses; empty while the machine is stopped.
    listeners: Vec<JoinHandle<()>>,
}

impl Machine {
    fn new(listener_group_count: usize) -> io::Result<Machine> {
        let addresses =
            (0..listener_group_count).map(|_| ReservedAddress::new()).collect::<io::Result<_>>()?;
        Ok(Machine { addresses, listeners: Vec::new() })
    }
}

impl Platform {
    /// Reserves all addresses, opens the listeners and prepares the processes without starting them.
    pub fn prepare(
        testbed: Rc<Testbed>,
        out: &Path,
        peers: Option<PeerSetup>,
        child_reaper: Option<ChildReaper>,
    ) -> Result<Platform, SetupError> {
        let machine_count = testbed.servers.len() + 1;
        let listener_group_count = testbed.listener_group_members.len();
        let machines =
            (0..machine_count).map(|_| Machine::new(listener_group_count)).collect::<io::Result<Vec<_>>>();
        let machines = machines.map_err(SetupError::Listener)?;
        let addresses_by_balancer = server_addresses(&testbed, &machines, listener_group_count);
        let discovery = serve_discovery(&testbed, &addresses_by_balancer).map_err(SetupError::Listener)?;
        let processes =
            Processes::prepare(&testbed, out, &discovery, &addresses_by_balancer, peers, child_reaper)?;
        let mut platform = Platform { testbed, processes, machines };
        for machine in 0..machine_count {
            platform.listen(machine).map_err(SetupError::Listener)?;
        }
        Ok(platform)
    }

    /// Opens the listeners at a machine's addresses.
    fn listen(&mut self, machine: usize) -> io::Result<()> {
        let is_origin = machine == self.testbed.servers.len();
        let Machine { addresses, listeners } = &mut self.machines[machine];
        for (listener_group, address) in addresses.iter().enumerate() {
            let listener = address.listen()?;
            let testbed = Rc::clone(&self.testbed);
            listeners.push(if is_origin {
                spawn_local(origin::serve(testbed, listener_group, listener))
            } else {
                spawn_local(cache_servers::serve(testbed, machine, listener_group, listener))
            });
        }
        Ok(())
    }

    /// Stops a server's machine: new connections are refused and open ones are reset.
    async fn stop_machine(&mut self, server: usize) {
        for listener in self.machines[server].listeners.drain(..) {
            listener.abort();
            let _ = listener.await;
        }
        self.testbed.begin_incarnation(server);
    }

    /// Restarts a server's machine at its old address, in slow start and with an empty cache.
    async fn restart_machine(&mut self, server: usize, now: Micros) {
        self.stop_machine(server).await;
        self.testbed.servers[server].borrow_mut().restart(now);
        self.testbed.silent[server].set(false);
        // The port is still reserved, so that listening again does not fail.
        let _ = self.listen(server);
        let to = Some(now + self.time_until_healthy());
        let span = ImpairedSpan { number: server as u32, impairment: Impairment::SlowStart, from: now, to };
        self.testbed.event_log.borrow_mut().server_impairments.push(span);
    }

    /// Time until a restarted server counts as healthy: it has warmed up and all balancers have been notified of it.
    fn time_until_healthy(&self) -> Micros {
        let experiment = &self.testbed.experiment;
        let latest_notice = self.testbed.notice_delays.borrow().iter().copied().max().unwrap_or(0);
        let notified_after = micros_from_seconds(experiment.discovery.notice_s) + latest_notice;
        micros_from_seconds(experiment.servers.slow_start_s).max(notified_after)
    }

    /// Applies one change and wakes all tasks that wait for changes.
    pub async fn apply_change(&mut self, step: &Step) {
        let now = self.testbed.now();
        match &step.change {
            Change::Links(active) => self.set_link_fault(step.fault, *active, now),
            Change::Kill(balancers) => self.processes.signal(balancers, Signal::SIGKILL),
            Change::Term(balancers) => self.processes.signal(balancers, Signal::SIGTERM),
            Change::Start(balancers) => self.processes.restart(balancers),
            Change::Freeze(balancers) => self.processes.signal(balancers, Signal::SIGSTOP),
            Change::Thaw(balancers) => self.processes.signal(balancers, Signal::SIGCONT),
            Change::Silent(servers, silent) => self.set_silent(servers, *silent, now),
            Change::Slow(servers, factor) => self.set_slowdown(servers, *factor, now),
            Change::Failing(servers, share) => self.set_failure_share(servers, *share, now),
            Change::Drain(servers) => self.drain(servers, now),
            Change::Gone(servers) => self.end_servers(servers, now).await,
            Change::Restart(servers) => self.restart(servers, now).await,
            Change::Replace(servers) => self.replace(servers, now).await,
            Change::OriginSlow(factor) => self.testbed.origin.borrow_mut().set_slowdown(*factor),
            Change::DiscoveryDown(down) => self.testbed.discovery_down.set(*down),
            Change::ListLate(max_delay) => self.draw_notice_delays(*max_delay),
        }
        self.testbed.wake_tasks();
    }

    /// Logs the beginning or the end of an impairment of servers.
    fn log_impairment(&self, servers: &[usize], impairment: Impairment, is_impaired: bool, now: Micros) {
        let spans = &mut self.testbed.event_log.borrow_mut().server_impairments;
        for server in servers {
            if is_impaired {
                EventLog::begin_impairment(spans, *server, impairment, now);
            } else {
                EventLog::end_impairment(spans, *server, impairment, now);
            }
        }
    }

    fn set_link_fault(&self, fault: usize, is_active: bool, now: Micros) {
        self.testbed.links.borrow_mut().set_active(fault, is_active);
        let servers = self.testbed.links.borrow().servers_of(fault);
        self.log_impairment(&servers, Impairment::LinkFault, is_active, now);
    }

    fn set_silent(&self, servers: &[usize], is_silent: bool, now: Micros) {
        for server in servers {
            self.testbed.silent[*server].set(is_silent);
            if !is_silent {
                // Connections that were open are reset when the machine answers again.
                self.testbed.begin_incarnation(*server);
            }
        }
        self.log_impairment(servers, Impairment::Silent, is_silent, now);
    }

    fn set_slowdown(&self, servers: &[usize], factor: f64, now: Micros) {
        for server in servers {
            self.testbed.servers[*server].borrow_mut().set_slowdown(factor);
        }
        self.log_impairment(servers, Impairment::Slow, factor != 1.0, now);
    }

    fn set_failure_share(&self, servers: &[usize], share: f64, now: Micros) {
        for server in servers {
            self.testbed.servers[*server].borrow_mut().set_failure_share(share);
        }
        self.log_impairment(servers, Impairment::Failing, share > 0.0, now);
    }

    fn drain(&self, servers: &[usize], now: Micros) {
        for server in servers {
            self.testbed.servers[*server].borrow_mut().rejects_requests = true;
            self.testbed.set_lifecycle(*server, Lifecycle::Terminating);
        }
        self.log_impairment(servers, Impairment::OutOfService, true, now);
    }

    async fn end_servers(&mut self, servers: &[usize], now: Micros) {
        for server in servers {
            self.stop_machine(*server).await;
            self.testbed.set_lifecycle(*server, Lifecycle::Terminated);
        }
        self.log_impairment(servers, Impairment::OutOfService, true, now);
    }

    async fn restart(&mut self, servers: &[usize], now: Micros) {
        for server in servers {
            self.restart_machine(*server, now).await;
            self.testbed.set_lifecycle(*server, Lifecycle::InService);
        }
        self.log_impairment(servers, Impairment::OutOfService, false, now);
    }

    /// Replaces servers by others with new ids at the same addresses.
    async fn replace(&mut self, servers: &[usize], now: Micros) {
        for server in servers {
            self.testbed.set_lifecycle(*server, Lifecycle::Terminated);
            let replacements = &self.testbed.replacements[*server];
            replacements.set(replacements.get() + 1);
            self.restart_machine(*server, now).await;
            self.testbed.set_lifecycle(*server, Lifecycle::InService);
        }
    }

    fn draw_notice_delays(&self, max_delay: Micros) {
        let mut rng = seeded_rng(self.testbed.experiment.seed, RngStream::DiscoveryNotices);
        for delay in self.testbed.notice_delays.borrow_mut().iter_mut() {
            *delay = rng.random_range(0..=max_delay);
        }
    }
}

/// The addresses at which each balancer reaches the machines: the addresses for the balancer's listener group.
fn server_addresses(
    testbed: &Testbed,
    machines: &[Machine],
    listener_group_count: usize,
) -> Vec<ServerAddresses> {
    let of_group = |listener_group: usize| {
        let addresses = machines.iter().map(|machine| machine.addresses[listener_group].address());
        ServerAddresses::new(addresses.collect())
    };
    let by_group: Vec<ServerAddresses> = (0..listener_group_count).map(of_group).collect();
    let group_of_balancer = testbed.links.borrow().listener_groups(&testbed.experiment);
    group_of_balancer.iter().map(|listener_group| Rc::clone(&by_group[*listener_group])).collect()
}

/// Serves discovery to each balancer at a separate address and returns these addresses.
fn serve_discovery(
    testbed: &Rc<Testbed>,
    addresses_by_balancer: &[ServerAddresses],
) -> io::Result<Vec<SocketAddr>> {
    let mut addresses = Vec::new();
    for (balancer, server_addresses) in addresses_by_balancer.iter().enumerate() {
        let reserved = ReservedAddress::new()?;
        addresses.push(reserved.address());
        let listener = reserved.listen()?;
        let (testbed, server_addresses) = (Rc::clone(testbed), Rc::clone(server_addresses));
        spawn_local(async move {
            // Keeps the address reserved for this balancer while the listener is open.
            let _reserved = reserved;
            discovery::serve(testbed, balancer, server_addresses, listener).await;
        });
    }
    Ok(addresses)
}
