//! The reservations that wait for room in the pool.
//!
//! Guarantee: those of one kind are granted in the order of their requests, and none waits for one of a kind that has to
//! leave more of the pool free.

use std::collections::VecDeque;

use tokio::sync::oneshot;

use super::{BufferKind, Reservation};

/// The kinds that may wait, in the order in which they are granted.
const WAITING_KINDS: [BufferKind; 3] = [BufferKind::Request, BufferKind::Line, BufferKind::IncompleteRequest];

/// A reservation that waits for room; it is withdrawn when dropped.
#[derive(Debug)]
pub struct PendingReservation {
    kind: BufferKind,
    granted: oneshot::Receiver<Reservation>,
}

impl PendingReservation {
    /// What the buffer is for.
    pub fn kind(&self) -> BufferKind {
        self.kind
    }

    /// Waits until the reservation is granted. Cancelling keeps the place in the queue.
    pub async fn granted(&mut self) -> Reservation {
        match (&mut self.granted).await {
            Ok(reservation) => reservation,
            // The pool drops no waiter before its receiver, and a reservation is awaited once.
            Err(_) => std::future::pending().await,
        }
    }
}

/// One that waits for its reservation.
#[derive(Debug)]
pub(super) struct Waiter {
    pub(super) bytes: usize,
    granted: oneshot::Sender<Reservation>,
}

impl Waiter {
    pub(super) fn grant(self, reservation: Reservation) {
        // Fails if the reservation was withdrawn; it is then released.
        let _ = self.granted.send(reservation);
    }
}

/// All that wait, by kind.
#[derive(Debug, Default)]
pub(super) struct WaitingReservations {
    queues: [VecDeque<Waiter>; WAITING_KINDS.len()],
}

impl WaitingReservations {
    fn position(kind: BufferKind) -> Option<usize> {
        WAITING_KINDS.iter().position(|known| *known == kind)
    }

    /// Adds one that waits. One of another kind than [`WAITING_KINDS`] waits with the last of them.
    pub(super) fn push(&mut self, kind: BufferKind, bytes: usize) -> PendingReservation {
        let (sender, granted) = oneshot::channel();
        let queue = &mut self.queues[Self::position(kind).unwrap_or(WAITING_KINDS.len() - 1)];
        // Those withdrawn must not add up.
        queue.retain(|waiter| !waiter.granted.is_closed());
        queue.push_back(Waiter { bytes, granted: sender });
        PendingReservation { kind, granted }
    }

    /// Whether one waits that has to be granted before another of this kind. What waits for a client that writes slowly
    /// keeps back nothing but its own kind.
    pub(super) fn has_priority_over(&self, kind: BufferKind) -> bool {
        let last = Self::position(kind).unwrap_or(WAITING_KINDS.len() - 2);
        let mut before = self.queues[..=last].iter().flatten();
        before.any(|waiter| !waiter.granted.is_closed())
    }

    /// The kind of the next one to be granted, if there is room for it.
    pub(super) fn next(&mut self, has_room: impl Fn(BufferKind, usize) -> bool) -> Option<BufferKind> {
        for queue in &mut self.queues {
            while queue.pop_front_if(|waiter| waiter.granted.is_closed()).is_some() {}
        }
        let heads = WAITING_KINDS.iter().zip(&self.queues);
        let mut heads = heads.filter_map(|(kind, queue)| Some((*kind, queue.front()?.bytes)));
        heads.next().filter(|(kind, bytes)| has_room(*kind, *bytes)).map(|(kind, _)| kind)
    }

    /// Removes the one that has waited longest of this kind.
    pub(super) fn pop(&mut self, kind: BufferKind) -> Option<Waiter> {
        self.queues[Self::position(kind)?].pop_front()
    }
}
