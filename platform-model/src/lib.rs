//! The model of the platform, without I/O and without a clock: cache servers, the origin, discovery, the workload and the
//! faults of an experiment, and the checker that evaluates what clients sent and what servers received.
//!
//! Callers pass the time as [`Micros`] since the start of the run, and random numbers as a seeded generator that
//! yields the same numbers on every machine. The testbed connects this model to real processes through sockets.

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

/// A point in time, counted from the start of the run, or a duration; in whole microseconds.
pub type Micros = u64;

/// Microseconds in a second.
pub const MICROS_PER_SECOND: Micros = 1_000_000;

/// Converts seconds, as given in an experiment's file, to whole microseconds; negative values become 0.
pub fn micros_from_seconds(seconds: f64) -> Micros {
    (seconds * 1e6).max(0.0) as Micros
}

/// Converts milliseconds, as given in an experiment's file, to whole microseconds; negative values become 0.
pub fn micros_from_millis(millis: f64) -> Micros {
    micros_from_seconds(millis / 1e3)
}
