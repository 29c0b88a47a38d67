//! Client requests and their attempts, and the handle by which an attempt sends the last byte of a streamed value.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use bytes::Bytes;
use juniperladder::{Micros, RequestId, ServerId};
use tokio::sync::oneshot;

use crate::identifiers::AttemptId;

/// Identifies one request for the lifetime of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ClientRequestId(pub(crate) u64);

impl ClientRequestId {
    /// The request's id in the decision core. The dispatcher assigns it, so that clients that reuse an id cannot
    /// make two requests collide.
    pub(crate) fn to_request_id(self) -> RequestId {
        let mut bytes = [0; 36];
        bytes[..8].copy_from_slice(&self.0.to_le_bytes());
        RequestId(bytes)
    }

    pub(crate) fn from_request_id(request: &RequestId) -> ClientRequestId {
        ClientRequestId(request.0[..8].iter().rev().fold(0, |sum, byte| sum << 8 | u64::from(*byte)))
    }
}

/// A request of a client.
#[derive(Clone, Debug, PartialEq)]
pub struct ClientRequest {
    /// The id that the client chose.
    pub id: Bytes,
    /// The key to read or write.
    pub key: Bytes,
    /// The value to write; none for a read, and empty for a streamed value.
    pub value: Option<Bytes>,
    /// For a write of a streamed value: the handle that sends the last byte, if the other bytes are already being
    /// forwarded.
    pub upload: Option<UploadHandle>,
    /// Class, as its index in the settings.
    pub class: u32,
    /// Tenant, as its index in the settings; beyond the last index for an unknown tenant and for a request without one.
    pub tenant: u32,
    /// Whether the client marked the request as a retry.
    pub is_client_retry: bool,
    /// How long the client waits for the answer; none if the request does not state it.
    pub timeout: Option<Micros>,
    /// All properties of the request, as names and values.
    pub properties: Vec<(Bytes, Bytes)>,
}

/// How long a request has waited since its last byte arrived, before it was read.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct UnreadWait {
    /// The wait that is known.
    pub at_least: Micros,
    /// An upper bound, which may be far too large.
    pub at_most: Micros,
}

/// A read whose answer is a streamed value, as far as it is needed to read the value once more if it breaks off.
#[derive(Debug)]
pub(crate) struct StreamedRead {
    pub(crate) request: Rc<ClientRequest>,
    pub(crate) deadline: Micros,
    /// The number of attempts begun for it.
    pub(crate) attempts: u32,
}

/// One attempt at a request at one server.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The attempt's id.
    pub id: AttemptId,
    /// The request to send.
    pub request: Rc<ClientRequest>,
    /// The destination.
    pub server: ServerId,
    /// When to stop waiting for the reply.
    pub deadline: Micros,
    /// When to stop writing the request.
    pub(crate) write_deadline: Micros,
    pub(crate) cancelled: CancellationFlag,
}

/// Cancels the attempts of a request, which share it: set once the request is answered, or its client has disconnected
/// or half-closed.
pub(crate) type CancellationFlag = Rc<Cell<bool>>;

impl Attempt {
    /// Whether no more bytes of the attempt may be written; the transport checks this before each write. An attempt is
    /// cancelled once its request is closed, as the server's work would be wasted, and a retry also at the end of
    /// the deduplication window, after which servers may no longer recognize the request as a duplicate.
    pub fn is_cancelled(&self, now: Micros) -> bool {
        self.cancelled.get() || now >= self.write_deadline
    }
}

/// The last byte of a streamed value, with the attempt that sends it.
#[derive(Debug)]
pub struct LastByte {
    /// The attempt, which names the destination and the deadline.
    pub attempt: Attempt,
    /// The last byte.
    pub byte: Bytes,
}

/// Receives the last byte on the connection that has sent all others of the value.
pub type LastByteReceiver = oneshot::Receiver<LastByte>;

/// Represents in a request a streamed value of which all but the last byte is being sent to one server. If the last
/// clone is dropped unused, the connection closes and the write is not executed.
#[derive(Clone, Debug)]
pub struct UploadHandle {
    server: ServerId,
    /// Empty until the complete value has been received.
    last_byte: Bytes,
    /// Sends the last byte to the connection; none once it is sent.
    connection: Rc<RefCell<Option<oneshot::Sender<LastByte>>>>,
}

/// Creates the handle of an upload to this server, and the receiver for its connection.
pub fn upload_handle(server: ServerId) -> (UploadHandle, LastByteReceiver) {
    let (sender, receiver) = oneshot::channel();
    let connection = Rc::new(RefCell::new(Some(sender)));
    (UploadHandle { server, last_byte: Bytes::new(), connection }, receiver)
}

impl UploadHandle {
    /// Returns the handle with the last byte, once the complete value has been received.
    pub fn with_last_byte(self, last_byte: Bytes) -> UploadHandle {
        UploadHandle { last_byte, ..self }
    }

    /// Sends the last byte for this attempt. Returns false if the handle was used before, has no last byte yet or
    /// belongs to another server, or if its connection has closed.
    pub fn send_last_byte(&self, attempt: Attempt) -> bool {
        if attempt.server != self.server || self.last_byte.is_empty() {
            return false;
        }
        let last_byte = LastByte { attempt, byte: self.last_byte.clone() };
        self.connection.take().is_some_and(|sender| sender.send(last_byte).is_ok())
    }
}

/// Two handles are equal if they belong to the same connection.
impl PartialEq for UploadHandle {
    fn eq(&self, other: &UploadHandle) -> bool {
        Rc::ptr_eq(&self.connection, &other.connection)
    }
}
