//! The answers of a connection, which wait in the order of their requests, and the streamed value that is written
//! behind one of them.

use std::collections::VecDeque;
use std::io;

use bytes::{BufMut, Bytes};
use juniperladder_dispatch::streamed_value::ChunkReceiver;
use tokio::sync::oneshot;
use tokio::time::Instant;

use super::DownstreamConnection;
use crate::dispatcher::{Answer, ClientRequestId};
use crate::memcache;

/// What a connection owes its client.
#[derive(Debug)]
pub(super) enum PendingAnswer {
    /// A line that is known already.
    Line(&'static str),
    /// The answer to a request.
    Request(PendingRequest),
}

/// A request that waits for its answer.
#[derive(Debug)]
pub(super) struct PendingRequest {
    /// What the dispatcher calls it.
    pub(super) id: ClientRequestId,
    /// The id that the client gave it.
    pub(super) client_id: Bytes,
    /// Brings the answer.
    pub(super) answer: oneshot::Receiver<Answer>,
    /// Bytes of its value.
    pub(super) value_bytes: usize,
}

/// A streamed value on its way to the client.
pub(super) struct Download {
    value: ChunkReceiver,
    remaining_bytes: usize,
}

impl DownstreamConnection<'_> {
    /// Puts an answer into the output.
    pub(super) fn write_answer(&mut self, pending: PendingAnswer, answer: Answer) {
        let request = match pending {
            PendingAnswer::Line(line) => {
                self.output.put_slice(line.as_bytes());
                self.output.put_slice(b"\r\n");
                return;
            }
            PendingAnswer::Request(request) => request,
        };
        self.request_bytes -= request.value_bytes;
        memcache::write_answer(&mut self.output, &request.client_id, &answer);
        if let Answer::Streamed(value) = answer {
            let remaining_bytes = value.length();
            self.download = Some(Download { value, remaining_bytes });
        }
    }

    /// Puts a chunk of the download into the output.
    ///
    /// # Errors
    /// The download broke off. It cannot be mended: only the end of the connection tells the client that its
    /// value is not complete.
    pub(super) fn write_chunk(&mut self, chunk: Option<Bytes>) -> io::Result<()> {
        let Some(download) = &mut self.download else { return Ok(()) };
        let chunk = chunk.ok_or(io::ErrorKind::UnexpectedEof)?;
        download.remaining_bytes = download.remaining_bytes.saturating_sub(chunk.len());
        self.output.put_slice(&chunk);
        if download.remaining_bytes == 0 {
            download.value.on_complete();
            self.download = None;
            self.output.put_slice(b"\r\n");
        }
        Ok(())
    }

    /// A part of the output was written.
    pub(super) fn on_written(&mut self) {
        let now = Instant::now();
        self.last_drained = now;
        self.last_written = Some(now);
    }
}

/// Waits for the next chunk of a download; for ever where there is none.
pub(super) async fn next_chunk(download: &Option<Download>) -> Option<Bytes> {
    match download {
        Some(download) => download.value.next().await,
        None => std::future::pending().await,
    }
}

/// Waits for the answer that is first in order; the others wait behind it.
pub(super) async fn next_answer(pending: &mut VecDeque<PendingAnswer>) -> (PendingAnswer, Answer) {
    let answer = match pending.front_mut() {
        None => std::future::pending().await,
        // Not used, as the line is the answer.
        Some(PendingAnswer::Line(_)) => Answer::Failed,
        // The dispatcher answers everything it took; should it ever drop one, that request has failed.
        Some(PendingAnswer::Request(request)) => (&mut request.answer).await.unwrap_or(Answer::Failed),
    };
    match pending.pop_front() {
        Some(first) => (first, answer),
        None => std::future::pending().await,
    }
}
