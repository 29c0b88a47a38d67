//! What stands between the dispatcher and the network: who carries attempts, and how they end there.

use std::rc::Rc;

use juniperladder::{EndpointUpdate, ServerId};

use crate::long::Long;
use crate::numbers::AttemptId;
use crate::request::{Attempt, ClientRequest, Going};
use crate::values::{ListedServer, Reply};

/// How an attempt ended on the network.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum End {
    /// With a reply.
    Reply(Reply),
    /// Before its last byte was written: it never ran.
    NotSent,
    /// After its last byte was written: it may have run.
    Broken,
    /// With an answer that makes no sense or is another request's: it may have run.
    Spoilt,
    /// Before its first byte, since the server drains or is gone.
    CalledOff,
}

/// A long value that a client writes, to be sent to the origin while it still comes: all but its last byte, which
/// waits for the attempt.
#[derive(Debug)]
pub struct Upload {
    /// What it is about: a write, whose value is the one below.
    pub request: Rc<ClientRequest>,
    /// Where to.
    pub server: ServerId,
    /// The value. Whoever lets go of it takes no more.
    pub value: Long,
    /// Brings the attempt that sends the last byte. If none comes the connection has to end as it is.
    pub going: Going,
}

/// Carries attempts to servers. No method may call the dispatcher: what is to be told comes from a task.
pub trait Carrier {
    /// The endpoint list has news.
    fn listed(&self, kind: EndpointUpdate, servers: &[ListedServer]);
    /// Start an attempt.
    fn begin(&self, attempt: Attempt);
    /// Begin to send a long value. The attempt that ends it comes by its ticket.
    fn upload(&self, upload: Upload);
    /// Its answer is not waited for any longer. Tells whether its last byte has been written.
    fn abandon(&self, id: AttemptId, server: ServerId) -> bool;
}
