//! The connection pool of one server, and the attempts that its connections carry or that wait for one.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use rustc_hash::FxHashMap;
use tokio::sync::{oneshot, Notify};
use tokio::time::Instant;

use super::connection::UpstreamConnection;
use super::settling::SettleTime;
use crate::dispatcher::{Attempt, AttemptId};

/// Identifies an idle connection of a pool.
pub(super) type IdleId = u64;

/// An idle connection, with the channel for its next attempt.
pub(super) struct IdleConnection {
    pub(super) id: IdleId,
    /// When the connection may carry its next attempt, if it stays silent until then.
    pub(super) settled_at: Instant,
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
    /// How long connections are silent before they are reused.
    pub(super) settle_time: SettleTime,
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

    /// Gives an attempt to an idle connection, on which it may have to wait up to `longest_wait`. Returns the attempt
    /// if there is none.
    pub(super) fn assign_to_idle(&mut self, mut attempt: Attempt, longest_wait: Duration) -> Option<Attempt> {
        while let Some(idle) = self.take_idle(longest_wait) {
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

    /// Takes the most recently used idle connection that has settled, so that surplus connections reach their idle
    /// timeout; otherwise the one that settles first, if it does so within `longest_wait`.
    fn take_idle(&mut self, longest_wait: Duration) -> Option<IdleConnection> {
        let now = Instant::now();
        let settled = self.idle.iter().rposition(|idle| idle.settled_at <= now);
        let position = settled.or_else(|| self.next_to_settle(now + longest_wait))?;
        Some(self.idle.remove(position))
    }

    /// The position of the idle connection that settles first, if it does so by this time.
    fn next_to_settle(&self, by: Instant) -> Option<usize> {
        let (position, idle) = self.idle.iter().enumerate().min_by_key(|(_, idle)| idle.settled_at)?;
        (idle.settled_at <= by).then_some(position)
    }
}
