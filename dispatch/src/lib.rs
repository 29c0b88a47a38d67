//! Connects the client side of a balancer to its server side, without protocols or sockets.
//!
//! Single-threaded: the types are shared by `Rc` and hold `Cell`s.
//!
//! [`dispatcher::Dispatcher`] owns the decision core ([`juniperladder::Balancer`]), the open requests, the
//! attempts and the timers; [`values`] are the types that all protocols share.

pub mod attempt_transport;
pub mod clock;
pub mod counters;
pub mod dispatcher;
mod executed_ids;
pub mod identifiers;
pub mod log_throttle;
pub mod metrics_text;
pub mod overrides;
mod replaced_servers;
pub mod request;
pub mod request_metrics;
pub mod stall_tracker;
pub mod start_times;
pub mod streamed_value;
#[cfg(any(test, feature = "testing"))]
pub mod testing;
pub mod values;
