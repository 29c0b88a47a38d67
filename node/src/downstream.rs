//! The downstream side: clients' connections, the requests on them, and the answers in their order.
//!
//! Guarantee: connections stay within the configured limit, and idle ones give way to clients that have a request.
//! A failed accept ends nothing: it is counted, logged and tried again.

mod backlog;
mod connection;
mod lingering;
mod slots;
mod stream;
mod upload;

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
use crate::listener::ACCEPT_RETRY_DELAY;
use crate::resource_limits::{ResourceLimits, RESERVED_ADMIN_CONNECTIONS};
use crate::socket::Socket;
use backlog::{Accepted, Backlog};
use connection::wait_until;
use juniperladder_dispatch::log_throttle::LogThrottle;
use slots::{Slot, SPARE_SLOT_DIVISOR};
pub use stream::{ClientReader, ClientStream};

/// For how long what a client still sends is read off after its last answer, as a close over unread bytes would reset
/// the connection and might take that answer with it.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);
/// How long a connection that is about to close is read once more.
const FINAL_READ_TIMEOUT: Duration = Duration::from_millis(2);
/// How long a new connection without a slot waits for the one that was evicted.
const EVICTION_TIMEOUT: Duration = Duration::from_millis(10);
/// How long the connections in the backlog wait for slots once the listener is about to close.
const FINAL_ACCEPT_TIMEOUT: Duration = Duration::from_millis(100);
/// Descriptors of clients that are not for slots: the connection that is accepted next waits for its slot with one.
const UNSERVED_CONNECTIONS: usize = 1;

/// The names by which clients call the classes and the tenants of the settings, in the settings' order.
#[derive(Clone, Debug, Default)]
pub struct Labels {
    /// Of the classes.
    pub classes: Vec<String>,
    /// Of the tenants; a site may have none.
    pub tenants: Vec<String>,
}

/// What all downstream connections share.
pub struct Downstream {
    dispatcher: Rc<Dispatcher>,
    labels: Labels,
    shutdown: Rc<GracefulShutdown>,
    resource_limits: ResourceLimits,
    /// Bytes buffered for all clients together.
    buffered_bytes: Cell<usize>,
    slots: RefCell<Vec<Rc<Slot>>>,
    /// Operators' connections, who share the descriptors.
    admin_connections: Rc<Cell<usize>>,
    /// Connections that are over but for what may cross their close.
    lingering: Cell<usize>,
    /// Notified when a connection has closed, or stays open though it was to be evicted.
    connection_closed: Notify,
    log_throttle: LogThrottle,
    log: Logger,
}

/// How a connection that is about to close is read once more.
enum FinalRead {
    /// For [`FINAL_READ_TIMEOUT`].
    Wait,
    /// For what has arrived already: another connection waits for its slot.
    AtOnce,
}

impl Downstream {
    /// A downstream side that knows these names and keeps within these limits.
    pub fn new(
        dispatcher: Rc<Dispatcher>,
        labels: Labels,
        shutdown: Rc<GracefulShutdown>,
        resource_limits: ResourceLimits,
        log: Logger,
    ) -> Rc<Downstream> {
        Rc::new(Downstream {
            dispatcher,
            labels,
            shutdown,
            resource_limits,
            buffered_bytes: Cell::default(),
            slots: RefCell::default(),
            admin_connections: Rc::default(),
            lingering: Cell::default(),
            connection_closed: Notify::new(),
            log_throttle: LogThrottle::default(),
            log,
        })
    }

    /// Accepts connections until the graceful shutdown closes them.
    pub async fn accept(self: Rc<Downstream>, listener: TcpListener) {
        let mut backlog = Backlog::new(listener);
        loop {
            let accepted = tokio::select! {
                accepted = backlog.accept() => accepted,
                () = self.shutdown.wait_for_closing() => {
                    self.accept_remaining(&mut backlog).await;
                    // Closed, the listener leaves new connections to a balancer that shares its address.
                    return;
                }
            };
            match accepted {
                Ok(accepted) => {
                    self.shutdown.on_connection_accepted();
                    self.serve_in_turn(accepted).await;
                    self.keep_spare_slots();
                }
                Err(error) => self.on_accept_failed(&error).await,
            }
        }
    }

    /// Serves a connection as soon as it has a slot. Connections that send nothing must not shut it out; where all are
    /// busy it waits until one closes, and the backlog holds those behind it.
    async fn serve_in_turn(self: &Rc<Downstream>, accepted: Accepted) {
        let accepted_at = Instant::now();
        while self.is_full() {
            self.evict_for_waiting().await;
        }
        self.serve_accepted(accepted, accepted_at.elapsed());
    }

    /// Accepts the connections that wait in the backlog already: those would be reset when it closes. Where all slots are
    /// occupied they wait a moment for one, as the descriptors beyond those are others'. Time in which this process did not
    /// run is no part of that.
    async fn accept_remaining(self: &Rc<Downstream>, backlog: &mut Backlog) {
        // In this turn the runtime notices what has arrived until now.
        yield_now().await;
        let mut waited = Duration::ZERO;
        while let Some(accepted) = backlog.accept_waiting() {
            let accepted_at = Instant::now();
            while self.is_full() {
                if waited >= FINAL_ACCEPT_TIMEOUT {
                    return;
                }
                let wait_begun = Instant::now();
                self.evict_for_waiting().await;
                waited += wait_begun.elapsed().min(EVICTION_TIMEOUT);
            }
            self.serve_accepted(accepted, accepted_at.elapsed());
        }
    }

    /// Out of descriptors, or a client that left at once: neither may end the program.
    async fn on_accept_failed(&self, error: &std::io::Error) {
        let failed = &self.dispatcher.counters().accepts_failed;
        increment(failed);
        if self.log_throttle.allows() {
            warn!(self.log, "accept failed"; "error" => error.to_string(), "accepts_failed" => failed.get());
        }
        sleep(ACCEPT_RETRY_DELAY).await;
    }

    /// Evicts one connection for the one that waits for a slot, unless that is under way already, and waits for a moment until
    /// one has closed. The evicted one may have brought a request meanwhile: then another is evicted.
    async fn evict_for_waiting(&self) {
        if !self.is_evicting() {
            self.evict(1);
        }
        let _ = timeout(EVICTION_TIMEOUT, self.connection_closed.notified()).await;
    }

    /// Evicts one connection where nearly all slots are occupied, though nobody waits for one yet.
    fn keep_spare_slots(&self) {
        let limit = self.resource_limits.client_connections;
        if self.occupied_descriptors() + limit / SPARE_SLOT_DIVISOR > limit {
            self.evict_settled();
        }
    }

    fn is_full(&self) -> bool {
        self.occupied_descriptors() + UNSERVED_CONNECTIONS >= self.resource_limits.client_connections
    }

    /// Clients' descriptors that are in use. Operators' connections beyond those that have descriptors of their own
    /// count as well.
    fn occupied_descriptors(&self) -> usize {
        let admin = self.admin_connections.get().saturating_sub(RESERVED_ADMIN_CONNECTIONS);
        self.slots.borrow().len() + self.lingering.get() + admin
    }

    /// The counter of operators' connections, which share the descriptors.
    pub fn admin_connections(&self) -> Rc<Cell<usize>> {
        Rc::clone(&self.admin_connections)
    }

    /// Serves a connection that has waited so long for its slot.
    fn serve_accepted(self: &Rc<Downstream>, accepted: Accepted, slot_wait: Duration) {
        let _ = accepted.stream.set_nodelay(true);
        self.serve(Socket(accepted.stream), accepted.backlog_wait + slot_wait);
    }

    /// Gives a client that has just connected a slot, and serves it; it may have waited this long for that at most.
    pub(crate) fn serve(self: &Rc<Downstream>, stream: impl ClientStream, backlog_wait: Duration) {
        increment(&self.dispatcher.counters().connections_accepted);
        let slot = self.occupy_slot(backlog_wait);
        let log = self.log.clone();
        spawn_local(async move {
            // Nobody is left to be notified of a broken connection.
            if let Err(error) = slot.serve(stream).await {
                debug!(log, "downstream connection broke"; "error" => %error);
            }
        });
    }

    /// Waits until this connection, whose client is owed nothing, is to close.
    async fn wait_for_close(&self, slot: &Slot, idle_until: Option<Instant>) -> FinalRead {
        tokio::select! {
            () = self.shutdown.wait_for_closing() => FinalRead::Wait,
            () = slot.wait_for_eviction(&slot.evicted) => FinalRead::AtOnce,
            () = wait_until(idle_until) => {
                increment(&self.dispatcher.counters().idle_connections_closed);
                debug!(self.log, "downstream connection idle for too long");
                FinalRead::Wait
            }
        }
    }
}

#[cfg(test)]
mod tests;
