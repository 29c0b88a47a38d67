//! Forwards a value in chunks while it is being received. The channel between sender and receiver is bounded, so that
//! neither side buffers more than a few chunks.
//!
//! Guarantee: the last byte is withheld until the end of the value has been received and is well-formed, so that a
//! client can always distinguish a value that broke off, or whose end was malformed, from a complete one.

use std::cell::RefCell;
use std::future::poll_fn;
use std::rc::Rc;

use bytes::Bytes;
use thiserror::Error;
use tokio::sync::mpsc;

use crate::request::StreamedRead;
use crate::request_metrics::{DownloadInProgress, RequestMetrics};

/// Number of chunks that the channel between sender and receiver holds.
const CHANNEL_CAPACITY_CHUNKS: usize = 1;

/// The receiving side of a streamed value.
#[derive(Clone, Debug)]
pub struct ChunkReceiver {
    length: usize,
    chunks: Rc<RefCell<mpsc::Receiver<Bytes>>>,
    /// Counts the value as in transit to its client; none until the value is the answer to a client.
    download: Option<Rc<DownloadInProgress>>,
    /// The request that the value answers; none until the value is the answer to a client.
    read: Option<Rc<StreamedRead>>,
}

/// The sending side of a streamed value.
#[derive(Debug)]
pub struct ChunkSender {
    chunks: mpsc::Sender<Bytes>,
    /// Bytes of the value that have not been passed to this sender yet.
    remaining_bytes: usize,
    /// The withheld last byte; empty until all of the value has been passed to this sender.
    last_byte: Bytes,
}

/// The receiver was dropped, and the rest of the value need not be sent; or, for `try_send`, the channel is full.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("cannot send a chunk of the streamed value: receiver dropped or channel full")]
pub struct ChunkSendError;

/// Creates the two sides of a streamed value of this many bytes.
pub fn streamed_value(length: usize) -> (ChunkSender, ChunkReceiver) {
    let (sender, receiver) = mpsc::channel(CHANNEL_CAPACITY_CHUNKS);
    let sender = ChunkSender { chunks: sender, remaining_bytes: length, last_byte: Bytes::new() };
    let receiver =
        ChunkReceiver { length, chunks: Rc::new(RefCell::new(receiver)), download: None, read: None };
    (sender, receiver)
}

impl ChunkReceiver {
    /// The length of the value in bytes.
    pub fn length(&self) -> usize {
        self.length
    }

    /// Receives the next chunk; none after the last one and after the value broke off.
    pub async fn next(&self) -> Option<Bytes> {
        poll_fn(|context| self.chunks.borrow_mut().poll_recv(context)).await
    }

    /// Counts the value as in transit to its client until the last clone is dropped.
    pub(crate) fn track_download(self, metrics: &Rc<RequestMetrics>, class: u32) -> ChunkReceiver {
        ChunkReceiver { download: Some(Rc::new(DownloadInProgress::begin(metrics, class))), ..self }
    }

    /// Names the request that the value answers.
    pub(crate) fn for_read(self, read: StreamedRead) -> ChunkReceiver {
        ChunkReceiver { read: Some(Rc::new(read)), ..self }
    }

    /// The request that the value answers.
    pub(crate) fn read(&self) -> Option<&StreamedRead> {
        self.read.as_deref()
    }

    /// Records that the client has received the complete value.
    pub fn on_complete(&self) {
        if let Some(download) = &self.download {
            download.on_complete();
        }
    }
}

/// Two receivers are equal if they receive the same value.
impl PartialEq for ChunkReceiver {
    fn eq(&self, other: &ChunkReceiver) -> bool {
        Rc::ptr_eq(&self.chunks, &other.chunks)
    }
}

impl Eq for ChunkReceiver {}

impl ChunkSender {
    /// Sends a chunk, waiting while the channel is full.
    ///
    /// # Errors
    /// The receiver was dropped.
    pub async fn send(&mut self, chunk: Bytes) -> Result<(), ChunkSendError> {
        match self.withhold_last_byte(chunk) {
            Some(chunk) => self.chunks.send(chunk).await.map_err(|_| ChunkSendError),
            None => Ok(()),
        }
    }

    /// Sends a chunk without waiting; [`ChunkSender::is_ready`] says whether that is possible.
    ///
    /// # Errors
    /// The receiver was dropped, or the channel is full.
    pub fn try_send(&mut self, chunk: Bytes) -> Result<(), ChunkSendError> {
        match self.withhold_last_byte(chunk) {
            Some(chunk) => self.chunks.try_send(chunk).map_err(|_| ChunkSendError),
            None => Ok(()),
        }
    }

    /// Whether sending a chunk would succeed or fail without waiting.
    pub fn is_ready(&self) -> bool {
        self.chunks.capacity() > 0 || self.chunks.is_closed()
    }

    /// Waits until a chunk can be sent or the receiver is dropped.
    pub async fn wait_until_ready(&self) {
        drop(self.chunks.reserve().await);
    }

    /// Waits until the receiver is dropped.
    pub async fn wait_for_receiver_gone(&self) {
        self.chunks.closed().await;
    }

    /// The last byte, once all of the value has been passed to this sender.
    pub fn last_byte(&self) -> Option<Bytes> {
        (!self.last_byte.is_empty()).then(|| self.last_byte.clone())
    }

    /// Sends the last byte. The caller has received the end of the value and found it well-formed.
    ///
    /// # Errors
    /// The receiver was dropped.
    pub async fn finish(self) -> Result<(), ChunkSendError> {
        self.chunks.send(self.last_byte).await.map_err(|_| ChunkSendError)
    }

    /// Returns the part of this chunk that may be sent now: all but the value's last byte.
    fn withhold_last_byte(&mut self, mut chunk: Bytes) -> Option<Bytes> {
        self.remaining_bytes = self.remaining_bytes.saturating_sub(chunk.len());
        if self.remaining_bytes == 0 && !chunk.is_empty() {
            self.last_byte = chunk.split_off(chunk.len() - 1);
        }
        (!chunk.is_empty()).then_some(chunk)
    }
}

#[cfg(test)]
mod tests;
