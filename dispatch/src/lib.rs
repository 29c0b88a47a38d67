//! Where the client side and the server side of a balancer meet. It knows no protocol and no socket.
//!
//! It is used from one thread: its types are shared by `Rc` and hold `Cell`s.
//!
//! [`dispatcher::Dispatcher`] owns the decisions, the open requests, the attempts and the timers;
//! [`values`] are what every front and every protocol shares.

pub mod carrier;
pub mod clock;
pub mod counters;
pub mod dispatcher;
pub mod identifiers;
pub mod log_throttle;
pub mod metrics_text;
pub mod overrides;
pub mod request;
pub mod request_metrics;
pub mod stall_tracker;
pub mod start_times;
pub mod streamed_value;
#[cfg(any(test, feature = "testing"))]
pub mod testing;
pub mod values;
