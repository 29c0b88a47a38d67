//! The laboratory's world on loopback sockets, round real processes of the program.
//!
//! One thread holds the cache servers, the origin, discovery and the clients; the program under test runs as processes of
//! its own and is met through its sockets alone. What stands here decides nothing: machines, faults and the judge are
//! `world/`'s. [`play`] plays one experiment and gives the event log.

mod cache_servers;
pub mod child_reaper;
mod clients;
mod discovery;
mod doors;
pub mod holders;
mod operator;
mod origin;
pub mod peers;
mod play;
mod processes;
mod rig;
mod room;
pub mod scale;

pub use play::{play, Options, Played, Progress};

/// Why a run was not played, or does not count.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Problem {
    /// The file or the machine does not allow it: nothing was started.
    NotAllowed(String),
    /// It began and could not go on.
    Broken(String),
}

impl std::fmt::Display for Problem {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Problem::NotAllowed(what) | Problem::Broken(what) => f.write_str(what),
        }
    }
}

impl std::error::Error for Problem {}
