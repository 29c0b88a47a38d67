//! The model of the platform, without I/O and without a clock: cache servers, the origin, discovery, the load and the
//! faults of an experiment, and the judge that reads what clients sent and what servers received.
//!
//! Time comes in as [`Us`], microseconds since the run's beginning; random numbers come in as a seeded generator that gives
//! the same numbers on every machine. `fleet/` carries this world onto sockets round real processes.

pub mod cache_server;
pub mod check;
pub mod discovery;
pub mod experiment;
pub mod group;
pub mod judge;
pub mod ledger;
pub mod links;
pub mod load;
pub mod origin;
pub mod reader;
pub mod rng;
pub mod schedule;
pub mod summary;

/// Microseconds since the run's beginning.
pub type Us = u64;

/// A second.
pub const SECOND: Us = 1_000_000;

/// Seconds as an experiment's file has them, in microseconds. Negative ones are nothing.
pub fn us(seconds: f64) -> Us {
    (seconds * 1e6).max(0.0) as Us
}

/// Milliseconds as an experiment's file has them, in microseconds. Negative ones are nothing.
pub fn us_of_ms(ms: f64) -> Us {
    us(ms / 1e3)
}
