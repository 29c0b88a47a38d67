//! The connections to one server, and the attempts on them or waiting for one.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;

use rustc_hash::FxHashMap;
use tokio::sync::{oneshot, Notify};

use super::connection::UpstreamConnection;
use crate::dispatcher::{Attempt, AttemptId};

/// Identifies an idle connection of a pool.
pub(super) type IdleId = u64;

/// An idle connection: it is given its next attempt here.
pub(super) struct IdleConnection {
    pub(super) id: IdleId,
    pub(super) attempt_sender: oneshot::Sender<Attempt>,
}

/// An attempt that a connection has.
#[derive(Default)]
pub(super) struct CarriedAttempt {
    /// Whether its last byte is written.
    pub(super) is_written: bool,
    /// Notified when the connection is to close rather than to wait for a late answer.
    pub(super) close_requested: Rc<Notify>,
}

/// The connections to one server.
#[derive(Default)]
pub(super) struct Pool {
    pub(super) address: Option<SocketAddr>,
    pub(super) is_origin: bool,
    /// Whether the server serves, so that attempts may begin there.
    pub(super) accepts_attempts: bool,
    /// Attempts that wait for a connection, in their order.
    pub(super) waiting: VecDeque<Attempt>,
    /// Idle connections, the one used last at the end.
    pub(super) idle: Vec<IdleConnection>,
    /// How many connections are coming up.
    pub(super) connecting: usize,
    /// Attempts that connections have.
    pub(super) carried: FxHashMap<AttemptId, CarriedAttempt>,
}

impl Pool {
    /// Whether its server may be sent to, and stands where this connection leads.
    pub(super) fn is_reached_by(&self, connection: &UpstreamConnection) -> bool {
        self.accepts_attempts && self.address == Some(connection.address)
    }

    /// Whether attempts wait for which no connection is coming up.
    pub(super) fn lacks_connections(&self) -> bool {
        self.connecting < self.waiting.len()
    }

    /// Whether there is nothing in it that is needed.
    pub(super) fn is_unused(&self) -> bool {
        !self.accepts_attempts && self.connecting == 0 && self.carried.is_empty()
    }

    /// Gives an attempt to the idle connection used last, so that those that are not needed grow old. Returns the attempt where
    /// there is none.
    pub(super) fn give_to_idle(&mut self, mut attempt: Attempt) -> Option<Attempt> {
        while let Some(idle) = self.idle.pop() {
            let id = attempt.id;
            match idle.attempt_sender.send(attempt) {
                Ok(()) => {
                    self.carried.insert(id, CarriedAttempt::default());
                    return None;
                }
                Err(back) => attempt = back,
            }
        }
        Some(attempt)
    }
}
