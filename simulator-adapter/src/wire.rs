//! The simulator's JSON lines: one module reads batches of events, one writes actions. The words of the wire stay in
//! these two modules.

mod incoming;
mod outgoing;

pub use incoming::{request_id, Batch, EndpointsForm, IncomingEvent};
pub use outgoing::write_action;
