//! Client connections: accepting them, reading their requests and writing the answers in request order.
//!
//! Guarantee: the number of connections stays within the configured limit; when slots run out, idle
//! connections are evicted for new ones. A failed accept is counted, logged and retried; it never ends the
//! process.

mod backlog;
mod connection;
mod download;
mod lingering;
mod output;
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

use crate::buffer_pool::BufferPool;
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

/// How long input is still read and discarded after the last answer: closing a socket with unread bytes would
/// reset the connection and could lose that answer.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);
/// How long an idle connection waits for a last request before it closes.
const FINAL_READ_TIMEOUT: Duration = Duration::from_millis(2);
/// How long an accepted connection without a slot waits for an evicted one to close before it checks again.
const EVICTION_TIMEOUT: Duration = Duration::from_millis(10);
/// How long connections in the backlog wait for slots, in total, once the listener is about to close.
const FINAL_ACCEPT_TIMEOUT: Duration = Duration::from_millis(100);
/// How often a connection that is about to close, and the shutdown, check whether all answers have been sent.
const DELIVERY_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Client descriptors that slots leave free: an accepted connection that still waits for its slot holds one.
const DESCRIPTORS_WITHOUT_SLOT: usize = 1;

/// The names that clients use for the classes and tenants, in the order of the settings.
#[derive(Clone, Debug, Default)]
pub struct Labels {
    /// The names of the classes.
    pub classes: Vec<String>,
    /// The names of the tenants; empty if the site has none.
    pub tenants: Vec<String>,
}

/// State shared by all downstream connections.
pub struct Downstream {
    dispatcher: Rc<Dispatcher>,
    labels: Labels,
    shutdown: Rc<GracefulShutdown>,
    resource_limits: ResourceLimits,
    /// The buffers that all connections share.
    buffers: BufferPool,
    slots: RefCell<Vec<Rc<Slot>>>,
    /// The number of operators' connections, which share the descriptors.
    admin_connections: Rc<Cell<usize>>,
    /// The number of lingering connections: they have no slot any more and discard input until they close.
    lingering: Cell<usize>,
    /// Notified when a connection has closed or its eviction was withdrawn.
    connection_closed: Notify,
    log_throttle: LogThrottle,
    log: Logger,
}

/// How to check an idle connection for a last request before it closes.
enum FinalRead {
    /// Wait for input for up to [`FINAL_READ_TIMEOUT`].
    Wait,
    /// Read only what has already arrived, as another connection waits for the slot.
    Immediate,
}

impl Downstream {
    /// Creates the downstream side with these labels, limits and shared buffers.
    pub fn new(
        dispatcher: Rc<Dispatcher>,
        labels: Labels,
        shutdown: Rc<GracefulShutdown>,
        resource_limits: ResourceLimits,
        buffers: BufferPool,
        log: Logger,
    ) -> Rc<Downstream> {
        Rc::new(Downstream {
            dispatcher,
            labels,
            shutdown,
            resource_limits,
            buffers,
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
                    // Closing the listener leaves new connections to another balancer that listens on the
                    // same address.
                    return;
                }
            };
            match accepted {
                Ok(accepted) => {
                    self.shutdown.on_connection_accepted();
                    self.serve_when_slot_is_free(accepted).await;
                    self.keep_spare_slots();
                }
                Err(error) => self.on_accept_failed(&error).await,
            }
        }
    }

    /// Serves a connection as soon as it has a slot. An idle connection is evicted for it if necessary, since
    /// connections that send nothing must not block new ones. If all are busy, the new one waits until one closes, and
    /// later connections stay in the backlog.
    async fn serve_when_slot_is_free(self: &Rc<Downstream>, accepted: Accepted) {
        let accepted_at = Instant::now();
        while self.is_full() {
            self.evict_for_waiting().await;
        }
        self.serve_accepted(accepted, accepted_at.elapsed());
    }

    /// Accepts the connections that already wait in the backlog, as they would be reset when the listener
    /// closes. If all slots are occupied, they wait up to [`FINAL_ACCEPT_TIMEOUT`] in total, since the
    /// descriptors beyond the slots are reserved for others. Time in which this process did not run does not
    /// count.
    async fn accept_remaining(self: &Rc<Downstream>, backlog: &mut Backlog) {
        // Lets the runtime poll for connections that have arrived by now.
        yield_now().await;
        let mut waited = Duration::ZERO;
        while let Some(accepted) = backlog.accept_queued() {
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

    /// Counts and logs a failed accept, and waits before the next. Neither a lack of descriptors nor a client
    /// that left at once may end the process.
    async fn on_accept_failed(&self, error: &std::io::Error) {
        let failed = &self.dispatcher.counters().accepts_failed;
        increment(failed);
        if self.log_throttle.try_acquire() {
            warn!(self.log, "accept failed"; "error" => error.to_string(), "accepts_failed" => failed.get());
        }
        sleep(ACCEPT_RETRY_DELAY).await;
    }

    /// Evicts one connection for the one that waits for a slot, unless an eviction is already pending, and
    /// waits up to [`EVICTION_TIMEOUT`] until one has closed. If the evicted connection receives a request
    /// meanwhile, it stays open and the next call evicts another.
    async fn evict_for_waiting(&self) {
        if !self.has_pending_eviction() {
            self.evict(1);
        }
        let _ = timeout(EVICTION_TIMEOUT, self.connection_closed.notified()).await;
    }

    /// Evicts one idle connection when nearly all slots are occupied, before another connection waits for a
    /// slot.
    fn keep_spare_slots(&self) {
        let limit = self.resource_limits.client_connections;
        if self.occupied_descriptors() + limit / SPARE_SLOT_DIVISOR > limit {
            self.evict_idle();
        }
    }

    fn is_full(&self) -> bool {
        self.occupied_descriptors() + DESCRIPTORS_WITHOUT_SLOT >= self.resource_limits.client_connections
    }

    /// The client descriptors in use. Operators' connections beyond those with reserved descriptors count as
    /// well.
    fn occupied_descriptors(&self) -> usize {
        let admin = self.admin_connections.get().saturating_sub(RESERVED_ADMIN_CONNECTIONS);
        self.slots.borrow().len() + self.lingering.get() + admin
    }

    /// Waits until no client has answers to receive, at most for `time_limit`.
    pub async fn wait_until_delivered(&self, time_limit: Duration) {
        let ends = Instant::now() + time_limit;
        while Instant::now() < ends && self.slots.borrow().iter().any(|slot| slot.is_busy.get()) {
            sleep(DELIVERY_CHECK_INTERVAL).await;
        }
    }

    /// The counter of operators' connections, which share the descriptors.
    pub fn admin_connections(&self) -> Rc<Cell<usize>> {
        Rc::clone(&self.admin_connections)
    }

    /// Serves an accepted connection that waited for its slot for `slot_wait`.
    fn serve_accepted(self: &Rc<Downstream>, accepted: Accepted, slot_wait: Duration) {
        let _ = accepted.stream.set_nodelay(true);
        self.serve(Socket(accepted.stream), accepted.backlog_wait + slot_wait);
    }

    /// Occupies a slot for a new connection and serves it. `backlog_wait` is the longest that the connection may
    /// have waited for its slot.
    pub(crate) fn serve(self: &Rc<Downstream>, stream: impl ClientStream, backlog_wait: Duration) {
        increment(&self.dispatcher.counters().connections_accepted);
        let slot = self.occupy_slot(backlog_wait);
        let log = self.log.clone();
        spawn_local(async move {
            // The client is gone, so that the error is only logged.
            if let Err(error) = slot.serve(stream).await {
                debug!(log, "downstream connection broke"; "error" => %error);
            }
        });
    }

    /// Waits until this idle connection has to close: for the shutdown, an eviction or the idle timeout.
    async fn wait_for_close(&self, slot: &Slot, idle_until: Option<Instant>) -> FinalRead {
        tokio::select! {
            () = self.shutdown.wait_for_closing() => FinalRead::Wait,
            () = slot.wait_for_eviction(&slot.evicted) => FinalRead::Immediate,
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
