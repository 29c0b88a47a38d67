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
use tokio::io::{AsyncRead, AsyncReadExt};
use tokio::task::yield_now;
use tokio::time::{sleep_until, Instant};

use super::connection::{AfterAttempt, UpstreamConnection};
use super::Upstream;
use crate::connect::ServerStream;
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

/// Whether an idle connection is still open and has received nothing.
fn is_open_and_silent<S: AsyncRead + Unpin>(stream: &mut S, input: &mut BytesMut) -> bool {
    let mut context = Context::from_waker(Waker::noop());
    let is_silent = pin!(stream.read_buf(input)).poll(&mut context).is_pending();
    is_silent && input.is_empty()
}
