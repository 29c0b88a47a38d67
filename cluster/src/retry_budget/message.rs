//! What two members say to each other about the retry budget.
//!
//! The order of fields and variants is part of the protocol: `postcard` writes them as they stand here.

use juniperladder::Micros;
use serde::{Deserialize, Serialize};

/// A message about the retry budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// A member that has no credit asks for some.
    Request {
        /// The asker's incarnation.
        incarnation: u64,
        /// When it was sent, by the asker's clock; it names the request.
        #[serde(with = "crate::wire::micros")]
        sent: Micros,
        /// How many credits at the most.
        credits: u32,
    },
    /// Credits are passed on, for that request.
    Transfer {
        /// The incarnation in the request.
        incarnation: u64,
        /// The time in the request.
        #[serde(with = "crate::wire::micros")]
        sent: Micros,
        /// How many credits.
        credits: u32,
    },
}
