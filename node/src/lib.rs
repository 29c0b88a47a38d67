//! The real balancer: juniperladder's decisions on real sockets.
//!
//! The client side ([`service`]) and the server side ([`upstream`]) meet only in the [`dispatcher`].

pub mod admin;
pub mod bounds;
pub mod cluster_config;
pub mod config;
pub mod connect;
pub mod discovery;
pub mod endpoint_list;
pub mod override_store;
mod passing;
pub mod peers;
pub mod retry;
pub mod service;
pub mod shutdown;
pub mod socket;
pub mod together;
pub mod upstream;
mod writing;

#[cfg(test)]
mod storm;
#[cfg(test)]
mod testing;

pub use juniperladder_dispatch::{clock, counters, dispatcher};
pub use juniperladder_protocols::{http, memcache};

use std::ffi::OsString;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use juniperladder::EndpointUpdate;
use slog::{error, info, o, Drain, Level, LevelFilter, Logger};
use tokio::net::TcpListener;
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::watch;
use tokio::task::{spawn_local, LocalSet};
use tokio::time::Instant;

use config::Config;

/// How often the counters go to the log: a balancer that is killed tells nothing at its end.
const TELL: Duration = Duration::from_secs(5);

/// How many lines may wait to be written; more are dropped, and that is told.
const LINES_QUEUED: usize = 1024;
/// The same where each request has lines of its own.
const DEBUG_LINES_QUEUED: usize = 16 * 1024;

/// Runs a balancer as the environment describes it, until it is told to stop; `operator` names the operators' file
/// where the request line does.
pub fn run_from_environment(operator: Option<OsString>) -> Result<(), String> {
    serve(Config::from_environment(operator)?)
}

/// Runs a balancer as this configuration describes it, until it is told to stop.
pub fn serve(config: Config) -> Result<(), String> {
    let runtime =
        retry::for_a_moment_blocking(|| tokio::runtime::Builder::new_current_thread().enable_all().build());
    let runtime = runtime.map_err(|e| format!("cannot start: {e}"))?;
    let drain = slog_term::FullFormat::new(slog_term::PlainDecorator::new(std::io::stderr())).build().fuse();
    // A full pipe must not hold the one thread up: lines are dropped then, and that is told.
    let drain = slog_async::Async::new(drain)
        .chan_size(if config.log_level == Level::Debug { DEBUG_LINES_QUEUED } else { LINES_QUEUED })
        .overflow_strategy(slog_async::OverflowStrategy::DropAndReport)
        .build()
        .fuse();
    let drain = LevelFilter::new(drain, config.log_level).fuse();
    let log = Logger::root(drain, o!("name" => config.name.clone()));
    LocalSet::new().block_on(&runtime, run(config, log))
}

/// Runs a balancer until a signal ends it.
pub async fn run(config: Config, log: Logger) -> Result<(), String> {
    // The default of each of these signals would end the program, so that they are caught before the rest.
    let caught = |kind: SignalKind| {
        retry::for_a_moment_blocking(|| signal(kind)).map_err(|e| format!("no signals: {e}"))
    };
    let mut terminate = caught(SignalKind::terminate())?;
    let mut interrupt = caught(SignalKind::interrupt())?;
    let mut report = caught(SignalKind::user_defined1())?;
    let mut reload = caught(SignalKind::hangup())?;
    let clock = clock::Clock::start();
    let counters = Rc::new(counters::Counters::default());
    let bounds = bounds::Bounds::of(config.limits);
    let longest = config.settings.classes.iter().map(|class| class.deadline).max().unwrap_or_default();
    let longest = clock::duration(longest);
    let ask_within = config.settings.rules.discovery_poll_interval;
    let limits = upstream::Limits {
        connections: bounds.servers,
        piece: bounds.piece,
        connect_timeout: config.connect_timeout,
        idle: config.idle,
        late: longest,
        may_duplicate: config.settings.limits.may_duplicate,
        origin: config.settings.mode.origin(),
    };
    let upstream =
        upstream::Upstream::new(limits, Rc::new(connect::Tcp), clock, Rc::clone(&counters), log.clone());
    let settings = config.cluster.as_ref().map(|_| config.settings.clone());
    let dispatcher = dispatcher::Dispatcher::new(
        config.settings,
        config.seed,
        Rc::clone(&upstream) as Rc<dyn dispatcher::Carrier>,
        clock,
        Rc::clone(&counters),
        log.clone(),
    );
    upstream.attach(&dispatcher);
    let peers = match config.cluster.as_ref().zip(settings) {
        Some((operator, settings)) => {
            let (position, seed) = (config.position, config.seed);
            let peers = peers::Peers::start(operator, position, &settings, seed, clock, log.clone())?;
            dispatcher.join(peers.fleet());
            let talk = Rc::clone(&peers);
            spawn_local(async move { talk.run().await });
            Some(peers)
        }
        None => None,
    };
    let list_reader = endpoint_list::EndpointListReader::new(config.names);
    let known_generation = config.known.version;
    let servers = list_reader.read(config.known, &log);
    dispatcher.listed(EndpointUpdate::Restored, &servers);

    let shutdown = Rc::new(shutdown::Shutdown::default());
    let listener = retry::for_a_moment(|| listen(config.listen)).await.map_err(|e| {
        format!("cannot listen on {}: {e}; is another program than a balancer there?", config.listen)
    })?;
    let classes = config.labels.classes.clone();
    let service = service::Service::new(
        Rc::clone(&dispatcher),
        config.labels,
        Rc::clone(&shutdown),
        bounds,
        log.clone(),
    );
    let address = listener.local_addr().unwrap_or(config.listen);
    info!(log, "listening"; "address" => address.to_string(), "hosts" => servers.len());
    info!(log, "settings"; "generation" => known_generation, "ask-within-ms" => clock::to_ms(ask_within),
        "lists" => if config.pushed.is_some() { "pushed" } else { "asked for" },
        "longest-deadline-ms" => longest.as_millis(), "unix-ms" => clock::to_ms(clock.now()));

    let timers = Rc::clone(&dispatcher);
    spawn_local(async move { timers.run().await });
    let mut successor = false;
    if let Some(mgmt) = config.mgmt {
        let listener = retry::for_a_moment(|| listen(mgmt))
            .await
            .map_err(|e| format!("cannot listen for operators on {mgmt}: {e}; give mgmt a free address"))?;
        let admin = admin::Admin::start(
            Rc::clone(&dispatcher),
            classes,
            Rc::clone(&shutdown),
            override_store::OverrideStore::path_for(&config.name),
            admin::AdminConnections { open: service.callers(), limit: bounds.callers },
            peers.clone(),
            log.clone(),
        );
        successor = admin.replaces_another_process();
        let address = listener.local_addr().unwrap_or(mgmt);
        info!(log, "operators' address"; "address" => address.to_string());
        spawn_local(admin.accept(listener));
    }
    let (discovery_address, turns) = watch::channel(config.discovery);
    let policy =
        discovery::PollPolicy { at_start: successor, pushed_list_backoff: config.pushed, seed: config.seed };
    let known = Some(known_generation);
    spawn_local(discovery::follow(list_reader, known, turns, Rc::clone(&dispatcher), policy, log.clone()));
    let reloader = Rc::new(Reloader {
        file: config.file,
        discovery: discovery_address,
        counters: Rc::clone(&counters),
        log: log.clone(),
    });
    spawn_local(service.accept(listener));
    let mut regular = tokio::time::interval(TELL);
    regular.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = regular.tick() => info!(log, "counters"; "all" => counters.to_string()),
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = report.recv() => {
                info!(log, "counters"; "all" => counters.to_string());
                dispatcher.tell_limits();
            }
            _ = reload.recv() => {
                // The file may have to be read for a moment, which must not hold up a signal to end.
                spawn_local(Rc::clone(&reloader).run());
            }
        }
    }
    info!(log, "stopping");
    let (signal, last) = (Instant::now(), shutdown::last_answer(longest));
    dispatcher.end_by(clock.now().saturating_add(clock::micros(last)));
    shutdown.run(signal, last + shutdown::WAY_OUT).await;
    dispatcher.idle().await;
    peers.iter().for_each(|peers| peers.leave());
    info!(log, "stopped"; "counters" => counters.to_string());
    Ok(())
}

/// A listener that shares its address with a balancer that replaces this one, or that this one replaces: the
/// kernel deals new connections out among all that listen there.
pub fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    use socket2::{Domain, Protocol, Socket, Type};
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_reuse_port(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(1024)?;
    TcpListener::from_std(socket.into())
}

/// Reads the configuration's file anew and turns to the discovery that it names. What else it says is taken up at the next start.
struct Reloader {
    file: Option<OsString>,
    discovery: watch::Sender<SocketAddr>,
    counters: Rc<counters::Counters>,
    log: Logger,
}

impl Reloader {
    async fn run(self: Rc<Self>) {
        match self.read().await {
            Ok(()) => {
                counters::increment(&self.counters.reloads);
                info!(self.log, "configuration read"; "discovery" => self.discovery.borrow().to_string());
            }
            // What is in force stays so: a file half-written or mistyped must not stop the service.
            Err(problem) => error!(self.log, "configuration not taken"; "problem" => problem),
        }
    }

    async fn read(&self) -> Result<(), String> {
        let file = self.file.clone().ok_or("it came from no file")?;
        let text = retry::for_a_moment(|| std::fs::read(&file)).await;
        let config = Config::of_file(file, text)?;
        self.discovery
            .send_if_modified(|address| std::mem::replace(address, config.discovery) != config.discovery);
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[tokio::test]
    async fn a_second_balancer_listens_beside_the_first_and_takes_over_its_clients() {
        let first = listen("127.0.0.1:0".parse().unwrap()).unwrap();
        let address = first.local_addr().unwrap();
        let second = listen(address).expect("a second process must be able to listen at the same address");
        drop(first);
        // With the first gone, who connects reaches the second.
        let client = tokio::net::TcpStream::connect(address).await.unwrap();
        let (_, from) = second.accept().await.unwrap();
        assert_eq!(from, client.local_addr().unwrap());
    }
}
