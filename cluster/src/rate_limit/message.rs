//! Messages between members about a rate limit.
//!
//! The order of fields and variants is part of the protocol: `postcard` encodes them in the order of declaration.

use juniperladder::Micros;
use serde::{Deserialize, Serialize};

/// A borrower's request to an owner, with the total number of tokens that it wants to hold: requests, renews or returns a
/// lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// The borrower's incarnation; a restarted process has a different one.
    pub incarnation: u64,
    /// The send time by the borrower's clock; unique among its requests to one owner.
    #[serde(with = "crate::wire::micros")]
    pub sent: Micros,
    /// The total number of tokens wanted from the owner.
    pub tokens: u32,
}

/// An owner's answer to a [`LeaseRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseGrant {
    /// The borrower's incarnation, as in the request.
    pub incarnation: u64,
    /// The send time of the request, from which the lease counts.
    #[serde(with = "crate::wire::micros")]
    pub sent: Micros,
    /// The number of tokens that the borrower may use.
    pub tokens: u32,
    /// The number of further tokens that the owner could lease out.
    pub available: u32,
}

/// A message about a rate limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// A request from a borrower to an owner.
    Request(LeaseRequest),
    /// A grant from an owner to a borrower.
    Grant(LeaseGrant),
}
