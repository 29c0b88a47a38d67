//! The client side of a streamed value that is being read from a server.
//!
//! A client that has received a part of a value can be shown that the rest does not follow only by the end of its
//! connection, which would lose the answers to the requests behind it. A value that breaks off is therefore requested once
//! more. What the client has already is compared with the beginning of the new value and left out.
//!
//! Guarantee: the client gets the bytes of one value, or none beyond those that it has.

use bytes::{Buf, Bytes};
use juniperladder_dispatch::streamed_value::ChunkReceiver;
use tokio::sync::oneshot;
use xxhash_rust::xxh3::Xxh3;

use crate::dispatcher::{Answer, ClientRequestId, Dispatcher};

/// Where the next bytes of the value come from.
enum Source {
    /// The chunks of a value that is being received.
    Chunks(ChunkReceiver),
    /// The answer to the request for the value once more.
    Resumption(ClientRequestId, oneshot::Receiver<Answer>),
}

/// What a download waited for.
pub(super) enum DownloadEvent {
    /// The next bytes of the value.
    Chunk(Bytes),
    /// The answer to the request for the value once more.
    Resumed(Answer),
    /// The value broke off.
    Interrupted,
}

/// The value broke off and cannot be resumed.
#[derive(Debug, PartialEq, Eq)]
pub(super) struct DownloadBroken;

/// The beginning of a value that is received once more.
struct RepeatedPrefix {
    remaining_bytes: usize,
    hash: Box<Xxh3>,
}

/// A streamed value that is being sent to the client.
pub(super) struct Download {
    value: ChunkReceiver,
    source: Source,
    /// The bytes that the client has not been sent.
    remaining_bytes: usize,
    /// The hash of the bytes that the client has been sent.
    sent_hash: Box<Xxh3>,
    /// The part of the value that the client has and that is being received again.
    repeated: Option<RepeatedPrefix>,
}

impl Download {
    /// The download of a value none of which has been received.
    pub(super) fn new(value: ChunkReceiver) -> Download {
        Download {
            source: Source::Chunks(value.clone()),
            remaining_bytes: value.length(),
            sent_hash: Box::default(),
            repeated: None,
            value,
        }
    }

    /// Waits for the next event.
    pub(super) async fn next(&mut self) -> DownloadEvent {
        match &mut self.source {
            Source::Chunks(chunks) => {
                chunks.next().await.map_or(DownloadEvent::Interrupted, DownloadEvent::Chunk)
            }
            // The dispatcher answers every request that it accepted.
            Source::Resumption(_, answer) => DownloadEvent::Resumed(answer.await.unwrap_or(Answer::Failed)),
        }
    }

    /// The request for the value once more, while its answer is awaited.
    pub(super) fn resumption(&self) -> Option<ClientRequestId> {
        match &self.source {
            Source::Chunks(_) => None,
            Source::Resumption(id, _) => Some(*id),
        }
    }

    /// Whether the client has been sent the whole value.
    pub(super) fn is_complete(&self) -> bool {
        self.remaining_bytes == 0
    }

    /// Records that the client has received the complete value.
    pub(super) fn on_complete(&self) {
        self.value.on_complete();
    }

    /// Handles an event. Returns the bytes to send to the client, possibly none.
    ///
    /// # Errors
    /// The value broke off, and cannot be resumed or is another one by now.
    pub(super) fn on_event(
        &mut self,
        event: DownloadEvent,
        dispatcher: &Dispatcher,
    ) -> Result<Bytes, DownloadBroken> {
        match event {
            DownloadEvent::Chunk(chunk) => self.take(chunk),
            DownloadEvent::Interrupted => self.request_again(dispatcher),
            DownloadEvent::Resumed(answer) => self.on_resumed(answer),
        }
    }

    fn request_again(&mut self, dispatcher: &Dispatcher) -> Result<Bytes, DownloadBroken> {
        let interrupted = match &self.source {
            Source::Chunks(chunks) => chunks,
            Source::Resumption(..) => return Err(DownloadBroken),
        };
        let (id, answer) = dispatcher.resume_download(interrupted).ok_or(DownloadBroken)?;
        self.source = Source::Resumption(id, answer);
        Ok(Bytes::new())
    }

    fn on_resumed(&mut self, answer: Answer) -> Result<Bytes, DownloadBroken> {
        let remaining_bytes = self.value.length() - self.remaining_bytes;
        self.repeated =
            (remaining_bytes > 0).then(|| RepeatedPrefix { remaining_bytes, hash: Box::default() });
        match answer {
            Answer::Value(value) if value.len() == self.value.length() => self.take(value),
            Answer::Streamed(value) if value.length() == self.value.length() => {
                self.source = Source::Chunks(value);
                Ok(Bytes::new())
            }
            _ => Err(DownloadBroken),
        }
    }

    /// Takes the part of a chunk that the client has not been sent.
    fn take(&mut self, mut chunk: Bytes) -> Result<Bytes, DownloadBroken> {
        self.skip_repeated(&mut chunk)?;
        self.sent_hash.update(&chunk);
        self.remaining_bytes = self.remaining_bytes.saturating_sub(chunk.len());
        Ok(chunk)
    }

    /// Removes what the client has already.
    fn skip_repeated(&mut self, chunk: &mut Bytes) -> Result<(), DownloadBroken> {
        let Some(repeated) = &mut self.repeated else { return Ok(()) };
        let length = repeated.remaining_bytes.min(chunk.len());
        repeated.hash.update(&chunk[..length]);
        chunk.advance(length);
        repeated.remaining_bytes -= length;
        if repeated.remaining_bytes > 0 {
            return Ok(());
        }
        let is_same_value = repeated.hash.digest() == self.sent_hash.digest();
        self.repeated = None;
        is_same_value.then_some(()).ok_or(DownloadBroken)
    }
}

/// Waits for the next event of the download; without a download, waits forever.
pub(super) async fn next_event(download: &mut Option<Download>) -> DownloadEvent {
    match download {
        Some(download) => download.next().await,
        None => std::future::pending().await,
    }
}
