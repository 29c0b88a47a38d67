//! The downstream side: clients' connections, the requests on them, and the answers in their order.

mod backlog;
mod connection;
mod downstream;

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use slog::{debug, warn, Logger};
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::task::{spawn_local, yield_now};
use tokio::time::{sleep, timeout, Duration, Instant};

use crate::counters::increment;
use crate::dispatcher::Dispatcher;
use crate::graceful_shutdown::GracefulShutdown;
use crate::resource_limits::{ResourceLimits, RESERVED_ADMIN_CONNECTIONS};
use crate::socket::Socket;
use backlog::{Accepted, Backlog};
pub use connection::{Connection, Reader};
use downstream::{linger, until, DownstreamConnection};
use juniperladder_dispatch::log_throttle::LogThrottle;

/// How long a connection that is about to close is read once more.
const LAST_LOOK: Duration = Duration::from_millis(2);
/// How long a connection that has said nothing yet is taken to be about to.
const FRESH: Duration = Duration::from_millis(500);
/// The part of the seats that is kept free for who comes next, by telling the longest silent to leave in time.
const SPARE_PART: usize = 16;
/// How long a full house waits for the one that was told to leave.
const ROOM: Duration = Duration::from_millis(10);
/// How long connections may wait unaccepted before several silent ones at once make room for them.
const BACKLOG_PATIENCE: Duration = Duration::from_millis(20);
/// How many silent connections are told to leave at once where more wait to be accepted. Each turn of the event loop costs as
/// much as some of them, and one for each connection lets the queue of a flood grow to hundreds.
const EVICTIONS_AT_ONCE: usize = 16;
/// How long those who wait in the backlog at the end wait for seats.
const LAST_ONES: Duration = Duration::from_millis(100);

/// The names by which clients call the classes and the tenants of the settings, in the settings' order.
#[derive(Clone, Debug, Default)]
pub struct Labels {
    /// Of the classes.
    pub classes: Vec<String>,
    /// Of the tenants; a site may have none.
    pub tenants: Vec<String>,
}

/// What all downstream connections share.
pub struct Service {
    dispatcher: Rc<Dispatcher>,
    labels: Labels,
    shutdown: Rc<GracefulShutdown>,
    resource_limits: ResourceLimits,
    held: Cell<usize>,
    seats: RefCell<Vec<Rc<Seat>>>,
    callers: Rc<Cell<usize>>,
    lingering: Cell<usize>,
    left: Notify,
    log_throttle: LogThrottle,
    log: Logger,
}

/// How a connection that is about to close is read once more.
enum Look {
    /// For a moment.
    Long,
    /// For what has come already: others wait for its seat, by the hundred where connections come in a flood.
    Short,
}

impl Look {
    async fn wait(self) {
        match self {
            Look::Long => sleep(LAST_LOOK).await,
            Look::Short => yield_now().await,
        }
    }
}

/// A connection's place among those that the limit allows.
#[derive(Debug)]
struct Seat {
    /// When it was accepted, and how long it may have waited for that at most.
    accepted: Instant,
    waited: Duration,
    /// Since when it has had no request open.
    quiet: Cell<Instant>,
    busy: Cell<bool>,
    /// Whether a request has begun to come.
    half: Cell<bool>,
    /// Whether it has ever brought a request.
    spoke: Cell<bool>,
    /// Told to close once it owes nothing, and to end in the middle of a request.
    leave: Notify,
    cut: Notify,
}

/// Counts a connection for as long as it lives.
struct Seated {
    service: Rc<Service>,
    seat: Rc<Seat>,
}

impl Seated {
    async fn serve(self, stream: impl Connection) -> std::io::Result<()> {
        let reader = DownstreamConnection::new(&self.service, &self.seat).serve(stream).await?;
        // The seat is free at once; the descriptor is still counted.
        let service = Rc::clone(&self.service);
        let room = service.lingering.get() <= service.resource_limits.client_connections / SPARE_PART;
        if let Some(reader) = reader.filter(|_| room) {
            let _one = Lingering::one(&service);
            drop(self);
            linger(reader).await;
        }
        Ok(())
    }
}

impl Drop for Seated {
    fn drop(&mut self) {
        self.service.seats.borrow_mut().retain(|seat| !Rc::ptr_eq(seat, &self.seat));
        self.service.tell_open();
        self.service.left.notify_one();
    }
}

/// Counts a connection that is over but for what may cross its close.
struct Lingering(Rc<Service>);

impl Lingering {
    fn one(service: &Rc<Service>) -> Lingering {
        service.lingering.set(service.lingering.get() + 1);
        Lingering(Rc::clone(service))
    }
}

impl Drop for Lingering {
    fn drop(&mut self) {
        self.0.lingering.set(self.0.lingering.get() - 1);
        self.0.tell_open();
        self.0.left.notify_one();
    }
}

impl Service {
    /// A service that knows these names and keeps within these bounds.
    pub fn new(
        dispatcher: Rc<Dispatcher>,
        labels: Labels,
        shutdown: Rc<GracefulShutdown>,
        resource_limits: ResourceLimits,
        log: Logger,
    ) -> Rc<Service> {
        let (held, seats, callers, lingering, left, log_throttle) = Default::default();
        Rc::new(Service {
            dispatcher,
            labels,
            shutdown,
            resource_limits,
            held,
            seats,
            callers,
            lingering,
            left,
            log_throttle,
            log,
        })
    }

    /// Accepts downstream connections for as long as it is polled.
    pub async fn accept(self: Rc<Service>, listener: TcpListener) {
        let mut backlog = Backlog::new(listener);
        loop {
            if self.full() {
                // Connections that say nothing must not shut out those that do. Where all are at work the
                // backlog holds who comes now until one leaves.
                self.make_room_for(&backlog).await;
                continue;
            }
            let accepted = tokio::select! {
                accepted = backlog.accept() => accepted,
                () = self.shutdown.wait_for_closing() => {
                    self.last_ones(&mut backlog).await;
                    // Closed, the listener leaves new connections to a balancer that shares its address.
                    return;
                }
            };
            match accepted {
                Ok(accepted) => {
                    self.shutdown.on_connection_accepted();
                    self.take_accepted(accepted);
                    if self.taken() + self.resource_limits.client_connections / SPARE_PART
                        > self.resource_limits.client_connections
                    {
                        self.make_room();
                    }
                }
                Err(problem) => {
                    // Out of descriptors, or a client that left at once: neither may end the program.
                    let failed = &self.dispatcher.counters().accepts_failed;
                    increment(failed);
                    if self.log_throttle.allows() {
                        warn!(self.log, "accept"; "problem" => problem.to_string(), "so far" => failed.get());
                    }
                    sleep(Duration::from_millis(10)).await;
                }
            }
        }
    }

    /// Takes in the connections that wait in the backlog already: those would be reset when it closes. Where all seats are
    /// taken they wait a moment for one, as the descriptors beyond those are others'.
    async fn last_ones(self: &Rc<Service>, backlog: &mut Backlog) {
        let until = Instant::now() + LAST_ONES;
        loop {
            if self.full() {
                if Instant::now() >= until {
                    return;
                }
                self.make_room_for(backlog).await;
                continue;
            }
            let Some(accepted) = backlog.accept_waiting() else { return };
            self.take_accepted(accepted);
        }
    }

    /// Tells one connection to leave, or several where others have waited for long, and waits for a moment until one has left.
    async fn make_room_for(&self, backlog: &Backlog) {
        let behind = backlog.waited() > BACKLOG_PATIENCE;
        self.evict(if behind { EVICTIONS_AT_ONCE } else { 1 });
        // The one that was told may have brought a request meanwhile: then another is.
        let _ = timeout(ROOM, self.left.notified()).await;
    }

    /// Whether there is no seat for one more: operators' callers beyond those that have descriptors of their own sit here too.
    fn full(&self) -> bool {
        self.taken() >= self.resource_limits.client_connections
    }

    fn taken(&self) -> usize {
        self.seats.borrow().len()
            + self.lingering.get()
            + self.callers.get().saturating_sub(RESERVED_ADMIN_CONNECTIONS)
    }

    /// Counts the operators' callers, who share the descriptors.
    pub fn callers(&self) -> Rc<Cell<usize>> {
        Rc::clone(&self.callers)
    }

    fn take_accepted(self: &Rc<Service>, accepted: Accepted) {
        let _ = accepted.stream.set_nodelay(true);
        self.take_in(Socket(accepted.stream), accepted.waited);
    }

    /// Seats a client that has just connected, after at most this wait to be accepted, and serves it.
    pub(crate) fn take_in(self: &Rc<Service>, stream: impl Connection, waited: Duration) {
        increment(&self.dispatcher.counters().connections_accepted);
        let seated = self.seat(waited);
        // A connection that breaks has no one to be told.
        let service = Rc::clone(self);
        spawn_local(async move {
            if let Err(problem) = seated.serve(stream).await {
                debug!(service.log, "downstream connection broke"; "problem" => %problem);
            }
        });
    }

    fn seat(self: &Rc<Service>, waited: Duration) -> Seated {
        let (busy, half, spoke, leave, cut) = Default::default();
        let accepted = Instant::now();
        let quiet = Cell::new(accepted);
        let seat = Rc::new(Seat { accepted, waited, quiet, busy, half, spoke, leave, cut });
        self.seats.borrow_mut().push(Rc::clone(&seat));
        self.tell_open();
        Seated { service: Rc::clone(self), seat }
    }

    fn tell_open(&self) {
        self.shutdown.set_open_connections(self.seats.borrow().len() + self.lingering.get());
    }

    /// Waits until this connection, which owes nothing, should close.
    async fn closing(&self, seat: &Seat, patience: Option<Instant>) -> Look {
        tokio::select! {
            () = self.shutdown.wait_for_closing() => Look::Long,
            () = seat.leave.notified() => {
                debug!(self.log, "downstream connection closes: others need its place");
                Look::Short
            }
            () = until(patience) => {
                increment(&self.dispatcher.counters().idle_connections_closed);
                debug!(self.log, "downstream connection closes: idle for too long");
                Look::Long
            }
        }
    }

    /// Closes the connections that are quiet longest when more than may be kept have brought requests. Clients
    /// hold only so many, and some keep theirs for good: a client with something to say would find none left.
    fn thin_out(&self) {
        let seats = self.seats.borrow();
        let spoken = seats.iter().filter(|seat| seat.spoke.get());
        let more = spoken.clone().count().saturating_sub(self.resource_limits.idle_client_connections);
        if more > 0 {
            let mut quiet: Vec<_> = spoken.filter(|seat| !seat.busy.get() && !seat.half.get()).collect();
            quiet.sort_by_key(|seat| seat.quiet.get());
            quiet.iter().take(more).for_each(|seat| seat.leave.notify_one());
        }
    }

    /// Tells one connection to leave that has no request open: the longest quiet of those that never brought
    /// one, or else of the others, then one that has only just come, and one in the middle of a request only when
    /// there is no other.
    fn make_room(&self) {
        self.evict(1);
    }

    /// Tells as many as this to leave in that order. Beyond the first only those go that have brought nothing.
    fn evict(&self, most: usize) {
        let seats = self.seats.borrow();
        let mut idle: Vec<&Rc<Seat>> = seats.iter().filter(|seat| !seat.busy.get()).collect();
        let now = Instant::now();
        // Who has just come may be about to speak, and to close on it loses what it says; who has been answered and
        // is idle has nothing to lose.
        let fresh = |seat: &Seat| !seat.spoke.get() && now.duration_since(seat.quiet.get()) < FRESH;
        let order = |seat: &Rc<Seat>| (seat.half.get(), fresh(seat), seat.spoke.get(), seat.quiet.get());
        if idle.len() > most {
            idle.select_nth_unstable_by_key(most, |seat| order(seat));
            idle.truncate(most);
        }
        idle.sort_unstable_by_key(|seat| order(seat));
        let silent = |seat: &Seat| !seat.half.get() && !seat.spoke.get();
        for (place, seat) in idle.into_iter().enumerate() {
            if place > 0 && !silent(seat) {
                continue;
            }
            // Who is told to close while idle and then begins a request may finish it.
            if seat.half.get() { &seat.cut } else { &seat.leave }.notify_one();
        }
    }
}

#[cfg(test)]
mod tests;
