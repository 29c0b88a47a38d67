//! A long value, passed on while it still comes: the server's side feeds it, the client's side takes it piece by
//! piece, and neither ever has more than a few pieces in hand.
//!
//! The last byte is held back until the server's end of the value has been seen, so that a client can always tell
//! a value that broke off, or whose end was wrong, from a whole one.

#[cfg(test)]
mod tests;

use std::cell::RefCell;
use std::future::poll_fn;
use std::rc::Rc;

use bytes::Bytes;
use tokio::sync::mpsc;

use crate::tally::{Passing, Tally};

/// Pieces that may wait between the two sides.
const WAITING: usize = 1;

/// The client's side of a long value.
#[derive(Clone, Debug)]
pub struct Long {
    length: usize,
    pieces: Rc<RefCell<mpsc::Receiver<Bytes>>>,
    passing: Option<Rc<Passing>>,
}

/// The server's side of a long value.
#[derive(Debug)]
pub struct Feed {
    pieces: mpsc::Sender<Bytes>,
    left: usize,
    last: Bytes,
}

/// Nobody takes the value any longer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Unwanted;

/// The two sides of a value of so many bytes.
pub fn long(length: usize) -> (Long, Feed) {
    let (sender, receiver) = mpsc::channel(WAITING);
    let long = Long { length, pieces: Rc::new(RefCell::new(receiver)), passing: None };
    (long, Feed { pieces: sender, left: length, last: Bytes::new() })
}

impl Long {
    /// How many bytes the value has.
    pub fn length(&self) -> usize {
        self.length
    }

    /// The next piece; none at the value's end, and where it broke off.
    pub async fn next(&self) -> Option<Bytes> {
        poll_fn(|cx| self.pieces.borrow_mut().poll_recv(cx)).await
    }

    /// From here on the tally counts it as on its way, until its last holder lets go.
    pub(crate) fn counted(self, tally: &Rc<Tally>, class: u32) -> Long {
        Long { passing: Some(Rc::new(Passing::begun(tally, class))), ..self }
    }

    /// The client has it whole.
    pub fn whole(&self) {
        self.passing.iter().for_each(|passing| passing.whole());
    }
}

/// Two are the same if they are one.
impl PartialEq for Long {
    fn eq(&self, other: &Long) -> bool {
        Rc::ptr_eq(&self.pieces, &other.pieces)
    }
}

impl Eq for Long {}

impl Feed {
    /// Passes a piece on, and waits while the client has not taken the ones before it.
    pub async fn push(&mut self, piece: Bytes) -> Result<(), Unwanted> {
        match self.hold_back(piece) {
            Some(piece) => self.pieces.send(piece).await.map_err(|_| Unwanted),
            None => Ok(()),
        }
    }

    /// Whether a piece can be passed on without a wait.
    pub fn has_room(&self) -> bool {
        self.pieces.capacity() > 0 || self.pieces.is_closed()
    }

    /// Waits until a piece can be passed on, or nobody takes the value any longer.
    pub async fn room(&self) {
        drop(self.pieces.reserve().await);
    }

    /// Passes a piece on for which there is room.
    pub fn push_now(&mut self, piece: Bytes) -> Result<(), Unwanted> {
        match self.hold_back(piece) {
            Some(piece) => self.pieces.try_send(piece).map_err(|_| Unwanted),
            None => Ok(()),
        }
    }

    /// The last byte of a value of which all else has been passed on.
    pub fn last(&self) -> Option<Bytes> {
        (!self.last.is_empty()).then(|| self.last.clone())
    }

    /// What of this piece may go on now: all but the value's last byte.
    fn hold_back(&mut self, mut piece: Bytes) -> Option<Bytes> {
        self.left = self.left.saturating_sub(piece.len());
        if self.left == 0 && !piece.is_empty() {
            self.last = piece.split_off(piece.len() - 1);
        }
        (!piece.is_empty()).then_some(piece)
    }

    /// Waits until nobody takes the value any longer.
    pub async fn unwanted(&self) {
        self.pieces.closed().await;
    }

    /// The value's end has been seen and is right: the last byte goes too.
    pub async fn finish(self) -> Result<(), Unwanted> {
        self.pieces.send(self.last).await.map_err(|_| Unwanted)
    }
}
