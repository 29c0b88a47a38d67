//! Requests and the attempts at them, with the handle by which an attempt sends the last byte of a streamed value.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use bytes::Bytes;
use juniperladder::{Micros, RequestId, ServerId};
use tokio::sync::oneshot;

use crate::identifiers::AttemptId;

/// Names one request for as long as the program runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ClientRequestId(pub(crate) u64);

impl ClientRequestId {
    /// The id by which the decisions know it. It is one of the dispatcher's own: a client that gives one id twice
    /// confuses nobody.
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
    /// The key that it reads or writes.
    pub key: Bytes,
    /// The value that it writes; none for a read, and empty for a streamed one.
    pub value: Option<Bytes>,
    /// For a streamed value that it writes: what sends the last byte of it, where the rest is on its way already.
    pub upload: Option<UploadHandle>,
    /// Its class, by its position in the settings.
    pub class: u32,
    /// Its tenant, by its position in the settings; beyond them for one that they do not name, and for none.
    pub tenant: u32,
    /// Whether the client marked it as a retry of its own.
    pub is_client_retry: bool,
    /// How long the client waits; none if it does not say.
    pub timeout: Option<Micros>,
    /// All names and values that came with it.
    pub properties: Vec<(Bytes, Bytes)>,
}

/// One attempt at a request at one server.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Its id.
    pub id: AttemptId,
    /// What to send.
    pub request: Rc<ClientRequest>,
    /// Where to.
    pub server: ServerId,
    /// Until when its answer is waited for.
    pub deadline: Micros,
    /// Until when its bytes may be written.
    pub(crate) write_deadline: Micros,
    pub(crate) request_closed: ClosedFlag,
}

/// Set once a request has its final answer, or its client is gone or sends no more: shared by all its attempts.
pub(crate) type ClosedFlag = Rc<Cell<bool>>;

impl Attempt {
    /// Whether no byte of it may be written any more: nobody waits for it, so that a server would do work that is for nobody,
    /// after the request's final answer; or it is a retry, and servers may no longer know the request to drop it. Whoever
    /// carries it asks before each write.
    pub fn is_cancelled(&self, now: Micros) -> bool {
        self.request_closed.get() || now >= self.write_deadline
    }
}

/// The attempt that a streamed value waits for, to send its last byte.
#[derive(Debug)]
pub struct LastByte {
    /// What to send, where to and until when.
    pub attempt: Attempt,
    /// The last byte.
    pub byte: Bytes,
}

/// Where a connection that has all but the last byte of a value receives that.
pub type LastByteReceiver = oneshot::Receiver<LastByte>;

/// Stands in a request for a streamed value, all of which but the last byte is on its way to one server. The connection ends
/// where the last clone is dropped unused: that value was never executed.
#[derive(Clone, Debug)]
pub struct UploadHandle {
    server: ServerId,
    last_byte: Bytes,
    connection: Rc<RefCell<Option<oneshot::Sender<LastByte>>>>,
}

/// A handle of an upload to this server, and the receiver for its connection.
pub fn upload_handle(server: ServerId) -> (UploadHandle, LastByteReceiver) {
    let (sender, receiver) = oneshot::channel();
    let connection = Rc::new(RefCell::new(Some(sender)));
    (UploadHandle { server, last_byte: Bytes::new(), connection }, receiver)
}

impl UploadHandle {
    /// The same handle with the last byte, once the complete value has come.
    pub fn with_last_byte(self, last_byte: Bytes) -> UploadHandle {
        UploadHandle { last_byte, ..self }
    }

    /// Sends the last byte as this attempt. False where that cannot be: it has been used, leads to another
    /// server, or its connection has ended.
    pub fn send_last_byte(&self, attempt: Attempt) -> bool {
        if attempt.server != self.server || self.last_byte.is_empty() {
            return false;
        }
        let last_byte = LastByte { attempt, byte: self.last_byte.clone() };
        self.connection.take().is_some_and(|sender| sender.send(last_byte).is_ok())
    }
}

/// Two handles are equal if they lead to the same connection.
impl PartialEq for UploadHandle {
    fn eq(&self, other: &UploadHandle) -> bool {
        Rc::ptr_eq(&self.connection, &other.connection)
    }
}
