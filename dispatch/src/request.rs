//! Requests and the attempts at them, with the ticket by which an attempt sends the last byte of a long value.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use bytes::Bytes;
use juniperladder::{Micros, RequestId, ServerId};
use tokio::sync::oneshot;

use crate::numbers::AttemptId;

/// Names one request for as long as the program runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ClientRequestId(pub(crate) u64);

impl ClientRequestId {
    // The module's id is one of the dispatcher's own: a client that gives one id twice confuses nobody.
    pub(crate) fn to_request_id(self) -> RequestId {
        let mut bytes = [0; 36];
        bytes[..8].copy_from_slice(&self.0.to_le_bytes());
        RequestId(bytes)
    }

    pub(crate) fn from_request_id(request: &RequestId) -> ClientRequestId {
        ClientRequestId(request.0[..8].iter().rev().fold(0, |sum, byte| sum << 8 | u64::from(*byte)))
    }
}

/// What a client asks for.
#[derive(Clone, Debug, PartialEq)]
pub struct ClientRequest {
    /// The client's id for it.
    pub id: Bytes,
    /// What it is about.
    pub key: Bytes,
    /// The value that it writes; none for a read, and empty for a long one.
    pub value: Option<Bytes>,
    /// For a long value that it writes: what sends the last byte of it, where the rest is on its way already.
    pub ticket: Option<Ticket>,
    /// Its class, by its place in the settings.
    pub class: u32,
    /// Whose it is, by the tenant's place in the settings; beyond them for one that they do not name, and for nobody's.
    pub tenant: u32,
    /// Whether the client marked it as a retry of its own.
    pub retry: bool,
    /// How long the client waits; none if it does not say.
    pub wait: Option<Micros>,
    /// All names and values that came with it.
    pub properties: Vec<(Bytes, Bytes)>,
}

/// One attempt at a request at one server.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Its name.
    pub id: AttemptId,
    /// What to send.
    pub request: Rc<ClientRequest>,
    /// Where to.
    pub server: ServerId,
    /// Until when its answer is waited for.
    pub until: Micros,
    /// Until when it may go out.
    pub(crate) by: Micros,
    pub(crate) over: Over,
}

/// Set once a request has its final answer, or its client is gone or sends no more: shared by all its attempts.
pub(crate) type Over = Rc<Cell<bool>>;

impl Attempt {
    /// Whether no byte of it may be written any more: nobody waits for it, so that a server would do work that is for nobody,
    /// after the request's final answer; or it is a repeat, and servers may no longer know the request to drop it. Whoever
    /// carries it asks before each write.
    pub fn over(&self, now: Micros) -> bool {
        self.over.get() || now >= self.by
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

/// Stands in a request for a long value, all of which but the last byte is on its way to one server. The way ends
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
