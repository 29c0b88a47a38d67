//! A value that is passed on in chunks while it still comes: one side sends the chunks, the other receives them, and
//! neither ever buffers more than a few.
//!
//! Guarantee: the last byte is held back until the end of the value has been seen, so that a client can always tell a
//! value that broke off, or whose end was malformed, from a complete one.

use std::cell::RefCell;
use std::future::poll_fn;
use std::rc::Rc;

use bytes::Bytes;
use thiserror::Error;
use tokio::sync::mpsc;

use crate::request_metrics::{DownloadInProgress, RequestMetrics};

/// Chunks that may wait between the two sides.
const WAITING_CHUNKS: usize = 1;

/// The side that receives a streamed value.
#[derive(Clone, Debug)]
pub struct ChunkReceiver {
    length: usize,
    chunks: Rc<RefCell<mpsc::Receiver<Bytes>>>,
    download: Option<Rc<DownloadInProgress>>,
}

/// The side that sends a streamed value.
#[derive(Debug)]
pub struct ChunkSender {
    chunks: mpsc::Sender<Bytes>,
    remaining_bytes: usize,
    last_byte: Bytes,
}

/// Nobody receives the value any longer; the rest of it need not be sent.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("nobody receives the streamed value any longer")]
pub struct ReceiverGone;

/// The two sides of a value of this many bytes.
pub fn streamed_value(length: usize) -> (ChunkSender, ChunkReceiver) {
    let (sender, receiver) = mpsc::channel(WAITING_CHUNKS);
    let sender = ChunkSender { chunks: sender, remaining_bytes: length, last_byte: Bytes::new() };
    let receiver = ChunkReceiver { length, chunks: Rc::new(RefCell::new(receiver)), download: None };
    (sender, receiver)
}

impl ChunkReceiver {
    /// How many bytes the value has.
    pub fn length(&self) -> usize {
        self.length
    }

    /// The next chunk; none at the value's end, and where it broke off.
    pub async fn next(&self) -> Option<Bytes> {
        poll_fn(|context| self.chunks.borrow_mut().poll_recv(context)).await
    }

    /// Counts the value as on its way to its client from now on, until the last clone is dropped.
    pub(crate) fn count_in(self, metrics: &Rc<RequestMetrics>, class: u32) -> ChunkReceiver {
        ChunkReceiver { download: Some(Rc::new(DownloadInProgress::begin(metrics, class))), ..self }
    }

    /// The client has the complete value.
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
    /// Sends a chunk, and waits while the receiver has not taken the ones before it.
    ///
    /// # Errors
    /// Nobody receives the value any longer.
    pub async fn send(&mut self, chunk: Bytes) -> Result<(), ReceiverGone> {
        match self.hold_last_byte_back(chunk) {
            Some(chunk) => self.chunks.send(chunk).await.map_err(|_| ReceiverGone),
            None => Ok(()),
        }
    }

    /// Sends a chunk without a wait; [`ChunkSender::is_ready`] says whether that is possible.
    ///
    /// # Errors
    /// Nobody receives the value any longer, or there is no room.
    pub fn try_send(&mut self, chunk: Bytes) -> Result<(), ReceiverGone> {
        match self.hold_last_byte_back(chunk) {
            Some(chunk) => self.chunks.try_send(chunk).map_err(|_| ReceiverGone),
            None => Ok(()),
        }
    }

    /// Whether a chunk can be sent, or fails, without a wait.
    pub fn is_ready(&self) -> bool {
        self.chunks.capacity() > 0 || self.chunks.is_closed()
    }

    /// Waits until a chunk can be sent, or nobody receives the value any longer.
    pub async fn wait_until_ready(&self) {
        drop(self.chunks.reserve().await);
    }

    /// Waits until nobody receives the value any longer.
    pub async fn wait_for_receiver_gone(&self) {
        self.chunks.closed().await;
    }

    /// The last byte, once all of the value was given to this side.
    pub fn last_byte(&self) -> Option<Bytes> {
        (!self.last_byte.is_empty()).then(|| self.last_byte.clone())
    }

    /// Sends the last byte: the end of the value has been seen and is well-formed.
    ///
    /// # Errors
    /// Nobody receives the value any longer.
    pub async fn finish(self) -> Result<(), ReceiverGone> {
        self.chunks.send(self.last_byte).await.map_err(|_| ReceiverGone)
    }

    /// What of this chunk may be sent now: all but the value's last byte.
    fn hold_last_byte_back(&mut self, mut chunk: Bytes) -> Option<Bytes> {
        self.remaining_bytes = self.remaining_bytes.saturating_sub(chunk.len());
        if self.remaining_bytes == 0 && !chunk.is_empty() {
            self.last_byte = chunk.split_off(chunk.len() - 1);
        }
        (!chunk.is_empty()).then_some(chunk)
    }
}

#[cfg(test)]
mod tests;
