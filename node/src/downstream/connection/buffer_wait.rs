//! A client's value or line that waits for its buffer, unread in the socket.

use tokio::time::{sleep_until, Duration, Instant};

use crate::buffer_pool::{BufferKind, PendingReservation, Reservation};

/// How often it is checked whether the client has written all of its value.
const CHECK_INTERVAL: Duration = Duration::from_millis(25);

/// A wait for a buffer.
pub(super) struct BufferWait {
    pending: PendingReservation,
    unread_bytes: Option<usize>,
    next_check: Option<Instant>,
}

impl BufferWait {
    pub(super) fn new(pending: PendingReservation) -> BufferWait {
        BufferWait { pending, unread_bytes: None, next_check: None }
    }

    pub(super) fn kind(&self) -> BufferKind {
        self.pending.kind()
    }

    /// The wait after a check, which found this many bytes in the socket.
    pub(super) fn checked(self, now: Instant, unread_bytes: Option<usize>) -> BufferWait {
        BufferWait { unread_bytes, next_check: Some(now + CHECK_INTERVAL), ..self }
    }

    pub(super) fn is_check_due(&self, now: Instant) -> bool {
        self.next_check.is_none_or(|next_check| now >= next_check)
    }

    /// Whether more bytes are in the socket than at the last check.
    pub(super) fn has_grown_to(&self, unread_bytes: Option<usize>) -> bool {
        unread_bytes > self.unread_bytes
    }

    async fn next(&mut self) -> Option<Reservation> {
        tokio::select! {
            reservation = self.pending.granted() => Some(reservation),
            () = sleep_until(self.next_check.unwrap_or_else(Instant::now)) => None,
        }
    }
}

/// Waits until the buffer is reserved, or until the wait has to be checked again; forever without a wait.
pub(super) async fn next(wait: &mut Option<BufferWait>) -> Option<Reservation> {
    match wait {
        Some(wait) => wait.next().await,
        None => std::future::pending().await,
    }
}
