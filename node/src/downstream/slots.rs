//! The slots of downstream connections: how many there are, and which of them are evicted when others need theirs.
//!
//! Guarantee: a connection with an open request is never evicted, and one in the middle of a request only when
//! there is no other. One that may be about to send its first request is evicted only for a connection that waits, so that no
//! more of those close than wait; and an evicted connection is read once more before it closes, so that however late the
//! event loop is, no request that has arrived is lost.

use std::cell::Cell;
use std::rc::Rc;

use tokio::sync::Notify;
use tokio::time::{Duration, Instant};

use super::Downstream;

/// How long a new connection that has sent nothing yet is taken to be about to.
const NEW_CONNECTION_GRACE: Duration = Duration::from_millis(500);
/// The part of the slots (one in so many) that is kept free for new connections, by evicting idle ones in time.
pub(super) const SPARE_SLOT_DIVISOR: usize = 16;

/// The place of a connection among those that the limit allows.
#[derive(Debug)]
pub(super) struct Slot {
    /// When it was accepted.
    pub(super) accepted: Instant,
    /// How long it may have waited for that at most.
    pub(super) backlog_wait: Duration,
    /// Since when it has had no request open.
    pub(super) idle_since: Cell<Instant>,
    /// Whether it has a request open or an answer unwritten.
    pub(super) is_busy: Cell<bool>,
    /// Whether a part of a request has come.
    pub(super) has_incomplete_request: Cell<bool>,
    /// Whether it has ever brought a request.
    pub(super) has_had_request: Cell<bool>,
    /// Whether it is to be evicted and has neither closed nor brought anything since.
    is_evicted: Cell<bool>,
    /// Notified when it is to close as soon as its client is owed nothing.
    pub(super) evicted: Notify,
    /// Notified when it is to end in the middle of a request.
    pub(super) evicted_mid_request: Notify,
}

impl Slot {
    fn new(backlog_wait: Duration) -> Slot {
        let accepted = Instant::now();
        Slot {
            accepted,
            backlog_wait,
            idle_since: Cell::new(accepted),
            is_busy: Cell::default(),
            has_incomplete_request: Cell::default(),
            has_had_request: Cell::default(),
            is_evicted: Cell::default(),
            evicted: Notify::new(),
            evicted_mid_request: Notify::new(),
        }
    }

    /// Whether it has brought nothing at all.
    fn is_silent(&self) -> bool {
        !self.has_incomplete_request.get() && !self.has_had_request.get()
    }

    /// Whether its client may be about to send its first request: to close on it loses that. A client that was answered
    /// and is idle has nothing to lose.
    fn is_new(&self, now: Instant) -> bool {
        !self.has_had_request.get() && now.duration_since(self.idle_since.get()) < NEW_CONNECTION_GRACE
    }

    /// Lowest is evicted first.
    fn eviction_order(&self, now: Instant) -> impl Ord {
        (
            self.has_incomplete_request.get(),
            self.is_new(now),
            self.has_had_request.get(),
            self.idle_since.get(),
        )
    }

    /// Whether it may be chosen for eviction.
    fn is_evictable(&self) -> bool {
        !self.is_busy.get() && !self.is_evicted.get()
    }

    /// Notifies its connection that it is to close. One that brings a request, or a part of one, before that stays open.
    fn evict(&self) {
        self.is_evicted.set(true);
        if self.has_incomplete_request.get() {
            self.evicted_mid_request.notify_one();
        } else {
            self.evicted.notify_one();
        }
    }

    /// Its connection has brought something since it was to be evicted, and stays open. Returns whether it was.
    pub(super) fn withdraw_eviction(&self) -> bool {
        self.is_evicted.replace(false)
    }

    /// Waits until this notification says that it is to be evicted, and it still is.
    pub(super) async fn wait_for_eviction(&self, notification: &Notify) {
        loop {
            notification.notified().await;
            if self.is_evicted.get() {
                return;
            }
        }
    }
}

/// Holds a slot for as long as it lives.
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
    /// A slot for a connection that may have waited so long to be accepted.
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

    /// Closes the connections that are idle longest when more than may stay open have brought requests. Clients
    /// hold only so many, and some keep theirs for good: a client with a request would find none left.
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

    /// Whether a connection is being evicted that has not closed yet.
    pub(super) fn is_evicting(&self) -> bool {
        self.slots.borrow().iter().any(|slot| slot.is_evicted.get())
    }

    /// Evicts up to this many connections that have no request open, for as many that wait: the longest idle of those that
    /// never brought one, or else of the others, then one that has only just come, and one in the middle of a request only
    /// when there is no other. Beyond the first only those are evicted that have brought nothing.
    pub(super) fn evict(&self, count: usize) {
        for position in 0..count {
            let is_allowed = |slot: &Slot| position == 0 || slot.is_silent();
            if !self.evict_first(Instant::now(), is_allowed) {
                return;
            }
        }
    }

    /// Evicts the connection that is idle longest and loses nothing by it: it is neither new nor in the middle of a request.
    pub(super) fn evict_settled(&self) {
        let now = Instant::now();
        self.evict_first(now, |slot| !slot.is_new(now) && !slot.has_incomplete_request.get());
    }

    /// Evicts the first in the order of eviction, if this allows it. Returns whether one was evicted.
    fn evict_first(&self, now: Instant, is_allowed: impl Fn(&Slot) -> bool) -> bool {
        let slots = self.slots.borrow();
        let candidates = slots.iter().filter(|slot| slot.is_evictable());
        let first = candidates.min_by_key(|slot| slot.eviction_order(now)).filter(|slot| is_allowed(slot));
        if let Some(slot) = first {
            slot.evict();
        }
        first.is_some()
    }
}
