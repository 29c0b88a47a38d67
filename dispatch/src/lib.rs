//! Where the client side and the server side of a balancer meet. It knows no protocol and no socket.
//!
//! [`dispatcher::Dispatcher`] owns the decision module, the open requests, the attempts and the timers;
//! [`values`] are what every front and every protocol shares.

pub mod bans;
pub mod carrier;
pub mod clock;
pub mod counters;
pub mod dispatcher;
pub mod log_throttle;
pub mod long;
pub mod numbers;
pub mod operators;
pub mod request;
pub mod start_times;
pub mod tally;
#[cfg(any(test, feature = "testing"))]
pub mod testing;
pub mod values;
