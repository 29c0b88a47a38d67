//! The pending answers of a connection, in the order of their requests, and the streamed value that is
//! written after one of them.

use std::collections::VecDeque;

use bytes::{BufMut, Bytes};
use tokio::sync::oneshot;
use tokio::time::Instant;

use super::DownstreamConnection;
use crate::buffer_pool::Reservation;
use crate::dispatcher::{Answer, ClientRequestId};
use crate::downstream::download::{Download, DownloadBroken, DownloadEvent};
use crate::memcache;

/// An answer that the client waits for.
#[derive(Debug)]
pub(super) enum PendingAnswer {
    /// A fixed line.
    Line(&'static str),
    /// The answer to a request.
    Request(PendingRequest),
}

/// A request that waits for its answer.
#[derive(Debug)]
pub(super) struct PendingRequest {
    /// The id that the dispatcher gave it.
    pub(super) id: ClientRequestId,
    /// The id that the client gave it.
    pub(super) client_id: Bytes,
    /// The channel that delivers the answer.
    pub(super) answer: oneshot::Receiver<Answer>,
    /// Pays for the request's state if it was not the first open one, and for a long line.
    pub(super) _reservations: [Option<Reservation>; 2],
}

impl DownstreamConnection<'_> {
    /// Appends an answer to the output.
    pub(super) fn write_answer(&mut self, pending: PendingAnswer, answer: Answer) {
        let request = match pending {
            PendingAnswer::Line(line) => {
                self.output.lines().put_slice(line.as_bytes());
                self.output.lines().put_slice(memcache::LINE_END);
                return;
            }
            PendingAnswer::Request(request) => request,
        };
        match answer {
            Answer::Value(value) => {
                memcache::write_value_head(self.output.lines(), &request.client_id, value.len());
                self.output.push(value);
                self.output.lines().put_slice(memcache::LINE_END);
            }
            Answer::Streamed(value) => {
                memcache::write_value_head(self.output.lines(), &request.client_id, value.length());
                self.download = Some(Download::new(value));
            }
            answer => memcache::write_answer(self.output.lines(), &request.client_id, &answer),
        }
    }

    /// Handles an event of the download, and appends the next bytes of its value to the output.
    pub(super) fn on_download_event(&mut self, event: DownloadEvent) {
        let Some(download) = &mut self.download else { return };
        match download.on_event(event, &self.downstream.dispatcher) {
            Ok(bytes) => self.output.push(bytes),
            Err(DownloadBroken) => return self.end_mid_value(),
        }
        if let Some(download) = self.download.take_if(|download| download.is_complete()) {
            download.on_complete();
            self.output.lines().put_slice(memcache::LINE_END);
        }
    }

    /// Ends the connection after what has been received of a value: only that shows the client that its value is incomplete.
    fn end_mid_value(&mut self) {
        self.download = None;
        self.report_clients_gone();
        self.pending.clear();
        self.has_stopped_requests = true;
    }

    /// Records that part of the output was written.
    pub(super) fn on_written(&mut self) {
        let now = Instant::now();
        self.last_output_progress = now;
        self.last_written = Some(now);
    }
}

/// Waits for the first pending answer; the others wait behind it.
pub(super) async fn next_answer(pending: &mut VecDeque<PendingAnswer>) -> (PendingAnswer, Answer) {
    let answer = match pending.front_mut() {
        None => std::future::pending().await,
        // This answer is not used: the line is written instead.
        Some(PendingAnswer::Line(_)) => Answer::Failed,
        // The dispatcher answers every request that it accepted; if it dropped the channel instead, the
        // request has failed.
        Some(PendingAnswer::Request(request)) => (&mut request.answer).await.unwrap_or(Answer::Failed),
    };
    match pending.pop_front() {
        Some(first) => (first, answer),
        None => std::future::pending().await,
    }
}
