//! Errors that stop the adapter.

use std::io;

use thiserror::Error;

/// An error that stops the adapter; `line` is the number of the input line, from 1.
#[derive(Debug, Error)]
pub enum RunError {
    /// Standard input cannot be read.
    #[error("cannot read line {line} of standard input: {source}")]
    Read {
        /// Number of the line to be read.
        line: u64,
        /// The error of the operating system.
        source: io::Error,
    },
    /// A line cannot be answered.
    #[error("line {line}: {source}")]
    Line {
        /// Number of the line.
        line: u64,
        /// The error in the line.
        source: AdapterError,
    },
    /// The reply cannot be flushed.
    #[error("cannot write the reply to line {line}: {source}")]
    Flush {
        /// Number of the line that was answered.
        line: u64,
        /// The error of the operating system.
        source: io::Error,
    },
}

/// An error in a line of events, or in the reply to it.
#[derive(Debug, Error)]
pub enum AdapterError {
    /// The line is not a batch of events.
    #[error("not a valid batch of events: {0}")]
    Batch(#[source] serde_json::Error),
    /// The event refers to a balancer that was not started, or was stopped.
    #[error("event refers to router {instance}, which is not running")]
    UnknownInstance {
        /// Number of the balancer.
        instance: u32,
    },
    /// The slot is out of range.
    #[error("manifest slot {slot} is out of range; slots are numbered 0 to {max}")]
    SlotOutOfRange {
        /// The slot.
        slot: usize,
        /// Highest valid slot.
        max: usize,
    },
    /// The event refers to a slot above all slots received so far.
    #[error("endpoints event refers to manifest slot {slot}, but no manifest with this slot was received")]
    UnknownSlot {
        /// The slot.
        slot: usize,
    },
    /// The id of a request has a wrong length.
    #[error("op-id {text:?} is not 36 characters long")]
    RequestId {
        /// The id as received.
        text: String,
    },
    /// A message from another balancer is not base64.
    #[error("message for router {instance} is not base64: {source}")]
    Message {
        /// Number of the receiving balancer.
        instance: u32,
        /// The error of the decoder.
        source: base64::DecodeError,
    },
    /// An action cannot be written as JSON.
    #[error("cannot serialize an action as JSON: {0}")]
    Action(#[source] serde_json::Error),
    /// The reply cannot be written.
    #[error("cannot write the reply to standard output: {0}")]
    Reply(#[source] io::Error),
}
