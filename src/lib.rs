//! juniperladder makes the decisions of a router that spreads keys over cache servers before a slow
//! origin: where each request goes, when it is refused, and what happens when servers overload,
//! vanish, drain or start cold. It does no I/O, reads no clock and keeps no global state: the
//! router feeds it [`Event`]s and carries out the [`Action`]s that come back.
//!
//! ```
//! use juniperladder::*;
//!
//! let settings = Settings {
//!     balancers: 2,
//!     zone: 0,
//!     classes: vec![Class {
//!         aim: Micros(250_000),
//!         aim_stretch: 0.0,
//!         deadline: Micros(500_000),
//!         effect: Effect::Safe,
//!         group: Group::All,
//!         window: Micros(0),
//!         worth: 1.0,
//!         late_worth: 0.0,
//!     }],
//!     tenants: vec![],
//!     mode: Mode::Through,
//!     subscribe: false,
//!     weighted: false,
//!     tick: Micros(1_000),
//!     limits: Limits {
//!         max_attempts: 3,
//!         max_retry_after: Micros(1_000_000),
//!         retry_after: true,
//!         may_duplicate: false,
//!     },
//!     rules: Rules {
//!         ask_within: Micros(10_000_000),
//!         cold_share: 0.2,
//!         warm_up: Micros(20_000_000),
//!     },
//! };
//! let mut balancer = Balancer::new(settings, 7);
//! let mut actions = Vec::new();
//! let list = [Entry {
//!     server: ServerId(9),
//!     zone: 0,
//!     kind: 0,
//!     cell: 0,
//!     state: State::Serving,
//!     weight: 1.0,
//!     started: Micros(0),
//! }];
//! balancer.handle(Micros(1), Event::Endpoints(ListKind::Restored, &list), &mut actions);
//! let request = Request {
//!     id: RequestId([b'a'; 36]),
//!     deadline: Micros(500_001),
//!     hint: None,
//!     key: Some(Key(17)),
//!     write: false,
//!     class: 0,
//!     tenant: 0,
//!     retry: false,
//! };
//! balancer.handle(Micros(1), Event::Request(request), &mut actions);
//! assert!(matches!(actions[..], [Action::Send { server: ServerId(9), .. }]));
//! ```

mod interface;
mod rules;
mod together;

pub use interface::*;
pub use rules::view::LimitView;
pub use rules::{Balancer, AGAIN, ASKING, SOON, START};
