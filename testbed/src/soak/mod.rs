//! The soak: many short runs of a small fleet, each drawn by its seed, round the planned end of processes. Clients send on every
//! open connection until the kill, which comes as early as the protocol allows.
//!
//! [`plan`] draws a run, [`run`] runs it, [`check`] says what was broken.

pub mod check;
mod clients;
mod crowd;
pub mod plan;
pub mod run;
