//! The simulator's JSON lines: `incoming` reads batches of events, `outgoing` writes actions. Only these two
//! modules use the names of the wire format.

mod incoming;
mod outgoing;

pub use incoming::{request_id, Batch, EndpointsForm, IncomingEvent};
pub use outgoing::write_action;
