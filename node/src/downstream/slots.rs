//! The slots of downstream connections: how many are occupied, and which connections are evicted for others.
//!
//! Guarantee: a connection with an open request is never evicted, but for one whose client has read no part of its
//! answers for [`STALL_TIMEOUT`], and one in the middle of a request only when there is no other. New connections,
//! which may be about to send their first request, are evicted only for connections that wait for a slot, and no more
//! of them than wait. An evicted connection is read once more before it closes, so that no request that has arrived is
//! lost, however long the event loop is delayed.

use std::cell::Cell;
use std::rc::Rc;

use tokio::sync::Notify;
use tokio::time::{Duration, Instant};

use super::Downstream;

/// How long after its accept a connection without a request counts as new: its client may be about to send the
/// first request.
const NEW_CONNECTION_GRACE: Duration = Duration::from_millis(500);
/// How long a client may read no part of its answers before its connection may be evicted. A socket shows that its
/// client reads only when a large part of its buffer, which may hold megabytes, is free again.
pub(super) const STALL_TIMEOUT: Duration = Duration::from_secs(60);
/// The share of the slots (one in this many) that is kept free for new connections by evicting idle ones
/// early.
pub(super) const SPARE_SLOT_DIVISOR: usize = 16;

/// The slot of one connection, with the state that decides on its eviction.
#[derive(Debug)]
pub(super) struct Slot {
    /// When the connection was accepted.
    pub(super) accepted: Instant,
    /// The longest that the connection may have waited before it had this slot.
    pub(super) backlog_wait: Duration,
    /// Since when the connection has had no open request.
    pub(super) idle_since: Cell<Instant>,
    /// Whether the connection has an open request or an unwritten answer.
    pub(super) is_busy: Cell<bool>,
    /// Since when the client has read no part of the output; `None` if there is no output.
    pub(super) unread_since: Cell<Option<Instant>>,
    /// Whether part of a request has been received.
    pub(super) has_incomplete_request: Cell<bool>,
    /// Whether the connection has ever had a request.
    pub(super) has_had_request: Cell<bool>,
    /// Whether an eviction is pending: the connection has neither closed nor received anything since.
    is_eviction_pending: Cell<bool>,
    /// Notified to close the connection as soon as its client waits for no answer.
    pub(super) evicted: Notify,
    /// Notified to end the connection in the middle of a request.
    pub(super) evicted_mid_request: Notify,
    /// Notified to end the connection although its client has not read its answers.
    pub(super) evicted_unread: Notify,
}

impl Slot {
    fn new(backlog_wait: Duration) -> Slot {
        let accepted = Instant::now();
        Slot {
            accepted,
            backlog_wait,
            idle_since: Cell::new(accepted),
            is_busy: Cell::default(),
            unread_since: Cell::default(),
            has_incomplete_request: Cell::default(),
            has_had_request: Cell::default(),
            is_eviction_pending: Cell::default(),
            evicted: Notify::new(),
            evicted_mid_request: Notify::new(),
            evicted_unread: Notify::new(),
        }
    }

    /// Whether the connection has received nothing at all.
    fn has_received_nothing(&self) -> bool {
        !self.has_incomplete_request.get() && !self.has_had_request.get()
    }

    /// Whether the client may be about to send its first request, which a close would lose. A client that was
    /// answered and is idle loses nothing.
    fn is_new(&self, now: Instant) -> bool {
        !self.has_had_request.get() && now.duration_since(self.idle_since.get()) < NEW_CONNECTION_GRACE
    }

    /// Whether the client has read no part of its answers for long.
    fn is_stalled(&self, now: Instant) -> bool {
        self.unread_since.get().is_some_and(|since| now.duration_since(since) >= STALL_TIMEOUT)
    }

    /// The sort key for evictions: the lowest is evicted first.
    fn eviction_order(&self, now: Instant) -> impl Ord {
        let is_stalled = self.is_stalled(now);
        (
            self.has_incomplete_request.get() && !is_stalled,
            self.is_new(now),
            is_stalled,
            self.has_had_request.get(),
            self.unread_since.get().unwrap_or(self.idle_since.get()),
        )
    }

    /// Whether the connection may be chosen for eviction.
    fn is_evictable(&self, now: Instant) -> bool {
        (!self.is_busy.get() || self.is_stalled(now)) && !self.is_eviction_pending.get()
    }

    /// Whether an eviction would lose nothing: the client is neither new nor in the middle of a request, and has read
    /// its answers.
    fn is_unneeded(&self, now: Instant) -> bool {
        !self.is_new(now) && !self.has_incomplete_request.get() && !self.is_busy.get()
    }

    /// Notifies the connection to close. If it receives a request, or part of one, or its client reads before that,
    /// it stays open.
    fn evict(&self) {
        self.is_eviction_pending.set(true);
        let notification = match (self.is_busy.get(), self.has_incomplete_request.get()) {
            (true, _) => &self.evicted_unread,
            (false, true) => &self.evicted_mid_request,
            (false, false) => &self.evicted,
        };
        notification.notify_one();
    }

    /// Withdraws a pending eviction, as the connection has received input, or its client has read, and it stays open.
    /// Returns whether one was pending.
    pub(super) fn withdraw_eviction(&self) -> bool {
        self.is_eviction_pending.replace(false)
    }

    /// Waits until `notification` announces an eviction that is still pending.
    pub(super) async fn wait_for_eviction(&self, notification: &Notify) {
        loop {
            notification.notified().await;
            if self.is_eviction_pending.get() {
                return;
            }
        }
    }
}

/// Holds a slot until dropped.
pub(super) struct OccupiedSlot {
    pub(super) downstream: Rc<Downstream>,
    pub(super) slot: Rc<Slot>,
}

impl Drop for OccupiedSlot {
    fn drop(&mut self) {
        self.downstream.slots.borrow_mut().retain(|slot| !Rc::ptr_eq(slot, &self.slot));
        self.downstream.on_connection_closed();
    }
}

impl Downstream {
    /// Occupies a slot for a connection that may have waited up to `backlog_wait` for it.
    pub(super) fn occupy_slot(self: &Rc<Downstream>, backlog_wait: Duration) -> OccupiedSlot {
        let slot = Rc::new(Slot::new(backlog_wait));
        self.slots.borrow_mut().push(Rc::clone(&slot));
        self.report_open_connections();
        OccupiedSlot { downstream: Rc::clone(self), slot }
    }

    pub(super) fn on_connection_closed(&self) {
        self.report_open_connections();
        self.connection_closed.notify_one();
    }

    fn report_open_connections(&self) {
        self.shutdown.set_open_connections(self.slots.borrow().len() + self.lingering.get());
    }

    /// Closes the longest idle connections when more connections have had requests than may stay open. The
    /// number of connections is limited and some clients keep idle ones open for good, so that a client with
    /// a request would find none left.
    pub(super) fn close_surplus_idle_connections(&self) {
        let slots = self.slots.borrow();
        let used: Vec<_> = slots.iter().filter(|slot| slot.has_had_request.get()).collect();
        let surplus = used.len().saturating_sub(self.resource_limits.idle_client_connections);
        if surplus == 0 {
            return;
        }
        let is_idle = |slot: &Slot| !slot.is_busy.get() && !slot.has_incomplete_request.get();
        let mut idle: Vec<_> = used.into_iter().filter(|slot| is_idle(slot)).collect();
        idle.sort_by_key(|slot| slot.idle_since.get());
        for slot in idle.into_iter().take(surplus) {
            slot.evict();
        }
    }

    /// Whether an eviction is pending for any connection.
    pub(super) fn has_pending_eviction(&self) -> bool {
        self.slots.borrow().iter().any(|slot| slot.is_eviction_pending.get())
    }

    /// Evicts up to `count` connections without an open request, for as many that wait. The order is: those that
    /// never had a request, except new ones; those that had one; those whose clients have read no part of their
    /// answers for [`STALL_TIMEOUT`]; new ones; and those in the middle of a request. Within each group the longest
    /// idle is first. After the first eviction, only connections that have received nothing are evicted.
    pub(super) fn evict(&self, count: usize) {
        for position in 0..count {
            let is_allowed = |slot: &Slot| position == 0 || slot.has_received_nothing();
            if !self.evict_first(Instant::now(), is_allowed) {
                return;
            }
        }
    }

    /// Evicts the first connection in the eviction order if it loses nothing.
    pub(super) fn evict_idle(&self) {
        let now = Instant::now();
        self.evict_first(now, |slot| slot.is_unneeded(now));
    }

    /// Evicts the connection whose client has read no part of its answers for longest, if that is at least
    /// [`STALL_TIMEOUT`], since its buffers are needed.
    pub(super) fn evict_stalled(&self) {
        let now = Instant::now();
        let slots = self.slots.borrow();
        let stalled = slots.iter().filter(|slot| slot.is_stalled(now) && slot.is_evictable(now));
        if let Some(slot) = stalled.min_by_key(|slot| slot.unread_since.get()) {
            slot.evict();
        }
    }

    /// Evicts the first connection in the eviction order if `is_allowed` accepts it. Returns whether one was
    /// evicted.
    fn evict_first(&self, now: Instant, is_allowed: impl Fn(&Slot) -> bool) -> bool {
        let slots = self.slots.borrow();
        let candidates = slots.iter().filter(|slot| slot.is_evictable(now));
        let first = candidates.min_by_key(|slot| slot.eviction_order(now)).filter(|slot| is_allowed(slot));
        if let Some(slot) = first {
            slot.evict();
        }
        first.is_some()
    }
}
