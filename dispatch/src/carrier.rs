//! What the dispatcher asks of the network: to carry attempts to servers, and how an attempt may end there.

use std::rc::Rc;

use juniperladder::{EndpointUpdate, ServerId};

use crate::identifiers::AttemptId;
use crate::request::{Attempt, ClientRequest, LastByteReceiver};
use crate::streamed_value::ChunkReceiver;
use crate::values::{ListedServer, Reply};

/// How an attempt ended on the network.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// With a reply.
    Reply(Reply),
    /// The connection could not be established, or it broke or the deadline came before the last byte was written: the attempt
    /// was not executed, and counts against the server.
    ConnectFailed,
    /// The connection broke after its last byte was written: it may have been executed.
    Broken,
    /// With an answer that is malformed or another request's: it may have been executed.
    Malformed,
    /// No byte was written, for a reason that does not count against the server: it drains or is gone, nobody waits for the
    /// answer, or this machine lacked a port or descriptor.
    NotSent,
}

/// A streamed value that a client writes, to be sent to the origin while it still comes: all but its last byte, which
/// waits for the attempt.
#[derive(Debug)]
pub struct Upload {
    /// The write, whose value is the one below.
    pub request: Rc<ClientRequest>,
    /// Where to.
    pub server: ServerId,
    /// The value. Dropped, it takes no more.
    pub value: ChunkReceiver,
    /// Brings the attempt that sends the last byte. If none comes the connection has to end as it is.
    pub last_byte: LastByteReceiver,
}

/// Carries attempts to servers.
///
/// An implementation guarantees that each attempt that was begun ends exactly once, by a call of
/// [`crate::dispatcher::Dispatcher::on_attempt_ended`], unless it was abandoned before its last byte was written; that no byte of
/// a cancelled attempt is written; and that nothing begins at a server that does not serve. No method may call the
/// dispatcher, which is the caller: the end of an attempt is reported from a task.
pub trait Carrier {
    /// The endpoint list has changed.
    fn on_endpoints_changed(&self, update: EndpointUpdate, servers: &[ListedServer]);
    /// Begins an attempt.
    fn begin_attempt(&self, attempt: Attempt);
    /// Begins to send a streamed value. The attempt that ends it comes by its handle.
    fn begin_upload(&self, upload: Upload);
    /// Stops to wait for the answer to an attempt. Returns whether its last byte has been written; only then it may still end.
    fn abandon(&self, id: AttemptId, server: ServerId) -> bool;
}
