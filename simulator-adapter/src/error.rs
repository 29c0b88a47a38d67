//! Why the adapter stops.

use std::io;

use thiserror::Error;

/// Why the adapter stops; `line` counts the lines of input from 1.
#[derive(Debug, Error)]
pub enum RunError {
    /// Standard input cannot be read.
    #[error("cannot read line {line}: {source}")]
    Read {
        /// The line that was to be read.
        line: u64,
        /// What the system says.
        source: io::Error,
    },
    /// A line cannot be answered.
    #[error("line {line}: {source}")]
    Line {
        /// The line.
        line: u64,
        /// What is wrong with it.
        source: AdapterError,
    },
    /// The reply cannot be flushed.
    #[error("cannot write the reply to line {line}: {source}")]
    Flush {
        /// The line that was answered.
        line: u64,
        /// What the system says.
        source: io::Error,
    },
}

/// What is wrong with a line, or with its reply.
#[derive(Debug, Error)]
pub enum AdapterError {
    /// The line is not a batch of events.
    #[error("not a batch: {0}")]
    Batch(#[source] serde_json::Error),
    /// The event names a balancer that is not there.
    #[error("router {instance} was never started")]
    UnknownInstance {
        /// Its number.
        instance: u32,
    },
    /// The slot lies beyond the last one.
    #[error("manifest slot {slot} is not within 0 to {last}")]
    SlotOutOfRange {
        /// The slot.
        slot: usize,
        /// The last slot there is.
        last: usize,
    },
    /// The event names a slot without a list.
    #[error("endpoints name manifest slot {slot}, which was never given")]
    EmptySlot {
        /// The slot.
        slot: usize,
    },
    /// The id of a request has a wrong length.
    #[error("op-id {text:?} is not 36 characters long")]
    RequestId {
        /// The id as given.
        text: String,
    },
    /// A message from another balancer is not base64.
    #[error("message for router {instance} is not base64: {source}")]
    Message {
        /// The balancer that it is for.
        instance: u32,
        /// What is wrong with it.
        source: base64::DecodeError,
    },
    /// An action cannot be written as JSON.
    #[error("cannot write an action: {0}")]
    Action(#[source] serde_json::Error),
    /// The reply cannot be written.
    #[error("cannot write the reply: {0}")]
    Reply(#[source] io::Error),
}
