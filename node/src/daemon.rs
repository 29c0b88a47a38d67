//! The lifecycle of the daemon: builds and starts its components, and serves until a signal ends it.
//!
//! Guarantee: after the first termination signal every accepted request is still answered (see
//! [`crate::graceful_shutdown`]). A component that cannot be created, such as a listener, makes the start fail with an
//! error; once started, only a signal ends the daemon.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use juniperladder::EndpointUpdate;
use slog::{info, Logger};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::{Instant, MissedTickBehavior};

use crate::admin::{Admin, AdminConnections};
use crate::buffer_pool::BufferPool;
use crate::clock::{self, Clock};
use crate::config::Config;
use crate::connect::TcpConnector;
use crate::counters::Counters;
use crate::discovery::{self, PollPolicy};
use crate::dispatcher::{AttemptTransport, Dispatcher};
use crate::downstream::Downstream;
use crate::endpoint_list::EndpointListReader;
use crate::error::StartError;
use crate::graceful_shutdown::{self, GracefulShutdown};
use crate::listener::listen;
use crate::override_store::OverrideStore;
use crate::peers::Peers;
use crate::process_memory::ProcessMemory;
use crate::reload::Reloader;
use crate::resource_limits::ResourceLimits;
use crate::signals::Signals;
use crate::transient_errors::retry_transient;
use crate::upstream::{Upstream, UpstreamLimits};

/// How often the counters are logged. A process that is killed cannot log them at its end.
const COUNTERS_LOG_INTERVAL: Duration = Duration::from_secs(5);

/// Runs a balancer until a signal ends it.
///
/// # Errors
/// A component of the daemon cannot be started: its address is in use, or the operators' file is incomplete.
pub async fn run(config: Config, log: Logger) -> Result<(), StartError> {
    // The default action of each of these signals ends the process, so the handlers are installed first.
    let mut signals = Signals::install()?;
    let (daemon, reloader) = Daemon::start(config, log).await?;
    daemon.serve_until_stopped(&mut signals, &reloader).await;
    daemon.stop().await;
    Ok(())
}

/// The components needed while the daemon serves and while it shuts down.
struct Daemon {
    dispatcher: Rc<Dispatcher>,
    downstream: Rc<Downstream>,
    peers: Option<Rc<Peers>>,
    shutdown: Rc<GracefulShutdown>,
    resource_limits: ResourceLimits,
    buffers: BufferPool,
    longest_deadline: Duration,
    log: Logger,
}

impl Daemon {
    /// Builds every component and starts its tasks.
    async fn start(mut config: Config, log: Logger) -> Result<(Daemon, Rc<Reloader>), StartError> {
        let resource_limits = ResourceLimits::from_configured(config.resource_limits, process_count(&config));
        let buffers = BufferPool::new(resource_limits.pool_bytes);
        let longest_deadline = longest_deadline(&config);
        let dispatcher = build_dispatcher(&config, &resource_limits, &buffers, longest_deadline, &log);
        let peers = join_peers(&config, &dispatcher, &log)?;
        let known_version = config.last_known_endpoints.version;
        let list_reader = EndpointListReader::new(std::mem::take(&mut config.site_names));
        let known_servers = list_reader.read(std::mem::take(&mut config.last_known_endpoints), &log);
        dispatcher.on_endpoints_changed(EndpointUpdate::Restored, &known_servers);

        let shutdown = Rc::new(GracefulShutdown::default());
        let listener = bind_client_listener(config.client_address).await?;
        let downstream = Downstream::new(
            Rc::clone(&dispatcher),
            config.labels.clone(),
            Rc::clone(&shutdown),
            resource_limits,
            buffers.clone(),
            log.clone(),
        );
        let daemon = Daemon {
            dispatcher,
            downstream,
            peers,
            shutdown,
            resource_limits,
            buffers,
            longest_deadline,
            log,
        };
        let address = listener.local_addr().unwrap_or(config.client_address);
        daemon.log_start(&config, address, known_servers.len(), known_version);
        daemon.start_timers();
        let found_override_file = daemon.start_admin(&config).await?;
        let reloader = daemon.start_discovery(config, list_reader, known_version, found_override_file);
        spawn_local(Rc::clone(&daemon.downstream).accept(listener));
        Ok((daemon, reloader))
    }

    fn log_start(&self, config: &Config, address: SocketAddr, servers: usize, list_version: u64) {
        let poll_interval = config.settings.rules.discovery_poll_interval;
        info!(self.log, "listening"; "address" => address.to_string(), "servers" => servers);
        info!(self.log, "settings"; "endpoint_list_version" => list_version,
            "discovery_poll_interval_ms" => clock::to_ms(poll_interval),
            "lists" => if config.pushed_list_backoff.is_some() { "pushed" } else { "polled" },
            "longest_deadline_ms" => self.longest_deadline.as_millis(),
            "unix_ms" => clock::to_ms(self.dispatcher.clock().now()));
    }

    fn start_timers(&self) {
        let dispatcher = Rc::clone(&self.dispatcher);
        spawn_local(async move { dispatcher.run_timers().await });
        let dispatcher = Rc::clone(&self.dispatcher);
        spawn_local(async move { dispatcher.watch_stalls().await });
    }

    /// Starts the admin listener, if one is configured. Returns whether an earlier process of the same name left an
    /// override file, which suggests that this process replaces it.
    async fn start_admin(&self, config: &Config) -> Result<bool, StartError> {
        let Some(address) = config.admin_address else { return Ok(false) };
        let listener = bind_admin_listener(address).await?;
        let connections = AdminConnections {
            open: self.downstream.admin_connections(),
            limit: self.resource_limits.admin_connections,
        };
        let admin = Admin::start(
            Rc::clone(&self.dispatcher),
            config.labels.classes.clone(),
            Rc::clone(&self.shutdown),
            OverrideStore::path_for(&config.name),
            connections,
            self.peers.clone(),
            self.log.clone(),
        );
        let address = listener.local_addr().unwrap_or(address);
        info!(self.log, "operators' address"; "address" => address.to_string());
        let found_override_file = admin.found_override_file();
        spawn_local(admin.accept(listener));
        Ok(found_override_file)
    }

    /// Starts to follow the endpoint list. The returned reloader can change discovery's address.
    fn start_discovery(
        &self,
        config: Config,
        list_reader: EndpointListReader,
        known_version: u64,
        found_override_file: bool,
    ) -> Rc<Reloader> {
        let (discovery, address_changes) = watch::channel(config.discovery_address);
        let policy = PollPolicy {
            polls_at_start: found_override_file,
            pushed_list_backoff: config.pushed_list_backoff,
            seed: config.seed,
        };
        let dispatcher = Rc::clone(&self.dispatcher);
        spawn_local(discovery::follow(
            list_reader,
            Some(known_version),
            address_changes,
            Rc::clone(&dispatcher),
            policy,
            self.log.clone(),
        ));
        Rc::new(Reloader::new(config.path, discovery, dispatcher, self.log.clone()))
    }

    /// Serves until a termination signal arrives; handles the other signals meanwhile.
    async fn serve_until_stopped(&self, signals: &mut Signals, reloader: &Rc<Reloader>) {
        let mut counters_interval = tokio::time::interval(COUNTERS_LOG_INTERVAL);
        counters_interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = counters_interval.tick() => self.log_counters(),
                () = signals.termination.recv() => return,
                _ = signals.report.recv() => {
                    self.log_counters();
                    self.dispatcher.log_limits();
                }
                _ = signals.reload.recv() => {
                    // Reading the file may be retried for a while, which must not delay a termination signal.
                    spawn_local(Rc::clone(reloader).run());
                }
            }
        }
    }

    /// Shuts down gracefully; returns once every accepted request has been answered.
    async fn stop(self) {
        let signal_handled_at = Instant::now();
        // The signal may have arrived while this process was stalled; the time for answers counts from its arrival.
        let max_signal_delay = self.dispatcher.max_notice_delay();
        info!(self.log, "stopping"; "signalled_ms_ago_at_most" => clock::to_ms(max_signal_delay));
        let time_for_answers = graceful_shutdown::time_for_answers(self.longest_deadline)
            .saturating_sub(clock::duration(max_signal_delay));
        let clock = self.dispatcher.clock();
        self.dispatcher.set_final_deadline(clock.now().saturating_add(clock::micros(time_for_answers)));
        self.shutdown.run(signal_handled_at, time_for_answers + graceful_shutdown::EXIT_DELAY).await;
        self.dispatcher.wait_until_idle().await;
        // Values that servers still give, and clients still read: whoever must not wait for them kills the process.
        self.downstream.wait_until_delivered(graceful_shutdown::MAX_DELIVERY_TIME).await;
        if let Some(peers) = &self.peers {
            peers.leave();
        }
        info!(self.log, "stopped"; "counters" => self.dispatcher.counters().to_string());
    }

    fn log_counters(&self) {
        info!(self.log, "counters"; "all" => self.dispatcher.counters().to_string());
        let Some(memory) = ProcessMemory::read() else { return };
        info!(self.log, "memory"; "resident_kb" => memory.resident_kb, "peak_kb" => memory.peak_kb,
            "buffers_reserved_kb" => self.buffers.reserved_bytes() >> 10, "buffers_kb" => self.buffers.bytes() >> 10);
    }
}

/// The longest deadline of any class.
fn longest_deadline(config: &Config) -> Duration {
    let deadlines = config.settings.classes.iter().map(|class| class.deadline);
    clock::duration(deadlines.max().unwrap_or_default())
}

/// How many processes of this balancer may run at once: where operators can call, a successor is started beside the process
/// that it replaces.
fn process_count(config: &Config) -> usize {
    if config.admin_address.is_some() {
        2
    } else {
        1
    }
}

/// Builds the dispatcher, and the upstream that carries its attempts to the servers.
fn build_dispatcher(
    config: &Config,
    resource_limits: &ResourceLimits,
    buffers: &BufferPool,
    longest_deadline: Duration,
    log: &Logger,
) -> Rc<Dispatcher> {
    let clock = Clock::start();
    let counters = Rc::new(Counters::default());
    let limits = UpstreamLimits {
        max_connections: resource_limits.server_connections,
        chunk_bytes: resource_limits.chunk_bytes,
        buffers: buffers.clone(),
        connect_timeout: config.connect_timeout,
        server_idle_timeout: config.server_idle_timeout,
        late_answer_timeout: longest_deadline,
        may_duplicate: config.settings.limits.may_duplicate,
        origin_kind: config.settings.mode.origin_kind(),
    };
    let upstream = Upstream::new(limits, Rc::new(TcpConnector), clock, Rc::clone(&counters), log.clone());
    let transport = Rc::clone(&upstream) as Rc<dyn AttemptTransport>;
    let dispatcher =
        Dispatcher::new(config.settings.clone(), config.seed, transport, clock, counters, log.clone());
    upstream.attach(&dispatcher);
    dispatcher
}

/// Joins the cluster of balancers, if an operators' file is configured.
fn join_peers(
    config: &Config,
    dispatcher: &Rc<Dispatcher>,
    log: &Logger,
) -> Result<Option<Rc<Peers>>, StartError> {
    let Some(cluster) = &config.cluster else { return Ok(None) };
    let clock = *dispatcher.clock();
    let peers = Peers::start(cluster, config.position, &config.settings, config.seed, clock, log.clone())
        .map_err(|error| StartError::Peers(error.into()))?;
    dispatcher.set_coordination(peers.coordination());
    let task_peers = Rc::clone(&peers);
    spawn_local(async move { task_peers.run().await });
    Ok(Some(peers))
}

async fn bind_client_listener(address: SocketAddr) -> Result<TcpListener, StartError> {
    let listener = retry_transient(|| listen(address)).await;
    listener.map_err(|source| StartError::ClientAddress { address, source })
}

async fn bind_admin_listener(address: SocketAddr) -> Result<TcpListener, StartError> {
    let listener = retry_transient(|| listen(address)).await;
    listener.map_err(|source| StartError::AdminAddress { address, source })
}
