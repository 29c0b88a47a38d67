//! The model of the platform, without I/O and without a clock: cache servers, the origin, discovery, the workload and the
//! faults of an experiment, and the checker of what clients sent and what servers received.
//!
//! Time comes in as [`Micros`] since the run's beginning; random numbers come in as a seeded generator that gives the same
//! numbers on every machine. The testbed puts this model on sockets round real processes.

pub mod cache_server;
pub mod check;
pub mod checker;
pub mod discovery;
pub mod event_log;
pub mod experiment;
pub mod group;
pub mod links;
pub mod origin;
pub mod reader;
pub mod rng;
pub mod schedule;
pub mod summary;
pub mod workload;

/// A time or a duration of a run in whole microseconds; a point in time counts from the run's beginning.
pub type Micros = u64;

/// The microseconds in a second.
pub const MICROS_PER_SECOND: Micros = 1_000_000;

/// Seconds as an experiment's file has them, in whole microseconds; negative ones are 0.
pub fn micros_from_seconds(seconds: f64) -> Micros {
    (seconds * 1e6).max(0.0) as Micros
}

/// Milliseconds as an experiment's file has them, in whole microseconds; negative ones are 0.
pub fn micros_from_millis(millis: f64) -> Micros {
    micros_from_seconds(millis / 1e3)
}
