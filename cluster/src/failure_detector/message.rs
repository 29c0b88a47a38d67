//! What two members say to each other about servers.
//!
//! The order of fields and variants is part of the protocol: `postcard` writes them as they stand here.

use juniperladder::Micros;
use serde::{Deserialize, Serialize};

use crate::server_incarnation::ServerIncarnation;

/// Reports in one answer: as many as a packet has room for, with the rest of it.
pub const MAX_REPORTS: usize = 24;

/// What one member saw of one incarnation of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The server.
    pub server: ServerIncarnation,
    /// The reporter's position in the fleet.
    pub reporter: u32,
    /// The reporter's zone.
    pub zone: u32,
    /// When, by the reporter's clock: a later report of the same reporter replaces an earlier one.
    #[serde(with = "crate::wire::micros")]
    pub stamp: Micros,
    /// How old it was at the most when this message was written.
    #[serde(with = "crate::wire::micros")]
    pub age: Micros,
    /// Whether the server was silent; otherwise it answered.
    pub is_silent: bool,
    /// Of an answer, whether the reporter's zone had found the server silent before.
    pub is_recovery: bool,
}

/// Which reports a query is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum QueryScope {
    /// All reports.
    All,
    /// All reports, where the asker has a report of its own that has to meet others: it is queried back.
    AllMutual,
    /// The urgent reports, where the asker has some of them: it is queried back.
    UrgentMutual,
    /// The urgent reports, queried back.
    Urgent,
}

/// A message about servers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Tells what the asker has; a member that has something else answers.
    Query {
        /// When it was sent, by the asker's clock; it names the query.
        #[serde(with = "crate::wire::micros")]
        sent: Micros,
        /// A digest of the reports that the query is about.
        digest: u64,
        /// Which these are.
        scope: QueryScope,
    },
    /// The answer to a query.
    Reports {
        /// The time in the query.
        #[serde(with = "crate::wire::micros")]
        sent: Micros,
        /// The reports, no more than [`MAX_REPORTS`].
        reports: Vec<Report>,
    },
}
