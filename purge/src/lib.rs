//! Fleet-wide purges: replicated logs, leases and acknowledgements. Pure state machines.
//!
//! A [`Replica`] runs on each machine of the control plane, a [`Member`] in each balancer and cache server. Both do
//! no I/O and read no clock: the caller passes in received datagrams and the current time, and sends the datagrams it
//! drains. To *void* a cache is to discard everything in it.
//!
//! # Guarantee
//!
//! Once [`Replica::status`] returns [`PurgeStatus::Done`] for a purge, every member that serves has applied the purge,
//! permanently: at each later moment, each member whose [`Member::may_serve`] is true has either handed the purge to
//! its driver ([`Member::drain_events`]) or voided its cache after the purge was published. Until then the purge is
//! [`PurgeStatus::Pending`], which names outstanding members and replicas.
//!
//! # Assumptions
//!
//! - Clocks differ in rate by at most the configured drift; they need not agree on the time.
//! - The incarnation of a replica or member increases with each start; no two processes run as the same replica or
//!   member at one time.
//! - Never more than a minority of the replicas is without state at one time (just started and not recovered). If a
//!   majority is lost, the control plane is bootstrapped anew, and every member voids its cache.
//! - Replicas are trusted; datagrams come from the addresses that they claim.
//! - A member's driver applies the purges it drains before it calls [`Member::may_serve`] again, and a cache server
//!   stores no fill that [`cache_fill::FillGuard`] discards.
//!
//! # Bounds
//!
//! See [`limits`]: at most [`limits::MAX_REPLICAS`] replicas, [`limits::MAX_MEMBERS`] members, a log of a configured
//! number of entries, datagrams of [`limits::MAX_DATAGRAM_BYTES`] bytes. A token bucket and a maximum number of pending
//! purges limit publishers.
//!
//! The protocol and its correctness argument are in `docs/design/purge.md`.

pub mod cache_fill;
pub mod completion;
pub mod config;
pub mod ids;
#[doc(hidden)]
pub mod injected_defect;
pub mod lease_table;
pub mod limits;
pub mod log;
pub mod member;
pub mod metrics;
mod outbox;
pub mod registration;
pub mod replica;
pub mod version_vector;
pub mod wire;

pub use config::{CatchUp, MemberConfig, MemberTiming, ReplicaConfig, ReplicaSettings};
pub use ids::{MemberId, PurgeId, ReplicaId, StreamId};
pub use member::{Member, PurgeEvent};
pub use metrics::{MemberMetrics, ReplicaMetrics};
pub use replica::{PublishRejectReason, PublishRejected, PurgeStatus, Replica};

/// Time in microseconds on the caller's monotonic clock.
pub use juniperladder::Micros;
