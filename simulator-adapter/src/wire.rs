//! The simulator's JSON lines: `incoming` reads batches of events, `outgoing` writes actions. Only these two
//! modules use the names of the wire format.

mod incoming;
mod outgoing;

pub use incoming::{parse_request_id, Batch, IncomingEvent, IncomingUpdate};
pub use outgoing::write_action;
