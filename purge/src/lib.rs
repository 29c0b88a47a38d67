//! Fleet-wide purges: replicated logs, leases and acknowledgements. Pure state machines.
//!
//! A [`Replica`] runs on each control machine, a [`Member`] in each balancer and cache server. Both do no I/O and read no
//! clock: they are fed datagrams and times, and drained of datagrams.
//!
//! # Guarantee
//!
//! A purge for which [`Replica::status`] answers [`PurgeStatus::Done`] has been applied at every member that serves, now
//! and for ever: at each later moment, each member whose [`Member::may_serve`] is true has handed the purge to its driver
//! ([`Member::drain_purges`]), or has voided all that it held after the purge was published. A purge that is not there
//! yet is [`PurgeStatus::Pending`], with the names of members and replicas that are outstanding.
//!
//! # Assumptions
//!
//! - Clocks differ in rate by at most the configured drift; they need not agree on the time.
//! - A replica's incarnations and a member's incarnations grow with each start; no two processes are the same replica or member
//!   at one time.
//! - Never more than a minority of the replicas is without memory at one time (just started and not recovered). If a
//!   majority is lost, the control plane is bootstrapped anew, and every member voids.
//! - Control machines are trusted; datagrams come from the addresses that they claim.
//! - A member's driver applies what it drains before it asks [`Member::may_serve`] again, and a cache server keeps no fill
//!   that [`cache_fill::FillGuard`] discards.
//!
//! # Bounds
//!
//! Those of [`limits`]: at most [`limits::MAX_REPLICAS`] replicas, [`limits::MAX_MEMBERS`] members, a log of a configured
//! number of entries, datagrams of [`limits::MAX_DATAGRAM_BYTES`] bytes. Publishers are limited by a token bucket and by
//! the number of purges that are not done.
//!
//! The protocol and the argument for it are in `docs/design/purge.md`.

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

/// Times are on the caller's monotonic clock.
pub use juniperladder::Micros;
