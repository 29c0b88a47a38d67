//! The slots of downstream connections: how many there are, and which of them are evicted when others need theirs.
//!
//! Guarantee: a connection with an open request is never evicted, and one in the middle of a request only when
//! there is no other.

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

    /// Notifies its connection that it is to close. One that is notified while idle and then begins a request may finish it.
    fn evict(&self) {
        if self.has_incomplete_request.get() {
            self.evicted_mid_request.notify_one();
        } else {
            self.evicted.notify_one();
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
            slot.evicted.notify_one();
        }
    }

    /// Evicts up to this many connections that have no request open: the longest idle of those that never brought
    /// one, or else of the others, then one that has only just come, and one in the middle of a request only when
    /// there is no other. Beyond the first only those are evicted that have brought nothing.
    pub(super) fn evict(&self, count: usize) {
        let slots = self.slots.borrow();
        let mut candidates: Vec<&Rc<Slot>> = slots.iter().filter(|slot| !slot.is_busy.get()).collect();
        let now = Instant::now();
        if candidates.len() > count {
            candidates.select_nth_unstable_by_key(count, |slot| slot.eviction_order(now));
            candidates.truncate(count);
        }
        candidates.sort_unstable_by_key(|slot| slot.eviction_order(now));
        for (position, slot) in candidates.into_iter().enumerate() {
            if position == 0 || slot.is_silent() {
                slot.evict();
            }
        }
    }
}
