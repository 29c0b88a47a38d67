//! The bytes that a client connection has still to write.
//!
//! Answer lines and short values share a buffer. A longer value or chunk stands in the queue as it is, so that it is not
//! copied, and its memory is released as soon as it is written.

use std::collections::VecDeque;
use std::io::IoSlice;

use bytes::{Buf, Bytes, BytesMut};

use crate::resource_limits::MAX_COPIED_VALUE_BYTES;

/// Unwritten bytes, in the order in which they are written.
#[derive(Debug, Default)]
pub(super) struct OutputQueue {
    /// What precedes `lines`.
    parts: VecDeque<Bytes>,
    part_bytes: usize,
    lines: BytesMut,
}

impl OutputQueue {
    /// Whether all has been written.
    pub(super) fn is_empty(&self) -> bool {
        self.remaining() == 0
    }

    /// The number of unwritten bytes.
    pub(super) fn len(&self) -> usize {
        self.remaining()
    }

    /// The buffer at the end of the queue, to which lines are appended.
    pub(super) fn lines(&mut self) -> &mut BytesMut {
        &mut self.lines
    }

    /// Appends a value or a chunk of one.
    pub(super) fn push(&mut self, value: Bytes) {
        if value.len() <= MAX_COPIED_VALUE_BYTES {
            return self.lines.extend_from_slice(&value);
        }
        if !self.lines.is_empty() {
            let lines = std::mem::take(&mut self.lines).freeze();
            self.push_part(lines);
        }
        self.push_part(value);
    }

    fn push_part(&mut self, part: Bytes) {
        self.part_bytes += part.len();
        self.parts.push_back(part);
    }

    /// Frees the buffers if nothing is left to write.
    pub(super) fn release_if_empty(&mut self) {
        if self.is_empty() && (self.lines.capacity() > 0 || self.parts.capacity() > 0) {
            *self = OutputQueue::default();
        }
    }
}

impl Buf for OutputQueue {
    fn remaining(&self) -> usize {
        self.part_bytes + self.lines.len()
    }

    fn chunk(&self) -> &[u8] {
        self.parts.front().map_or(&self.lines[..], |part| &part[..])
    }

    fn chunks_vectored<'a>(&'a self, slices: &mut [IoSlice<'a>]) -> usize {
        let parts = self.parts.iter().map(|part| &part[..]);
        let chunks = parts.chain([&self.lines[..]]).filter(|chunk| !chunk.is_empty());
        let filled = slices.iter_mut().zip(chunks).map(|(slice, chunk)| *slice = IoSlice::new(chunk));
        filled.count()
    }

    fn advance(&mut self, mut written: usize) {
        while let Some(part) = self.parts.front_mut() {
            if written < part.len() {
                self.part_bytes -= written;
                return part.advance(written);
            }
            written -= part.len();
            self.part_bytes -= part.len();
            self.parts.pop_front();
        }
        self.lines.advance(written);
    }
}

#[cfg(test)]
mod tests;
