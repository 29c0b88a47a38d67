//! The attempt transport, through which the dispatcher sends attempts to servers, and how an attempt ends.

use std::rc::Rc;

use juniperladder::{EndpointUpdate, ServerId};

use crate::identifiers::AttemptId;
use crate::request::{Attempt, ClientRequest, LastByteReceiver};
use crate::streamed_value::ChunkReceiver;
use crate::values::{ListedServer, Reply};

/// How an attempt ended on the network.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The server replied.
    Reply(Reply),
    /// The connection could not be established, or it broke or the deadline passed before the last byte was
    /// written: the attempt was not executed, and counts as a fault of the server.
    ConnectFailed,
    /// The connection broke after the last byte was written: the attempt may have been executed.
    Broken,
    /// The response is malformed or has another request's id: the attempt may have been executed.
    Malformed,
    /// The last byte was not written, for a reason that is no fault of the server: the server is draining or gone, the
    /// attempt was cancelled, or this machine had no free port or file descriptor.
    NotSent,
}

/// A streamed value that a client writes. All but its last byte is forwarded to the origin as it arrives; the last
/// byte is sent with the attempt.
#[derive(Debug)]
pub struct Upload {
    /// The write request; its value is in `value`.
    pub request: Rc<ClientRequest>,
    /// The destination.
    pub server: ServerId,
    /// The value. Dropping the receiver stops the sender.
    pub value: ChunkReceiver,
    /// Receives the attempt that sends the last byte. If the sender is dropped, the connection has to close without
    /// that byte.
    pub last_byte: LastByteReceiver,
}

/// Sends attempts to servers.
///
/// An implementation guarantees that:
/// - each attempt begun ends exactly once, by a call of [`crate::dispatcher::Dispatcher::on_attempt_ended`], unless
///   it was abandoned before its last byte was written;
/// - no byte of a cancelled attempt is written;
/// - no attempt begins at a server that is not serving.
///
/// No method may call the dispatcher, whose state is borrowed during the call. The end of an attempt is reported from a
/// separate task.
pub trait AttemptTransport {
    /// Handles a change of the endpoint list: all of its servers if the update is complete, or else the changed ones.
    fn on_endpoints_changed(&self, update: EndpointUpdate, servers: &[ListedServer]);
    /// Begins an attempt.
    fn begin_attempt(&self, attempt: Attempt);
    /// Begins to send a streamed value. The attempt that completes it arrives on `Upload::last_byte`.
    fn begin_upload(&self, upload: Upload);
    /// Stops waiting for the reply to an attempt. Returns whether its last byte was written; only in that case may the
    /// attempt's end still be reported.
    fn abandon(&self, id: AttemptId, server: ServerId) -> bool;
}
