//! The life of a connection between its attempts: it waits for the next one, settles where that is necessary, and is
//! checked right before it is reused.
//!
//! Guarantee: nothing that arrives before the first byte of an attempt is taken for its answer. Such bytes close the
//! connection, and the attempt moves to another.

use std::future::Future;
use std::pin::pin;
use std::task::{Context, Waker};
use std::time::Duration;

use bytes::BytesMut;
use juniperladder::ServerId;
use juniperladder_dispatch::identifiers::ServerLabel;
use slog::debug;
use tokio::io::{AsyncRead, AsyncReadExt};
use tokio::sync::oneshot;
use tokio::task::yield_now;
use tokio::time::{sleep_until, Instant};

use super::connection::{AfterAttempt, UpstreamConnection};
use super::pool::{IdleConnection, IdleId};
use super::Upstream;
use crate::connect::ServerStream;
use crate::counters::increment;
use crate::dispatcher::{Attempt, AttemptEnd};

/// A write on a connection that the server had already closed is reset within this time; a later break has
/// another cause.
const IMMEDIATE_RESET_WINDOW: Duration = Duration::from_millis(10);

impl UpstreamConnection {
    /// Carries attempts one after the other until the connection has to close. `last` is the state after the last
    /// attempt on the connection; `None` if it is new.
    pub(super) async fn carry_attempts(
        &self,
        upstream: &Upstream,
        mut stream: Box<dyn ServerStream>,
        mut last: Option<AfterAttempt>,
    ) {
        let mut input = BytesMut::new();
        loop {
            let idle_since = Instant::now();
            let next = self.next_attempt(upstream, &mut stream, &mut input, last).await;
            let Some((attempt, is_new_connection)) = next else { return };
            // Lets the runtime notice a close that arrived right after the last answer.
            yield_now().await;
            // Nothing has been written yet, so that the attempt can move to another connection.
            if !upstream.can_send_on(self) {
                return upstream.requeue(self.server, attempt);
            }
            if !is_open_and_silent(&mut stream, &mut input) {
                if last.is_some() && !input.is_empty() {
                    upstream.on_late_bytes(self, idle_since.elapsed());
                }
                return self.on_ended_before_attempt(upstream, attempt, is_new_connection);
            }
            let (idle, begun) = (idle_since.elapsed(), Instant::now());
            let after = self.execute(upstream, &mut stream, &mut input, attempt).await;
            match after {
                AfterAttempt::KeepOpen | AfterAttempt::Settle => upstream.idle_timeout.on_reused(idle),
                AfterAttempt::Broken if last.is_some() && begun.elapsed() < IMMEDIATE_RESET_WINDOW => {
                    return upstream.idle_timeout.on_broken(idle);
                }
                AfterAttempt::Broken | AfterAttempt::Close => return,
            }
            last = Some(after);
            // An idle connection holds no buffer.
            input = BytesMut::new();
        }
    }

    /// Handles a connection that ended, or received stray bytes, before any byte of this attempt was written.
    /// On a new connection this counts against the server: one that closes every new connection would
    /// otherwise be retried without end.
    fn on_ended_before_attempt(&self, upstream: &Upstream, attempt: Attempt, is_new_connection: bool) {
        if is_new_connection {
            upstream.end_attempt(self.server, attempt.id, AttemptEnd::ConnectFailed);
        } else {
            upstream.requeue(self.server, attempt);
        }
    }

    /// The next attempt, and whether the connection is still as new as when it was established; `None` if the
    /// connection has to close.
    async fn next_attempt<S: AsyncRead + Unpin>(
        &self,
        upstream: &Upstream,
        stream: &mut S,
        input: &mut BytesMut,
        last: Option<AfterAttempt>,
    ) -> Option<(Attempt, bool)> {
        let settle_time = if last == Some(AfterAttempt::Settle) {
            upstream.settle_time(self.server)
        } else if let Some(attempt) = upstream.next_attempt(self) {
            return Some((attempt, last.is_none()));
        } else {
            Duration::ZERO
        };
        let attempt = self.wait_for_attempt(upstream, stream, input, settle_time).await?;
        Some((attempt, false))
    }

    /// Waits for an attempt until the idle timeout, and for longer only if it has one and has not settled. Returns
    /// the attempt once the connection has settled; `None` if the connection has to close.
    async fn wait_for_attempt<S: AsyncRead + Unpin>(
        &self,
        upstream: &Upstream,
        stream: &mut S,
        input: &mut BytesMut,
        settle_time: Duration,
    ) -> Option<Attempt> {
        let idle_since = Instant::now();
        let settled_at = idle_since + settle_time;
        let idle_until = idle_since + upstream.idle_timeout.current();
        let (id, mut assignment) = upstream.add_idle(self, settled_at)?;
        let mut assigned = None;
        let mut is_settled = settle_time.is_zero();
        loop {
            if is_settled && assigned.is_some() {
                return assigned;
            }
            tokio::select! {
                biased;
                read = stream.read_buf(input) => {
                    if let Ok(1..) = read {
                        upstream.on_late_bytes(self, idle_since.elapsed());
                    }
                    break;
                }
                attempt = &mut assignment, if assigned.is_none() => assigned = Some(attempt.ok()?),
                () = sleep_until(settled_at), if !is_settled => {
                    is_settled = true;
                    upstream.on_settled(self.server);
                    if assigned.is_none() {
                        assigned = upstream.take_waiting(self, id);
                    }
                }
                () = sleep_until(idle_until), if assigned.is_none() => break,
            }
        }
        upstream.remove_idle(self.server, id);
        if let Some(attempt) = assigned.or_else(|| assignment.try_recv().ok()) {
            upstream.requeue(self.server, attempt);
        }
        None
    }
}

impl Upstream {
    /// Adds an idle connection, which settles at this time, to its pool. Returns the channel for its next attempt;
    /// `None` if the connection has to close.
    pub(super) fn add_idle(
        &self,
        connection: &UpstreamConnection,
        settled_at: Instant,
    ) -> Option<(IdleId, oneshot::Receiver<Attempt>)> {
        let mut pools = self.pools.borrow_mut();
        // After a server has moved, a connection to its old address is not used, as another process may
        // listen there now.
        let pool = pools.get_mut(&connection.server).filter(|pool| pool.is_reached_by(connection))?;
        let (attempt_sender, receiver) = oneshot::channel();
        let id = self.last_idle_id.get() + 1;
        self.last_idle_id.set(id);
        pool.idle.push(IdleConnection { id, settled_at, attempt_sender });
        Some((id, receiver))
    }

    fn remove_idle(&self, server: ServerId, id: IdleId) {
        if let Some(pool) = self.pools.borrow_mut().get_mut(&server) {
            pool.idle.retain(|idle| idle.id != id);
        }
    }

    /// Takes the next waiting attempt for an idle connection that has settled.
    fn take_waiting(&self, connection: &UpstreamConnection, id: IdleId) -> Option<Attempt> {
        let attempt = self.next_attempt(connection)?;
        self.remove_idle(connection.server, id);
        Some(attempt)
    }

    /// How long a connection to this server has to be silent before it is reused.
    fn settle_time(&self, server: ServerId) -> Duration {
        self.pools.borrow().get(&server).map(|pool| pool.settle_time.current()).unwrap_or_default()
    }

    /// Handles a connection to this server that has settled in silence.
    fn on_settled(&self, server: ServerId) {
        if let Some(pool) = self.pools.borrow().get(&server) {
            pool.settle_time.on_silent();
        }
    }

    /// Handles bytes that arrived this long after a complete answer, when no answer was awaited.
    fn on_late_bytes(&self, connection: &UpstreamConnection, delay: Duration) {
        increment(&self.counters.late_bytes);
        debug!(self.log, "bytes after a complete answer"; "server" => %ServerLabel(connection.server),
            "address" => %connection.address, "delay_ms" => delay.as_millis());
        if let Some(pool) = self.pools.borrow().get(&connection.server) {
            pool.settle_time.on_late_bytes(delay);
        }
    }
}

/// Whether an idle connection is still open and has received nothing.
fn is_open_and_silent<S: AsyncRead + Unpin>(stream: &mut S, input: &mut BytesMut) -> bool {
    let mut context = Context::from_waker(Waker::noop());
    let is_silent = pin!(stream.read_buf(input)).poll(&mut context).is_pending();
    is_silent && input.is_empty()
}
