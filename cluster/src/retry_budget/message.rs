//! Messages between members about the retry budget.
//!
//! The order of fields and variants is part of the protocol: `postcard` encodes them in the order of declaration.

use juniperladder::Micros;
use serde::{Deserialize, Serialize};

/// A message about the retry budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// A request for credits, sent by a member that has none.
    Request {
        /// The sender's incarnation.
        incarnation: u64,
        /// The send time by the sender's clock; it identifies the request.
        #[serde(with = "crate::wire::micros")]
        sent: Micros,
        /// The maximum number of credits wanted.
        credits: u32,
    },
    /// A transfer of credits in answer to a request.
    Transfer {
        /// The incarnation in the request.
        incarnation: u64,
        /// The send time of the request.
        #[serde(with = "crate::wire::micros")]
        sent: Micros,
        /// The number of credits transferred.
        credits: u32,
    },
}
