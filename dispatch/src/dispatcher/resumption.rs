//! Resumes a streamed value that broke off, by reading it once more.
//!
//! Guarantee: all attempts together stay within the maximum for a request and within its deadline, and only a request that
//! may be executed again is resumed.

use juniperladder::Micros;
use slog::debug;
use tokio::sync::oneshot;

use super::Dispatcher;
use crate::counters::increment;
use crate::request::{ClientRequestId, StreamedRead};
use crate::streamed_value::ChunkReceiver;
use crate::values::Answer;

impl Dispatcher {
    /// Requests a streamed value once more, as it broke off before its end. The receiver gets the value from its first byte
    /// on; whether it is the same value has to be checked. Returns none if its request may not be attempted again.
    pub fn resume_download(
        &self,
        value: &ChunkReceiver,
    ) -> Option<(ClientRequestId, oneshot::Receiver<Answer>)> {
        let read = value.read()?;
        let now = self.clock.now();
        if !self.may_resume(read, now) {
            return None;
        }
        let resumed = self.open_request(read.request.clone(), now, read.deadline, Some(read.attempts))?;
        increment(&self.counters.downloads_resumed);
        debug!(self.log, "download resumed"; "request" => resumed.0 .0, "earlier_attempts" => read.attempts);
        Some(resumed)
    }

    fn may_resume(&self, read: &StreamedRead, now: Micros) -> bool {
        let is_idempotent = !self.must_run_once(read.request.class);
        is_idempotent && read.attempts < self.max_attempts && now < read.deadline
    }
}
