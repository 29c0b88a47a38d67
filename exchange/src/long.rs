//! A long value, passed on while it still comes: the host's side feeds it, the client's side takes it piece by
//! piece, and neither ever has more than a few pieces in hand.
//!
//! The last byte is held back until the host's end of the value has been seen, so that a client can always tell
//! a value that broke off, or whose end was wrong, from a whole one.

use std::cell::RefCell;
use std::future::poll_fn;
use std::rc::Rc;

use bytes::Bytes;
use juniperladder::ServerId;
use tokio::sync::{mpsc, oneshot};

use crate::exchange::Attempt;
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

/// The host's side of a long value.
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

/// The attempt that a long value waits for, to send its last byte.
#[derive(Debug)]
pub struct Go {
    /// What to send, where to and until when.
    pub attempt: Attempt,
    /// The last byte.
    pub last: Bytes,
}

/// Where a connection that has all but the last byte of a value hears of the attempt.
pub type Going = oneshot::Receiver<Go>;

/// Stands in a command for a long value, all of which but the last byte is on its way to one server. The way ends
/// where the last holder lets go of it unused: that value never ran.
#[derive(Clone, Debug)]
pub struct Ticket {
    server: ServerId,
    last: Bytes,
    go: Rc<RefCell<Option<oneshot::Sender<Go>>>>,
}

/// A ticket to this server, and what it leads to.
pub fn ticket(server: ServerId) -> (Ticket, Going) {
    let (sender, receiver) = oneshot::channel();
    (Ticket { server, last: Bytes::new(), go: Rc::new(RefCell::new(Some(sender))) }, receiver)
}

impl Ticket {
    /// The whole value has come, and this is its last byte.
    pub fn whole(self, last: Bytes) -> Ticket {
        Ticket { last, ..self }
    }

    /// Sends the last byte as this attempt. False where that cannot be: it has been used, leads to another
    /// server, or its connection has ended.
    pub fn give(&self, attempt: Attempt) -> bool {
        if attempt.server != self.server || self.last.is_empty() {
            return false;
        }
        let go = Go { attempt, last: self.last.clone() };
        self.go.take().is_some_and(|sender| sender.send(go).is_ok())
    }
}

/// Two are the same if they lead to the same connection.
impl PartialEq for Ticket {
    fn eq(&self, other: &Ticket) -> bool {
        Rc::ptr_eq(&self.go, &other.go)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::testing;

    /// Whatever the pieces, the client gets the last byte only once the end was found right.
    #[test]
    fn the_last_byte_waits_for_the_end() {
        testing::run(async {
            for cut in [1, 3, 10] {
                for right in [true, false] {
                    let (long, mut feed) = long(10);
                    let host = async move {
                        for piece in b"0123456789".chunks(cut) {
                            feed.push(Bytes::copy_from_slice(piece)).await.unwrap();
                        }
                        if right {
                            feed.finish().await.unwrap();
                        }
                    };
                    let client = async {
                        let mut got = Vec::new();
                        while let Some(piece) = long.next().await {
                            got.extend_from_slice(&piece);
                        }
                        got
                    };
                    let (got, ()) = tokio::join!(client, host);
                    assert_eq!(got, if right { &b"0123456789"[..] } else { b"012345678" });
                }
            }
        });
    }

    /// The host's side waits for the client, and ends when the client is gone.
    #[test]
    fn a_client_that_is_slow_holds_the_host_back() {
        testing::run(async {
            let (long, mut feed) = long(100);
            feed.push(Bytes::from_static(b"a")).await.unwrap();
            let second = feed.push(Bytes::from_static(b"b"));
            assert!(tokio::time::timeout(std::time::Duration::from_secs(9), second).await.is_err());
            drop(long);
            assert_eq!(feed.push(Bytes::from_static(b"c")).await, Err(Unwanted));
            feed.unwanted().await;
        });
    }
}
