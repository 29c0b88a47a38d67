//! Messages between members about servers.
//!
//! The order of fields and variants is part of the protocol: `postcard` encodes them in the order of declaration.

use juniperladder::Micros;
use serde::{Deserialize, Serialize};

use crate::server_incarnation::ServerIncarnation;

/// The maximum number of reports in one answer; with this number an answer fits into one packet.
pub const MAX_REPORTS: usize = 24;

/// One member's observation of one server incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The server.
    pub server: ServerIncarnation,
    /// The reporter's position in the fleet.
    pub reporter: u32,
    /// The reporter's zone.
    pub zone: u32,
    /// The time of the report by the reporter's clock; a later report of the same reporter replaces an earlier one.
    #[serde(with = "crate::wire::micros")]
    pub stamp: Micros,
    /// The maximum age of the observation when this message was written.
    #[serde(with = "crate::wire::micros")]
    pub age: Micros,
    /// Whether the server was silent; if false, it answered.
    pub is_silent: bool,
    /// Whether this is an answer after the reporter's zone had reported the server silent.
    pub is_recovery: bool,
}

/// The reports that a query covers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum QueryScope {
    /// All reports.
    All,
    /// All reports; the receiver queries back, because the sender has new reports of its own or lacks reports for a decision.
    AllMutual,
    /// The urgent reports; the receiver queries back, because the sender has some of them.
    UrgentMutual,
    /// The urgent reports; the scope of a query back to [`QueryScope::UrgentMutual`].
    Urgent,
}

/// A message about servers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// A query with a digest of the sender's reports; a member with different reports answers.
    Query {
        /// The send time by the sender's clock; it identifies the query.
        #[serde(with = "crate::wire::micros")]
        sent: Micros,
        /// The digest of the sender's reports in the scope.
        digest: u64,
        /// The reports that the query covers.
        scope: QueryScope,
    },
    /// The answer to a query.
    Reports {
        /// The send time of the query.
        #[serde(with = "crate::wire::micros")]
        sent: Micros,
        /// The reports, at most [`MAX_REPORTS`].
        reports: Vec<Report>,
    },
}
