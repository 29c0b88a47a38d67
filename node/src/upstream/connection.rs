//! One connection to a server: it comes up, carries attempts one after the other, and rests between them.

use std::future::poll_fn;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{Context, Poll, Waker};
use std::time::Duration;

use bytes::BytesMut;
use juniperladder::{Micros, ServerId};
use juniperladder_dispatch::identifiers::ServerLabel;
use juniperladder_dispatch::streamed_value::{streamed_value, ChunkSender};
use slog::debug;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite};
use tokio::task::yield_now;
use tokio::time::{sleep, timeout, Instant};

use super::Upstream;
use crate::connect::Stream;
use crate::counters::increment;
use crate::dispatcher::{Answer, Attempt, AttemptEnd, Reply};
use crate::download::{self, Body};
use crate::http::{self, Response};
use crate::memcache;

/// A connection that was let go of is reset as soon as it is written to; later it is another matter.
const AT_ONCE: Duration = Duration::from_millis(10);

/// Room made for each read.
const READ: usize = 4096;

/// One connection to a server.
pub(super) struct UpstreamConnection {
    pub(super) server: ServerId,
    pub(super) origin: bool,
    pub(super) address: SocketAddr,
}

/// Why there is no connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum NoConnection {
    /// The server refused it, or did not answer.
    Server,
    /// This machine could not open one now, whatever the server would have said: it lacks ports, descriptors, buffers or a way.
    Local,
}

impl NoConnection {
    fn of(problem: &io::Error) -> NoConnection {
        const ENFILE: i32 = 23;
        const EMFILE: i32 = 24;
        const ENOBUFS: i32 = 105;
        let local = matches!(
            problem.kind(),
            ErrorKind::AddrNotAvailable
                | ErrorKind::AddrInUse
                | ErrorKind::NetworkUnreachable
                | ErrorKind::NetworkDown
                | ErrorKind::OutOfMemory
                | ErrorKind::WouldBlock
                | ErrorKind::Interrupted
        ) || matches!(problem.raw_os_error(), Some(ENFILE | EMFILE | ENOBUFS));
        if local {
            NoConnection::Local
        } else {
            NoConnection::Server
        }
    }

    /// How an attempt ends that waited for it. Neither was sent, and only the first tells of the server.
    pub(super) fn end(self) -> AttemptEnd {
        match self {
            NoConnection::Server => AttemptEnd::NotSent,
            NoConnection::Local => AttemptEnd::Cancelled,
        }
    }
}

/// An answer is not waited for any longer.
struct Stopped;

/// What was heard from a server.
enum Heard {
    /// Its whole reply.
    Whole(Reply, After),
    /// That a long value of so many bytes follows.
    Streamed(usize, Body),
}

/// What a connection does after an attempt.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum After {
    Keep,
    Close,
    /// It broke before the first byte of an answer.
    Broke,
}

impl UpstreamConnection {
    pub(super) async fn open(self, upstream: &Upstream) {
        let stream = match self.connect(upstream).await {
            Ok(stream) => stream,
            Err(cause) => return upstream.not_up(self.server, cause),
        };
        if let Some(pool) = upstream.pools.borrow_mut().get_mut(&self.server) {
            pool.connecting -= 1;
        }
        self.carry(upstream, stream).await;
    }

    /// A connection to the server, if one comes up in time.
    pub(super) async fn connect(&self, upstream: &Upstream) -> Result<Box<dyn Stream>, NoConnection> {
        let connect = timeout(upstream.limits.connect_timeout, upstream.ways.connect(self.address));
        let stream = match connect.await {
            Ok(Ok(stream)) => stream,
            Ok(Err(problem)) => {
                let cause = NoConnection::of(&problem);
                debug!(upstream.log, "no connection"; "server" => %ServerLabel(self.server),
                    "problem" => %problem, "cause" => ?cause);
                return Err(cause);
            }
            Err(_) => {
                debug!(upstream.log, "no connection in time"; "server" => %ServerLabel(self.server));
                return Err(NoConnection::Server);
            }
        };
        increment(&upstream.counters.connections_opened);
        Ok(stream)
    }

    pub(super) async fn carry(&self, upstream: &Upstream, mut stream: Box<dyn Stream>) {
        let (mut input, mut used) = (BytesMut::new(), false);
        loop {
            let (since, mut fresh) = (Instant::now(), false);
            let attempt = match upstream.next(self) {
                Some(attempt) => {
                    fresh = !used;
                    attempt
                }
                None => match self.rest(upstream, &mut stream, &mut input).await {
                    Some(attempt) => attempt,
                    None => return,
                },
            };
            // The runtime looks for news of the connection first: some servers close right behind an answer.
            yield_now().await;
            // A connection that ended meanwhile is no try: nothing of the attempt was written.
            if !upstream.is_at(self) {
                return upstream.put_back(self.server, attempt);
            }
            if !quiet(&mut stream, &mut input) {
                // One that has only just come up tells of its server, which would do so again without end.
                return match fresh {
                    true => upstream.stopped(self.server, attempt.id, AttemptEnd::NotSent),
                    false => upstream.put_back(self.server, attempt),
                };
            }
            let (idle, begun) = (since.elapsed(), Instant::now());
            match self.execute(upstream, &mut stream, &mut input, attempt).await {
                After::Keep => upstream.learn(idle, false),
                After::Broke if used && begun.elapsed() < AT_ONCE => return upstream.learn(idle, true),
                After::Broke | After::Close => return,
            }
            used = true;
        }
    }

    /// Waits idle for an attempt; none when the connection has to close.
    async fn rest<S: AsyncRead + Unpin>(
        &self,
        upstream: &Upstream,
        stream: &mut S,
        input: &mut BytesMut,
    ) -> Option<Attempt> {
        let (id, mut next) = upstream.rest(self)?;
        let old = sleep(upstream.keep.get());
        tokio::select! {
            biased;
            given = &mut next => return given.ok(),
            // An end, or stray bytes: nothing is owed here.
            _ = stream.read_buf(input) => {}
            () = old => {}
        }
        upstream.unrest(self.server, id);
        if let Ok(attempt) = next.try_recv() {
            upstream.put_back(self.server, attempt);
        }
        None
    }

    pub(super) async fn execute<S: AsyncRead + AsyncWrite + Unpin>(
        &self,
        upstream: &Upstream,
        stream: &mut S,
        input: &mut BytesMut,
        attempt: Attempt,
    ) -> After {
        let wait = attempt.deadline.saturating_sub(upstream.clock.now());
        if wait.0 == 0 || upstream.over(&attempt) {
            // It timed out on its way here, or its request was answered; to write it now would be work for nobody.
            let end = if wait.0 == 0 { AttemptEnd::NotSent } else { AttemptEnd::Cancelled };
            upstream.stopped(self.server, attempt.id, end);
            return After::Keep;
        }
        let mut output = BytesMut::new();
        if self.origin {
            http::write_command(&mut output, &attempt.request, &self.address.to_string(), wait);
        } else {
            memcache::write_command(&mut output, &attempt.request, wait);
        }
        self.send(upstream, stream, input, attempt, &output, wait).await
    }

    /// Writes the last that is to be written of an attempt, and waits for its reply.
    pub(super) async fn send<S: AsyncRead + AsyncWrite + Unpin>(
        &self,
        upstream: &Upstream,
        stream: &mut S,
        input: &mut BytesMut,
        attempt: Attempt,
        output: &[u8],
        wait: Micros,
    ) -> After {
        let id = attempt.id;
        let most = crate::clock::duration(wait);
        if !timeout(most, write(upstream, stream, output, &attempt)).await.unwrap_or(false) {
            let end = if upstream.over(&attempt) { AttemptEnd::Cancelled } else { AttemptEnd::NotSent };
            upstream.stopped(self.server, id, end);
            return After::Close;
        }
        increment(&upstream.counters.attempts_written);
        debug!(upstream.log, "attempt written"; "number" => id.0, "address" => %self.address);
        let stop = upstream.written(self.server, id);
        let read = tokio::select! {
            biased;
            read = timeout(most + upstream.limits.late, self.reply(stream, input, &attempt)) => {
                read.map_err(|_| Stopped)
            }
            () = stop.notified() => Err(Stopped),
        };
        let (end, after) = match read {
            Ok(Ok(Heard::Whole(reply, after))) => (AttemptEnd::Reply(reply), after),
            Ok(Ok(Heard::Streamed(length, body))) => {
                let (feed, long) = streamed_value(length);
                upstream.stopped(self.server, id, AttemptEnd::Reply(Reply::Served(Answer::Streamed(long))));
                return self.pass_on(upstream, stream, input, body, feed).await;
            }
            Ok(Err(Some(problem))) => {
                upstream.tell_bad(&self.address, &problem);
                (AttemptEnd::Malformed, After::Close)
            }
            Ok(Err(None)) if input.is_empty() => (AttemptEnd::Broken, After::Broke),
            Ok(Err(None)) | Err(Stopped) => (AttemptEnd::Broken, After::Close),
        };
        debug!(upstream.log, "attempt over on its connection"; "number" => id.0, "address" => %self.address,
            "then" => ?after);
        upstream.stopped(self.server, id, end);
        after
    }

    /// Reads the reply; an error holds what was wrong with it, and nothing if the connection broke.
    async fn reply<S: AsyncRead + Unpin>(
        &self,
        stream: &mut S,
        input: &mut BytesMut,
        attempt: &Attempt,
    ) -> Result<Heard, Option<String>> {
        let write = attempt.request.value.is_some();
        let mut response = Response::default();
        loop {
            input.reserve(READ);
            let read = stream.read_buf(input).await.map_err(|_| None)?;
            if self.origin {
                response.read(input).map_err(Some)?;
                if read == 0 {
                    response.ended();
                }
                let id = response.head.as_ref().and_then(|head| head.id.as_ref());
                if id.is_some_and(|id| *id != attempt.request.id) {
                    return Err(Some("a response for another id".into()));
                }
                if let Some(length) = response.long().filter(|_| !write) {
                    return Ok(Heard::Streamed(length, Body::Http(response)));
                }
                if response.too_large() {
                    return Err(Some("a body longer than any value".into()));
                }
                if response.done {
                    download::nothing_behind(stream, input).await?;
                    let reply = http::reply(&response, write).map_err(Some)?;
                    return Ok(Heard::Whole(reply, after(&response)));
                }
            } else if let Some(heard) = memcache::answered(input, &attempt.request).map_err(Some)? {
                return Ok(match heard {
                    memcache::Answered::Whole(reply) => Heard::Whole(reply, After::Keep),
                    memcache::Answered::Streamed(length, rest) => Heard::Streamed(length, Body::Meta(rest)),
                });
            }
            if read == 0 {
                return Err(None);
            }
        }
    }

    /// Passes a long value on while it comes, as fast as its client takes it. Where it breaks off the client has
    /// not had its last byte.
    async fn pass_on<S: AsyncRead + Unpin>(
        &self,
        upstream: &Upstream,
        stream: &mut S,
        input: &mut BytesMut,
        mut body: Body,
        feed: ChunkSender,
    ) -> After {
        let passed = download::pump(stream, input, &mut body, feed, upstream.limits.piece).await;
        increment(if passed.is_ok() {
            &upstream.counters.downloads
        } else {
            &upstream.counters.downloads_broken
        });
        match (passed, body) {
            (Ok(()), Body::Http(response)) => after(&response),
            (Ok(()), Body::Meta(_)) => After::Keep,
            (Err(problem), _) => {
                problem.iter().for_each(|problem| upstream.tell_bad(&self.address, problem));
                After::Close
            }
        }
    }
}

/// What a connection does after this whole response.
fn after(response: &Response) -> After {
    let close = response.head.as_ref().is_none_or(|head| head.close);
    if close {
        After::Close
    } else {
        After::Keep
    }
}

/// Writes this of an attempt, and tells whether all of it has gone out: no byte goes once the attempt is over, though
/// the way were full until then.
async fn write<S: AsyncWrite + Unpin>(
    upstream: &Upstream,
    stream: &mut S,
    output: &[u8],
    attempt: &Attempt,
) -> bool {
    let mut left = output;
    while !left.is_empty() {
        let written = poll_fn(|cx| match upstream.over(attempt) {
            true => Poll::Ready(Ok(0)),
            false => Pin::new(&mut *stream).poll_write(cx, left),
        });
        match written.await {
            Ok(length @ 1..) => left = &left[length..],
            _ => return false,
        }
    }
    true
}

/// Whether an idle connection is still up and silent: it has neither ended nor brought anything.
fn quiet<S: AsyncRead + Unpin>(stream: &mut S, input: &mut BytesMut) -> bool {
    let mut read = std::pin::pin!(stream.read_buf(input));
    let silent =
        std::future::Future::poll(read.as_mut(), &mut Context::from_waker(Waker::noop())).is_pending();
    silent && input.is_empty()
}
