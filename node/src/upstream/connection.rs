//! One connection to a server: it is established, and carries single attempts.

use std::future::poll_fn;
use std::io::{self, ErrorKind, IoSlice};
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::Poll;
use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use juniperladder::{Micros, ServerId};
use juniperladder_dispatch::identifiers::ServerLabel;
use juniperladder_dispatch::streamed_value::{streamed_value, ChunkSender};
use slog::debug;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::time::timeout;

use super::download::{forward_value, ChunkBuffers, ValueBody};
use super::read_error::ReadError;
use super::response::{read_cache_response, read_origin_response, ServerResponse};
use super::{Upstream, UpstreamLimits};
use crate::clock::duration;
use crate::connect::ServerStream;
use crate::counters::increment;
use crate::dispatcher::{Answer, Attempt, AttemptEnd, ClientRequest, Reply};
use crate::resource_limits::MAX_COPIED_VALUE_BYTES;
use crate::{http, memcache};

/// The parts in which a request is written: its head, its value and the line end.
const MAX_REQUEST_PARTS: usize = 3;

/// One connection to a server.
pub(super) struct UpstreamConnection {
    pub(super) server: ServerId,
    pub(super) is_origin: bool,
    pub(super) address: SocketAddr,
}

/// Why a connection could not be established.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConnectError {
    /// The server refused the connection, or did not answer.
    Server,
    /// This machine could not open the connection now, whatever the state of the server: it lacks ports,
    /// descriptors, buffers or a route.
    Local,
}

impl ConnectError {
    fn from_io(error: &io::Error) -> ConnectError {
        const ENFILE: i32 = 23;
        const EMFILE: i32 = 24;
        const ENOBUFS: i32 = 105;
        let is_local = matches!(
            error.kind(),
            ErrorKind::AddrNotAvailable
                | ErrorKind::AddrInUse
                | ErrorKind::NetworkUnreachable
                | ErrorKind::NetworkDown
                | ErrorKind::OutOfMemory
                | ErrorKind::WouldBlock
                | ErrorKind::Interrupted
        ) || matches!(error.raw_os_error(), Some(ENFILE | EMFILE | ENOBUFS));
        if is_local {
            ConnectError::Local
        } else {
            ConnectError::Server
        }
    }

    /// How an attempt that waited for the connection ends. In both cases it was not sent, and only
    /// [`ConnectError::Server`] counts against the server.
    pub(super) fn attempt_end(self) -> AttemptEnd {
        match self {
            ConnectError::Server => AttemptEnd::ConnectFailed,
            ConnectError::Local => AttemptEnd::NotSent,
        }
    }
}

/// What happens to a connection after an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AfterAttempt {
    /// The connection carries further attempts.
    KeepOpen,
    /// The connection carries further attempts once it has been silent for the settle time, as a copy of its last
    /// answer would not name its request.
    Settle,
    /// The connection closes.
    Close,
    /// The connection broke before the first byte of an answer.
    Broken,
}

impl AfterAttempt {
    /// The state after a complete response, with the input that followed it.
    fn complete(closes_connection: bool, names_request: bool, following: &[u8]) -> AfterAttempt {
        if closes_connection || !following.is_empty() {
            AfterAttempt::Close
        } else if names_request {
            AfterAttempt::KeepOpen
        } else {
            AfterAttempt::Settle
        }
    }
}

impl UpstreamConnection {
    /// Opens the connection and carries attempts on it until it closes.
    pub(super) async fn open(self, upstream: &Upstream) {
        match self.connect(upstream).await {
            Ok(stream) => {
                upstream.on_connected(self.server);
                self.carry_attempts(upstream, stream, None).await;
            }
            Err(error) => upstream.on_connect_failed(self.server, error),
        }
    }

    /// Opens a connection to the server within the connect timeout.
    pub(super) async fn connect(&self, upstream: &Upstream) -> Result<Box<dyn ServerStream>, ConnectError> {
        let connecting = upstream.connector.connect(self.address);
        let stream = match timeout(upstream.limits.connect_timeout, connecting).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => {
                let reason = ConnectError::from_io(&error);
                debug!(upstream.log, "upstream connection failed"; "server" => %ServerLabel(self.server),
                    "address" => %self.address, "error" => %error, "reason" => ?reason);
                return Err(reason);
            }
            Err(_) => {
                debug!(upstream.log, "upstream connection timed out"; "server" => %ServerLabel(self.server),
                    "address" => %self.address);
                return Err(ConnectError::Server);
            }
        };
        increment(&upstream.counters.connections_opened);
        Ok(stream)
    }

    /// Writes an attempt and waits for its answer.
    pub(super) async fn execute<S: AsyncRead + AsyncWrite + Unpin>(
        &self,
        upstream: &Upstream,
        stream: &mut S,
        input: &mut BytesMut,
        attempt: Attempt,
    ) -> AfterAttempt {
        let time_left = attempt.deadline.saturating_sub(upstream.clock.now());
        if time_left.0 == 0 || upstream.is_cancelled(&attempt) {
            // The attempt timed out or was cancelled before it was written: nothing would use the result.
            let has_timed_out = time_left.0 == 0;
            let end = if has_timed_out { AttemptEnd::ConnectFailed } else { AttemptEnd::NotSent };
            upstream.end_attempt(self.server, attempt.id, end);
            return AfterAttempt::KeepOpen;
        }
        let output = self.format_request(&attempt.request, time_left);
        self.send(upstream, stream, input, attempt, output, time_left).await
    }

    /// The bytes of a request. A long value is not copied.
    fn format_request(&self, request: &ClientRequest, time_left: Micros) -> impl Buf {
        let value_length = request.value.as_ref().map(Bytes::len);
        let mut head = BytesMut::new();
        if self.is_origin {
            let host = self.address.to_string();
            http::write_request_head(&mut head, request, &host, time_left, value_length);
        } else {
            memcache::write_request_line(&mut head, request, time_left);
        }
        let value_end = if self.is_origin || value_length.is_none() { &[] } else { memcache::LINE_END };
        let value = request.value.clone().unwrap_or_default();
        if value.len() > MAX_COPIED_VALUE_BYTES {
            return head.chain(value).chain(value_end);
        }
        head.extend_from_slice(&value);
        head.extend_from_slice(value_end);
        head.chain(Bytes::new()).chain(&[])
    }

    /// Writes the remaining bytes of an attempt, and waits for its answer.
    pub(super) async fn send<S: AsyncRead + AsyncWrite + Unpin>(
        &self,
        upstream: &Upstream,
        stream: &mut S,
        input: &mut BytesMut,
        attempt: Attempt,
        output: impl Buf,
        time_left: Micros,
    ) -> AfterAttempt {
        let id = attempt.id;
        let write_timeout = duration(time_left);
        let written = timeout(write_timeout, write_unless_cancelled(upstream, stream, output, &attempt));
        if !written.await.unwrap_or(false) {
            let is_cancelled = upstream.is_cancelled(&attempt);
            let end = if is_cancelled { AttemptEnd::NotSent } else { AttemptEnd::ConnectFailed };
            upstream.end_attempt(self.server, id, end);
            return AfterAttempt::Close;
        }
        increment(&upstream.counters.attempts_written);
        debug!(upstream.log, "attempt written"; "attempt_id" => id.0, "address" => %self.address);
        let answer_timeout = write_timeout + upstream.limits.late_answer_timeout;
        let response = self.wait_for_response(upstream, stream, input, &attempt, answer_timeout).await;
        let (end, after) = match response {
            Some(Ok(ServerResponse::Complete { reply, closes_connection, names_request })) => {
                (AttemptEnd::Reply(reply), AfterAttempt::complete(closes_connection, names_request, input))
            }
            Some(Ok(ServerResponse::Streamed { length, body })) => {
                let (sender, value) = streamed_value(length);
                let reply = Reply::Served(Answer::Streamed(value));
                upstream.end_attempt(self.server, id, AttemptEnd::Reply(reply));
                return self.forward(upstream, stream, input, body, sender).await;
            }
            Some(Err(error)) => self.on_read_failed(upstream, &error, input.is_empty()),
            None => (AttemptEnd::Broken, AfterAttempt::Close),
        };
        debug!(upstream.log, "attempt ended on its connection"; "attempt_id" => id.0,
            "address" => %self.address, "after" => ?after);
        upstream.end_attempt(self.server, id, end);
        after
    }

    /// Waits for the response to an attempt whose last byte is written; `None` after the timeout, or if the
    /// connection has to close.
    async fn wait_for_response<S: AsyncRead + Unpin>(
        &self,
        upstream: &Upstream,
        stream: &mut S,
        input: &mut BytesMut,
        attempt: &Attempt,
        answer_timeout: Duration,
    ) -> Option<Result<ServerResponse, ReadError>> {
        let close_requested = upstream.on_attempt_written(self.server, attempt.id);
        tokio::select! {
            biased;
            response = timeout(answer_timeout, self.read_response(upstream, stream, input, attempt)) => response.ok(),
            () = close_requested.notified() => None,
        }
    }

    async fn read_response<S: AsyncRead + Unpin>(
        &self,
        upstream: &Upstream,
        stream: &mut S,
        input: &mut BytesMut,
        attempt: &Attempt,
    ) -> Result<ServerResponse, ReadError> {
        if self.is_origin {
            read_origin_response(stream, input, &attempt.request, &upstream.limits.buffers).await
        } else {
            read_cache_response(stream, input, &attempt.request, &upstream.limits.buffers).await
        }
    }

    /// How an attempt whose response could not be read ends, and what happens to its connection.
    fn on_read_failed(
        &self,
        upstream: &Upstream,
        error: &ReadError,
        is_input_empty: bool,
    ) -> (AttemptEnd, AfterAttempt) {
        match error {
            ReadError::Malformed(malformed) => {
                upstream.on_malformed_response(&self.address, malformed);
                (AttemptEnd::Malformed, AfterAttempt::Close)
            }
            ReadError::Disconnected if is_input_empty => (AttemptEnd::Broken, AfterAttempt::Broken),
            ReadError::Disconnected => (AttemptEnd::Broken, AfterAttempt::Close),
        }
    }

    /// Forwards a streamed value while it arrives, as fast as its client reads it.
    async fn forward<S: AsyncRead + Unpin>(
        &self,
        upstream: &Upstream,
        stream: &mut S,
        input: &mut BytesMut,
        mut body: ValueBody,
        sender: ChunkSender,
    ) -> AfterAttempt {
        let UpstreamLimits { chunk_bytes, buffers, .. } = &upstream.limits;
        let buffers = ChunkBuffers { small_chunk_bytes: *chunk_bytes, pool: buffers.clone() };
        match forward_value(stream, input, &mut body, sender, &buffers).await {
            Ok(()) => {
                increment(&upstream.counters.downloads);
                AfterAttempt::complete(body.closes_connection(), body.names_request(), input)
            }
            Err(error) => {
                increment(&upstream.counters.downloads_broken);
                if let ReadError::Malformed(malformed) = &error {
                    upstream.on_malformed_response(&self.address, malformed);
                }
                AfterAttempt::Close
            }
        }
    }
}

/// Writes these bytes of an attempt, and returns whether all of them were written. No byte is written once
/// the attempt is cancelled, even if the socket was full until then.
async fn write_unless_cancelled<S: AsyncWrite + Unpin>(
    upstream: &Upstream,
    stream: &mut S,
    mut output: impl Buf,
    attempt: &Attempt,
) -> bool {
    while output.has_remaining() {
        let written = poll_fn(|context| {
            if upstream.is_cancelled(attempt) {
                return Poll::Ready(Ok(0));
            }
            let mut parts = [IoSlice::new(&[]); MAX_REQUEST_PARTS];
            let part_count = output.chunks_vectored(&mut parts);
            Pin::new(&mut *stream).poll_write_vectored(context, &parts[..part_count])
        });
        match written.await {
            Ok(length @ 1..) => output.advance(length),
            _ => return false,
        }
    }
    true
}
