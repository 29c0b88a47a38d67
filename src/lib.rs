//! The decision core of a balancer that distributes keys over cache servers in front of a slow origin: where
//! each request goes, when it is rejected, and what happens when servers are overloaded, disappear, drain or
//! start with an empty cache. The crate does no I/O, reads no clock and keeps no global state: the caller
//! passes in [`Event`]s and carries out the returned [`Action`]s.
//!
//! ```
//! use juniperladder::*;
//!
//! let settings = Settings {
//!     balancers: 2,
//!     zone: 0,
//!     classes: vec![Class {
//!         latency_objective: Micros(250_000),
//!         latency_objective_per_work: 0.0,
//!         deadline: Micros(500_000),
//!         idempotency: Idempotency::Idempotent,
//!         deduplication_scope: DeduplicationScope::All,
//!         deduplication_window: Micros(0),
//!         priority_weight: 1.0,
//!         late_priority_weight: 0.0,
//!     }],
//!     tenants: vec![],
//!     mode: CacheMode::ReadThrough,
//!     watches_discovery: false,
//!     has_comparable_weights: false,
//!     min_batch_interval: Micros(1_000),
//!     limits: Limits {
//!         max_attempts: 3,
//!         max_retry_after: Micros(1_000_000),
//!         sends_retry_after: true,
//!         may_duplicate: false,
//!     },
//!     rules: Rules {
//!         discovery_poll_interval: Micros(10_000_000),
//!         slow_start_initial_share: 0.2,
//!         slow_start_duration: Micros(20_000_000),
//!     },
//! };
//! let mut balancer = Balancer::new(settings, 7);
//! let mut actions = Vec::new();
//! let endpoints = [Endpoint {
//!     server: ServerId(9),
//!     zone: 0,
//!     kind: 0,
//!     cell: 0,
//!     state: EndpointState::Serving,
//!     weight: 1.0,
//!     started: Micros(0),
//! }];
//! balancer.handle(Micros(1), Event::EndpointsChanged(EndpointUpdate::Restored, &endpoints), &mut actions);
//! let request = Request {
//!     id: RequestId([b'a'; 36]),
//!     deadline: Micros(500_001),
//!     expected_work: None,
//!     key: Some(Key(17)),
//!     is_write: false,
//!     class: 0,
//!     tenant: 0,
//!     is_client_retry: false,
//! };
//! balancer.handle(Micros(1), Event::Request(request), &mut actions);
//! assert!(matches!(actions[..], [Action::Send { server: ServerId(9), .. }]));
//! ```

mod action;
mod balancer;
mod coordination;
mod endpoint;
mod event;
mod hash;
mod request;
mod settings;
mod time;

pub use action::{Action, RejectReason};
pub use balancer::{
    BackoffRange, Balancer, BindingLimit, DiscoveryBackoff, LimitView, LimitsView, DISCOVERY_BACKOFF,
    MAX_POLL_INTERVAL, MIN_DISCOVERY_PAUSE, START_SPREAD_SHARE,
};
pub use coordination::{Coordination, ServingServer, SharedLimit};
pub use endpoint::{Endpoint, EndpointState, EndpointUpdate, ServerId};
pub use event::Event;
pub use hash::mix_bits;
pub use request::{AttemptResult, CompletedAttempt, Key, Request, RequestId};
pub use settings::{CacheMode, Class, DeduplicationScope, Idempotency, Limits, Rules, Settings, Tenant};
pub use time::Micros;
