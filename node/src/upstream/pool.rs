//! The connection pool of one server, and the attempts that its connections carry or that wait for one.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;

use rustc_hash::FxHashMap;
use tokio::sync::{oneshot, Notify};

use super::connection::UpstreamConnection;
use crate::dispatcher::{Attempt, AttemptId};

/// Identifies an idle connection of a pool.
pub(super) type IdleId = u64;

/// An idle connection, with the channel for its next attempt.
pub(super) struct IdleConnection {
    pub(super) id: IdleId,
    pub(super) attempt_sender: oneshot::Sender<Attempt>,
}

/// An attempt that is carried on a connection.
#[derive(Default)]
pub(super) struct CarriedAttempt {
    /// Whether the last byte of the attempt is written.
    pub(super) is_written: bool,
    /// Notified to close the connection instead of waiting for a late answer.
    pub(super) close_requested: Rc<Notify>,
}

/// The connection pool of one server.
#[derive(Default)]
pub(super) struct Pool {
    /// The server's address in the endpoint list; `None` until the list has one.
    pub(super) address: Option<SocketAddr>,
    pub(super) is_origin: bool,
    /// Whether the server is serving, so that attempts may begin there.
    pub(super) accepts_attempts: bool,
    /// Attempts that wait for a connection, the next first.
    pub(super) waiting: VecDeque<Attempt>,
    /// Idle connections, the most recently used last.
    pub(super) idle: Vec<IdleConnection>,
    /// The number of connections being established.
    pub(super) connecting: usize,
    /// Attempts carried on connections.
    pub(super) carried: FxHashMap<AttemptId, CarriedAttempt>,
}

impl Pool {
    /// Whether the server accepts attempts and this connection leads to its current address.
    pub(super) fn is_reached_by(&self, connection: &UpstreamConnection) -> bool {
        self.accepts_attempts && self.address == Some(connection.address)
    }

    /// Whether more attempts wait than connections are being established.
    pub(super) fn lacks_connections(&self) -> bool {
        self.connecting < self.waiting.len()
    }

    /// Whether the pool can be removed.
    pub(super) fn is_unused(&self) -> bool {
        !self.accepts_attempts && self.connecting == 0 && self.carried.is_empty()
    }

    /// Gives an attempt to the most recently used idle connection, so that surplus connections reach their
    /// idle timeout. Returns the attempt if there is no idle connection.
    pub(super) fn assign_to_idle(&mut self, mut attempt: Attempt) -> Option<Attempt> {
        while let Some(idle) = self.idle.pop() {
            let id = attempt.id;
            match idle.attempt_sender.send(attempt) {
                Ok(()) => {
                    self.carried.insert(id, CarriedAttempt::default());
                    return None;
                }
                Err(returned) => attempt = returned,
            }
        }
        Some(attempt)
    }
}
