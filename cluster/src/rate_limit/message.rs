//! What two members say to each other about one limit.
//!
//! The order of fields and variants is part of the protocol: `postcard` writes them as they stand here.

use juniperladder::Micros;
use serde::{Deserialize, Serialize};

/// A borrower tells an owner how many of its tokens it wants, or still holds: asks for a lease, renews it, or gives it up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// The borrower's incarnation: a process that starts again has another.
    pub incarnation: u64,
    /// When it was sent, by the borrower's clock; no two requests to one owner have the same.
    #[serde(with = "crate::wire::micros")]
    pub sent: Micros,
    /// How many tokens.
    pub tokens: u32,
}

/// An owner's answer to a [`LeaseRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseGrant {
    /// The borrower's incarnation, as in the request.
    pub incarnation: u64,
    /// The time in the request: the lease counts from then.
    #[serde(with = "crate::wire::micros")]
    pub sent: Micros,
    /// How many tokens the lease covers.
    pub tokens: u32,
    /// How many more the owner could lease out.
    pub available: u32,
}

/// A message about one limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// From a borrower to an owner.
    Request(LeaseRequest),
    /// From an owner to a borrower.
    Grant(LeaseGrant),
}
